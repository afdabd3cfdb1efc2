#include "process/clock.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"

#include <algorithm>

namespace vanillaferry::internal {

namespace {

/// Time that a keeper with a twentieth of a core needs for one early renewal.
/// Announcements are at least this long apart for each router.
constexpr Millis RenewalProcessingTime{5};
/// Most renewals kept while there is no leader; the target size has no more
/// routers than this.
constexpr std::size_t MaxWaitingRenewals = 10000;
/// A follower that finds no leader for this long may be cut off; its gateways
/// then try another keeper. An election takes less.
constexpr Millis NoLeaderLimit{1500};
/// A change that was sent to a gateway is applied there within this time.
constexpr Millis DeliveryTime{1000};

std::vector<ZoneOut> zonesOut(const StateMachine &State) {
  std::vector<ZoneOut> Out;
  for (const ZoneId &Zone : State.m_ZonesOut)
    Out.push_back({Zone});
  return Out;
}

/// Records a router's running requests and adds the sum of the other routers'
/// to its grant.
void exchangeLoads(Keeper &Self, const Renew &Request, Grant &Granted,
                   Millis Now) {
  if (!Request.m_IdsOnly)
    return;
  Result<std::vector<KeyedLoad>> Loads = decodeLoads(Request.m_Loads);
  if (!Loads) {
    logEvent(Event::PeerFrameMalformed,
             {{"from", Request.m_Node.m_Value}, {"why", Loads.error().m_Text}});
    return;
  }
  noteLoads(Self.m_LoadBoard, Request.m_Node, std::move(Loads.value()), Now);
  std::optional<std::vector<KeyedLoad>> Others = loadsOfOthers(
      Self.m_LoadBoard, Request.m_Node, Self.m_State.m_Members.size(), Now);
  Granted.m_LoadsSummed = Others.has_value();
  if (Others)
    Granted.m_OthersLoads = encodeLoads(*Others);
}

/// Records whether a gateway reaches targets and offers it others where it does
/// not.
void exchangeRelays(Keeper &Self, const Renew &Request, Grant &Granted,
                    Millis Now) {
  if (!Request.m_IdsOnly)
    return;
  noteRelayReport(Self.m_RelayBoard, Request, Now);
  Granted.m_Relays = offerRelays(Self.m_RelayBoard, Request, Now);
}

/// Adds the keepers' addresses for a router that has those of an older set.
void attachKeeperSet(const Keeper &Self, const Renew &Request, Grant &Granted) {
  // The first set may have index 0, which stands for no set in messages.
  std::uint64_t Version = Self.m_Replica.m_SetIndex.m_Value + 1;
  if (!Request.m_IdsOnly || Request.m_KeeperSetHeld >= Version)
    return;
  Granted.m_KeeperSet = Version;
  for (const KeeperAddress &Voter : Self.m_Replica.m_Set.m_Voters)
    Granted.m_Keepers.push_back({Voter.m_PeerUrl});
}

/// Adds what every keeper holds: manifest, targets, members and keepers.
void attachReplicated(Keeper &Self, const Renew &Request, Grant &Granted) {
  attachManifest(Self, Request, Granted);
  attachTargets(Self, Request, Granted);
  attachMemberIds(Self, Request, Granted);
  attachKeeperSet(Self, Request, Granted);
}

/// Completes a grant for a gateway that is connected here. What it carries
/// counts as held.
void completeGrant(Keeper &Self, ServedGateway &Served, Grant &Granted) {
  attachReplicated(Self, Served.m_Last, Granted);
  Served.m_Granted = true;
  if (Granted.m_TargetsDigest != 0)
    Served.m_Last.m_TargetsHeld = Granted.m_TargetsDigest;
  if (Granted.m_ManifestDelta.empty())
    return;
  Served.m_Last.m_ManifestHeld = Granted.m_ManifestVersion;
  Served.m_SentAt = monotonicNow();
}

void keepWaiting(Keeper &Self, const Renew &Request, const NodeId &From,
                 Millis Now) {
  if (Self.m_WaitingRenewals.size() >= MaxWaitingRenewals)
    return;
  WaitingRenewal &Waiting = Self.m_WaitingRenewals[Request.m_Node];
  if (Waiting.m_Request.m_Sequence == 0)
    Waiting.m_Since = Now;
  Waiting.m_Request = Request;
  Waiting.m_From = From;
}

void sendGrant(Keeper &Self, const Renew &Request, const NodeId &From,
               Grant Granted) {
  bool Relayed = From.m_Value != Request.m_Node.m_Value;
  if (Relayed) {
    Granted.m_Node = Request.m_Node;
    stateManifestDeadline(Self, Request, Granted);
  } else {
    std::map<NodeId, ServedGateway>::iterator Served = Self.m_Served.find(From);
    if (Served == Self.m_Served.end())
      attachReplicated(Self, Request, Granted);
    else
      completeGrant(Self, Served->second, Granted);
  }
  Self.m_Peers->send(From, std::move(Granted));
}

void renew(Keeper &Self, const Renew &Request, const NodeId &From,
           bool MayPropose) {
  Millis Now = monotonicNow();
  LeaseTable *Table = grantingTable(Self, Now);
  if (!Table) {
    if (leads(Self))
      keepWaiting(Self, Request, From, Now);
    return;
  }
  RenewDecision Decision = renewLease(*Table, Self.m_State, Request, Now);
  bool HasGrant = Decision.m_Grant.has_value();
  if (HasGrant) {
    addCounter(Self.m_Metrics, "vanillaferry_leases_granted_total");
    exchangeLoads(Self, Request, *Decision.m_Grant, Now);
    exchangeRelays(Self, Request, *Decision.m_Grant, Now);
    if (Request.m_IdsOnly)
      Decision.m_Grant->m_Rollouts = rolloutOrders(Self);
    sendGrant(Self, Request, From, std::move(*Decision.m_Grant));
  }
  if (!MayPropose)
    return;
  // Without a grant the router waits for the change; its renewal is handled
  // once more when the change is applied.
  for (Command &Change : Decision.m_Propose)
    proposeCommand(Self, std::move(Change),
                   [&Self, Request, From, HasGrant](const CommandAnswer *Done) {
                     if (Done && !HasGrant)
                       renew(Self, Request, From, false);
                   });
}

/// True while the leader that this follower knows is heard from.
bool followsLeader(const Keeper &Self, Millis Now) {
  const Replica &State = Self.m_Replica;
  return Self.m_Running && !State.m_Leader.empty() && !leads(Self) &&
         Now < State.m_LastLeaderContact + State.m_Options.m_ElectionMin;
}

/// A renewal that was sent before the last change arrived must not make the
/// keeper send that change once more.
void recordServed(ServedGateway &Served, const Renew &Request, Millis Now) {
  Renew Before = std::move(Served.m_Last);
  Served.m_Last = Request;
  Served.m_Last.m_Loads.clear();
  if (Before.m_Incarnation != Request.m_Incarnation)
    Served.m_Granted = false;
  if (!Served.m_Granted || Now - Served.m_SentAt > DeliveryTime)
    return;
  Served.m_Last.m_ManifestHeld =
      std::max(Before.m_ManifestHeld, Request.m_ManifestHeld);
  Served.m_Last.m_AckedVersion =
      std::max(Before.m_AckedVersion, Request.m_AckedVersion);
  Served.m_Last.m_QuarantineHeld =
      std::max(Before.m_QuarantineHeld, Request.m_QuarantineHeld);
}

/// Sends one gateway what it lacks.
void sendChange(Keeper &Self, const NodeId &Gateway, ServedGateway &Served,
                Millis Now) {
  const StateMachine &State = Self.m_State;
  Renew &Held = Served.m_Last;
  bool LacksVersion = Held.m_AckedVersion < State.m_Document.m_Version;
  bool LacksManifest = Held.m_ManifestHeld < State.m_Manifest.m_Version;
  if (!Served.m_Granted || (!LacksVersion && !LacksManifest))
    return;
  const ManifestUpdate *Update =
      LacksManifest ? reserveManifestUpdate(Self, Held.m_ManifestHeld, Now)
                    : nullptr;
  if (!Update && !LacksVersion)
    return;
  ControlUpdate Change;
  Change.m_Version = State.m_Document.m_Version;
  Change.m_ZonesOut = zonesOut(State);
  Change.m_Rollouts = rolloutOrders(Self);
  Change.m_QuarantineVersion = State.m_Quarantine.m_Version;
  if (Held.m_QuarantineHeld < State.m_Quarantine.m_Version)
    Change.m_Quarantine = refusedParts(State.m_Quarantine);
  Held.m_QuarantineHeld = Change.m_QuarantineVersion;
  Change.m_ManifestVersion = State.m_Manifest.m_Version;
  Held.m_AckedVersion = Change.m_Version;
  if (Update) {
    Change.m_ManifestBase = Update->m_Base;
    Change.m_ManifestDelta = Update->m_Delta;
    Held.m_ManifestHeld = Change.m_ManifestVersion;
  }
  Self.m_Peers->send(Gateway, std::move(Change));
  Served.m_SentAt = Now;
}

void relay(Keeper &Self, const Renew &Request) {
  addCounter(Self.m_Metrics, "vanillaferry_renewals_relayed_total");
  Self.m_Peers->send(NodeId(Self.m_Replica.m_Leader.m_Value), Request);
}

/// A redirect to this keeper itself asks the gateway to wait for an answer.
void askToWait(Keeper &Self, const NodeId &Gateway) {
  Self.m_Peers->send(
      Gateway, RedirectLeader{KeeperId(), peerUrlOf(Self.m_Settings.m_Peer)});
}

/// A redirect without an address asks the gateway to try another keeper.
void sendElsewhere(Keeper &Self, const NodeId &Gateway) {
  Self.m_Peers->send(Gateway, RedirectLeader());
}

} // namespace

void onRenew(Keeper &Self, const NodeId &From, const Renew &Request) {
  bool Relayed = Request.m_Node != From;
  if (Relayed && !isKeeper(Self, From))
    return;
  Millis Now = monotonicNow();
  if (Self.m_HeldBack && !Relayed)
    return sendElsewhere(Self, From);
  if (!Relayed && Request.m_IdsOnly)
    recordServed(Self.m_Served[From], Request, Now);
  if (leads(Self))
    return renew(Self, Request, From, true);
  // A follower that still takes this keeper for the leader learns better by the
  // next heartbeat.
  if (Relayed)
    return addCounter(Self.m_Metrics, "vanillaferry_renewals_misrouted_total");
  if (!Request.m_IdsOnly)
    return redirectToLeader(Self, From);
  if (followsLeader(Self, Now))
    return relay(Self, Request);
  keepWaiting(Self, Request, From, Now);
  askToWait(Self, From);
}

void onRelayedGrant(Keeper &Self, const NodeId &From, Grant Granted) {
  std::map<NodeId, ServedGateway>::iterator Served =
      Self.m_Served.find(Granted.m_Node);
  if (!isKeeper(Self, From) || Served == Self.m_Served.end())
    return;
  NodeId Gateway = std::move(Granted.m_Node);
  Granted.m_Node = NodeId();
  completeGrant(Self, Served->second, Granted);
  Self.m_Peers->send(Gateway, std::move(Granted));
}

void grantWaitingRenewals(Keeper &Self) {
  std::map<NodeId, WaitingRenewal> Waiting;
  Waiting.swap(Self.m_WaitingRenewals);
  for (const std::pair<const NodeId, WaitingRenewal> &Row : Waiting)
    renew(Self, Row.second.m_Request, Row.second.m_From, true);
}

void relayWaitingRenewals(Keeper &Self, Millis Now) {
  if (Self.m_WaitingRenewals.empty())
    return;
  bool Follows = followsLeader(Self, Now);
  std::map<NodeId, WaitingRenewal>::iterator Row =
      Self.m_WaitingRenewals.begin();
  while (Row != Self.m_WaitingRenewals.end()) {
    const WaitingRenewal &Waiting = Row->second;
    bool TooLong = Now - Waiting.m_Since >= NoLeaderLimit;
    if (!Follows && !TooLong) {
      ++Row;
      continue;
    }
    bool Direct = Waiting.m_From == Waiting.m_Request.m_Node;
    if (Follows && Direct)
      relay(Self, Waiting.m_Request);
    else if (Direct)
      sendElsewhere(Self, Waiting.m_From);
    Row = Self.m_WaitingRenewals.erase(Row);
  }
}

void sendChanges(Keeper &Self, Millis Now) {
  for (std::pair<const NodeId, ServedGateway> &Row : Self.m_Served)
    sendChange(Self, Row.first, Row.second, Now);
}

void announceChanges(Keeper &Self, Millis Now) {
  if (!Self.m_Leases || Now < Self.m_NextAnnouncement)
    return;
  RenewRequest Change{Self.m_State.m_Epoch, Self.m_State.m_Document.m_Version};
  if (Change.m_Epoch <= Self.m_Announced.m_Epoch &&
      Change.m_Version <= Self.m_Announced.m_Version)
    return;
  Self.m_Announced = Change;
  std::int64_t Asked = 0;
  for (const std::pair<const NodeId, NodeLease> &Row :
       Self.m_Leases->m_Leases) {
    const NodeLease &Lease = Row.second;
    if (Lease.m_IdsOnly)
      continue;
    ++Asked;
    if (Lease.m_AckedEpoch < Change.m_Epoch ||
        Lease.m_AckedVersion < Change.m_Version)
      Self.m_Peers->send(Row.first, Change);
  }
  Self.m_NextAnnouncement = Now + Millis(RenewalProcessingTime.m_Value * Asked);
}

} // namespace vanillaferry::internal
