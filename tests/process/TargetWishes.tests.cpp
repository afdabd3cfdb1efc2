#include "EngineCrashes.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace vanillaferry;
using namespace vanillaferry::tests;

namespace {

/// The users' time from a refusal on after which the pause binds.
constexpr double PauseFromMs = 500;
/// Requests to a target that wants none, for each router.
constexpr std::size_t RequestsInPause = 2;

} // namespace

BOOST_AUTO_TEST_SUITE(TargetWishes)

// Guards against requests to a target that says in its answers that it leaves,
// which the list does not show.
BOOST_AUTO_TEST_CASE(ATargetThatSaysItLeavesGetsNoFurtherRequests) {
  constexpr std::size_t Engine = 0;
  GatewayFleet Fleet(3, 2, 9, 1);
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, 1);
  Fleet.targets().setSoftware(Engine, "leaving");
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  BOOST_REQUIRE(Fleet.waitAllReady(StartLimitMs));
  GatewayCallers Callers(Fleet, Found, 8, 3, {CallKind::Stream, {"a", "b"}});
  pauseFor(2000);
  TargetFaults Leaving;
  Leaving.m_SaysLeaving = true;
  Fleet.targets().setFaults(Engine, Leaving);
  double Since = historyNow();
  pauseFor(DrainMs + 3000);
  Callers.stop();
  std::vector<TargetRun> Runs = Fleet.targets().runs();
  auto CountFrom = [&Runs](double From, double Until) {
    return std::count_if(Runs.begin(), Runs.end(), [=](const TargetRun &Run) {
      return Run.m_Software == "leaving" && Run.m_At >= From &&
             Run.m_At < Until;
    });
  };
  BOOST_TEST(CountFrom(0, Since) > 0);
  BOOST_TEST(CountFrom(Since + DrainMs, historyNow()) == 0);
  for (const std::string &Fault : Found.all())
    BOOST_ERROR(Fault);
}

// Guards against requests to a target that has turned one away and wants none
// for a time, also when it is the only one that is left.
BOOST_AUTO_TEST_CASE(ATargetThatWantsAPauseGetsOne) {
  constexpr double PauseSeconds = 3;
  for (std::size_t Pausing : {1U, 6U}) {
    GatewayFleet Fleet(3, 1, 9, 1);
    FoundFaults Found;
    GatewayOperator Operator(Fleet, Found, 1);
    BOOST_REQUIRE(Operator.begin(StartLimitMs));
    BOOST_REQUIRE(Fleet.waitReady(0, StartLimitMs));
    GatewayCallers Callers(Fleet, Found, 6, 3, {CallKind::Stream, {"a", "b"}});
    pauseFor(1500);
    TargetFaults Busy;
    Busy.m_PauseSeconds = PauseSeconds;
    // Of three targets two are engines.
    for (std::size_t Number = 0; Number < Pausing; ++Number)
      Fleet.targets().setFaults(Number / 2 * 3 + Number % 2, Busy);
    pauseFor(PauseSeconds * 1000 + 500);
    Callers.stop();
    std::vector<double> Refusals = Fleet.targets().pauseRefusals();
    BOOST_REQUIRE(!Refusals.empty());
    double First = Refusals.front();
    std::size_t InPause = static_cast<std::size_t>(
        std::count_if(Refusals.begin(), Refusals.end(), [First](double At) {
          return At > First + 2 * PauseFromMs &&
                 At < First + PauseSeconds * 1000;
        }));
    BOOST_TEST_MESSAGE(Pausing << " targets want a pause, " << Refusals.size()
                               << " requests reached them, " << InPause
                               << " of these late");
    BOOST_TEST(InPause <= RequestsInPause);
    std::vector<CallRecord> Calls = Callers.calls();
    BOOST_TEST(
        std::none_of(Calls.begin(), Calls.end(), [](const CallRecord &C) {
          return C.m_Ending == CallEnding::Closed ||
                 C.m_Ending == CallEnding::TimedOut;
        }));
    for (const std::string &Fault : Found.all())
      BOOST_ERROR(Fault);
  }
}

BOOST_AUTO_TEST_SUITE_END()
