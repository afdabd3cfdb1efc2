#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace vanillaferry::standin {

/// A change of an emulated engine's prefix cache.
struct CacheEvent {
  std::uint64_t m_Sequence = 0;
  bool m_Stored = true;
  std::uint64_t m_Prefix = 0;
  std::uint32_t m_Tokens = 0;
};

/// Prefix cache of an emulated engine: least recently used, bounded by tokens.
class PrefixLru {
public:
  explicit PrefixLru(std::uint64_t CapacityTokens);

  /// Tokens of the longest stored prefix.
  std::uint32_t lookup(const std::vector<std::uint64_t> &Hashes);
  /// Stores a prefix; each step records an event.
  void store(std::uint64_t Prefix, std::uint32_t Tokens);
  bool contains(std::uint64_t Prefix) const;
  void clear();
  const std::vector<CacheEvent> &events() const { return m_Events; }

private:
  struct Stored {
    std::uint64_t m_Prefix;
    std::uint32_t m_Tokens;
  };

  void evict();
  void record(bool IsStore, const Stored &Item);

  std::uint64_t m_Capacity;
  std::uint64_t m_Used = 0;
  std::uint64_t m_NextSequence = 1;
  std::list<Stored> m_Order;
  std::unordered_map<std::uint64_t, std::list<Stored>::iterator> m_Index;
  std::vector<CacheEvent> m_Events;
};

} // namespace vanillaferry::standin
