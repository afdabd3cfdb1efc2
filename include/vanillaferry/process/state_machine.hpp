#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/prompt_quarantine.hpp"
#include "vanillaferry/process/result.hpp"
#include "vanillaferry/process/rollout.hpp"
#include "vanillaferry/request/journal.hpp"
#include "vanillaferry/version/document.hpp"

#include <deque>
#include <map>
#include <string>
#include <variant>

namespace vanillaferry {

/// Adds a router to the membership or replaces its incarnation or address. An
/// incarnation that another one has replaced is never added again.
struct AddMember {
  Member m_Member;
};

/// Removes one incarnation of a router whose lease has ended.
struct RemoveMember {
  NodeId m_Node;
  Incarnation m_Incarnation;
};

/// How an engine order ended.
enum class OrderOutcome : std::uint8_t {
  /// Not ended yet.
  Open,
  Done,
  /// The engine answered with an error.
  Failed,
  /// The engine refused the fencing token: it has seen a newer order.
  OldToken,
  /// Nothing of the order was sent within its time: it did not run.
  Unreachable,
  /// The order may have run: it was sent and no answer came, or the leader that
  /// was about to send it leads no longer.
  Unknown,
};

/// An order to an engine that must not be given twice by two leaders.
struct EngineOrder {
  std::string m_OrderId;
  TargetId m_Target;
  /// "load_model", "load_adapter", "load_version" or "change_role".
  std::string m_Action;
  std::string m_Argument;
  OperatorId m_Operator;
  /// Set by the state machine: the log index of the order.
  std::uint64_t m_FencingToken = 0;
  /// Term of the leader that may send the order; 0 before the start.
  Term m_StartedIn;
  OrderOutcome m_Outcome = OrderOutcome::Open;
  /// What is known of the outcome, for example the engine's answer.
  std::string m_Detail;
  UnixMillis m_EndedAt;
};

struct BeginOrder {
  EngineOrder m_Order;
};

/// Authorizes the leader of this term to send the order, unless another leader
/// was authorized before. It is committed before the first byte is sent, so
/// that at most one process ever sends an order.
struct StartOrder {
  std::string m_OrderId;
  Term m_Term;
};

struct EndOrder {
  std::string m_OrderId;
  OrderOutcome m_Outcome = OrderOutcome::Unknown;
  std::string m_Detail;
};

/// Advances the replicated clock, by which stored records expire, and raises
/// the feature level. The level is a field of this command because keepers of
/// builds without levels read the command and skip the field; they would end at
/// a command of their own for it.
struct AdvanceClock {
  UnixMillis m_Now;
  /// The level that all members understood when the leader proposed it.
  FeatureLevel m_Level = {};
};

/// Replaces the manifest if the version is higher than the one held and the
/// edit script was made from the one held.
struct ReplaceManifest {
  std::uint64_t m_Version = 0;
  /// Version of the text that m_Delta applies to; 0 for the empty text.
  std::uint64_t m_BaseVersion = 0;
  /// Edit script of makeTextDelta(), compressed.
  std::string m_Delta;
  /// When the leader proposed it; earlier builds state none.
  UnixMillis m_At = {};
};

/// Takes all targets of an availability zone out of service or back.
struct SetZoneOut {
  ZoneId m_Zone;
  bool m_Out = false;
};

/// States which software versions of a service the platform lists from now on.
struct SetSoftwareVersions {
  PoolId m_Service;
  /// In order, each once.
  std::vector<SoftwareVersion> m_Listed;
  UnixMillis m_At;
};

/// Orders that a service's traffic moves to another software version.
struct StartRollout {
  PoolId m_Service;
  SoftwareVersion m_Version;
  Millis m_Duration;
  UnixMillis m_At;
};

/// Moves a rollout to another stage; without effect when it has ended or its
/// number is another. With m_InForce, records that all gateways apply
/// Completed.
struct AdvanceRollout {
  PoolId m_Service;
  std::uint64_t m_Number = 0;
  RolloutStage m_Stage = RolloutStage::Canary;
  bool m_InForce = false;
  std::string m_Reason;
  UnixMillis m_At;
};

using Command =
    std::variant<EditSection, AddMember, RemoveMember, JournalBegin, JournalEnd,
                 BeginOrder, EndOrder, AdvanceClock, StartOrder,
                 ReplaceManifest, SetZoneOut, QuarantinePart, ReleasePart,
                 BeginTrial, SetSoftwareVersions, StartRollout, AdvanceRollout>;

/// The feature level of this command: the newest one for each command that was
/// added after those of level 0.
FeatureLevel featureLevelOf(const Command &Input);

/// Answer of a command that returns no data.
struct NoAnswer {};

/// Outcome of a ReplaceManifest.
enum class ManifestOutcome : std::uint8_t {
  InForce,
  /// The version held is as high or higher; nothing changed.
  Superseded,
  /// The edit script was made from another version; it must be recomputed.
  BaseChanged,
};
struct ManifestAnswer {
  ManifestOutcome m_Outcome = ManifestOutcome::InForce;
  /// Version held after the command.
  std::uint64_t m_Version = 0;
};

/// Outcome of a StartRollout.
struct RolloutAnswer {
  /// The order started the rollout or is the one that did; false when another
  /// one is in progress.
  bool m_Accepted = false;
  /// True when this command started it.
  bool m_Started = false;
  /// Number of the service's rollout.
  std::uint64_t m_Number = 0;
};

using CommandAnswer = std::variant<NoAnswer, EditAnswer, JournalAnswer,
                                   EngineOrder, ManifestAnswer, RolloutAnswer>;

/// Incarnations of a node that joined, oldest first; incarnations are random,
/// so only this order tells a restarted process from a late message of the old
/// one.
struct JoinedIncarnations {
  std::deque<Incarnation> m_Joined;
  UnixMillis m_ChangedAt;
  /// Epoch at which the node last stopped being a possible owner.
  Epoch m_DepartedAt;
};
/// Incarnations remembered for each node.
constexpr std::size_t JoinedIncarnationLimit = 16;
/// How long the incarnations of a removed node are remembered; no message
/// is in flight for that long.
constexpr Millis JoinedIncarnationRetention{24LL * 3600 * 1000};
/// Number of finished engine orders that are always kept; older ones are
/// removed after OrderRetention.
constexpr std::size_t FinishedOrderLimit = 1000;
/// Minimum time for which a resent order id still finds its order.
constexpr Millis OrderRetention{24LL * 3600 * 1000};
/// Maximum number of orders in the state; further ones are refused. At about
/// 300 bytes each they add 3 MB to a snapshot.
constexpr std::size_t OrderLimit = 10000;

/// The manifest in force, as the operator sent it.
struct StoredManifest {
  std::uint64_t m_Version = 0;
  std::string m_Text;
};

/// The software versions of a service that the platform lists.
struct ListedVersions {
  std::vector<SoftwareVersion> m_Listed;
  /// Since when these and no others are listed.
  UnixMillis m_Since;
};

/// State that the replicated log determines. Equal logs give equal states.
struct StateMachine {
  LogIndex m_Applied;
  Document m_Document;
  Epoch m_Epoch;
  std::map<NodeId, Member> m_Members;
  std::map<NodeId, JoinedIncarnations> m_Joined;
  Journal m_Journal;
  std::map<std::string, EngineOrder> m_Orders;
  UnixMillis m_Clock;
  /// A change of the manifest, of the zones that are out, of the refused prompt
  /// parts or of a rollout also raises the document's version, by which routers
  /// learn of changes.
  StoredManifest m_Manifest;
  std::vector<ZoneId> m_ZonesOut;
  PromptQuarantine m_Quarantine;
  std::map<PoolId, ListedVersions> m_Software;
  /// The last rollout of each service that had one.
  std::map<PoolId, Rollout> m_Rollouts;
  /// Feature level that all members of the keeper set understood at some time;
  /// it never decreases.
  FeatureLevel m_Level;
  /// Fields of a newer build's snapshot, by name, as CBOR. Snapshots of this
  /// build contain them unchanged.
  std::map<std::string, std::string> m_UnknownFields;
};

/// True when an AddMember of this incarnation would be ignored because another
/// one replaced it.
bool isReplaced(const StateMachine &State, const NodeId &Node,
                Incarnation Which);

/// Applies the command at this index. A JournalBegin of an incarnation that is
/// not a member is answered Unavailable, as nothing would mark the call's end.
CommandAnswer applyCommand(StateMachine &State, LogIndex Index,
                           const Command &Input);

/// CBOR text of a command, as stored in a log entry.
std::string encodeCommand(const Command &Input);
/// The error is Unsupported for well-formed data of a kind or form that this
/// build does not know.
Result<Command> decodeCommand(const std::string &Data);

/// CBOR text of the whole state, as stored in a snapshot.
std::string encodeState(const StateMachine &State);
/// The error is Unsupported for a newer format.
Result<StateMachine> decodeState(const std::string &Data);

} // namespace vanillaferry
