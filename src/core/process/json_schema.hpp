#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace vanillaferry {

/// One fault of a JSON value against a JSON Schema.
struct SchemaViolation {
  /// JSON pointer of the faulty value; empty for the whole value.
  std::string m_Path;
  std::string m_Expected;
  /// The value as JSON text, shortened; "nothing" when it is missing.
  std::string m_Value;
};

/// All faults of a JSON value against a JSON Schema; empty when valid.
std::vector<SchemaViolation> findSchemaViolations(const nlohmann::json &Schema,
                                                  const nlohmann::json &Value);

/// The faults as "path: expected ..., got value.".
std::vector<std::string> describeSchemaViolations(const nlohmann::json &Schema,
                                                  const nlohmann::json &Value);

/// JSON text of a value, shortened for messages.
std::string abbreviatedJson(const nlohmann::json &Value);

/// One more step of a JSON pointer, escaped.
std::string pointerStep(const std::string &Name);

} // namespace vanillaferry
