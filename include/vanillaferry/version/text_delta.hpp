#pragma once

#include "vanillaferry/process/result.hpp"

#include <string>

namespace vanillaferry {

/// The edit script that turns one JSON text into another. Both texts are split
/// after each "},", so the script for a change of one object is about as long
/// as the object. Whole pieces may be copied from anywhere in the base.
std::string makeTextDelta(const std::string &Base, const std::string &Target);

/// Applies an edit script; an error when it does not fit the base.
Result<std::string> applyTextDelta(const std::string &Base,
                                   const std::string &Delta);

} // namespace vanillaferry
