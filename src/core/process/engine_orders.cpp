#include "vanillaferry/process/engine_orders.hpp"

#include <algorithm>
#include <cmath>

namespace vanillaferry {

namespace {

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
  // Without any rate, ask again later: the document may change.
  if (Sender.m_LoadsPerMinute <= 0)
    return Sender.m_FilledAt + Millis(60000);
  double Wait =
      (1.0 - Sender.m_Loads) / Sender.m_LoadsPerMinute * MillisPerMinute;
  return Sender.m_FilledAt +
         Millis(static_cast<std::int64_t>(std::ceil(std::max(Wait, 1.0))));
}

} // namespace

OrderSender makeOrderSender(double LoadsPerMinute, Millis Now) {
  OrderSender Sender;
  Sender.m_LedSince = Now;
  Sender.m_LoadsPerMinute = LoadsPerMinute;
  Sender.m_FilledAt = Now;
  return Sender;
}

bool readsWeights(const EngineOrder &Order) {
  return Order.m_Action == "load_model" || Order.m_Action == "load_adapter" ||
         Order.m_Action == "load_version";
}

OrderDecision decideOrder(OrderSender &Sender, const EngineOrder &Order,
                          bool ChecksFencing, Millis Now) {
  if (Order.m_Done)
    return {OrderVerdict::Done, Now};
  Millis FormerEnd = Sender.m_LedSince + FormerLeaderWait;
  if (!ChecksFencing && Now < FormerEnd)
    return {OrderVerdict::WaitForFormerLeader, FormerEnd};
  if (!readsWeights(Order))
    return {OrderVerdict::Send, Now};
  refill(Sender, Now);
  // Filling in steps of a millisecond may leave a rounding error below 1.
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
    if (Row.second.m_Done)
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
