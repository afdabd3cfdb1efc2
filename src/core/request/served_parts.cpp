#include "vanillaferry/request/served_parts.hpp"

namespace vanillaferry {

namespace {

void startGenerationWhenDue(ServedParts &Served, Millis Now) {
  if (Now < Served.m_CurrentSince + ServedPartsLifetime)
    return;
  Served.m_Former = std::move(Served.m_Current);
  Served.m_Current.clear();
  Served.m_Counts.clear();
  Served.m_CurrentSince = Now;
}

} // namespace

void recordServed(ServedParts &Served, const std::vector<PromptPartId> &Parts,
                  const AccountId &Account, Millis Now) {
  startGenerationWhenDue(Served, Now);
  if (!Served.m_Since)
    Served.m_Since = Now;
  std::size_t &Count = Served.m_Counts[Account];
  for (const PromptPartId &Part : Parts) {
    std::unordered_map<PromptPartId, Millis>::iterator Known =
        Served.m_Current.find(Part);
    if (Known != Served.m_Current.end()) {
      Known->second = Now;
      continue;
    }
    if (Count >= MaxServedPartsOfAccount ||
        Served.m_Current.size() >= MaxServedParts)
      return;
    Served.m_Current.emplace(Part, Now);
    ++Count;
  }
}

std::optional<Millis> lastServed(const ServedParts &Served,
                                 const PromptPartId &Part) {
  for (const std::unordered_map<PromptPartId, Millis> *Parts :
       {&Served.m_Current, &Served.m_Former}) {
    std::unordered_map<PromptPartId, Millis>::const_iterator Known =
        Parts->find(Part);
    if (Known != Parts->end())
      return Known->second;
  }
  return std::nullopt;
}

} // namespace vanillaferry
