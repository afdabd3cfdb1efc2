#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillaferry {

/// Stages of a rollout, in order; a rollout ends in one of the last two.
enum class RolloutStage : std::uint8_t {
  /// A small share of the requests goes to the new version.
  Canary,
  /// New streams go to the new version, so that those of former versions end.
  Shift,
  /// Nothing may be sent to the former versions any more.
  Completed,
  /// Nothing may be sent to the new version any more.
  RolledBack,
};

constexpr bool isFinal(RolloutStage Stage) {
  return Stage == RolloutStage::Completed || Stage == RolloutStage::RolledBack;
}

/// An order to move a service's traffic to a new software version, and how far
/// it has come. Part of the replicated state.
struct Rollout {
  /// Log index of the order.
  std::uint64_t m_Number = 0;
  SoftwareVersion m_Version;
  /// Versions that were listed for the service when the order was committed,
  /// without the new one.
  std::vector<SoftwareVersion> m_Former;
  /// From the order to its time limit.
  Millis m_Duration;
  UnixMillis m_StartedAt;
  /// When the present stage began.
  UnixMillis m_StageAt;
  RolloutStage m_Stage = RolloutStage::Canary;
  /// Why the present stage began, for operators.
  std::string m_Reason;
  /// Completed only: every gateway with a lease applies the stage, so that it
  /// may be answered.
  bool m_InForce = false;
  /// Log index of the last change.
  std::uint64_t m_Changed = 0;
};

/// How much harm a bad version may do, as the deployment states it.
struct RolloutBounds {
  /// A bad version is sent at most this share of the requests that reach its
  /// service until the time limit, and m_ExposureSlack requests more.
  double m_ExposureShare = 0.1;
  double m_ExposureSlack = 50;
  /// No request is sent to a version later than this after its 50th bad answer.
  Millis m_RollbackTime{5000};
};

/// A former software version in a RolloutOrder.
struct FormerVersion {
  SoftwareVersion m_Version;
};

/// What a gateway needs to know of a rollout; part of Grant and ControlUpdate.
struct RolloutOrder {
  PoolId m_Service;
  std::uint64_t m_Number = 0;
  SoftwareVersion m_Version;
  /// When empty, every version but the new one is a former version.
  std::vector<FormerVersion> m_Former;
  RolloutStage m_Stage = RolloutStage::Canary;
  /// Time since the order was committed, when this was sent.
  Millis m_Age;
  Millis m_Duration;
  /// In Canary and Shift, a gateway may send a request to the new version while
  /// its count of such requests, this one included, is at most rolloutCredit().
  /// In thousandths of its own requests to the service since it learned of the
  /// order.
  std::uint32_t m_SharePerMille = 0;
  /// Requests beyond the share, of all gateways together.
  std::uint32_t m_Slack = 0;
  /// In Shift, a new stream for which the credit is used up waits for the next
  /// stage for up to RolloutStreamHold instead of starting at a former version.
  bool m_HoldStreams = false;
  /// In Shift, the credit is for streams; other requests may be sent to the new
  /// version while their count is at most this many thousandths of the
  /// gateway's requests that are no streams, so that they are still judged.
  std::uint32_t m_OthersPerMille = 0;
  /// The gateway sends reports on this rollout. In Completed, until no request
  /// runs at a former version.
  bool m_Report = false;
};

/// How many requests a gateway may have sent to the new version in all. Own is
/// its number of requests to the service since it learned of the order, Rank
/// its place among the Gateways by order of their ids, from 0.
///
/// The offsets (Rank + 0.5) / Gateways spread the fractions of the gateways
/// evenly, so that their rounded-down credits sum up to about the share of all
/// requests plus m_Slack; without them each gateway would lose half a request,
/// which is most of a canary's with 90 gateways.
std::int64_t rolloutCredit(const RolloutOrder &Order, std::uint64_t Own,
                           std::size_t Rank, std::size_t Gateways);

/// Longest wait of a new stream for the end of Shift.
constexpr Millis RolloutStreamHold{2000};

/// Time between the reports of a gateway. It also reports at once when it
/// applies another stage, when its last stream (in Completed, its last request)
/// at a former version ends, and when it stops sending to the new version.
constexpr Millis RolloutReportInterval{500};

/// Answers whose total time lies between rolloutBucketStart(m_Index) and the
/// start of the next bucket.
struct TimeBucket {
  std::uint32_t m_Index = 0;
  std::uint64_t m_Count = 0;
};

/// Buckets per doubling of the answer time; the borders are 9 in 100 apart.
/// With 4, answers three times slower were not told from usual ones.
constexpr unsigned RolloutBucketsPerDoubling = 8;
/// The last bucket begins at 2^(191/8) ms, about 4 hours, and has no end.
constexpr std::uint32_t RolloutBucketCount = 192;

/// The bucket of an answer's total time.
std::uint32_t rolloutBucketOf(Millis Time);
/// The shortest time of a bucket, in milliseconds.
double rolloutBucketStart(std::uint32_t Index);
/// Adds one answer to a list of buckets that is ordered by index.
void addToBuckets(std::vector<TimeBucket> &Buckets, Millis Time);

/// Answers of one version, or of all other versions, on one route. All counts
/// are cumulative since the gateway learned of the order.
struct VersionEvidence {
  /// Answers that count: no refusals as not run, callers that left, or failures
  /// of a link that fails for other targets as well.
  std::uint64_t m_Answers = 0;
  /// Those with status 5xx and those that broke.
  std::uint64_t m_Failures = 0;
  /// Total times of the answers that did not fail and whose target was not in
  /// its cold start, ordered by index, empty buckets left out.
  std::vector<TimeBucket> m_Times;
  /// Ages of the requests that run now, whose target is not in its cold start;
  /// not cumulative. Without them, a version whose slow answers do not end
  /// before the decision would show only its fast ones.
  std::vector<TimeBucket> m_Running;
};

/// Answers on one route.
struct RouteEvidence {
  std::string m_Route;
  VersionEvidence m_New;
  VersionEvidence m_Others;
};

/// A gateway tells the leading keeper what it has seen of a rollout. Followers
/// relay it. The counts are cumulative, so that a lost or repeated report does
/// no harm.
struct RolloutReport {
  NodeId m_Node;
  /// A restarted gateway counts from 0 under a new incarnation.
  Incarnation m_Incarnation;
  PoolId m_Service;
  /// Number of the rollout.
  std::uint64_t m_Number = 0;
  /// Counts the reports of one incarnation on one rollout, from 1.
  std::uint64_t m_Sequence = 0;
  std::vector<RouteEvidence> m_Routes;
  /// Requests sent to the new version, and to all others.
  std::uint64_t m_SentNew = 0;
  std::uint64_t m_SentOthers = 0;
  /// Streams that run at former versions.
  std::uint32_t m_FormerStreams = 0;
  /// All requests that run at former versions, streams included.
  std::uint32_t m_FormerRunning = 0;
  /// The stage that the gateway applies.
  RolloutStage m_Applied = RolloutStage::Canary;
  /// The gateway has stopped sending to the new version by itself.
  bool m_Stopped = false;
};

} // namespace vanillaferry
