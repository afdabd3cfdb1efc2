#pragma once

#include "connection/fd_watcher.hpp"
#include "connection/glib_handle.hpp"
#include "connection/held_bytes.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/reason.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace vanillaferry {

/// Header fields of an answer.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// The text of a body, held once by all who need it.
class SharedBody {
public:
  SharedBody() = default;
  SharedBody(const char *Text) : SharedBody(std::string(Text)) {}
  SharedBody(std::string Text)
      : m_Text(std::make_shared<const std::string>(std::move(Text))) {}
  /// Null for an empty body.
  explicit SharedBody(std::shared_ptr<const std::string> Text)
      : m_Text(std::move(Text)) {}

  const std::string &text() const {
    static const std::string Empty;
    return m_Text ? *m_Text : Empty;
  }
  operator const std::string &() const { return text(); }
  std::size_t size() const { return text().size(); }
  bool empty() const { return text().empty(); }

private:
  std::shared_ptr<const std::string> m_Text;
};

/// A caller's request after the front end has read and checked it.
struct CallerRequest {
  RequestId m_Id;
  std::string m_Method;
  /// As it came, without decoding.
  std::string m_Path;
  /// Without the question mark; empty when there is none.
  std::string m_Query;
  /// Field names in lower case.
  std::map<std::string, std::string> m_Fields;
  /// True for a question mark, also before an empty query.
  bool m_HasQuery = false;
  SharedBody m_Body;
  /// What the fields take up; null when the request came over no connection.
  std::shared_ptr<HeldBytes> m_HeldFields;
};

/// Path and query as they came.
inline std::string targetOf(const CallerRequest &Request) {
  bool HasQuery = Request.m_HasQuery || !Request.m_Query.empty();
  return Request.m_Path + (HasQuery ? "?" + Request.m_Query : "");
}

/// A refusal as the caller reads it.
struct Refusal {
  RefusalReason m_Reason = RefusalReason::None;
  NotRun m_NotRun = NotRun::True;
  std::string m_Message;
};

/// The JSON text of a refusal.
std::string refusalJson(const Refusal &Why, const RequestId &Id);

/// A new id for a request: unique over all nodes and restarts.
RequestId newRequestId();

class CallerConnection;

/// One exchange with a caller: the request's sender and the answer's receiver.
/// The connection and this object hold each other until the exchange ends.
class Caller : public std::enable_shared_from_this<Caller> {
public:
  Caller(std::shared_ptr<CallerConnection> Connection, RequestId Id);
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  void respond(int Status, const std::string &ContentType, std::string Body,
               const HttpFields &Fields);
  void refuse(const Refusal &Why, const HttpFields &Fields = {});

  /// Sends the head of a streamed answer.
  bool startStream(const std::string &ContentType, const HttpFields &Fields);
  /// Appends whole events; several at once cost one write.
  void append(const std::string &Data);
  void finish();
  /// Ends the stream without its final chunk, so that no caller takes it for
  /// complete.
  void breakOff();

  bool streaming() const { return m_Streaming; }
  bool open() const { return !m_Done; }
  /// Bytes that wait for the caller.
  std::size_t waiting() const;

  /// Request id for answers; set before the first answer.
  RequestId m_Id;
  /// Called once when the caller leaves before the answer's end.
  std::function<void()> m_OnGone;
  /// Called when everything appended has been written.
  std::function<void()> m_OnDrained;
  /// Called once when the exchange has ended in any way.
  std::function<void()> m_OnEnded;

  // For the connection.
  void drained();
  /// The caller left; Unanswered while the answer's owner may not know.
  void gone(bool Unanswered);
  void ended();
  /// The server ends: nobody is told.
  void detach();

private:
  void endStream(bool Whole);

  std::shared_ptr<CallerConnection> m_Connection;
  bool m_Streaming = false;
  bool m_Chunked = true;
  bool m_Finishing = false;
  bool m_Answered = false;
  bool m_Done = false;
};

} // namespace vanillaferry
