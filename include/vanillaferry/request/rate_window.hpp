#pragma once

#include "vanillaferry/process/units.hpp"

#include <array>
#include <cstdint>
#include <deque>

namespace vanillaferry {

/// Times of the events in a sliding window.
struct RateWindow {
  Millis m_Length{1000};
  std::deque<Millis> m_Times;
};

void noteEvent(RateWindow &Window, Millis Now);
std::size_t eventsWithin(RateWindow &Window, Millis Now);

/// Limit on the retries (repeats) of a service's requests that one router may
/// send. The fleet keeps its limit when each router keeps its share, so it
/// holds without messages, also for a router that is partitioned.
struct RepeatBudget {
  /// Repeats per request of the window.
  double m_Ratio = 0.2;
  /// Repeats per window that are allowed without any requests; this router's
  /// share.
  double m_Extra = 0;
  RateWindow m_Requests;
  RateWindow m_Repeats;
};

RepeatBudget makeRepeatBudget(double Ratio, double Extra, Millis Length);

/// Takes one repeat from the budget; false when it is spent.
bool takeRepeat(RepeatBudget &Budget, Millis Now);

} // namespace vanillaferry
