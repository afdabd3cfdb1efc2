#include "vanillaferry/process/relay_board.hpp"

#include <algorithm>
#include <xxhash.h>

namespace vanillaferry {

namespace {

/// Longer than two intervals between renewals in the largest fleet; a gateway
/// that has not renewed for longer holds no lease.
constexpr Millis ReportLifetime{5000};
/// Enough that one of them serves when some end or are cut off as well.
constexpr std::size_t MaxOffers = 6;

struct RankedRelay {
  std::uint64_t m_Rank = 0;
  std::string m_Address;
};

std::vector<RankedRelay> rankRelays(const RelayBoard &Board, const NodeId &For,
                                    const PoolId &Service, Millis Now) {
  std::uint64_t Seed = XXH3_64bits(For.m_Value.data(), For.m_Value.size());
  std::vector<RankedRelay> Ranked;
  for (const std::pair<const NodeId, RelayReport> &Row : Board.m_Gateways) {
    const RelayReport &Report = Row.second;
    bool Usable = Row.first != For && !Report.m_Leaving &&
                  !Report.m_Address.empty() &&
                  Report.m_OutOfReach.count(Service) == 0 &&
                  Now <= Report.m_ReportedAt + ReportLifetime;
    const std::string &Name = Row.first.m_Value;
    if (Usable)
      Ranked.push_back({XXH3_64bits_withSeed(Name.data(), Name.size(), Seed),
                        Report.m_Address});
  }
  std::sort(Ranked.begin(), Ranked.end(),
            [](const RankedRelay &A, const RankedRelay &B) {
              return A.m_Rank > B.m_Rank;
            });
  if (Ranked.size() > MaxOffers)
    Ranked.resize(MaxOffers);
  return Ranked;
}

} // namespace

void noteRelayReport(RelayBoard &Board, const Renew &Renewal, Millis Now) {
  RelayReport &Report = Board.m_Gateways[Renewal.m_Node];
  Report.m_Address = Renewal.m_RelayAddress;
  Report.m_Leaving = Renewal.m_Leaving;
  Report.m_ReportedAt = Now;
  Report.m_OutOfReach.clear();
  for (const ServiceOutOfReach &Each : Renewal.m_OutOfReach)
    Report.m_OutOfReach.insert(Each.m_Service);
}

std::vector<RelayOffer> offerRelays(const RelayBoard &Board,
                                    const Renew &Renewal, Millis Now) {
  std::vector<RelayOffer> Offers;
  for (const ServiceOutOfReach &Each : Renewal.m_OutOfReach) {
    std::vector<RankedRelay> Ranked =
        rankRelays(Board, Renewal.m_Node, Each.m_Service, Now);
    if (Ranked.empty())
      Offers.push_back({Each.m_Service, std::string()});
    for (RankedRelay &Relay : Ranked)
      Offers.push_back({Each.m_Service, std::move(Relay.m_Address)});
  }
  return Offers;
}

} // namespace vanillaferry
