#include "vanillaferry/connection/target_reach.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// Targets that must fail before a router holds its own links for the cause:
/// half of them, since a part may end together, within these bounds.
constexpr std::size_t MinFailed = 3;
constexpr std::size_t MaxFailed = 8;
/// A target that can be reached accepts within this time.
constexpr Millis FirstProbeTime{100};
/// Longer than a connection may take, so that one round has ended before the
/// next.
constexpr Millis SuspicionInterval{500};
constexpr Millis RecoveryInterval{300};
constexpr std::size_t RecoveryProbes = 2;

std::size_t failuresNeeded(std::size_t Serving) {
  std::size_t Half = (Serving + 1) / 2;
  return std::clamp(
      Half, std::min(std::max(Serving, std::size_t(1)), MinFailed), MaxFailed);
}

std::size_t probesInRound(const TargetReach &Reach, std::size_t Serving) {
  if (Reach.m_OutOfReach)
    return RecoveryProbes;
  return Reach.m_Rounds == 0 ? 1 : failuresNeeded(Serving);
}

Millis pauseAfterRound(const TargetReach &Reach) {
  if (Reach.m_OutOfReach)
    return RecoveryInterval;
  return Reach.m_Rounds == 0 ? FirstProbeTime : SuspicionInterval;
}

} // namespace

ReachChange noteConnected(TargetReach &Reach, Millis Now) {
  ReachChange Change =
      Reach.m_OutOfReach ? ReachChange::Regained : ReachChange::None;
  Reach.m_LastConnected = Now;
  Reach.m_Failed.clear();
  Reach.m_Suspected = false;
  Reach.m_OutOfReach = false;
  Reach.m_Rounds = 0;
  return Change;
}

ReachChange noteNotConnected(TargetReach &Reach, const FailedConnect &Failed,
                             std::size_t Serving, Millis Now) {
  // Of several connections that were begun together, one that is established
  // shows that the way is open.
  if (Reach.m_LastConnected && Failed.m_BegunAt <= *Reach.m_LastConnected)
    return ReachChange::None;
  Reach.m_Failed.insert(Failed.m_Target);
  if (Reach.m_OutOfReach || Reach.m_Failed.size() < failuresNeeded(Serving))
    return ReachChange::None;
  Reach.m_OutOfReach = true;
  Reach.m_OutOfReachSince = Now;
  return ReachChange::Lost;
}

void suspectReach(TargetReach &Reach) { Reach.m_Suspected = true; }

std::vector<TargetId> targetsToProbe(TargetReach &Reach,
                                     const std::vector<TargetId> &Serving,
                                     Millis Now) {
  bool Open = Reach.m_Suspected || !Reach.m_Failed.empty();
  if (!Open || Now < Reach.m_NextProbe)
    return {};
  std::size_t Limit = probesInRound(Reach, Serving.size());
  std::vector<TargetId> Probed;
  for (std::size_t Step = 0; Step < Serving.size() && Probed.size() < Limit;
       ++Step) {
    const TargetId &Each = Serving[Reach.m_NextTarget++ % Serving.size()];
    if (Reach.m_OutOfReach || Reach.m_Failed.count(Each) == 0)
      Probed.push_back(Each);
  }
  Reach.m_NextProbe = Now + pauseAfterRound(Reach);
  ++Reach.m_Rounds;
  return Probed;
}

} // namespace vanillaferry
