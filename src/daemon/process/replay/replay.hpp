#pragma once

#include "process/replay/fleet.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace vanillaferry {

enum class ReplayPolicy : std::uint8_t {
  Vanillaferry,
  /// Uniformly random over the targets in service.
  Random,
  /// Least load by reports that are up to a second old.
  LeastReported,
  /// The first rank, without a bound.
  Rendezvous,
  /// Knows every cache and load: the least loaded holder that admits, else the
  /// least loaded target.
  Oracle,
};

const char *policyName(ReplayPolicy Policy);
std::optional<ReplayPolicy> policyByName(const std::string &Name);

/// Runs one policy over a trace.
Measures replayTrace(const Trace &Recorded, ReplayPolicy Policy, double Bound,
                     const FleetOptions &Options, bool WithoutSurge);

/// Picks an engine for one of the policies other than vanillaferry; the number
/// of engines when there is none.
std::uint32_t pickEngine(World &State, ReplayPolicy Policy,
                         const std::vector<std::uint32_t> &Reported,
                         std::uint32_t Request);

/// Results of all policies as one JSON object.
nlohmann::json replayResults(const Trace &Recorded, ReplayPolicy Policy,
                             double Bound, const FleetOptions &Options);

/// Outcomes that the results miss, one sentence each.
std::vector<std::string> missedOutcomes(const nlohmann::json &Outcomes,
                                        const nlohmann::json &Results);

} // namespace vanillaferry
