#include "process/settings_schema.hpp"

namespace vanillaferry {

const char *const RouterSettingsSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["kind", "node", "vm", "zone", "http", "peer", "keepers"],
  "properties": {
    "kind": {"enum": ["router"]},
    "node": {"type": "string", "minLength": 1, "maxLength": 64},
    "vm": {"type": "string", "minLength": 1, "maxLength": 64},
    "zone": {"type": "string", "minLength": 1, "maxLength": 64},
    "http": {
      "type": "object", "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    },
    "peer": {
      "type": "object", "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "url": {"type": "string", "pattern": "^ws://[0-9a-fA-F.:\\[\\]]+"}
      }
    },
    "keepers": {
      "type": "array", "minItems": 1,
      "items": {"type": "string", "pattern": "^ws://[0-9a-fA-F.:\\[\\]]+"}
    },
    "vm_list_url": {"type": "string", "pattern": "^http://"},
    "vm_list_interval_ms": {"type": "integer", "minimum": 100, "maximum": 60000},
    "drain_limit_ms": {"type": "integer", "minimum": 0},
    "record": {"type": "string"},
    "memory_mb": {"type": "integer", "minimum": 16},
    "caller_memory_mb": {"type": "integer", "minimum": 1},
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "format": {"enum": ["json", "text"]},
        "level": {"enum": ["debug", "info", "warn", "error"]},
        "file": {"type": "string"}
      }
    }
  }
})json";

const char *const KeeperSettingsSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["kind", "keeper", "vm", "zone", "peer", "data_folder"],
  "properties": {
    "kind": {"enum": ["keeper"]},
    "keeper": {"type": "string", "minLength": 1, "maxLength": 64},
    "vm": {"type": "string", "minLength": 1, "maxLength": 64},
    "zone": {"type": "string", "minLength": 1, "maxLength": 64},
    "http_address": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "http": {
      "type": "object", "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    },
    "peer": {
      "type": "object", "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "url": {"type": "string", "pattern": "^ws://[0-9a-fA-F.:\\[\\]]+"}
      }
    },
    "data_folder": {"type": "string", "minLength": 1},
    "initial_keepers": {
      "type": "array",
      "items": {
        "type": "object", "additionalProperties": false,
        "required": ["keeper", "peer_url"],
        "properties": {
          "keeper": {"type": "string", "minLength": 1, "maxLength": 64},
          "peer_url": {"type": "string", "pattern": "^ws://[0-9a-fA-F.:\\[\\]]+"}
        }
      }
    },
    "keeper_addresses": {
      "type": "array",
      "items": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"}
    },
    "initialize": {"type": "boolean"},
    "self_repair": {"type": "boolean"},
    "tolerated_losses": {"type": "integer", "minimum": 0, "maximum": 100},
    "open_manifest": {"type": "boolean"},
    "heartbeat_ms": {"type": "integer", "minimum": 20, "maximum": 2000},
    "target_list": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "lease_ms": {"type": "integer", "minimum": 500, "maximum": 60000},
    "operators": {
      "type": "array", "minItems": 1,
      "items": {
        "type": "object", "additionalProperties": false,
        "required": ["operator", "token_sha256", "sections"],
        "properties": {
          "operator": {"type": "string", "minLength": 1},
          "token_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
          "sections": {"type": "array", "items": {"type": "string"}}
        }
      }
    },
    "snapshot_entries": {"type": "integer", "minimum": 16},
    "bounds": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "exposure_share": {"type": ["number", "null"], "minimum": 0, "maximum": 1},
        "exposure_slack": {"type": ["number", "null"], "minimum": 0},
        "rollback_ms": {"type": ["number", "null"], "minimum": 0}
      }
    },
    "memory_mb": {"type": "integer", "minimum": 16},
    "caller_memory_mb": {"type": "integer", "minimum": 1},
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "format": {"enum": ["json", "text"]},
        "level": {"enum": ["debug", "info", "warn", "error"]},
        "file": {"type": "string"}
      }
    }
  }
})json";

const char *const GatewaySettingsSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["kind", "node", "zone", "front", "ready", "peer",
               "keeper_addresses", "target_list", "target_list_rate"],
  "properties": {
    "kind": {"enum": ["gateway"]},
    "node": {"type": "string", "minLength": 1, "maxLength": 64},
    "zone": {"type": "string", "minLength": 1, "maxLength": 64},
    "front": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "ready": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "peer": {
      "type": "object", "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9.]+$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    },
    "relay": {
      "type": "object", "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9.]+$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    },
    "keeper_addresses": {
      "type": "array", "minItems": 1,
      "items": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"}
    },
    "target_list": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
    "target_list_rate": {"type": "number", "exclusiveMinimum": 0},
    "bounds": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "retry_ratio": {"type": "number", "minimum": 0},
        "retry_extra": {"type": "number", "minimum": 0},
        "retry_window_s": {"type": "number", "exclusiveMinimum": 0},
        "cold_factor": {"type": "number", "minimum": 0},
        "cold_extra": {"type": "number", "minimum": 0},
        "grace_s": {"type": "number", "minimum": 0},
        "exposure_share": {"type": ["number", "null"], "minimum": 0, "maximum": 1},
        "exposure_slack": {"type": ["number", "null"], "minimum": 0},
        "rollback_ms": {"type": ["number", "null"], "minimum": 0}
      }
    },
    "waiting_requests": {"type": "integer", "minimum": 1},
    "waiting_mb": {"type": "number", "exclusiveMinimum": 0},
    "memory_mb": {"type": "integer", "minimum": 16},
    "caller_memory_mb": {"type": "integer", "minimum": 1},
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "format": {"enum": ["json", "text"]},
        "level": {"enum": ["debug", "info", "warn", "error"]},
        "file": {"type": "string"}
      }
    }
  }
})json";

const char *const OperatorSettingsSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["kind", "keepers", "token"],
  "properties": {
    "kind": {"enum": ["operator"]},
    "keepers": {
      "type": "array", "minItems": 1,
      "items": {"type": "string", "pattern": "^http://[0-9a-fA-F.:\\[\\]]+"}
    },
    "token": {"type": "string", "minLength": 1}
  }
})json";

} // namespace vanillaferry
