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

/// A target's settings in the document.
struct TargetSettings {
  TargetId m_Id;
  VmId m_Vm;
  ZoneId m_Zone;
  std::string m_Url;
  /// Concurrent requests that the target is configured for; a hard limit.
  std::uint32_t m_MaxConcurrent = 16;
  /// Concurrent requests that the target handles when it is cold.
  std::uint32_t m_ColdLimit = 2;
  /// Size of the prefix cache; 0 when the target has none.
  Tokens m_CacheTokens;
  /// Refuses orders with an outdated fencing token.
  bool m_ChecksFencing = false;
  /// Can resume a broken stream.
  bool m_Resumes = false;
  /// Can export KV cache prefixes to other targets.
  bool m_ExportsKv = false;
};

/// A service of the document with its pool of targets. The pool's id is the
/// service's name.
struct PoolSettings {
  PoolId m_Id;
  ServiceKind m_Kind = ServiceKind::Engine;
  /// Load limit of a target, as a multiple of the pool's mean load.
  double m_Bound = 1.25;
  /// Subtracted from the bound for long requests, because the mean may fall
  /// while they run.
  double m_InnerMargin = 0.05;
  /// Number of requests that a target may run above the bound.
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
  /// When the VM was first missing from a list. Failed reads of the list do not
  /// count, so that no VM is lost while the platform is unreachable.
  std::optional<Millis> m_MissingSince;
  /// When the VM's state last changed in the list; only set for a VM that is or
  /// was leaving.
  Millis m_StateChangedAt;
  /// Live again after it was leaving.
  bool m_Returned = false;
};

/// A router's view of the platform's VM list: what it read itself, and the VMs
/// that other routers reported as leaving.
struct VmView {
  /// False when no list is configured: all VMs count as live.
  bool m_Configured = false;
  /// A VM missing from the list keeps its last state for this long.
  Millis m_Grace{10000};
  std::map<VmId, VmRecord> m_Vms;
  /// Number of this router's current report on leaving VMs; 0 before the first.
  std::uint64_t m_ReportNumber = 0;
  /// Number of the last report that the keepers' leader acknowledged.
  std::uint64_t m_AckedReport = 0;
  /// VMs that leave according to the reports of all routers. They are out of
  /// service even when this router's own list shows them as live.
  std::set<VmId> m_FleetLeaving;
};

/// Applies a newly read VM list and removes VMs that were missing for the grace
/// time. True when a VM started to leave, which should be reported at once.
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
