#include "vanillaferry/request/rollout_share.hpp"

#include "vanillaferry/request/dispatch.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace vanillaferry {

namespace {

constexpr double PerMille = 1000;
/// Former answers on a route before one of the new version may count as slow.
constexpr std::uint64_t MinFormerAnswers = 10;
constexpr double SlowOverMedian = 2.5;
constexpr double SlowOverMost = 1.5;
constexpr double MostAnswers = 0.95;
constexpr double SlowMargin = 50;

double shareOf(const RolloutOrder &Order) {
  return std::min(Order.m_SharePerMille / PerMille, 1.0);
}

/// Requests that may be unanswered or badly answered while the version has not
/// proven itself at this gateway; their sum over the fleet stays below the
/// canaries' limit.
bool withinUnprovenCredit(const RolloutShare &Share, Millis Now) {
  if (Share.m_Order.m_SharePerMille < OpenSharePerMille)
    return true;
  double Credit =
      UnprovenPerMille / PerMille * static_cast<double>(Share.m_Own) +
      partOfSlack(Share, Now);
  return Share.m_Unconfirmed + Share.m_Bad + 1.0 <= Credit;
}

/// True when the request uses the credit of Shift that streams do not use.
bool isApart(const RolloutShare &Share, CreditKind Kind) {
  return Share.m_Order.m_Stage == RolloutStage::Shift &&
         Kind == CreditKind::Other;
}

bool hasCredit(const RolloutShare &Share, CreditKind Kind) {
  // Sums of fractions must not round up to a whole request.
  constexpr double WholeRequest = 1 + 1e-9;
  return (isApart(Share, Kind) ? Share.m_BankedOthers : Share.m_Banked) >=
         WholeRequest;
}

bool isProven(const RolloutShare &Share) {
  return Share.m_GoodInRow >= ProvenAfter || Share.m_Window > FirstWindow;
}

double slotsOf(const ListedTarget &Target) {
  return std::max(static_cast<double>(Target.m_Slots), 1.0);
}

/// Start of the bucket in which the given part of the answers has ended.
double timeAt(const std::vector<TimeBucket> &Times, double Part,
              std::uint64_t Total) {
  double Left = Part * static_cast<double>(Total);
  for (const TimeBucket &Each : Times) {
    Left -= static_cast<double>(Each.m_Count);
    if (Left <= 0)
      return rolloutBucketStart(Each.m_Index + 1);
  }
  return rolloutBucketStart(RolloutBucketCount);
}

} // namespace

RolloutShare beginShare(const RolloutOrder &Order, const NodeId &Self,
                        const std::vector<NodeId> &Gateways, Millis Now) {
  RolloutShare Share;
  Share.m_Order = Order;
  Share.m_OrderedAt = Now - Order.m_Age;
  bool Known =
      std::find(Gateways.begin(), Gateways.end(), Self) != Gateways.end();
  if (Known && Order.m_Age <= PartAgeLimit) {
    Share.m_Gateways = Gateways.size();
    for (const NodeId &Other : Gateways)
      Share.m_Rank += Other < Self ? 1 : 0;
    // Spreads the fractions of the gateways evenly over 0 to 1. Each would lose
    // half a request otherwise, which is most of a canary with 90 gateways.
    constexpr double Half = 0.5;
    Share.m_Banked = (static_cast<double>(Share.m_Rank) + Half) /
                     static_cast<double>(Share.m_Gateways);
  }
  return Share;
}

bool advanceShare(RolloutShare &Share, const RolloutOrder &Order) {
  if (Order.m_Number != Share.m_Order.m_Number ||
      Order.m_Stage < Share.m_Order.m_Stage || isFinal(Share.m_Order.m_Stage))
    return false;
  bool NewStage = Order.m_Stage != Share.m_Order.m_Stage;
  // The share of a stage holds for all requests since the order.
  if (NewStage && !isFinal(Order.m_Stage))
    Share.m_Banked += (shareOf(Order) - shareOf(Share.m_Order)) *
                      static_cast<double>(Share.m_Own);
  Share.m_Order = Order;
  if (NewStage)
    confirmShare(Share);
  return NewStage;
}

double partOfSlack(const RolloutShare &Share, Millis Now) {
  if (Share.m_Gateways == 0)
    return 0;
  double Part = static_cast<double>(Share.m_Order.m_Slack) /
                static_cast<double>(Share.m_Gateways);
  double Age = static_cast<double>((Now - Share.m_OrderedAt).m_Value);
  double Spread = static_cast<double>(PartSpread.m_Value);
  return Part * std::clamp(Age / Spread, 0.0, 1.0);
}

void noteOwnRequest(RolloutShare &Share, CreditKind Kind, bool Listed,
                    Millis Now) {
  ++Share.m_Own;
  if (!Listed)
    return;
  if (isApart(Share, Kind)) {
    Share.m_BankedOthers += Share.m_Order.m_OthersPerMille / PerMille;
    return;
  }
  double Part = shareOf(Share.m_Order);
  double Slack = partOfSlack(Share, Now);
  Share.m_Banked += Part + Slack - Share.m_SlackEarned;
  Share.m_SlackEarned = Slack;
  if (Share.m_Order.m_Stage == RolloutStage::Canary)
    Share.m_Banked = std::min(Share.m_Banked, MaxBanked + Part);
}

bool mayTakeNew(const RolloutShare &Share, CreditKind Kind, Millis Now) {
  switch (Share.m_Order.m_Stage) {
  case RolloutStage::Canary:
    return !Share.m_Stopped && hasCredit(Share, Kind);
  case RolloutStage::Shift:
    return !Share.m_Stopped && hasCredit(Share, Kind) &&
           Share.m_Unconfirmed < Share.m_Window &&
           (isProven(Share) || withinUnprovenCredit(Share, Now));
  case RolloutStage::Completed:
    return true;
  case RolloutStage::RolledBack:
    return false;
  }
  return false;
}

void noteSentNew(RolloutShare &Share, CreditKind Kind) {
  ++Share.m_SentNew;
  ++Share.m_Unconfirmed;
  Share.m_WindowFull |= Share.m_Unconfirmed >= Share.m_Window;
  (isApart(Share, Kind) ? Share.m_BankedOthers : Share.m_Banked) -= 1;
}

void noteNotSent(RolloutShare &Share, CreditKind Kind) {
  if (Share.m_SentNew > 0)
    --Share.m_SentNew;
  double &Banked = isApart(Share, Kind) ? Share.m_BankedOthers : Share.m_Banked;
  Banked = std::min(Banked + 1, MaxBanked + 1);
}

void noteConfirmed(RolloutShare &Share) {
  if (Share.m_Unconfirmed > 0)
    --Share.m_Unconfirmed;
}

bool noteRolloutAnswer(RolloutShare &Share, AnswerJudgement How, Millis Now) {
  if (How == AnswerJudgement::Unjudged)
    return false;
  bool Bad = How == AnswerJudgement::Bad;
  Share.m_Bad += Bad ? 1 : 0;
  Share.m_LastBad.push_back(Bad);
  if (Share.m_LastBad.size() > LocalStopWindow)
    Share.m_LastBad.pop_front();
  if (!Bad) {
    ++Share.m_GoodInRow;
    // A window that is not used says nothing about the version under that many
    // requests, so it does not grow.
    if (Share.m_GoodInRow >= ProvenAfter && Share.m_WindowFull) {
      Share.m_Window = std::min(Share.m_Window * 2, LargestWindow);
      Share.m_WindowFull = false;
    }
    return false;
  }
  Share.m_GoodInRow = 0;
  Share.m_Window = std::max(Share.m_Window / 2, FirstWindow);
  Share.m_WindowFull = false;
  std::size_t BadOnes = static_cast<std::size_t>(
      std::count(Share.m_LastBad.begin(), Share.m_LastBad.end(), true));
  if (Share.m_Stopped || BadOnes < LocalStopBad)
    return false;
  Share.m_Stopped = true;
  Share.m_StoppedAt = Now;
  Share.m_Window = FirstWindow;
  return true;
}

void confirmShare(RolloutShare &Share) {
  Share.m_Stopped = false;
  Share.m_LastBad.clear();
}

std::set<TargetId> canaryTargets(const DispatchPool &Pool,
                                 const RolloutOrder &Order,
                                 const std::set<ZoneId> &ZonesOut) {
  DispatchCriteria Any;
  Any.m_ZonesOut = ZonesOut;
  double FormerSlots = 0;
  std::vector<std::pair<std::uint64_t, const ListedTarget *>> Ranked;
  std::uint64_t Seed = XXH3_64bits(Order.m_Service.m_Value.data(),
                                   Order.m_Service.m_Value.size());
  for (const std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets) {
    const ListedTarget &Listed = Row.second.m_Listed;
    if (!Row.second.m_Present || !isServing(Row.second, Any))
      continue;
    if (Listed.m_Software == Order.m_Version)
      Ranked.emplace_back(XXH3_64bits_withSeed(Row.first.m_Value.data(),
                                               Row.first.m_Value.size(), Seed),
                          &Listed);
    else
      FormerSlots += slotsOf(Listed);
  }
  std::sort(Ranked.begin(), Ranked.end(),
            [](const std::pair<std::uint64_t, const ListedTarget *> &A,
               const std::pair<std::uint64_t, const ListedTarget *> &B) {
              return A.first > B.first;
            });
  // The canaries' load on a former target's slots is the share of the slots.
  double Wanted = FormerSlots * shareOf(Order);
  std::set<TargetId> Chosen;
  for (const std::pair<std::uint64_t, const ListedTarget *> &Each : Ranked) {
    // The next target is added when more than half of it would be used.
    if (!Chosen.empty() && Wanted < slotsOf(*Each.second) / 2)
      break;
    Chosen.insert(Each.second->m_Id);
    Wanted -= slotsOf(*Each.second);
  }
  return Chosen;
}

bool isFormer(const RolloutOrder &Order, const SoftwareVersion &Version) {
  if (Version == Order.m_Version)
    return false;
  return Order.m_Former.empty() ||
         std::any_of(Order.m_Former.begin(), Order.m_Former.end(),
                     [&Version](const FormerVersion &Each) {
                       return Each.m_Version == Version;
                     });
}

std::optional<Millis>
localSlowLimit(const std::vector<TimeBucket> &FormerTimes) {
  std::uint64_t Total = 0;
  for (const TimeBucket &Each : FormerTimes)
    Total += Each.m_Count;
  if (Total < MinFormerAnswers)
    return std::nullopt;
  constexpr double Half = 0.5;
  double Limit =
      std::max(SlowOverMedian * timeAt(FormerTimes, Half, Total) + SlowMargin,
               SlowOverMost * timeAt(FormerTimes, MostAnswers, Total));
  return Millis(static_cast<std::int64_t>(std::ceil(Limit)));
}

} // namespace vanillaferry
