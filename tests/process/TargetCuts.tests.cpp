#include "EngineCrashes.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;
using namespace vanillaferry::tests;

namespace {

/// The users' time after which the callers of a gateway without a link to
/// targets are served at least that much as often as the others'.
constexpr double SettledMs = ContactMs;
constexpr double ServedRatio = 2.0 / 3;
constexpr double MeasuredMs = 5000;

struct ServedCount {
  std::size_t m_Served = 0;
  std::size_t m_All = 0;

  double share() const {
    return static_cast<double>(m_Served) /
           static_cast<double>(std::max<std::size_t>(1, m_All));
  }
};

/// Calls at the first gateways, or at the others, that began at a time.
ServedCount countServed(const std::vector<CallRecord> &Calls, std::size_t First,
                        std::size_t Last, double From, double Until) {
  ServedCount Count;
  for (const CallRecord &Call : Calls) {
    bool Counts = Call.m_Gateway >= First && Call.m_Gateway < Last &&
                  Call.m_Start >= From && Call.m_Start < Until;
    Count.m_All += Counts ? 1 : 0;
    Count.m_Served +=
        Counts && Call.m_Ending == CallEnding::Answered && Call.m_Status == 200
            ? 1
            : 0;
  }
  return Count;
}

/// Cuts the first gateways off from all targets and checks that their callers
/// are served nearly as often as those of the others, and afterwards too.
void checkCut(std::size_t Cut, NewConnections How) {
  constexpr std::size_t Gateways = 5;
  GatewayFleet Fleet(3, Gateways, 9, 1, TargetLinks::Own);
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, 1);
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  for (std::size_t Index = 0; Index < Gateways; ++Index)
    BOOST_REQUIRE(Fleet.waitReady(Index, StartLimitMs));
  GatewayCallers Callers(Fleet, Found, 20, 3);
  pauseFor(2000);
  for (std::size_t Index = 0; Index < Cut; ++Index)
    Fleet.closeTargetLinks(Index, How);
  double From = historyNow() + SettledMs;
  pauseFor(SettledMs + MeasuredMs);
  double Until = historyNow();
  for (std::size_t Index = 0; Index < Cut; ++Index)
    Fleet.healTargetLinks(Index);
  pauseFor(SettledMs + MeasuredMs);
  Callers.stop();
  std::vector<CallRecord> Calls = Callers.calls();
  ServedCount AtCut = countServed(Calls, 0, Cut, From, Until);
  ServedCount AtOthers = countServed(Calls, Cut, Gateways, From, Until);
  ServedCount Healed =
      countServed(Calls, 0, Cut, Until + SettledMs, historyNow());
  BOOST_TEST_MESSAGE("served at the gateways that were cut off "
                     << AtCut.m_Served << " of " << AtCut.m_All
                     << ", at the others " << AtOthers.m_Served << " of "
                     << AtOthers.m_All << ", afterwards " << Healed.m_Served
                     << " of " << Healed.m_All);
  BOOST_TEST(AtCut.m_All > 0U);
  BOOST_TEST(AtCut.share() >= ServedRatio * AtOthers.share());
  BOOST_TEST(Healed.share() >= ServedRatio);
  checkRuns(Fleet.targets().runs(), Calls, Operator, Found);
  for (const std::string &Fault : Found.all())
    BOOST_ERROR(Fault);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TargetCuts)

// Guards against gateways that keep or refuse their callers while they reach no
// target and other gateways do.
BOOST_AUTO_TEST_CASE(CallersOfGatewaysWithoutTargetsAreServedThroughOthers) {
  checkCut(3, NewConnections::Hang);
}

// Guards against the same where connections to targets are refused.
BOOST_AUTO_TEST_CASE(CallersOfAGatewayThatAllTargetsRefuseAreServed) {
  checkCut(1, NewConnections::Refused);
}

BOOST_AUTO_TEST_SUITE_END()
