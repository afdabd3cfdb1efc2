#pragma once

#include "vanillaferry/process/replication.hpp"

#include <cstddef>
#include <functional>

namespace vanillaferry::internal {

// Log.
std::optional<Term> termAt(const Replica &State, LogIndex Index);
Term lastTerm(const Replica &State);
const LogEntry *entryAt(const Replica &State, LogIndex Index);
void appendEntry(Replica &State, ReplicaActions &Actions, LogEntry Entry,
                 Millis Now);
/// Records that the entries of this result are not synced yet.
void expectSync(Replica &State, const ReplicaActions &Actions);
void truncateFrom(Replica &State, ReplicaActions &Actions, LogIndex From,
                  Millis Now);
void advanceCommitTo(Replica &State, ReplicaActions &Actions, LogIndex Index);

// Keeper set.
bool isVoter(const KeeperSet &Set, const KeeperId &Keeper);
bool isLearner(const KeeperSet &Set, const KeeperId &Keeper);
bool isRemoved(const KeeperSet &Set, const KeeperId &Keeper);
std::size_t quorumSize(std::size_t Voters);
std::size_t quorumSize(const KeeperSet &Set);
KeeperSet setAt(const Replica &State, LogIndex Index);
/// Adopts the newest set in the log and updates role and peer records.
void useNewestSet(Replica &State, Millis Now);
/// Largest value that a quorum of voters has reached. Regressed keepers count
/// as Lowest.
std::int64_t
quorumValue(const Replica &State, std::int64_t Own, std::int64_t Lowest,
            const std::function<std::int64_t(const PeerProgress &)> &ValueOf);

// Roles.
/// A keeper may start elections until its own removal is committed: its log may
/// be the only one that is new enough (Ongaro 2014, section 4.2.2).
bool mayStartElection(const Replica &State);
void resetElectionDeadline(Replica &State, Millis Now);
void persistHard(Replica &State, ReplicaActions &Actions);
void becomeFollower(Replica &State, ReplicaActions &Actions, Term NewTerm,
                    const KeeperId &Leader, Millis Now);
void startPreVote(Replica &State, ReplicaActions &Actions, Millis Now);
void receivePreVote(Replica &State, ReplicaActions &Actions,
                    const ReplicaMessage &Message, Millis Now);
void receiveVote(Replica &State, ReplicaActions &Actions,
                 const ReplicaMessage &Message, Millis Now);
void receiveVoteAnswer(Replica &State, ReplicaActions &Actions,
                       const ReplicaMessage &Message, Millis Now);

// Leader.
/// True for a sole voter between its election and the sync of the first entry
/// of its term, which follows its vote on the disk. It sends and accepts
/// nothing yet, so that it cannot lead the same term again after a crash.
bool awaitsOwnVote(const Replica &State);
void becomeLeader(Replica &State, ReplicaActions &Actions, Millis Now);
/// Steps down when no quorum has answered for the election maximum.
void checkQuorumContact(Replica &State, ReplicaActions &Actions, Millis Now);
void sendEntries(Replica &State, ReplicaActions &Actions, Millis Now);
void sendHeartbeats(Replica &State, ReplicaActions &Actions, Millis Now);
void sendConfirms(Replica &State, ReplicaActions &Actions, Millis Now);
void receiveAnswer(Replica &State, ReplicaActions &Actions,
                   const ReplicaMessage &Message, Millis Now);
void commitByQuorum(Replica &State, ReplicaActions &Actions, Millis Now);
void completeReads(Replica &State, ReplicaActions &Actions, Millis Now);

// Follower.
void receiveFromLeader(Replica &State, ReplicaActions &Actions,
                       ReplicaMessage &Message, Millis Now);
ReplicaMessage appendAnswer(const Replica &State);

/// A message of this keeper with its term.
ReplicaMessage makeMessage(const Replica &State, ReplicaMessage::Kind Kind,
                           const KeeperId &To);

} // namespace vanillaferry::internal
