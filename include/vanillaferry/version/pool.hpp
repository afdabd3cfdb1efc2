#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaferry {

enum class ServiceKind : std::uint8_t { Engine, Plain };

/// One target as the document describes it.
struct TargetSettings {
  TargetId m_Id;
  VmId m_Vm;
  ZoneId m_Zone;
  std::string m_Url;
  /// Stated concurrency; a hard limit.
  std::uint32_t m_MaxConcurrent = 16;
  /// Concurrent requests that the target handles when it is cold.
  std::uint32_t m_ColdLimit = 2;
  /// Size of the prefix cache; 0 when the target keeps none.
  Tokens m_CacheTokens;
  bool m_ChecksFencing = false;
  bool m_Resumes = false;
  bool m_ExportsKv = false;
};

/// One service of the document; its name is the pool's id.
struct PoolSettings {
  PoolId m_Id;
  ServiceKind m_Kind = ServiceKind::Engine;
  /// Largest load of a target as a multiple of the pool's mean.
  double m_Bound = 1.25;
  /// Subtracted from the bound for long requests, during which the mean may
  /// fall.
  double m_InnerMargin = 0.05;
  /// Requests above the bound that are accepted.
  std::uint32_t m_Allowance = 0;
  std::vector<std::string> m_IdempotentMethods{"GET", "HEAD"};
  std::vector<TargetSettings> m_Targets;
};

struct ZoneSettings {
  ZoneId m_Id;
  bool m_InService = true;
};

enum class VmState : std::uint8_t { Live, Leaving };

/// One entry of the platform's VM list.
struct ListedVm {
  VmId m_Vm;
  ZoneId m_Zone;
  VmState m_State = VmState::Live;
};

struct VmRecord {
  VmState m_State = VmState::Live;
  /// When a list that was read lacked the VM first. Failed reads of the list
  /// do not count, so that an unreachable platform takes no VM away.
  std::optional<Millis> m_MissingSince;
  /// When the list that was read last turned to this state, for a VM that is
  /// leaving or was.
  Millis m_StateChangedAt;
  /// Live again after it was leaving.
  bool m_Returned = false;
};

/// What a router knows of the platform's VM list, of its own and of the fleet.
struct VmView {
  /// False without a configured list: all VMs count as live.
  bool m_Configured = false;
  /// A VM missing from the list keeps its last state for this long.
  Millis m_Grace{10000};
  std::map<VmId, VmRecord> m_Vms;
  /// Number of the present report on leaving VMs; 0 while there is none.
  std::uint64_t m_ReportNumber = 0;
  /// Number of the report that the leader has taken.
  std::uint64_t m_AckedReport = 0;
  /// Leaving by the reports of other routers, whatever the own list says.
  std::set<VmId> m_FleetLeaving;
};

/// Takes a newly read VM list; forgets VMs that were missing for the grace.
/// True when a VM turned to leaving, which the fleet should learn at once.
bool updateVms(VmView &Vms, const std::vector<ListedVm> &Listed, Millis Now);

/// True when the VM may receive new work.
bool vmInService(const VmView &Vms, const VmId &Vm, Millis Now);

/// A target in service, with its hash for the ranking.
struct PoolTarget {
  TargetSettings m_Settings;
  /// XXH3 of the target's id.
  std::uint64_t m_Hash = 0;
};

/// A pool's targets in service, sorted by id, as one router sees them.
struct PoolView {
  PoolSettings m_Settings;
  std::vector<PoolTarget> m_Targets;
};

/// Builds the view of one pool. A zone that the document does not list is out
/// of service.
PoolView makePoolView(const PoolSettings &Settings,
                      const std::vector<ZoneSettings> &Zones, const VmView &Vms,
                      Millis Now);

/// Index of a target in the view; the number of targets when absent.
std::size_t findTarget(const PoolView &View, const TargetId &Target);

} // namespace vanillaferry
