#pragma once

#include "vanillaferry/version/section.hpp"

#include <nlohmann/json_fwd.hpp>

namespace vanillaferry {

/// Checks what the schema does not: ids that appear twice and the form of ids,
/// hashes, methods and URLs. Skips values that the schema refuses.
SectionCheck checkValues(const SectionName &Name, const nlohmann::json &Value);

/// Typed content of a section that is valid.
std::vector<AccountEntry> readAccounts(const nlohmann::json &Value);
std::vector<PoolSettings> readServices(const nlohmann::json &Value);
std::vector<ModelVersion> readModels(const nlohmann::json &Value);
std::vector<ZoneSettings> readZones(const nlohmann::json &Value);
LimitSettings readLimits(const nlohmann::json &Value);

} // namespace vanillaferry
