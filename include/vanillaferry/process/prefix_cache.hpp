#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaferry {

/// Memory per recorded chat, for capacity planning: list node, hash node,
/// bucket and allocator overhead (docs/placement.md).
constexpr Bytes PrefixEntryBytes{128};

/// The owner's estimate of the content of one target's prefix cache: an LRU
/// list bounded by the cache's size in tokens. Chats are identified by their
/// hash; a collision only makes the estimate wrong.
struct PrefixTable {
  struct Entry {
    std::uint64_t m_Chat = 0;
    Tokens m_Tokens;
    /// Poll round in which the chat last ran here; 0 when it is only known from
    /// cache events.
    std::uint64_t m_Round = 0;
  };
  Tokens m_Capacity;
  Tokens m_Used;
  /// Most recently used first.
  std::list<Entry> m_Recent;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_ByChat;
  /// Number of the last cache event applied.
  std::uint64_t m_LastEvent = 0;
  /// Number of the current poll of cache events.
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

/// One event of a target's cache. Numbers increase by one; a skipped number
/// means lost events.
struct CacheEvent {
  std::uint64_t m_Number = 0;
  CacheEventKind m_Kind = CacheEventKind::Stored;
  std::uint64_t m_Chat = 0;
  Tokens m_Tokens;
};

/// Estimated number of tokens of the chat's prefix in the target's cache.
Tokens heldTokens(const PrefixTable &Table, std::uint64_t Chat);

/// Records that the chat ran or runs at the target with this many tokens; the
/// least recently used chats beyond the capacity are dropped.
void recordChat(PrefixTable &Table, std::uint64_t Chat, Tokens Size);

void removeChat(PrefixTable &Table, std::uint64_t Chat);

/// Empties the table, after a restart of the target.
void clearPrefixes(PrefixTable &Table);

/// Applies cache events in order. Returns false when there was a gap; the table
/// then stays as the router's own estimate. Events whose numbers were already
/// applied are ignored.
bool takeCacheEvents(PrefixTable &Table, const std::vector<CacheEvent> &Events);

/// One answer to GET /cache/events.
struct CacheAnswer {
  std::string m_Instance;
  std::vector<CacheEvent> m_Events;
  /// Number of the last event that the answer covers.
  std::uint64_t m_Next = 0;
  /// Events in the covered range that the target has already discarded.
  std::uint64_t m_Lost = 0;
};

/// What an answer changed.
struct CacheCorrection {
  /// Chats dropped because the target evicted them.
  std::uint64_t m_Evicted = 0;
  /// Chats dropped because missing events may have evicted them.
  std::uint64_t m_Doubtful = 0;
  /// The target restarted; its events must be polled from the start.
  bool m_NewInstance = false;
};

/// Begins a poll round; returns the event number after which to request events.
std::uint64_t beginCachePoll(PrefixTable &Table);

/// Applies an answer of the current poll round. Events may be late, so an
/// eviction is ignored for a chat that ran here in this round or the previous
/// one. Each missing event may have been the eviction of one chat, so the table
/// drops as many of its oldest chats, again except those that ran recently.
/// After a restart of the target it keeps only the chats that ran recently.
CacheCorrection takeCacheAnswer(PrefixTable &Table, const CacheAnswer &Answer);

/// Sets the instance after a restart that a load report showed.
void startInstance(PrefixTable &Table, const std::string &Instance);

/// The table's chats, most recently used first, for export from a leaving
/// target.
std::vector<std::uint64_t> recentChats(const PrefixTable &Table,
                                       std::size_t Limit);

} // namespace vanillaferry
