#pragma once

#include <string>

namespace vanillaferry {

/// Hex SHA-256 (lower case).
std::string sha256Hex(const std::string &Data);

/// Compares without an early end, so that the time shows nothing of where two
/// secrets differ.
bool equalConstantTime(const std::string &A, const std::string &B);

} // namespace vanillaferry
