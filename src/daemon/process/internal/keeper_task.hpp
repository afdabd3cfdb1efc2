#pragma once

#include "connection/operator_http.hpp"
#include "connection/order_adapter.hpp"
#include "connection/peer_task.hpp"
#include "connection/platform_protocol.hpp"
#include "connection/target_list_reader.hpp"
#include "process/disk_task.hpp"
#include "process/keeper_formation.hpp"
#include "process/mailbox.hpp"
#include "process/message_load.hpp"
#include "process/metrics.hpp"
#include "process/settings.hpp"
#include "vanillaferry/process/engine_orders.hpp"
#include "vanillaferry/process/feature_level.hpp"
#include "vanillaferry/process/keeper_inbox.hpp"
#include "vanillaferry/process/keeper_repair.hpp"
#include "vanillaferry/process/lease_table.hpp"
#include "vanillaferry/process/list_turn.hpp"
#include "vanillaferry/process/prompt_report_sum.hpp"
#include "vanillaferry/process/prompt_suspects.hpp"
#include "vanillaferry/process/relay_board.hpp"
#include "vanillaferry/process/replication.hpp"
#include "vanillaferry/process/rollout_judgement.hpp"
#include "vanillaferry/process/state_machine.hpp"
#include "vanillaferry/request/load_board.hpp"
#include "vanillaferry/request/rate_window.hpp"
#include "vanillaferry/request/stream_origin.hpp"
#include "vanillaferry/version/manifest_acks.hpp"
#include "vanillaferry/version/text_history.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace vanillaferry::internal {

/// Called with the answer of an applied command, or without one when the
/// keeper lost its leadership first: whether the command is ever committed is
/// then unknown.
using AppliedHandler = std::function<void(const CommandAnswer *)>;
/// Called with true once a read is confirmed, with false when it cannot be.
using ReadHandler = std::function<void(bool)>;

struct ProposedCommand {
  Command m_Command;
  AppliedHandler m_OnApplied;
};

/// A proposed command that waits to be applied.
struct WaitingCommand {
  Term m_Term;
  AppliedHandler m_OnApplied;
};

/// What is known of a connected process.
struct ConnectedPeer {
  NodeRole m_Role = NodeRole::Router;
  Incarnation m_Incarnation;
  std::string m_HttpUrl;
  std::uint32_t m_Links = 0;
};

/// Messages to send once the disk has synced all writes up to a ticket.
struct HeldMessages {
  std::uint64_t m_Ticket = 0;
  std::vector<ReplicaMessage> m_Messages;
};

/// A replication message of which some parts have arrived.
struct PartialMessage {
  std::uint64_t m_Message = 0;
  std::uint32_t m_NextPart = 0;
  std::string m_Payload;
};

/// Last log position of a write, reported to the replica once the write's
/// ticket is synced.
struct HeldSync {
  std::uint64_t m_Ticket = 0;
  LogIndex m_Index;
  Term m_Term;
};

/// An accepted change whose operator waits until it is in force, that is until
/// all routers have acknowledged it.
struct InForceWait {
  DocumentVersion m_Version;
  Millis m_AcceptedAt;
  Millis m_Deadline;
  /// Called with true when it is in force, with false at the deadline.
  std::function<void(bool)> m_OnDone;
};

/// An engine order that this leader is carrying out.
struct OrderRun {
  EngineOrder m_Order;
  /// Start of the first try; OrderTimeout counts from here.
  Millis m_BegunAt;
  /// Time of the next try after one that sent nothing.
  Millis m_NextTry;
  /// False until the start is committed.
  bool m_Started = false;
  std::shared_ptr<OrderCall> m_Call;
  /// Outcome that is to be recorded in the log.
  std::optional<OrderReply> m_Reply;
  bool m_Recording = false;
};

/// Sends orders to engines; present while this keeper leads.
struct OrderTask {
  Term m_Term;
  OrderSender m_Sender;
  std::map<std::string, std::shared_ptr<OrderRun>> m_Runs;
  /// The reason for which each open order waits, as last counted in the
  /// metrics.
  std::map<std::string, const char *> m_Waits;
  Millis m_NextRound;
};

/// A compressed delta to the manifest in force.
struct ManifestUpdate {
  /// Version that the delta applies to; 0 when it contains the whole text.
  std::uint64_t m_Base = 0;
  std::string m_Delta;
};

/// Limits the large updates on a link: the time at which those already sent
/// have left it.
struct LinkBudget {
  Millis m_BusyUntil;
};

/// The platform's list of targets, which the keepers read in turn for all
/// routers.
struct SharedTargetList {
  std::unique_ptr<TargetListReader> m_Reader;
  /// Content of m_Text, as far as it was needed here.
  std::vector<ListedTarget> m_Last;
  ListTurn m_Turn;
  std::string m_Text;
  /// 0 before the first reading.
  std::uint64_t m_Digest = 0;
  TextHistory m_History;
  /// Deltas to m_Text, by the digest of the list that a router holds.
  TextUpdates m_Updates;
};

/// The members' ids as text, and the updates to it, computed once for all
/// routers that hold the same epoch.
struct SharedMemberIds {
  Epoch m_Epoch;
  std::string m_Text;
  TextHistory m_History;
  TextUpdates m_Updates;
};

/// A renewal that waits until this keeper may grant it or knows the leader.
struct WaitingRenewal {
  Renew m_Request;
  /// The router, or the follower that relays its renewal.
  NodeId m_From;
  Millis m_Since;
};

/// A gateway that is connected to this keeper.
struct ServedGateway {
  /// Its last renewal without the loads. What this keeper sent since then
  /// counts as held.
  Renew m_Last;
  Millis m_SentAt;
  /// A grant was sent to this incarnation. Before it, a gateway applies no
  /// changes, because this keeper may be behind the leader.
  bool m_Granted = false;
};

/// The leader's work on prompt parts that end engines.
struct PromptJudge {
  PromptSuspects m_Suspects;
  /// Changes that are proposed and not applied yet.
  std::set<PromptPartId> m_Proposed;
  /// Set by a report until the evidence is judged.
  bool m_Changed = false;
  Millis m_NextJudgement;
};

/// Where and why this keeper stopped applying the log.
struct HeldBack {
  LogIndex m_Index;
  std::string m_Why;
};

/// A question of routers that this keeper passes on to the other keepers.
struct OriginSearch {
  PoolId m_Service;
  std::set<NodeId> m_Askers;
  /// Answers of other keepers that are still to come.
  std::size_t m_Awaited = 0;
  /// What the others have recorded.
  std::set<SoftwareVersion> m_Found;
  Millis m_Deadline;
};

/// Each search is a message to and from every other keeper, and callers choose
/// what they take up, so a keeper begins no more than these in one window.
constexpr std::size_t MaxSearches = 64;
constexpr Millis SearchWindow{4000};

/// At which software versions the routers' streams began, in memory only.
struct KeeperStreams {
  StreamOrigins m_Origins;
  VersionHistory m_Versions;
  /// Reports of routers that the other keepers have not been sent yet.
  std::map<PoolId, StreamReport> m_ToRelay;
  Millis m_NextRelay;
  /// Services of which a change of the versions is proposed and not applied
  /// yet.
  std::set<PoolId> m_Proposed;
  std::map<RequestId, OriginSearch> m_Searches;
  RateWindow m_SearchesBegun{SearchWindow, {}};
};

/// The leader's work on rollouts.
struct RolloutJudge {
  std::map<PoolId, RolloutEvidence> m_Evidence;
  /// Services for which a change is proposed and not applied yet.
  std::set<PoolId> m_Proposed;
  Millis m_NextJudgement;
  /// Services of the manifest with this version; 0 before the first.
  std::set<PoolId> m_Services;
  std::uint64_t m_ServicesVersion = 0;
};

/// State of the keeper's main task; accessed on the GLib main loop only.
struct Keeper {
  KeeperSettings m_Settings;
  std::string m_HttpUrl;
  Formation m_Formation;
  std::set<KeeperId> m_AcceptedBy;
  Millis m_NextClaim;
  Incarnation m_Incarnation;
  /// False while the first keeper set is being formed.
  bool m_Running = false;
  /// The process goes on with a new identity once this task has ended.
  bool m_JoinsAnew = false;
  Replica m_Replica;
  StateMachine m_State;
  /// Present while this keeper leads, from the first time that it held a
  /// quorum lease.
  std::optional<LeaseTable> m_Leases;

  std::unique_ptr<PeerTask> m_Peers;
  std::unique_ptr<DiskTask> m_Disk;
  /// Replication messages, which go before all other events: renewals of many
  /// routers must not delay votes and heartbeats.
  std::unique_ptr<Mailbox<PeerEvent>> m_ReplicaMail;
  std::unique_ptr<Mailbox<PeerEvent>> m_PeerMail;
  KeeperInbox m_Inbox;
  bool m_InboxScheduled = false;
  guint m_InboxSource = 0;
  std::unique_ptr<Mailbox<DiskReport>> m_DiskMail;
  std::unique_ptr<OperatorHttp> m_Http;
  Metrics m_Metrics;
  MessageLoad m_MessageLoad;
  /// Counters at the last line about them.
  PeerCounters m_LinksReported;
  Millis m_NextLinkReport;
  GMainLoop *m_Loop = nullptr;
  int m_ExitCode = 0;

  std::uint64_t m_LastTicket = 0;
  std::uint64_t m_SyncedTicket = 0;
  std::uint64_t m_LastLongMessage = 0;
  /// The parts received so far of each keeper's long message.
  std::map<NodeId, PartialMessage> m_Partial;
  std::deque<HeldMessages> m_HeldMessages;
  std::deque<HeldSync> m_HeldSyncs;
  std::deque<ReplicaActions> m_ActionQueue;
  bool m_Performing = false;

  std::vector<ProposedCommand> m_Proposals;
  bool m_ProposalsScheduled = false;
  guint m_ProposalsSource = 0;
  std::map<LogIndex, WaitingCommand> m_WaitingForApply;
  std::uint64_t m_NextReadToken = 1;
  std::map<std::uint64_t, ReadHandler> m_Reads;

  std::map<NodeId, ConnectedPeer> m_Connected;
  std::set<std::string> m_Dialled;
  LogIndex m_DialledSet{~0ULL};
  /// Newest renewal of each router while this keeper can neither grant it nor
  /// relay it to a leader.
  std::map<NodeId, WaitingRenewal> m_WaitingRenewals;
  std::map<NodeId, ServedGateway> m_Served;
  /// The newest change for which routers were asked to renew early.
  RenewRequest m_Announced;
  Millis m_NextAnnouncement;
  SharedMemberIds m_MemberIds;
  std::set<NodeId> m_Removing;
  std::vector<InForceWait> m_InForceWaits;
  std::shared_ptr<FdWatcher> m_OrderWatcher;
  std::optional<OrderTask> m_Orders;
  /// Parsed content of the document at m_SettingsVersion, for orders.
  DocumentSettings m_DocumentSettings;
  DocumentVersion m_SettingsVersion;
  /// The platform's formats; without them the keeper accepts no manifests.
  const PlatformProtocol *m_Protocol = nullptr;
  /// The last manifests, to make deltas for routers that hold one of them.
  TextHistory m_Manifests;
  /// Updates to version m_UpdatesTo, by the version that the router holds.
  /// Starting routers need the whole text while others need the last change.
  /// They are cached because compressing either takes a third of a second on a
  /// keeper with a twentieth of a core.
  std::map<std::uint64_t, ManifestUpdate> m_ManifestUpdates;
  std::uint64_t m_UpdatesTo = 0;
  LinkBudget m_ManifestLink;
  /// The manifest that this leader acknowledged last, or will.
  ManifestAck m_ManifestAck;
  ManifestAcks m_ManifestAcks;
  SharedTargetList m_SharedTargets;
  LoadTable m_LoadBoard;
  RelayBoard m_RelayBoard;
  PromptJudge m_Prompts;
  /// Reports of the gateways connected here, for the leader.
  PromptReportSum m_PromptReports;
  KeeperStreams m_Streams;
  RolloutJudge m_Rollouts;
  /// Keepers that asked for a vote, with the time of their last request.
  std::map<KeeperId, JoiningKeeper> m_Joining;
  /// What the builds of the other keepers understand.
  LevelBoard m_Levels;
  Millis m_NextLevelLine;
  /// Set once a committed command was beyond this build.
  std::optional<HeldBack> m_HeldBack;
  Millis m_NextJoin;
  Millis m_NextRepair;
  Millis m_NextLeaseCheck;
  Millis m_NextClock;
  Millis m_NextPromotion;
  Millis m_StartedAt;
};

// keeper_replica.cpp
/// Persists, sends and applies what the replica asks for, in this order.
void perform(Keeper &Self, ReplicaActions Actions);
void onDiskReport(Keeper &Self, const DiskReport &Report);
/// Proposes at the end of the current batch of messages, so that all commands
/// that arrive together share one append.
void proposeCommand(Keeper &Self, Command Input, AppliedHandler OnApplied);
/// Registers a handler for the entry that was just appended at this index.
void awaitApplied(Keeper &Self, LogIndex Index, AppliedHandler OnApplied);
void confirmRead(Keeper &Self, ReadHandler OnConfirmed);
/// Stops the process with this exit code.
void stopKeeper(Keeper &Self, int ExitCode);
/// Keeps links to all other keepers of the newest set.
void dialKeepers(Keeper &Self);

// keeper_requests.cpp
void onPeerEvent(Keeper &Self, PeerEvent Event);
/// Queues an event by its urgency.
void queuePeerEvent(Keeper &Self, PeerEvent Event);
/// Tells a process that asked this keeper which keeper leads.
void redirectToLeader(Keeper &Self, const NodeId &To);
LeaseOptions leaseOptions(const KeeperSettings &Settings);
bool leads(const Keeper &Self);
bool isKeeper(const Keeper &Self, const NodeId &Node);
/// The lease table when this keeper may grant leases now, else null.
LeaseTable *grantingTable(Keeper &Self, Millis Now);
/// Periodic work of the leader: waiting renewals, expired leases, clock, edits
/// that come into force.
void tickLeader(Keeper &Self, Millis Now);

// keeper_renewals.cpp
/// Grants a renewal, or relays it to the leader.
void onRenew(Keeper &Self, const NodeId &From, const Renew &Request);
/// Completes the leader's grant for a gateway that is connected here.
void onRelayedGrant(Keeper &Self, const NodeId &From, Grant Granted);
/// Grants the renewals that waited for the leader's quorum lease.
void grantWaitingRenewals(Keeper &Self);
/// Relays the renewals that waited for a leader; refuses those that waited too
/// long, so that the gateways ask another keeper.
void relayWaitingRenewals(Keeper &Self, Millis Now);
/// Sends committed changes to the gateways that are connected here, so that
/// they are in force before the next ordinary renewals.
void sendChanges(Keeper &Self, Millis Now);
/// Asks routers that renew with this leader to renew at once after a change.
void announceChanges(Keeper &Self, Millis Now);

// order_sender.cpp
/// Starts all counters of orders at zero.
void startOrderCounters(Metrics &M);
/// The parsed content of the current document.
const DocumentSettings &documentSettings(Keeper &Self);
/// Starts to send orders as a new leader. Orders to engines that ignore fencing
/// tokens wait for OrderTimeout from Now, so that no order of a former leader
/// is under way then.
void startOrderTask(Keeper &Self, Millis Now);
/// Cancels all calls; the next leader decides what becomes of the orders.
void stopOrderTask(Keeper &Self);
/// Sends the orders that may be sent and records the outcomes of those that
/// ended.
void tickOrders(Keeper &Self, Millis Now);
/// Why an open order is not under way: "former_leader", "weight_store",
/// "earlier_order", "quorum_lease", or "leader" before the first decision; null
/// while it is being sent.
const char *orderWait(const Keeper &Self, const std::string &OrderId);

// keeper_manifest.cpp
/// Adds the members' ids to a grant for a router that asks for ids only.
void attachMemberIds(Keeper &Self, const Renew &Request, Grant &Granted);
/// States in the leader's grant when the router's manifest was, or will be,
/// outdated.
void stateManifestDeadline(const Keeper &Self, const Renew &Request,
                           Grant &Granted);
/// Adds to a grant the update from the router's manifest to the one in force.
void attachManifest(Keeper &Self, const Renew &Request, Grant &Granted);
/// The update from version Held, for which it takes the link; null while the
/// link is busy with earlier ones.
const ManifestUpdate *reserveManifestUpdate(Keeper &Self, std::uint64_t Held,
                                            Millis Now);
/// Keeps the update of a change that is in force now for gateways that hold its
/// base, and when it was acknowledged.
void rememberManifestChange(Keeper &Self, const ReplaceManifest &Change);

// keeper_targets.cpp
/// Begins a reading of the platform's list of targets when it is this keeper's
/// turn.
void readTargetsWhenDue(Keeper &Self, Millis Now);
/// Adds to a grant the update from the router's list of targets to the one last
/// read.
void attachTargets(Keeper &Self, const Renew &Request, Grant &Granted);
/// Applies the list that another keeper read.
void onTargetListUpdate(Keeper &Self, const NodeId &From,
                        const TargetListUpdate &Update);
void onTargetListRequest(Keeper &Self, const NodeId &From,
                         const TargetListRequest &Request);

// keeper_prompts.cpp
/// Takes a router's report as the leader, or relays it to the leader.
void onPromptReport(Keeper &Self, const NodeId &From,
                    const PromptReport &Report);
/// Sends the reports that were summed up for the leader.
void relayPromptReports(Keeper &Self, Millis Now);
/// Relays the leader's question to the gateways that are connected here.
void onPromptWatch(Keeper &Self, const NodeId &From, const PromptWatch &Watch);
/// Judges new evidence and starts trials; called while this keeper leads.
void judgePrompts(Keeper &Self, Millis Now);
/// Logs a change of the refused parts that was applied.
void recordQuarantineChange(Keeper &Self, const Command &Change);

// keeper_rollouts.cpp
/// Takes a gateway's report as the leader, or relays it to the leader.
void onRolloutReport(Keeper &Self, const NodeId &From,
                     const RolloutReport &Report);
/// Proposes the next stages; called while this keeper leads.
void judgeRollouts(Keeper &Self, Millis Now);
/// The entries for gateways; empty while no service has had a rollout.
std::vector<RolloutOrder> rolloutOrders(const Keeper &Self);
/// Logs a change of a rollout that was applied.
void recordRolloutChange(Keeper &Self, const Command &Change, LogIndex Index);

// keeper_streams.cpp
void onStreamReport(Keeper &Self, const NodeId &From,
                    const StreamReport &Report);
void onStreamQuery(Keeper &Self, const NodeId &From, const StreamQuery &Query);
/// Takes another keeper's answer to a search.
void onStreamAnswer(Keeper &Self, const NodeId &From,
                    const StreamAnswer &Answer);
/// Answers the searches that have lasted for too long.
void endOldSearches(Keeper &Self, Millis Now);
/// Records the software versions of a list, and that it is still the same.
void recordKeeperVersions(Keeper &Self,
                          const Result<std::vector<ListedTarget>> &Listed);
void confirmKeeperVersions(Keeper &Self);
/// Replicates the versions that the list shows, where they changed.
void proposeListedVersions(Keeper &Self);
void relayStreams(Keeper &Self, Millis Now);

// keeper_levels.cpp
/// The feature level of the commands that may be proposed now.
FeatureLevel levelInUse(const Keeper &Self);
bool mayPropose(const Keeper &Self, const Command &Input);
/// Commits the level that all members understand, while this keeper leads.
void raiseLevel(Keeper &Self, Millis Now);
/// False for a keeper of a build that cannot read the log.
bool admitsJoining(Keeper &Self, const KeeperId &Joining, Millis Now);
/// Applies nothing from this entry on; the keeper goes on storing entries.
void holdBackAt(Keeper &Self, LogIndex Index, const std::string &Why);

// keeper_repair.cpp
/// Asks the other keepers for a vote while this keeper has none.
void askToJoin(Keeper &Self, Millis Now);
void onRedirect(Keeper &Self, const NodeId &From, const RedirectLeader &Leader);
void onJoin(Keeper &Self, const NodeId &From, const JoinKeepers &Request);
/// Proposes the leader's next change towards a full keeper set, when one is
/// due.
void repairKeeperSet(Keeper &Self, Millis Now);

// keeper_forming.cpp
/// Folder of the write-ahead log within the data folder.
std::string logFolder(const KeeperSettings &Settings);
void claimIdentity(Keeper &Self, Millis Now);
void onClaim(Keeper &Self, const NodeId &From, const IdentityClaim &Claim);
void onVerdict(Keeper &Self, const NodeId &From,
               const IdentityVerdict &Verdict);
/// Opens the log and starts the replica.
void startReplica(Keeper &Self);

} // namespace vanillaferry::internal
