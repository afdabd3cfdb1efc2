#define XXH_INLINE_ALL
#include "vanillaferry/process/vm_reports.hpp"

#include <algorithm>
#include <xxhash.h>

namespace vanillaferry {

namespace {

/// Rules that depend on time are evaluated again after this, not for each
/// grant, which would cost the square of the number of routers.
constexpr Millis LeavingRefresh{50};

/// 0 for an empty set, which then costs no bytes in a renewal.
std::uint64_t digestOf(const std::set<VmId> &Vms) {
  std::uint64_t Digest = 0;
  for (const VmId &Vm : Vms)
    Digest = XXH3_64bits_withSeed(Vm.m_Value.data(), Vm.m_Value.size(), Digest);
  // Half of the digest is enough to tell two successive sets apart.
  return Digest >> 32;
}

bool isLive(const VmReports &Reports, const NodeVmReport &Node, Millis Now) {
  return Now < Node.m_RenewedAt + Reports.m_Options.m_LeaseTime;
}

/// Drops nodes that are gone and whose reports no longer count.
void pruneNodes(VmReports &Reports, Millis Now) {
  const VmReportOptions &Options = Reports.m_Options;
  for (auto It = Reports.m_Nodes.begin(); It != Reports.m_Nodes.end();) {
    bool Old = It->second.m_RenewedAt + Options.m_SingleMaxAge < Now;
    It = Old ? Reports.m_Nodes.erase(It) : std::next(It);
  }
}

/// What all reports together say of one VM.
struct VmStatements {
  /// When each router saw the leave, and whether that router is live.
  std::vector<std::pair<Millis, bool>> m_Leaving;
  std::optional<Millis> m_ReturnedAt;
};

bool isLeaving(const VmStatements &All, const VmReportOptions &Options,
               Millis Now) {
  std::size_t Confirmed = 0;
  bool Fresh = false;
  for (const std::pair<Millis, bool> &Turn : All.m_Leaving) {
    // A return seen more than the lag of lists after the leave is newer.
    if (All.m_ReturnedAt && Turn.first + Options.m_ListLag <= *All.m_ReturnedAt)
      continue;
    Confirmed += Turn.second ? 1 : 0;
    Fresh = Fresh || Now < Turn.first + Options.m_SingleMaxAge;
  }
  return Fresh || Confirmed > 1;
}

} // namespace

void addVmReport(Renew &Request, const VmView &Vms, Millis Now) {
  Request.m_VmReport = Vms.m_Report;
  Request.m_VmsHeld = digestOf(Vms.m_FleetLeaving);
  Request.m_VmsStated = reportMissing(Vms);
  if (!Request.m_VmsStated)
    return;
  for (const std::pair<const VmId, VmRecord> &Row : Vms.m_Vms)
    if (Row.second.m_State == VmState::Leaving || Row.second.m_Returned)
      Request.m_Vms.push_back({Row.first, Row.second.m_State == VmState::Live,
                               Now - Row.second.m_TurnedAt});
}

void takeVmReport(VmReports &Reports, const Renew &Request, Millis Now) {
  pruneNodes(Reports, Now);
  NodeVmReport &Node = Reports.m_Nodes[Request.m_Node];
  if (Node.m_Incarnation != Request.m_Incarnation) {
    // What the former process saw counts until the new one has read its list.
    Node.m_Incarnation = Request.m_Incarnation;
    Node.m_Taken = 0;
  }
  Node.m_RenewedAt = Now;
  Node.m_Held = Request.m_VmsHeld;
  Node.m_Stated = Request.m_VmReport;
  if (!Request.m_VmsStated)
    return;
  Node.m_Taken = Request.m_VmReport;
  Reports.m_LeavingAt.reset();
  Node.m_Turns.clear();
  for (const VmStateReport &Vm : Request.m_Vms)
    Node.m_Turns[Vm.m_Vm] = {Vm.m_Returned, Now - Vm.m_Age};
}

const std::set<VmId> &fleetLeavingVms(VmReports &Reports, Millis Now) {
  if (Reports.m_LeavingAt && Now < *Reports.m_LeavingAt + LeavingRefresh)
    return Reports.m_Leaving;
  Reports.m_LeavingAt = Now;
  Reports.m_Leaving.clear();
  std::map<VmId, VmStatements> ByVm;
  for (const std::pair<const NodeId, NodeVmReport> &Row : Reports.m_Nodes)
    for (const std::pair<const VmId, NodeVmReport::Turn> &Turn :
         Row.second.m_Turns) {
      VmStatements &All = ByVm[Turn.first];
      Millis At = Turn.second.m_At;
      if (!Turn.second.m_Returned)
        All.m_Leaving.emplace_back(At, Row.second.m_Taken != 0 &&
                                           isLive(Reports, Row.second, Now));
      else if (!All.m_ReturnedAt || *All.m_ReturnedAt < At)
        All.m_ReturnedAt = At;
    }
  for (const std::pair<const VmId, VmStatements> &Row : ByVm)
    if (isLeaving(Row.second, Reports.m_Options, Now))
      Reports.m_Leaving.insert(Row.first);
  return Reports.m_Leaving;
}

void addFleetVms(Grant &Granted, VmReports &Reports, const Renew &Request,
                 bool FormerEnded, Millis Now) {
  auto Self = Reports.m_Nodes.find(Request.m_Node);
  Granted.m_VmReport = Self == Reports.m_Nodes.end() ? 0 : Self->second.m_Taken;
  const std::set<VmId> &Leaving = fleetLeavingVms(Reports, Now);
  if (digestOf(Leaving) == Request.m_VmsHeld)
    return;
  Granted.m_VmsListed = true;
  // The node learns of the set by this grant and need not be asked to renew.
  if (Self != Reports.m_Nodes.end())
    Self->second.m_Held = digestOf(Leaving);
  for (const VmId &Vm : Leaving)
    Granted.m_LeavingVms.push_back({Vm});
  Granted.m_VmsComplete = FormerEnded;
  for (const std::pair<const NodeId, NodeVmReport> &Row : Reports.m_Nodes)
    if (isLive(Reports, Row.second, Now) &&
        Row.second.m_Taken != Row.second.m_Stated)
      Granted.m_VmsComplete = false;
}

bool takeFleetVms(VmView &Vms, const Grant &Granted) {
  Vms.m_ReportTaken = Granted.m_VmReport;
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

bool reportMissing(const VmView &Vms) {
  return Vms.m_Report != Vms.m_ReportTaken;
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
  std::uint64_t Digest = digestOf(Reports.m_Announced);
  for (const std::pair<const NodeId, NodeVmReport> &Row : Reports.m_Nodes)
    if (isLive(Reports, Row.second, Now) && Row.second.m_Held != Digest)
      Receivers.push_back(Row.first);
  return Receivers;
}

} // namespace vanillaferry
