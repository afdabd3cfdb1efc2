#include "RouterFleet.hpp"
#include "vanillaferry/process/ownership.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace vanillaferry;
using namespace vanillaferry::tests;
using nlohmann::json;

namespace {

constexpr int SecondMs = 1000;

void pause(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

/// Every answer arrived whole and was the caller's own.
void requireAllWhole(const LoadReport &Load) {
  BOOST_TEST(Load.number("lost") == 0U);
  BOOST_TEST(Load.number("wrong") == 0U);
  BOOST_TEST(Load.number("explicit_errors") == 0U);
  BOOST_TEST(Load.m_Figures["refused"].empty());
  BOOST_TEST(Load.number("whole") == Load.number("sent"));
}

void requireHistoryHolds(RouterFleet &Fleet) {
  int Code = Fleet.checkHistory();
  BOOST_TEST(Code == 0, Fleet.historyReport());
}

} // namespace

BOOST_AUTO_TEST_SUITE(Routers)

// Guards against answers that are cut or mixed up when engines close
// connections, go silent or forget a stream.
BOOST_AUTO_TEST_CASE(BrokenAndSilentStreamsStillArriveWhole) {
  RouterFleet Fleet({3, 2, 4});
  Fleet.startLoad({0, 1}, 40, 8);
  pause(SecondMs);
  Fleet.fault(Fleet.engineUrl(0), {{"close_after", 7}, {"times", 5}});
  Fleet.fault(Fleet.engineUrl(1), {{"silent_after", 5}, {"times", 5}});
  Fleet.fault(Fleet.engineUrl(2),
              {{"close_after", 9}, {"times", 3}, {"no_resume", true}});
  LoadReport Load = Fleet.finishLoad();
  requireAllWhole(Load);
  // The faults took place; a broken stream may also be continued elsewhere.
  BOOST_TEST(Fleet.statsOf(Fleet.engineUrl(0)).value("resumed", 0) >= 1);
  BOOST_TEST(Fleet.statsOf(Fleet.engineUrl(1)).value("resumed", 0) >= 1);
  requireHistoryHolds(Fleet);
}

// Guards against chats that end with the engine they run on.
BOOST_AUTO_TEST_CASE(AKilledEnginesStreamsGoOnElsewhere) {
  RouterFleet Fleet({3, 2, 4});
  Fleet.startLoad({0, 1}, 40, 8);
  pause(2 * SecondMs);
  Fleet.engine(1).kill();
  pause(3 * SecondMs);
  Fleet.startEngine(1);
  requireAllWhole(Fleet.finishLoad());
  requireHistoryHolds(Fleet);
}

// Guards against streams that end with the owner of their engine, and against
// targets that stay without an owner.
BOOST_AUTO_TEST_CASE(AKilledOwnersStreamsGoOnUnderTheNextOwner) {
  RouterFleet Fleet({3, 3, 6});
  Fleet.startLoad({0, 1}, 40, 12);
  pause(3 * SecondMs);
  Fleet.router(2).kill();
  LoadReport Load = Fleet.finishLoad();
  requireAllWhole(Load);
  requireHistoryHolds(Fleet);
}

// Guards against a router that dispatches after it was frozen past its lease.
BOOST_AUTO_TEST_CASE(AFrozenRouterLosesItsTargetsAndReturnsWithoutHarm) {
  RouterFleet Fleet({3, 3, 6});
  Fleet.startLoad({0, 1}, 40, 16);
  pause(2 * SecondMs);
  Fleet.router(2).freeze();
  pause(8 * SecondMs);
  Fleet.router(2).thaw();
  requireAllWhole(Fleet.finishLoad());
  BOOST_TEST(Fleet.waitReady(2));
  requireHistoryHolds(Fleet);
}

// Guards against new work in a zone that operators have taken out, and against
// answers that are lost while it leaves and returns.
BOOST_AUTO_TEST_CASE(AZoneThatIsTakenOutGetsNoWorkAndLosesNone) {
  RouterFleet Fleet({3, 3, 6});
  Fleet.startLoad({0, 1, 2}, 50, 14);
  pause(3 * SecondMs);
  OperatorReply Out = Fleet.setZone("south", false);
  BOOST_REQUIRE_EQUAL(Out.m_HttpStatus, 200);
  BOOST_TEST(Out.m_Body.value("in_force_ms", 1000000) <= 3000);
  std::uint64_t Before =
      Fleet.statsOf(Fleet.engineUrl(1)).value("arrivals", 0U);
  pause(5 * SecondMs);
  BOOST_TEST(Fleet.statsOf(Fleet.engineUrl(1)).value("arrivals", 0U) == Before);
  Fleet.setZone("south", true);
  requireAllWhole(Fleet.finishLoad());
  BOOST_TEST(Fleet.statsOf(Fleet.engineUrl(1)).value("arrivals", 0U) > Before);
  requireHistoryHolds(Fleet);
}

// Guards against new work at a VM that the platform lists as leaving.
BOOST_AUTO_TEST_CASE(ALeavingVmGetsNoNewWork) {
  FleetPlan Plan{3, 2, 4};
  Plan.m_Platform = true;
  RouterFleet Fleet(Plan);
  Fleet.startLoad({0, 1}, 40, 10);
  pause(2 * SecondMs);
  Fleet.setVmState(1, "leaving");
  Fleet.note({{"op", "out"}, {"vm", "vm-engine-1"}, {"time", historyNow()}});
  requireAllWhole(Fleet.finishLoad());
  requireHistoryHolds(Fleet);
}

// Guards against new work at a leaving VM whose owner reads a list that lags by
// more than the allowed 3 s, while another router's list shows the leave.
BOOST_AUTO_TEST_CASE(ALeavingVmGetsNoNewWorkFromAnOwnerWithALaggingList) {
  constexpr int LagMs = 6 * SecondMs;
  Membership Members;
  for (const char *Name : {"router-0", "router-1"})
    Members.m_Members.push_back({NodeId(Name), {}, "", {}, false});
  FleetPlan Plan{3, 2, 4};
  Plan.m_Platform = true;
  Plan.m_ListLagMs = {0, LagMs};
  std::size_t Engine = 0;
  while (*ownerOf(Members, TargetId("engine-" + std::to_string(Engine))) !=
         NodeId("router-1"))
    ++Engine;
  BOOST_REQUIRE_LT(Engine, Plan.m_Engines);
  RouterFleet Fleet(Plan);
  // Until then the lagging list is empty.
  pause(LagMs);
  Fleet.startLoad({0, 1}, 40, 10);
  pause(2 * SecondMs);
  std::string Url = Fleet.engineUrl(Engine);
  BOOST_TEST(Fleet.statsOf(Url).value("arrivals", 0U) > 0U);
  Fleet.setVmState(Engine, "leaving");
  Fleet.note({{"op", "out"},
              {"vm", "vm-engine-" + std::to_string(Engine)},
              {"time", historyNow()}});
  pause(2 * SecondMs);
  std::uint64_t Before = Fleet.statsOf(Url).value("arrivals", 0U);
  pause(3 * SecondMs);
  // The owner's own list shows the VM as live up to here.
  BOOST_TEST(Fleet.statsOf(Url).value("arrivals", 0U) == Before);
  requireAllWhole(Fleet.finishLoad());
  requireHistoryHolds(Fleet);
}

// Guards against a shutdown that cuts requests or leaves with an error.
BOOST_AUTO_TEST_CASE(AGracefulShutdownCutsNoRequest) {
  FleetPlan Plan{3, 3, 4};
  Plan.m_TokenIntervalMs = 30;
  RouterFleet Fleet(Plan);
  Fleet.startLoad({0, 1, 2}, 30, 8, {"--retries", "5"});
  pause(3 * SecondMs);
  Fleet.router(1).signal(SIGTERM);
  BOOST_TEST(Fleet.router(1).waitForExit(15 * SecondMs) == 0);
  requireAllWhole(Fleet.finishLoad());
  requireHistoryHolds(Fleet);
}

// Guards against a lost keeper leader stopping the chats.
BOOST_AUTO_TEST_CASE(ChatsGoOnWhileTheLeadingKeeperIsKilled) {
  RouterFleet Fleet({3, 2, 4});
  Fleet.startLoad({0, 1}, 40, 10);
  pause(2 * SecondMs);
  std::size_t Leader = Fleet.keepers().leader();
  BOOST_REQUIRE_LT(Leader, Fleet.keepers().size());
  Fleet.keepers().process(Leader).kill();
  requireAllWhole(Fleet.finishLoad());
  requireHistoryHolds(Fleet);
}

// Guards against work under a lease that no quorum can renew, and against a
// "not run" that is not true.
BOOST_AUTO_TEST_CASE(WithoutKeepersRoutersRefuseTrulyNotRun) {
  RouterFleet Fleet({3, 2, 4});
  Fleet.keepers().process(0).kill();
  Fleet.keepers().process(1).kill();
  BOOST_REQUIRE(
      waitUntil([&Fleet] { return !Fleet.waitReady(0, 1); }, 8 * SecondMs));
  pause(SecondMs);
  Fleet.startLoad({0, 1}, 20, 2);
  LoadReport Load = Fleet.finishLoad();
  BOOST_TEST(Load.number("whole") == 0U);
  BOOST_TEST(Load.m_Figures["refused"].value("no_lease", 0U) ==
             Load.number("sent"));
  requireHistoryHolds(Fleet);
}

BOOST_AUTO_TEST_SUITE_END()
