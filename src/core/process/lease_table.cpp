#include "vanillaferry/process/lease_table.hpp"

#include "process/lease_reports.hpp"

#include <algorithm>
#include <limits>

namespace vanillaferry {

namespace {

constexpr std::size_t MaxGatewayRemovals = 1;

/// True once every lease of the former leader has ended.
bool formerLeasesEnded(const LeaseTable &Table, Millis Now) {
  return Table.m_LedSince + Table.m_Options.m_LeaseTime <= Now;
}

bool isLive(const NodeLease &Lease, Millis Now) {
  return Now < Lease.m_ExpiresAt;
}

/// Calls Visit with every live lease, also those of replaced incarnations and
/// of nodes that are no longer members.
template <typename Visitor>
void visitLive(const LeaseTable &Table, Millis Now, const Visitor &Visit) {
  for (const std::pair<const NodeId, NodeLease> &Row : Table.m_Leases)
    if (isLive(Row.second, Now))
      Visit(Row.second);
  for (const NodeLease &Lease : Table.m_Former)
    if (isLive(Lease, Now))
      Visit(Lease);
}

/// Moves expired leases of removed nodes to m_Former.
void moveRemovedNodes(LeaseTable &Table, const StateMachine &State,
                      Millis Now) {
  // Looking all nodes up for each renewal would cost the square of the fleet.
  if (Table.m_AllMembersAt == State.m_Epoch && State.m_Epoch != Epoch(0))
    return;
  bool AllMembers = true;
  std::map<NodeId, NodeLease>::iterator Row = Table.m_Leases.begin();
  while (Row != Table.m_Leases.end()) {
    bool Removed = State.m_Members.count(Row->first) == 0;
    // The report of a removed node still counts as residual load.
    if (Removed && !isLive(Row->second, Now)) {
      Table.m_Former.push_back(std::move(Row->second));
      Row = Table.m_Leases.erase(Row);
    } else {
      AllMembers = AllMembers && !Removed;
      ++Row;
    }
  }
  if (AllMembers)
    Table.m_AllMembersAt = State.m_Epoch;
}

/// Moves expired leases of removed nodes to m_Former and drops expired ones
/// whose report is too old to count.
void pruneFormer(LeaseTable &Table, const StateMachine &State, Millis Now) {
  moveRemovedNodes(Table, State, Now);
  Millis Keep = Table.m_Options.m_ResidualMaxAge;
  Table.m_Former.erase(std::remove_if(Table.m_Former.begin(),
                                      Table.m_Former.end(),
                                      [&](const NodeLease &Lease) {
                                        return !isLive(Lease, Now) &&
                                               Lease.m_ReportedAt + Keep < Now;
                                      }),
                       Table.m_Former.end());
}

const Member *findMember(const StateMachine &State, const NodeId &Node) {
  std::map<NodeId, Member>::const_iterator Found = State.m_Members.find(Node);
  return Found == State.m_Members.end() ? nullptr : &Found->second;
}

Member memberOf(const Renew &Request) {
  return {Request.m_Node, Request.m_Incarnation, Request.m_PeerUrl,
          Request.m_Zone, Request.m_Leaving};
}

/// The membership change that a renewal asks for, if any.
std::optional<Command> membershipChangeFor(const Member *Known,
                                           const Renew &Request) {
  if (!Known || Known->m_Incarnation != Request.m_Incarnation) {
    if (Request.m_Leaving)
      return std::nullopt;
    return AddMember{memberOf(Request)};
  }
  bool Same = Known->m_PeerUrl == Request.m_PeerUrl &&
              Known->m_Zone == Request.m_Zone &&
              (Known->m_Leaving || !Request.m_Leaving);
  if (Same)
    return std::nullopt;
  return AddMember{memberOf(Request)};
}

/// The record of the renewing incarnation; the record of another incarnation
/// is kept until its lease has ended.
NodeLease &findOrCreateLease(LeaseTable &Table, const Renew &Request,
                             bool &IsNew) {
  std::map<NodeId, NodeLease>::iterator Found =
      Table.m_Leases.find(Request.m_Node);
  if (Found != Table.m_Leases.end() &&
      Found->second.m_Incarnation != Request.m_Incarnation) {
    Table.m_Former.push_back(std::move(Found->second));
    Table.m_Leases.erase(Found);
    Found = Table.m_Leases.end();
  }
  IsNew = Found == Table.m_Leases.end();
  NodeLease &Lease = Table.m_Leases[Request.m_Node];
  Lease.m_Node = Request.m_Node;
  Lease.m_Incarnation = Request.m_Incarnation;
  return Lease;
}

/// Records what the renewal acknowledges. A node whose lease is known to have
/// ended acts only on the grant that it gets now, with the present members and
/// sections.
void recordAcknowledged(NodeLease &Lease, const StateMachine &State,
                        const Renew &Request, bool WasEnded) {
  Epoch Acked = std::min(Request.m_AckedEpoch, State.m_Epoch);
  DocumentVersion Version =
      std::min(Request.m_AckedVersion, State.m_Document.m_Version);
  if (WasEnded) {
    Acked = State.m_Epoch;
    Version = State.m_Document.m_Version;
  }
  // A renewal that was overtaken by a later one must not lower these.
  Lease.m_AckedEpoch = std::max(Lease.m_AckedEpoch, Acked);
  Lease.m_AckedVersion = std::max(Lease.m_AckedVersion, Version);
}

/// True when the node was no possible owner at an epoch after this one.
bool wasInterrupted(const StateMachine &State, const NodeId &Node,
                    Epoch Since) {
  std::map<NodeId, JoinedIncarnations>::const_iterator Found =
      State.m_Joined.find(Node);
  return Found != State.m_Joined.end() && Since < Found->second.m_DepartedAt;
}

Grant makeGrant(LeaseTable &Table, const StateMachine &State,
                const Renew &Request, Millis Now) {
  Grant Granted;
  Granted.m_Sequence = Request.m_Sequence;
  Granted.m_Duration = Table.m_Options.m_LeaseTime;
  Granted.m_Epoch = State.m_Epoch;
  Granted.m_SafeEpoch = safeEpoch(Table, State, Now);
  if (Request.m_AckedEpoch < State.m_Epoch && !Request.m_IdsOnly)
    for (const std::pair<const NodeId, Member> &Row : State.m_Members)
      Granted.m_Members.push_back(Row.second);
  Granted.m_Interrupted =
      wasInterrupted(State, Request.m_Node, Request.m_AckedEpoch);
  Granted.m_Version = State.m_Document.m_Version;
  Granted.m_Sections =
      changedSections(State.m_Document, Request.m_AckedVersion);
  Granted.m_ManifestVersion = State.m_Manifest.m_Version;
  for (const ZoneId &Zone : State.m_ZonesOut)
    Granted.m_ZonesOut.push_back({Zone});
  Granted.m_QuarantineVersion = State.m_Quarantine.m_Version;
  if (Request.m_QuarantineHeld < State.m_Quarantine.m_Version)
    Granted.m_Quarantine = refusedParts(State.m_Quarantine);
  Granted.m_Totals = poolTotals(Table, Now);
  Granted.m_Residual =
      residualLoads(Table, State, Request.m_Node, Request.m_Incarnation, Now);
  Granted.m_Shares =
      allocateShares(Table.m_Shares, Request, Now + Table.m_Options.m_LeaseTime,
                     !formerLeasesEnded(Table, Now), Now);
  addFleetVms(Granted, Table.m_VmReports, Request,
              formerLeasesEnded(Table, Now), Now);
  return Granted;
}

} // namespace

LeaseTable makeLeaseTable(LeaseOptions Options, const StateMachine &State,
                          Millis Now) {
  LeaseTable Table;
  Table.m_Options = Options;
  Table.m_LedSince = Now;
  Table.m_VmReports.m_Options.m_LeaseTime = Options.m_LeaseTime;
  for (const std::pair<const NodeId, Member> &Row : State.m_Members) {
    NodeLease Lease;
    Lease.m_Node = Row.first;
    Lease.m_Incarnation = Row.second.m_Incarnation;
    Lease.m_ExpiresAt = Now + Options.m_LeaseTime;
    Lease.m_Leaving = Row.second.m_Leaving;
    Table.m_Leases.emplace(Row.first, Lease);
  }
  return Table;
}

RenewDecision renewLease(LeaseTable &Table, const StateMachine &State,
                         const Renew &Request, Millis Now) {
  RenewDecision Decision;
  if (isReplaced(State, Request.m_Node, Request.m_Incarnation))
    return Decision;
  const Member *Known = findMember(State, Request.m_Node);
  std::optional<Command> Change = membershipChangeFor(Known, Request);
  if (Change)
    Decision.m_Propose.push_back(*Change);
  if (!Known || Known->m_Incarnation != Request.m_Incarnation) {
    if (Change)
      Table.m_Joining[Request.m_Node] = Now;
    return Decision;
  }
  Table.m_Joining.erase(Request.m_Node);
  pruneFormer(Table, State, Now);
  bool IsNew = false;
  NodeLease &Lease = findOrCreateLease(Table, Request, IsNew);
  // The node has sent a later renewal and would not accept this grant.
  if (Request.m_Sequence <= Lease.m_Sequence)
    return Decision;
  bool WasEnded = IsNew ? formerLeasesEnded(Table, Now) : !isLive(Lease, Now);
  recordAcknowledged(Lease, State, Request, WasEnded);
  Lease.m_ExpiresAt = Now + Table.m_Options.m_LeaseTime;
  Lease.m_Leaving = Lease.m_Leaving || Request.m_Leaving;
  refreshAccountLimits(Table, State);
  Lease.m_Sequence = Request.m_Sequence;
  Lease.m_IdsOnly = Request.m_IdsOnly;
  storeReport(Table, Lease, State, Request, Now);
  recordDemand(Table.m_Shares, Request, WasEnded);
  takeVmReport(Table.m_VmReports, Request, Now);
  Decision.m_Grant = makeGrant(Table, State, Request, Now);
  return Decision;
}

std::optional<LoadTotals> updateLoads(LeaseTable &Table,
                                      const LoadUpdate &Update, Millis Now) {
  std::map<NodeId, NodeLease>::iterator Found =
      Table.m_Leases.find(Update.m_Node);
  if (Found == Table.m_Leases.end())
    return std::nullopt;
  NodeLease &Lease = Found->second;
  if (Lease.m_Incarnation != Update.m_Incarnation || !isLive(Lease, Now) ||
      Update.m_Sequence <= Lease.m_LoadSequence)
    return std::nullopt;
  Lease.m_LoadSequence = Update.m_Sequence;
  Lease.m_Pools = Update.m_Pools;
  Lease.m_ReportedAt = Now;
  LoadTotals Answer;
  Answer.m_Sequence = Update.m_Sequence;
  for (const PoolTotal &Total : poolTotals(Table, Now))
    for (const PoolLoad &Own : Update.m_Pools)
      if (Own.m_Pool == Total.m_Pool)
        Answer.m_Totals.push_back(Total);
  return Answer;
}

std::vector<Command> expiredLeases(const LeaseTable &Table,
                                   const StateMachine &State, Millis Now) {
  std::vector<Command> Ended;
  if (!formerLeasesEnded(Table, Now))
    return Ended;
  for (const std::pair<const NodeId, Member> &Row : State.m_Members) {
    std::map<NodeId, NodeLease>::const_iterator Lease =
        Table.m_Leases.find(Row.first);
    bool Known = Lease != Table.m_Leases.end() &&
                 Lease->second.m_Incarnation == Row.second.m_Incarnation;
    if (Known && isLive(Lease->second, Now))
      continue;
    // A member that has just joined has one lease time for its next renewal.
    std::map<NodeId, Millis>::const_iterator Joining =
        Table.m_Joining.find(Row.first);
    if (Joining != Table.m_Joining.end() &&
        Now < Joining->second + Table.m_Options.m_LeaseTime)
      continue;
    Ended.push_back(RemoveMember{Row.first, Row.second.m_Incarnation});
  }
  return Ended;
}

std::size_t maxRemovals(const LeaseTable &Table) {
  bool Gateways =
      std::any_of(Table.m_Leases.begin(), Table.m_Leases.end(),
                  [](const std::pair<const NodeId, NodeLease> &Row) {
                    return Row.second.m_IdsOnly;
                  });
  return Gateways ? MaxGatewayRemovals
                  : std::numeric_limits<std::size_t>::max();
}

bool inForceEverywhere(const LeaseTable &Table, const StateMachine &State,
                       DocumentVersion Version, Millis Now) {
  if (State.m_Document.m_Version < Version || !formerLeasesEnded(Table, Now))
    return false;
  bool InForce = true;
  visitLive(Table, Now, [&](const NodeLease &Lease) {
    InForce = InForce && Version <= Lease.m_AckedVersion;
  });
  return InForce;
}

Epoch safeEpoch(const LeaseTable &Table, const StateMachine &State,
                Millis Now) {
  if (!formerLeasesEnded(Table, Now))
    return Epoch(0);
  Epoch Lowest = State.m_Epoch;
  visitLive(Table, Now, [&](const NodeLease &Lease) {
    Lowest = std::min(Lowest, Lease.m_AckedEpoch);
  });
  return Lowest;
}

} // namespace vanillaferry
