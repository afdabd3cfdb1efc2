#include "vanillaferry/process/engine_orders.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

EngineOrder orderOf(const std::string &Id, const std::string &Target,
                    const std::string &Action) {
  EngineOrder Order;
  Order.m_OrderId = Id;
  Order.m_Target = TargetId(Target);
  Order.m_Action = Action;
  return Order;
}

EngineOrder begin(StateMachine &State, std::uint64_t Index,
                  const EngineOrder &Order) {
  return std::get<EngineOrder>(
      applyCommand(State, LogIndex(Index), BeginOrder{Order}));
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineOrders)

// Guards against two leaders that order the same engine, one of them late.
BOOST_AUTO_TEST_CASE(EngineThatIgnoresTokensIsOrderedAfterTheTimeout) {
  OrderSender Sender = makeOrderSender(60, Millis(1000));
  EngineOrder Order = orderOf("o", "t", "change_role");
  OrderDecision Early = decideOrder(Sender, Order, false, Millis(11000));
  BOOST_TEST((Early.m_Verdict == OrderVerdict::WaitForFormerLeader));
  // 10 s and the drift bound of 1%.
  BOOST_TEST(Early.m_Until == Millis(11100));
  BOOST_TEST((decideOrder(Sender, Order, false, Millis(11100)).m_Verdict ==
              OrderVerdict::Send));
  BOOST_TEST((decideOrder(Sender, Order, true, Millis(1000)).m_Verdict ==
              OrderVerdict::Send));
}

// Guards against an order that is written by a process which woke up late or
// does not lead any more.
BOOST_AUTO_TEST_CASE(OrderIsWrittenOnlyWithinItsTimeAndUnderTheQuorumLease) {
  BOOST_TEST(mayWriteOrder(Millis(0), true, Millis(9999)));
  BOOST_TEST(!mayWriteOrder(Millis(0), true, Millis(10000)));
  BOOST_TEST(!mayWriteOrder(Millis(0), false, Millis(1)));
}

// Guards against a weight store that is asked for more loads than it gives,
// also across a change of leader.
BOOST_AUTO_TEST_CASE(LoadsStayWithinTheWeightStoresRate) {
  int Loads = 0;
  for (int Leader = 0; Leader < 3; ++Leader) {
    Millis Elected(Leader * 20000);
    OrderSender Sender = makeOrderSender(6, Elected);
    EngineOrder Load = orderOf("o", "t", "load_model");
    for (std::int64_t At = 0; At < 20000; At += 7) {
      OrderDecision Decision =
          decideOrder(Sender, Load, true, Elected + Millis(At));
      if (Decision.m_Verdict == OrderVerdict::Send)
        ++Loads;
      else
        BOOST_TEST(Elected + Millis(At) < Decision.m_Until);
      BOOST_TEST((decideOrder(Sender, orderOf("r", "t", "change_role"), true,
                              Elected + Millis(At))
                      .m_Verdict == OrderVerdict::Send));
    }
  }
  BOOST_TEST(Loads > 0);
  BOOST_TEST(Loads <= 6);
  OrderSender Closed = makeOrderSender(0, Millis(0));
  BOOST_TEST((decideOrder(Closed, orderOf("o", "t", "load_adapter"), true,
                          Millis(1000000))
                  .m_Verdict == OrderVerdict::WaitForWeightStore));
}

// Guards against a leader that waits for a time at which no load is there yet.
BOOST_AUTO_TEST_CASE(LoadIsGivenAtTheTimeThatTheDecisionNames) {
  OrderSender Sender = makeOrderSender(7, Millis(0));
  EngineOrder Load = orderOf("o", "t", "load_version");
  Millis Now(0);
  for (int I = 0; I < 20; ++I) {
    OrderDecision Decision = decideOrder(Sender, Load, true, Now);
    BOOST_TEST((Decision.m_Verdict == OrderVerdict::WaitForWeightStore));
    Now = Decision.m_Until;
    BOOST_TEST(
        (decideOrder(Sender, Load, true, Now).m_Verdict == OrderVerdict::Send));
  }
}

// Guards against orders that reach an engine out of order or without a token.
BOOST_AUTO_TEST_CASE(TokenIsTheLogIndexAndOrdersGoOneByOneToEachTarget) {
  StateMachine State;
  BOOST_TEST(begin(State, 5, orderOf("z", "t", "load_model")).m_FencingToken ==
             5U);
  begin(State, 6, orderOf("a", "t", "change_role"));
  begin(State, 7, orderOf("b", "u", "load_adapter"));
  // A repeated order keeps its token.
  BOOST_TEST(begin(State, 8, orderOf("z", "t", "load_model")).m_FencingToken ==
             5U);
  std::vector<EngineOrder> Next = nextOrders(State);
  BOOST_REQUIRE(Next.size() == 2U);
  BOOST_TEST(Next[0].m_OrderId == "z");
  BOOST_TEST(Next[1].m_OrderId == "b");
  applyCommand(State, LogIndex(9), EndOrder{"z", "done"});
  Next = nextOrders(State);
  BOOST_TEST(Next[0].m_OrderId == "a");
  // A repeated order that is done is not sent again.
  EngineOrder Done = begin(State, 10, orderOf("z", "t", "load_model"));
  BOOST_TEST(Done.m_Done);
  OrderSender Sender = makeOrderSender(60, Millis(0));
  BOOST_TEST((decideOrder(Sender, Done, true, Millis(100000)).m_Verdict ==
              OrderVerdict::Done));
}

// Guards against a state that grows with every order ever given.
BOOST_AUTO_TEST_CASE(OldFinishedOrdersAreForgottenAndUnfinishedOnesStay) {
  StateMachine State;
  std::uint64_t Index = 0;
  begin(State, ++Index, orderOf("open", "t", "load_model"));
  for (int I = 0; I < 1200; ++I) {
    std::string Id = "o" + std::to_string(I);
    begin(State, ++Index, orderOf(Id, "u", "change_role"));
    applyCommand(State, LogIndex(++Index), EndOrder{Id, "done"});
  }
  BOOST_TEST(State.m_Orders.size() == FinishedOrderLimit + 1);
  BOOST_TEST(State.m_Orders.count("open") == 1U);
  BOOST_TEST(State.m_Orders.count("o1199") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
