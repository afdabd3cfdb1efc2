#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/result.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaferry {

/// Requests that run at one target.
struct KeyedLoad {
  /// loadKey() of the target.
  std::uint32_t m_Key = 0;
  std::uint32_t m_Running = 0;
};

/// 32-bit hash that replaces a target's id in load reports. Targets whose keys
/// collide each appear with the sum of their loads.
std::uint32_t loadKey(const TargetId &Target);

/// Encodes each load as four bytes for the key (little-endian) and a
/// variable-length count (LEB128); targets without requests are omitted.
std::string encodeLoads(const std::vector<KeyedLoad> &Loads);
/// Fails with ErrorCode::Malformed.
Result<std::vector<KeyedLoad>> decodeLoads(const std::string &Packed);

/// The last load report of one router.
struct RouterLoads {
  std::vector<KeyedLoad> m_Loads;
  Millis m_ReportedAt;
};

/// Running requests that the routers reported to the leading keeper.
struct LoadTable {
  std::map<NodeId, RouterLoads> m_Routers;
  /// Sum over all routers, by the target's key.
  std::unordered_map<std::uint32_t, std::uint32_t> m_Totals;
};

/// Replaces a router's report.
void noteLoads(LoadTable &Table, const NodeId &Router,
               std::vector<KeyedLoad> Loads, Millis Now);

/// Running requests of all routers but one. Absent while fewer than 80% of the
/// members have reported within 3 s, as after a change of the leader: the sum
/// would be too small.
std::optional<std::vector<KeyedLoad>> loadsOfOthers(LoadTable &Table,
                                                    const NodeId &Router,
                                                    std::size_t Members,
                                                    Millis Now);

} // namespace vanillaferry
