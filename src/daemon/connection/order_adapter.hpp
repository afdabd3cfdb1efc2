#pragma once

#include "connection/target_client.hpp"
#include "vanillaferry/process/state_machine.hpp"

#include <functional>
#include <memory>
#include <string>

namespace vanillaferry {

/// How one try to give an order to an engine ended. Unreachable means that no
/// byte of the request left, so that another try does no harm.
struct OrderReply {
  OrderOutcome m_Outcome = OrderOutcome::Unknown;
  std::string m_Detail;
};

/// An engine's answer to POST /orders: 2xx is done, 409 refuses an old fencing
/// token, anything else is an error.
OrderReply readOrderAnswer(int HttpStatus, const std::string &Body);

/// One try to give an order to an engine, over a connection of its own.
class OrderCall : public std::enable_shared_from_this<OrderCall> {
public:
  using EndHandler = std::function<void(const OrderReply &)>;

  /// MayWrite is asked directly before the first byte is written. OnEnd is
  /// called once, at EndsAt at the latest, and not after cancel().
  static std::shared_ptr<OrderCall>
  start(const std::shared_ptr<FdWatcher> &Watcher, const std::string &EngineUrl,
        const EngineOrder &Order, Millis EndsAt, std::function<bool()> MayWrite,
        EndHandler OnEnd);
  ~OrderCall() { cancel(); }
  OrderCall(const OrderCall &) = delete;
  OrderCall &operator=(const OrderCall &) = delete;

  void cancel();

private:
  OrderCall() = default;
  void onEnd(CallEnd How, const std::string &Detail);
  void onTimeout();
  void finish(const OrderReply &Reply);

  std::shared_ptr<TargetCall> m_Call;
  Timer m_Timer;
  EndHandler m_OnEnd;
  int m_Status = 0;
  std::string m_Body;
};

} // namespace vanillaferry
