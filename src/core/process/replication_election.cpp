#include "process/internal/replica.hpp"

#include <algorithm>

namespace vanillaferry::internal {

namespace {

bool isUpToDate(const Replica &State, const ReplicaMessage &Message) {
  Term OwnTerm = lastTerm(State);
  if (Message.m_PreviousTerm != OwnTerm)
    return Message.m_PreviousTerm > OwnTerm;
  return Message.m_PreviousIndex >= lastIndex(State);
}

/// True while this keeper's answer may be part of a live leader's lease.
bool seesLiveLeader(const Replica &State, Millis Now) {
  if (State.m_Role == ReplicaRole::Leader)
    return holdsQuorumLease(State, Now);
  return Now < State.m_LastLeaderContact + State.m_Options.m_ElectionMin;
}

void requestVotes(Replica &State, std::vector<ReplicaMessage> &Out,
                  ReplicaMessage::Kind Kind, Term ForTerm, bool NoLeader) {
  for (const KeeperAddress &Voter : State.m_Set.m_Voters) {
    if (Voter.m_Keeper == State.m_Self)
      continue;
    ReplicaMessage Message = makeMessage(State, Kind, Voter.m_Keeper);
    Message.m_Term = ForTerm;
    Message.m_NoLeader = NoLeader;
    Message.m_PreviousIndex = lastIndex(State);
    Message.m_PreviousTerm = lastTerm(State);
    Out.push_back(std::move(Message));
  }
}

bool hasVoteQuorum(const Replica &State) {
  std::size_t Count = 0;
  for (const KeeperId &Keeper : State.m_Votes)
    Count += isVoter(State.m_Set, Keeper) ? 1 : 0;
  return Count >= quorumSize(State.m_Set);
}

/// Until votes by majority are allowed, a keeper asks often whether all voters
/// have restarted.
bool allMayHaveStopped(const Replica &State, Millis Now) {
  return !State.m_KnewLeader &&
         Now < State.m_StartedAt + State.m_Options.m_ElectionMin;
}

/// True when every voter of the newest set, and of the one before it if that
/// may still be in force, answered this pre-vote without knowing a leader.
/// Leases that a former leader held when all keepers stopped are then void.
bool noneKnowsALeader(const Replica &State) {
  auto AllAnswered = [&State](const KeeperSet &Set) {
    return std::all_of(Set.m_Voters.begin(), Set.m_Voters.end(),
                       [&State](const KeeperAddress &Voter) {
                         return Voter.m_Keeper == State.m_Self ||
                                State.m_Votes.count(Voter.m_Keeper) != 0 ||
                                State.m_WithoutLeader.count(Voter.m_Keeper) !=
                                    0;
                       });
  };
  bool Uncommitted =
      State.m_SetIndex > State.m_Commit && State.m_SetIndex > LogIndex(0);
  return !State.m_KnewLeader && AllAnswered(State.m_Set) &&
         (!Uncommitted ||
          AllAnswered(setAt(State, LogIndex(State.m_SetIndex.m_Value - 1))));
}

void startVote(Replica &State, ReplicaActions &Actions, Millis Now) {
  bool NoLeader = noneKnowsALeader(State);
  State.m_PreVoting = false;
  State.m_Hard.m_Term = Term(State.m_Hard.m_Term.m_Value + 1);
  State.m_Hard.m_VotedFor = State.m_Self;
  State.m_LeaderMatch = LogIndex(0);
  State.m_LeaderSequence = 0;
  State.m_Receiving.reset();
  persistHard(State, Actions);
  State.m_Votes = {State.m_Self};
  resetElectionDeadline(State, Now);
  if (hasVoteQuorum(State)) {
    becomeLeader(State, Actions, Now);
    return;
  }
  // This keeper's own vote must be synced before another one completes a
  // quorum.
  requestVotes(State, Actions.m_SendAfterSync, ReplicaMessage::Kind::Vote,
               State.m_Hard.m_Term, NoLeader);
}

/// A majority suffices once this keeper's own confirmation of a leader has
/// expired.
bool mayStartVote(const Replica &State, Millis Now) {
  return noneKnowsALeader(State) ||
         (hasVoteQuorum(State) && !seesLiveLeader(State, Now));
}

} // namespace

bool mayStartElection(const Replica &State) {
  if (!State.m_VotingAllowed || State.m_HoldsBack)
    return false;
  if (isVoter(State.m_Set, State.m_Self))
    return true;
  return State.m_SetIndex > State.m_Commit && State.m_SetIndex > LogIndex(0) &&
         isVoter(setAt(State, LogIndex(State.m_SetIndex.m_Value - 1)),
                 State.m_Self);
}

void resetElectionDeadline(Replica &State, Millis Now) {
  const ReplicaOptions &Options = State.m_Options;
  std::int64_t Heartbeat = Options.m_HeartbeatInterval.m_Value;
  bool Early = allMayHaveStopped(State, Now);
  std::uniform_int_distribution<std::int64_t> Spread(
      Early ? Heartbeat / 2 : Options.m_ElectionMin.m_Value,
      Early ? Heartbeat * 3 : Options.m_ElectionMax.m_Value);
  State.m_ElectionDeadline = Now + Millis(Spread(State.m_Random));
}

void persistHard(Replica &State, ReplicaActions &Actions) {
  Actions.m_PersistHard = State.m_Hard;
}

void becomeFollower(Replica &State, ReplicaActions &Actions, Term NewTerm,
                    const KeeperId &Leader, Millis Now) {
  if (NewTerm > State.m_Hard.m_Term) {
    State.m_Hard.m_Term = NewTerm;
    State.m_Hard.m_VotedFor = KeeperId();
    State.m_LeaderMatch = LogIndex(0);
    State.m_LeaderSequence = 0;
    State.m_Receiving.reset();
    persistHard(State, Actions);
  }
  if (State.m_Role == ReplicaRole::Leader) {
    Actions.m_LostLeadership = true;
    for (const PendingRead &Read : State.m_Reads)
      Actions.m_FailedReads.push_back(Read.m_Token);
    State.m_Reads.clear();
    State.m_Peers.clear();
    State.m_SequenceSentAt.clear();
    resetElectionDeadline(State, Now);
  }
  State.m_PreVoting = false;
  State.m_Votes.clear();
  State.m_Leader = Leader;
  State.m_Role = isVoter(State.m_Set, State.m_Self) ? ReplicaRole::Follower
                                                    : ReplicaRole::Learner;
}

void startPreVote(Replica &State, ReplicaActions &Actions, Millis Now) {
  State.m_Role = ReplicaRole::Candidate;
  State.m_PreVoting = true;
  State.m_Leader = KeeperId();
  State.m_Votes = {State.m_Self};
  State.m_WithoutLeader.clear();
  resetElectionDeadline(State, Now);
  if (mayStartVote(State, Now)) {
    startVote(State, Actions, Now);
    return;
  }
  requestVotes(State, Actions.m_Send, ReplicaMessage::Kind::PreVote,
               Term(State.m_Hard.m_Term.m_Value + 1), false);
}

void receivePreVote(Replica &State, ReplicaActions &Actions,
                    const ReplicaMessage &Message, Millis Now) {
  if (isRemoved(State.m_Set, Message.m_From))
    return;
  ReplicaMessage Answer =
      makeMessage(State, ReplicaMessage::Kind::PreVoteAnswer, Message.m_From);
  bool Eligible = State.m_VotingAllowed &&
                  Message.m_Term > State.m_Hard.m_Term &&
                  isUpToDate(State, Message);
  Answer.m_Granted = Eligible && !seesLiveLeader(State, Now);
  Answer.m_NoLeader = Eligible && !Answer.m_Granted && !State.m_KnewLeader;
  if (Answer.m_Granted || Answer.m_NoLeader)
    Answer.m_Term = Message.m_Term;
  // Leaves the first candidate after a restart of all keepers time to win.
  if (Answer.m_NoLeader && State.m_Role != ReplicaRole::Candidate)
    State.m_ElectionDeadline = std::max(
        State.m_ElectionDeadline, Now + State.m_Options.m_HeartbeatInterval);
  Actions.m_Send.push_back(std::move(Answer));
}

void receiveVote(Replica &State, ReplicaActions &Actions,
                 const ReplicaMessage &Message, Millis Now) {
  // Without a leader among the voters, nobody relies on a confirmation that
  // this keeper gave before it restarted.
  bool Free = Message.m_NoLeader && !State.m_KnewLeader;
  if (isRemoved(State.m_Set, Message.m_From) ||
      (!Free && seesLiveLeader(State, Now)))
    return;
  if (Message.m_Term > State.m_Hard.m_Term)
    becomeFollower(State, Actions, Message.m_Term, KeeperId(), Now);
  bool HasVote = State.m_Hard.m_VotedFor.empty() ||
                 State.m_Hard.m_VotedFor == Message.m_From;
  bool Granted = State.m_VotingAllowed &&
                 Message.m_Term == State.m_Hard.m_Term && HasVote &&
                 State.m_Leader.empty() && isUpToDate(State, Message);
  ReplicaMessage Answer =
      makeMessage(State, ReplicaMessage::Kind::VoteAnswer, Message.m_From);
  Answer.m_Granted = Granted;
  if (Granted) {
    State.m_Hard.m_VotedFor = Message.m_From;
    resetElectionDeadline(State, Now);
    // Also for a repeated request, whose first answer may still wait for the
    // sync.
    persistHard(State, Actions);
  }
  Actions.m_SendAfterSync.push_back(std::move(Answer));
}

void receiveVoteAnswer(Replica &State, ReplicaActions &Actions,
                       const ReplicaMessage &Message, Millis Now) {
  bool PreVote = Message.m_Kind == ReplicaMessage::Kind::PreVoteAnswer;
  bool Counts = Message.m_Granted || (PreVote && Message.m_NoLeader);
  if (!Counts) {
    if (Message.m_Term > State.m_Hard.m_Term)
      becomeFollower(State, Actions, Message.m_Term, KeeperId(), Now);
    return;
  }
  Term Expected =
      PreVote ? Term(State.m_Hard.m_Term.m_Value + 1) : State.m_Hard.m_Term;
  if (State.m_Role != ReplicaRole::Candidate || State.m_PreVoting != PreVote ||
      Message.m_Term != Expected)
    return;
  (Message.m_Granted ? State.m_Votes : State.m_WithoutLeader)
      .insert(Message.m_From);
  if (PreVote && mayStartVote(State, Now))
    startVote(State, Actions, Now);
  else if (!PreVote && hasVoteQuorum(State))
    becomeLeader(State, Actions, Now);
}

} // namespace vanillaferry::internal
