#include "prefix_lru.hpp"

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

void PrefixLru::store(std::uint64_t Prefix, std::uint32_t Tokens) {
  auto Found = m_Index.find(Prefix);
  if (Found != m_Index.end()) {
    m_Order.splice(m_Order.begin(), m_Order, Found->second);
    return;
  }
  m_Order.push_front({Prefix, Tokens});
  m_Index[Prefix] = m_Order.begin();
  m_Used += Tokens;
  record(true, m_Order.front());
  evict();
}

bool PrefixLru::contains(std::uint64_t Prefix) const {
  return m_Index.count(Prefix) != 0;
}

void PrefixLru::clear() {
  m_Order.clear();
  m_Index.clear();
  m_Used = 0;
}

void PrefixLru::evict() {
  while (m_Used > m_Capacity && m_Order.size() > 1) {
    Stored Oldest = m_Order.back();
    m_Order.pop_back();
    m_Index.erase(Oldest.m_Prefix);
    m_Used -= Oldest.m_Tokens;
    record(false, Oldest);
  }
}

void PrefixLru::record(bool IsStore, const Stored &Item) {
  if (m_Events.size() >= MaxEvents)
    m_Events.erase(m_Events.begin(),
                   m_Events.begin() + static_cast<long>(MaxEvents / 2));
  m_Events.push_back({m_NextSequence++, IsStore, Item.m_Prefix, Item.m_Tokens});
}

} // namespace vanillaferry::standin
