#include "LoopbackFakes.hpp"
#include "connection/platform_protocol.hpp"
#include "connection/target_list_reader.hpp"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <glib.h>
#include <optional>
#include <thread>

using namespace vanillaferry;
using namespace vanillaferry::fakes;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int Pages = 5;
constexpr std::chrono::milliseconds BusyTurn{50};
/// Two readings, the pause between them and the way to the gateways fit into
/// the four seconds in which a leaving target has to be known everywhere.
constexpr std::chrono::milliseconds ReadingBound{1000};
constexpr std::chrono::seconds GiveUpAfter{20};

std::string entry(int Page) {
  std::string Number = std::to_string(Page);
  return R"({"id":"i-)" + Number + R"(","service":"s","address":"10.0.0.)" +
         Number +
         R"(:80","zone":"z","version":"v1","slots":4,"state":"ready",)"
         R"("cold_remaining_ms":0})";
}

/// A list of one target a page.
void servePage(Connection &Link) {
  int Page = 1;
  std::size_t Token = Link.m_Request.find("page_token=p-");
  if (Token != std::string::npos)
    Page = std::atoi(Link.m_Request.c_str() + Token + 13);
  std::string Next =
      Page < Pages ? "\"p-" + std::to_string(Page + 1) + "\"" : "null";
  std::string Body =
      R"({"instances":[)" + entry(Page) + R"(],"next":)" + Next + "}";
  Link.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Content-Length: " +
            std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

gboolean handleOneTurn(gpointer) {
  std::this_thread::sleep_for(BusyTurn);
  return G_SOURCE_CONTINUE;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TargetListReadings)

// Guards against readings of the list that take seconds while the owner's main
// loop is busy: between any two steps of each page it handled other events.
BOOST_AUTO_TEST_CASE(ABusyMainLoopDoesNotDelayAReading) {
  FakeServer Platform(&servePage);
  std::optional<std::size_t> Targets;
  TargetListReader Reader(
      *platformProtocol(), "127.0.0.1:" + std::to_string(Platform.port()),
      [&Targets](TargetListReading Read) {
        Targets = Read.m_Targets ? Read.m_Targets.value().size() : 0;
      });
  guint Busy =
      g_idle_add_full(G_PRIORITY_DEFAULT, &handleOneTurn, nullptr, nullptr);
  Clock::time_point Begin = Clock::now();
  Reader.read();
  while (!Targets && Clock::now() < Begin + GiveUpAfter)
    g_main_context_iteration(nullptr, TRUE);
  std::chrono::milliseconds Took =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                            Begin);
  g_source_remove(Busy);
  BOOST_REQUIRE(Targets.has_value());
  BOOST_TEST(*Targets == static_cast<std::size_t>(Pages));
  BOOST_TEST(Took.count() < ReadingBound.count());
}

BOOST_AUTO_TEST_SUITE_END()
