#pragma once

#include <string>

namespace vanillaferry {

/// Hex SHA-256 of a text.
std::string sha256Hex(const std::string &Text);

} // namespace vanillaferry
