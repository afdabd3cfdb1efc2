#pragma once

#include "vanillaferry/process/result.hpp"

#include <string>

namespace vanillaferry {

/// The edit script that turns one JSON text into another, as text. Both are
/// split after each "},", so a change of one object costs about its own
/// length. Copies of whole pieces are taken from anywhere in the base.
std::string makeTextDelta(const std::string &Base, const std::string &Target);

/// Applies an edit script; an error when it does not fit the base.
Result<std::string> applyTextDelta(const std::string &Base,
                                   const std::string &Delta);

} // namespace vanillaferry
