#include "vanillaferry/process/target_state.hpp"

#include <algorithm>
#include <cmath>

namespace vanillaferry {

namespace {

/// Live routers renew within this time. An older report may be of a frozen
/// router, whose requests end without being reported.
constexpr Millis OrdinaryReportAge{1300};
/// Time after which the owner of a failed target has reported: the report
/// spacing and the time of one message.
constexpr Millis LossReportTime{150};
/// Completions are averaged over windows of this length.
constexpr Millis RateWindow{2000};

double penaltyAt(const TargetState &State, Millis Now) {
  double Halves =
      static_cast<double>((Now - State.m_PenaltyAt).m_Value) /
      static_cast<double>(State.m_Options.m_PenaltyHalfLife.m_Value);
  return State.m_Penalty * std::exp2(-std::max(0.0, Halves));
}

void growRamp(TargetState &State) {
  ++State.m_Evidence;
  if (State.m_Evidence < State.m_RampLimit)
    return;
  State.m_RampLimit = std::min(State.m_RampLimit * 2, State.m_MaxConcurrent);
  State.m_Evidence = 0;
  ++State.m_Stage;
}

} // namespace

void setTargetCount(TargetCount &Count, std::size_t Targets, bool FromDocument,
                    Millis Now) {
  Count.m_Divisor = std::max(targetDivisor(Count, Now), Targets);
  if (Targets != Count.m_Current) {
    Count.m_ChangedAt = Now;
    Count.m_PresentHold = FromDocument ? Count.m_DocumentHold : Count.m_Hold;
  }
  Count.m_Current = Targets;
}

std::size_t targetDivisor(const TargetCount &Count, Millis Now) {
  if (Now - Count.m_ChangedAt >= Count.m_PresentHold)
    return Count.m_Current;
  return std::max(Count.m_Current, Count.m_Divisor);
}

void takePoolTotal(PoolMean &Mean, const PoolTotal &Total,
                   std::uint32_t OwnReported, Millis SentAt) {
  if (SentAt < Mean.m_GrantSentAt)
    return;
  Mean.m_GrantSentAt = SentAt;
  if (SentAt >= Mean.m_LostAt + LossReportTime) {
    Mean.m_LostTargets.clear();
    Mean.m_LostLoad = 0;
  }
  Mean.m_Others =
      Total.m_Running > OwnReported ? Total.m_Running - OwnReported : 0;
  Millis Excess(std::max<std::int64_t>(0, Total.m_Age.m_Value -
                                              OrdinaryReportAge.m_Value));
  Mean.m_OthersAt = SentAt - Excess;
}

void noteCompletion(PoolMean &Mean, std::uint32_t OwnRunning, Millis Now) {
  ++Mean.m_RateCompletions;
  std::int64_t Elapsed = (Now - Mean.m_RateAt).m_Value;
  if (Elapsed < RateWindow.m_Value)
    return;
  double Running = std::max<double>(1, OwnRunning);
  double Rate = Mean.m_RateCompletions * 1000.0 /
                (static_cast<double>(Elapsed) * Running);
  Mean.m_CompletionRate = Mean.m_CompletionRate == 0
                              ? Rate
                              : 0.8 * Mean.m_CompletionRate + 0.2 * Rate;
  Mean.m_RateCompletions = 0;
  Mean.m_RateAt = Now;
}

void noteReported(PoolMean &Mean, std::uint32_t OwnRunning, Millis Now) {
  Mean.m_Reported = OwnRunning;
  Mean.m_ReportedAt = Now;
}

void noteLostTarget(PoolMean &Mean, const TargetId &Target,
                    std::uint32_t LoadBound, Millis Now) {
  std::vector<TargetId> &Known = Mean.m_LostTargets;
  if (std::find(Known.begin(), Known.end(), Target) != Known.end())
    return;
  Known.push_back(Target);
  Mean.m_LostLoad += LoadBound;
  Mean.m_LostAt = Now;
}

bool earlyReportDue(const PoolMean &Mean, std::uint32_t OwnRunning,
                    Millis Now) {
  double Threshold = Mean.m_Reported * (1 - Mean.m_Options.m_ReportFall);
  bool Lost = Mean.m_LostLoad > 0 && Now - Mean.m_LostAt >= LossReportTime;
  return (Lost || OwnRunning < Threshold) &&
         Now - Mean.m_ReportedAt >= Mean.m_Options.m_ReportSpacing;
}

double poolFloor(const PoolMean &Mean, std::uint32_t OwnRunning, Millis Now) {
  const LoadBoundOptions &Options = Mean.m_Options;
  double Decline = Mean.m_CompletionRate > 0
                       ? Mean.m_CompletionRate * Options.m_DeclineSafety
                       : Options.m_DeclinePerSecond;
  double Age = static_cast<double>((Now - Mean.m_OthersAt).m_Value) / 1000.0;
  double Reported = Mean.m_Others * (1 - Options.m_ReportFall);
  double Ended = Reported * Decline * std::max(0.0, Age);
  double Floor = Reported - Ended - Mean.m_LostLoad -
                 Options.m_DeclineSigmas * std::sqrt(Ended);
  return OwnRunning + std::max(0.0, Floor);
}

std::uint32_t boundLimit(const PoolSettings &Settings, const PoolMean &Mean,
                         std::uint32_t OwnRunning, std::size_t Targets,
                         Priority Kind, Millis Now) {
  double Bound = Kind == Priority::Batch
                     ? std::max(1.0, Settings.m_Bound - Settings.m_InnerMargin)
                     : Settings.m_Bound;
  double Floor = (poolFloor(Mean, OwnRunning, Now) + 1) /
                 static_cast<double>(std::max<std::size_t>(1, Targets));
  // The tolerance keeps 1.25 * 8 from becoming 11 by rounding.
  return static_cast<std::uint32_t>(std::ceil(Bound * Floor - 1e-9)) +
         Settings.m_Allowance;
}

TargetState makeTargetState(const TargetSettings &Settings,
                            std::uint32_t Residual) {
  TargetState State;
  State.m_Id = Settings.m_Id;
  State.m_MaxConcurrent = std::max<std::uint32_t>(1, Settings.m_MaxConcurrent);
  State.m_ColdLimit =
      std::clamp<std::uint32_t>(Settings.m_ColdLimit, 1, State.m_MaxConcurrent);
  State.m_Residual = Residual;
  State.m_RampLimit =
      std::clamp(Residual, State.m_ColdLimit, State.m_MaxConcurrent);
  return State;
}

void regainTarget(TargetState &State) {
  State.m_Started = false;
  State.m_AwaitReport = true;
}

std::uint32_t targetLoad(const TargetState &State) {
  return State.m_Running + State.m_Residual;
}

bool isCold(const TargetState &State) {
  return State.m_RampLimit < State.m_MaxConcurrent;
}

bool isDamped(const TargetState &State, Millis Now) {
  return State.m_Penalty > 0 &&
         penaltyAt(State, Now) > State.m_Options.m_PenaltyLimit;
}

bool admits(const TargetState &State, std::uint32_t BoundLimit, Millis Now) {
  std::uint32_t Limit =
      std::min({BoundLimit, State.m_RampLimit, State.m_MaxConcurrent});
  return !State.m_AwaitReport && targetLoad(State) < Limit &&
         Now >= State.m_TryAgainAt && !isDamped(State, Now);
}

std::uint32_t startRequest(TargetState &State) {
  ++State.m_Running;
  State.m_Started = true;
  return State.m_Stage;
}

bool noteFirstToken(TargetState &State, std::uint32_t Stage, Millis FirstToken,
                    Millis PoolMedian) {
  if (Stage != State.m_Stage)
    return false;
  double Multiple = PoolMedian.m_Value > 0
                        ? static_cast<double>(FirstToken.m_Value) /
                              static_cast<double>(PoolMedian.m_Value)
                        : 0;
  if (Multiple <= State.m_Options.m_SlowMultiple) {
    State.m_ConsecutiveSlow = 0;
    if (Multiple <= State.m_Options.m_WarmMultiple && isCold(State))
      growRamp(State);
    return false;
  }
  if (++State.m_ConsecutiveSlow < State.m_Options.m_SlowInRow)
    return false;
  // A target that is slow at its lowest limit cannot be ramped down further.
  bool Lowest = State.m_RampLimit <= State.m_ColdLimit;
  restartRamp(State);
  return !Lowest;
}

bool endRequest(TargetState &State, std::uint32_t Stage, bool Complete,
                std::optional<Millis> FirstToken, Millis PoolMedian) {
  if (State.m_Running > 0)
    --State.m_Running;
  return Complete && FirstToken &&
         noteFirstToken(State, Stage, *FirstToken, PoolMedian);
}

void restartRamp(TargetState &State) {
  State.m_RampLimit = State.m_ColdLimit;
  State.m_Evidence = 0;
  State.m_ConsecutiveSlow = 0;
  ++State.m_Stage;
}

bool takeLoadReport(TargetState &State, const LoadReport &Report, Millis Now) {
  bool Restarted =
      !State.m_Instance.empty() && State.m_Instance != Report.m_Instance;
  bool First = State.m_Instance.empty();
  State.m_Instance = Report.m_Instance;
  State.m_TryAgainAt = Millis();
  std::uint32_t Foreign = Report.m_Running > Report.m_OwnRunningThen
                              ? Report.m_Running - Report.m_OwnRunningThen
                              : 0;
  bool Residuals = State.m_Residual > 0;
  // The first report after a change of owner also shows what the former owner
  // dispatched after its own last report.
  State.m_Residual = State.m_AwaitReport ? std::max(State.m_Residual, Foreign)
                                         : std::min(State.m_Residual, Foreign);
  State.m_AwaitReport = false;
  if (First) {
    // After a change of owner the limit follows what the target itself shows.
    if (Residuals && isCold(State))
      State.m_RampLimit =
          std::clamp(Report.m_Running, State.m_ColdLimit, State.m_RampLimit);
    return false;
  }
  bool Dropped =
      Report.m_OwnRunningThen >= State.m_Options.m_DropMinimum &&
      Report.m_Running < State.m_Options.m_DropShare * Report.m_OwnRunningThen;
  if (!Restarted && !Dropped)
    return false;
  markCold(State, Now);
  return true;
}

void markCold(TargetState &State, Millis Now) {
  State.m_Penalty = penaltyAt(State, Now) + 1;
  State.m_PenaltyAt = Now;
  restartRamp(State);
}

void setResidual(TargetState &State, std::uint32_t Residual) {
  State.m_Residual =
      State.m_Started ? std::min(State.m_Residual, Residual) : Residual;
}

void noteUnreachable(TargetState &State, Millis Now) {
  State.m_TryAgainAt = Now + State.m_Options.m_UnreachablePause;
  restartRamp(State);
}

} // namespace vanillaferry
