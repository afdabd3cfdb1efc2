#include "vanillaferry/request/target_speed.hpp"

#include <algorithm>
#include <cmath>

namespace vanillaferry {

namespace {

/// Weight of one figure in the mean.
constexpr double MeanWeight = 0.1;
/// Time constant with which the last figure loses its weight.
constexpr Millis LastDecayTime{300};
/// A mean that nothing has confirmed for so long counts as unknown.
constexpr Millis MeanLifetime{15000};
/// Bounds of the factor: a target that seems much faster must not draw all
/// requests, one that seems much slower must go on to get some.
constexpr double MinFactor = 0.5;
constexpr double MaxFactor = 4;
constexpr double PercentAsUsual = 100;

bool isKnown(const SpeedEstimate &Speed, Millis Now) {
  return Speed.m_At && Now <= *Speed.m_At + MeanLifetime;
}

} // namespace

void noteTimePercent(SpeedEstimate &Speed, std::uint64_t Percent, Millis Now) {
  if (!isKnown(Speed, Now))
    Speed.m_Mean = 1;
  Speed.m_Last = std::clamp(static_cast<double>(Percent) / PercentAsUsual,
                            MinFactor, MaxFactor);
  Speed.m_Mean += MeanWeight * (Speed.m_Last - Speed.m_Mean);
  Speed.m_At = Now;
}

double timeFactor(const SpeedEstimate &Speed, Millis Now) {
  if (!isKnown(Speed, Now))
    return 1;
  double Age = static_cast<double>((Now - *Speed.m_At).m_Value);
  double Freshness =
      std::exp(-Age / static_cast<double>(LastDecayTime.m_Value));
  return Speed.m_Mean + (Speed.m_Last - Speed.m_Mean) * Freshness;
}

} // namespace vanillaferry
