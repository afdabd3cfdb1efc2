#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace vanillaferry {

/// A value that violates a JSON Schema.
struct SchemaViolation {
  /// JSON pointer to the value; empty for the whole document.
  std::string m_Path;
  std::string m_Expected;
  /// The value as JSON text, truncated; "nothing" when it is missing.
  std::string m_Value;
};

/// Validates a JSON value against a JSON Schema and returns all violations;
/// empty when valid.
std::vector<SchemaViolation> findSchemaViolations(const nlohmann::json &Schema,
                                                  const nlohmann::json &Value);

/// The violations as "path: expected ..., got value.".
std::vector<std::string> describeSchemaViolations(const nlohmann::json &Schema,
                                                  const nlohmann::json &Value);

/// JSON text of a value, truncated for messages.
std::string abbreviatedJson(const nlohmann::json &Value);

/// One step of a JSON pointer (RFC 6901) with its leading slash, escaped.
std::string pointerStep(const std::string &Name);

} // namespace vanillaferry
