#pragma once

#include <string>
#include <vector>

namespace vanillaferry {

/// JSON Schema (draft 7) of a document section, or null for an unknown name.
const char *sectionSchema(const std::string &Name);

/// Names of all sections.
std::vector<std::string> sectionNames();

/// All faults of a section's JSON text, with their paths; empty when valid.
/// Beside the schema it checks that ids are unique within their list.
std::vector<std::string> sectionFaults(const std::string &Name,
                                       const std::string &Text);

} // namespace vanillaferry
