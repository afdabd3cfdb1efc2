#include "vanillaferry/process/keeper_inbox.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

constexpr int Gateways = 291;
constexpr int Reports = 600;

PeerEvent message(PeerMessage Content, const std::string &From = "g",
                  std::uint64_t Connection = 1) {
  return {PeerEvent::Kind::Message, NodeId(From), Connection,
          std::move(Content)};
}

Renew renewal(const std::string &Node, std::uint64_t Sequence) {
  Renew Request;
  Request.m_Node = NodeId(Node);
  Request.m_Incarnation = Incarnation(1);
  Request.m_Sequence = Sequence;
  return Request;
}

std::string nameOf(int Gateway) { return "g" + std::to_string(Gateway); }

/// The inbox of a keeper in a storm: reports first, then one renewal of each
/// gateway.
KeeperInbox crowded() {
  KeeperInbox Inbox;
  for (int I = 0; I < Reports; ++I)
    addEvent(Inbox, message(PromptReport()));
  for (int I = 0; I < Gateways; ++I)
    addEvent(Inbox, message(renewal(nameOf(I), 1), nameOf(I)));
  return Inbox;
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperInboxes)

// Guards against a changed list of targets that waits at a keeper behind
// everything that gateways have sent.
BOOST_AUTO_TEST_CASE(AListOfTargetsGoesBeforeReportsAndRenewals) {
  KeeperInbox Inbox = crowded();
  addEvent(Inbox, message(TargetListUpdate(), "leader"));
  std::optional<PeerEvent> First = nextEvent(Inbox);
  BOOST_REQUIRE(First.has_value());
  BOOST_TEST(std::holds_alternative<TargetListUpdate>(First->m_Message));
}

// Guards against leases that end because renewals wait behind reports.
BOOST_AUTO_TEST_CASE(RenewalsWaitForFewReports) {
  KeeperInbox Inbox = crowded();
  int Before = 0;
  int Renewals = 0;
  while (Renewals < Gateways) {
    std::optional<PeerEvent> Next = nextEvent(Inbox);
    BOOST_REQUIRE(Next.has_value());
    bool IsRenewal = std::holds_alternative<Renew>(Next->m_Message);
    Renewals += IsRenewal ? 1 : 0;
    Before += IsRenewal ? 0 : 1;
  }
  BOOST_TEST(Before <= Gateways / 8);
  BOOST_TEST(Before > 0);
}

// Guards against a keeper that grants old renewals while newer ones of the same
// gateways wait: such leases have ended when they arrive.
BOOST_AUTO_TEST_CASE(TheNewestRenewalOfAGatewayTakesItsFirstPlace) {
  KeeperInbox Inbox;
  addEvent(Inbox, message(renewal("g1", 1), "g1"));
  addEvent(Inbox, message(renewal("g2", 1), "g2"));
  addEvent(Inbox, message(renewal("g1", 3), "g1"));
  // Delivered late by another link.
  addEvent(Inbox, message(renewal("g1", 2), "g1", 2));
  std::optional<PeerEvent> First = nextEvent(Inbox);
  BOOST_REQUIRE(First.has_value());
  BOOST_TEST(std::get<Renew>(First->m_Message).m_Node == NodeId("g1"));
  BOOST_TEST(std::get<Renew>(First->m_Message).m_Sequence == 3u);
  BOOST_TEST(nextEvent(Inbox).has_value());
  BOOST_TEST(!nextEvent(Inbox).has_value());
  BOOST_TEST(isEmpty(Inbox));
}

// Guards against a record of a served gateway whose link has ended: its renewal
// would be handled after the end.
BOOST_AUTO_TEST_CASE(RenewalsOfAnEndedLinkAreDropped) {
  KeeperInbox Inbox;
  addEvent(Inbox, message(renewal("g1", 1), "g1", 7));
  addEvent(Inbox, message(renewal("g2", 1), "g2", 8));
  addEvent(Inbox, {PeerEvent::Kind::Down, NodeId("g1"), 7, PeerMessage()});
  BOOST_TEST((nextEvent(Inbox)->m_Kind == PeerEvent::Kind::Down));
  BOOST_TEST(std::get<Renew>(nextEvent(Inbox)->m_Message).m_Node ==
             NodeId("g2"));
  BOOST_TEST(!nextEvent(Inbox).has_value());
}

// Guards against an inbox that grows without end under reports.
BOOST_AUTO_TEST_CASE(TheOldestReportsAreDropped) {
  KeeperInbox Inbox;
  for (int I = 0; I < Reports; ++I) {
    PromptReport Report;
    Report.m_History = Millis(I);
    addEvent(Inbox, message(Report));
  }
  BOOST_TEST(Inbox.m_ReportsDropped > 0u);
  BOOST_TEST(Inbox.m_Reports.size() + Inbox.m_ReportsDropped ==
             static_cast<std::size_t>(Reports));
  BOOST_TEST(
      std::get<PromptReport>(Inbox.m_Reports.back().m_Message).m_History ==
      Millis(Reports - 1));
}

BOOST_AUTO_TEST_SUITE_END()
