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

void takeEvent(PrefixTable &Table, const CacheEvent &Event) {
  switch (Event.m_Kind) {
  case CacheEventKind::Stored:
    // A late event must not make the chat look shorter than the owner knows.
    if (Event.m_Tokens > heldTokens(Table, Event.m_Chat))
      rememberChat(Table, Event.m_Chat, Event.m_Tokens);
    return;
  case CacheEventKind::Evicted:
    forgetChat(Table, Event.m_Chat);
    return;
  case CacheEventKind::Cleared:
    clearPrefixes(Table);
    return;
  }
}

} // namespace

Tokens heldTokens(const PrefixTable &Table, std::uint64_t Chat) {
  auto It = Table.m_ByChat.find(Chat);
  return It == Table.m_ByChat.end() ? Tokens() : It->second->m_Tokens;
}

void rememberChat(PrefixTable &Table, std::uint64_t Chat, Tokens Size) {
  if (Table.m_Capacity.m_Value <= 0)
    return;
  auto It = Table.m_ByChat.find(Chat);
  if (It != Table.m_ByChat.end()) {
    Table.m_Used = Table.m_Used - It->second->m_Tokens + Size;
    It->second->m_Tokens = Size;
    Table.m_Recent.splice(Table.m_Recent.begin(), Table.m_Recent, It->second);
  } else {
    Table.m_Recent.push_front(PrefixTable::Entry{Chat, Size});
    Table.m_ByChat[Chat] = Table.m_Recent.begin();
    Table.m_Used = Table.m_Used + Size;
  }
  dropBeyondCapacity(Table);
}

void forgetChat(PrefixTable &Table, std::uint64_t Chat) {
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

std::vector<std::uint64_t> rememberedChats(const PrefixTable &Table,
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
