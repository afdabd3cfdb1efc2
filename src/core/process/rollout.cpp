#include "vanillaferry/process/rollout.hpp"

#include <algorithm>
#include <cmath>

namespace vanillaferry {

std::int64_t rolloutCredit(const RolloutOrder &Order, std::uint64_t Own,
                           std::size_t Rank, std::size_t Gateways) {
  constexpr double PerMille = 1000;
  double Count = static_cast<double>(std::max<std::size_t>(Gateways, 1));
  double Offset = (static_cast<double>(Rank) + 0.5) / Count;
  double Share = static_cast<double>(Order.m_SharePerMille) *
                 static_cast<double>(Own) / PerMille;
  return static_cast<std::int64_t>(
      std::floor(Share + static_cast<double>(Order.m_Slack) / Count + Offset));
}

std::uint32_t rolloutBucketOf(Millis Time) {
  if (Time.m_Value <= 1)
    return 0;
  double Doublings = std::log2(static_cast<double>(Time.m_Value));
  double Index = std::floor(Doublings * RolloutBucketsPerDoubling);
  return std::min(static_cast<std::uint32_t>(Index), RolloutBucketCount - 1);
}

double rolloutBucketStart(std::uint32_t Index) {
  return Index == 0 ? 0
                    : std::exp2(static_cast<double>(Index) /
                                RolloutBucketsPerDoubling);
}

void addToBuckets(std::vector<TimeBucket> &Buckets, Millis Time) {
  std::uint32_t Index = rolloutBucketOf(Time);
  std::vector<TimeBucket>::iterator Found = std::lower_bound(
      Buckets.begin(), Buckets.end(), Index,
      [](const TimeBucket &B, std::uint32_t I) { return B.m_Index < I; });
  if (Found == Buckets.end() || Found->m_Index != Index)
    Found = Buckets.insert(Found, TimeBucket{Index, 0});
  ++Found->m_Count;
}

} // namespace vanillaferry
