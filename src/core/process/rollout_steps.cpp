#include "vanillaferry/process/rollout_judgement.hpp"

#include <algorithm>
#include <cmath>

namespace vanillaferry {

namespace {

/// A rollout does not go on while a version is this likely to be bad (8:1).
const double SuspectLogOdds = std::log(8);

/// Good answers that are needed, fewer where the service has little traffic.
constexpr double EnoughGood = 20;

// Shares of the exposure limit. The canary takes half of it; Shift may use all
// but a margin for gateways that restart and get their part again.
constexpr double CanaryShare = 0.5;
constexpr double CanarySlack = 0.5;
constexpr double ShiftShare = 0.95;
constexpr double ShiftSlack = 0.8;
constexpr double PerMille = 1000;

std::uint32_t perMille(double Share) {
  return static_cast<std::uint32_t>(std::floor(Share * PerMille));
}

Millis partOf(Millis Duration, double Part) {
  return Millis(static_cast<std::int64_t>(
      std::floor(static_cast<double>(Duration.m_Value) * Part)));
}

double answeredShare(std::uint64_t Answers, std::uint64_t Sent) {
  return Sent == 0 ? 1
                   : std::min(1.0, static_cast<double>(Answers) /
                                       static_cast<double>(Sent));
}

/// Enough requests were answered well. Requests that still run count against
/// the version only when the former versions answer clearly more of theirs.
bool hasEnoughGood(RolloutStage Stage, const RolloutSums &Sums,
                   const RolloutVerdict &Verdict, const RolloutView &View,
                   const RolloutBounds &Bounds) {
  double All = static_cast<double>(Sums.m_SentNew + Sums.m_SentOthers);
  if (All == 0)
    return View.m_Listed;
  std::uint64_t NewAnswers = 0;
  std::uint64_t OtherAnswers = 0;
  for (const std::pair<const std::string, RouteEvidence> &Row : Sums.m_Routes) {
    NewAnswers += Row.second.m_New.m_Answers;
    OtherAnswers += Row.second.m_Others.m_Answers;
  }
  double Usual = answeredShare(OtherAnswers, Sums.m_SentOthers);
  double Credit = Bounds.m_ExposureShare * CanaryShare * All +
                  Bounds.m_ExposureSlack * CanarySlack;
  double Needed = std::min(EnoughGood, std::min(All, Credit) * Usual / 2);
  // Many requests of Shift have just been sent.
  double Answered = Stage == RolloutStage::Canary ? 0.75 : 0.25;
  return static_cast<double>(Verdict.m_Good) >= std::max(Needed, 1.0) &&
         answeredShare(NewAnswers, Sums.m_SentNew) >= Usual * Answered;
}

/// Times are not judged before, because new targets start with empty prefix
/// caches. A version whose answers are all slow is still rolled back within
/// rollback_ms of the 50th: the canary takes a second and more to send 50.
Millis warmUpTime(Millis Duration) {
  constexpr Millis Longest{5000};
  return std::min(Longest, partOf(Duration, 0.4));
}

RolloutSums withoutTimes(RolloutSums Sums) {
  for (std::pair<const std::string, RouteEvidence> &Row : Sums.m_Routes)
    for (VersionEvidence *Each : {&Row.second.m_New, &Row.second.m_Others}) {
      Each->m_Times.clear();
      Each->m_Running.clear();
    }
  return Sums;
}

const RolloutReport *reportOf(const RolloutEvidence &Evidence,
                              const LeasedGateway &Gateway) {
  std::map<std::pair<NodeId, Incarnation>, HeldReport>::const_iterator Found =
      Evidence.m_Reports.find({Gateway.m_Node, Gateway.m_Incarnation});
  return Found == Evidence.m_Reports.end() ? nullptr : &Found->second.m_Report;
}

/// Every gateway says that it applies Shift and that its former streams ended.
bool formerStreamsEnded(const RolloutEvidence &Evidence,
                        const RolloutView &View) {
  if (!View.m_LeasesKnown)
    return false;
  for (const LeasedGateway &Each : View.m_Gateways) {
    if (Each.m_Former)
      continue;
    const RolloutReport *Report = reportOf(Evidence, Each);
    if (!Report || Report->m_Applied != RolloutStage::Shift ||
        Report->m_FormerStreams > 0)
      return false;
  }
  return true;
}

/// Nothing is sent to the former versions any more, and, until the time limit,
/// nothing runs there.
bool mayAnswerCompleted(const Rollout &State, const RolloutEvidence &Evidence,
                        const RolloutView &View) {
  if (!View.m_LeasesKnown)
    return false;
  bool AtLimit = View.m_Age >= rollbackLimit(State.m_Duration);
  for (const LeasedGateway &Each : View.m_Gateways) {
    const RolloutReport *Report = reportOf(Evidence, Each);
    bool Applied = Report && Report->m_Applied == RolloutStage::Completed;
    if (!Applied && Each.m_AckedVersion < State.m_Changed)
      return false;
    if (!AtLimit && !Each.m_Former && (!Applied || Report->m_FormerRunning > 0))
      return false;
  }
  return true;
}

std::optional<RolloutStep> step(RolloutStage Stage, std::string Reason) {
  return RolloutStep{Stage, false, std::move(Reason)};
}

} // namespace

Millis shiftTime(Millis Duration) {
  // A stream lasts some 2 s; reports, the commits and acknowledgements of two
  // stages take another 1.6 s. The aim is to answer by 0.8 of the duration.
  constexpr Millis ShiftLength{3600};
  Millis Latest = partOf(Duration, 0.8) - ShiftLength;
  return std::max(partOf(Duration, 0.4),
                  std::min(partOf(Duration, 0.6), Latest));
}

Millis rollbackLimit(Millis Duration) { return partOf(Duration, 0.97); }

std::optional<RolloutStep> nextRolloutStep(const Rollout &State,
                                           const RolloutEvidence &Evidence,
                                           const RolloutView &View,
                                           const RolloutBounds &Bounds) {
  if (State.m_Stage == RolloutStage::RolledBack || State.m_InForce)
    return std::nullopt;
  if (State.m_Stage == RolloutStage::Completed) {
    if (!mayAnswerCompleted(State, Evidence, View))
      return std::nullopt;
    return RolloutStep{RolloutStage::Completed, true, State.m_Reason};
  }
  if (!View.m_InManifest)
    return step(RolloutStage::RolledBack, "the service left the manifest");
  RolloutSums Sums = sumRolloutEvidence(Evidence);
  if (View.m_Age < warmUpTime(State.m_Duration))
    Sums = withoutTimes(std::move(Sums));
  RolloutVerdict Verdict = judgeRollout(Evidence, Sums);
  if (Verdict.m_IsBad)
    return step(RolloutStage::RolledBack, Verdict.m_Why);
  if (View.m_Age >= rollbackLimit(State.m_Duration))
    return step(RolloutStage::RolledBack,
                "not completed by its time limit: " + Verdict.m_Why);
  bool Promising = Verdict.m_LogOdds < SuspectLogOdds &&
                   hasEnoughGood(State.m_Stage, Sums, Verdict, View, Bounds);
  if (!Promising)
    return std::nullopt;
  if (State.m_Stage == RolloutStage::Canary) {
    if (View.m_Age < shiftTime(State.m_Duration))
      return std::nullopt;
    return step(RolloutStage::Shift, Verdict.m_Why);
  }
  if (!formerStreamsEnded(Evidence, View) && View.m_StageAge < MaxShift &&
      View.m_Age < partOf(State.m_Duration, 0.9))
    return std::nullopt;
  return step(RolloutStage::Completed, Verdict.m_Why);
}

RolloutOrder makeRolloutOrder(const PoolId &Service, const Rollout &State,
                              const RolloutBounds &Bounds, UnixMillis Now) {
  RolloutOrder Order;
  Order.m_Service = Service;
  Order.m_Number = State.m_Number;
  Order.m_Version = State.m_Version;
  for (const SoftwareVersion &Each : State.m_Former)
    Order.m_Former.push_back({Each});
  Order.m_Stage = State.m_Stage;
  Order.m_Age = Millis(
      std::max<std::int64_t>(0, Now.m_Value - State.m_StartedAt.m_Value));
  Order.m_Duration = State.m_Duration;
  Order.m_Report = isInProgress(State);
  if (isFinal(State.m_Stage))
    return Order;
  bool Shifts = State.m_Stage == RolloutStage::Shift;
  Order.m_SharePerMille =
      perMille(Bounds.m_ExposureShare * (Shifts ? ShiftShare : CanaryShare));
  Order.m_Slack = static_cast<std::uint32_t>(
      std::floor(Bounds.m_ExposureSlack * (Shifts ? ShiftSlack : CanarySlack)));
  Order.m_HoldStreams = Shifts;
  if (Shifts)
    Order.m_OthersPerMille = perMille(Bounds.m_ExposureShare * CanaryShare);
  return Order;
}

bool isInProgress(const Rollout &State) {
  return !isFinal(State.m_Stage) ||
         (State.m_Stage == RolloutStage::Completed && !State.m_InForce);
}

bool repeatsRollout(const Rollout &State, const SoftwareVersion &Version,
                    Millis Duration, UnixMillis Now) {
  if (State.m_Version != Version || State.m_Duration != Duration)
    return false;
  return isInProgress(State) ||
         Now.m_Value - State.m_StageAt.m_Value < RolloutRepeatTime.m_Value;
}

} // namespace vanillaferry
