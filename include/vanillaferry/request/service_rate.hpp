#pragma once

#include "vanillaferry/process/units.hpp"

#include <optional>

namespace vanillaferry {

/// Number of requests that left a queue to be run, and the time during which
/// any waited. Both decay exponentially, so that the last seconds count most.
struct ServiceRate {
  double m_Served = 0;
  /// In milliseconds.
  double m_BusyTime = 0;
  Millis m_CountedUntil;
};

/// Counts the time since the last call as busy: requests were waiting.
void countBusyTime(ServiceRate &Rate, Millis Now);

/// Upper bound of the requests served per second, two standard deviations above
/// the mean of a Poisson count; empty while nothing was served.
std::optional<double> servedPerSecond(const ServiceRate &Rate);

/// Mean of the requests served per second; empty while too few were served for
/// a mean.
std::optional<double> meanServedPerSecond(const ServiceRate &Rate);

} // namespace vanillaferry
