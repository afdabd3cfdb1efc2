#include "RouterFleet.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace vanillaferry;
using namespace vanillaferry::tests;
using nlohmann::json;

namespace {

constexpr int SecondMs = 1000;

void pause(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

double numberAt(const LoadReport &Load, const char *Group, const char *Name,
                const char *Field) {
  return Load.m_Figures.value(Group, json::object())
      .value(Name, json::object())
      .value(Field, 0.0);
}

void requireNothingLost(const LoadReport &Load) {
  BOOST_TEST(Load.number("lost") == 0U);
  BOOST_TEST(Load.number("wrong") == 0U);
  BOOST_TEST(Load.number("explicit_errors") == 0U);
  BOOST_TEST(Load.m_Figures["refused"].empty());
  BOOST_TEST(Load.number("whole") == Load.number("sent"));
}

/// Chats that return after pauses of about 8 s.
const std::vector<std::string> RestingChats = {
    "--chats", "240", "--turns", "50", "--warm-up", "16", "--min-pause", "2"};

} // namespace

BOOST_AUTO_TEST_SUITE(CacheReuse)

// Guards against returning chats that lose their engine although it has places:
// requests that waited for a full holder were decided at ticks only, after
// later arrivals had taken the freed places.
BOOST_AUTO_TEST_CASE(ReturningChatsFindTheirPrefix) {
  RouterFleet Fleet({3, 2, 4});
  Fleet.startLoad({0, 1}, 40, 30, {"--warm-up", "12"});
  LoadReport Load = Fleet.finishLoad();
  requireNothingLost(Load);
  BOOST_TEST(Load.m_Figures["returning"].value("reuse_of_prefix", 0.0) >= 0.82);
  BOOST_TEST(Fleet.counter("vanillaferry_cache_polls_total") > 0);
}

// Guards against chats of a zone that was taken out that all start from
// nothing, although their engines export. Both kinds of engine leave in one
// run, so that the machine's speed does not matter.
BOOST_AUTO_TEST_CASE(ChatsOfALeavingZoneFindTheirExportedPrefix) {
  FleetPlan Plan{3, 3, 8};
  Plan.m_WithoutExport = 3;
  RouterFleet Fleet(Plan);
  Fleet.startLoad({0, 1, 2}, 30, 28, RestingChats);
  pause(14 * SecondMs);
  BOOST_REQUIRE_EQUAL(Fleet.setZone("south", false).m_HttpStatus, 200);
  LoadReport Load = Fleet.finishLoad();
  requireNothingLost(Load);
  double Prefix = 0;
  double Reused = 0;
  for (const char *Engine : {"engine-1", "engine-5", "engine-7"}) {
    Prefix += numberAt(Load, "moved_from", Engine, "prefix_tokens");
    Reused += numberAt(Load, "moved_from", Engine, "reused_tokens");
  }
  BOOST_REQUIRE_GT(Prefix, 0);
  double Without = numberAt(Load, "moved_from", "engine-3", "reuse_of_prefix");
  BOOST_TEST_MESSAGE("with export " << Reused / Prefix << ", without "
                                    << Without);
  BOOST_TEST(Reused / Prefix >= Without + 0.3);
  BOOST_TEST(Fleet.counter("vanillaferry_kv_copies_total") > 0);
  BOOST_TEST(Fleet.statsOf(Fleet.engineUrl(3)).value("exported", 1U) == 0U);
  BOOST_TEST(Fleet.checkHistory() == 0, Fleet.historyReport());
}

// Guards against requests that are lost, or tries without end, when an engine
// stops exporting half-way.
BOOST_AUTO_TEST_CASE(AnExportThatFailsHalfWayLosesNothing) {
  RouterFleet Fleet({3, 3, 4});
  Fleet.fault(Fleet.engineUrl(1), {{"exports_left", 3}});
  Fleet.startLoad({0, 1, 2}, 30, 12, {"--chats", "240"});
  pause(6 * SecondMs);
  BOOST_REQUIRE_EQUAL(Fleet.setZone("south", false).m_HttpStatus, 200);
  requireNothingLost(Fleet.finishLoad());
  BOOST_TEST(Fleet.statsOf(Fleet.engineUrl(1)).value("exported", 0U) == 3U);
  BOOST_TEST(Fleet.counter("vanillaferry_kv_copy_failures_total") >= 3);
  BOOST_TEST(Fleet.checkHistory() == 0, Fleet.historyReport());
}

BOOST_AUTO_TEST_SUITE_END()
