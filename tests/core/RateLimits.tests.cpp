#include "vanillaferry/request/dispatch.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>

using namespace vanillaferry;

namespace {

/// The users' bound: in some 4 s one and a half times what the limit allows and
/// 5 requests.
constexpr Millis CountedTime{4000};
constexpr Millis KnownAfter{500};

double boundOf(double PerSecond) {
  return 1.5 * PerSecond * static_cast<double>(CountedTime.m_Value) / 1000 + 5;
}

/// Requests arrive at random routers. Of the targets, those before m_Limited
/// name a limit in every answer.
struct RateLoad {
  std::size_t m_Routers = 1;
  std::size_t m_Targets = 1;
  std::size_t m_Limited = 1;
  double m_Limit = 1;
  double m_Arrivals = 1;
};

struct RateResult {
  /// Most requests at a limited target in CountedTime.
  std::size_t m_Most = 0;
  std::size_t m_ToLimited = 0;
  std::size_t m_Refused = 0;
};

RateResult replay(const RateLoad &Load, Millis Length) {
  std::vector<NodeId> Routers;
  for (std::size_t Number = 0; Number < Load.m_Routers; ++Number)
    Routers.push_back(NodeId("r" + std::to_string(Number)));
  std::vector<ListedTarget> Listed(Load.m_Targets);
  for (std::size_t Number = 0; Number < Load.m_Targets; ++Number) {
    Listed[Number].m_Id = TargetId("t" + std::to_string(Number));
    Listed[Number].m_Slots = 64;
  }
  std::vector<DispatchPool> Pools(Load.m_Routers);
  for (DispatchPool &Pool : Pools) {
    Pool.m_Limits.m_Routers = Load.m_Routers;
    applyTargetList(Pool, Listed, true, Millis(0));
  }
  std::map<TargetId, std::deque<Millis>> Arrived;
  std::map<std::pair<std::size_t, TargetId>, Millis> LearnedAt;
  std::mt19937_64 Random(3);
  RateResult Result;
  for (Millis Now{0}; Now < Length; Now = Now + Millis(1)) {
    std::size_t Count =
        std::poisson_distribution<std::size_t>(Load.m_Arrivals / 1000)(Random);
    for (; Count > 0; --Count) {
      std::size_t Router = Random() % Load.m_Routers;
      DispatchPool &Pool = Pools[Router];
      DispatchCriteria Need;
      Need.m_Random = Random();
      DispatchChoice Choice = chooseTarget(Pool, Need, Now);
      Result.m_Refused += Choice.m_Target.empty() ? 1 : 0;
      if (Choice.m_Target.empty())
        continue;
      DispatchTarget &Target = Pool.m_Targets[Choice.m_Target];
      noteStarted(Target, Now);
      noteEnded(Target, TargetOutcome::Served, Now);
      std::size_t Number = std::stoul(Choice.m_Target.m_Value.substr(1));
      if (Number >= Load.m_Limited)
        continue;
      noteRateLimit(Target, Load.m_Limit, Now);
      applyRateShare(Target, Routers[Router], Routers);
      ++Result.m_ToLimited;
      // The users count the routers that learned of the limit before.
      std::map<std::pair<std::size_t, TargetId>, Millis>::iterator Learned =
          LearnedAt.emplace(std::make_pair(Router, Choice.m_Target), Now).first;
      if (Now < Learned->second + KnownAfter)
        continue;
      std::deque<Millis> &Times = Arrived[Choice.m_Target];
      Times.push_back(Now);
      while (Times.front() + CountedTime < Now)
        Times.pop_front();
      Result.m_Most = std::max(Result.m_Most, Times.size());
    }
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RateLimits)

// Guards against targets that name a limit and get far more, since each of many
// routers counts its own requests only.
BOOST_AUTO_TEST_CASE(LimitedTargetsGetNoMoreThanTheyTakeTogether) {
  for (const RateLoad &Load :
       {RateLoad{9, 9, 6, 10, 300}, RateLoad{7, 18, 18, 4, 300},
        RateLoad{291, 168, 118, 10, 8000}, RateLoad{9, 9, 6, 0.4, 100}}) {
    RateResult Result = replay(Load, Millis(30000));
    BOOST_TEST_MESSAGE(Load.m_Routers << " routers, limit " << Load.m_Limit
                                      << ": at most " << Result.m_Most
                                      << " in 4 s, bound "
                                      << boundOf(Load.m_Limit) << ", refused "
                                      << Result.m_Refused);
    BOOST_TEST(static_cast<double>(Result.m_Most) <= boundOf(Load.m_Limit));
  }
}

// Guards against requests that are refused while targets without a limit have
// room, and against limited targets that get nothing of what they take.
BOOST_AUTO_TEST_CASE(WhatLimitedTargetsDoNotTakeGoesToTheOthers) {
  RateLoad Load{9, 9, 6, 10, 120};
  RateResult Result = replay(Load, Millis(30000));
  BOOST_TEST(Result.m_Refused == 0U);
  BOOST_TEST(Result.m_ToLimited >= 30U * 6 * 10 / 2);
}

// Guards against a limit that stays after the target no longer names it.
BOOST_AUTO_TEST_CASE(ALimitEndsWithAnAnswerThatDoesNotNameIt) {
  DispatchPool Pool;
  ListedTarget Listed;
  Listed.m_Id = TargetId("t");
  Listed.m_Slots = 64;
  applyTargetList(Pool, {Listed}, true, Millis(0));
  DispatchTarget &Target = Pool.m_Targets[Listed.m_Id];
  noteRateLimit(Target, 0.25, Millis(0));
  applyRateShare(Target, NodeId("r"), {NodeId("r")});
  noteStarted(Target, Millis(0));
  DispatchChoice Choice = chooseTarget(Pool, {}, Millis(10));
  BOOST_TEST((Choice.m_Refusal == DispatchRefusal::RateLimit));
  noteRateLimit(Target, std::nullopt, Millis(20));
  BOOST_TEST(!chooseTarget(Pool, {}, Millis(30)).m_Target.empty());
  noteRateLimit(Target, 0.25, Millis(20));
  noteStarted(Target, Millis(19000));
  BOOST_TEST(!chooseTarget(Pool, {}, Millis(19500)).m_Target.empty());
}

BOOST_AUTO_TEST_SUITE_END()
