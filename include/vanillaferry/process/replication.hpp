#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace vanillaferry {

/// What a log entry carries.
enum class EntryKind : std::uint8_t { Noop, Command, KeeperSet };

/// One entry of the replicated log.
struct LogEntry {
  LogIndex m_Index;
  Term m_Term;
  EntryKind m_Kind = EntryKind::Noop;
  std::string m_Data;
};

/// A keeper's address as the other keepers know it.
struct KeeperAddress {
  KeeperId m_Keeper;
  std::string m_PeerUrl;
};

/// The keepers that vote and those that only learn.
struct KeeperSet {
  std::vector<KeeperAddress> m_Voters;
  std::vector<KeeperAddress> m_Learners;
  /// Removed keepers; their identities are never added again.
  std::vector<KeeperId> m_Removed;
};

/// What must be synced before a vote or an append is answered.
struct HardState {
  Term m_Term;
  KeeperId m_VotedFor;
};

/// State machine content up to an index, in place of the log entries.
struct Snapshot {
  LogIndex m_LastIndex;
  Term m_LastTerm;
  KeeperSet m_Set;
  std::string m_Data;
};

/// Message between keepers; the fields used depend on the kind.
struct ReplicaMessage {
  enum class Kind : std::uint8_t {
    PreVote,
    PreVoteAnswer,
    Vote,
    VoteAnswer,
    Append,
    AppendAnswer,
    InstallSnapshot,
    /// The leader's check of its leadership, without entries.
    Confirm,
    ConfirmAnswer,
    /// How much of a snapshot has arrived; m_Match names the snapshot.
    SnapshotAnswer,
  };
  Kind m_Kind = Kind::Append;
  KeeperId m_From;
  KeeperId m_To;
  Term m_Term;
  LogIndex m_PreviousIndex;
  Term m_PreviousTerm;
  LogIndex m_Commit;
  std::vector<LogEntry> m_Entries;
  bool m_Granted = false;
  /// AppendAnswer: last index that matches and is synced, or a hint where the
  /// logs diverge.
  LogIndex m_Match;
  std::uint64_t m_Sequence = 0;
  /// Append, Confirm, InstallSnapshot: last index that the receiver confirmed
  /// to this leader in this term. A receiver with a shorter log has lost data.
  LogIndex m_Acked;
  /// Answers: the sender's disk lost data or was re-created; it must not count.
  bool m_Regressed = false;
  /// PreVoteAnswer: the sender does not lead and has heard no leader since its
  /// start. Vote: all voters answered the candidate so, which rules out a
  /// leader whose lease the receiver confirmed before it restarted.
  bool m_NoLeader = false;
  /// InstallSnapshot: the chunk at m_Offset of a total of m_SnapshotSize bytes.
  std::optional<Snapshot> m_Snapshot;
  std::uint64_t m_SnapshotSize = 0;
  /// InstallSnapshot: offset of the chunk; SnapshotAnswer: bytes received.
  std::uint64_t m_Offset = 0;
};

struct ReplicaOptions {
  /// Short enough for two elections and for the routers to find the new leader
  /// within the rest of a node lease.
  Millis m_ElectionMin{400};
  Millis m_ElectionMax{800};
  Millis m_HeartbeatInterval{100};
  std::size_t m_MaxEntriesPerMessage = 512;
  Bytes m_MaxBytesPerMessage{1024 * 1024};
  /// A learner at most this many entries behind the leader may become a voter.
  std::uint64_t m_LearnerLag = 16;
  /// Maximum number of entries sent to one keeper but not yet acknowledged.
  std::uint64_t m_MaxUnacknowledged = 4096;
  /// Entries kept in memory behind a snapshot, so that a keeper that is
  /// slightly behind needs no snapshot.
  std::uint64_t m_RetainedEntries = 1024;
  /// Snapshots are sent in chunks of this size, well below the peers' frame
  /// limit; each chunk waits for the answer to the previous one.
  Bytes m_SnapshotPart{512 * 1024};
  /// A chunk without an answer is sent again after this time.
  Millis m_SnapshotResend{1000};
};

enum class ReplicaRole : std::uint8_t { Follower, Candidate, Leader, Learner };

/// What the leader knows of one other keeper.
struct PeerProgress {
  LogIndex m_Next;
  LogIndex m_Match;
  /// Before the first answer: when this leader began to send to it.
  Millis m_LastAnswer;
  std::uint64_t m_ConfirmedSequence = 0;
  /// When the newest message that it answered was sent; empty before the first
  /// answer.
  std::optional<Millis> m_ConfirmedAt;
  /// The snapshot being sent to the keeper; later ones do not replace it.
  std::shared_ptr<const Snapshot> m_Sending;
  std::uint64_t m_SendingOffset = 0;
  Millis m_SnapshotSentAt;
  /// Its disk lost data that it had acknowledged; it counts in no quorum.
  bool m_Regressed = false;
};

/// A read that waits until the leader confirmed its leadership.
struct PendingRead {
  std::uint64_t m_Token = 0;
  std::uint64_t m_Sequence = 0;
  LogIndex m_Commit;
};

/// A write that was handed to the disk and is not yet reported as synced.
struct PendingSync {
  LogIndex m_Index;
  Term m_Term;
  /// Last index still valid; lower than m_Index after a later truncation.
  LogIndex m_Valid;
};

/// Replication state of one keeper; changed only by the functions below.
struct Replica {
  KeeperId m_Self;
  ReplicaOptions m_Options;
  ReplicaRole m_Role = ReplicaRole::Follower;
  HardState m_Hard;
  KeeperId m_Leader;
  KeeperSet m_Set;
  LogIndex m_SetIndex;
  /// False for an identity whose disk was re-created or lost data.
  bool m_VotingAllowed = true;
  /// Set by holdBack().
  bool m_HoldsBack = false;
  /// Entries after m_BaseIndex.
  std::deque<LogEntry> m_Log;
  LogIndex m_BaseIndex;
  Term m_BaseTerm;
  /// Position of the newest snapshot; at least m_BaseIndex.
  LogIndex m_SnapshotIndex;
  Term m_SnapshotTerm;
  /// The newest snapshot, kept for members that are too far behind.
  std::shared_ptr<const Snapshot> m_Snapshot;
  /// Chunks of a snapshot received so far from this term's leader.
  std::optional<Snapshot> m_Receiving;
  /// Committed sets by index, for truncation of uncommitted changes.
  std::map<LogIndex, KeeperSet> m_SetHistory;
  LogIndex m_Commit;
  LogIndex m_Applied;
  /// Last index known to be synced on the own disk.
  LogIndex m_Synced;
  std::deque<PendingSync> m_PendingSyncs;
  /// Follower: last index known to equal the log of this term's leader.
  LogIndex m_LeaderMatch;
  /// Follower: newest sequence received from this term's leader.
  std::uint64_t m_LeaderSequence = 0;
  /// Leader: index of the first entry of its term, and when it was elected.
  LogIndex m_TermStart;
  Millis m_LedSince;
  std::map<KeeperId, PeerProgress> m_Peers;
  std::set<KeeperId> m_Votes;
  /// Candidate: voters that answered this pre-vote with m_NoLeader.
  std::set<KeeperId> m_WithoutLeader;
  bool m_PreVoting = false;
  Millis m_ElectionDeadline;
  Millis m_NextHeartbeat;
  Millis m_LastLeaderContact;
  Millis m_StartedAt;
  /// This process led or heard a leader since it started.
  bool m_KnewLeader = false;
  std::uint64_t m_ConfirmSequence = 0;
  /// Leader: when the first message with each sequence was sent.
  std::map<std::uint64_t, Millis> m_SequenceSentAt;
  std::deque<PendingRead> m_Reads;
  std::mt19937_64 m_Random;
};

/// What the caller must do, in this order: persist, then send, then apply.
/// Messages in m_SendAfterSync may be sent only once everything that must be
/// persisted in this result and in all earlier ones is synced; m_Send may be
/// sent at once. Results are persisted in the order in which they were
/// returned. After the sync of m_Append or m_InstallSnapshot the caller reports
/// the last index by synced(), in every role.
struct ReplicaActions {
  std::optional<HardState> m_PersistHard;
  /// Remove entries from this index on before appending m_Append.
  std::optional<LogIndex> m_TruncateFrom;
  std::vector<LogEntry> m_Append;
  /// Replaces the state machine, the stored snapshot and the whole stored log.
  std::optional<Snapshot> m_InstallSnapshot;
  std::vector<ReplicaMessage> m_Send;
  std::vector<ReplicaMessage> m_SendAfterSync;
  /// Entries to apply to the state machine, in order.
  std::vector<LogEntry> m_Committed;
  std::vector<std::uint64_t> m_ConfirmedReads;
  std::vector<std::uint64_t> m_FailedReads;
  bool m_BecameLeader = false;
  bool m_LostLeadership = false;
  /// Leader: keepers whose disk lost data that they had acknowledged; each is
  /// reported once and counts in no quorum until it is removed and joins anew.
  std::vector<KeeperId> m_RegressedKeepers;
  /// This keeper's disk holds less than the keeper acknowledged. The keeper
  /// must bar its identity from voting and stop.
  bool m_DiskRegressed = false;
  /// Describes a broken invariant; the keeper must stop and serve nothing.
  std::optional<std::string> m_BrokenInvariant;
};

/// What the disk holds at start.
struct ReplicaRecovery {
  HardState m_Hard;
  std::optional<Snapshot> m_Snapshot;
  std::vector<LogEntry> m_Entries;
  /// Used when there is neither a snapshot nor a set in the log.
  KeeperSet m_InitialSet;
  /// False when the disk was re-created under an identity that had one before:
  /// such a keeper neither votes nor stands for election.
  bool m_VotingAllowed = true;
};

enum class ProposeError : std::uint8_t {
  None,
  NotLeader,
  /// Another keeper set change is not committed yet.
  ChangePending,
  /// The learner has not caught up.
  LearnerBehind,
  /// The identity was removed before and is never added again.
  IdentityRemoved,
  NoSuchKeeper,
  /// Removing the only voter would leave no quorum.
  LastVoter,
  /// Too few voters of the new set have answered recently to form a quorum.
  QuorumAtRisk,
};

/// Starts a replica from what its disk holds.
Replica makeReplica(KeeperId Self, ReplicaOptions Options,
                    ReplicaRecovery Recovery, std::uint64_t Seed, Millis Now);

/// Advances elections, heartbeats and confirmations to the time Now.
ReplicaActions tick(Replica &State, Millis Now);

/// Handles a message of another keeper.
ReplicaActions receive(Replica &State, ReplicaMessage Message, Millis Now);

/// Appends commands at the leader; Indexes gets the index of each.
ProposeError propose(Replica &State, std::vector<std::string> Commands,
                     std::vector<LogIndex> &Indexes, ReplicaActions &Actions,
                     Millis Now);

/// Reports, in every role, that everything up to this index is synced on the
/// own disk; the index and term are those of the last entry of a result's
/// m_Append (or of its snapshot). Reports come in the order of the results;
/// only the last of several needs to be made. Others are ignored.
ReplicaActions synced(Replica &State, LogIndex Index, Term EntryTerm,
                      Millis Now);

/// Asks for confirmation of leadership; the token comes back in
/// m_ConfirmedReads once a quorum answered a message sent after this call and
/// the state machine has applied all entries committed before it, or in
/// m_FailedReads.
void requestRead(Replica &State, std::uint64_t Token, ReplicaActions &Actions,
                 Millis Now);

/// For a keeper that cannot apply what is committed: it no longer leads or
/// stands for election. It goes on storing and acknowledging entries and
/// voting, which need only the log, so that it still counts in each quorum.
ReplicaActions holdBack(Replica &State, Millis Now);

/// Adds a learner, makes a caught-up learner a voter, or removes a keeper.
ProposeError addLearner(Replica &State, KeeperAddress Keeper,
                        ReplicaActions &Actions, Millis Now);
ProposeError promoteLearner(Replica &State, const KeeperId &Keeper,
                            ReplicaActions &Actions, Millis Now);
ProposeError removeKeeper(Replica &State, const KeeperId &Keeper,
                          ReplicaActions &Actions, Millis Now);

/// A snapshot at the applied index around this state machine content.
Snapshot takeSnapshot(const Replica &State, std::string Data);

/// Drops entries covered by this snapshot except the last m_RetainedEntries.
void compact(Replica &State, Snapshot Taken);

/// Index of the last entry, including those in the snapshot.
LogIndex lastIndex(const Replica &State);

/// True when a quorum has answered a message that the leader sent within nine
/// tenths of the election minimum, so that no other leader can have been
/// elected (leader lease; Ongaro 2014, section 6.4.1), and an entry of the
/// leader's own term is committed.
bool holdsQuorumLease(const Replica &State, Millis Now);

/// Learners that have caught up and may be promoted.
std::vector<KeeperId> caughtUpLearners(const Replica &State);

/// CBOR text of keeper sets, as stored in entries and snapshots.
std::string encodeKeeperSet(const KeeperSet &Set);
std::optional<KeeperSet> decodeKeeperSet(const std::string &Data);

} // namespace vanillaferry
