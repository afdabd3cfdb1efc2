#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaferry {

/// Memory that one remembered chat costs, for capacity planning: list node,
/// hash node, bucket and allocator overhead (docs/placement.md).
constexpr Bytes PrefixEntryBytes{128};

/// What the owner believes that one target's prefix cache holds: a least
/// recently used list bounded by the cache's size in tokens. Chats are kept by
/// their hash; a collision only costs a wrong guess.
struct PrefixTable {
  struct Entry {
    std::uint64_t m_Chat = 0;
    Tokens m_Tokens;
    /// Round in which the chat ran here last; 0 when only events told of it.
    std::uint64_t m_Round = 0;
  };
  Tokens m_Capacity;
  Tokens m_Used;
  /// Most recently used first.
  std::list<Entry> m_Recent;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_ByChat;
  /// Number of the last cache event taken.
  std::uint64_t m_LastEvent = 0;
  /// Counts the polls of cache events.
  std::uint64_t m_Round = 1;
  /// Restart identity of the target that the events belong to; empty before the
  /// first answer.
  std::string m_Instance;

  PrefixTable() = default;
  PrefixTable(PrefixTable &&) = default;
  PrefixTable &operator=(PrefixTable &&) = default;
  PrefixTable(const PrefixTable &) = delete;
  PrefixTable &operator=(const PrefixTable &) = delete;
};

enum class CacheEventKind : std::uint8_t { Stored, Evicted, Cleared };

/// One event of a target's cache; numbers rise by one, so a jump is a gap.
struct CacheEvent {
  std::uint64_t m_Number = 0;
  CacheEventKind m_Kind = CacheEventKind::Stored;
  std::uint64_t m_Chat = 0;
  Tokens m_Tokens;
};

/// Tokens of the chat's prefix that the target holds, by belief; 0 when none.
Tokens heldTokens(const PrefixTable &Table, std::uint64_t Chat);

/// Notes that the chat ran or runs at the target with this many tokens; the
/// oldest chats beyond the capacity are dropped.
void recordChat(PrefixTable &Table, std::uint64_t Chat, Tokens Size);

void removeChat(PrefixTable &Table, std::uint64_t Chat);

/// Empties the table, after a restart of the target.
void clearPrefixes(PrefixTable &Table);

/// Takes cache events in order. Returns false when there was a gap: what was
/// missed is unknown, and the table stays as the router's own estimate. Late
/// events (numbers already taken) are ignored.
bool takeCacheEvents(PrefixTable &Table, const std::vector<CacheEvent> &Events);

/// One answer to GET /cache/events.
struct CacheAnswer {
  std::string m_Instance;
  std::vector<CacheEvent> m_Events;
  /// Number of the last event that the answer covers.
  std::uint64_t m_Next = 0;
  /// Covered events that the target dropped before it could tell them.
  std::uint64_t m_Lost = 0;
};

/// What an answer changed.
struct CacheCorrection {
  /// Chats dropped because the target evicted them.
  std::uint64_t m_Evicted = 0;
  /// Chats dropped because events are missing.
  std::uint64_t m_Doubtful = 0;
  /// The target restarted; its events are to be asked for from the start.
  bool m_NewInstance = false;
};

/// Begins a round; returns the number to ask for events after.
std::uint64_t beginCachePoll(PrefixTable &Table);

/// Takes an answer to the present round. Events may be late: an eviction is not
/// believed for a chat that ran here in this round or the one before. Each
/// missing event may have been the eviction of one chat, so the table drops as
/// many of its oldest chats, again without those that ran lately. After a
/// restart it keeps only the latter.
CacheCorrection takeCacheAnswer(PrefixTable &Table, const CacheAnswer &Answer);

/// Sets the instance after a restart that a load report showed.
void startInstance(PrefixTable &Table, const std::string &Instance);

/// The table's chats, most recently used first, for export from a leaving
/// target.
std::vector<std::uint64_t> recentChats(const PrefixTable &Table,
                                       std::size_t Limit);

} // namespace vanillaferry
