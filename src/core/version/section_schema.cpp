#include "version/section_schema.hpp"

#include "vanillaferry/version/section.hpp"

namespace vanillaferry {

namespace {

constexpr const char *AccountsSchema = R"json({
  "type": "object", "additionalProperties": false, "required": ["accounts"],
  "properties": {
    "accounts": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["id", "api_key_sha256", "max_concurrent",
                   "requests_per_second"],
      "properties": {
        "id": {"type": "string", "minLength": 1, "maxLength": 128},
        "api_key_sha256": {"type": "array", "items": {"type": "string"}},
        "max_concurrent": {"type": "integer", "minimum": 1,
                           "maximum": 1000000000},
        "requests_per_second": {"type": "number", "minimum": 0.001,
                                "maximum": 1000000000},
        "weight": {"type": "integer", "minimum": 1, "maximum": 1000},
        "enabled": {"type": "boolean"}
      }
    }}
  }
})json";

constexpr const char *ServicesSchema = R"json({
  "type": "object", "additionalProperties": false, "required": ["services"],
  "properties": {
    "services": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name", "kind", "targets"],
      "properties": {
        "name": {"type": "string", "minLength": 1, "maxLength": 128},
        "kind": {"enum": ["engine", "plain"]},
        "bound": {"type": "number", "minimum": 1, "maximum": 1000},
        "inner_margin": {"type": "number", "minimum": 0, "maximum": 1000},
        "allowance": {"type": "integer", "minimum": 0, "maximum": 1000000},
        "idempotent_methods": {"type": "array", "items": {"type": "string",
                               "minLength": 1, "maxLength": 32}},
        "targets": {"type": "array", "items": {
          "type": "object", "additionalProperties": false,
          "required": ["id", "vm", "zone", "url", "max_concurrent"],
          "properties": {
            "id": {"type": "string", "minLength": 1, "maxLength": 128},
            "vm": {"type": "string", "minLength": 1, "maxLength": 128},
            "zone": {"type": "string", "minLength": 1, "maxLength": 128},
            "url": {"type": "string", "minLength": 1, "maxLength": 2048},
            "max_concurrent": {"type": "integer", "minimum": 1,
                               "maximum": 1000000},
            "cold_limit": {"type": "integer", "minimum": 1,
                           "maximum": 1000000},
            "cache_tokens": {"type": "integer", "minimum": 0,
                             "maximum": 1000000000000},
            "checks_fencing": {"type": "boolean"},
            "resumes": {"type": "boolean"},
            "exports_kv": {"type": "boolean"}
          }
        }}
      }
    }}
  }
})json";

constexpr const char *ModelVersionsSchema = R"json({
  "type": "object", "additionalProperties": false, "required": ["models"],
  "properties": {
    "models": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name", "version", "service"],
      "properties": {
        "name": {"type": "string", "minLength": 1, "maxLength": 128},
        "version": {"type": "string", "minLength": 1, "maxLength": 128},
        "service": {"type": "string", "minLength": 1, "maxLength": 128}
      }
    }}
  }
})json";

constexpr const char *ZonesSchema = R"json({
  "type": "object", "additionalProperties": false, "required": ["zones"],
  "properties": {
    "zones": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["id", "in_service"],
      "properties": {
        "id": {"type": "string", "minLength": 1, "maxLength": 128},
        "in_service": {"type": "boolean"}
      }
    }}
  }
})json";

constexpr const char *LimitsSchema = R"json({
  "type": "object", "additionalProperties": false,
  "properties": {
    "queue_length": {"type": "integer", "minimum": 0, "maximum": 10000000},
    "default_deadline_ms": {"type": "integer", "minimum": 1,
                            "maximum": 86400000},
    "retry_share": {"type": "number", "minimum": 0, "maximum": 1},
    "retry_floor": {"type": "integer", "minimum": 0, "maximum": 1000000},
    "max_header_bytes": {"type": "integer", "minimum": 256,
                         "maximum": 1073741824},
    "max_body_bytes": {"type": "integer", "minimum": 1,
                       "maximum": 1073741824},
    "max_stream_bytes": {"type": "integer", "minimum": 1,
                         "maximum": 1099511627776},
    "slow_sender_ms": {"type": "integer", "minimum": 1, "maximum": 86400000},
    "slow_reader_ms": {"type": "integer", "minimum": 1, "maximum": 86400000},
    "stream_silence_ms": {"type": "integer", "minimum": 1,
                          "maximum": 86400000},
    "weight_store_loads_per_minute": {"type": "number", "minimum": 0,
                                      "maximum": 1000000}
  }
})json";

} // namespace

const char *sectionSchema(const SectionName &Name) {
  if (Name.m_Value == AccountsSectionName)
    return AccountsSchema;
  if (Name.m_Value == ServicesSectionName)
    return ServicesSchema;
  if (Name.m_Value == ModelVersionsSectionName)
    return ModelVersionsSchema;
  if (Name.m_Value == ZonesSectionName)
    return ZonesSchema;
  if (Name.m_Value == LimitsSectionName)
    return LimitsSchema;
  return nullptr;
}

} // namespace vanillaferry
