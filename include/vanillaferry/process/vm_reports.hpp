#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/version/pool.hpp"

#include <map>
#include <set>
#include <vector>

namespace vanillaferry {

struct VmReportOptions {
  Millis m_LeaseTime{3000};
  /// Lists are this old at most: the lag of 3 s and the read interval.
  Millis m_ListLag{4000};
  /// The report of one router alone, or of one whose lease has ended, counts
  /// for this time, so that one list that stands still keeps no VM out for
  /// ever.
  Millis m_SingleMaxAge{60000};
};

/// What one router said of its VM list.
struct NodeVmReport {
  Incarnation m_Incarnation;
  /// Number of the report that the node has, and of the one taken from it.
  std::uint64_t m_LatestReport = 0;
  std::uint64_t m_ReceivedReport = 0;
  Millis m_RenewedAt;
  /// Digest of the fleet's leaving VMs that the node acts on.
  std::uint64_t m_AppliedDigest = 0;
  struct StateChange {
    bool m_Returned = false;
    Millis m_At;
  };
  std::map<VmId, StateChange> m_Changes;
};

/// The leader's record of the leaving VMs that routers see in their lists;
/// memory only, routers repeat their reports to a new leader.
struct VmReports {
  VmReportOptions m_Options;
  std::map<NodeId, NodeVmReport> m_Nodes;
  /// The fleet's set at m_LeavingAt, which serves for a short while.
  std::set<VmId> m_Leaving;
  std::optional<Millis> m_LeavingAt;
  /// The set that routers were last asked to renew for.
  std::set<VmId> m_Announced;
};

/// Puts the report on a renewal; its content only while the leader lacks it.
void addVmReport(Renew &Request, const VmView &Vms, Millis Now);

/// Takes the report of a renewal.
void takeVmReport(VmReports &Reports, const Renew &Request, Millis Now);

/// VMs that count as leaving for the whole fleet (rules in docs/state.md).
const std::set<VmId> &fleetLeavingVms(VmReports &Reports, Millis Now);

/// Puts the fleet's leaving VMs on a grant when the node holds another set. The
/// set is complete, so that it may end a VM's leave, only after all leases of
/// the former leader have ended and every live router's report was taken.
void addFleetVms(Grant &Granted, VmReports &Reports, const Renew &Request,
                 bool FormerEnded, Millis Now);

/// Takes the fleet's leaving VMs of a grant; true when the view changed. Ask
/// for a renewal at once when vmReportPending is true afterwards.
bool takeFleetVms(VmView &Vms, const Grant &Granted);

/// True when the leader lacks the newest report.
bool vmReportPending(const VmView &Vms);

/// Nodes to ask for a renewal at once, because the fleet's set grew since the
/// last call.
std::vector<NodeId> receiversOfVmChange(VmReports &Reports, Millis Now);

} // namespace vanillaferry
