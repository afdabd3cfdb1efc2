#pragma once

#include "vanillaferry/process/ids.hpp"

namespace vanillaferry {

/// JSON Schema of a section; null for an unknown name. The schemas use no
/// patterns: std::regex recurses once for each character, so that a long value
/// would exhaust the stack. checkValues() checks the format of ids, hashes and
/// URLs instead.
const char *sectionSchema(const SectionName &Name);

} // namespace vanillaferry
