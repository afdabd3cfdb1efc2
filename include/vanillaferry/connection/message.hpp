#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/reason.hpp"
#include "vanillaferry/process/rollout.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace vanillaferry {

/// Largest answer body that the journal keeps.
constexpr Bytes MaxJournaledBody{64 * 1024};

enum class NodeRole : std::uint8_t { Router, Keeper };

/// First frame in both directions of a peer link.
struct Hello {
  NodeId m_Node;
  Incarnation m_Incarnation;
  std::uint32_t m_Protocol = 1;
  NodeRole m_Role = NodeRole::Router;
  /// URL of a keeper's HTTP interface for operators, for redirects; empty for
  /// routers.
  std::string m_HttpUrl;
  /// What the sender's build understands; earlier builds state none.
  FeatureLevel m_Level = {};
  /// For how long the sender has run; 0 from earlier builds.
  Millis m_RunningFor = {};
};

struct Heartbeat {
  Millis m_SentAt;
  /// Asks the receiver for a heartbeat at once.
  bool m_Probe = false;
};

/// A router in the replicated membership.
struct Member {
  NodeId m_Node;
  Incarnation m_Incarnation;
  std::string m_PeerUrl;
  ZoneId m_Zone;
  bool m_Leaving = false;
};

/// Running requests of one pool at one owner.
struct PoolLoad {
  PoolId m_Pool;
  std::uint32_t m_Running = 0;
};

/// Running requests at one target.
struct TargetLoad {
  TargetId m_Target;
  std::uint32_t m_Running = 0;
};

/// Running and waiting requests of one account at one router.
struct AccountDemand {
  AccountId m_Account;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  /// Share of the current lease, which a new leader needs; 0 without a lease.
  std::uint32_t m_Share = 0;
};

/// The part of an account's fleet-wide concurrency limit given to one router.
struct AccountShare {
  AccountId m_Account;
  std::uint32_t m_Limit = 0;
};

/// Lower bound of a pool's running requests over all owners.
struct PoolTotal {
  PoolId m_Pool;
  std::uint32_t m_Running = 0;
  /// Age of the oldest report in the sum when the grant was sent.
  Millis m_Age;
};

/// One section of the document at one version; the content is JSON text.
struct SectionContent {
  SectionName m_Name;
  SectionVersion m_Version;
  std::string m_Json;
};

/// A VM that one router's VM list shows as leaving, or as live again after it
/// was leaving.
struct VmStateReport {
  VmId m_Vm;
  bool m_Returned = false;
  /// Time since the router first read this state.
  Millis m_Age;
};

/// A VM that counts as leaving for the whole fleet.
struct LeavingVm {
  VmId m_Vm;
};

/// An availability zone that operators have taken out of service.
struct ZoneOut {
  ZoneId m_Zone;
};

/// A prompt part that must not be sent to targets.
struct RefusedPart {
  PromptPartId m_Part;
  /// Number of the trial that is allowed at present; 0 for none.
  std::uint32_t m_Trial = 0;
};

/// A service none of whose targets a gateway can reach.
struct ServiceOutOfReach {
  PoolId m_Service;
};

/// A gateway that reaches the targets of a service that another one does not.
struct RelayOffer {
  PoolId m_Service;
  /// IP:PORT; empty when no gateway reaches the service.
  std::string m_Address;
};

/// A router asks the leader to grant or renew its node lease.
struct Renew {
  NodeId m_Node;
  Incarnation m_Incarnation;
  std::uint64_t m_Sequence = 0;
  std::string m_PeerUrl;
  ZoneId m_Zone;
  Epoch m_AckedEpoch;
  DocumentVersion m_AckedVersion;
  /// Sequence of the newest grant applied; 0 when none was.
  std::uint64_t m_AckedGrant = 0;
  /// Set during graceful shutdown: the node's targets go to other owners.
  bool m_Leaving = false;
  std::vector<PoolLoad> m_Pools;
  /// Also lists targets that the node no longer owns while their requests still
  /// run.
  std::vector<TargetLoad> m_Targets;
  std::vector<AccountDemand> m_Accounts;
  /// Number of the node's report on its VM list; 0 while there is none.
  std::uint64_t m_VmReport = 0;
  /// Digest of the fleet's leaving VMs that the node acts on; 0 for none.
  std::uint64_t m_VmsHeld = 0;
  /// True when m_Vms is that report; it is left out once the leader has it.
  bool m_VmsStated = false;
  std::vector<VmStateReport> m_Vms;
  /// Version of the manifest that the node acts on; 0 for none.
  std::uint64_t m_ManifestHeld = 0;
  /// Digest of the keepers' target list that the node acts on; 0 for none.
  std::uint64_t m_TargetsHeld = 0;
  /// The node needs only the members' ids, not their addresses.
  bool m_IdsOnly = false;
  /// The node's running requests by target, see encodeLoads().
  std::string m_Loads;
  /// Version of the keeper set whose addresses the node has; 0 for none.
  std::uint64_t m_KeeperSetHeld = 0;
  /// Version of the refused prompt parts that the node acts on; 0 for none.
  std::uint64_t m_QuarantineHeld = 0;
  /// IP:PORT at which the node takes requests of other gateways; empty when it
  /// takes none.
  std::string m_RelayAddress;
  std::vector<ServiceOutOfReach> m_OutOfReach;
  /// The node takes large edit scripts compressed; older builds do not.
  bool m_TakesPacked = false;
  /// What the node's build understands; earlier builds state none.
  FeatureLevel m_Level = {};
};

/// Address of a keeper that relays renewals.
struct KeeperUrl {
  std::string m_PeerUrl;
};

/// The leader's answer to Renew.
struct Grant {
  std::uint64_t m_Sequence = 0;
  /// Lease time, counted by the router from the time at which it sent the
  /// Renew.
  Millis m_Duration;
  Epoch m_Epoch;
  Epoch m_SafeEpoch;
  /// All members, present only when m_Epoch is above the acknowledged one.
  std::vector<Member> m_Members;
  DocumentVersion m_Version;
  /// Sections that changed since the acknowledged version.
  std::vector<SectionContent> m_Sections;
  std::vector<PoolTotal> m_Totals;
  /// Requests of other (ended or former) owners at targets of this node.
  std::vector<TargetLoad> m_Residual;
  /// All shares of this node; they replace the former ones. A share may be 0.
  /// An account that is not listed has none until the node reports demand for
  /// it.
  std::vector<AccountShare> m_Shares;
  /// Set when the node could not own targets at some epoch after the one that
  /// it acknowledged; other nodes may have owned its targets meanwhile.
  bool m_Interrupted = false;
  /// Number of the newest report on the node's VM list that the leader has.
  std::uint64_t m_VmReport = 0;
  /// True when m_LeavingVms is the fleet's set; it is left out when the node
  /// already has it.
  bool m_VmsListed = false;
  /// False while reports may be missing: a VM that is not in the set may then
  /// still be leaving.
  bool m_VmsComplete = false;
  std::vector<LeavingVm> m_LeavingVms;
  /// Version of the manifest in force; 0 when there is none.
  std::uint64_t m_ManifestVersion = 0;
  /// Version that m_ManifestDelta applies to; 0 for the empty text.
  std::uint64_t m_ManifestBase = 0;
  /// Compressed edit script to the manifest in force; empty when the node has
  /// it, or must wait because the leader's link is busy.
  std::string m_ManifestDelta;
  /// All availability zones that are out of service.
  std::vector<ZoneOut> m_ZonesOut;
  /// Digest of the keeper's target list; 0 when it has none.
  std::uint64_t m_TargetsDigest = 0;
  /// Digest of the text that m_TargetsDelta applies to; 0 for the empty text.
  std::uint64_t m_TargetsBase = 0;
  /// Edit script to the keeper's list; empty when the node has it.
  std::string m_TargetsDelta;
  /// Time since the reading began.
  Millis m_TargetsAge;
  /// Epoch of the ids that m_IdsDelta applies to; 0 for none.
  Epoch m_IdsBase;
  /// Edit script to the members' ids, sent instead of m_Members; see
  /// memberIds().
  std::string m_IdsDelta;
  /// True when m_OthersLoads holds the sum over all other routers.
  bool m_LoadsSummed = false;
  /// Their running requests by target, see encodeLoads().
  std::string m_OthersLoads;
  /// Time until the first manifest after the node's is acknowledged to its
  /// operator; negative when it was acknowledged before.
  Millis m_ManifestAckedIn;
  /// The router that the grant is for, set while a follower relays it.
  NodeId m_Node;
  /// Epoch of the ids that m_IdsDelta leads to; a follower that relays the
  /// grant may know older members than the leader.
  Epoch m_IdsEpoch;
  /// Version of the keeper set that m_Keepers lists; 0 when it is not listed.
  std::uint64_t m_KeeperSet = 0;
  std::vector<KeeperUrl> m_Keepers;
  /// Version of the refused prompt parts, which m_Quarantine lists when the
  /// node has an older one.
  std::uint64_t m_QuarantineVersion = 0;
  std::vector<RefusedPart> m_Quarantine;
  /// For each service of Renew::m_OutOfReach.
  std::vector<RelayOffer> m_Relays;
  /// In place of m_TargetsDelta and m_IdsDelta, compressed; only for nodes that
  /// take them so.
  std::string m_TargetsPacked = {};
  std::string m_IdsPacked = {};
  /// All rollouts, as m_ZonesOut.
  std::vector<RolloutOrder> m_Rollouts = {};
};

/// A router's report of its running requests between two renewals. It does not
/// affect the lease.
struct LoadUpdate {
  NodeId m_Node;
  Incarnation m_Incarnation;
  /// Counts the updates of one incarnation, from 1.
  std::uint64_t m_Sequence = 0;
  /// All pools in which the node owns targets.
  std::vector<PoolLoad> m_Pools;
};

/// The leader's answer to LoadUpdate, for the pools named there.
struct LoadTotals {
  std::uint64_t m_Sequence = 0;
  std::vector<PoolTotal> m_Totals;
};

/// The leader asks a router to renew at once, because the document, the
/// membership or the set of leaving VMs has changed.
struct RenewRequest {
  Epoch m_Epoch;
  DocumentVersion m_Version;
};

/// Sent by a keeper that is not the leader, to name the leader; empty when
/// unknown.
struct RedirectLeader {
  KeeperId m_Leader;
  std::string m_PeerUrl;
  /// The leader's answer to a keeper whose identity was removed from the set:
  /// it may join under a new one only.
  bool m_IdentityRemoved = false;
};

/// A keeper that forms the initial keeper set asks another member of the set to
/// record the disk that holds its identity.
struct IdentityClaim {
  KeeperId m_Keeper;
  /// Random number of the disk, drawn when the data folder was initialized.
  std::uint64_t m_Disk = 0;
  /// Hash of the initial keeper set in the settings.
  std::uint64_t m_InitialSet = 0;
};

/// Answer to IdentityClaim. A member accepts only one disk for each identity,
/// permanently, and records it on its own disk before it answers.
struct IdentityVerdict {
  bool m_Accepted = false;
  /// The disk of the answering keeper.
  std::uint64_t m_Disk = 0;
  std::string m_Why;
};

/// Replication message between keepers, encoded by the replication codec.
/// A long one, such as a snapshot, is sent in consecutive parts.
struct Replicate {
  std::string m_Payload;
  /// Sender's number of the complete message; 0 when it has one part.
  std::uint64_t m_Message = 0;
  std::uint32_t m_Part = 0;
  std::uint32_t m_Parts = 0;
};

/// Registers a non-idempotent call before its first byte is sent.
struct JournalBegin {
  /// Unique in the fleet: generated by the router, never the caller's own id. A
  /// begin with the same id, node and incarnation counts as a resend.
  RequestId m_Request;
  AccountId m_Account;
  IdempotencyKey m_Key;
  /// Hex SHA-256 of method, path and body.
  std::string m_BodyHash;
  UnixMillis m_IssuedAt;
  NodeId m_Node;
  Incarnation m_Incarnation;
  /// Set by the leader when it proposes the begin: its wall clock.
  UnixMillis m_ProposedAt = UnixMillis();
};

enum class CallOutcome : std::uint8_t { Answered, NotRun, Unknown };

/// Answer of a journaled call to its caller.
struct CallAnswer {
  int m_HttpStatus = 0;
  std::string m_ContentType;
  std::string m_Body;
};

/// Records the outcome of a journaled call.
struct JournalEnd {
  RequestId m_Request;
  AccountId m_Account;
  IdempotencyKey m_Key;
  NodeId m_Node;
  Incarnation m_Incarnation;
  CallOutcome m_Outcome = CallOutcome::Unknown;
  CallAnswer m_Answer;
};

enum class JournalStatus : std::uint8_t {
  /// Begin: this call may be sent, once.
  Granted,
  /// Begin: the call ran; its answer is attached.
  Recorded,
  /// Begin: a call with the same key is running.
  Running,
  /// Begin: an earlier call with this key may have run.
  OutcomeUnknown,
  /// Begin: the key was used with another body.
  BodyMismatch,
  /// Begin: the key's time of issue is too long ago or in the future.
  KeyExpired,
  KeyFromFuture,
  /// End: the outcome is durable.
  Ended,
  /// The keeper is not the leader or cannot reach a quorum; the state of the
  /// key
  /// is not known.
  Unavailable,
};

/// Answer to JournalBegin and JournalEnd, matched by request id.
struct JournalAnswer {
  RequestId m_Request;
  JournalStatus m_Status = JournalStatus::Unavailable;
  CallAnswer m_Answer;
};

enum class Priority : std::uint8_t { Latency, Batch };

/// An entry router asks the owner of a target to run a request.
struct Forward {
  RequestId m_Request;
  Attempt m_Attempt;
  AccountId m_Account;
  ChatId m_Chat;
  PoolId m_Pool;
  /// The target asked for; its owner decides.
  TargetId m_Target;
  /// Set when the owner must not answer with its redirect for the chat again.
  bool m_IgnoreRedirect = false;
  /// Set when any target of the owner may take the request.
  bool m_AnyTarget = false;
  Priority m_Priority = Priority::Latency;
  /// Time left until the caller's deadline.
  Millis m_TimeLeft;
  Tokens m_PromptTokens;
  bool m_Stream = false;
  std::string m_Method;
  std::string m_Path;
  std::string m_ContentType;
  std::string m_Body;
  /// Events that the caller already has; the owner relays only later ones.
  std::uint64_t m_ResumeOffset = 0;
  /// Text that the caller already has, for continuing at another engine.
  std::string m_ResumeText;
  /// What the request may be refused for, see judgedParts() and joinPartIds().
  std::string m_PromptParts;
  /// Hash of the last part.
  std::uint64_t m_PromptChat = 0;
};

/// The owner dispatched the request.
struct ForwardAccept {
  RequestId m_Request;
  Attempt m_Attempt;
  TargetId m_Target;
  /// Short text for the X-Placement field.
  std::string m_Why;
};

/// The owner did not dispatch the request: nothing was sent to a target.
struct ForwardDecline {
  RequestId m_Request;
  Attempt m_Attempt;
  RetryReason m_Reason = RetryReason::Declined;
  /// A target that holds the chat's prefix, when the owner knows one.
  TargetId m_Holder;
};

/// Part of an answer. Offsets count stream events (or body parts) from 0.
struct ForwardChunk {
  RequestId m_Request;
  Attempt m_Attempt;
  std::uint64_t m_Offset = 0;
  /// m_Count complete events.
  std::uint32_t m_Count = 1;
  std::string m_Data;
};

/// How an answer ended at the owner.
enum class StreamEnd : std::uint8_t {
  Complete,
  /// Nothing reached the target.
  NotSent,
  /// The target refused the request before running it, as its answer states.
  TargetRefused,
  /// The stream broke; the request may have run in part.
  Broken,
  Cancelled,
};

struct ForwardEnd {
  RequestId m_Request;
  Attempt m_Attempt;
  StreamEnd m_End = StreamEnd::Complete;
  int m_HttpStatus = 0;
  std::string m_ContentType;
  std::uint64_t m_Events = 0;
  std::string m_Detail;
};

struct ForwardCancel {
  RequestId m_Request;
  Attempt m_Attempt;
};

/// The receiver may send this many more bytes of an answer (flow control).
struct ForwardCredit {
  RequestId m_Request;
  Attempt m_Attempt;
  Bytes m_Bytes;
};

/// Tells the owner of a chat's home target where the chat ran.
struct PlacementUpdate {
  ChatId m_Chat;
  PoolId m_Pool;
  TargetId m_Home;
  TargetId m_Target;
};

/// Tells the owner of a target that the target imported a chat's prefix.
struct PrefixCopied {
  PoolId m_Pool;
  TargetId m_Target;
  /// Hash of the chat's id.
  std::uint64_t m_Chat = 0;
  Tokens m_Tokens;
};

/// A keeper whose disk is not part of the keeper set asks to become a voting
/// member.
struct JoinKeepers {
  KeeperId m_Keeper;
  std::string m_PeerUrl;
};

/// A keeper's target list, sent to the other keepers and to gateways after each
/// reading: an edit script to the text with m_Digest.
struct TargetListUpdate {
  std::uint64_t m_Digest = 0;
  /// Digest of the text that m_Delta applies to; 0 for the empty text.
  std::uint64_t m_Base = 0;
  /// Empty when the receiver has the list.
  std::string m_Delta;
  /// Time since the reading began.
  Millis m_Age;
  /// In place of m_Delta, compressed; only for receivers that take it so.
  std::string m_Packed = {};
};

/// A keeper asks for the whole target list after an update that does not apply
/// to the list it holds.
struct TargetListRequest {
  std::uint64_t m_Held = 0;
};

/// A keeper sends a committed change to the gateways connected to it, before
/// their next renewals.
struct ControlUpdate {
  DocumentVersion m_Version;
  /// All availability zones that are out of service at m_Version.
  std::vector<ZoneOut> m_ZonesOut;
  /// As in Grant; 0 without a manifest.
  std::uint64_t m_ManifestVersion = 0;
  std::uint64_t m_ManifestBase = 0;
  std::string m_ManifestDelta;
  /// As in Grant.
  std::uint64_t m_QuarantineVersion = 0;
  std::vector<RefusedPart> m_Quarantine;
  /// As in Grant.
  std::vector<RolloutOrder> m_Rollouts = {};
};

/// A request that lost its answer when the connection to its target ended.
struct CutRequest {
  /// Hash of the request's id.
  std::uint64_t m_Request = 0;
  /// Hash of the last part of its prompt, which belongs to one chat.
  std::uint64_t m_Chat = 0;
  /// The other parts, see joinPartIds().
  std::string m_Parts;
};

/// Requests of one router that were cut at one target together, before or
/// shortly after the first events of their answers.
struct TargetCrash {
  TargetId m_Target;
  /// Time since the first of them was cut.
  Millis m_Age;
  std::vector<CutRequest> m_Requests;
};

/// A prompt part with which a target has answered.
struct ServedPart {
  PromptPartId m_Part;
  /// Time since the last such answer.
  Millis m_Age;
};

/// A router tells the leading keeper under which prompts targets have ended,
/// and which of the suspected parts were served. Keepers relay it.
struct PromptReport {
  NodeId m_Node;
  std::vector<TargetCrash> m_Crashes;
  std::vector<ServedPart> m_Served;
  /// Time since the router first recorded an answer.
  Millis m_History;
};

struct SuspectPart {
  PromptPartId m_Part;
};

/// The leading keeper asks the routers whether targets have answered with these
/// prompt parts. Keepers relay it.
struct PromptWatch {
  std::vector<SuspectPart> m_Suspects;
};

/// A router tells the keepers at which software version its streams of one
/// service began. Keepers relay it to each other.
struct BegunStream {
  RequestId m_Request;
  SoftwareVersion m_Software;
};
struct StreamReport {
  PoolId m_Service;
  std::vector<BegunStream> m_Streams;
  /// The keeper's former run was told of them, and other keepers may ask for
  /// them; they are not relayed.
  bool m_Again = false;
  /// For so long the router may be asked for them; 0 from earlier builds.
  Millis m_LongestStream = {};
};

/// A router asks a keeper where a stream began that a caller takes up. The
/// keeper asks the others when it does not know. Without a request the router
/// asks only for how long the service has had one version.
struct StreamQuery {
  RequestId m_Request;
  PoolId m_Service;
  /// A version that the service has had alone for as long began the stream; 0
  /// from earlier builds.
  Millis m_LongestStream = {};
};

struct StreamAnswer {
  RequestId m_Request;
  /// True when m_Software is the version of the stream.
  bool m_Recorded = false;
  SoftwareVersion m_Software;
  /// The only version that the service has had for m_SoleFor; 0 for none.
  SoftwareVersion m_Sole;
  Millis m_SoleFor;
  /// The keeper has started lately; routers still tell it of their streams.
  bool m_Incomplete = false;
  /// Empty from earlier builds.
  PoolId m_Service = {};
};

/// Every message between two of the system's processes.
using PeerMessage =
    std::variant<Hello, Heartbeat, Renew, Grant, RedirectLeader, Replicate,
                 JournalBegin, JournalEnd, JournalAnswer, Forward,
                 ForwardAccept, ForwardDecline, ForwardChunk, ForwardEnd,
                 ForwardCancel, ForwardCredit, PlacementUpdate, IdentityClaim,
                 IdentityVerdict, LoadUpdate, LoadTotals, RenewRequest,
                 PrefixCopied, JoinKeepers, TargetListUpdate, TargetListRequest,
                 ControlUpdate, PromptReport, PromptWatch, StreamReport,
                 StreamQuery, StreamAnswer, RolloutReport>;

} // namespace vanillaferry
