#include "RouterFixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;
using namespace vanillaferry::fakes;

namespace {

constexpr const char *Done = "data: [DONE]\n\n";

std::string tokens(int From, int Until) {
  std::string Events;
  for (int I = From; I < Until; ++I)
    Events += tokenEvent(I);
  return Events;
}

std::string idOf(const Connection &Open) {
  return fieldIn(Open.m_Request, "X-Request-Id");
}

} // namespace

BOOST_AUTO_TEST_SUITE(Streams)

// Guards against lost, doubled or reordered events on the plain way through.
BOOST_AUTO_TEST_CASE(AStreamedChatReachesItsCallerInOrderAndOnce) {
  FakeServer Engine([](Connection &Open) {
    Open.send(streamHead(idOf(Open)));
    for (int I = 0; I < 50; ++I)
      Open.send(chunk(tokenEvent(I)));
    Open.send(chunk(Done) + "0\r\n\r\n");
  });
  RouterFixture Fixture;
  Fixture.grantTargets({Engine.url()}, {});
  Answer Got = Fixture.exchange(
      RouterFixture::chatText(true, {{"X-Request-Id", "mine"}}));
  BOOST_TEST(Got.m_Status == 200);
  BOOST_TEST(Got.m_Whole);
  BOOST_TEST(Got.m_Body == tokens(0, 50) + Done);
  BOOST_TEST(Got.m_Fields["x-request-id"] == "mine");
  BOOST_TEST(Got.m_Fields["x-placement"] == "e1; ranked");
  BOOST_TEST(Engine.arrivals() == 1);
  BOOST_TEST(Fixture.m_Router.m_Sessions.empty());
  BOOST_TEST(Fixture.m_Router.m_Runs.empty());
}

BOOST_AUTO_TEST_SUITE_END()
