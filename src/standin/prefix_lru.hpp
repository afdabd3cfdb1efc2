#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaferry::standin {

/// A change of an emulated engine's prefix cache.
struct CacheEvent {
  std::uint64_t m_Sequence = 0;
  bool m_Stored = true;
  std::uint64_t m_Prefix = 0;
  std::uint32_t m_Tokens = 0;
  /// X-Cache-Key of the request that stored it.
  std::string m_Key;
  /// Microseconds.
  std::int64_t m_At = 0;
};

/// One stored prefix.
struct StoredPrefix {
  std::uint64_t m_Prefix = 0;
  std::uint32_t m_Tokens = 0;
  std::string m_Key;
};

/// Prefix cache of an emulated engine: bounded by tokens, evicts the least
/// recently used prefix.
class PrefixLru {
public:
  explicit PrefixLru(std::uint64_t CapacityTokens);

  /// Tokens of the longest stored prefix.
  std::uint32_t lookup(const std::vector<std::uint64_t> &Hashes);
  /// Stores the last of these prefixes, each of which extends the one before,
  /// and records an event. The shorter ones are removed, because their tokens
  /// are part of it and count only once. Evictions record an event each.
  void store(const std::vector<std::uint64_t> &Hashes, std::uint32_t Tokens,
             const std::string &Key);
  /// The most recently used prefix with this key; null when there is none.
  const StoredPrefix *find(const std::string &Key) const;
  bool contains(std::uint64_t Prefix) const;
  void clear();
  const std::vector<CacheEvent> &events() const { return m_Events; }
  std::uint64_t lastSequence() const { return m_NextSequence - 1; }
  /// Drops every Nth event, which leaves a gap in the sequence; 0 for none.
  void setEventLoss(std::uint32_t EveryNth) { m_DropEvery = EveryNth; }

private:
  void erase(std::uint64_t Prefix);
  void evict();
  void record(bool IsStore, const StoredPrefix &Item);

  std::uint64_t m_Capacity;
  std::uint64_t m_Used = 0;
  std::uint64_t m_NextSequence = 1;
  std::uint32_t m_DropEvery = 0;
  std::list<StoredPrefix> m_Order;
  std::unordered_map<std::uint64_t, std::list<StoredPrefix>::iterator> m_Index;
  std::vector<CacheEvent> m_Events;
};

} // namespace vanillaferry::standin
