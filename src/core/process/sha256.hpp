#pragma once

#include <string>

namespace vanillaferry {

/// SHA-256 of a text as lower-case hex digits.
std::string sha256Hex(const std::string &Text);

} // namespace vanillaferry
