#pragma once

#include "connection/caller.hpp"
#include "process/settings.hpp"
#include "vanillaferry/process/result.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace vanillaferry {

/// Limits on what a caller may send and on how slowly it may read.
struct HttpLimits {
  Bytes m_MaxHeader{32 * 1024};
  Bytes m_MaxBody{8 * 1024 * 1024};
  /// A request's head must arrive within this time after its first byte, and
  /// each started SlowSenderBytes of its body may take this time once more.
  Millis m_SlowSender{10000};
  /// Applies to requests that begin after it was set.
  Millis m_SlowReader{30000};
};

/// A sender slower than this per m_SlowSender is refused.
constexpr Bytes SlowSenderBytes{64 * 1024};

/// The HTTP server towards callers.
class HttpFront {
public:
  using OnRequest = std::function<void(std::shared_ptr<Caller>, CallerRequest)>;
  using OnRefusal = std::function<void(RefusalReason)>;

  static Result<std::unique_ptr<HttpFront>> start(const ListenAddress &Address,
                                                  FdWatcher &Watcher,
                                                  OnRequest Request,
                                                  OnRefusal Refused);
  ~HttpFront();
  HttpFront(const HttpFront &) = delete;
  HttpFront &operator=(const HttpFront &) = delete;

  void setLimits(const HttpLimits &Limits) { m_Limits = Limits; }
  /// The port in use, for a configured port of 0.
  std::uint16_t port() const;

private:
  struct Exchange;
  HttpFront(FdWatcher &Watcher, OnRequest Request, OnRefusal Refused);
  void begin(SoupServerMessage *Message);
  void headRead(Exchange &Open);
  void chunkRead(Exchange &Open, std::size_t Size);
  void startSlowTimer(Exchange &Open);
  void refuseEarly(Exchange &Open, const Refusal &Why);
  void requestRead(SoupServerMessage *Message);

  FdWatcher &m_Watcher;
  OnRequest m_OnRequest;
  OnRefusal m_OnRefusal;
  HttpLimits m_Limits;
  GHandle<SoupServer> m_Server;
};

/// A new id for a request: unique over all nodes and restarts.
RequestId newRequestId();

} // namespace vanillaferry
