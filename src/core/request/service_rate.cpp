#include "vanillaferry/request/service_rate.hpp"

#include <cmath>

namespace vanillaferry {

namespace {

/// Half-life of the counts, in busy time.
constexpr double RateHalfLifeMs = 5000;
constexpr double MsPerSecond = 1000;
/// A mean of fewer requests says little.
constexpr double MinServed = 4;

} // namespace

void countBusyTime(ServiceRate &Rate, Millis Now) {
  std::int64_t Elapsed = (Now - Rate.m_CountedUntil).m_Value;
  if (Elapsed <= 0)
    return;
  double Kept = std::exp2(-static_cast<double>(Elapsed) / RateHalfLifeMs);
  Rate.m_Served *= Kept;
  Rate.m_BusyTime = Rate.m_BusyTime * Kept + static_cast<double>(Elapsed);
  Rate.m_CountedUntil = Now;
}

std::optional<double> servedPerSecond(const ServiceRate &Rate) {
  if (Rate.m_Served <= 0 || Rate.m_BusyTime <= 0)
    return std::nullopt;
  // The bound keeps a small sample from refusing requests: a single request
  // served after a stall of seconds would otherwise give a rate below one per
  // second and refuse requests that have 30 s left.
  double Most = Rate.m_Served + 2 * std::sqrt(Rate.m_Served) + 2;
  return Most * MsPerSecond / Rate.m_BusyTime;
}

std::optional<double> meanServedPerSecond(const ServiceRate &Rate) {
  if (Rate.m_Served < MinServed || Rate.m_BusyTime <= 0)
    return std::nullopt;
  return Rate.m_Served * MsPerSecond / Rate.m_BusyTime;
}

} // namespace vanillaferry
