#pragma once

#include "connection/caller.hpp"
#include "connection/fd_watcher.hpp"
#include "vanillaferry/process/units.hpp"

#include <functional>
#include <memory>
#include <string>

namespace vanillaferry {

class TargetConnections;

/// One HTTP request to a target.
struct TargetRequest {
  std::string m_Method;
  /// http://IP:PORT/path?query
  std::string m_Url;
  HttpFields m_Fields;
  std::string m_ContentType;
  SharedBody m_Body;
  /// Monotonic time at which the kernel gives up sending what the target has
  /// not acknowledged (TCP_USER_TIMEOUT), also after the process has ended; 0
  /// for the system's own limit.
  Millis m_SendBy;
  /// A kept connection may carry the request if it was used within this time;
  /// 0 for a connection of its own.
  Millis m_MaxIdle;
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
  /// Called once, last; not after cancel(), nor before start() has returned.
  std::function<void(CallEnd, const std::string &Detail)> m_OnEnd;
  /// False for the answer to another request, such as a late second copy on a
  /// kept connection: it is skipped and the next answer is read. Without it all
  /// answers belong to this request.
  std::function<bool(const TargetHead &)> m_IsOwn = nullptr;
};

/// One request to a target. Nothing is ever sent twice: a request that breaks
/// is reported, and its owner decides. The answer's framing is read by
/// Boost.Beast; libsoup takes a chunked answer that ends between two chunks
/// for complete.
class TargetCall : public std::enable_shared_from_this<TargetCall> {
public:
  /// Without Kept, or with an m_MaxIdle of 0, the connection is new and is
  /// closed after the answer.
  static std::shared_ptr<TargetCall> start(TargetConnections *Kept,
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
  /// True when bytes wait that a paused call has not read.
  bool hasUnread() const;
  bool mayBeSent() const { return m_MayBeSent; }
  /// True while the connection is not established.
  bool isConnecting() const;
  /// False for a kept connection.
  bool isNewConnection() const { return m_IsNew; }
  /// True when the target closed or reset the connection.
  bool connectionEnded() const { return m_ConnectionEnded; }

private:
  struct Answer;

  explicit TargetCall(FdWatcher &Watcher);
  /// Empty when the connection is there or on its way.
  std::string connect(const TargetRequest &Request);
  void watch(std::uint32_t Events);
  void onReady(std::uint32_t Events);
  void onConnected();
  void write();
  /// Sends what the socket takes; the result is that of sendmsg().
  ssize_t sendRest();
  std::size_t outSize() const { return m_Out.size() + m_OutBody.size(); }
  void read();
  /// Parses received bytes; false when the call ended.
  bool parse(const char *Data, std::size_t Size);
  void onFinished();
  /// Begins to read the next answer; false when too many others came before it.
  bool skipAnswer();
  void reportHead();
  void end(CallEnd How, const std::string &Detail);
  /// Lets the close reset the connection.
  void dropUnsent() const;
  void release();
  /// Sets TCP_USER_TIMEOUT to the time that is left; false when none is.
  bool limitSending() const;

  std::shared_ptr<FdWatcher> m_Watcher;
  std::weak_ptr<TargetConnections> m_Kept;
  /// Shared, so that a handler that cancels its call stays alive meanwhile.
  std::shared_ptr<CallHandlers> m_Handlers;
  std::unique_ptr<Answer> m_Answer;
  std::string m_Address;
  /// The request's head, and its body, which its owner holds as well.
  std::string m_Out;
  SharedBody m_OutBody;
  /// Bytes of both that were sent.
  std::size_t m_Sent = 0;
  int m_Fd = -1;
  Millis m_SendBy;
  std::uint64_t m_Watch = 0;
  std::uint32_t m_Events = 0;
  /// Keeps the call alive until it ends; its owner may be gone.
  std::shared_ptr<TargetCall> m_Self;
  bool m_Reuse = false;
  bool m_IsNew = false;
  bool m_Connected = false;
  bool m_MayBeSent = false;
  bool m_ConnectionEnded = false;
  /// The connection was reset while the request was written.
  bool m_Reset = false;
  bool m_Paused = false;
  bool m_Reading = false;
  bool m_Done = false;
};

} // namespace vanillaferry
