#include "process/internal/replica.hpp"

#include <algorithm>
#include <utility>

namespace vanillaferry::internal {

namespace {

ReplicaMessage makeLeaderMessage(const Replica &State,
                                 ReplicaMessage::Kind Kind, const KeeperId &To,
                                 const PeerProgress &Peer) {
  ReplicaMessage Message = makeMessage(State, Kind, To);
  Message.m_Commit = State.m_Commit;
  Message.m_Sequence = State.m_ConfirmSequence;
  Message.m_Acked = Peer.m_Match;
  return Message;
}

/// Sends the next chunk of the snapshot to the keeper.
void sendSnapshot(Replica &State, ReplicaActions &Actions, const KeeperId &To,
                  PeerProgress &Peer, Millis Now) {
  if (!Peer.m_Sending) {
    if (!State.m_Snapshot)
      return;
    Peer.m_Sending = State.m_Snapshot;
    Peer.m_SendingOffset = 0;
    Peer.m_Next = LogIndex(Peer.m_Sending->m_LastIndex.m_Value + 1);
  }
  const Snapshot &Whole = *Peer.m_Sending;
  ReplicaMessage Message =
      makeLeaderMessage(State, ReplicaMessage::Kind::InstallSnapshot, To, Peer);
  Snapshot Chunk;
  Chunk.m_LastIndex = Whole.m_LastIndex;
  Chunk.m_LastTerm = Whole.m_LastTerm;
  Chunk.m_Set = Whole.m_Set;
  Chunk.m_Data = Whole.m_Data.substr(
      Peer.m_SendingOffset,
      static_cast<std::size_t>(State.m_Options.m_SnapshotPart.m_Value));
  Message.m_Snapshot = std::move(Chunk);
  Message.m_SnapshotSize = Whole.m_Data.size();
  Message.m_Offset = Peer.m_SendingOffset;
  Peer.m_SnapshotSentAt = Now;
  Actions.m_Send.push_back(std::move(Message));
}

/// Continues with the next chunk, or from the start when the keeper restarted.
void continueSnapshot(Replica &State, ReplicaActions &Actions,
                      const ReplicaMessage &Message, PeerProgress &Peer,
                      Millis Now) {
  if (!Peer.m_Sending || Message.m_Match != Peer.m_Sending->m_LastIndex ||
      Message.m_Offset > Peer.m_Sending->m_Data.size())
    return;
  bool Restarted = Message.m_Offset == 0 && Peer.m_SendingOffset > 0;
  if (Message.m_Offset <= Peer.m_SendingOffset && !Restarted)
    return;
  Peer.m_SendingOffset = Message.m_Offset;
  sendSnapshot(State, Actions, Message.m_From, Peer, Now);
}

/// Sends one Append with what follows m_Next; it may be empty.
void sendAppend(Replica &State, ReplicaActions &Actions, const KeeperId &To,
                PeerProgress &Peer) {
  ReplicaMessage Message =
      makeLeaderMessage(State, ReplicaMessage::Kind::Append, To, Peer);
  Message.m_PreviousIndex = LogIndex(Peer.m_Next.m_Value - 1);
  Message.m_PreviousTerm =
      termAt(State, Message.m_PreviousIndex).value_or(Term(0));
  std::uint64_t Limit =
      Peer.m_Match.m_Value + State.m_Options.m_MaxUnacknowledged;
  std::int64_t Size = 0;
  while (Peer.m_Next <= lastIndex(State) && Peer.m_Next.m_Value <= Limit &&
         Message.m_Entries.size() < State.m_Options.m_MaxEntriesPerMessage &&
         Size < State.m_Options.m_MaxBytesPerMessage.m_Value) {
    Message.m_Entries.push_back(*entryAt(State, Peer.m_Next));
    Size += static_cast<std::int64_t>(Message.m_Entries.back().m_Data.size());
    Peer.m_Next = LogIndex(Peer.m_Next.m_Value + 1);
  }
  Actions.m_Send.push_back(std::move(Message));
}

bool canSendEntries(const Replica &State, const PeerProgress &Peer) {
  return !Peer.m_Regressed && !Peer.m_Sending &&
         Peer.m_Next <= lastIndex(State) &&
         Peer.m_Next.m_Value <=
             Peer.m_Match.m_Value + State.m_Options.m_MaxUnacknowledged;
}

void sendEntriesTo(Replica &State, ReplicaActions &Actions, const KeeperId &To,
                   PeerProgress &Peer, Millis Now) {
  while (canSendEntries(State, Peer)) {
    if (Peer.m_Next <= State.m_BaseIndex) {
      sendSnapshot(State, Actions, To, Peer, Now);
      return;
    }
    sendAppend(State, Actions, To, Peer);
  }
}

void startSequence(Replica &State, Millis Now) {
  State.m_SequenceSentAt[++State.m_ConfirmSequence] = Now;
  // Answers to older messages no longer extend the lease.
  Millis Oldest = Now - State.m_Options.m_ElectionMax;
  while (State.m_SequenceSentAt.begin()->second < Oldest)
    State.m_SequenceSentAt.erase(State.m_SequenceSentAt.begin());
}

void recordAnswer(Replica &State, PeerProgress &Peer,
                  const ReplicaMessage &Message, Millis Now) {
  Peer.m_LastAnswer = Now;
  Peer.m_ConfirmedSequence =
      std::max(Peer.m_ConfirmedSequence, Message.m_Sequence);
  std::map<std::uint64_t, Millis>::iterator Sent =
      State.m_SequenceSentAt.find(Message.m_Sequence);
  if (Sent != State.m_SequenceSentAt.end() &&
      (!Peer.m_ConfirmedAt || *Peer.m_ConfirmedAt < Sent->second))
    Peer.m_ConfirmedAt = Sent->second;
}

void recordMatch(Replica &State, PeerProgress &Peer,
                 const ReplicaMessage &Message) {
  LogIndex Last = lastIndex(State);
  if (Message.m_Granted) {
    Peer.m_Match = std::max(Peer.m_Match, std::min(Message.m_Match, Last));
    Peer.m_Next = std::max(Peer.m_Next, LogIndex(Peer.m_Match.m_Value + 1));
    if (Peer.m_Sending && Peer.m_Match >= Peer.m_Sending->m_LastIndex)
      Peer.m_Sending.reset();
    return;
  }
  if (Peer.m_Sending)
    return;
  // The hint of a delayed answer may lie below what is already acknowledged.
  LogIndex Hint = std::max(Message.m_Match, Peer.m_Match);
  Peer.m_Next = std::min(Peer.m_Next, LogIndex(Hint.m_Value + 1));
}

} // namespace

bool awaitsOwnVote(const Replica &State) {
  return State.m_Role == ReplicaRole::Leader &&
         State.m_Set.m_Voters.size() == 1 &&
         isVoter(State.m_Set, State.m_Self) &&
         State.m_Synced < State.m_TermStart;
}

void becomeLeader(Replica &State, ReplicaActions &Actions, Millis Now) {
  State.m_Role = ReplicaRole::Leader;
  State.m_PreVoting = false;
  State.m_Votes.clear();
  State.m_Leader = State.m_Self;
  State.m_KnewLeader = true;
  State.m_LedSince = Now;
  State.m_TermStart = LogIndex(lastIndex(State).m_Value + 1);
  State.m_Peers.clear();
  State.m_SequenceSentAt.clear();
  useNewestSet(State, Now);
  LogEntry Noop;
  Noop.m_Index = State.m_TermStart;
  Noop.m_Term = State.m_Hard.m_Term;
  appendEntry(State, Actions, std::move(Noop), Now);
  Actions.m_BecameLeader = !awaitsOwnVote(State);
  sendHeartbeats(State, Actions, Now);
  commitByQuorum(State, Actions, Now);
}

void checkQuorumContact(Replica &State, ReplicaActions &Actions, Millis Now) {
  std::int64_t Since = State.m_LedSince.m_Value;
  std::int64_t Contact =
      quorumValue(State, Now.m_Value, Since, [Since](const PeerProgress &Peer) {
        return Peer.m_ConfirmedAt ? Peer.m_ConfirmedAt->m_Value : Since;
      });
  if (Now.m_Value - Contact >= State.m_Options.m_ElectionMax.m_Value)
    becomeFollower(State, Actions, State.m_Hard.m_Term, KeeperId(), Now);
}

void sendEntries(Replica &State, ReplicaActions &Actions, Millis Now) {
  if (awaitsOwnVote(State))
    return;
  for (std::pair<const KeeperId, PeerProgress> &Peer : State.m_Peers)
    sendEntriesTo(State, Actions, Peer.first, Peer.second, Now);
}

void sendHeartbeats(Replica &State, ReplicaActions &Actions, Millis Now) {
  State.m_NextHeartbeat = Now + State.m_Options.m_HeartbeatInterval;
  startSequence(State, Now);
  if (awaitsOwnVote(State))
    return;
  for (std::pair<const KeeperId, PeerProgress> &Entry : State.m_Peers) {
    PeerProgress &Peer = Entry.second;
    bool Repeat = Peer.m_Sending && Now - Peer.m_SnapshotSentAt >=
                                        State.m_Options.m_SnapshotResend;
    if (Peer.m_Regressed || (Peer.m_Sending && !Repeat))
      Actions.m_Send.push_back(makeLeaderMessage(
          State, ReplicaMessage::Kind::Confirm, Entry.first, Peer));
    else if (Repeat || Peer.m_Next <= State.m_BaseIndex)
      sendSnapshot(State, Actions, Entry.first, Peer, Now);
    else
      sendAppend(State, Actions, Entry.first, Peer);
  }
}

void sendConfirms(Replica &State, ReplicaActions &Actions, Millis Now) {
  startSequence(State, Now);
  if (awaitsOwnVote(State))
    return;
  for (const std::pair<const KeeperId, PeerProgress> &Peer : State.m_Peers)
    if (isVoter(State.m_Set, Peer.first))
      Actions.m_Send.push_back(makeLeaderMessage(
          State, ReplicaMessage::Kind::Confirm, Peer.first, Peer.second));
}

void receiveAnswer(Replica &State, ReplicaActions &Actions,
                   const ReplicaMessage &Message, Millis Now) {
  if (Message.m_Term > State.m_Hard.m_Term) {
    becomeFollower(State, Actions, Message.m_Term, KeeperId(), Now);
    return;
  }
  std::map<KeeperId, PeerProgress>::iterator Found =
      State.m_Peers.find(Message.m_From);
  if (State.m_Role != ReplicaRole::Leader ||
      Message.m_Term != State.m_Hard.m_Term || Found == State.m_Peers.end())
    return;
  PeerProgress &Peer = Found->second;
  if (Message.m_Regressed && !Peer.m_Regressed) {
    Peer.m_Regressed = true;
    Actions.m_RegressedKeepers.push_back(Message.m_From);
  }
  if (Peer.m_Regressed || Message.m_Sequence > State.m_ConfirmSequence)
    return;
  recordAnswer(State, Peer, Message, Now);
  if (Message.m_Kind == ReplicaMessage::Kind::AppendAnswer) {
    recordMatch(State, Peer, Message);
    sendEntriesTo(State, Actions, Message.m_From, Peer, Now);
  } else if (Message.m_Kind == ReplicaMessage::Kind::SnapshotAnswer) {
    continueSnapshot(State, Actions, Message, Peer, Now);
  }
  commitByQuorum(State, Actions, Now);
}

void commitByQuorum(Replica &State, ReplicaActions &Actions, Millis Now) {
  // The leader's own copy counts only as far as it is synced.
  std::int64_t Quorum =
      quorumValue(State, static_cast<std::int64_t>(State.m_Synced.m_Value), 0,
                  [](const PeerProgress &Peer) {
                    return static_cast<std::int64_t>(Peer.m_Match.m_Value);
                  });
  LogIndex Reached(static_cast<std::uint64_t>(Quorum));
#ifdef VANILLAFERRY_BREAK_QUORUM
  Reached = lastIndex(State);
#endif
  // Entries of earlier terms are committed only along with one of the own term
  // (Ongaro and Ousterhout 2014, section 5.4.2).
  if (Reached > State.m_Commit &&
      termAt(State, Reached) == std::optional<Term>(State.m_Hard.m_Term))
    advanceCommitTo(State, Actions, Reached);
  completeReads(State, Actions, Now);
  if (State.m_SetIndex <= State.m_Commit && !isVoter(State.m_Set, State.m_Self))
    becomeFollower(State, Actions, State.m_Hard.m_Term, KeeperId(), Now);
}

void completeReads(Replica &State, ReplicaActions &Actions, Millis Now) {
  std::int64_t Confirmed =
      quorumValue(State, static_cast<std::int64_t>(State.m_ConfirmSequence), 0,
                  [](const PeerProgress &Peer) {
                    return static_cast<std::int64_t>(Peer.m_ConfirmedSequence);
                  });
  while (!State.m_Reads.empty() &&
         static_cast<std::int64_t>(State.m_Reads.front().m_Sequence) <=
             Confirmed &&
         State.m_Reads.front().m_Commit <= State.m_Applied) {
    Actions.m_ConfirmedReads.push_back(State.m_Reads.front().m_Token);
    State.m_Reads.pop_front();
  }
  if (!State.m_Reads.empty() &&
      State.m_Reads.front().m_Sequence > State.m_ConfirmSequence) {
    sendConfirms(State, Actions, Now);
    // A sole voter confirms itself.
    if (quorumSize(State.m_Set) == 1)
      completeReads(State, Actions, Now);
  }
}

} // namespace vanillaferry::internal
