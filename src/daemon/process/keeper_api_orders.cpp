#include "process/internal/keeper_api.hpp"
#include "process/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaferry::internal {

namespace {

using nlohmann::json;

/// Most open orders in the status; GET /orders lists all of them.
constexpr std::size_t MaxStatusOrders = 100;

std::string textOf(const json &Body, const char *Field) {
  auto Found = Body.find(Field);
  return Found != Body.end() && Found->is_string() ? Found->get<std::string>()
                                                   : std::string();
}

json orderJson(const Keeper &Self, const EngineOrder &Order) {
  bool Open = Order.m_Outcome == OrderOutcome::Open;
  json Row = {{"order_id", Order.m_OrderId},
              {"target", Order.m_Target.m_Value},
              {"action", Order.m_Action},
              {"argument", Order.m_Argument},
              {"operator", Order.m_Operator.m_Value},
              {"fencing_token", Order.m_FencingToken}};
  const char *Wait = Open ? orderWait(Self, Order.m_OrderId) : nullptr;
  Row["state"] = !Open  ? outcomeName(Order.m_Outcome)
                 : Wait ? "waiting"
                        : "under_way";
  Row["ended"] = !Open;
  if (Wait)
    Row["waits_for"] = Wait;
  if (!Open) {
    Row["detail"] = Order.m_Detail;
    Row["ended_at_unix_ms"] = Order.m_EndedAt.m_Value;
  }
  return Row;
}

/// Orders sorted by token, so in the order in which they were accepted.
std::vector<const EngineOrder *> sortedOrders(const Keeper &Self,
                                              bool OpenOnly) {
  std::vector<const EngineOrder *> Rows;
  for (const std::pair<const std::string, EngineOrder> &Row :
       Self.m_State.m_Orders)
    if (!OpenOnly || Row.second.m_Outcome == OrderOutcome::Open)
      Rows.push_back(&Row.second);
  std::sort(Rows.begin(), Rows.end(),
            [](const EngineOrder *A, const EngineOrder *B) {
              return A->m_FencingToken < B->m_FencingToken;
            });
  return Rows;
}

bool sameOrder(const EngineOrder &A, const EngineOrder &B) {
  return A.m_Target == B.m_Target && A.m_Action == B.m_Action &&
         A.m_Argument == B.m_Argument && A.m_Operator == B.m_Operator;
}

void refuseOrder(Keeper &Self, HttpExchange &Exchange, const EngineOrder &Order,
                 int HttpStatus, const char *Name, const std::string &Why) {
  addCounter(Self.m_Metrics, "vanillaferry_engine_orders_refused_total");
  logEvent(Event::EngineOrderRefused, {{"operator", Order.m_Operator.m_Value},
                                       {"order", Order.m_OrderId},
                                       {"why", Why}});
  answerError(Exchange, HttpStatus, Name, Why);
}

void onBegun(Keeper &Self, const ExchangePtr &Exchange,
             const EngineOrder &Wanted, const CommandAnswer *Applied) {
  const EngineOrder *Order =
      Applied ? std::get_if<EngineOrder>(Applied) : nullptr;
  if (!Order) {
    Exchange->setHeader("Retry-After", "1");
    return answerError(*Exchange, 503, "leadership_lost",
                       "the keeper lost its leadership; whether the order was "
                       "accepted is not known, repeat it with the same order "
                       "id");
  }
  if (!sameOrder(*Order, Wanted))
    return refuseOrder(Self, *Exchange, Wanted, 409, "order_id_reused",
                       "order id \"" + Wanted.m_OrderId +
                           "\" was used for another order: " + Order->m_Action +
                           " " + Order->m_Argument + " to target " +
                           Order->m_Target.m_Value + " by " +
                           Order->m_Operator.m_Value);
  logEvent(Event::EngineOrderAccepted, {{"operator", Order->m_Operator.m_Value},
                                        {"order", Order->m_OrderId},
                                        {"target", Order->m_Target.m_Value},
                                        {"action", Order->m_Action},
                                        {"token", Order->m_FencingToken}});
  Exchange->setHeader("Location", "/orders/" + Order->m_OrderId);
  Exchange->answer(202, orderJson(Self, *Order));
}

/// Checks an order that is not known yet; answers the operator when it is
/// refused.
bool mayBegin(Keeper &Self, HttpExchange &Exchange, const EngineOrder &Order) {
  std::vector<std::string> Faults = checkOrder(Order, documentSettings(Self));
  if (!Faults.empty()) {
    addCounter(Self.m_Metrics, "vanillaferry_engine_orders_refused_total");
    Exchange.answer(422, {{"error", "invalid_order"},
                          {"message", "the order is invalid"},
                          {"faults", Faults}});
    return false;
  }
  if (Self.m_State.m_Orders.size() >= OrderLimit) {
    refuseOrder(Self, Exchange, Order, 429, "too_many_orders",
                "the keepers hold " + std::to_string(OrderLimit) +
                    " orders, which is the limit; ended orders are removed "
                    "after 24 hours");
    return false;
  }
  return true;
}

} // namespace

void postOrder(Keeper &Self, const ExchangePtr &Exchange,
               const OperatorSettings &Operator) {
  json Body = json::parse(Exchange->body(), nullptr, false);
  if (!Body.is_object())
    return answerError(*Exchange, 422, "invalid_order",
                       "expected {\"target\": ID, \"action\": ACTION, "
                       "\"argument\": TEXT} and the header X-Order-Id");
  EngineOrder Order;
  Order.m_OrderId = Exchange->header("X-Order-Id");
  Order.m_Target = TargetId(textOf(Body, "target"));
  Order.m_Action = textOf(Body, "action");
  Order.m_Argument = textOf(Body, "argument");
  Order.m_Operator = Operator.m_Operator;
  SectionName Section = sectionOfOrder(Order);
  bool Owns = false;
  for (const std::string &Owned : Operator.m_Sections)
    Owns = Owns || Owned == "*" || Owned == Section.m_Value;
  if (!Owns) {
    addCounter(Self.m_Metrics, "vanillaferry_operator_requests_refused_total");
    return refuseOrder(Self, *Exchange, Order, 403, "forbidden",
                       "the operator's roles do not own section " +
                           Section.m_Value + ", which this order needs");
  }
  if (!leads(Self))
    return answerNotLeader(Self, *Exchange);
  // A resent order is answered with the one recorded, even if the document no
  // longer allows it.
  bool Known = Self.m_State.m_Orders.count(Order.m_OrderId) != 0;
  if (!Known && !mayBegin(Self, *Exchange, Order))
    return;
  Keeper *Raw = &Self;
  proposeCommand(Self, BeginOrder{Order},
                 [Raw, Exchange, Order](const CommandAnswer *Applied) {
                   onBegun(*Raw, Exchange, Order, Applied);
                 });
}

void getOrders(Keeper &Self, const ExchangePtr &Exchange) {
  Keeper *Raw = &Self;
  afterConfirmedRead(Self, Exchange, [Raw, Exchange] {
    json Rows = json::array();
    for (const EngineOrder *Order : sortedOrders(*Raw, false))
      Rows.push_back(orderJson(*Raw, *Order));
    Exchange->answer(200, {{"orders", Rows}});
  });
}

void getOrder(Keeper &Self, const ExchangePtr &Exchange,
              const std::string &Id) {
  Keeper *Raw = &Self;
  afterConfirmedRead(Self, Exchange, [Raw, Exchange, Id] {
    auto Found = Raw->m_State.m_Orders.find(Id);
    if (Found == Raw->m_State.m_Orders.end())
      return answerError(*Exchange, 404, "no_such_order",
                         "no order has the id \"" + Id + "\"");
    Exchange->answer(200, orderJson(*Raw, Found->second));
  });
}

json openOrdersJson(const Keeper &Self) {
  std::vector<const EngineOrder *> Open = sortedOrders(Self, true);
  json Rows = json::array();
  for (std::size_t I = 0; I < std::min(Open.size(), MaxStatusOrders); ++I)
    Rows.push_back(orderJson(Self, *Open[I]));
  return {{"open", Open.size()},
          {"kept", Self.m_State.m_Orders.size()},
          {"rows", Rows}};
}

} // namespace vanillaferry::internal
