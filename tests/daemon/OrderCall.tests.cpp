#include "RouterFixture.hpp"

#include "connection/order_adapter.hpp"
#include "process/clock.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;
using namespace vanillaferry::fakes;

namespace {

/// Sends one order and returns its reply.
OrderReply orderOnce(const std::string &Url, bool MayWrite,
                     Millis Limit = Millis(5000)) {
  std::shared_ptr<FdWatcher> Watcher = std::make_shared<FdWatcher>();
  EngineOrder Order;
  Order.m_OrderId = "o-1";
  Order.m_Action = "load_model";
  Order.m_Argument = "oak@2";
  Order.m_FencingToken = 77;
  int Ends = 0;
  OrderReply Result;
  std::shared_ptr<OrderCall> Call = OrderCall::start(
      Watcher, Url, Order, monotonicNow() + Limit,
      [MayWrite] { return MayWrite; },
      [&](const OrderReply &Reply) {
        ++Ends;
        Result = Reply;
      });
  RouterFixture::runUntil([&Ends] { return Ends != 0; });
  RouterFixture::runUntil([] { return false; }, 100);
  BOOST_TEST(Ends == 1);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OrderCalls)

// Guards against sending an order after the quorum lease or the order's time
// limit has ended during the connect.
BOOST_AUTO_TEST_CASE(NoOrderIsSentWithoutTheLeaseOrAfterItsTimeLimit) {
  FakeServer Server([](Connection &) {});
  OrderReply Forbidden = orderOnce(Server.url(), false);
  BOOST_TEST((Forbidden.m_Outcome == OrderOutcome::Unreachable));
  OrderReply Late = orderOnce(Server.url(), true, Millis(-1));
  BOOST_TEST((Late.m_Outcome == OrderOutcome::Unreachable));
  BOOST_TEST(Server.arrivals() == 0);
}

// Guards against an unknown outcome being reported as an order that did not
// run, and against an order being repeated over a second connection.
BOOST_AUTO_TEST_CASE(OutcomesAreToldApartAndEachTryArrivesOnce) {
  BOOST_TEST((orderOnce("http://127.0.0.1:1", true).m_Outcome ==
              OrderOutcome::Unreachable));
  FakeServer Closes([](Connection &) {});
  BOOST_TEST(
      (orderOnce(Closes.url(), true).m_Outcome == OrderOutcome::Unknown));
  BOOST_TEST(Closes.arrivals() == 1);
  BOOST_REQUIRE(Closes.requests().size() == 1U);
  BOOST_TEST(Closes.requests()[0].find("\"fencing_token\":77") !=
             std::string::npos);
  FakeServer Silent([](Connection &Open) { Open.closedWithin(3000); });
  BOOST_TEST((orderOnce(Silent.url(), true, Millis(300)).m_Outcome ==
              OrderOutcome::Unknown));
  BOOST_TEST(Silent.arrivals() == 1);
  BOOST_TEST((readOrderAnswer(204, "").m_Outcome == OrderOutcome::Done));
  BOOST_TEST((readOrderAnswer(409, "").m_Outcome == OrderOutcome::OldToken));
  for (int Status : {302, 404, 500, 503})
    BOOST_TEST((readOrderAnswer(Status, "").m_Outcome == OrderOutcome::Failed),
               Status);
}

BOOST_AUTO_TEST_SUITE_END()
