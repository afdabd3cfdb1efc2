#include "vanillaferry/request/dispatch_probe.hpp"

#include <algorithm>
#include <cmath>

namespace vanillaferry {

namespace {

constexpr double StaleFactor = 2;

std::optional<Millis> endOfWindow(const RateWindow &Window) {
  if (Window.m_Times.empty())
    return std::nullopt;
  return Window.m_Times.front() + Window.m_Length;
}

} // namespace

bool hasStaleLoad(const DispatchTarget &Target, Millis StaleAfter, Millis Now) {
  if (Target.m_Running > 0)
    return false;
  bool FreshReport = Target.m_Report && Now <= Target.m_ReportedAt + StaleAfter;
  bool FreshSum = Target.m_OthersAt && Now <= *Target.m_OthersAt + StaleAfter;
  return !FreshReport && !FreshSum;
}

std::optional<Millis> staleAfter(double AnswerMs) {
  if (AnswerMs <= 0)
    return std::nullopt;
  return Millis(static_cast<std::int64_t>(std::ceil(StaleFactor * AnswerMs)));
}

std::optional<Millis> probeInterval(const DispatchPool &Pool, double AnswerMs,
                                    Millis Now) {
  double Slots = 0;
  for (const std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets)
    if (isServing(Row.second, {}))
      Slots += static_cast<double>(Row.second.m_Listed.m_Slots);
  if (Slots <= 0 || AnswerMs <= 0 || isBrittle(Pool, Now))
    return std::nullopt;
  return Millis(static_cast<std::int64_t>(std::ceil(
      static_cast<double>(Pool.m_Limits.m_Routers) * AnswerMs / Slots)));
}

std::optional<Millis> nextProbeAt(const DispatchPool &Pool, double AnswerMs,
                                  Millis NextProbe, Millis Now) {
  std::optional<Millis> Age = staleAfter(AnswerMs);
  if (!Age || isBrittle(Pool, Now))
    return std::nullopt;
  std::optional<Millis> Next;
  for (const std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets) {
    const DispatchTarget &Target = Row.second;
    if (Target.m_Running > 0 || !isServing(Target, {}))
      continue;
    Millis StaleAt = NextProbe;
    if (Target.m_Report)
      StaleAt = std::max(StaleAt, Target.m_ReportedAt + *Age + Millis(1));
    if (Target.m_OthersAt)
      StaleAt = std::max(StaleAt, *Target.m_OthersAt + *Age + Millis(1));
    Next = std::min(Next.value_or(StaleAt), StaleAt);
  }
  return Next;
}

std::optional<Millis> nextRoomAt(const DispatchPool &Pool, Millis Now) {
  std::optional<Millis> Next;
  auto Consider = [&Next, Now](std::optional<Millis> Time) {
    if (Time && *Time > Now && (!Next || *Time < *Next))
      Next = Time;
  };
  for (const std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets) {
    const DispatchTarget &Target = Row.second;
    Consider(Target.m_PausedUntil);
    Consider(Target.m_AskedPauseUntil);
    if (Target.m_ColdShare > 0)
      Consider(endOfWindow(Target.m_Starts));
    if (Target.m_RateLimit)
      Consider(endOfWindow(Target.m_RateStarts));
  }
  return Next;
}

} // namespace vanillaferry
