#include "vanillaferry/process/prefix_cache.hpp"

namespace vanillaferry {

namespace {

void dropBeyondCapacity(PrefixTable &Table) {
  // The newest chat stays even when it is larger than the whole cache.
  while (Table.m_Used > Table.m_Capacity && Table.m_Recent.size() > 1) {
    const PrefixTable::Entry &Oldest = Table.m_Recent.back();
    Table.m_Used = Table.m_Used - Oldest.m_Tokens;
    Table.m_ByChat.erase(Oldest.m_Chat);
    Table.m_Recent.pop_back();
  }
}

/// Applies a stored event. It does not count as a run, which would protect the
/// chat from a later eviction.
void noteStored(PrefixTable &Table, const CacheEvent &Event) {
  // A late event must not make the chat shorter than the owner knows it to be.
  if (Event.m_Tokens <= heldTokens(Table, Event.m_Chat))
    return;
  auto Known = Table.m_ByChat.find(Event.m_Chat);
  std::uint64_t Round =
      Known == Table.m_ByChat.end() ? 0 : Known->second->m_Round;
  recordChat(Table, Event.m_Chat, Event.m_Tokens);
  auto Stored = Table.m_ByChat.find(Event.m_Chat);
  if (Stored != Table.m_ByChat.end())
    Stored->second->m_Round = Round;
}

/// True when the chat ran here so recently that a late event may be older than
/// the run.
bool ranRecently(const PrefixTable &Table, const PrefixTable::Entry &Entry) {
  return Entry.m_Round != 0 && Entry.m_Round + 1 >= Table.m_Round;
}

/// Drops up to Count chats that did not run recently, the oldest first.
std::uint64_t dropOldest(PrefixTable &Table, std::uint64_t Count) {
  std::uint64_t Dropped = 0;
  for (auto It = Table.m_Recent.end();
       It != Table.m_Recent.begin() && Dropped < Count;) {
    --It;
    if (ranRecently(Table, *It))
      continue;
    Table.m_Used = Table.m_Used - It->m_Tokens;
    Table.m_ByChat.erase(It->m_Chat);
    It = Table.m_Recent.erase(It);
    ++Dropped;
  }
  return Dropped;
}

void takeEvent(PrefixTable &Table, const CacheEvent &Event) {
  switch (Event.m_Kind) {
  case CacheEventKind::Stored:
    noteStored(Table, Event);
    return;
  case CacheEventKind::Evicted:
    removeChat(Table, Event.m_Chat);
    return;
  case CacheEventKind::Cleared:
    clearPrefixes(Table);
    return;
  }
}

/// Applies an event of an answer; true when it evicted a chat from the table.
bool takeAnswerEvent(PrefixTable &Table, const CacheEvent &Event) {
  auto Known = Table.m_ByChat.find(Event.m_Chat);
  bool Held = Known != Table.m_ByChat.end();
  if (Event.m_Kind != CacheEventKind::Evicted) {
    takeEvent(Table, Event);
    return false;
  }
  if (!Held || ranRecently(Table, *Known->second))
    return false;
  removeChat(Table, Event.m_Chat);
  return true;
}

} // namespace

Tokens heldTokens(const PrefixTable &Table, std::uint64_t Chat) {
  auto It = Table.m_ByChat.find(Chat);
  return It == Table.m_ByChat.end() ? Tokens() : It->second->m_Tokens;
}

void recordChat(PrefixTable &Table, std::uint64_t Chat, Tokens Size) {
  if (Table.m_Capacity.m_Value <= 0)
    return;
  auto It = Table.m_ByChat.find(Chat);
  if (It != Table.m_ByChat.end()) {
    Table.m_Used = Table.m_Used - It->second->m_Tokens + Size;
    It->second->m_Tokens = Size;
    It->second->m_Round = Table.m_Round;
    Table.m_Recent.splice(Table.m_Recent.begin(), Table.m_Recent, It->second);
  } else {
    Table.m_Recent.push_front(PrefixTable::Entry{Chat, Size, Table.m_Round});
    Table.m_ByChat[Chat] = Table.m_Recent.begin();
    Table.m_Used = Table.m_Used + Size;
  }
  dropBeyondCapacity(Table);
}

void removeChat(PrefixTable &Table, std::uint64_t Chat) {
  auto It = Table.m_ByChat.find(Chat);
  if (It == Table.m_ByChat.end())
    return;
  Table.m_Used = Table.m_Used - It->second->m_Tokens;
  Table.m_Recent.erase(It->second);
  Table.m_ByChat.erase(It);
}

void clearPrefixes(PrefixTable &Table) {
  Table.m_Recent.clear();
  Table.m_ByChat.clear();
  Table.m_Used = Tokens();
}

bool takeCacheEvents(PrefixTable &Table,
                     const std::vector<CacheEvent> &Events) {
  bool Complete = true;
  for (const CacheEvent &Event : Events) {
    if (Event.m_Number <= Table.m_LastEvent)
      continue;
    if (Event.m_Number != Table.m_LastEvent + 1 && Table.m_LastEvent != 0)
      Complete = false;
    Table.m_LastEvent = Event.m_Number;
    takeEvent(Table, Event);
  }
  return Complete;
}

std::uint64_t beginCachePoll(PrefixTable &Table) {
  ++Table.m_Round;
  return Table.m_LastEvent;
}

CacheCorrection takeCacheAnswer(PrefixTable &Table, const CacheAnswer &Answer) {
  CacheCorrection Done;
  if (!Table.m_Instance.empty() && Table.m_Instance != Answer.m_Instance) {
    // The requested event numbers belong to the former instance.
    Done.m_NewInstance = true;
    Done.m_Doubtful = dropOldest(Table, Table.m_Recent.size());
    startInstance(Table, Answer.m_Instance);
    return Done;
  }
  bool First = Table.m_LastEvent == 0;
  Table.m_Instance = Answer.m_Instance;
  for (const CacheEvent &Event : Answer.m_Events)
    if (Event.m_Number > Table.m_LastEvent && takeAnswerEvent(Table, Event))
      ++Done.m_Evicted;
  if (!First)
    Done.m_Doubtful = dropOldest(Table, Answer.m_Lost);
  if (Answer.m_Next > Table.m_LastEvent)
    Table.m_LastEvent = Answer.m_Next;
  return Done;
}

void startInstance(PrefixTable &Table, const std::string &Instance) {
  Table.m_Instance = Instance;
  Table.m_LastEvent = 0;
}

std::vector<std::uint64_t> recentChats(const PrefixTable &Table,
                                       std::size_t Limit) {
  std::vector<std::uint64_t> Chats;
  for (const PrefixTable::Entry &Entry : Table.m_Recent) {
    if (Chats.size() >= Limit)
      break;
    Chats.push_back(Entry.m_Chat);
  }
  return Chats;
}

} // namespace vanillaferry
