#include "EngineCrashes.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace vanillaferry;
using namespace vanillaferry::tests;

namespace {

/// With three pages, longer than DrainMs for one reading, and each page within
/// the reader's time limit.
constexpr int SlowPageMs = 1400;
constexpr std::size_t PageEntries = 3;

} // namespace

BOOST_AUTO_TEST_SUITE(TargetListNews)

// Guards against requests to a target that the list shows as leaving while the
// keeper that reads the list is slow.
BOOST_AUTO_TEST_CASE(ASlowReaderDoesNotDelayTheNewsOfALeavingTarget) {
  GatewayFleet Fleet(3, 2, 9, 1, TargetLinks::KeepersList);
  Fleet.targets().setListPage(PageEntries);
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, 1);
  // The software version tells the leaving target's runs apart.
  constexpr std::size_t Engine = 0;
  Fleet.targets().setSoftware(Engine, "leaving");
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  BOOST_REQUIRE(Fleet.waitAllReady(StartLimitMs));
  GatewayCallers Callers(Fleet, Found, 8, 3, {CallKind::Stream, {"a", "b"}});
  pauseFor(1500);
  for (int Round = 0; Round < 3; ++Round) {
    Fleet.targets().slowLastListReader(SlowPageMs);
    pauseFor(1000);
    double Since = historyNow();
    Fleet.targets().setLeaving(Engine, true);
    pauseFor(DrainMs + 2000);
    double Until = historyNow();
    std::vector<TargetRun> Runs = Fleet.targets().runs();
    std::vector<double> Late;
    for (const TargetRun &Run : Runs)
      if (Run.m_Software == "leaving" && Run.m_At > Since + DrainMs &&
          Run.m_At < Until)
        Late.push_back(Run.m_At - Since);
    BOOST_TEST_CONTEXT("round " << Round << ", the last run after "
                                << (Late.empty() ? 0 : Late.back()) << " ms")
    BOOST_TEST(Late.empty());
    Fleet.targets().setLeaving(Engine, false);
    pauseFor(DrainMs + 2000);
  }
  Callers.stop();
  for (const std::string &Fault : Found.all())
    BOOST_ERROR(Fault);
}

BOOST_AUTO_TEST_SUITE_END()
