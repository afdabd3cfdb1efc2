#pragma once

#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <optional>

namespace vanillaferry {

/// How long work takes at a target that shares its machine, as the target
/// states it in its answers: a multiple of the usual time.
///
/// The figure changes many times a second, and a router sees it only in the
/// answers that it gets. So the last one counts for as long as such a change
/// lasts, and the mean of all afterwards.
struct SpeedEstimate {
  double m_Mean = 1;
  double m_Last = 1;
  /// Absent before the first figure.
  std::optional<Millis> m_At;
};

/// Records the figure of an answer, in percent: 100 means as usual.
void noteTimePercent(SpeedEstimate &Speed, std::uint64_t Percent, Millis Now);

/// Multiple of the usual time that work at the target is expected to take; 1
/// when nothing is known of it.
double timeFactor(const SpeedEstimate &Speed, Millis Now);

} // namespace vanillaferry
