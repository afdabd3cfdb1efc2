#pragma once

#include "connection/fd_watcher.hpp"
#include "connection/glib_handle.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/reason.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <functional>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace vanillaferry {

/// Header fields of an answer.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// A caller's request after the front end has read and checked it.
struct CallerRequest {
  RequestId m_Id;
  std::string m_Method;
  std::string m_Path;
  /// Without the question mark; empty when there is none.
  std::string m_Query;
  /// Field names in lower case.
  std::map<std::string, std::string> m_Fields;
  std::string m_Body;
};

/// A refusal as the caller reads it.
struct Refusal {
  RefusalReason m_Reason = RefusalReason::None;
  NotRun m_NotRun = NotRun::True;
  std::string m_Message;
};

/// The JSON text of a refusal.
std::string refusalJson(const Refusal &Why, const RequestId &Id);

/// One exchange with a caller: the request's sender and the answer's receiver.
/// Whole answers go through libsoup. Streamed answers take the connection over
/// from libsoup, which neither reports a caller that leaves during a pause nor
/// limits what waits to be sent.
class Caller : public std::enable_shared_from_this<Caller> {
public:
  /// A caller that takes nothing of what waits for it during SlowReader has
  /// left; it is noticed within twice that time.
  Caller(FdWatcher &Watcher, SoupServerMessage *Message, Millis SlowReader);
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  void respond(int Status, const std::string &ContentType,
               const std::string &Body, const HttpFields &Fields);
  void refuse(const Refusal &Why, const HttpFields &Fields = {});

  /// Sends the head of a streamed answer.
  bool startStream(const std::string &ContentType, const HttpFields &Fields);
  /// Appends whole events; several at once cost one write.
  void append(const std::string &Data);
  void finish();
  /// Ends the stream without its final chunk, so that no caller takes it for
  /// complete.
  void breakOff();

  /// Answers while libsoup still reads the request, then closes.
  void refuseEarly(const Refusal &Why);

  bool streaming() const { return m_Streaming; }
  bool open() const { return !m_Done; }
  /// Bytes that wait for the caller.
  std::size_t waiting() const { return m_Out.size() - m_Sent; }
  SoupServerMessage *message() const { return m_Message.get(); }

  /// Request id for answers; set before the first answer.
  RequestId m_Id;
  /// Called once when the caller leaves before the answer's end.
  std::function<void()> m_OnGone;
  /// Called when everything appended has been written.
  std::function<void()> m_OnDrained;
  /// Called once when the exchange has ended in any way.
  std::function<void()> m_OnEnded;

  // For the front end.
  void watchIdle();
  void requestRead();
  void messageFinished();
  /// Called on the first bytes of a request.
  std::function<void()> m_OnBytes;

private:
  bool takeConnection();
  void onReady(std::uint32_t Events);
  void write();
  void linger();
  void watchReader();
  void closeSocket();
  void gone();
  void ended();

  std::shared_ptr<FdWatcher> m_Watcher;
  GHandle<SoupServerMessage> m_Message;
  GHandle<GIOStream> m_Stream;
  Timer m_LingerTimer;
  Timer m_ReaderTimer;
  Millis m_SlowReader;
  std::uint64_t m_Watch = 0;
  std::uint32_t m_WatchedEvents = 0;
  int m_Fd = -1;
  std::string m_Out;
  std::size_t m_Sent = 0;
  /// Bytes that the socket has taken in all.
  std::uint64_t m_TotalSent = 0;
  bool m_Paused = false;
  bool m_Streaming = false;
  bool m_Chunked = true;
  bool m_Finishing = false;
  bool m_Lingering = false;
  bool m_Read = false;
  bool m_Answered = false;
  bool m_Done = false;
  /// Keeps a finished exchange alive while its last bytes wait to be sent.
  std::shared_ptr<Caller> m_Self;
};

} // namespace vanillaferry
