#include "prefix_lru.hpp"

#include <glib.h>

namespace vanillaferry::standin {

namespace {

constexpr std::size_t MaxEvents = 100000;

} // namespace

PrefixLru::PrefixLru(std::uint64_t CapacityTokens)
    : m_Capacity(CapacityTokens) {}

std::uint32_t PrefixLru::lookup(const std::vector<std::uint64_t> &Hashes) {
  for (auto Hash = Hashes.rbegin(); Hash != Hashes.rend(); ++Hash) {
    auto Found = m_Index.find(*Hash);
    if (Found == m_Index.end())
      continue;
    m_Order.splice(m_Order.begin(), m_Order, Found->second);
    return Found->second->m_Tokens;
  }
  return 0;
}

void PrefixLru::store(const std::vector<std::uint64_t> &Hashes,
                      std::uint32_t Tokens, const std::string &Key) {
  std::uint64_t Prefix = Hashes.back();
  auto Found = m_Index.find(Prefix);
  if (Found != m_Index.end()) {
    m_Order.splice(m_Order.begin(), m_Order, Found->second);
    return;
  }
  for (std::uint64_t Shorter : Hashes)
    erase(Shorter);
  m_Order.push_front({Prefix, Tokens, Key});
  m_Index[Prefix] = m_Order.begin();
  m_Used += Tokens;
  record(true, m_Order.front());
  evict();
}

const StoredPrefix *PrefixLru::find(const std::string &Key) const {
  for (const StoredPrefix &One : m_Order)
    if (One.m_Key == Key)
      return &One;
  return nullptr;
}

bool PrefixLru::contains(std::uint64_t Prefix) const {
  return m_Index.count(Prefix) != 0;
}

void PrefixLru::clear() {
  m_Order.clear();
  m_Index.clear();
  m_Used = 0;
}

void PrefixLru::erase(std::uint64_t Prefix) {
  auto Found = m_Index.find(Prefix);
  if (Found == m_Index.end())
    return;
  m_Used -= Found->second->m_Tokens;
  m_Order.erase(Found->second);
  m_Index.erase(Found);
}

void PrefixLru::evict() {
  while (m_Used > m_Capacity && m_Order.size() > 1) {
    StoredPrefix Oldest = m_Order.back();
    m_Order.pop_back();
    m_Index.erase(Oldest.m_Prefix);
    m_Used -= Oldest.m_Tokens;
    record(false, Oldest);
  }
}

void PrefixLru::record(bool IsStore, const StoredPrefix &Item) {
  if (m_Events.size() >= MaxEvents)
    m_Events.erase(m_Events.begin(),
                   m_Events.begin() + static_cast<long>(MaxEvents / 2));
  std::uint64_t Sequence = m_NextSequence++;
  if (m_DropEvery != 0 && Sequence % m_DropEvery == 0)
    return;
  m_Events.push_back({Sequence, IsStore, Item.m_Prefix, Item.m_Tokens,
                      Item.m_Key, g_get_monotonic_time()});
}

} // namespace vanillaferry::standin
