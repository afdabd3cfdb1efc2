#include "vanillaferry/request/relay_choice.hpp"

#include <tuple>
#include <xxhash.h>

namespace vanillaferry {

namespace {

constexpr Millis RelayPause{1000};

/// Smaller is better: not paused, then few requests, then at random.
using RelayRank = std::tuple<bool, std::uint32_t, std::uint64_t>;

RelayRank rankOf(const Relays &Known, const std::string &Address,
                 std::uint64_t Random, Millis Now) {
  std::map<std::string, RelayState>::const_iterator Found =
      Known.m_States.find(Address);
  RelayState State =
      Found == Known.m_States.end() ? RelayState() : Found->second;
  return {State.m_PausedUntil > Now, State.m_Running,
          XXH3_64bits_withSeed(Address.data(), Address.size(), Random)};
}

void dropIfIdle(Relays &Known, const std::string &Address, Millis Now) {
  std::map<std::string, RelayState>::iterator Found =
      Known.m_States.find(Address);
  if (Found != Known.m_States.end() && Found->second.m_Running == 0 &&
      Found->second.m_PausedUntil <= Now)
    Known.m_States.erase(Found);
}

} // namespace

void applyRelayOffers(Relays &Known, const std::vector<RelayOffer> &Offers) {
  for (const RelayOffer &Each : Offers)
    Known.m_ByService[Each.m_Service].clear();
  for (const RelayOffer &Each : Offers)
    if (!Each.m_Address.empty())
      Known.m_ByService[Each.m_Service].push_back(Each.m_Address);
}

std::optional<std::string> chooseRelay(const Relays &Known,
                                       const PoolId &Service,
                                       const std::set<std::string> &Excluded,
                                       std::uint64_t Random, Millis Now) {
  std::map<PoolId, std::vector<std::string>>::const_iterator Offered =
      Known.m_ByService.find(Service);
  if (Offered == Known.m_ByService.end())
    return std::nullopt;
  std::optional<std::string> Best;
  RelayRank BestRank;
  for (const std::string &Address : Offered->second) {
    if (Excluded.count(Address) != 0)
      continue;
    RelayRank Rank = rankOf(Known, Address, Random, Now);
    if (Best && BestRank <= Rank)
      continue;
    Best = Address;
    BestRank = Rank;
  }
  return Best;
}

void noteRelayStarted(Relays &Known, const std::string &Address) {
  ++Known.m_States[Address].m_Running;
}

void noteRelayEnded(Relays &Known, const std::string &Address, Millis Now) {
  RelayState &State = Known.m_States[Address];
  if (State.m_Running > 0)
    --State.m_Running;
  dropIfIdle(Known, Address, Now);
}

void pauseRelay(Relays &Known, const std::string &Address, Millis Now) {
  Known.m_States[Address].m_PausedUntil = Now + RelayPause;
}

} // namespace vanillaferry
