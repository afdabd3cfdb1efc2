#pragma once

namespace vanillaferry {

/// JSON Schemas (draft 7) of the settings files.
extern const char *const RouterSettingsSchema;
extern const char *const KeeperSettingsSchema;
extern const char *const OperatorSettingsSchema;
extern const char *const GatewaySettingsSchema;

} // namespace vanillaferry
