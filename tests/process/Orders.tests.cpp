#include "RouterFleet.hpp"
#include "vanillaferry/process/ownership.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace vanillaferry;
using namespace vanillaferry::tests;
using nlohmann::json;

namespace {

std::uint64_t runsOf(const RouterFleet &Fleet, const std::string &Key) {
  json Stats = Fleet.statsOf(Fleet.serviceUrl());
  return Stats["runs"].value(Key, std::uint64_t(0));
}

std::string reasonOf(const OperatorReply &Reply) {
  return Reply.m_Body.is_object() && Reply.m_Body.contains("error")
             ? Reply.m_Body["error"].value("name", std::string())
             : std::string();
}

json notRunOf(const OperatorReply &Reply) {
  return Reply.m_Body.is_object() && Reply.m_Body.contains("error")
             ? Reply.m_Body["error"].value("not_run", json())
             : json();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Orders)

// Guards against an order that runs again when its answer was lost.
BOOST_AUTO_TEST_CASE(AResentOrderGetsTheRecordedAnswerFromEveryRouter) {
  RouterFleet Fleet({3, 2, 1});
  OperatorReply First = Fleet.order(0, "order-1", "{\"beams\":4}");
  BOOST_TEST(First.m_HttpStatus == 200);
  OperatorReply Second = Fleet.order(1, "order-1", "{\"beams\":4}");
  BOOST_TEST(Second.m_HttpStatus == 200);
  BOOST_TEST(Second.m_Body.dump() == First.m_Body.dump());
  OperatorReply Other = Fleet.order(1, "order-1", "{\"beams\":5}");
  BOOST_TEST(reasonOf(Other) == "key_body_mismatch");
  BOOST_TEST(runsOf(Fleet, "order-1") == 1U);
}

// Guards against the HTTP library sending a request again on its own, and
// against a "not run" for a call whose outcome nobody knows.
BOOST_AUTO_TEST_CASE(AServiceThatReadsAndClosesSeesOneArrival) {
  RouterFleet Fleet({3, 2, 1});
  Fleet.order(0, "warm-up", "{}");
  std::uint64_t Before =
      Fleet.statsOf(Fleet.serviceUrl()).value("arrivals", 0U);
  Fleet.fault(Fleet.serviceUrl(), {{"read_and_close", 5}});
  OperatorReply Reply = Fleet.order(0, "order-2", "{}");
  BOOST_TEST(reasonOf(Reply) == "outcome_unknown");
  BOOST_TEST(notRunOf(Reply) == json("unknown"));
  OperatorReply Again = Fleet.order(1, "order-2", "{}");
  BOOST_TEST(reasonOf(Again) == "outcome_unknown");
  BOOST_TEST(Fleet.statsOf(Fleet.serviceUrl()).value("arrivals", 0U) ==
             Before + 1);
}

// Guards against a second run when the service ran the order and its answer
// never came.
BOOST_AUTO_TEST_CASE(AnOrderThatRanWithoutAnswerIsNeverRunAgain) {
  RouterFleet Fleet({3, 2, 1});
  Fleet.fault(Fleet.serviceUrl(), {{"run_and_close", 1}});
  BOOST_TEST(notRunOf(Fleet.order(0, "order-3", "{}")) == json("unknown"));
  for (std::size_t Router : {0, 1})
    BOOST_TEST(reasonOf(Fleet.order(Router, "order-3", "{}")) ==
               "outcome_unknown");
  BOOST_TEST(runsOf(Fleet, "order-3") == 1U);
}

// Guards against a second run when the router dies between the dispatch and the
// record of the outcome.
BOOST_AUTO_TEST_CASE(AnOrderOfAKilledRouterBecomesUnknownAndNeverRunsAgain) {
  RouterFleet Fleet({3, 2, 1});
  Fleet.fault(Fleet.serviceUrl(), {{"delay_ms", 3000}});
  std::thread Caller([&Fleet] { Fleet.order(0, "order-4", "{}", 4000); });
  BOOST_REQUIRE(
      waitUntil([&Fleet] { return runsOf(Fleet, "order-4") == 1; }, 3000));
  BOOST_TEST(reasonOf(Fleet.order(1, "order-4", "{}")) == "already_running");
  Fleet.router(0).kill();
  Caller.join();
  BOOST_TEST(waitUntil(
      [&Fleet] {
        return reasonOf(Fleet.order(1, "order-4", "{}")) == "outcome_unknown";
      },
      15000));
  BOOST_TEST(runsOf(Fleet, "order-4") == 1U);
}

// Guards against orders that are granted twice while leaders change and callers
// resend to other routers.
BOOST_AUTO_TEST_CASE(ConcurrentResendsWhileLeadersAreKilledRunOnce) {
  RouterFleet Fleet({3, 3, 1});
  constexpr int Keys = 40;
  std::vector<std::thread> Callers;
  for (std::size_t Router = 0; Router < 3; ++Router)
    Callers.emplace_back([&Fleet, Router] {
      for (int I = 0; I < Keys; ++I)
        Fleet.order(Router, "race-" + std::to_string(I), "{}", 8000);
    });
  std::size_t Leader = Fleet.keepers().waitForLeader();
  BOOST_REQUIRE_LT(Leader, Fleet.keepers().size());
  Fleet.keepers().process(Leader).kill();
  for (std::thread &Caller : Callers)
    Caller.join();
  std::uint64_t Ran = 0;
  for (int I = 0; I < Keys; ++I) {
    std::uint64_t Runs = runsOf(Fleet, "race-" + std::to_string(I));
    BOOST_TEST(Runs <= 1U, "race-" << I << " ran " << Runs << " times");
    Ran += Runs;
  }
  BOOST_TEST(Ran > 0U);
  int Code = Fleet.checkHistory();
  BOOST_TEST(Code == 0, Fleet.historyReport());
}

// Guards against first requests over an idle link that are lost, refused or
// left in doubt because the other router has gone silent.
BOOST_AUTO_TEST_CASE(OrdersForASilentOwnerBehindAnIdleLinkStillRunOnce) {
  RouterFleet Fleet({3, 3, 1});
  Membership Members;
  for (std::size_t I = 0; I < 3; ++I) {
    Member One;
    One.m_Node = NodeId("router-" + std::to_string(I));
    Members.m_Members.push_back(One);
  }
  std::size_t Owner = 0;
  while (NodeId("router-" + std::to_string(Owner)) !=
         ownerOf(Members, TargetId("ledger")))
    ++Owner;
  // Idle links hear nothing for longer than the silence limit.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  Fleet.router(Owner).freeze();
  std::vector<std::thread> Callers;
  std::vector<OperatorReply> Replies(6);
  for (std::size_t I = 0; I < Replies.size(); ++I)
    Callers.emplace_back([&, I] {
      Replies[I] = Fleet.order((Owner + 1 + I % 2) % 3,
                               "silent-" + std::to_string(I), "{}", 20000);
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  Fleet.router(Owner).thaw();
  for (std::size_t I = 0; I < Replies.size(); ++I) {
    BOOST_TEST(Replies[I].m_HttpStatus == 200,
               "order " << I << ": " << Replies[I].m_Body.dump());
    BOOST_TEST(runsOf(Fleet, "silent-" + std::to_string(I)) == 1U);
  }
  BOOST_TEST(Fleet.waitReady(Owner));
  int Code = Fleet.checkHistory();
  BOOST_TEST(Code == 0, Fleet.historyReport());
}

// Guards against a key that is used without a time of issue and could be run
// again once it is forgotten.
BOOST_AUTO_TEST_CASE(AnOrderWithoutAKeyIsRefusedNotRun) {
  RouterFleet Fleet({3, 1, 1});
  OperatorRequest Request{"POST", "/services/ledger/orders", {}, "{}"};
  OperatorReply Reply = Fleet.call(0, Request);
  BOOST_TEST(reasonOf(Reply) == "missing_idempotency_key");
  BOOST_TEST(notRunOf(Reply) == json(true));
  Request.m_Headers = {{"Idempotency-Key", "old"},
                       {"Idempotency-Key-Issued", "1000"}};
  BOOST_TEST(reasonOf(Fleet.call(0, Request)) == "key_expired");
  BOOST_TEST(Fleet.statsOf(Fleet.serviceUrl()).value("arrivals", 0U) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
