#include "connection/order_adapter.hpp"

#include "process/clock.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

/// Bytes of an engine's answer that are kept with the order's outcome.
constexpr std::size_t MaxKeptAnswer = 512;

std::string requestBody(const EngineOrder &Order) {
  return nlohmann::json{{"order_id", Order.m_OrderId},
                        {"action", Order.m_Action},
                        {"argument", Order.m_Argument},
                        {"fencing_token", Order.m_FencingToken}}
      .dump();
}

} // namespace

OrderReply readOrderAnswer(int HttpStatus, const std::string &Body) {
  OrderReply Reply;
  Reply.m_Detail = "HTTP " + std::to_string(HttpStatus);
  if (!Body.empty())
    Reply.m_Detail += ": " + Body.substr(0, MaxKeptAnswer);
  if (HttpStatus >= 200 && HttpStatus < 300)
    Reply.m_Outcome = OrderOutcome::Done;
  else if (HttpStatus == 409)
    Reply.m_Outcome = OrderOutcome::OldToken;
  else
    Reply.m_Outcome = OrderOutcome::Failed;
  return Reply;
}

std::shared_ptr<OrderCall>
OrderCall::start(const std::shared_ptr<FdWatcher> &Watcher,
                 const std::string &EngineUrl, const EngineOrder &Order,
                 Millis EndsAt, std::function<bool()> MayWrite,
                 EndHandler OnEnd) {
  std::shared_ptr<OrderCall> Self(new OrderCall);
  std::weak_ptr<OrderCall> Weak = Self;
  Self->m_OnEnd = std::move(OnEnd);
  TargetRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = EngineUrl + "/orders";
  Request.m_ContentType = "application/json";
  Request.m_Body = requestBody(Order);
  Request.m_SendBy = EndsAt;
  CallHandlers Handlers;
  Handlers.m_MayDispatch = std::move(MayWrite);
  Handlers.m_OnHead = [Weak](const TargetHead &Head) {
    if (std::shared_ptr<OrderCall> Call = Weak.lock())
      Call->m_Status = Head.m_Status;
  };
  Handlers.m_OnData = [Weak](const char *Data, std::size_t Size) {
    std::shared_ptr<OrderCall> Call = Weak.lock();
    if (Call && Call->m_Body.size() < MaxKeptAnswer)
      Call->m_Body.append(Data,
                          std::min(Size, MaxKeptAnswer - Call->m_Body.size()));
  };
  Handlers.m_OnEnd = [Weak](CallEnd How, const std::string &Detail) {
    if (std::shared_ptr<OrderCall> Call = Weak.lock())
      Call->onEnd(How, Detail);
  };
  Self->m_Call =
      TargetCall::start(nullptr, *Watcher, Request, std::move(Handlers));
  Self->m_Timer.start((EndsAt - monotonicNow()).m_Value, [Weak] {
    if (std::shared_ptr<OrderCall> Call = Weak.lock())
      Call->onTimeout();
    return false;
  });
  return Self;
}

void OrderCall::cancel() {
  m_Timer.stop();
  m_OnEnd = nullptr;
  if (m_Call)
    m_Call->cancel();
}

void OrderCall::onEnd(CallEnd How, const std::string &Detail) {
  if (How == CallEnd::NotSent || How == CallEnd::Forbidden) {
    finish({OrderOutcome::Unreachable, Detail});
    return;
  }
  // The status line decides; a body that broke off only shortens the detail.
  if (m_Status != 0)
    finish(readOrderAnswer(m_Status, m_Body));
  else
    finish({OrderOutcome::Unknown, "no answer: " + Detail});
}

void OrderCall::onTimeout() {
  if (m_Status != 0)
    finish(readOrderAnswer(m_Status, m_Body));
  else if (m_Call->mayBeSent())
    finish({OrderOutcome::Unknown, "no answer in time"});
  else
    finish({OrderOutcome::Unreachable, "no connection in time"});
}

void OrderCall::finish(const OrderReply &Reply) {
  EndHandler OnEnd = std::move(m_OnEnd);
  cancel();
  if (OnEnd)
    OnEnd(Reply);
}

} // namespace vanillaferry
