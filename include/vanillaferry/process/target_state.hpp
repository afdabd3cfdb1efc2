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
  /// Assumed decrease of the other owners' load, as a share per second of age
  /// of the total, until the pool's own completion rate is known.
  double m_DeclinePerSecond = 0.1;
  /// The measured completion rate is multiplied by this.
  double m_DeclineSafety = 1.0;
  /// Completions since a total are assumed to be Poisson distributed; this many
  /// standard deviations are added to the expected number.
  double m_DeclineSigmas = 4.0;
  /// A router renews early when its count of a pool fell by more than this
  /// share.
  double m_ReportFall = 0.02;
  /// Least time between two early renewals.
  Millis m_ReportSpacing{100};
};

/// One owner's data for a lower bound of the pool's mean load.
struct PoolMean {
  LoadBoundOptions m_Options;
  /// Running requests at the other owners, and the earliest time for which the
  /// number may hold.
  std::uint32_t m_Others = 0;
  Millis m_OthersAt;
  /// When the renewal behind m_Others was sent; older grants are ignored.
  Millis m_GrantSentAt;
  /// Targets of other owners that failed since, and the most load that they
  /// had.
  std::vector<TargetId> m_LostTargets;
  std::uint32_t m_LostLoad = 0;
  Millis m_LostAt;
  /// Own count in the last renewal sent.
  std::uint32_t m_Reported = 0;
  Millis m_ReportedAt;
  /// Completions per second and running request; exponentially smoothed.
  double m_CompletionRate = 0;
  Millis m_RateAt;
  std::uint32_t m_RateCompletions = 0;
};

/// Number of targets that the pool's load is divided by. Routers' views of the
/// pool may differ for seconds, and totals may still contain requests at
/// targets that this view has lost; so a smaller number is used only after a
/// hold time.
struct TargetCount {
  /// Hold time after a change that routers see at different times, such as one
  /// of the VM list.
  Millis m_Hold{4000};
  /// Hold time after a change of the document, which every router applies by
  /// its next renewal: the renew interval and two load updates.
  Millis m_DocumentHold{1100};
  Millis m_PresentHold{4000};
  /// Targets in service, and the greatest number within the hold time.
  std::size_t m_Current = 0;
  std::size_t m_Divisor = 0;
  Millis m_ChangedAt;
};

/// Sets the number of targets in service. FromDocument is true when an edit of
/// the document changed it, false when the VM list did.
void setTargetCount(TargetCount &Count, std::size_t Targets, bool FromDocument,
                    Millis Now);
std::size_t targetDivisor(const TargetCount &Count, Millis Now);

/// Applies a pool total from a grant. OwnReported is this node's count in the
/// renewal that the grant answers; SentAt is when that renewal was sent.
void takePoolTotal(PoolMean &Mean, const PoolTotal &Total,
                   std::uint32_t OwnReported, Millis SentAt);

/// Records a completed request, for the completion rate.
void noteCompletion(PoolMean &Mean, std::uint32_t OwnRunning, Millis Now);

/// Records that a renewal with this count was sent.
void noteReported(PoolMean &Mean, std::uint32_t OwnRunning, Millis Now);

/// Records that a target of another owner failed, seen from a stream that runs
/// there. At most LoadBound requests ran there; they are subtracted from the
/// lower bound until a total arrives that was formed after the owner's early
/// report. An early renewal to fetch that total becomes due.
void noteLostTarget(PoolMean &Mean, const TargetId &Target,
                    std::uint32_t LoadBound, Millis Now);

/// True when a renewal should be sent early, because the own count fell or a
/// target of another owner failed.
bool earlyReportDue(const PoolMean &Mean, std::uint32_t OwnRunning, Millis Now);

/// Lower bound of the number of requests running in the pool, without the one
/// to be admitted.
double poolFloor(const PoolMean &Mean, std::uint32_t OwnRunning, Millis Now);

/// Most running requests that a target may have now: ceil(B * M) + A, with B
/// the pool's bound, A its allowance and M the lower bound of the mean
/// including the request to be admitted. For long requests (Priority::Batch) B
/// is lowered by the inner margin. At least 1.
std::uint32_t boundLimit(const PoolSettings &Settings, const PoolMean &Mean,
                         std::uint32_t OwnRunning, std::size_t Targets,
                         Priority Kind, Millis Now);

struct WarmthOptions {
  /// A first-token time above this multiple of the pool's median is a sign of
  /// a cold target.
  double m_SlowMultiple = 4.0;
  /// A first-token time up to this multiple counts as evidence for a higher
  /// limit.
  double m_WarmMultiple = 1.5;
  /// After this many slow first tokens in a row the target counts as cold.
  std::uint32_t m_SlowInRow = 3;
  /// A reported load below this share of the owner's own count, when that is
  /// at least m_DropMinimum, shows that the target lost its requests.
  double m_DropShare = 0.25;
  std::uint32_t m_DropMinimum = 4;
  /// Each restart adds 1 to the flap penalty, which decays with this half-life.
  Millis m_PenaltyHalfLife{30000};
  /// Pause after a failed connection; a load report ends it early.
  Millis m_UnreachablePause{1000};
  /// Above this the target gets no work until the penalty has decayed.
  double m_PenaltyLimit = 2.5;
};

/// The owner's state of one target.
struct TargetState {
  TargetId m_Id;
  std::uint32_t m_MaxConcurrent = 16;
  std::uint32_t m_ColdLimit = 2;
  WarmthOptions m_Options;
  /// Own running requests.
  std::uint32_t m_Running = 0;
  /// Requests of former owners that may still run.
  std::uint32_t m_Residual = 0;
  /// Set by the caller for an engine that had another owner: nothing is
  /// dispatched before the first load report, because a former owner that froze
  /// has not reported its last dispatches.
  bool m_AwaitReport = false;
  /// True once this owner has dispatched to the target.
  bool m_Started = false;
  /// Current limit of the ramp; m_MaxConcurrent or more when warm.
  std::uint32_t m_RampLimit = 0;
  /// Fast first tokens at the current limit.
  std::uint32_t m_Evidence = 0;
  /// Slow first tokens in a row.
  std::uint32_t m_ConsecutiveSlow = 0;
  /// Restart identity from the last load report; empty before the first.
  std::string m_Instance;
  /// Number of the current stage of the ramp, which changes with each limit and
  /// each cold start; requests dispatched in an earlier stage are not evidence.
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

/// Initial state of a newly owned target: cold, unless residual requests show
/// that it handles more.
TargetState makeTargetState(const TargetSettings &Settings,
                            std::uint32_t Residual);

/// Resets a target that this node owned before and owns again, also after an
/// interrupted lease (RouterLease::m_HeldSince changed). Others may have
/// dispatched to it meanwhile, so the residual count is accepted again and the
/// first load report is awaited.
void regainTarget(TargetState &State);

/// Own and residual running requests.
std::uint32_t targetLoad(const TargetState &State);

bool isCold(const TargetState &State);

/// True while the flap penalty is above its limit.
bool isDamped(const TargetState &State, Millis Now);

/// True when one more request may run: within the pool's bound, the configured
/// concurrency and the ramp, and the target is neither damped, paused nor
/// waiting for its first load report.
bool admits(const TargetState &State, std::uint32_t BoundLimit, Millis Now);

/// Counts a started request; returns the stage to pass to endRequest.
std::uint32_t startRequest(TargetState &State);

/// Records the time to the first token of a request. It is ignored for a
/// request dispatched in an earlier stage. Returns true when the target turned
/// out to be cold.
bool noteFirstToken(TargetState &State, std::uint32_t Stage, Millis FirstToken,
                    Millis PoolMedian);

/// Ends a request. FirstToken is empty when there was none; PoolMedian is the
/// pool's median first-token time (0 while unknown). Returns true when the
/// target turned out to be cold.
bool endRequest(TargetState &State, std::uint32_t Stage, bool Complete,
                std::optional<Millis> FirstToken, Millis PoolMedian);

/// Applies a load report. Returns true when it shows that the target restarted
/// or lost its requests, so that its prefix table must be cleared.
bool takeLoadReport(TargetState &State, const LoadReport &Report, Millis Now);

/// Restarts the ramp without a penalty, after slow first tokens.
void restartRamp(TargetState &State);

/// Restarts the ramp after a restart of the target, with a flap penalty.
void markCold(TargetState &State, Millis Now);

/// Records a failed connection or broken streams: no work for a pause, then the
/// ramp from the cold limit. It adds no flap penalty, which only a new instance
/// identity does, so that one restart is not counted twice.
void noteUnreachable(TargetState &State, Millis Now);

/// Applies the residual count of a later grant. Before the first own dispatch
/// the former owner may have dispatched more, so the newest count is used;
/// after it the count can only fall, and a load report may already have shown
/// fewer.
void setResidual(TargetState &State, std::uint32_t Residual);

} // namespace vanillaferry
