#include "vanillaferry/request/dispatch.hpp"
#include "vanillaferry/request/dispatch_probe.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <xxhash.h>

namespace vanillaferry {

namespace {

/// Longer than the one second that the cold limit is stated for, because
/// dispatches may arrive closer together than they were sent.
constexpr Millis ColdWindow{1200};
/// Older reports are ignored, because short requests have ended since.
constexpr Millis ReportLifetime{3000};
constexpr Millis FirstPause{300};
constexpr Millis LongestPause{4000};
constexpr std::uint32_t LargestPauseStep = 4;
constexpr double FailureWeight = 0.1;
/// Load added to the estimate of a target, times its failure rate: a target
/// that fails one request in ten counts as having 3 more.
constexpr double FailurePenalty = 30;
/// Requests above the mean that are always allowed, so that a nearly idle pool
/// still keeps requests of a prefix together.
constexpr double SpreadSlack = 2;
/// Multiple of its cold share that a warm target may get. It is limited because
/// it may turn cold unannounced; it may exceed the share because not all
/// routers send their maximum at once.
constexpr double WarmFactor = 2.5;
/// Time until the platform's target list shows a restart. A failure counts as a
/// restart for this long.
constexpr Millis ListUpdateDelay{2000};
/// A prefix that was not used for longer has probably been evicted.
constexpr Millis PrefixMemory{30000};
/// Time constant for the estimated demand for a prefix: with a hundred routers,
/// each receives a prefix in high demand about once a second.
constexpr Millis DemandDecayTime{4000};
/// Room, in requests, of an engine whose load is at the bound.
constexpr double MinRoom = 1;
/// Bounds the memory of DispatchPool::m_Holders; an entry takes about 100
/// bytes.
constexpr std::size_t MaxHolders = 20000;
/// A target listed for less than this may not yet have the prefixes for which
/// it now ranks first; another target ranked first for them before.
constexpr Millis NewTargetAge{60000};
constexpr Millis RetryWhenFull{400};
/// The users count the requests at a target with a limit over this time.
constexpr Millis RateLimitWindow{4000};
/// A limit is forgotten when no answer has named it for this long; in large
/// fleets later, so that the routers which get no answers since they have no
/// share add at most half of the limit when they try again.
constexpr Millis MinRateLifetime{10000};
constexpr double ForgottenPart = 0.5;
/// What a target says of the refusals that it bears is valid for this long.
constexpr Millis BrittleLifetime{5000};
/// The users count a target's refusals in each second.
constexpr Millis BrittlePause{1000};
constexpr Millis RetryWhenNoneInService{700};

struct Candidate {
  DispatchTarget *m_Target = nullptr;
  /// Weighted by m_TimeFactor.
  double m_Load = 0;
  std::uint64_t m_Rank = 0;
  double m_TimeFactor = 1;
};

std::uint64_t rankOf(const TargetId &Target, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Target.m_Value.data(), Target.m_Value.size(),
                              Seed);
}

bool isEligible(const DispatchTarget &Target, const DispatchCriteria &Need,
                Millis Now) {
  return isServing(Target, Need) && Target.m_AskedPauseUntil <= Now;
}

/// Time until the first target takes requests again after a pause that it
/// asked for; a default when there is none.
Millis timeToFirstPauseEnd(const DispatchPool &Pool,
                           const DispatchCriteria &Need, Millis Now) {
  std::optional<Millis> First;
  for (const std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets)
    if (isServing(Row.second, Need) && Row.second.m_AskedPauseUntil > Now)
      First = std::min(First.value_or(Row.second.m_AskedPauseUntil),
                       Row.second.m_AskedPauseUntil);
  return First ? *First - Now : RetryWhenNoneInService;
}

bool withinColdLimit(DispatchTarget &Target, Millis Now) {
  if (Target.m_ColdShare <= 0)
    return true;
  double Limit = Target.m_ColdUntil > Now ? Target.m_ColdShare
                                          : Target.m_ColdShare * WarmFactor;
  return static_cast<double>(eventsWithin(Target.m_Starts, Now)) + 1 <= Limit;
}

Millis rateLifetime(double PerSecond, std::size_t Routers) {
  constexpr double MillisPerSecond = 1000;
  double Seconds = static_cast<double>(Routers) /
                   (std::max(PerSecond, 0.01) * ForgottenPart);
  return std::max(MinRateLifetime,
                  Millis(static_cast<std::int64_t>(Seconds * MillisPerSecond)));
}

bool withinRateLimit(DispatchTarget &Target, const DispatchLimits &Limits,
                     Millis Now) {
  bool Limited = Target.m_RateLimit &&
                 Now <= Target.m_RateStatedAt +
                            rateLifetime(*Target.m_RateLimit, Limits.m_Routers);
  return !Limited ||
         static_cast<double>(eventsWithin(Target.m_RateStarts, Now)) + 1 <=
             Target.m_RateShare;
}

/// Listed targets that may get a request: those that are not paused or, when
/// all are, the paused ones.
std::vector<Candidate>
eligibleTargets(DispatchPool &Pool, const DispatchCriteria &Need, Millis Now) {
  std::vector<Candidate> Open;
  std::vector<Candidate> Paused;
  for (std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets) {
    DispatchTarget &Target = Row.second;
    if (!isEligible(Target, Need, Now))
      continue;
    double Factor = timeFactor(Target.m_Speed, Now);
    Candidate Each{&Target,
                   estimatedLoad(Target, Now) * Factor +
                       FailurePenalty * Target.m_FailureRate,
                   rankOf(Row.first, Need.m_PrefixHash ? Need.m_PrefixHash
                                                       : Need.m_Random),
                   Factor};
    (Target.m_PausedUntil > Now ? Paused : Open).push_back(Each);
  }
  return Open.empty() ? Paused : Open;
}

double slotsOf(const DispatchTarget &Target) {
  return std::max(static_cast<double>(Target.m_Listed.m_Slots), 1.0);
}

bool isFull(const DispatchTarget &Target, bool Brittle, Millis Now) {
  if (estimatedLoad(Target, Now) >= slotsOf(Target))
    return true;
  return Brittle &&
         static_cast<double>(Target.m_Running) + 1 > Target.m_SlotShare;
}

void keepIf(std::vector<Candidate> &All,
            const std::function<bool(const Candidate &)> &Keep) {
  All.erase(
      std::remove_if(All.begin(), All.end(),
                     [&Keep](const Candidate &Each) { return !Keep(Each); }),
      All.end());
}

double meanLoad(const std::vector<Candidate> &All) {
  double Total = 0;
  for (const Candidate &Each : All)
    Total += Each.m_Load;
  return All.empty() ? 0 : Total / static_cast<double>(All.size());
}

/// Weighted rendezvous hashing: equal loads are shared out in proportion to the
/// targets' speeds, so that routers do not all choose the fastest one.
double weightedRank(const Candidate &Each) {
  constexpr double Ranks = 18446744073709551616.0;
  double Uniform = (static_cast<double>(Each.m_Rank) + 1) / Ranks;
  return -std::log(std::min(Uniform, 1.0)) * Each.m_TimeFactor;
}

const Candidate &leastLoaded(const std::vector<Candidate> &All) {
  return *std::min_element(
      All.begin(), All.end(), [](const Candidate &A, const Candidate &B) {
        return A.m_Load < B.m_Load ||
               (A.m_Load == B.m_Load && weightedRank(A) < weightedRank(B));
      });
}

/// Uses of a prefix, decayed to the time Now.
double recentUses(const PrefixHolder &Holder, Millis Now) {
  double Age = static_cast<double>((Now - Holder.m_LastUsed).m_Value);
  return Holder.m_RecentUses *
         std::exp(-Age / static_cast<double>(DemandDecayTime.m_Value));
}

/// Uniform in [0, 1), from a random number.
double uniformDraw(std::uint64_t Random) {
  constexpr std::uint64_t Steps = 1U << 20;
  return static_cast<double>(Random % Steps) / static_cast<double>(Steps);
}

const PrefixHolder *holderOf(const DispatchPool &Pool, std::uint64_t Prefix,
                             Millis Now) {
  std::map<std::uint64_t, PrefixHolder>::const_iterator Found =
      Pool.m_Holders.find(Prefix);
  bool Known = Found != Pool.m_Holders.end() &&
               Now <= Found->second.m_LastUsed + PrefixMemory;
  return Known ? &Found->second : nullptr;
}

/// Requests with the prefix that all routers are expected to send within the
/// feedback time, extrapolated from this router's earlier ones.
double expectedUses(const PrefixHolder *Holder, const DispatchLimits &Limits,
                    Millis Now) {
  if (!Holder)
    return 0;
  double PerMilli =
      recentUses(*Holder, Now) / static_cast<double>(DemandDecayTime.m_Value);
  return PerMilli * static_cast<double>(Limits.m_FeedbackTime.m_Value) *
         static_cast<double>(Limits.m_Routers);
}

/// An engine for a prefix among those with a load up to the bound; null when
/// all are above it.
const Candidate *choosePrefixTarget(const std::vector<Candidate> &All,
                                    const DispatchPool &Pool,
                                    const DispatchCriteria &Need, double Bound,
                                    Millis Now) {
  const PrefixHolder *Holder = holderOf(Pool, Need.m_PrefixHash, Now);
  std::vector<const Candidate *> Ranked;
  for (const Candidate &Each : All)
    if (Each.m_Load <= Bound)
      Ranked.push_back(&Each);
  if (Ranked.empty())
    return nullptr;
  auto IsHolder = [Holder](const Candidate *Each) {
    return Holder && Each->m_Target->m_Listed.m_Id == Holder->m_Target;
  };
  std::sort(Ranked.begin(), Ranked.end(),
            [IsHolder](const Candidate *A, const Candidate *B) {
              if (IsHolder(A) != IsHolder(B))
                return IsHolder(A);
              return A->m_Rank > B->m_Rank;
            });
  // Draws a point among the expected requests and assigns it to the engines in
  // order of rank, each up to its room. With few expected requests it is always
  // the first engine.
  double Draw =
      uniformDraw(Need.m_Random) * expectedUses(Holder, Pool.m_Limits, Now);
  for (const Candidate *Each : Ranked) {
    Draw -= std::max(Bound - Each->m_Load, MinRoom);
    if (Draw <= 0)
      return Each;
  }
  // More requests are expected than all engines have room for.
  return Ranked[Need.m_Random % Ranked.size()];
}

/// The engine that ranks first for the prefix among all that are listed and not
/// paused, except one; empty when there is no other.
TargetId firstRanked(const DispatchPool &Pool, std::uint64_t Prefix,
                     const TargetId &Except, Millis Now) {
  TargetId Best;
  std::uint64_t BestRank = 0;
  for (const std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets) {
    std::uint64_t Rank = rankOf(Row.first, Prefix);
    if (Row.first == Except || !Row.second.m_Present ||
        Row.second.m_PausedUntil > Now || (!Best.empty() && Rank <= BestRank))
      continue;
    Best = Row.first;
    BestRank = Rank;
  }
  return Best;
}

/// The engine from which the chosen one can copy the prefix; empty when the
/// chosen one is expected to have it cached.
TargetId prefixSource(const DispatchPool &Pool, const DispatchTarget &Chosen,
                      std::uint64_t Prefix, Millis Now) {
  const TargetId &Id = Chosen.m_Listed.m_Id;
  if (const PrefixHolder *Holder = holderOf(Pool, Prefix, Now)) {
    std::map<TargetId, DispatchTarget>::const_iterator Known =
        Pool.m_Targets.find(Holder->m_Target);
    bool Usable = Known != Pool.m_Targets.end() && Known->second.m_Present &&
                  Known->second.m_PausedUntil <= Now;
    if (Holder->m_Target == Id || Usable)
      return Holder->m_Target == Id ? TargetId() : Holder->m_Target;
  }
  TargetId First = firstRanked(Pool, Prefix, Id, Now);
  bool RanksFirst =
      First.empty() || rankOf(Id, Prefix) >= rankOf(First, Prefix);
  bool RecentlyListed = Now <= Chosen.m_FirstListed + NewTargetAge;
  return RanksFirst && !RecentlyListed ? TargetId() : First;
}

void noteHolder(DispatchPool &Pool, std::uint64_t Prefix,
                const TargetId &Target, Millis Now) {
  if (Pool.m_Holders.size() >= MaxHolders)
    Pool.m_Holders.clear();
  PrefixHolder &Holder = Pool.m_Holders[Prefix];
  Holder.m_RecentUses = recentUses(Holder, Now) + 1;
  Holder.m_Target = Target;
  Holder.m_LastUsed = Now;
}

Millis pauseAfter(std::uint32_t Failures) {
  std::uint32_t Step = std::min(Failures - 1, LargestPauseStep);
  return std::min(Millis(FirstPause.m_Value << Step), LongestPause);
}

} // namespace

bool isServing(const DispatchTarget &Target, const DispatchCriteria &Need) {
  return !Target.m_Listed.m_Leaving && !Target.m_SaysLeaving &&
         Need.m_Excluded.count(Target.m_Listed.m_Id) == 0 &&
         Need.m_ZonesOut.count(Target.m_Listed.m_Zone) == 0 &&
         Need.m_ExcludedSoftware.count(Target.m_Listed.m_Software) == 0 &&
         (Need.m_Only.empty() ||
          Need.m_Only.count(Target.m_Listed.m_Id) != 0) &&
         (!Need.m_Software || Target.m_Listed.m_Software == *Need.m_Software);
}

DispatchChoice refuseDispatch(DispatchRefusal Why, Millis RetryAfter) {
  DispatchChoice Choice;
  Choice.m_Refusal = Why;
  Choice.m_RetryAfter = RetryAfter;
  return Choice;
}

DispatchChoice chooseTarget(DispatchPool &Pool, const DispatchCriteria &Need,
                            Millis Now) {
  std::vector<Candidate> All = eligibleTargets(Pool, Need, Now);
  if (All.empty())
    return refuseDispatch(DispatchRefusal::NoneInService,
                          timeToFirstPauseEnd(Pool, Need, Now));
  double Mean = meanLoad(All);
  bool Brittle = isBrittle(Pool, Now);
  std::vector<Candidate> Stale;
  if (Need.m_StaleAfter && !Brittle)
    std::copy_if(All.begin(), All.end(), std::back_inserter(Stale),
                 [&Need, Now](const Candidate &Each) {
                   return hasStaleLoad(*Each.m_Target, *Need.m_StaleAfter, Now);
                 });
  keepIf(All, [Brittle, Now](const Candidate &Each) {
    return !isFull(*Each.m_Target, Brittle, Now);
  });
  bool IsProbe = All.empty();
  if (IsProbe)
    All = std::move(Stale);
  if (All.empty())
    return refuseDispatch(DispatchRefusal::AllFull, RetryWhenFull);
  keepIf(All, [&Pool, Now](const Candidate &Each) {
    return withinRateLimit(*Each.m_Target, Pool.m_Limits, Now);
  });
  if (All.empty())
    return refuseDispatch(DispatchRefusal::RateLimit, RetryWhenFull);
  keepIf(All, [Now](const Candidate &Each) {
    return withinColdLimit(*Each.m_Target, Now);
  });
  if (All.empty())
    return refuseDispatch(DispatchRefusal::ColdLimit, RetryWhenFull);
  const Candidate *Chosen = nullptr;
  if (Need.m_PrefixHash != 0)
    Chosen = choosePrefixTarget(
        All, Pool, Need, Mean * Pool.m_Limits.m_Spread + SpreadSlack, Now);
  if (!Chosen)
    Chosen = &leastLoaded(All);
  DispatchChoice Choice;
  Choice.m_IsProbe = IsProbe;
  Choice.m_Target = Chosen->m_Target->m_Listed.m_Id;
  Choice.m_Load = Chosen->m_Load;
  Choice.m_Mean = Mean;
  if (Need.m_PrefixHash != 0) {
    Choice.m_PrefixSource =
        prefixSource(Pool, *Chosen->m_Target, Need.m_PrefixHash, Now);
    noteHolder(Pool, Need.m_PrefixHash, Choice.m_Target, Now);
  }
  return Choice;
}

void applyTargetList(DispatchPool &Pool,
                     const std::vector<ListedTarget> &Listed, bool FirstList,
                     Millis Now) {
  std::set<TargetId> Present;
  for (const ListedTarget &Entry : Listed) {
    Present.insert(Entry.m_Id);
    bool IsNew = Pool.m_Targets.count(Entry.m_Id) == 0;
    DispatchTarget &Target = Pool.m_Targets[Entry.m_Id];
    bool Returns = !Target.m_Present || Target.m_Listed.m_Leaving;
    if (Returns && !Entry.m_Leaving)
      Target.m_SaysLeaving = false;
    bool ColdStated = IsNew || Target.m_Listed.m_ColdLeft != Entry.m_ColdLeft;
    Target.m_Listed = Entry;
    Target.m_Present = true;
    if (IsNew && !FirstList)
      Target.m_FirstListed = Now;
    Target.m_Starts.m_Length = ColdWindow;
    Target.m_RateStarts.m_Length = RateLimitWindow;
    if (ColdStated && Entry.m_ColdLeft > Millis(0))
      Target.m_ColdUntil = std::max(Target.m_ColdUntil, Now + Entry.m_ColdLeft);
    if (IsNew && !FirstList)
      suspectCold(Target, Pool.m_ColdTime, Now);
  }
  std::map<TargetId, DispatchTarget>::iterator Row = Pool.m_Targets.begin();
  while (Row != Pool.m_Targets.end()) {
    if (Present.count(Row->first) != 0) {
      ++Row;
      continue;
    }
    Row->second.m_Listed.m_Leaving = true;
    Row->second.m_Present = false;
    Row =
        Row->second.m_Running > 0 ? std::next(Row) : Pool.m_Targets.erase(Row);
  }
}

void noteLeaving(DispatchTarget &Target) { Target.m_SaysLeaving = true; }

void noteRateLimit(DispatchTarget &Target, std::optional<double> PerSecond,
                   Millis Now) {
  Target.m_RateLimit = PerSecond;
  Target.m_RateStatedAt = Now;
}

void noteBearableRefusals(DispatchTarget &Target,
                          std::optional<std::uint64_t> PerSecond, Millis Now) {
  Target.m_BearableRefusals = PerSecond;
  Target.m_BearableStatedAt = Now;
}

void noteTurnedAway(DispatchTarget &Target, Millis Now) {
  if (Target.m_BearableRefusals)
    noteAskedPause(Target, BrittlePause, Now);
}

bool isBrittle(const DispatchPool &Pool, Millis Now) {
  return std::any_of(
      Pool.m_Targets.begin(), Pool.m_Targets.end(),
      [Now](const std::pair<const TargetId, DispatchTarget> &Row) {
        const DispatchTarget &Target = Row.second;
        return Target.m_BearableRefusals && Target.m_Present &&
               Now <= Target.m_BearableStatedAt + BrittleLifetime;
      });
}

void applyRateShare(DispatchTarget &Target, const NodeId &Self,
                    const std::vector<NodeId> &Routers) {
  constexpr double MillisPerSecond = 1000;
  if (!Target.m_RateLimit)
    return;
  double InWindow = *Target.m_RateLimit *
                    static_cast<double>(RateLimitWindow.m_Value) /
                    MillisPerSecond;
  Target.m_RateShare =
      coldShareOf(std::max(InWindow, 1.0), Target.m_Listed.m_Id, Self, Routers);
}

void applySlotShares(DispatchPool &Pool, const NodeId &Self,
                     const std::vector<NodeId> &Routers) {
  for (std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets)
    Row.second.m_SlotShare =
        coldShareOf(slotsOf(Row.second), Row.first, Self, Routers);
}

void noteAskedPause(DispatchTarget &Target, Millis For, Millis Now) {
  Target.m_AskedPauseUntil = std::max(Target.m_AskedPauseUntil, Now + For);
}

bool isSilent(const DispatchTarget &Target, Millis For, Millis Now) {
  return Target.m_Running > 0 && Now - Target.m_HeardAt >= For;
}

void noteHeard(DispatchTarget &Target, Millis Now) { Target.m_HeardAt = Now; }

void noteStarted(DispatchTarget &Target, Millis Now) {
  if (Target.m_Running == 0)
    noteHeard(Target, Now);
  ++Target.m_Running;
  ++Target.m_SinceReport;
  // Asking for the number drops what is older than the window.
  for (RateWindow *Window : {&Target.m_Starts, &Target.m_RateStarts}) {
    noteEvent(*Window, Now);
    eventsWithin(*Window, Now);
  }
}

void noteEnded(DispatchTarget &Target, TargetOutcome How, Millis Now) {
  if (Target.m_Running > 0)
    --Target.m_Running;
  --Target.m_SinceReport;
  if (How == TargetOutcome::Abandoned || How == TargetOutcome::Refused)
    return;
  bool Failed = How != TargetOutcome::Served;
  if (Failed && Target.m_FailuresInRow == 0)
    Target.m_RateBeforeFailures = Target.m_FailureRate;
  Target.m_FailureRate +=
      FailureWeight * ((Failed ? 1.0 : 0.0) - Target.m_FailureRate);
  if (!Failed) {
    Target.m_FailuresInRow = 0;
    Target.m_PausedUntil = Millis();
    return;
  }
  ++Target.m_FailuresInRow;
  suspectCold(Target, ListUpdateDelay, Now);
  // A single failed answer may be caused by the request itself.
  if (How == TargetOutcome::Unreachable || Target.m_FailuresInRow > 1)
    Target.m_PausedUntil = Now + pauseAfter(Target.m_FailuresInRow);
}

void forgiveUnreachable(DispatchPool &Pool) {
  for (std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets) {
    DispatchTarget &Target = Row.second;
    if (Target.m_FailuresInRow == 0)
      continue;
    Target.m_FailureRate = Target.m_RateBeforeFailures;
    Target.m_FailuresInRow = 0;
    Target.m_PausedUntil = Millis();
  }
}

void suspectCold(DispatchTarget &Target, Millis ColdTime, Millis Now) {
  Target.m_ColdUntil = std::max(Target.m_ColdUntil, Now + ColdTime);
}

void noteReport(DispatchTarget &Target, const TargetReport &Report,
                Millis Now) {
  Target.m_Report = Report;
  Target.m_ReportedAt = Now;
  Target.m_SinceReport = 0;
  if (Report.m_TimePercent)
    noteTimePercent(Target.m_Speed, *Report.m_TimePercent, Now);
}

void noteOtherLoads(DispatchPool &Pool, const std::vector<KeyedLoad> &Others,
                    Millis At) {
  std::unordered_map<std::uint32_t, std::uint32_t> Running;
  for (const KeyedLoad &Each : Others)
    Running[Each.m_Key] += Each.m_Running;
  for (std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets) {
    std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator Found =
        Running.find(loadKey(Row.first));
    Row.second.m_Others = Found == Running.end() ? 0 : Found->second;
    Row.second.m_OthersAt = At;
  }
}

void addRunning(const DispatchPool &Pool, std::vector<KeyedLoad> &Loads) {
  for (const std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets)
    if (Row.second.m_Running > 0)
      Loads.push_back({loadKey(Row.first), Row.second.m_Running});
}

double estimatedLoad(const DispatchTarget &Target, Millis Now) {
  double Own = static_cast<double>(Target.m_Running);
  bool Reported =
      Target.m_Report && Now <= Target.m_ReportedAt + ReportLifetime;
  bool Summed = Target.m_OthersAt && Now <= *Target.m_OthersAt + ReportLifetime;
  if (Summed && (!Reported || *Target.m_OthersAt > Target.m_ReportedAt))
    return Own + static_cast<double>(Target.m_Others);
  if (!Reported)
    return Own;
  double Stated = static_cast<double>(Target.m_Report->m_Running) +
                  static_cast<double>(Target.m_Report->m_Waiting) +
                  static_cast<double>(Target.m_SinceReport);
  return std::max(Own, Stated);
}

double coldShareOf(double LimitPerSecond, const TargetId &Target,
                   const NodeId &Self, const std::vector<NodeId> &Routers) {
  if (LimitPerSecond <= 0)
    return 0;
  double Count = static_cast<double>(std::max(Routers.size(), std::size_t(1)));
  if (Count <= LimitPerSecond)
    return static_cast<double>(
        static_cast<std::int64_t>(LimitPerSecond / Count));
  std::uint64_t Seed = rankOf(Target, 0);
  auto ScoreOf = [Seed](const NodeId &Node) {
    return XXH3_64bits_withSeed(Node.m_Value.data(), Node.m_Value.size(), Seed);
  };
  std::uint64_t Own = ScoreOf(Self);
  double Before = 0;
  for (const NodeId &Other : Routers)
    if (ScoreOf(Other) > Own)
      ++Before;
  // A share below one allows no request.
  constexpr double NoShare = 0.5;
  return Before + 1 <= LimitPerSecond ? 1 : NoShare;
}

} // namespace vanillaferry
