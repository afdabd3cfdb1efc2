#pragma once

#include "vanillaferry/connection/message.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillaferry {

/// What a gateway's last renewal says about passing requests on.
struct RelayReport {
  /// IP:PORT at which it takes requests of other gateways.
  std::string m_Address;
  std::set<PoolId> m_OutOfReach;
  bool m_Leaving = false;
  Millis m_ReportedAt;
};

/// The leading keeper's view of which gateways reach targets; memory only,
/// renewals fill it again under a new leader.
struct RelayBoard {
  std::map<NodeId, RelayReport> m_Gateways;
};

void noteRelayReport(RelayBoard &Board, const Renew &Renewal, Millis Now);

/// For each service that the gateway reports as out of reach, some gateways
/// that reach it; an offer without an address where there is none. Each gateway
/// gets others by rendezvous hashing, so that many that are cut off together
/// spread over all that are not.
std::vector<RelayOffer> offerRelays(const RelayBoard &Board,
                                    const Renew &Renewal, Millis Now);

} // namespace vanillaferry
