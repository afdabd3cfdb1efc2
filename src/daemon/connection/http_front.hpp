#pragma once

#include "connection/caller.hpp"
#include "connection/caller_connection.hpp"
#include "process/settings.hpp"
#include "vanillaferry/process/result.hpp"

#include <functional>
#include <memory>
#include <string>

namespace vanillaferry {

/// The HTTP server towards callers.
class HttpFront {
public:
  using OnRequest = std::function<void(std::shared_ptr<Caller>, CallerRequest)>;
  using OnRefusal = std::function<void(RefusalReason)>;

  static Result<std::unique_ptr<HttpFront>>
  start(const ListenAddress &Address, FdWatcher &Watcher, OnRequest Request,
        OnRefusal Refused, CallerKind Kind = CallerKind::Caller);
  ~HttpFront();
  HttpFront(const HttpFront &) = delete;
  HttpFront &operator=(const HttpFront &) = delete;

  void setLimits(const HttpLimits &Limits) { m_State->m_Limits = Limits; }
  /// Sets the body of refusals that the server sends itself.
  void setRefusalText(
      std::function<std::string(const Refusal &, const RequestId &)> Text) {
    m_State->m_RefusalText = std::move(Text);
  }
  /// The port in use, for a configured port of 0.
  std::uint16_t port() const;
  /// True while a caller has not received all that was written for it.
  bool hasUnread() const;

private:
  explicit HttpFront(FdWatcher &Watcher);
  Status listen(const ListenAddress &Address);
  void accept();
  void watch(bool Accepting);
  void sweep();

  std::shared_ptr<FdWatcher> m_Watcher;
  std::shared_ptr<FrontState> m_State;
  int m_Fd = -1;
  std::uint64_t m_Watch = 0;
  /// Keeps the callbacks of the listening socket from a destroyed object.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  Timer m_SweepTimer;
};

} // namespace vanillaferry
