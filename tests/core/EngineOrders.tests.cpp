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

EngineOrder start(StateMachine &State, std::uint64_t Index,
                  const std::string &Id, std::uint64_t Leader) {
  return std::get<EngineOrder>(
      applyCommand(State, LogIndex(Index), StartOrder{Id, Term(Leader)}));
}

/// Settings with engine "t" and plain service "ledger".
DocumentSettings engineAndLedger() {
  DocumentSettings Settings;
  for (const char *Id : {"t", "ledger"}) {
    PoolSettings Pool;
    Pool.m_Kind =
        Id == std::string("t") ? ServiceKind::Engine : ServiceKind::Plain;
    TargetSettings Target;
    Target.m_Id = TargetId(Id);
    Pool.m_Targets.push_back(Target);
    Settings.m_Services.push_back(Pool);
  }
  return Settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineOrders)

// Guards against two leaders whose orders reach the same engine at the same
// time, because one of them writes late.
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

// Guards against an order that is written by a process that was suspended or is
// no longer the leader.
BOOST_AUTO_TEST_CASE(OrderIsWrittenOnlyWithinItsTimeAndUnderTheQuorumLease) {
  BOOST_TEST(mayWriteOrder(Millis(0), true, Millis(9999)));
  BOOST_TEST(!mayWriteOrder(Millis(0), true, Millis(10000)));
  BOOST_TEST(!mayWriteOrder(Millis(0), false, Millis(1)));
}

// Guards against exceeding the weight store's rate, also across a change of
// leader.
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

// Guards against a decision to wait until a time at which the rate still allows
// no load.
BOOST_AUTO_TEST_CASE(LoadIsAllowedAtTheTimeOfTheDecision) {
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
  applyCommand(State, LogIndex(9), EndOrder{"z", OrderOutcome::Done, ""});
  Next = nextOrders(State);
  BOOST_TEST(Next[0].m_OrderId == "a");
  // A repeated order that is done is not sent again.
  EngineOrder Done = begin(State, 10, orderOf("z", "t", "load_model"));
  BOOST_TEST((Done.m_Outcome == OrderOutcome::Done));
  OrderSender Sender = makeOrderSender(60, Millis(0));
  BOOST_TEST((decideOrder(Sender, Done, true, Millis(100000)).m_Verdict ==
              OrderVerdict::Done));
}

// Guards against an order that is sent by two leaders: the first start in the
// log decides, and no leader sends an order that another one may have sent.
BOOST_AUTO_TEST_CASE(OneLeaderMaySendAnOrder) {
  StateMachine State;
  EngineOrder Order = begin(State, 1, orderOf("o", "t", "change_role"));
  BOOST_TEST((start(State, 2, "o", 3).m_StartedIn == Term(3)));
  // A start of another leader, and a late one, change nothing.
  BOOST_TEST((start(State, 3, "o", 4).m_StartedIn == Term(3)));
  Order = begin(State, 4, orderOf("o", "t", "change_role"));
  BOOST_TEST((Order.m_StartedIn == Term(3)));
  BOOST_TEST(Order.m_FencingToken == 1U);
  OrderSender Sender = makeOrderSender(60, Millis(0));
  BOOST_TEST((decideOrder(Sender, Order, true, Millis(100000)).m_Verdict ==
              OrderVerdict::EndAsUnknown));
  BOOST_TEST((decideOrder(Sender, Order, false, Millis(0)).m_Verdict ==
              OrderVerdict::EndAsUnknown));
  applyCommand(State, LogIndex(5),
               EndOrder{"o", OrderOutcome::Unknown, "leader changed"});
  // The first outcome stays, and an order that has ended does not start.
  applyCommand(State, LogIndex(6), EndOrder{"o", OrderOutcome::Done, ""});
  Order = start(State, 7, "o", 5);
  BOOST_TEST((Order.m_Outcome == OrderOutcome::Unknown));
  BOOST_TEST((Order.m_StartedIn == Term(3)));
  BOOST_TEST(Order.m_Detail == "leader changed");
  // An order that ended before its start is never started.
  begin(State, 8, orderOf("p", "t", "change_role"));
  applyCommand(State, LogIndex(9),
               EndOrder{"p", OrderOutcome::Unreachable, ""});
  BOOST_TEST((start(State, 10, "p", 5).m_StartedIn == Term(0)));
}

// Guards against a submitted order that sets its own token, start or outcome.
BOOST_AUTO_TEST_CASE(SubmittedOrdersBeginOpenWithoutAStart) {
  StateMachine State;
  EngineOrder Forged = orderOf("o", "t", "load_model");
  Forged.m_FencingToken = 1000;
  Forged.m_StartedIn = Term(9);
  Forged.m_Outcome = OrderOutcome::Done;
  Forged.m_Detail = "x";
  EngineOrder Kept = begin(State, 7, Forged);
  BOOST_TEST(Kept.m_FencingToken == 7U);
  BOOST_TEST((Kept.m_StartedIn == Term(0)));
  BOOST_TEST((Kept.m_Outcome == OrderOutcome::Open));
  BOOST_TEST(Kept.m_Detail.empty());
}

// Guards against applying a changed rate to the time before the change.
BOOST_AUTO_TEST_CASE(AChangedRateCountsFromItsChange) {
  OrderSender Sender = makeOrderSender(1, Millis(0));
  setLoadRate(Sender, 60, Millis(30000));
  EngineOrder Load = orderOf("o", "t", "load_model");
  // Half a load has accumulated; the other half takes 500 ms.
  OrderDecision Early = decideOrder(Sender, Load, true, Millis(30000));
  BOOST_TEST((Early.m_Verdict == OrderVerdict::WaitForWeightStore));
  BOOST_TEST(Early.m_Until == Millis(30500));
  BOOST_TEST((decideOrder(Sender, Load, true, Millis(30500)).m_Verdict ==
              OrderVerdict::Send));
}

// Guards against accepting invalid orders, and against errors that do not name
// the invalid field.
BOOST_AUTO_TEST_CASE(EveryErrorOfASubmittedOrderIsReported) {
  DocumentSettings Settings = engineAndLedger();
  EngineOrder Good = orderOf("o", "t", "load_adapter");
  Good.m_Argument = "oak@3";
  BOOST_TEST(checkOrder(Good, Settings).empty());
  std::vector<std::string> Errors =
      checkOrder(orderOf("", "ledger", "explode"), Settings);
  BOOST_REQUIRE(Errors.size() == 4U);
  BOOST_TEST(Errors[0].find("order_id") == 0U);
  BOOST_TEST(Errors[1].find("argument") == 0U);
  BOOST_TEST(Errors[2].find("explode") != std::string::npos);
  BOOST_TEST(Errors[3].find("ledger") != std::string::npos);
  Good.m_OrderId = std::string(129, 'x');
  Good.m_Argument = std::string(1025, 'x');
  BOOST_TEST(checkOrder(Good, Settings).size() == 2U);
  Good.m_OrderId = "a/b";
  Good.m_Argument = "oak@3";
  BOOST_TEST(checkOrder(Good, Settings).size() == 1U);
  BOOST_TEST(sectionOfOrder(Good) == SectionName(ModelVersionsSectionName));
  BOOST_TEST(sectionOfOrder(orderOf("o", "t", "change_role")) ==
             SectionName(ServicesSectionName));
}

// Guards against a state that grows with every order, and against an order id
// that is removed while its outcome may still be requested.
BOOST_AUTO_TEST_CASE(OldFinishedOrdersAreRemovedAndUnfinishedOnesStay) {
  StateMachine State;
  std::uint64_t Index = 0;
  begin(State, ++Index, orderOf("open", "t", "load_model"));
  for (int I = 0; I < 1200; ++I) {
    std::string Id = "o" + std::to_string(I);
    begin(State, ++Index, orderOf(Id, "u", "change_role"));
    applyCommand(State, LogIndex(++Index),
                 EndOrder{Id, OrderOutcome::Done, ""});
  }
  applyCommand(State, LogIndex(++Index),
               AdvanceClock{UnixMillis(OrderRetention.m_Value)});
  BOOST_TEST(State.m_Orders.size() == 1201U);
  applyCommand(State, LogIndex(++Index),
               AdvanceClock{UnixMillis(OrderRetention.m_Value + 1)});
  BOOST_TEST(State.m_Orders.size() == FinishedOrderLimit + 1);
  BOOST_TEST(State.m_Orders.count("open") == 1U);
  BOOST_TEST(State.m_Orders.count("o199") == 0U);
  BOOST_TEST(State.m_Orders.count("o200") == 1U);
  BOOST_TEST(State.m_Orders.count("o1199") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
