#pragma once

#include "vanillaferry/process/replication.hpp"

#include <nlohmann/json.hpp>

namespace vanillaferry::internal {

nlohmann::json keeperSetToJson(const KeeperSet &Set);
std::optional<KeeperSet> keeperSetFromJson(const nlohmann::json &Json);

} // namespace vanillaferry::internal
