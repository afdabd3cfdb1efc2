#pragma once

#include "vanillaferry/connection/message.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaferry {

/// What a gateway knows of one other gateway to which it passes requests on.
struct RelayState {
  /// Requests that run there.
  std::uint32_t m_Running = 0;
  /// It is not chosen before this time, unless all others are paused too.
  Millis m_PausedUntil;
};

/// The gateways that reach services which this one does not, as the keepers
/// last offered them.
struct Relays {
  std::map<PoolId, std::vector<std::string>> m_ByService;
  /// By address; only those in use or paused.
  std::map<std::string, RelayState> m_States;
};

/// Replaces the relays of each service for which there is an offer.
void applyRelayOffers(Relays &Known, const std::vector<RelayOffer> &Offers);

/// Address of the relay with the fewest requests of this gateway; ties are
/// broken by the random number. Absent when none is left.
std::optional<std::string> chooseRelay(const Relays &Known,
                                       const PoolId &Service,
                                       const std::set<std::string> &Excluded,
                                       std::uint64_t Random, Millis Now);

void noteRelayStarted(Relays &Known, const std::string &Address);
void noteRelayEnded(Relays &Known, const std::string &Address, Millis Now);
/// The relay could not be reached or can serve nothing at present.
void pauseRelay(Relays &Known, const std::string &Address, Millis Now);

} // namespace vanillaferry
