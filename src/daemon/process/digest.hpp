#pragma once

#include <string>

namespace vanillaferry {

/// Compares texts of equal length in constant time, so that the time does not
/// reveal where two secrets differ.
bool equalConstantTime(const std::string &A, const std::string &B);

} // namespace vanillaferry
