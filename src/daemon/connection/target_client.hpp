#pragma once

#include "connection/caller.hpp"
#include "connection/fd_watcher.hpp"
#include "connection/glib_handle.hpp"
#include "vanillaferry/process/units.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <string>

namespace vanillaferry {

/// One HTTP request to a target.
struct TargetRequest {
  std::string m_Method;
  std::string m_Url;
  HttpFields m_Fields;
  std::string m_ContentType;
  std::string m_Body;
  /// Monotonic time at which the kernel gives up sending what the target has
  /// not acknowledged (TCP_USER_TIMEOUT), also after the process has ended; 0
  /// for the system's own limit.
  Millis m_SendBy;
};

struct TargetHead {
  int m_Status = 0;
  std::string m_ContentType;
  /// The target's X-Request-Id; empty when it sends none.
  std::string m_RequestId;
  /// All fields of the head, as the target wrote them.
  HttpFields m_Fields;
};

/// How one HTTP exchange with a target ended.
enum class CallEnd {
  /// The whole answer arrived.
  Complete,
  /// No byte of the request left.
  NotSent,
  /// m_MayDispatch said no: no byte left.
  Forbidden,
  /// The connection broke after bytes may have left.
  Broken,
};

struct CallHandlers {
  /// Asked directly before the first byte is written; false sends nothing.
  std::function<bool()> m_MayDispatch;
  std::function<void(const TargetHead &)> m_OnHead;
  std::function<void(const char *Data, std::size_t Size)> m_OnData;
  /// Called once, last; not after cancel().
  std::function<void(CallEnd, const std::string &Detail)> m_OnEnd;
};

/// A libsoup session for targets: no redirects, no cookies, no decoding, no
/// proxy, and no limit on connections.
GHandle<SoupSession> makeTargetSession();

/// One request to a target over a connection of its own. libsoup sends a
/// request again by itself only when a reused connection closes, so a fresh
/// connection keeps every request to one arrival; it also avoids connections
/// that went silent.
class TargetCall : public std::enable_shared_from_this<TargetCall> {
public:
  static std::shared_ptr<TargetCall> start(SoupSession *Session,
                                           FdWatcher &Watcher,
                                           const TargetRequest &Request,
                                           CallHandlers Handlers);
  ~TargetCall();
  TargetCall(const TargetCall &) = delete;
  TargetCall &operator=(const TargetCall &) = delete;

  /// Closes the connection, which cancels the work at the target.
  void cancel();
  /// Stops and continues reading, for flow control.
  void pause();
  void resume();
  bool mayBeSent() const { return m_MayBeSent; }

private:
  explicit TargetCall(FdWatcher &Watcher)
      : m_Watcher(Watcher.shared_from_this()) {}
  void onSent(GInputStream *Body, GError *Fault);
  void read();
  void end(CallEnd How, const std::string &Detail);
  void release();
  /// Sets TCP_USER_TIMEOUT to the time that is left; false when none is.
  bool limitSending() const;

  std::shared_ptr<FdWatcher> m_Watcher;
  GHandle<SoupMessage> m_Message;
  GHandle<GCancellable> m_Cancel;
  GHandle<GInputStream> m_Body;
  /// Shared, so that a handler that cancels its call stays alive meanwhile.
  std::shared_ptr<CallHandlers> m_Handlers;
  /// Stated length of the body; -1 without one.
  std::int64_t m_Length = -1;
  std::int64_t m_Received = 0;
  int m_Fd = -1;
  Millis m_SendBy;
  std::uint64_t m_Watch = 0;
  bool m_MayBeSent = false;
  bool m_Refused = false;
  bool m_Paused = false;
  bool m_Reading = false;
  bool m_Done = false;
};

/// Fetches a small document, such as a load report; the handler gets an empty
/// text when the status is not 200 or the exchange failed.
void fetchText(SoupSession *Session, const std::string &Url,
               std::int64_t TimeoutMs,
               std::function<void(const std::string &)> OnText);

} // namespace vanillaferry
