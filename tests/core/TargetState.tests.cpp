#include "vanillaferry/process/target_state.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <rapidcheck.h>

using namespace vanillaferry;

namespace {

TargetSettings makeSettings() {
  TargetSettings Settings;
  Settings.m_Id = TargetId("engine-0");
  Settings.m_MaxConcurrent = 16;
  Settings.m_ColdLimit = 2;
  return Settings;
}

constexpr std::uint32_t Unbounded = 1000;
constexpr Millis Median{200};

/// Runs one request with a good first token through the target.
void runGood(TargetState &State) {
  std::uint32_t Stage = startRequest(State);
  endRequest(State, Stage, true, Millis(200), Median);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TargetLimits)

// Guards against a stale total admitting more than the bound: for any age of
// the total, and any number of the others' requests that ended since at up to
// the assumed rate, the limit stays within the bound times the true mean.
BOOST_AUTO_TEST_CASE(TheBoundHoldsUnderLag) {
  BOOST_TEST(rc::check("bound under lag", [] {
    std::uint32_t Others = *rc::gen::inRange(0, 2000);
    std::uint32_t Own = *rc::gen::inRange(0, 200);
    std::size_t Targets = *rc::gen::inRange<std::size_t>(1, 700);
    std::int64_t Age = *rc::gen::inRange(0, 6000);
    std::int64_t ReportAge = *rc::gen::inRange(0, 5000);
    PoolSettings Settings;
    Settings.m_Bound = 1.0 + *rc::gen::inRange(0, 100) / 100.0;
    PoolMean Mean;
    PoolTotal Total{PoolId("p"), Others + Own, Millis(ReportAge)};
    takePoolTotal(Mean, Total, Own, Millis(10000));
    Millis Now(10000 + Age);
    double Rate = Mean.m_Options.m_DeclinePerSecond;
    double Ended = std::min<double>(Others, Others * Rate * Age / 1000.0);
    double TrueMean = (Others - std::floor(Ended) + Own + 1) / Targets;
    std::uint32_t Limit =
        boundLimit(Settings, Mean, Own, Targets, Priority::Latency, Now);
    RC_ASSERT(Limit <= std::ceil(Settings.m_Bound * TrueMean - 1e-9));
    RC_ASSERT(boundLimit(Settings, Mean, Own, Targets, Priority::Batch, Now) <=
              Limit);
  }));
}

// Guards against a lower bound so low that the load of an evenly loaded pool
// can never grow: with a fresh total, every target must admit one more request.
BOOST_AUTO_TEST_CASE(AnEvenlyLoadedPoolCanGrowOnAFreshTotal) {
  for (std::uint32_t Targets : {5U, 10U, 20U, 200U, 700U})
    for (std::uint32_t Load = 0; Load < 32; ++Load) {
      PoolSettings Settings;
      Settings.m_Bound = 1.1;
      PoolMean Mean;
      takePoolTotal(Mean, {PoolId("p"), Targets * Load, Millis(300)}, Load,
                    Millis(1000));
      BOOST_TEST(boundLimit(Settings, Mean, Load, Targets, Priority::Latency,
                            Millis(1020)) > Load);
    }
}

// Guards against dispatching to a newly owned target before the requests of the
// former owner are known.
BOOST_AUTO_TEST_CASE(AGainedTargetWaitsForItsFirstReport) {
  TargetState State = makeTargetState(makeSettings(), 1);
  State.m_AwaitReport = true;
  BOOST_TEST(!admits(State, Unbounded, Millis()));
  takeLoadReport(State, {"i", 4, Millis(1), 0}, Millis(1));
  BOOST_TEST(State.m_Residual == 4U);
  BOOST_TEST(!admits(State, 4, Millis(1)));
}

// Guards against a node that lost its lease, owns a target again and does not
// count the requests of the owner in between.
BOOST_AUTO_TEST_CASE(ARegainedTargetAcceptsResidualRequestsAgain) {
  TargetState State = makeTargetState(makeSettings(), 0);
  startRequest(State);
  setResidual(State, 5);
  BOOST_TEST(targetLoad(State) == 1U);
  regainTarget(State);
  setResidual(State, 5);
  BOOST_TEST(targetLoad(State) == 6U);
  BOOST_TEST(!admits(State, Unbounded, Millis()));
  takeLoadReport(State, {"i", 8, Millis(1), 1}, Millis(1));
  BOOST_TEST(targetLoad(State) == 8U);
}

// Guards against a missing report or a missing grant counting as load.
BOOST_AUTO_TEST_CASE(WithoutATotalOnlyTheOwnLoadCounts) {
  PoolMean Mean;
  BOOST_TEST(poolFloor(Mean, 5, Millis(1000)) == 5);
  takePoolTotal(Mean, {PoolId("p"), 105, Millis()}, 5, Millis(1000));
  BOOST_TEST(poolFloor(Mean, 5, Millis(1000)) > 90);
  BOOST_TEST(poolFloor(Mean, 5, Millis(20000)) == 5);
  // An older grant that arrives late changes nothing.
  takePoolTotal(Mean, {PoolId("p"), 905, Millis()}, 5, Millis(900));
  BOOST_TEST(poolFloor(Mean, 5, Millis(1000)) < 105);
}

// Guards against counting the load of a failed target of another owner.
BOOST_AUTO_TEST_CASE(AFailedTargetElsewhereLowersTheBoundUntilANewTotal) {
  PoolMean Mean;
  takePoolTotal(Mean, {PoolId("p"), 105, Millis()}, 5, Millis(1000));
  double Before = poolFloor(Mean, 5, Millis(1100));
  noteLostTarget(Mean, TargetId("x"), 10, Millis(1100));
  noteLostTarget(Mean, TargetId("x"), 10, Millis(1101));
  BOOST_TEST(poolFloor(Mean, 5, Millis(1100)) == Before - 10);
  BOOST_TEST(!earlyReportDue(Mean, 5, Millis(1200)));
  BOOST_TEST(earlyReportDue(Mean, 5, Millis(1250)));
  takePoolTotal(Mean, {PoolId("p"), 95, Millis()}, 5, Millis(1200));
  BOOST_TEST(poolFloor(Mean, 5, Millis(1250)) < 86);
  takePoolTotal(Mean, {PoolId("p"), 95, Millis()}, 5, Millis(1250));
  BOOST_TEST(poolFloor(Mean, 5, Millis(1250)) > 86);
}

// Guards against a mean over too few targets while routers' views differ.
BOOST_AUTO_TEST_CASE(FewerTargetsCountOnlyAfterTheHold) {
  TargetCount Count;
  setTargetCount(Count, 20, false, Millis(0));
  setTargetCount(Count, 15, false, Millis(10000));
  BOOST_TEST(targetDivisor(Count, Millis(13999)) == 20U);
  BOOST_TEST(targetDivisor(Count, Millis(14000)) == 15U);
  setTargetCount(Count, 20, false, Millis(20000));
  BOOST_TEST(targetDivisor(Count, Millis(20000)) == 20U);
}

// Guards against a pool whose limit is halved for seconds when operators take
// one of two zones out of service.
BOOST_AUTO_TEST_CASE(AnEditThatRemovesTargetsHasAShorterHold) {
  TargetCount Count;
  setTargetCount(Count, 20, true, Millis(0));
  setTargetCount(Count, 10, true, Millis(10000));
  BOOST_TEST(targetDivisor(Count, Millis(11099)) == 20U);
  BOOST_TEST(targetDivisor(Count, Millis(11100)) == 10U);
}

// Guards against ignoring the requests of a former owner: together with those
// of the new owner they stay within the limit.
BOOST_AUTO_TEST_CASE(ResidualRequestsCountAtTheNewOwner) {
  TargetState State = makeTargetState(makeSettings(), 3);
  BOOST_TEST(targetLoad(State) == 3U);
  // The former owner dispatched more before it stopped.
  setResidual(State, 6);
  BOOST_TEST(!admits(State, 6, Millis()));
  startRequest(State);
  setResidual(State, 9);
  BOOST_TEST(targetLoad(State) == 7U);
  takeLoadReport(State, {"i", 3, Millis(1), 1}, Millis(1));
  BOOST_TEST(State.m_Residual == 2U);
  // A later grant repeats an old count.
  setResidual(State, 6);
  BOOST_TEST(State.m_Residual == 2U);
}

// Guards against overloading a cold target: it runs no more requests than its
// ramp allows, and the ramp doubles only after as many fast first tokens.
BOOST_AUTO_TEST_CASE(AColdTargetGrowsOnlyOnEvidence) {
  TargetState State = makeTargetState(makeSettings(), 0);
  BOOST_TEST(State.m_RampLimit == 2U);
  std::uint32_t Early = startRequest(State);
  startRequest(State);
  BOOST_TEST(!admits(State, Unbounded, Millis()));
  endRequest(State, Early, true, Millis(500), Median);
  BOOST_TEST(State.m_RampLimit == 2U);
  runGood(State);
  BOOST_TEST(State.m_RampLimit == 2U);
  runGood(State);
  BOOST_TEST(State.m_RampLimit == 4U);
  // Requests dispatched at the former limit are not evidence for this one.
  endRequest(State, Early, true, Millis(200), Median);
  BOOST_TEST(State.m_Evidence == 0U);
}

// Guards against a ramp that continues after the target became cold again.
BOOST_AUTO_TEST_CASE(TheRampRestartsWhenTheTargetBecomesColdDuringIt) {
  BOOST_TEST(rc::check("ramp restarts", [] {
    TargetState State = makeTargetState(makeSettings(), 0);
    takeLoadReport(State, {"first", 0, Millis(), 0}, Millis());
    std::uint32_t Good = *rc::gen::inRange(0, 13);
    for (std::uint32_t I = 0; I < Good; ++I)
      runGood(State);
    std::uint32_t Old = startRequest(State);
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
      RC_ASSERT(takeLoadReport(State, {"second", 0, Millis(9), 0}, Millis(9)));
      break;
    case 1:
      RC_ASSERT(takeLoadReport(State, {"first", 1, Millis(9), 8}, Millis(9)));
      break;
    default:
      for (int I = 0; I < 3; ++I)
        noteFirstToken(State, State.m_Stage, Millis(900), Median);
    }
    RC_ASSERT(State.m_RampLimit == 2U);
    endRequest(State, Old, true, Millis(200), Median);
    RC_ASSERT(State.m_Evidence == 0U);
    RC_ASSERT(isCold(State));
  }));
}

// Guards against dispatching to a flapping target between its restarts, and
// against one that never gets work again.
BOOST_AUTO_TEST_CASE(AFlappingTargetIsDampedUntilItsPenaltyDecays) {
  TargetState State = makeTargetState(makeSettings(), 0);
  takeLoadReport(State, {"0", 0, Millis(), 0}, Millis());
  for (int I = 1; I <= 4; ++I)
    takeLoadReport(State, {std::to_string(I), 0, Millis(I * 1000), 0},
                   Millis(I * 1000));
  BOOST_TEST(isDamped(State, Millis(4000)));
  BOOST_TEST(!admits(State, Unbounded, Millis(4000)));
  BOOST_TEST(admits(State, Unbounded, Millis(60000)));
}

// Guards against dispatches to a target whose connections fail.
BOOST_AUTO_TEST_CASE(AnUnreachableTargetGetsAPause) {
  TargetState State = makeTargetState(makeSettings(), 0);
  noteUnreachable(State, Millis(1000));
  BOOST_TEST(!admits(State, Unbounded, Millis(1999)));
  BOOST_TEST(admits(State, Unbounded, Millis(2000)));
  BOOST_TEST(State.m_Penalty == 0);
}

BOOST_AUTO_TEST_SUITE_END()
