#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/version/pool.hpp"

#include <map>
#include <set>
#include <vector>

namespace vanillaferry {

struct VmReportOptions {
  Millis m_LeaseTime{3000};
  /// Greatest age of a VM list: the platform's lag of 3 s and the read
  /// interval.
  Millis m_ListLag{4000};
  /// A leave that fewer than two live routers report counts only for this time,
  /// so that one stale list does not keep a VM out of service for ever.
  Millis m_SingleMaxAge{60000};
};

/// The latest report of one router on its VM list.
struct NodeVmReport {
  Incarnation m_Incarnation;
  /// Number of the node's newest report, and of the last one received in full.
  std::uint64_t m_LatestReport = 0;
  std::uint64_t m_ReceivedReport = 0;
  Millis m_RenewedAt;
  /// Digest of the set of leaving VMs that the node applies.
  std::uint64_t m_AppliedDigest = 0;
  struct StateChange {
    bool m_Returned = false;
    Millis m_At;
  };
  std::map<VmId, StateChange> m_Changes;
};

/// The leader's record of the routers' reports on leaving VMs. Not persisted:
/// routers repeat their reports to a new leader.
struct VmReports {
  VmReportOptions m_Options;
  std::map<NodeId, NodeVmReport> m_Nodes;
  /// The fleet's leaving VMs as computed at m_LeavingAt; cached for a short
  /// time.
  std::set<VmId> m_Leaving;
  std::optional<Millis> m_LeavingAt;
  /// The set that routers were last asked to renew for.
  std::set<VmId> m_Announced;
};

/// Adds the report to a renewal; its content only while the leader lacks it.
void addVmReport(Renew &Request, const VmView &Vms, Millis Now);

/// Stores the report of a renewal.
void takeVmReport(VmReports &Reports, const Renew &Request, Millis Now);

/// VMs that count as leaving for the whole fleet (rules in docs/state.md).
const std::set<VmId> &fleetLeavingVms(VmReports &Reports, Millis Now);

/// Adds the fleet's leaving VMs to a grant when the node holds another set. The
/// set is marked as complete, so that a VM missing from it is in service again,
/// only after all leases of the former leader have ended (FormerEnded) and the
/// report of every live router was received.
void addFleetVms(Grant &Granted, VmReports &Reports, const Renew &Request,
                 bool FormerEnded, Millis Now);

/// Applies the fleet's leaving VMs from a grant; true when the view changed.
/// The caller renews at once when vmReportPending() is true afterwards.
bool takeFleetVms(VmView &Vms, const Grant &Granted);

/// True when the leader has not acknowledged the newest report.
bool vmReportPending(const VmView &Vms);

/// Live nodes to ask for a renewal at once because the fleet's set of leaving
/// VMs grew since the last call.
std::vector<NodeId> receiversOfVmChange(VmReports &Reports, Millis Now);

} // namespace vanillaferry
