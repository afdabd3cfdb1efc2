#include "process/section_schema.hpp"

#include "process/json_schema.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace vanillaferry {

namespace {

using nlohmann::json;

constexpr const char *AccountsSchema = R"json({
  "type": "object", "additionalProperties": false, "required": ["accounts"],
  "properties": {"accounts": {"type": "array", "items": {
    "type": "object", "additionalProperties": false,
    "required": ["id", "api_key_sha256"],
    "properties": {
      "id": {"type": "string", "minLength": 1, "maxLength": 128},
      "api_key_sha256": {"type": "array",
        "items": {"type": "string", "pattern": "^[0-9a-f]{64}$"}},
      "max_concurrent": {"type": "integer", "minimum": 0, "maximum": 1000000000},
      "requests_per_second": {"type": "number", "minimum": 0},
      "weight": {"type": "integer", "minimum": 1, "maximum": 1000000},
      "enabled": {"type": "boolean"}
    }}}}
})json";

constexpr const char *ServicesSchema = R"json({
  "type": "object", "additionalProperties": false, "required": ["services"],
  "properties": {"services": {"type": "array", "items": {
    "type": "object", "additionalProperties": false,
    "required": ["name", "kind", "targets"],
    "properties": {
      "name": {"type": "string", "minLength": 1, "maxLength": 128},
      "kind": {"enum": ["engine", "plain"]},
      "bound": {"type": "number", "minimum": 1, "maximum": 100},
      "inner_margin": {"type": "number", "minimum": 0, "maximum": 10},
      "allowance": {"type": "number", "minimum": 0},
      "idempotent_methods": {"type": "array", "items": {"type": "string"}},
      "targets": {"type": "array", "items": {
        "type": "object", "additionalProperties": false,
        "required": ["id", "vm", "zone", "url"],
        "properties": {
          "id": {"type": "string", "minLength": 1, "maxLength": 128},
          "vm": {"type": "string", "minLength": 1, "maxLength": 128},
          "zone": {"type": "string", "minLength": 1, "maxLength": 128},
          "url": {"type": "string", "pattern": "^http://"},
          "max_concurrent": {"type": "integer", "minimum": 1},
          "cold_limit": {"type": "integer", "minimum": 1},
          "cache_tokens": {"type": "integer", "minimum": 0},
          "checks_fencing": {"type": "boolean"},
          "resumes": {"type": "boolean"},
          "exports_kv": {"type": "boolean"}
        }}}
    }}}}
})json";

constexpr const char *ModelVersionsSchema = R"json({
  "type": "object", "additionalProperties": false, "required": ["models"],
  "properties": {"models": {"type": "array", "items": {
    "type": "object", "additionalProperties": false,
    "required": ["name", "version", "service"],
    "properties": {
      "name": {"type": "string", "minLength": 1},
      "version": {"type": "string", "minLength": 1},
      "service": {"type": "string", "minLength": 1}
    }}}}
})json";

constexpr const char *ZonesSchema = R"json({
  "type": "object", "additionalProperties": false, "required": ["zones"],
  "properties": {"zones": {"type": "array", "items": {
    "type": "object", "additionalProperties": false,
    "required": ["id", "in_service"],
    "properties": {
      "id": {"type": "string", "minLength": 1},
      "in_service": {"type": "boolean"}
    }}}}
})json";

constexpr const char *LimitsSchema = R"json({
  "type": "object", "additionalProperties": false,
  "properties": {
    "queue_length": {"type": "integer", "minimum": 0},
    "default_deadline_ms": {"type": "integer", "minimum": 1},
    "retry_share": {"type": "number", "minimum": 0, "maximum": 1},
    "retry_floor": {"type": "integer", "minimum": 0},
    "max_header_bytes": {"type": "integer", "minimum": 1024},
    "max_body_bytes": {"type": "integer", "minimum": 1024},
    "max_stream_bytes": {"type": "integer", "minimum": 1024},
    "slow_sender_ms": {"type": "integer", "minimum": 1},
    "stream_silence_ms": {"type": "integer", "minimum": 1},
    "weight_store_loads_per_minute": {"type": "integer", "minimum": 0}
  }
})json";

const std::map<std::string, const char *> &schemas() {
  static const std::map<std::string, const char *> Rows = {
      {"accounts", AccountsSchema},
      {"services", ServicesSchema},
      {"model_versions", ModelVersionsSchema},
      {"zones", ZonesSchema},
      {"limits", LimitsSchema}};
  return Rows;
}

/// Adds a fault for each second use of a value of Key within a list.
void requireUnique(const json &List, const std::string &Path, const char *Key,
                   std::set<std::string> &Seen,
                   std::vector<std::string> &Faults) {
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    std::string Value = List[Index][Key].get<std::string>();
    if (!Seen.insert(Value).second)
      Faults.push_back(Path + "/" + std::to_string(Index) + "/" + Key +
                       ": expected a unique value, got \"" + Value +
                       "\" again.");
  }
}

void addUniquenessFaults(const std::string &Name, const json &Value,
                         std::vector<std::string> &Faults) {
  std::set<std::string> Seen;
  if (Name == "accounts" || Name == "zones")
    requireUnique(Value[Name], "/" + Name, "id", Seen, Faults);
  if (Name == "model_versions")
    requireUnique(Value["models"], "/models", "name", Seen, Faults);
  if (Name != "services")
    return;
  requireUnique(Value["services"], "/services", "name", Seen, Faults);
  // A target belongs to one pool: its load is counted once.
  std::set<std::string> Targets;
  for (std::size_t Index = 0; Index < Value["services"].size(); ++Index)
    requireUnique(Value["services"][Index]["targets"],
                  "/services/" + std::to_string(Index) + "/targets", "id",
                  Targets, Faults);
}

} // namespace

const char *sectionSchema(const std::string &Name) {
  auto Found = schemas().find(Name);
  return Found == schemas().end() ? nullptr : Found->second;
}

std::vector<std::string> sectionNames() {
  std::vector<std::string> Names;
  for (const std::pair<const std::string, const char *> &Row : schemas())
    Names.push_back(Row.first);
  return Names;
}

std::vector<std::string> sectionFaults(const std::string &Name,
                                       const std::string &Text) {
  const char *Schema = sectionSchema(Name);
  if (!Schema)
    return {"/: there is no section \"" + Name + "\""};
  try {
    json Value = json::parse(Text);
    std::vector<std::string> Faults = schemaFaults(json::parse(Schema), Value);
    if (Faults.empty())
      addUniquenessFaults(Name, Value, Faults);
    return Faults;
  } catch (const std::exception &E) {
    return {std::string("/: not JSON: ") + E.what()};
  }
}

} // namespace vanillaferry
