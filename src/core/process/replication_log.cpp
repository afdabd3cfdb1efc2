#include "process/internal/replica.hpp"

#include <algorithm>
#include <utility>

namespace vanillaferry {

LogIndex lastIndex(const Replica &State) {
  return LogIndex(State.m_BaseIndex.m_Value + State.m_Log.size());
}

namespace internal {

const LogEntry *entryAt(const Replica &State, LogIndex Index) {
  if (Index <= State.m_BaseIndex || Index > lastIndex(State))
    return nullptr;
  return &State.m_Log[Index.m_Value - State.m_BaseIndex.m_Value - 1];
}

std::optional<Term> termAt(const Replica &State, LogIndex Index) {
  if (Index == State.m_BaseIndex)
    return State.m_BaseTerm;
  const LogEntry *Entry = entryAt(State, Index);
  if (!Entry)
    return std::nullopt;
  return Entry->m_Term;
}

Term lastTerm(const Replica &State) {
  return State.m_Log.empty() ? State.m_BaseTerm : State.m_Log.back().m_Term;
}

void appendEntry(Replica &State, ReplicaActions &Actions, LogEntry Entry,
                 Millis Now) {
  bool SetChanged = false;
  if (Entry.m_Kind == EntryKind::KeeperSet)
    if (std::optional<KeeperSet> Set = decodeKeeperSet(Entry.m_Data)) {
      State.m_SetHistory[Entry.m_Index] = std::move(*Set);
      SetChanged = true;
    }
  Actions.m_Append.push_back(Entry);
  State.m_Log.push_back(std::move(Entry));
  if (SetChanged)
    useNewestSet(State, Now);
}

void expectSync(Replica &State, const ReplicaActions &Actions) {
  PendingSync Pending;
  if (!Actions.m_Append.empty()) {
    Pending.m_Index = Actions.m_Append.back().m_Index;
    Pending.m_Term = Actions.m_Append.back().m_Term;
  } else if (Actions.m_InstallSnapshot) {
    Pending.m_Index = Actions.m_InstallSnapshot->m_LastIndex;
    Pending.m_Term = Actions.m_InstallSnapshot->m_LastTerm;
  } else {
    return;
  }
  Pending.m_Valid = Pending.m_Index;
  // The caller may combine several calls into one result.
  if (!State.m_PendingSyncs.empty() &&
      State.m_PendingSyncs.back().m_Index == Pending.m_Index &&
      State.m_PendingSyncs.back().m_Term == Pending.m_Term &&
      State.m_PendingSyncs.back().m_Valid == Pending.m_Valid)
    return;
  State.m_PendingSyncs.push_back(Pending);
}

void truncateFrom(Replica &State, ReplicaActions &Actions, LogIndex From,
                  Millis Now) {
  LogIndex Kept(From.m_Value - 1);
  State.m_Log.resize(Kept.m_Value - State.m_BaseIndex.m_Value);
  State.m_Synced = std::min(State.m_Synced, Kept);
  for (PendingSync &Pending : State.m_PendingSyncs)
    Pending.m_Valid = std::min(Pending.m_Valid, Kept);
  State.m_SetHistory.erase(State.m_SetHistory.lower_bound(From),
                           State.m_SetHistory.end());
  useNewestSet(State, Now);
  Actions.m_TruncateFrom = From;
}

void advanceCommitTo(Replica &State, ReplicaActions &Actions, LogIndex Index) {
  Index = std::min(Index, lastIndex(State));
  if (Index <= State.m_Commit)
    return;
  for (std::uint64_t I = State.m_Commit.m_Value + 1; I <= Index.m_Value; ++I)
    Actions.m_Committed.push_back(*entryAt(State, LogIndex(I)));
  State.m_Commit = State.m_Applied = Index;
}

ReplicaMessage makeMessage(const Replica &State, ReplicaMessage::Kind Kind,
                           const KeeperId &To) {
  ReplicaMessage Message;
  Message.m_Kind = Kind;
  Message.m_From = State.m_Self;
  Message.m_To = To;
  Message.m_Term = State.m_Hard.m_Term;
  return Message;
}

} // namespace internal

} // namespace vanillaferry
