#pragma once

#include "vanillaferry/process/rollout.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace vanillaferry {

// The leader's judgement of a rollout, without clock and I/O. docs/design/
// rollouts.md derives the figures.

/// The newest report of one run of a gateway.
struct HeldReport {
  RolloutReport m_Report;
  Millis m_At;
};

/// Sums over all gateways.
struct RolloutSums {
  std::map<std::string, RouteEvidence> m_Routes;
  std::uint64_t m_SentNew = 0;
  std::uint64_t m_SentOthers = 0;
};

/// What the leader has received on one rollout; memory only. A new leader
/// starts empty, and the next reports restore the counts.
struct RolloutEvidence {
  std::uint64_t m_Number = 0;
  /// A restarted gateway counts from 0 under another incarnation; the counts of
  /// its earlier ones stay in the sum.
  std::map<std::pair<NodeId, Incarnation>, HeldReport> m_Reports;
  /// Sums at earlier times, oldest first. A version that turns bad is judged by
  /// its answers since then, because its good answers before would hide it.
  std::deque<std::pair<Millis, RolloutSums>> m_Earlier;
};

/// Most runs of gateways that are remembered for a rollout.
constexpr std::size_t MaxRolloutReports = 4096;

/// Keeps a report if it is on this rollout and newer than the one held.
bool recordRolloutReport(RolloutEvidence &Evidence, const RolloutReport &Report,
                         Millis Now);

/// Keeps the sums of the last seconds; called before each decision.
void noteRolloutSums(RolloutEvidence &Evidence, Millis Now);

RolloutSums sumRolloutEvidence(const RolloutEvidence &Evidence);

/// How the new version compares with the former ones.
struct RolloutVerdict {
  /// Natural logarithm of the likelihood ratio "bad" to "good" of the worst
  /// route, or of all routes together.
  double m_LogOdds = 0;
  /// At the new version: answers that neither failed nor were slow, and others.
  std::uint64_t m_Good = 0;
  std::uint64_t m_Bad = 0;
  bool m_IsBad = false;
  /// What stands out most, for operators.
  std::string m_Why;
};
RolloutVerdict judgeRollout(const RolloutSums &Sums);
/// Also judges what came since each of the earlier sums that are kept.
RolloutVerdict judgeRollout(const RolloutEvidence &Evidence,
                            const RolloutSums &Sums);

/// A process that may send requests to targets.
struct LeasedGateway {
  NodeId m_Node;
  Incarnation m_Incarnation;
  /// Version of the state that it has acknowledged in a renewal.
  std::uint64_t m_AckedVersion = 0;
  /// A former run of a gateway, which sends no reports any more.
  bool m_Former = false;
};

/// What the leader knows when it decides.
struct RolloutView {
  /// Time since the order.
  Millis m_Age;
  /// Time since the present stage began.
  Millis m_StageAge;
  /// All gateways whose lease may still hold.
  std::vector<LeasedGateway> m_Gateways;
  /// False while leases of a former leader may hold that are not in m_Gateways.
  bool m_LeasesKnown = false;
  /// The manifest in force has the service.
  bool m_InManifest = true;
  /// The list of targets shows the new version.
  bool m_Listed = false;
};

/// A change to propose.
struct RolloutStep {
  RolloutStage m_Stage = RolloutStage::Canary;
  bool m_InForce = false;
  std::string m_Reason;
};
std::optional<RolloutStep> nextRolloutStep(const Rollout &State,
                                           const RolloutEvidence &Evidence,
                                           const RolloutView &View,
                                           const RolloutBounds &Bounds);

/// Earliest time at which a rollout goes from Canary to Shift.
Millis shiftTime(Millis Duration);
/// Shift lasts at most this long. New streams wait meanwhile, and those of the
/// former versions that still run end in Completed before it is answered.
constexpr Millis MaxShift{1500};
/// When a rollout that is not completed is rolled back; shortly before its time
/// limit, so that the answer is known at the limit.
Millis rollbackLimit(Millis Duration);

/// The entry for gateways.
RolloutOrder makeRolloutOrder(const PoolId &Service, const Rollout &State,
                              const RolloutBounds &Bounds, UnixMillis Now);

/// True when a repeated order finds this rollout and starts nothing.
bool repeatsRollout(const Rollout &State, const SoftwareVersion &Version,
                    Millis Duration, UnixMillis Now);
/// True while another order must be refused.
bool isInProgress(const Rollout &State);
/// An order that is repeated within this time after the end starts nothing.
constexpr Millis RolloutRepeatTime{10000};

} // namespace vanillaferry
