#include "vanillaferry/process/replication.hpp"

#include "process/internal/replica.hpp"

#include <utility>

namespace vanillaferry {

using namespace internal;

Replica makeReplica(KeeperId Self, ReplicaOptions Options,
                    ReplicaRecovery Recovery, std::uint64_t Seed, Millis Now) {
  Replica State;
  State.m_Self = std::move(Self);
  State.m_Options = Options;
  State.m_Hard = Recovery.m_Hard;
  State.m_VotingAllowed = Recovery.m_VotingAllowed;
  State.m_Random.seed(Seed);
  State.m_SetHistory[LogIndex(0)] = std::move(Recovery.m_InitialSet);
  if (Recovery.m_Snapshot) {
    Snapshot &Taken = *Recovery.m_Snapshot;
    State.m_BaseIndex = State.m_SnapshotIndex = Taken.m_LastIndex;
    State.m_BaseTerm = State.m_SnapshotTerm = Taken.m_LastTerm;
    State.m_SetHistory.clear();
    State.m_SetHistory[Taken.m_LastIndex] = Taken.m_Set;
    State.m_Snapshot = std::make_shared<const Snapshot>(std::move(Taken));
  }
  State.m_Commit = State.m_Applied = State.m_BaseIndex;
  for (LogEntry &Entry : Recovery.m_Entries) {
    // A stored log that conflicts with the stored snapshot dates from before
    // the snapshot was installed.
    if (Entry.m_Index == State.m_BaseIndex && Entry.m_Term != State.m_BaseTerm)
      break;
    if (Entry.m_Index.m_Value != lastIndex(State).m_Value + 1)
      continue;
    if (Entry.m_Kind == EntryKind::KeeperSet)
      if (std::optional<KeeperSet> Set = decodeKeeperSet(Entry.m_Data))
        State.m_SetHistory[Entry.m_Index] = *Set;
    State.m_Log.push_back(std::move(Entry));
  }
  State.m_Synced = lastIndex(State);
  // A snapshot may have become durable just before the term in which it came.
  if (lastTerm(State) > State.m_Hard.m_Term) {
    State.m_Hard.m_Term = lastTerm(State);
    State.m_Hard.m_VotedFor = KeeperId();
  }
  useNewestSet(State, Now);
  // The keeper may have answered a leader just before it restarted, and that
  // answer is part of the leader's lease.
  State.m_LastLeaderContact = Now;
  State.m_StartedAt = Now;
  resetElectionDeadline(State, Now);
  return State;
}

ReplicaActions tick(Replica &State, Millis Now) {
  ReplicaActions Actions;
  if (State.m_Role == ReplicaRole::Leader) {
    checkQuorumContact(State, Actions, Now);
    if (State.m_Role == ReplicaRole::Leader && Now >= State.m_NextHeartbeat)
      sendHeartbeats(State, Actions, Now);
  } else if (Now >= State.m_ElectionDeadline) {
    if (mayStartElection(State))
      startPreVote(State, Actions, Now);
    else
      resetElectionDeadline(State, Now);
  }
  expectSync(State, Actions);
  return Actions;
}

ReplicaActions receive(Replica &State, ReplicaMessage Message, Millis Now) {
  ReplicaActions Actions;
  if (Message.m_From == State.m_Self || Message.m_To != State.m_Self)
    return Actions;
  switch (Message.m_Kind) {
  case ReplicaMessage::Kind::PreVote:
    receivePreVote(State, Actions, Message, Now);
    break;
  case ReplicaMessage::Kind::Vote:
    receiveVote(State, Actions, Message, Now);
    break;
  case ReplicaMessage::Kind::PreVoteAnswer:
  case ReplicaMessage::Kind::VoteAnswer:
    receiveVoteAnswer(State, Actions, Message, Now);
    break;
  case ReplicaMessage::Kind::Append:
  case ReplicaMessage::Kind::InstallSnapshot:
  case ReplicaMessage::Kind::Confirm:
    receiveFromLeader(State, Actions, Message, Now);
    break;
  case ReplicaMessage::Kind::AppendAnswer:
  case ReplicaMessage::Kind::ConfirmAnswer:
  case ReplicaMessage::Kind::SnapshotAnswer:
    receiveAnswer(State, Actions, Message, Now);
    break;
  }
  expectSync(State, Actions);
  return Actions;
}

ProposeError propose(Replica &State, std::vector<std::string> Commands,
                     std::vector<LogIndex> &Indexes, ReplicaActions &Actions,
                     Millis Now) {
  // A leader that was suspended may resume with proposals in its queue.
  if (State.m_Role == ReplicaRole::Leader)
    checkQuorumContact(State, Actions, Now);
  if (State.m_Role != ReplicaRole::Leader || awaitsOwnVote(State))
    return ProposeError::NotLeader;
  for (std::string &Command : Commands) {
    LogEntry Entry;
    Entry.m_Index = LogIndex(lastIndex(State).m_Value + 1);
    Entry.m_Term = State.m_Hard.m_Term;
    Entry.m_Kind = EntryKind::Command;
    Entry.m_Data = std::move(Command);
    Indexes.push_back(Entry.m_Index);
    appendEntry(State, Actions, std::move(Entry), Now);
  }
  expectSync(State, Actions);
  sendEntries(State, Actions, Now);
  commitByQuorum(State, Actions, Now);
  return ProposeError::None;
}

ReplicaActions holdBack(Replica &State, Millis Now) {
  ReplicaActions Actions;
  State.m_HoldsBack = true;
  if (State.m_Role == ReplicaRole::Leader ||
      State.m_Role == ReplicaRole::Candidate)
    becomeFollower(State, Actions, State.m_Hard.m_Term, KeeperId(), Now);
  return Actions;
}

ReplicaActions synced(Replica &State, LogIndex Index, Term EntryTerm,
                      Millis Now) {
  ReplicaActions Actions;
  std::size_t Position = 0;
  while (Position < State.m_PendingSyncs.size() &&
         (State.m_PendingSyncs[Position].m_Index != Index ||
          State.m_PendingSyncs[Position].m_Term != EntryTerm))
    ++Position;
  if (Position == State.m_PendingSyncs.size())
    return Actions;
  bool AwaitedVote = awaitsOwnVote(State);
  for (std::size_t I = 0; I <= Position; ++I) {
    if (State.m_PendingSyncs.front().m_Valid > State.m_Synced)
      State.m_Synced = State.m_PendingSyncs.front().m_Valid;
    State.m_PendingSyncs.pop_front();
  }
  Actions.m_BecameLeader = AwaitedVote && !awaitsOwnVote(State);
  if (State.m_Role == ReplicaRole::Leader) {
    sendEntries(State, Actions, Now);
    commitByQuorum(State, Actions, Now);
  } else if (!State.m_Leader.empty()) {
    Actions.m_Send.push_back(appendAnswer(State));
  }
  expectSync(State, Actions);
  return Actions;
}

void requestRead(Replica &State, std::uint64_t Token, ReplicaActions &Actions,
                 Millis Now) {
  if (State.m_Role == ReplicaRole::Leader)
    checkQuorumContact(State, Actions, Now);
  if (State.m_Role != ReplicaRole::Leader || awaitsOwnVote(State)) {
    Actions.m_FailedReads.push_back(Token);
    return;
  }
  // Reads that arrive during a confirmation round share the next round.
  bool RoundInProgress = !State.m_Reads.empty();
  PendingRead Read;
  Read.m_Token = Token;
  Read.m_Sequence = State.m_ConfirmSequence + 1;
  Read.m_Commit =
      State.m_Commit < State.m_TermStart ? State.m_TermStart : State.m_Commit;
  State.m_Reads.push_back(Read);
  if (!RoundInProgress)
    sendConfirms(State, Actions, Now);
  completeReads(State, Actions, Now);
}

Snapshot takeSnapshot(const Replica &State, std::string Data) {
  Snapshot Taken;
  Taken.m_LastIndex = State.m_Applied;
  Taken.m_LastTerm = termAt(State, State.m_Applied).value_or(Term(0));
  Taken.m_Set = setAt(State, State.m_Applied);
  Taken.m_Data = std::move(Data);
  return Taken;
}

void compact(Replica &State, Snapshot Taken) {
  if (Taken.m_LastIndex > State.m_Applied ||
      Taken.m_LastIndex <= State.m_SnapshotIndex)
    return;
  State.m_SnapshotIndex = Taken.m_LastIndex;
  State.m_SnapshotTerm = Taken.m_LastTerm;
  std::uint64_t Retained = State.m_Options.m_RetainedEntries;
  std::uint64_t Last = Taken.m_LastIndex.m_Value;
  std::uint64_t Base = Last > Retained ? Last - Retained : 0;
  while (!State.m_Log.empty() && State.m_Log.front().m_Index.m_Value <= Base) {
    State.m_BaseIndex = State.m_Log.front().m_Index;
    State.m_BaseTerm = State.m_Log.front().m_Term;
    State.m_Log.pop_front();
  }
  std::map<LogIndex, KeeperSet>::iterator Keep =
      State.m_SetHistory.upper_bound(State.m_BaseIndex);
  if (Keep != State.m_SetHistory.begin())
    State.m_SetHistory.erase(State.m_SetHistory.begin(), std::prev(Keep));
  State.m_Snapshot = std::make_shared<const Snapshot>(std::move(Taken));
}

bool holdsQuorumLease(const Replica &State, Millis Now) {
  if (State.m_Role != ReplicaRole::Leader || State.m_Commit < State.m_TermStart)
    return false;
  constexpr std::int64_t Never = INT64_MIN / 2;
  std::int64_t Contact =
      quorumValue(State, Now.m_Value, Never, [](const PeerProgress &Peer) {
        return Peer.m_ConfirmedAt ? Peer.m_ConfirmedAt->m_Value : Never;
      });
  // The remaining tenth is a margin for clocks that run at different rates.
  std::int64_t LeaseTime = State.m_Options.m_ElectionMin.m_Value * 9 / 10;
  return Contact + LeaseTime > Now.m_Value;
}

} // namespace vanillaferry
