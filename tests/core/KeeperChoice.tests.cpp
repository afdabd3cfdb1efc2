#include "vanillaferry/process/keeper_choice.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace vanillaferry;

namespace {

constexpr Millis Start{10000};

std::vector<std::string> keeperUrls(int Count) {
  std::vector<std::string> Urls;
  for (int Index = 1; Index <= Count; ++Index)
    Urls.push_back("ws://10.0.0." + std::to_string(Index) + ":7340");
  return Urls;
}

NodeId gatewayName(int Index) {
  return NodeId("front-" + std::to_string(Index));
}

/// A gateway at its home keeper whose link is up.
KeeperChoice atHomeKeeper(int Keepers) {
  KeeperChoice Choice = makeKeeperChoice(gatewayName(1), keeperUrls(Keepers));
  recordKeeperLink(Choice, Choice.m_Current, true);
  return Choice;
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperChoices)

// Guards against one keeper that serves most of a large fleet: with 291
// gateways a leader spent its whole share of a core on their connections.
BOOST_AUTO_TEST_CASE(GatewaysSpreadOverAllKeepers) {
  constexpr int Gateways = 291;
  constexpr int Keepers = 9;
  std::map<std::string, int> PerKeeper;
  for (int Index = 0; Index < Gateways; ++Index)
    ++PerKeeper[makeKeeperChoice(gatewayName(Index), keeperUrls(Keepers))
                    .m_Current];
  BOOST_TEST(PerKeeper.size() == std::size_t(Keepers));
  for (const std::pair<const std::string, int> &Row : PerKeeper)
    BOOST_TEST(Row.second < 2 * Gateways / Keepers,
               Row.first << " serves " << Row.second << " gateways");
}

// Guards against a gateway that keeps its lease's renewals at a keeper that was
// lost before the link came up, for which no loss of a link is reported.
BOOST_AUTO_TEST_CASE(AnUnansweredRenewalGoesToTheNextKeeper) {
  KeeperChoice Choice = atHomeKeeper(3);
  std::string Home = Choice.m_Current;
  recordRenewalSent(Choice, Start);
  BOOST_TEST(!keeperOverdue(Choice, Start + Millis(1000)));
  // A later renewal does not extend the wait for the first one.
  recordRenewalSent(Choice, Start + Millis(500));
  BOOST_TEST(keeperOverdue(Choice, Start + Millis(1001)));
  selectNextKeeper(Choice, Start + Millis(1001), 0);
  BOOST_TEST(Choice.m_Current != Home);
  BOOST_TEST(!keeperOverdue(Choice, Start + Millis(5000)));
}

// Guards against a change of keeper right after its link came up: after a power
// cut of all machines the keepers started half a second after the gateways, and
// every gateway left its keeper just before the first grants.
BOOST_AUTO_TEST_CASE(ALateLinkStartsTheWaitForAnAnswer) {
  KeeperChoice Choice = makeKeeperChoice(gatewayName(1), keeperUrls(3));
  recordRenewalSent(Choice, Start);
  BOOST_TEST(keeperOverdue(Choice, Start + Millis(1001)));
  recordKeeperLink(Choice, Choice.m_Current, true);
  recordRenewalSent(Choice, Start + Millis(600));
  BOOST_TEST(!keeperOverdue(Choice, Start + Millis(1600)));
  BOOST_TEST(keeperOverdue(Choice, Start + Millis(1601)));
}

// Guards against gateways that all change keepers during an election, when no
// keeper can answer: each change costs a handshake at a slow keeper.
BOOST_AUTO_TEST_CASE(AKeeperThatHoldsTheRenewalIsNotOverdue) {
  KeeperChoice Choice = atHomeKeeper(3);
  recordRenewalSent(Choice, Start);
  recordKeeperHolds(Choice);
  BOOST_TEST(!keeperOverdue(Choice, Start + Millis(2500)));
  // A keeper that was lost meanwhile does not keep the gateway waiting.
  BOOST_TEST(keeperOverdue(Choice, Start + Millis(2501)));
}

// Guards against ever faster changes while no keeper answers at all.
BOOST_AUTO_TEST_CASE(EachUnansweredKeeperDoublesTheNextTimeout) {
  KeeperChoice Choice = atHomeKeeper(5);
  Millis Now = Start;
  for (std::int64_t Timeout : {1000, 2000, 4000, 8000, 8000}) {
    recordRenewalSent(Choice, Now);
    BOOST_TEST(!keeperOverdue(Choice, Now + Millis(Timeout)));
    Now = Now + Millis(Timeout + 1);
    BOOST_TEST(keeperOverdue(Choice, Now));
    selectNextKeeper(Choice, Now, 0);
  }
  recordKeeperAnswer(Choice, Now);
  recordRenewalSent(Choice, Now);
  BOOST_TEST(keeperOverdue(Choice, Now + Millis(1001)));
}

// Guards against all gateways staying at the keepers that took over from a lost
// one, and against a return to a keeper that cannot be reached.
BOOST_AUTO_TEST_CASE(AGatewayReturnsHomeOnlyOverALinkThatIsUp) {
  KeeperChoice Choice = atHomeKeeper(3);
  std::string Home = Choice.m_Current;
  recordKeeperLink(Choice, Home, false);
  selectNextKeeper(Choice, Start, 0);
  Millis Later = Start + Millis(60000);
  BOOST_TEST(wantedKeepers(Choice, Start).size() == 1U);
  BOOST_TEST(wantedKeepers(Choice, Later).size() == 2U);
  BOOST_TEST(!returnHome(Choice, Later));
  recordKeeperLink(Choice, Home, true);
  BOOST_TEST(!returnHome(Choice, Start + Millis(100)));
  BOOST_TEST(returnHome(Choice, Later));
  BOOST_TEST(Choice.m_Current == Home);
}

// Guards against a keeper that was replaced long ago and is asked for ever.
BOOST_AUTO_TEST_CASE(ANewerKeeperSetReplacesTheKnownKeepers) {
  KeeperChoice Choice = atHomeKeeper(3);
  std::vector<std::string> Replaced = {"ws://10.0.0.7:7340",
                                       "ws://10.0.0.8:7340"};
  replaceKeeperUrls(Choice, Replaced, 4, Start, 0);
  BOOST_TEST(Choice.m_Ranked.size() == 2U);
  replaceKeeperUrls(Choice, keeperUrls(3), 3, Start, 0);
  BOOST_TEST(Choice.m_Ranked.size() == 2U);
  // The answer of a keeper that lists none is no reason to forget them.
  replaceKeeperUrls(Choice, {}, 5, Start, 0);
  BOOST_TEST(Choice.m_Ranked.size() == 2U);
  BOOST_TEST(wantedKeepers(Choice, Start).size() == 2U);
}

// Guards against gateways that change keepers because all keepers are slow: the
// new links cost the keepers more than the late renewals, and the leader is the
// same for all of them.
BOOST_AUTO_TEST_CASE(ASlowKeeperThatIsHeardOfGetsANewerRenewal) {
  KeeperChoice Choice = atHomeKeeper(3);
  recordRenewalSent(Choice, Start);
  recordKeeperHeard(Choice, Choice.m_Current, Start + Millis(5));
  BOOST_TEST(!renewalRepeatDue(Choice, Start + Millis(999)));
  BOOST_TEST(renewalRepeatDue(Choice, Start + Millis(1000)));
  BOOST_TEST(!keeperOverdue(Choice, Start + Millis(1001)));
  recordRenewalSent(Choice, Start + Millis(1001));
  BOOST_TEST(!renewalRepeatDue(Choice, Start + Millis(1100)));
  recordKeeperHeard(Choice, Choice.m_Current, Start + Millis(1010));
  BOOST_TEST(!keeperOverdue(Choice, Start + Millis(2500)));
  // It may hang although its process answers.
  recordKeeperHeard(Choice, Choice.m_Current, Start + Millis(6000));
  BOOST_TEST(keeperOverdue(Choice, Start + Millis(6001)));
}

// Guards against a gateway that waits for a keeper that froze after it was
// heard of.
BOOST_AUTO_TEST_CASE(AKeeperThatFallsSilentIsLeftSoon) {
  KeeperChoice Choice = atHomeKeeper(3);
  recordRenewalSent(Choice, Start);
  recordKeeperHeard(Choice, Choice.m_Current, Start + Millis(5));
  BOOST_TEST(!keeperOverdue(Choice, Start + Millis(1505)));
  BOOST_TEST(keeperOverdue(Choice, Start + Millis(1506)));
  // What another keeper sent says nothing about the current one.
  recordKeeperHeard(Choice, "ws://10.0.0.9:7340", Start + Millis(1506));
  BOOST_TEST(keeperOverdue(Choice, Start + Millis(1506)));
}

BOOST_AUTO_TEST_SUITE_END()
