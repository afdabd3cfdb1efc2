#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"
#include "vanillaferry/request/load_board.hpp"
#include "vanillaferry/request/rate_window.hpp"
#include "vanillaferry/request/target_speed.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaferry {

/// Load that a target reports in its answers.
struct TargetReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  std::uint32_t m_Slots = 0;
  /// How long work takes there at present, in percent of usual; absent when the
  /// target does not state it.
  std::optional<std::uint64_t> m_TimePercent = std::nullopt;
};

/// A target as the platform lists it.
struct ListedTarget {
  TargetId m_Id;
  PoolId m_Service;
  /// IP:PORT.
  std::string m_Address;
  ZoneId m_Zone;
  /// Empty when the list does not state it.
  SoftwareVersion m_Software;
  /// Requests that it runs at once.
  std::uint32_t m_Slots = 0;
  bool m_Leaving = false;
  /// Remaining time of its cold start; 0 when it is warm.
  Millis m_ColdLeft;
};

/// What this router knows of one target, from its own requests and from the
/// reports in the answers.
struct DispatchTarget {
  ListedTarget m_Listed;
  /// False once the list no longer shows it.
  bool m_Present = true;
  /// Far in the past for targets of the first list.
  Millis m_FirstListed{-1000000};
  /// Requests that this router has running there.
  std::uint32_t m_Running = 0;
  /// When it last sent something, or the first of these was sent.
  Millis m_HeardAt;
  std::optional<TargetReport> m_Report;
  Millis m_ReportedAt;
  /// Requests that this router started, minus those that ended, since the
  /// report.
  std::int64_t m_SinceReport = 0;
  /// Running requests of all other routers, as summed by the leading keeper.
  std::uint32_t m_Others = 0;
  /// Estimated time at which this sum was true; absent before the first sum.
  std::optional<Millis> m_OthersAt;
  /// This router's recent dispatches, checked against m_ColdShare.
  RateWindow m_Starts;
  /// This router's dispatches per window while the target is, or may be, cold;
  /// 0 for no limit.
  double m_ColdShare = 0;
  Millis m_ColdUntil;
  SpeedEstimate m_Speed;
  /// Share of failed requests, as a moving average.
  double m_FailureRate = 0;
  std::uint32_t m_FailuresInRow = 0;
  /// m_FailureRate before the first of these.
  double m_RateBeforeFailures = 0;
  /// Is not chosen before this time, unless every eligible target is paused.
  Millis m_PausedUntil;
  /// The target has said that it leaves; it is not chosen any more.
  bool m_SaysLeaving = false;
  /// Requests a second, of all routers together, that the target says it
  /// takes. Absent while it names no limit.
  std::optional<double> m_RateLimit;
  Millis m_RateStatedAt;
  /// This router's dispatches within RateLimitWindow, and its share of them.
  RateWindow m_RateStarts;
  double m_RateShare = 0;
  /// Refusals a second, of all routers' requests, that the target says it
  /// bears; more end it. Absent while it bears any number.
  std::optional<std::uint64_t> m_BearableRefusals;
  Millis m_BearableStatedAt;
  /// Requests that this router may have running there while targets of the
  /// service end under refusals; the routers' shares sum up to the slots.
  double m_SlotShare = 0;
  /// The target has asked for no request before this time; it gets none, even
  /// when no other target is left.
  Millis m_AskedPauseUntil;
};

/// Parameters of all dispatches to one service.
struct DispatchLimits {
  /// Load that a target may have before requests with a shared prefix go to
  /// another one, as a multiple of the mean load.
  double m_Spread = 1.4;
  /// Routers that send to the same targets.
  std::size_t m_Routers = 1;
  /// Time until a request that one router sends is included in the load
  /// estimates of all.
  Millis m_FeedbackTime;
};

/// The engine that last processed a prompt prefix for this router.
struct PrefixHolder {
  TargetId m_Target;
  Millis m_LastUsed;
  /// This router's requests with the prefix, each decayed by its age.
  double m_RecentUses = 0;
};

/// The targets of one service.
struct DispatchPool {
  std::map<TargetId, DispatchTarget> m_Targets;
  DispatchLimits m_Limits;
  /// Cold start of a new or restarted target.
  Millis m_ColdTime;
  /// By the prefix's hash; entries are ignored after 30 s without use.
  std::map<std::uint64_t, PrefixHolder> m_Holders;
};

/// Why no target was chosen.
enum class DispatchRefusal : std::uint8_t {
  None,
  /// No target is listed, in service and not excluded.
  NoneInService,
  AllFull,
  /// Each target that is not full has reached its cold limit.
  ColdLimit,
  /// Each target that is not full gets as many requests as it says it takes.
  RateLimit,
};

/// What a request requires of its target.
struct DispatchCriteria {
  /// Hash of the prompt parts that may be shared with other requests; 0 for
  /// none.
  std::uint64_t m_PrefixHash = 0;
  std::set<TargetId> m_Excluded;
  std::set<ZoneId> m_ZonesOut;
  /// The version at which the stream began; absent for a new one.
  std::optional<SoftwareVersion> m_Software;
  /// Versions that get no requests like this one during or after a rollout.
  std::set<SoftwareVersion> m_ExcludedSoftware;
  /// The only targets that may get the request; empty for all.
  std::set<TargetId> m_Only;
  /// Breaks ties between equal targets.
  std::uint64_t m_Random = 0;
  /// When all targets are full, one whose load figures are older is asked
  /// nevertheless; absent for a request that is no probe.
  std::optional<Millis> m_StaleAfter;
};

struct DispatchChoice {
  TargetId m_Target;
  DispatchRefusal m_Refusal = DispatchRefusal::None;
  /// The target is full by its load figures, which are old.
  bool m_IsProbe = false;
  /// An engine from which the chosen one may copy the prompt prefix; empty when
  /// the chosen one is expected to have it cached, or no other engine is known.
  TargetId m_PrefixSource;
  /// Estimated load of the chosen target and mean of the pool, for the log.
  double m_Load = 0;
  double m_Mean = 0;
  /// Time after which a target is expected to have a free slot.
  Millis m_RetryAfter;
};

/// A refusal of a request that no target can take.
DispatchChoice refuseDispatch(DispatchRefusal Why, Millis RetryAfter);

/// Chooses a target. Requests that share a prompt prefix go to the engine that
/// last processed it for this router, or else to the one that ranks first by
/// rendezvous hashing (Thaler and Ravishankar 1998), so that every router finds
/// the cached copy without knowing the caches' contents. While that engine's
/// load is above the spread, they go to the one that ranks next, so that a
/// prefix in high demand has no more copies than its load needs. When all
/// routers together are expected to send more such requests within the feedback
/// time than one engine has room for, each router draws one of the first
/// engines at random, weighted by their room: otherwise all would send to one
/// engine until its load becomes visible. Requests without a shared prefix go
/// to the least loaded target. Loads are weighted by the time that work takes
/// at the target; between equals a slower target is drawn less often.
DispatchChoice chooseTarget(DispatchPool &Pool, const DispatchCriteria &Need,
                            Millis Now);

/// Replaces the pool's targets by the listed ones. Targets that are no longer
/// listed are kept while this router's requests run there, but are not chosen.
void applyTargetList(DispatchPool &Pool,
                     const std::vector<ListedTarget> &Listed, bool FirstList,
                     Millis Now);

/// How a request at a target ended, for the target's failure rate and pauses.
enum class TargetOutcome : std::uint8_t {
  Served,
  /// It stated that it did not run the request.
  Refused,
  Failed,
  /// The connection could not be established.
  Unreachable,
  /// The router ended the request for its own reasons.
  Abandoned,
};

/// True for a target that may get the request now or once a pause is over that
/// the target asked for.
bool isServing(const DispatchTarget &Target, const DispatchCriteria &Need);

/// True when this router's requests there have got nothing for so long.
bool isSilent(const DispatchTarget &Target, Millis For, Millis Now);

void noteStarted(DispatchTarget &Target, Millis Now);
/// A part of an answer has arrived.
void noteHeard(DispatchTarget &Target, Millis Now);
void noteEnded(DispatchTarget &Target, TargetOutcome How, Millis Now);
/// Drops what failures in a row have done to the targets of the pool: the way
/// to them failed.
void forgiveUnreachable(DispatchPool &Pool);
/// Treats a target as cold for ColdTime, because it may have restarted without
/// notice, for example after it failed or its zone was out of service.
void suspectCold(DispatchTarget &Target, Millis ColdTime, Millis Now);
/// Records that the target said in an answer that it leaves, whatever the list
/// says. It counts until the list shows the target anew.
void noteLeaving(DispatchTarget &Target);
/// Records which limit the target's last answer names.
void noteRateLimit(DispatchTarget &Target, std::optional<double> PerSecond,
                   Millis Now);
/// Records what the target's last answer says of the refusals that it bears.
void noteBearableRefusals(DispatchTarget &Target,
                          std::optional<std::uint64_t> PerSecond, Millis Now);
/// The target had no room for a request. One that bears few refusals gets none
/// for some time.
void noteTurnedAway(DispatchTarget &Target, Millis Now);
/// True while a target of the service says that it bears few refusals: all of
/// them then get no more than their slots from all routers together, whatever
/// the routers know of each other's requests.
bool isBrittle(const DispatchPool &Pool, Millis Now);
/// Computes this router's shares of the slots.
void applySlotShares(DispatchPool &Pool, const NodeId &Self,
                     const std::vector<NodeId> &Routers);
/// Computes this router's share of the limit that the target names; the shares
/// of all routers sum up to the limit.
void applyRateShare(DispatchTarget &Target, const NodeId &Self,
                    const std::vector<NodeId> &Routers);
/// Records that the target asked for no requests for a time.
void noteAskedPause(DispatchTarget &Target, Millis For, Millis Now);
void noteReport(DispatchTarget &Target, const TargetReport &Report, Millis Now);

/// Stores the leading keeper's sum of the other routers' running requests as of
/// the time At.
void noteOtherLoads(DispatchPool &Pool, const std::vector<KeyedLoad> &Others,
                    Millis At);
/// Appends this router's running requests at the pool's targets, to be reported
/// to the leading keeper.
void addRunning(const DispatchPool &Pool, std::vector<KeyedLoad> &Loads);

/// Estimated requests at the target, including those of other routers: from the
/// target's own report, or from the other routers' reports when these are
/// newer.
double estimatedLoad(const DispatchTarget &Target, Millis Now);

/// This router's share of a limit per second that holds for all routers
/// together. When there are more routers than the limit allows requests, only
/// the routers that rank first for the target get a share, of one.
double coldShareOf(double LimitPerSecond, const TargetId &Target,
                   const NodeId &Self, const std::vector<NodeId> &Routers);

} // namespace vanillaferry
