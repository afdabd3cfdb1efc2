#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"
#include "vanillaferry/version/pool.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillaferry {

struct LoadBoundOptions {
  /// Assumed fall of the other owners' load per second of age, until the
  /// pool's own completion rate is known.
  double m_DeclinePerSecond = 0.1;
  /// The measured completion rate is multiplied by this.
  double m_DeclineSafety = 1.0;
  /// Completions within the age of a total vary like a Poisson number; this
  /// many standard deviations more than expected are assumed.
  double m_DeclineSigmas = 4.0;
  /// A router renews early when a pool's count fell by more than this share.
  double m_ReportFall = 0.02;
  /// Smallest time between two early renewals.
  Millis m_ReportSpacing{100};
};

/// Lower bound of a pool's mean load as one owner knows it.
struct PoolMean {
  LoadBoundOptions m_Options;
  /// Running requests at the other owners, and when that was true at the
  /// earliest.
  std::uint32_t m_Others = 0;
  Millis m_OthersAt;
  /// When the renewal behind m_Others was sent; older grants are ignored.
  Millis m_GrantSentAt;
  /// Targets of other owners that broke since, and the load they may have had.
  std::vector<TargetId> m_LostTargets;
  std::uint32_t m_LostLoad = 0;
  Millis m_LostAt;
  /// Own count in the last renewal sent.
  std::uint32_t m_Reported = 0;
  Millis m_ReportedAt;
  /// Completions per second and running request, smoothed.
  double m_CompletionRate = 0;
  Millis m_RateAt;
  std::uint32_t m_RateCompletions = 0;
};

/// Number of targets that the mean is divided by. Views of the pool differ for
/// seconds, and a report may still contain requests of targets that this view
/// has lost; so a smaller number counts only after a while.
struct TargetCount {
  /// After a change that routers see at different times, as in the VM list.
  Millis m_Hold{4000};
  /// After a change of the document, which every router applies by its next
  /// renewal: the renew interval and two load updates.
  Millis m_DocumentHold{1100};
  Millis m_PresentHold{4000};
  std::size_t m_Current = 0;
  std::size_t m_Divisor = 0;
  Millis m_ChangedAt;
};

/// Notes the number of targets in service. FromDocument says that the change
/// came from an edit and not from the VM list.
void setTargetCount(TargetCount &Count, std::size_t Targets, bool FromDocument,
                    Millis Now);
std::size_t targetDivisor(const TargetCount &Count, Millis Now);

/// Takes a pool total from a grant; OwnReported is this node's count in the
/// renewal that the grant answers. SentAt is when that renewal was sent.
void takePoolTotal(PoolMean &Mean, const PoolTotal &Total,
                   std::uint32_t OwnReported, Millis SentAt);

/// Notes completed requests, from which the rate of decline is estimated.
void noteCompletion(PoolMean &Mean, std::uint32_t OwnRunning, Millis Now);

/// Notes a renewal that carries this count.
void noteReported(PoolMean &Mean, std::uint32_t OwnRunning, Millis Now);

/// Notes that a target of another owner broke, as this router learns from a
/// stream through it. Its load is taken off the floor until a total that was
/// formed after its owner's early report; a renewal that asks for it is due
/// soon.
void noteLostTarget(PoolMean &Mean, const TargetId &Target,
                    std::uint32_t LoadBound, Millis Now);

/// True when a renewal should be sent early because the count fell or another
/// owner's target broke.
bool earlyReportDue(const PoolMean &Mean, std::uint32_t OwnRunning, Millis Now);

/// Lower bound of the pool's running requests, without the one to be admitted.
double poolFloor(const PoolMean &Mean, std::uint32_t OwnRunning, Millis Now);

/// Running requests that a target may reach now: ceil(B * M) + A, with M the
/// lower bound of the mean including the request to be admitted. Long requests
/// get the inner margin. At least 1.
std::uint32_t boundLimit(const PoolSettings &Settings, const PoolMean &Mean,
                         std::uint32_t OwnRunning, std::size_t Targets,
                         Priority Kind, Millis Now);

struct WarmthOptions {
  /// A first-token time above this multiple of the pool's median is a sign of
  /// a cold target.
  double m_SlowMultiple = 4.0;
  /// Up to this multiple it is evidence for a higher limit.
  double m_WarmMultiple = 1.5;
  /// That many slow first tokens in a row make a warm target cold.
  std::uint32_t m_SlowInRow = 3;
  /// A reported load below this share of the owner's own count, when that is
  /// at least m_DropMinimum, shows that the target lost its requests.
  double m_DropShare = 0.25;
  std::uint32_t m_DropMinimum = 4;
  /// Each restart adds one penalty, which halves in this time.
  Millis m_PenaltyHalfLife{30000};
  /// Pause after a failed connection; a load report ends it early.
  Millis m_UnreachablePause{1000};
  /// Above this the target gets no work until the penalty has decayed.
  double m_PenaltyLimit = 2.5;
};

/// The owner's exact knowledge of one target.
struct TargetState {
  TargetId m_Id;
  std::uint32_t m_MaxConcurrent = 16;
  std::uint32_t m_ColdLimit = 2;
  WarmthOptions m_Options;
  /// Own running requests.
  std::uint32_t m_Running = 0;
  /// Requests of former owners that may still run.
  std::uint32_t m_Residual = 0;
  /// Set by the caller for an engine that another owner had: no dispatch before
  /// the first load report, because a former owner that froze has not reported
  /// its last dispatches.
  bool m_AwaitReport = false;
  /// True once this owner has dispatched to the target.
  bool m_Started = false;
  /// Present limit of the ramp; m_MaxConcurrent or more when warm.
  std::uint32_t m_RampLimit = 0;
  /// Completions in time at the present limit.
  std::uint32_t m_Evidence = 0;
  std::uint32_t m_ConsecutiveSlow = 0;
  /// Restart identity from the last load report; empty before the first.
  std::string m_Instance;
  /// Number of the present stage of the ramp, which changes with each limit and
  /// each cold start; requests dispatched in an earlier stage are no evidence.
  std::uint32_t m_Stage = 0;
  double m_Penalty = 0;
  Millis m_PenaltyAt;
  /// No dispatch before this time: the last connection failed.
  Millis m_TryAgainAt;
};

/// A target's own load report: GET /load.
struct LoadReport {
  std::string m_Instance;
  std::uint32_t m_Running = 0;
  /// When the owner read it.
  Millis m_ReadAt;
  /// The owner's own count when the target made the report, as far as known.
  std::uint32_t m_OwnRunningThen = 0;
};

/// Starts the state of a newly owned target: cold, unless residual requests
/// show how many it handles at present.
TargetState makeTargetState(const TargetSettings &Settings,
                            std::uint32_t Residual);

/// Prepares a target that this node owned before and gains again, also after an
/// interrupted lease (RouterLease::m_HeldSince changed): others may have
/// dispatched meanwhile, so residual counts and the first report hold anew.
void regainTarget(TargetState &State);

/// Own and residual running requests.
std::uint32_t targetLoad(const TargetState &State);

bool isCold(const TargetState &State);

/// True while the flap penalty keeps work away.
bool isDamped(const TargetState &State, Millis Now);

/// True when one more request may run: within the pool's bound limit, the
/// stated concurrency and the cold ramp, and not damped.
bool admits(const TargetState &State, std::uint32_t BoundLimit, Millis Now);

/// Counts a request; returns the stage to hand back in endRequest.
std::uint32_t startRequest(TargetState &State);

/// Takes the time to the first token of a request as soon as it is known; a
/// request dispatched in an earlier stage says nothing. Returns true when the
/// target was found cold.
bool noteFirstToken(TargetState &State, std::uint32_t Stage, Millis FirstToken,
                    Millis PoolMedian);

/// Ends a request. FirstToken is empty when there was none; PoolMedian is the
/// pool's median first-token time (0 while unknown). Returns true when the
/// target was found cold.
bool endRequest(TargetState &State, std::uint32_t Stage, bool Complete,
                std::optional<Millis> FirstToken, Millis PoolMedian);

/// Takes a load report; returns true when it shows that the target restarted
/// or lost its cache, so that its prefix table must be cleared.
bool takeLoadReport(TargetState &State, const LoadReport &Report, Millis Now);

/// Starts the ramp over without a penalty, after slow first tokens.
void restartRamp(TargetState &State);

/// Starts the ramp over after a restart, with a flap penalty.
void markCold(TargetState &State, Millis Now);

/// Notes a failed connection or broken streams: no work for a pause, then the
/// ramp from the cold limit. The penalty follows only from a new identity, so
/// that one restart is not counted twice.
void noteUnreachable(TargetState &State, Millis Now);

/// Takes the residual count of a later grant. Until the first own dispatch the
/// former owner may still have dispatched, so the newest count holds; after
/// that it can only fall, and the target's own report may already show fewer.
void setResidual(TargetState &State, std::uint32_t Residual);

} // namespace vanillaferry
