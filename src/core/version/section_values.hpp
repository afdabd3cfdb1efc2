#pragma once

#include "vanillaferry/version/section.hpp"

#include <nlohmann/json_fwd.hpp>

namespace vanillaferry {

/// Checks what the schema does not cover: the uniqueness of ids, and the format
/// of ids, hashes, methods and URLs. Skips values that violate the schema.
SectionCheck checkValues(const SectionName &Name, const nlohmann::json &Value);

/// These convert a valid section to its typed content.
std::vector<AccountEntry> readAccounts(const nlohmann::json &Value);
std::vector<PoolSettings> readServices(const nlohmann::json &Value);
std::vector<ModelVersion> readModels(const nlohmann::json &Value);
std::vector<ZoneSettings> readZones(const nlohmann::json &Value);
LimitSettings readLimits(const nlohmann::json &Value);

} // namespace vanillaferry
