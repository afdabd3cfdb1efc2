#pragma once

#include "vanillaferry/process/rollout.hpp"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace vanillaferry {

struct DispatchPool;

// What one gateway may send to the new software version of a rollout. Each
// gateway keeps its own part of the fleet's limit, so that the limit holds
// without messages, also for a gateway that is cut off (docs/design/
// rollouts-gateway.md).

/// Share of its own requests, in thousandths, that an unproven version may have
/// open or badly answered at a gateway in an open Shift.
constexpr std::uint32_t UnprovenPerMille = 70;
/// A gateway that learns of the order later than this has restarted or was cut
/// off. It gets no part of the slack, which others may have used since.
constexpr Millis PartAgeLimit{3000};
/// The part of the slack becomes available evenly over this time, because these
/// requests would fill the few targets that take canaries if they came at once.
constexpr Millis PartSpread{4000};
/// In Canary a gateway saves up no more than one request. Otherwise all
/// gateways would send what they saved up as soon as a target is listed.
constexpr double MaxBanked = 1;
/// From this share on, in thousandths, Shift is open: the credit hardly binds,
/// and a version that has not proven itself is bound by unproven requests.
constexpr std::uint32_t OpenSharePerMille = 500;
/// A gateway stops by itself after this many bad answers among the last ones.
constexpr std::size_t LocalStopBad = 2;
constexpr std::size_t LocalStopWindow = 10;
/// Requests in Shift that may be unconfirmed at once until the version has
/// given so many good answers in a row.
constexpr std::uint32_t FirstWindow = 2;
constexpr std::uint32_t ProvenAfter = 5;
constexpr std::uint32_t LargestWindow = 1U << 16;

/// How a request at the new version ended, as far as it shows whether the
/// version is good.
enum class AnswerJudgement : std::uint8_t {
  Good,
  /// It failed, or took several times as long as at the former versions.
  Bad,
  /// The caller left, the link failed or the target did not run it.
  Unjudged,
};

/// One gateway's part in a rollout.
struct RolloutShare {
  RolloutOrder m_Order;
  /// When the order was committed, by the gateway's own clock.
  Millis m_OrderedAt;
  /// The gateway's rank among the gateways' ids when it learned of the order,
  /// and their number; 0 when it has no part of the slack.
  std::size_t m_Rank = 0;
  std::size_t m_Gateways = 0;
  /// Requests to the service since the gateway learned of the order.
  std::uint64_t m_Own = 0;
  /// Requests to the new version and to all others.
  std::uint64_t m_SentNew = 0;
  std::uint64_t m_SentOthers = 0;
  /// Requests earned from the share and not used; in Shift for streams only.
  double m_Banked = 0;
  /// In Shift, the same for requests that are no streams.
  double m_BankedOthers = 0;
  /// Of its part of the slack, what was added to m_Banked.
  double m_SlackEarned = 0;
  /// True for each bad one of the last answers.
  std::deque<bool> m_LastBad;
  std::uint32_t m_Bad = 0;
  std::uint32_t m_GoodInRow = 0;
  /// Sent to the new version, and neither answered nor, for a stream, its first
  /// event received.
  std::uint32_t m_Unconfirmed = 0;
  std::uint32_t m_Window = FirstWindow;
  /// The window was used up since it last changed.
  bool m_WindowFull = false;
  bool m_Stopped = false;
  Millis m_StoppedAt;
};

/// A gateway's part when it learns of an order.
RolloutShare beginShare(const RolloutOrder &Order, const NodeId &Self,
                        const std::vector<NodeId> &Gateways, Millis Now);
/// Applies a later state of the same rollout; false when it is not newer. The
/// end of a stage ends a local stop.
bool advanceShare(RolloutShare &Share, const RolloutOrder &Order);

/// This gateway's part of the slack as far as it is available; the parts of all
/// gateways sum up to the slack.
double partOfSlack(const RolloutShare &Share, Millis Now);
/// A request, as far as the credit depends on it.
enum class CreditKind : std::uint8_t { Stream, Other };

/// Records a request of a caller to the service. It earns credit, up to
/// rolloutCredit() in all, only while a target of the new version is listed.
void noteOwnRequest(RolloutShare &Share, CreditKind Kind, bool Listed,
                    Millis Now);
/// True when a new request may go to the new version.
bool mayTakeNew(const RolloutShare &Share, CreditKind Kind, Millis Now);
/// Records a request that is sent to the new version. Streams that go on there
/// are counted as well and may exceed the credit.
void noteSentNew(RolloutShare &Share, CreditKind Kind);
/// Nothing of a request that was noted as sent left this gateway.
void noteNotSent(RolloutShare &Share, CreditKind Kind);
/// The answer, or for a stream its first event, has come, or none will.
void noteConfirmed(RolloutShare &Share);
/// Records a judged answer; true when it makes the gateway stop.
bool noteRolloutAnswer(RolloutShare &Share, AnswerJudgement How, Millis Now);
/// The leader has confirmed the stage, knowing what this gateway reported.
void confirmShare(RolloutShare &Share);

/// The new version's targets that get canaries: as many as carry about the load
/// of a former target each. The same at all gateways with the same list.
std::set<TargetId> canaryTargets(const DispatchPool &Pool,
                                 const RolloutOrder &Order,
                                 const std::set<ZoneId> &ZonesOut);
/// True when the version is one that the rollout replaces.
bool isFormer(const RolloutOrder &Order, const SoftwareVersion &Version);

/// Total time above which an answer is slow, from the times of the former
/// versions' answers on its route; absent while these are too few. Unlike the
/// leader, one gateway has few answers, whose lengths differ; the limit is
/// therefore above nearly all of the former ones.
std::optional<Millis>
localSlowLimit(const std::vector<TimeBucket> &FormerTimes);

} // namespace vanillaferry
