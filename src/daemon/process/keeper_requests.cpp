#include "connection/message_codec.hpp"
#include "process/clock.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"
#include "vanillaferry/process/replication_codec.hpp"

#include <algorithm>
#include <chrono>

namespace vanillaferry::internal {

namespace {

constexpr Millis LeaseCheckInterval{100};
constexpr Millis ClockInterval{60000};
/// Events other than replication messages that are handled before these get
/// their turn again: some milliseconds on a twentieth of a core.
constexpr std::size_t EventsPerTurn = 16;
/// Largest message that is accepted in parts.
constexpr std::size_t MaxLongMessageBytes = std::size_t(1) << 30;

std::string urlOfKeeper(const Keeper &Self, const KeeperId &Keeper) {
  for (const std::vector<KeeperAddress> *Keepers :
       {&Self.m_Replica.m_Set.m_Voters, &Self.m_Replica.m_Set.m_Learners})
    for (const KeeperAddress &Address : *Keepers)
      if (Address.m_Keeper == Keeper)
        return Address.m_PeerUrl;
  return std::string();
}

} // namespace

void redirectToLeader(Keeper &Self, const NodeId &To) {
  KeeperId Leader = Self.m_Running ? Self.m_Replica.m_Leader : KeeperId();
  addCounter(Self.m_Metrics, "vanillaferry_leader_redirects_total");
  Self.m_Peers->send(To, RedirectLeader{Leader, urlOfKeeper(Self, Leader)});
}

namespace {

void onLoadUpdate(Keeper &Self, const NodeId &From, const LoadUpdate &Update) {
  Millis Now = monotonicNow();
  LeaseTable *Table =
      Update.m_Node == From ? grantingTable(Self, Now) : nullptr;
  if (!Table)
    return;
  std::optional<LoadTotals> Totals = updateLoads(*Table, Update, Now);
  if (Totals)
    Self.m_Peers->send(From, std::move(*Totals));
}

void answerJournal(Keeper &Self, const NodeId &To, const RequestId &Request,
                   const CommandAnswer *Answer) {
  JournalAnswer Unknown;
  Unknown.m_Request = Request;
  const JournalAnswer *Known =
      Answer ? std::get_if<JournalAnswer>(Answer) : nullptr;
  Self.m_Peers->send(To, Known ? *Known : Unknown);
}

template <typename Call>
void onJournal(Keeper &Self, const NodeId &From, const Call &Input) {
  if (Input.m_Node != From)
    return;
  if (!leads(Self)) {
    redirectToLeader(Self, From);
    answerJournal(Self, From, Input.m_Request, nullptr);
    return;
  }
  RequestId Request = Input.m_Request;
  Call Proposed = Input;
  if constexpr (std::is_same_v<Call, JournalBegin>)
    Proposed.m_ProposedAt = wallNow();
  addCounter(Self.m_Metrics, "vanillaferry_journal_commands_total");
  proposeCommand(Self, std::move(Proposed),
                 [&Self, From, Request](const CommandAnswer *Answer) {
                   answerJournal(Self, From, Request, Answer);
                 });
}

/// Collects the parts of a long message; true when it is complete. A part out
/// of order discards the parts before it; the sender's resend starts with the
/// first part again.
bool collectParts(Keeper &Self, const NodeId &From, Replicate &Envelope) {
  if (Envelope.m_Parts <= 1)
    return true;
  PartialMessage &Partial = Self.m_Partial[From];
  if (Envelope.m_Part == 0)
    Partial = PartialMessage{Envelope.m_Message, 0, std::string()};
  if (Partial.m_Message != Envelope.m_Message ||
      Partial.m_NextPart != Envelope.m_Part ||
      Partial.m_Payload.size() > MaxLongMessageBytes) {
    Self.m_Partial.erase(From);
    return false;
  }
  ++Partial.m_NextPart;
  Partial.m_Payload += Envelope.m_Payload;
  if (Partial.m_NextPart < Envelope.m_Parts)
    return false;
  Envelope.m_Payload = std::move(Partial.m_Payload);
  Self.m_Partial.erase(From);
  return true;
}

void onReplicate(Keeper &Self, const NodeId &From, Replicate &Envelope) {
  if (!Self.m_Running || !collectParts(Self, From, Envelope))
    return;
  Result<ReplicaMessage> Message = decodeReplicaMessage(Envelope.m_Payload);
  if (!Message || Message.value().m_From.m_Value != From.m_Value) {
    addCounter(Self.m_Metrics, "vanillaferry_replication_malformed_total");
    return;
  }
  perform(Self,
          receive(Self.m_Replica, std::move(Message.value()), monotonicNow()));
}

void onMessage(Keeper &Self, const NodeId &From, PeerMessage &Message) {
  if (const Renew *Request = std::get_if<Renew>(&Message))
    onRenew(Self, From, *Request);
  else if (Grant *Granted = std::get_if<Grant>(&Message))
    onRelayedGrant(Self, From, std::move(*Granted));
  else if (const TargetListUpdate *List =
               std::get_if<TargetListUpdate>(&Message))
    onTargetListUpdate(Self, From, *List);
  else if (const TargetListRequest *Held =
               std::get_if<TargetListRequest>(&Message))
    onTargetListRequest(Self, From, *Held);
  else if (const PromptReport *Report = std::get_if<PromptReport>(&Message))
    onPromptReport(Self, From, *Report);
  else if (const PromptWatch *Watch = std::get_if<PromptWatch>(&Message))
    onPromptWatch(Self, From, *Watch);
  else if (const RolloutReport *Seen = std::get_if<RolloutReport>(&Message))
    onRolloutReport(Self, From, *Seen);
  else if (const StreamReport *Streams = std::get_if<StreamReport>(&Message))
    onStreamReport(Self, From, *Streams);
  else if (const StreamQuery *Query = std::get_if<StreamQuery>(&Message))
    onStreamQuery(Self, From, *Query);
  else if (const StreamAnswer *Origin = std::get_if<StreamAnswer>(&Message))
    onStreamAnswer(Self, From, *Origin);
  else if (const LoadUpdate *Update = std::get_if<LoadUpdate>(&Message))
    onLoadUpdate(Self, From, *Update);
  else if (const JournalBegin *Begin = std::get_if<JournalBegin>(&Message))
    onJournal(Self, From, *Begin);
  else if (const JournalEnd *End = std::get_if<JournalEnd>(&Message))
    onJournal(Self, From, *End);
  else if (Replicate *Envelope = std::get_if<Replicate>(&Message))
    onReplicate(Self, From, *Envelope);
  else if (const IdentityClaim *Claim = std::get_if<IdentityClaim>(&Message))
    onClaim(Self, From, *Claim);
  else if (const IdentityVerdict *Verdict =
               std::get_if<IdentityVerdict>(&Message))
    onVerdict(Self, From, *Verdict);
  else if (const JoinKeepers *Join = std::get_if<JoinKeepers>(&Message))
    onJoin(Self, From, *Join);
  else if (const RedirectLeader *Leader = std::get_if<RedirectLeader>(&Message))
    onRedirect(Self, From, *Leader);
}

void handleTimed(Keeper &Self, PeerEvent &Event) {
  using Clock = std::chrono::steady_clock;
  const char *Kind = messageName(Event.m_Message);
  Millis Waited = monotonicNow() - Event.m_PostedAt;
  Clock::time_point Begin = Clock::now();
  onMessage(Self, Event.m_From, Event.m_Message);
  std::chrono::microseconds Took =
      std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                            Begin);
  recordMessage(Self.m_MessageLoad, Kind, Waited,
                static_cast<std::uint64_t>(Took.count()));
}

void finishInForceWaits(Keeper &Self, Millis Now) {
  std::vector<InForceWait> Waits;
  Waits.swap(Self.m_InForceWaits);
  for (InForceWait &Wait : Waits) {
    bool InForce =
        Self.m_Leases &&
        inForceEverywhere(*Self.m_Leases, Self.m_State, Wait.m_Version, Now);
    if (InForce || Now >= Wait.m_Deadline)
      Wait.m_OnDone(InForce);
    else
      Self.m_InForceWaits.push_back(std::move(Wait));
  }
}

void removeExpiredMembers(Keeper &Self, Millis Now) {
  std::vector<Command> Expired =
      expiredLeases(*Self.m_Leases, Self.m_State, Now);
  Expired.resize(std::min(Expired.size(), maxRemovals(*Self.m_Leases)));
  for (Command &Removal : Expired) {
    NodeId Node = std::get<RemoveMember>(Removal).m_Node;
    if (!Self.m_Removing.insert(Node).second)
      continue;
    logEvent(Event::KeeperRemovesRouter, {{"node", Node.m_Value}});
    addCounter(Self.m_Metrics, "vanillaferry_routers_removed_total");
    proposeCommand(
        Self, std::move(Removal),
        [&Self, Node](const CommandAnswer *) { Self.m_Removing.erase(Node); });
  }
}

/// Asks routers to renew at once, so that they learn of a leaving VM before
/// their next ordinary renewal.
void announceLeavingVms(Keeper &Self, Millis Now) {
  for (const NodeId &Node :
       receiversOfVmChange(Self.m_Leases->m_VmReports, Now))
    Self.m_Peers->send(Node, RenewRequest{Self.m_State.m_Epoch,
                                          Self.m_State.m_Document.m_Version});
}

gboolean onInbox(gpointer Data) {
  Keeper &Self = *static_cast<Keeper *>(Data);
  for (std::size_t Count = 0; Count < EventsPerTurn; ++Count) {
    std::optional<PeerEvent> Event = nextEvent(Self.m_Inbox);
    if (!Event)
      break;
    onPeerEvent(Self, std::move(*Event));
  }
  Self.m_InboxScheduled = !isEmpty(Self.m_Inbox);
  return Self.m_InboxScheduled ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

} // namespace

void queuePeerEvent(Keeper &Self, PeerEvent Event) {
  const KeeperInbox &Inbox = Self.m_Inbox;
  std::uint64_t Dropped = Inbox.m_ReportsDropped;
  std::uint64_t Replaced = Inbox.m_RenewalsReplaced;
  addEvent(Self.m_Inbox, std::move(Event));
  Dropped = Inbox.m_ReportsDropped - Dropped;
  Replaced = Inbox.m_RenewalsReplaced - Replaced;
  Self.m_MessageLoad.m_Dropped += Dropped;
  if (Dropped > 0)
    addCounter(Self.m_Metrics, "vanillaferry_prompt_reports_dropped_total",
               Dropped);
  if (Replaced > 0)
    addCounter(Self.m_Metrics, "vanillaferry_renewals_replaced_total",
               Replaced);
  if (Self.m_InboxScheduled)
    return;
  Self.m_InboxScheduled = true;
  Self.m_InboxSource =
      g_idle_add_full(G_PRIORITY_DEFAULT, &onInbox, &Self, nullptr);
}

LeaseOptions leaseOptions(const KeeperSettings &Settings) {
  LeaseOptions Options;
  if (Settings.m_LeaseTime > Millis(0))
    Options.m_LeaseTime = Settings.m_LeaseTime;
  return Options;
}

bool isKeeper(const Keeper &Self, const NodeId &Node) {
  std::map<NodeId, ConnectedPeer>::const_iterator Known =
      Self.m_Connected.find(Node);
  return Known != Self.m_Connected.end() &&
         Known->second.m_Role == NodeRole::Keeper;
}

bool leads(const Keeper &Self) {
  return Self.m_Running && Self.m_Replica.m_Role == ReplicaRole::Leader;
}

LeaseTable *grantingTable(Keeper &Self, Millis Now) {
  if (!leads(Self) || !holdsQuorumLease(Self.m_Replica, Now))
    return nullptr;
  if (!Self.m_Leases)
    Self.m_Leases =
        makeLeaseTable(leaseOptions(Self.m_Settings), Self.m_State, Now);
  return &*Self.m_Leases;
}

void tickLeader(Keeper &Self, Millis Now) {
  finishInForceWaits(Self, Now);
  tickOrders(Self, Now);
  if (!grantingTable(Self, Now))
    return;
  announceLeavingVms(Self, Now);
  repairKeeperSet(Self, Now);
  judgePrompts(Self, Now);
  judgeRollouts(Self, Now);
  grantWaitingRenewals(Self);
  raiseLevel(Self, Now);
  if (Now >= Self.m_NextLeaseCheck) {
    Self.m_NextLeaseCheck = Now + LeaseCheckInterval;
    removeExpiredMembers(Self, Now);
  }
  if (Now >= Self.m_NextClock) {
    Self.m_NextClock = Now + ClockInterval;
    proposeCommand(Self, AdvanceClock{wallNow(), Self.m_State.m_Level},
                   [](const CommandAnswer *) {});
  }
}

void onPeerEvent(Keeper &Self, PeerEvent Event) {
  if (Event.m_Kind == PeerEvent::Kind::Message)
    return handleTimed(Self, Event);
  ConnectedPeer &Peer = Self.m_Connected[Event.m_From];
  if (Event.m_Kind == PeerEvent::Kind::Up) {
    const Hello &Greeting = std::get<Hello>(Event.m_Message);
    Peer.m_Role = Greeting.m_Role;
    Peer.m_Incarnation = Greeting.m_Incarnation;
    Peer.m_HttpUrl = Greeting.m_HttpUrl;
    if (Peer.m_Role == NodeRole::Keeper)
      recordLevel(Self.m_Levels, KeeperId(Event.m_From.m_Value),
                  Greeting.m_Level);
    ++Peer.m_Links;
    // The new peer gets a claim at once.
    Self.m_NextClaim = Millis(0);
  } else {
    recordLinkLost(Self.m_Levels, KeeperId(Event.m_From.m_Value),
                   monotonicNow());
    if (--Peer.m_Links > 0)
      return;
    Self.m_Connected.erase(Event.m_From);
    Self.m_Served.erase(Event.m_From);
    Self.m_Partial.erase(Event.m_From);
  }
}

} // namespace vanillaferry::internal
