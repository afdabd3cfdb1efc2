#include "vanillaferry/process/engine_orders.hpp"

#include <algorithm>
#include <cmath>

namespace vanillaferry {

namespace {

constexpr const char *ChangeRoleAction = "change_role";
constexpr std::size_t MaxOrderIdLength = 128;
/// Characters of order ids, which are used in URL paths.
constexpr const char *OrderIdCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:-";
constexpr std::size_t MaxOrderArgumentLength = 1024;
constexpr double MillisPerMinute = 60000;
/// The former leader's clock may run slower by the drift bound of 1%.
constexpr Millis FormerLeaderWait{OrderTimeout.m_Value +
                                  OrderTimeout.m_Value / 100};

void refill(OrderSender &Sender, Millis Now) {
  if (Now <= Sender.m_FilledAt)
    return;
  double Passed =
      static_cast<double>((Now - Sender.m_FilledAt).m_Value) / MillisPerMinute;
  Sender.m_Loads =
      std::min(1.0, Sender.m_Loads + Passed * Sender.m_LoadsPerMinute);
  Sender.m_FilledAt = Now;
}

Millis nextLoadAt(const OrderSender &Sender) {
  // With a rate of 0, check again later: the document may change.
  if (Sender.m_LoadsPerMinute <= 0)
    return Sender.m_FilledAt + Millis(60000);
  double Wait =
      (1.0 - Sender.m_Loads) / Sender.m_LoadsPerMinute * MillisPerMinute;
  return Sender.m_FilledAt +
         Millis(static_cast<std::int64_t>(std::ceil(std::max(Wait, 1.0))));
}

} // namespace

const char *outcomeName(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Open:
    return "open";
  case OrderOutcome::Done:
    return "done";
  case OrderOutcome::Failed:
    return "failed";
  case OrderOutcome::OldToken:
    return "old_token";
  case OrderOutcome::Unreachable:
    return "unreachable";
  case OrderOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

const TargetSettings *findEngine(const DocumentSettings &Settings,
                                 const TargetId &Target) {
  for (const PoolSettings &Pool : Settings.m_Services)
    if (Pool.m_Kind == ServiceKind::Engine)
      for (const TargetSettings &Row : Pool.m_Targets)
        if (Row.m_Id == Target)
          return &Row;
  return nullptr;
}

SectionName sectionOfOrder(const EngineOrder &Order) {
  return SectionName(Order.m_Action == ChangeRoleAction
                         ? ServicesSectionName
                         : ModelVersionsSectionName);
}

std::vector<std::string> checkOrder(const EngineOrder &Order,
                                    const DocumentSettings &Settings) {
  std::vector<std::string> Errors;
  auto CheckText = [&Errors](const char *Field, const std::string &Value,
                             std::size_t Limit) {
    if (Value.empty())
      Errors.push_back(std::string(Field) + ": expected a text, got nothing");
    else if (Value.size() > Limit)
      Errors.push_back(std::string(Field) + ": expected at most " +
                       std::to_string(Limit) + " bytes, got " +
                       std::to_string(Value.size()));
  };
  CheckText("order_id", Order.m_OrderId, MaxOrderIdLength);
  if (Order.m_OrderId.find_first_not_of(OrderIdCharacters) != std::string::npos)
    Errors.push_back("order_id: expected only letters, digits and the "
                     "characters . _ : -, got \"" +
                     Order.m_OrderId.substr(0, MaxOrderIdLength) + "\"");
  CheckText("argument", Order.m_Argument, MaxOrderArgumentLength);
  if (!readsWeights(Order) && Order.m_Action != ChangeRoleAction)
    Errors.push_back("action: expected load_model, load_adapter, load_version "
                     "or change_role, got \"" +
                     Order.m_Action.substr(0, MaxOrderIdLength) + "\"");
  if (!findEngine(Settings, Order.m_Target))
    Errors.push_back("target: expected an engine of section services, got \"" +
                     Order.m_Target.m_Value.substr(0, MaxOrderIdLength) + "\"");
  return Errors;
}

OrderSender makeOrderSender(double LoadsPerMinute, Millis Now) {
  OrderSender Sender;
  Sender.m_LedSince = Now;
  Sender.m_LoadsPerMinute = LoadsPerMinute;
  Sender.m_FilledAt = Now;
  return Sender;
}

void setLoadRate(OrderSender &Sender, double LoadsPerMinute, Millis Now) {
  refill(Sender, Now);
  Sender.m_LoadsPerMinute = LoadsPerMinute;
}

bool readsWeights(const EngineOrder &Order) {
  return Order.m_Action == "load_model" || Order.m_Action == "load_adapter" ||
         Order.m_Action == "load_version";
}

OrderDecision decideOrder(OrderSender &Sender, const EngineOrder &Order,
                          bool ChecksFencing, Millis Now) {
  if (Order.m_Outcome != OrderOutcome::Open)
    return {OrderVerdict::Done, Now};
  if (Order.m_StartedIn != Term(0))
    return {OrderVerdict::EndAsUnknown, Now};
  Millis FormerEnd = Sender.m_LedSince + FormerLeaderWait;
  if (!ChecksFencing && Now < FormerEnd)
    return {OrderVerdict::WaitForFormerLeader, FormerEnd};
  if (!readsWeights(Order))
    return {OrderVerdict::Send, Now};
  refill(Sender, Now);
  // Refilling in steps of a millisecond may leave a rounding error below 1.
  constexpr double WholeLoad = 1.0 - 1e-9;
  if (Sender.m_Loads < WholeLoad)
    return {OrderVerdict::WaitForWeightStore, nextLoadAt(Sender)};
  Sender.m_Loads = 0;
  return {OrderVerdict::Send, Now};
}

bool mayWriteOrder(Millis BegunAt, bool HoldsQuorumLease, Millis Now) {
  return HoldsQuorumLease && Now < BegunAt + OrderTimeout;
}

std::vector<EngineOrder> nextOrders(const StateMachine &State) {
  std::map<TargetId, EngineOrder> First;
  for (const std::pair<const std::string, EngineOrder> &Row : State.m_Orders) {
    if (Row.second.m_Outcome != OrderOutcome::Open)
      continue;
    std::map<TargetId, EngineOrder>::iterator Known =
        First.find(Row.second.m_Target);
    if (Known == First.end())
      First.emplace(Row.second.m_Target, Row.second);
    else if (Row.second.m_FencingToken < Known->second.m_FencingToken)
      Known->second = Row.second;
  }
  std::vector<EngineOrder> Next;
  for (const std::pair<const TargetId, EngineOrder> &Row : First)
    Next.push_back(Row.second);
  std::sort(Next.begin(), Next.end(),
            [](const EngineOrder &A, const EngineOrder &B) {
              return A.m_FencingToken < B.m_FencingToken;
            });
  return Next;
}

} // namespace vanillaferry
