#define XXH_INLINE_ALL
#include "vanillaferry/process/vm_reports.hpp"

#include <algorithm>
#include <xxhash.h>

namespace vanillaferry {

namespace {

/// The leaving VMs are computed at most this often, because time changes them.
/// Computing them for each grant would cost the square of the number of
/// routers.
constexpr Millis LeavingRefresh{50};

/// Digest of a set of VMs; 0 for an empty set, which then takes no bytes in a
/// renewal.
std::uint64_t vmSetDigest(const std::set<VmId> &Vms) {
  std::uint64_t Digest = 0;
  for (const VmId &Vm : Vms)
    Digest = XXH3_64bits_withSeed(Vm.m_Value.data(), Vm.m_Value.size(), Digest);
  // 32 bits are enough to tell two successive sets apart.
  return Digest >> 32;
}

bool isLive(const VmReports &Reports, const NodeVmReport &Node, Millis Now) {
  return Now < Node.m_RenewedAt + Reports.m_Options.m_LeaseTime;
}

/// Removes nodes that stopped renewing and whose reports no longer count.
void pruneNodes(VmReports &Reports, Millis Now) {
  const VmReportOptions &Options = Reports.m_Options;
  for (auto It = Reports.m_Nodes.begin(); It != Reports.m_Nodes.end();) {
    bool Old = It->second.m_RenewedAt + Options.m_SingleMaxAge < Now;
    It = Old ? Reports.m_Nodes.erase(It) : std::next(It);
  }
}

/// What all routers report about one VM.
struct VmEvidence {
  /// For each router that saw the VM leave: when, and whether it is live.
  std::vector<std::pair<Millis, bool>> m_Leaving;
  std::optional<Millis> m_ReturnedAt;
};

bool isLeaving(const VmEvidence &All, const VmReportOptions &Options,
               Millis Now) {
  std::size_t Confirmed = 0;
  bool Fresh = false;
  for (const std::pair<Millis, bool> &Change : All.m_Leaving) {
    // A return seen later than the greatest list age after the leave is newer.
    if (All.m_ReturnedAt &&
        Change.first + Options.m_ListLag <= *All.m_ReturnedAt)
      continue;
    Confirmed += Change.second ? 1 : 0;
    Fresh = Fresh || Now < Change.first + Options.m_SingleMaxAge;
  }
  return Fresh || Confirmed > 1;
}

} // namespace

void addVmReport(Renew &Request, const VmView &Vms, Millis Now) {
  Request.m_VmReport = Vms.m_ReportNumber;
  Request.m_VmsHeld = vmSetDigest(Vms.m_FleetLeaving);
  Request.m_VmsStated = vmReportPending(Vms);
  if (!Request.m_VmsStated)
    return;
  for (const std::pair<const VmId, VmRecord> &Row : Vms.m_Vms)
    if (Row.second.m_State == VmState::Leaving || Row.second.m_Returned)
      Request.m_Vms.push_back({Row.first, Row.second.m_State == VmState::Live,
                               Now - Row.second.m_StateChangedAt});
}

void takeVmReport(VmReports &Reports, const Renew &Request, Millis Now) {
  pruneNodes(Reports, Now);
  NodeVmReport &Node = Reports.m_Nodes[Request.m_Node];
  if (Node.m_Incarnation != Request.m_Incarnation) {
    // The report of the former process counts until the new one reports.
    Node.m_Incarnation = Request.m_Incarnation;
    Node.m_ReceivedReport = 0;
  }
  Node.m_RenewedAt = Now;
  Node.m_AppliedDigest = Request.m_VmsHeld;
  Node.m_LatestReport = Request.m_VmReport;
  if (!Request.m_VmsStated)
    return;
  Node.m_ReceivedReport = Request.m_VmReport;
  Reports.m_LeavingAt.reset();
  Node.m_Changes.clear();
  for (const VmStateReport &Vm : Request.m_Vms)
    Node.m_Changes[Vm.m_Vm] = {Vm.m_Returned, Now - Vm.m_Age};
}

const std::set<VmId> &fleetLeavingVms(VmReports &Reports, Millis Now) {
  if (Reports.m_LeavingAt && Now < *Reports.m_LeavingAt + LeavingRefresh)
    return Reports.m_Leaving;
  Reports.m_LeavingAt = Now;
  Reports.m_Leaving.clear();
  std::map<VmId, VmEvidence> ByVm;
  for (const std::pair<const NodeId, NodeVmReport> &Row : Reports.m_Nodes)
    for (const std::pair<const VmId, NodeVmReport::StateChange> &Change :
         Row.second.m_Changes) {
      VmEvidence &All = ByVm[Change.first];
      Millis At = Change.second.m_At;
      if (!Change.second.m_Returned)
        All.m_Leaving.emplace_back(At, Row.second.m_ReceivedReport != 0 &&
                                           isLive(Reports, Row.second, Now));
      else if (!All.m_ReturnedAt || *All.m_ReturnedAt < At)
        All.m_ReturnedAt = At;
    }
  for (const std::pair<const VmId, VmEvidence> &Row : ByVm)
    if (isLeaving(Row.second, Reports.m_Options, Now))
      Reports.m_Leaving.insert(Row.first);
  return Reports.m_Leaving;
}

void addFleetVms(Grant &Granted, VmReports &Reports, const Renew &Request,
                 bool FormerEnded, Millis Now) {
  auto Self = Reports.m_Nodes.find(Request.m_Node);
  Granted.m_VmReport =
      Self == Reports.m_Nodes.end() ? 0 : Self->second.m_ReceivedReport;
  const std::set<VmId> &Leaving = fleetLeavingVms(Reports, Now);
  if (vmSetDigest(Leaving) == Request.m_VmsHeld)
    return;
  Granted.m_VmsListed = true;
  // The node gets the set with this grant and need not be asked to renew.
  if (Self != Reports.m_Nodes.end())
    Self->second.m_AppliedDigest = vmSetDigest(Leaving);
  for (const VmId &Vm : Leaving)
    Granted.m_LeavingVms.push_back({Vm});
  Granted.m_VmsComplete = FormerEnded;
  for (const std::pair<const NodeId, NodeVmReport> &Row : Reports.m_Nodes)
    if (isLive(Reports, Row.second, Now) &&
        Row.second.m_ReceivedReport != Row.second.m_LatestReport)
      Granted.m_VmsComplete = false;
}

bool takeFleetVms(VmView &Vms, const Grant &Granted) {
  Vms.m_AckedReport = Granted.m_VmReport;
  if (!Granted.m_VmsListed)
    return false;
  std::set<VmId> Leaving;
  if (!Granted.m_VmsComplete)
    Leaving = Vms.m_FleetLeaving;
  for (const LeavingVm &Vm : Granted.m_LeavingVms)
    Leaving.insert(Vm.m_Vm);
  bool Changed = Leaving != Vms.m_FleetLeaving;
  Vms.m_FleetLeaving = std::move(Leaving);
  return Changed;
}

bool vmReportPending(const VmView &Vms) {
  return Vms.m_ReportNumber != Vms.m_AckedReport;
}

std::vector<NodeId> receiversOfVmChange(VmReports &Reports, Millis Now) {
  const std::set<VmId> &Leaving = fleetLeavingVms(Reports, Now);
  bool Grew =
      !std::includes(Reports.m_Announced.begin(), Reports.m_Announced.end(),
                     Leaving.begin(), Leaving.end());
  Reports.m_Announced = Leaving;
  std::vector<NodeId> Receivers;
  if (!Grew)
    return Receivers;
  std::uint64_t Digest = vmSetDigest(Reports.m_Announced);
  for (const std::pair<const NodeId, NodeVmReport> &Row : Reports.m_Nodes)
    if (isLive(Reports, Row.second, Now) &&
        Row.second.m_AppliedDigest != Digest)
      Receivers.push_back(Row.first);
  return Receivers;
}

} // namespace vanillaferry
