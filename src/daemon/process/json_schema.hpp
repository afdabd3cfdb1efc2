#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace vanillaferry {

/// Faults of a JSON value against a JSON Schema, each as "path: what was
/// expected, got value"; empty when valid.
std::vector<std::string> schemaFaults(const nlohmann::json &Schema,
                                      const nlohmann::json &Value);

} // namespace vanillaferry
