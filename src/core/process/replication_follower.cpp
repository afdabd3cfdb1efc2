#include "process/internal/replica.hpp"

#include <algorithm>
#include <utility>

namespace vanillaferry::internal {

namespace {

void sendAnswer(ReplicaActions &Actions, ReplicaMessage Answer) {
  // A new term must be synced before anything is answered in it.
  if (Actions.m_PersistHard)
    Actions.m_SendAfterSync.push_back(std::move(Answer));
  else
    Actions.m_Send.push_back(std::move(Answer));
}

void sendConfirmAnswer(const Replica &State, ReplicaActions &Actions,
                       const ReplicaMessage &Message) {
  ReplicaMessage Answer =
      makeMessage(State, ReplicaMessage::Kind::ConfirmAnswer, Message.m_From);
  Answer.m_Granted = Message.m_Term == State.m_Hard.m_Term;
  Answer.m_Sequence = Message.m_Sequence;
  Answer.m_Regressed = !State.m_VotingAllowed;
  sendAnswer(Actions, std::move(Answer));
}

/// Entries follow each other from PreviousIndex on, in terms up to the
/// sender's, and keeper sets can be read.
bool isWellFormed(const ReplicaMessage &Message) {
  std::uint64_t Index = Message.m_PreviousIndex.m_Value;
  Term Least = Message.m_PreviousTerm;
  for (const LogEntry &Entry : Message.m_Entries) {
    if (Entry.m_Index.m_Value != ++Index || Entry.m_Term < Least ||
        Entry.m_Term > Message.m_Term)
      return false;
    if (Entry.m_Kind == EntryKind::KeeperSet && !decodeKeeperSet(Entry.m_Data))
      return false;
    Least = Entry.m_Term;
  }
  return true;
}

/// Last index that can still equal the leader's log: the one before the term
/// that the leader does not have at PreviousIndex.
LogIndex conflictHint(const Replica &State, const ReplicaMessage &Message) {
  LogIndex Last = lastIndex(State);
  if (Message.m_PreviousIndex > Last)
    return Last;
  std::optional<Term> Conflicting = termAt(State, Message.m_PreviousIndex);
  LogIndex Hint = Message.m_PreviousIndex;
  while (Hint > State.m_Commit && termAt(State, Hint) == Conflicting)
    Hint = LogIndex(Hint.m_Value - 1);
  return Hint;
}

void storeEntries(Replica &State, ReplicaActions &Actions,
                  ReplicaMessage &Message, Millis Now) {
  for (LogEntry &Entry : Message.m_Entries) {
    // Entries up to the base are committed and therefore equal to the leader's.
    if (Entry.m_Index <= State.m_BaseIndex)
      continue;
    std::optional<Term> Own = termAt(State, Entry.m_Index);
    if (Own && *Own == Entry.m_Term)
      continue;
    if (Own) {
      if (Entry.m_Index <= State.m_Commit) {
        Actions.m_BrokenInvariant =
            "the leader's log conflicts with the committed entry " +
            std::to_string(Entry.m_Index.m_Value);
        return;
      }
      truncateFrom(State, Actions, Entry.m_Index, Now);
    }
    appendEntry(State, Actions, std::move(Entry), Now);
  }
}

void receiveAppend(Replica &State, ReplicaActions &Actions,
                   ReplicaMessage &Message, Millis Now) {
  if (!isWellFormed(Message))
    return;
  LogIndex Previous = Message.m_PreviousIndex;
  bool Matches =
      Previous < State.m_BaseIndex ||
      termAt(State, Previous) == std::optional<Term>(Message.m_PreviousTerm);
  if (!Matches) {
    ReplicaMessage Answer = appendAnswer(State);
    Answer.m_Granted = false;
    Answer.m_Match = conflictHint(State, Message);
    sendAnswer(Actions, std::move(Answer));
    return;
  }
  std::uint64_t Matched = Previous.m_Value + Message.m_Entries.size();
  storeEntries(State, Actions, Message, Now);
  if (Actions.m_BrokenInvariant)
    return;
  State.m_LeaderMatch = std::max(State.m_LeaderMatch, LogIndex(Matched));
  advanceCommitTo(State, Actions,
                  std::min(Message.m_Commit, State.m_LeaderMatch));
  // New entries are answered once they are synced.
  if (Actions.m_Append.empty())
    sendAnswer(Actions, appendAnswer(State));
}

void installSnapshot(Replica &State, ReplicaActions &Actions, Snapshot Taken,
                     Millis Now) {
  LogIndex Kept = std::min(State.m_Synced, State.m_Commit);
  State.m_Synced = Kept;
  for (PendingSync &Pending : State.m_PendingSyncs)
    Pending.m_Valid = std::min(Pending.m_Valid, Kept);
  State.m_Log.clear();
  State.m_BaseIndex = State.m_SnapshotIndex = Taken.m_LastIndex;
  State.m_BaseTerm = State.m_SnapshotTerm = Taken.m_LastTerm;
  State.m_Commit = State.m_Applied = Taken.m_LastIndex;
  State.m_SetHistory.clear();
  State.m_SetHistory[Taken.m_LastIndex] = Taken.m_Set;
  useNewestSet(State, Now);
  State.m_LeaderMatch = std::max(State.m_LeaderMatch, Taken.m_LastIndex);
  State.m_Receiving.reset();
  Actions.m_InstallSnapshot = Taken;
  State.m_Snapshot = std::make_shared<const Snapshot>(std::move(Taken));
}

/// Adds a chunk; true when the snapshot is complete in m_Receiving.
bool collectChunk(Replica &State, ReplicaActions &Actions,
                  ReplicaMessage &Message) {
  Snapshot &Chunk = *Message.m_Snapshot;
  std::optional<Snapshot> &Partial = State.m_Receiving;
  bool Known = Partial && Partial->m_LastIndex == Chunk.m_LastIndex &&
               Partial->m_LastTerm == Chunk.m_LastTerm;
  std::uint64_t Expected = Known ? Partial->m_Data.size() : 0;
  if (Message.m_Offset == Expected) {
    if (Known)
      Partial->m_Data += Chunk.m_Data;
    else
      Partial = std::move(Chunk);
    Expected = Partial->m_Data.size();
    if (Expected == Message.m_SnapshotSize)
      return true;
  }
  ReplicaMessage Answer =
      makeMessage(State, ReplicaMessage::Kind::SnapshotAnswer, Message.m_From);
  Answer.m_Granted = true;
  Answer.m_Match = Message.m_Snapshot->m_LastIndex;
  Answer.m_Offset = Expected;
  Answer.m_Sequence = State.m_LeaderSequence;
  Answer.m_Regressed = !State.m_VotingAllowed;
  sendAnswer(Actions, std::move(Answer));
  return false;
}

void receiveSnapshot(Replica &State, ReplicaActions &Actions,
                     ReplicaMessage &Message, Millis Now) {
  if (!Message.m_Snapshot ||
      Message.m_Offset + Message.m_Snapshot->m_Data.size() >
          Message.m_SnapshotSize)
    return;
  LogIndex Last = Message.m_Snapshot->m_LastIndex;
  Term LastTerm = Message.m_Snapshot->m_LastTerm;
  if (Last > State.m_Commit &&
      termAt(State, Last) != std::optional<Term>(LastTerm)) {
    if (collectChunk(State, Actions, Message))
      installSnapshot(State, Actions, std::move(*State.m_Receiving), Now);
    return;
  }
  // This log already contains the snapshot; entries after it may have been
  // acknowledged and must be kept.
  State.m_LeaderMatch = std::max(State.m_LeaderMatch, Last);
  advanceCommitTo(State, Actions, Last);
  sendAnswer(Actions, appendAnswer(State));
}

} // namespace

ReplicaMessage appendAnswer(const Replica &State) {
  ReplicaMessage Answer =
      makeMessage(State, ReplicaMessage::Kind::AppendAnswer, State.m_Leader);
  Answer.m_Granted = true;
  Answer.m_Match = std::min(State.m_LeaderMatch, State.m_Synced);
  Answer.m_Sequence = State.m_LeaderSequence;
  Answer.m_Regressed = !State.m_VotingAllowed;
  return Answer;
}

void receiveFromLeader(Replica &State, ReplicaActions &Actions,
                       ReplicaMessage &Message, Millis Now) {
  if (Message.m_Term < State.m_Hard.m_Term) {
    // Tells a leader of an older term to step down.
    sendConfirmAnswer(State, Actions, Message);
    return;
  }
  if (Message.m_Term == State.m_Hard.m_Term &&
      State.m_Role == ReplicaRole::Leader) {
    Actions.m_BrokenInvariant =
        "two keepers lead term " + std::to_string(Message.m_Term.m_Value) +
        ": " + State.m_Self.m_Value + " and " + Message.m_From.m_Value;
    return;
  }
  if (Message.m_Term > State.m_Hard.m_Term ||
      State.m_Role == ReplicaRole::Candidate ||
      State.m_Leader != Message.m_From)
    becomeFollower(State, Actions, Message.m_Term, Message.m_From, Now);
  State.m_LastLeaderContact = Now;
  State.m_KnewLeader = true;
  resetElectionDeadline(State, Now);
  State.m_LeaderSequence = std::max(State.m_LeaderSequence, Message.m_Sequence);
  if (Message.m_Acked > lastIndex(State)) {
    // This keeper acknowledged entries that its log no longer has.
    State.m_VotingAllowed = false;
    Actions.m_DiskRegressed = true;
    sendConfirmAnswer(State, Actions, Message);
    return;
  }
  if (Message.m_Kind == ReplicaMessage::Kind::Append)
    receiveAppend(State, Actions, Message, Now);
  else if (Message.m_Kind == ReplicaMessage::Kind::InstallSnapshot)
    receiveSnapshot(State, Actions, Message, Now);
  else
    sendConfirmAnswer(State, Actions, Message);
}

} // namespace vanillaferry::internal
