#include "vanillaferry/process/rollout_judgement.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace vanillaferry {

namespace {

/// Likelihood ratio of 1,000:1 at which a version counts as bad.
const double BadLogOdds = std::log(1000);
/// The last seconds alone must show more (10,000:1), as they are judged again
/// with each sum.
const double RecentBadLogOdds = std::log(10000);

/// Failures at the former versions up to this share do not excuse failures of
/// the new one: former targets that fail themselves must not hide a bad
/// version.
constexpr double MaxFormerFailures = 0.1;
/// Shares below these are not believed from a limited number of answers.
constexpr double MinFailures = 0.005;
constexpr double MinSlow = 0.02;
/// A route whose former versions gave fewer answers has no usable median.
constexpr std::uint64_t MinFormerAnswers = 20;
/// An answer is slow beyond this multiple of the former median, and this much
/// above it.
constexpr double SlowFactor = 2.5;
constexpr double SlowMargin = 50;

/// Parts of the good answers that a bad version spoils. Cache misses of new
/// targets make some answers slower, which the smallest part for slow answers
/// must not fit.
constexpr std::array<double, 3> FailureParts{0.08, 0.25, 0.6};
constexpr std::array<double, 2> SlowParts{0.25, 0.6};

constexpr std::uint64_t ManyBad = 10;

/// Sums are kept at this distance, and for this long: a stream takes 2 s.
constexpr Millis SumInterval{1000};
constexpr std::size_t MaxSums = 4;

struct Counts {
  std::uint64_t m_All = 0;
  std::uint64_t m_Bad = 0;

  void add(const Counts &Other) {
    m_All += Other.m_All;
    m_Bad += Other.m_Bad;
  }
  double share() const {
    return m_All == 0 ? 0
                      : static_cast<double>(m_Bad) / static_cast<double>(m_All);
  }
};

/// A share that the true one hardly exceeds, about two standard deviations
/// above the one seen.
double upperShare(const Counts &Seen) {
  double Bad = static_cast<double>(Seen.m_Bad);
  return std::min(1.0, (Bad + 2 * std::sqrt(Bad) + 2) /
                           (static_cast<double>(Seen.m_All) + 4));
}

/// Log of the likelihood ratio between versions that spoil one of the parts,
/// each equally likely, and one like the former ones (Wald's sequential test
/// with a mixture as the alternative).
template <std::size_t Size>
double logOdds(const Counts &Seen, double Usual,
               const std::array<double, Size> &Parts) {
  double Bad = static_cast<double>(Seen.m_Bad);
  double Good = static_cast<double>(Seen.m_All - Seen.m_Bad);
  std::array<double, Size> Logs{};
  for (std::size_t I = 0; I < Size; ++I) {
    double Spoiled = Usual + (1 - Usual) * Parts[I];
    Logs[I] = Bad * std::log(Spoiled / Usual) +
              Good * std::log((1 - Spoiled) / (1 - Usual));
  }
  double Largest = *std::max_element(Logs.begin(), Logs.end());
  double Sum = 0;
  for (double Each : Logs)
    Sum += std::exp(Each - Largest);
  return Largest + std::log(Sum / static_cast<double>(Size));
}

std::uint64_t countOf(const std::vector<TimeBucket> &Times) {
  std::uint64_t Count = 0;
  for (const TimeBucket &Each : Times)
    Count += Each.m_Count;
  return Count;
}

/// Upper border of the bucket in which the median lies.
double upperMedian(const std::vector<TimeBucket> &Times, std::uint64_t Count) {
  std::uint64_t Before = 0;
  for (const TimeBucket &Each : Times) {
    Before += Each.m_Count;
    if (Before * 2 >= Count)
      return rolloutBucketStart(Each.m_Index + 1);
  }
  return 0;
}

/// Answers, and requests that run for so long that their answers will be slow.
Counts slowBeyond(const VersionEvidence &Seen, double Limit) {
  Counts Slow;
  for (const TimeBucket &Each : Seen.m_Times) {
    Slow.m_All += Each.m_Count;
    if (rolloutBucketStart(Each.m_Index) >= Limit)
      Slow.m_Bad += Each.m_Count;
  }
  for (const TimeBucket &Each : Seen.m_Running)
    if (rolloutBucketStart(Each.m_Index) >= Limit) {
      Slow.m_All += Each.m_Count;
      Slow.m_Bad += Each.m_Count;
    }
  return Slow;
}

/// Answers of one route, or of all.
struct Comparison {
  Counts m_NewFailures;
  Counts m_FormerFailures;
  Counts m_NewSlow;
  Counts m_FormerSlow;

  void add(const Comparison &Other) {
    m_NewFailures.add(Other.m_NewFailures);
    m_FormerFailures.add(Other.m_FormerFailures);
    m_NewSlow.add(Other.m_NewSlow);
    m_FormerSlow.add(Other.m_FormerSlow);
  }
  std::uint64_t bad() const { return m_NewFailures.m_Bad + m_NewSlow.m_Bad; }
};

Comparison compare(const RouteEvidence &Route) {
  Comparison Result;
  Result.m_NewFailures = {Route.m_New.m_Answers, Route.m_New.m_Failures};
  Result.m_FormerFailures = {Route.m_Others.m_Answers,
                             Route.m_Others.m_Failures};
  std::uint64_t Count = countOf(Route.m_Others.m_Times);
  if (Count < MinFormerAnswers)
    return Result;
  double Median = upperMedian(Route.m_Others.m_Times, Count);
  double Limit = std::max(SlowFactor * Median, Median + SlowMargin);
  Result.m_NewSlow = slowBeyond(Route.m_New, Limit);
  Result.m_FormerSlow = slowBeyond(Route.m_Others, Limit);
  return Result;
}

/// Raises the verdict to what this comparison shows.
void judge(RolloutVerdict &Verdict, const Comparison &Seen,
           const std::string &Where) {
  double Failing = std::clamp(upperShare(Seen.m_FormerFailures), MinFailures,
                              MaxFormerFailures);
  double Slow = std::clamp(upperShare(Seen.m_FormerSlow), MinSlow, 0.5);
  double FailureOdds = logOdds(Seen.m_NewFailures, Failing, FailureParts);
  // Times also differ for reasons other than the version, such as empty prefix
  // caches, so slowness needs ten times the evidence.
  double SlowOdds = logOdds(Seen.m_NewSlow, Slow, SlowParts) - std::log(10);
  double Odds = std::max(FailureOdds, SlowOdds);
  if (Odds <= Verdict.m_LogOdds)
    return;
  const Counts &Counted =
      FailureOdds >= SlowOdds ? Seen.m_NewFailures : Seen.m_NewSlow;
  Verdict.m_LogOdds = Odds;
  Verdict.m_Why = std::to_string(Counted.m_Bad) + " of " +
                  std::to_string(Counted.m_All) + " answers " +
                  (FailureOdds >= SlowOdds ? "failed" : "were slow") + Where;
}

/// At least ten bad answers, and twice the former share and 10 in 100 more.
/// With 5 in 100, good versions with empty prefix caches were rolled back.
bool isFarWorse(const Comparison &All) {
  // Times are missing for answers of the cold start, so shares of failures and
  // of slow answers do not add up.
  Counts New{All.m_NewFailures.m_All, All.bad()};
  double Former = std::min(All.m_FormerFailures.share(), MaxFormerFailures) +
                  All.m_FormerSlow.share();
  double Share = New.share();
  constexpr double Beyond = 0.1;
  return All.bad() >= ManyBad && Share >= 2 * Former + Beyond;
}

void addTimes(std::vector<TimeBucket> &Sum,
              const std::vector<TimeBucket> &Times) {
  for (const TimeBucket &Each : Times) {
    std::vector<TimeBucket>::iterator Found = std::lower_bound(
        Sum.begin(), Sum.end(), Each.m_Index,
        [](const TimeBucket &B, std::uint32_t I) { return B.m_Index < I; });
    if (Found == Sum.end() || Found->m_Index != Each.m_Index)
      Found = Sum.insert(Found, TimeBucket{Each.m_Index, 0});
    Found->m_Count += Each.m_Count;
  }
}

/// A report's failures never count as more than its answers.
void addVersion(VersionEvidence &Sum, const VersionEvidence &Each) {
  Sum.m_Answers += Each.m_Answers;
  Sum.m_Failures += std::min(Each.m_Failures, Each.m_Answers);
  addTimes(Sum.m_Times, Each.m_Times);
  addTimes(Sum.m_Running, Each.m_Running);
}

/// The failures of the new version since an earlier sum, with all answers of
/// the former versions.
RolloutSums since(RolloutSums Sums, const RolloutSums &Earlier) {
  for (const std::pair<const std::string, RouteEvidence> &Row :
       Earlier.m_Routes) {
    std::map<std::string, RouteEvidence>::iterator Found =
        Sums.m_Routes.find(Row.first);
    if (Found == Sums.m_Routes.end())
      continue;
    VersionEvidence &New = Found->second.m_New;
    const VersionEvidence &Before = Row.second.m_New;
    New.m_Answers -= std::min(New.m_Answers, Before.m_Answers);
    New.m_Failures -= std::min(New.m_Failures, Before.m_Failures);
    // Only failures: the first answers of new targets are slower for a while,
    // and few of them looked like a bad version in trials.
    New.m_Times.clear();
    New.m_Running.clear();
  }
  return Sums;
}

} // namespace

void noteRolloutSums(RolloutEvidence &Evidence, Millis Now) {
  std::deque<std::pair<Millis, RolloutSums>> &Earlier = Evidence.m_Earlier;
  if (!Earlier.empty() && Now - Earlier.back().first < SumInterval)
    return;
  Earlier.emplace_back(Now, sumRolloutEvidence(Evidence));
  if (Earlier.size() > MaxSums)
    Earlier.pop_front();
}

RolloutVerdict judgeRollout(const RolloutEvidence &Evidence,
                            const RolloutSums &Sums) {
  RolloutVerdict All = judgeRollout(Sums);
  for (const std::pair<Millis, RolloutSums> &Each : Evidence.m_Earlier) {
    RolloutVerdict Last = judgeRollout(since(Sums, Each.second));
    All.m_IsBad = All.m_IsBad || Last.m_LogOdds >= RecentBadLogOdds;
    if (Last.m_LogOdds <= All.m_LogOdds)
      continue;
    All.m_LogOdds = Last.m_LogOdds;
    All.m_Why = Last.m_Why;
  }
  return All;
}

bool recordRolloutReport(RolloutEvidence &Evidence, const RolloutReport &Report,
                         Millis Now) {
  if (Report.m_Number != Evidence.m_Number)
    return false;
  std::pair<NodeId, Incarnation> Key(Report.m_Node, Report.m_Incarnation);
  std::map<std::pair<NodeId, Incarnation>, HeldReport>::iterator Held =
      Evidence.m_Reports.find(Key);
  if (Held == Evidence.m_Reports.end()) {
    if (Evidence.m_Reports.size() >= MaxRolloutReports)
      return false;
    Evidence.m_Reports.emplace(Key, HeldReport{Report, Now});
    return true;
  }
  if (Report.m_Sequence <= Held->second.m_Report.m_Sequence)
    return false;
  Held->second = HeldReport{Report, Now};
  return true;
}

RolloutSums sumRolloutEvidence(const RolloutEvidence &Evidence) {
  RolloutSums Sums;
  for (const std::pair<const std::pair<NodeId, Incarnation>, HeldReport> &Row :
       Evidence.m_Reports) {
    const RolloutReport &Report = Row.second.m_Report;
    Sums.m_SentNew += Report.m_SentNew;
    Sums.m_SentOthers += Report.m_SentOthers;
    for (const RouteEvidence &Route : Report.m_Routes) {
      RouteEvidence &Sum = Sums.m_Routes[Route.m_Route];
      Sum.m_Route = Route.m_Route;
      addVersion(Sum.m_New, Route.m_New);
      addVersion(Sum.m_Others, Route.m_Others);
    }
  }
  return Sums;
}

RolloutVerdict judgeRollout(const RolloutSums &Sums) {
  RolloutVerdict Verdict;
  Comparison All;
  for (const std::pair<const std::string, RouteEvidence> &Row : Sums.m_Routes) {
    Comparison Route = compare(Row.second);
    judge(Verdict, Route, " on route " + Row.first);
    All.add(Route);
  }
  judge(Verdict, All, " on all routes");
  Verdict.m_Bad = All.bad();
  Verdict.m_Good =
      All.m_NewFailures.m_All - std::min(All.m_NewFailures.m_All, All.bad());
  Verdict.m_IsBad = Verdict.m_LogOdds >= BadLogOdds || isFarWorse(All);
  if (Verdict.m_Why.empty())
    Verdict.m_Why = std::to_string(Verdict.m_Bad) + " of " +
                    std::to_string(All.m_NewFailures.m_All) +
                    " answers failed or were slow";
  return Verdict;
}

} // namespace vanillaferry
