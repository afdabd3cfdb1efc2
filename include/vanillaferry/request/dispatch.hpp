#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"
#include "vanillaferry/request/load_board.hpp"
#include "vanillaferry/request/rate_window.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaferry {

/// One part of a prompt; requests share their first parts.
struct PromptPart {
  std::string m_Id;
  Tokens m_Tokens;
};

/// Load that a target states itself.
struct TargetReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  std::uint32_t m_Slots = 0;
};

/// A target as the platform lists it.
struct ListedTarget {
  TargetId m_Id;
  PoolId m_Service;
  /// IP:PORT.
  std::string m_Address;
  ZoneId m_Zone;
  /// Requests that it runs at once.
  std::uint32_t m_Slots = 0;
  bool m_Leaving = false;
  /// Rest of its cold start; 0 when it is warm.
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
  /// Own requests that run there.
  std::uint32_t m_Running = 0;
  std::optional<TargetReport> m_Report;
  Millis m_ReportedAt;
  /// Own starts less own ends since the report.
  std::int64_t m_SinceReport = 0;
  /// Running requests of all other routers, as the keepers summed them.
  std::uint32_t m_Others = 0;
  /// About when these ran; absent before the first sum.
  std::optional<Millis> m_OthersAt;
  /// Own dispatches of the last moments, against the cold limit.
  RateWindow m_Starts;
  /// Own dispatches per window while the target is, or may be, cold; 0 for no
  /// limit.
  double m_ColdShare = 0;
  Millis m_ColdUntil;
  /// Share of failed requests, as a moving average.
  double m_FailureRate = 0;
  std::uint32_t m_FailuresInRow = 0;
  /// Gets nothing before this time, unless every target is paused.
  Millis m_PausedUntil;
};

/// What all dispatches to a service keep to.
struct DispatchLimits {
  /// The part of the mean load that a target may carry above it.
  double m_Spread = 1.4;
  /// Routers that send to the same targets.
  std::size_t m_Routers = 1;
  /// Time until a request that one router sends shows in the estimates of all.
  Millis m_FeedbackTime;
};

/// Which engine last read a prompt prefix for this router.
struct PrefixHolder {
  TargetId m_Target;
  Millis m_LastUsed;
  /// Own requests with the prefix, each decayed by its age.
  double m_RecentUses = 0;
};

/// The targets of one service.
struct DispatchPool {
  std::map<TargetId, DispatchTarget> m_Targets;
  DispatchLimits m_Limits;
  /// Cold start of a new or restarted target.
  Millis m_ColdTime;
  /// By the prefix's hash; entries end after PrefixMemory.
  std::map<std::uint64_t, PrefixHolder> m_Holders;
};

/// Why no target was chosen.
enum class DispatchRefusal : std::uint8_t {
  None,
  /// None is listed, in service and untried.
  NoneInService,
  AllFull,
  /// Each has as many requests as a cold target bears.
  ColdLimit,
};

/// What a request asks of its target.
struct DispatchCriteria {
  /// Hash of the prompt parts that other requests share; 0 for none.
  std::uint64_t m_PrefixHash = 0;
  std::set<TargetId> m_Excluded;
  std::set<ZoneId> m_ZonesOut;
  /// Breaks ties between equal targets.
  std::uint64_t m_Random = 0;
};

struct DispatchChoice {
  TargetId m_Target;
  DispatchRefusal m_Refusal = DispatchRefusal::None;
  /// An engine from which the chosen one may copy the prompt prefix; empty when
  /// the chosen one is expected to hold it.
  TargetId m_PrefixSource;
  /// Estimated load of the chosen target and mean of the pool, for the log.
  double m_Load = 0;
  double m_Mean = 0;
  /// When a place is expected to be free.
  Millis m_RetryAfter;
};

/// A refusal of a request that no target can take.
DispatchChoice refuseDispatch(DispatchRefusal Why, Millis RetryAfter);

/// Chooses a target. Requests that share a prompt prefix go to the engine that
/// last read it for this router, or else to the one that ranks first by
/// rendezvous hashing (Thaler and Ravishankar 1998), so that every router finds
/// the copy without knowing the caches. While that engine
/// carries more than the spread allows, they go to the one that ranks next, so
/// that a prefix in high demand has as few copies as carry it. When all routers
/// together send more of them within the feedback time than an engine has room
/// for, each draws one of the first engines by their room: otherwise all would
/// send to one engine until its load shows. Requests without a shared prefix go
/// to the least loaded target.
DispatchChoice chooseTarget(DispatchPool &Pool, const DispatchCriteria &Need,
                            Millis Now);

/// Replaces the pool's targets by the listed ones. Targets that left are kept
/// while own requests run there, but are not chosen.
void applyTargetList(DispatchPool &Pool,
                     const std::vector<ListedTarget> &Listed, bool FirstList,
                     Millis Now);

/// How a request at a target ended, as far as the target's state is concerned.
enum class TargetOutcome : std::uint8_t {
  Served,
  /// It stated that it did not run the request.
  Refused,
  Failed,
  /// No connection came up.
  Unreachable,
  /// The router ended the request for its own reasons.
  Abandoned,
};

void noteStarted(DispatchTarget &Target, Millis Now);
void noteEnded(DispatchTarget &Target, TargetOutcome How, Millis Now);
/// Notes that a target may have turned cold without notice, for example after
/// it failed or its zone was out of service.
void suspectCold(DispatchTarget &Target, Millis ColdTime, Millis Now);
void noteReport(DispatchTarget &Target, const TargetReport &Report, Millis Now);

/// Takes the keepers' sum of the other routers' running requests, which was
/// true at the time At.
void noteOtherLoads(DispatchPool &Pool, const std::vector<KeyedLoad> &Others,
                    Millis At);
/// Own running requests of the pool, for the keepers' sum.
void addRunning(const DispatchPool &Pool, std::vector<KeyedLoad> &Loads);

/// Estimated requests at the target, with those of other routers: from the
/// target's own report, or from the other routers' when these are newer.
double estimatedLoad(const DispatchTarget &Target, Millis Now);

/// This router's share of a limit per second that all routers keep together.
/// With more routers than the limit allows requests, only the routers that rank
/// first for the target get a share, of one.
double coldShareOf(double LimitPerSecond, const TargetId &Target,
                   const NodeId &Self, const std::vector<NodeId> &Routers);

/// Hash of all prompt parts but the last, which no other request has.
std::uint64_t hashSharedPrefix(const std::vector<PromptPart> &Parts);

} // namespace vanillaferry
