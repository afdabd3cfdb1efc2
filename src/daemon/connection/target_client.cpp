#include "connection/target_client.hpp"

#include "connection/target_connections.hpp"
#include "connection/target_socket.hpp"
#include "process/clock.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaferry {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadBytes = 64 * 1024;
/// Reads of one call in one round, so that a fast target does not hold up the
/// others.
constexpr int ReadsPerRound = 8;
constexpr std::uint32_t MaxAnswerHead = 64 * 1024;
/// A target that sends more than this before its answer may never end.
constexpr int MaxSkippedAnswers = 16;
constexpr std::size_t MaxSkippedBytes = 1024 * 1024;
/// Chunk heads, trailers and other bytes between the parts of a body.
constexpr std::size_t MaxUnparsed = MaxAnswerHead;
constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
/// Idle time of a kept connection when the target states none.
constexpr Millis DefaultIdle{4000};
constexpr std::int64_t MillisPerSecond = 1000;

/// A URL's parts; the address is IP:PORT.
struct SplitUrl {
  std::string m_Address;
  std::string m_Path;
};

std::optional<SplitUrl> splitUrl(const std::string &Url) {
  const std::string Scheme = "http://";
  if (Url.compare(0, Scheme.size(), Scheme) != 0)
    return std::nullopt;
  std::size_t Slash = Url.find('/', Scheme.size());
  SplitUrl Parts;
  Parts.m_Address = Url.substr(Scheme.size(), Slash == std::string::npos
                                                  ? std::string::npos
                                                  : Slash - Scheme.size());
  Parts.m_Path = Slash == std::string::npos ? "/" : Url.substr(Slash);
  return Parts;
}

/// A line end inside a field would let a caller add fields or requests.
bool isOneLine(const std::string &Text) {
  return Text.find_first_of(std::string("\r\n\0", 3)) == std::string::npos;
}

bool isSafe(const TargetRequest &Request) {
  bool Safe = isOneLine(Request.m_Method) && isOneLine(Request.m_Url) &&
              isOneLine(Request.m_ContentType) &&
              Request.m_Url.find(' ') == std::string::npos;
  for (const std::pair<std::string, std::string> &Field : Request.m_Fields)
    Safe = Safe && isOneLine(Field.first) && isOneLine(Field.second);
  return Safe;
}

bool hasField(const HttpFields &Fields, const char *Name) {
  return std::any_of(Fields.begin(), Fields.end(),
                     [Name](const std::pair<std::string, std::string> &Field) {
                       return strcasecmp(Field.first.c_str(), Name) == 0;
                     });
}

std::string headText(const TargetRequest &Request, const SplitUrl &Url,
                     bool Reuse) {
  std::string Text = Request.m_Method + " " + Url.m_Path + " HTTP/1.1\r\n";
  if (!hasField(Request.m_Fields, "Host"))
    Text += "Host: " + Url.m_Address + "\r\n";
  for (const std::pair<std::string, std::string> &Field : Request.m_Fields)
    Text += Field.first + ": " + Field.second + "\r\n";
  if (!Request.m_ContentType.empty())
    Text += "Content-Type: " + Request.m_ContentType + "\r\n";
  bool HasBody = Request.m_Method != "GET" && Request.m_Method != "HEAD";
  if (HasBody || !Request.m_Body.empty())
    Text += "Content-Length: " + std::to_string(Request.m_Body.size()) + "\r\n";
  Text += Reuse ? "\r\n" : "Connection: close\r\n\r\n";
  return Text;
}

/// Half of the idle time that the target states in Keep-Alive, since it counts
/// from when the target sent its answer.
Millis idleTime(const http::fields &Fields) {
  boost::beast::string_view Value = Fields[http::field::keep_alive];
  std::size_t Found = Value.find("timeout=");
  if (Found == boost::beast::string_view::npos)
    return DefaultIdle;
  Value.remove_prefix(Found + std::strlen("timeout="));
  std::int64_t Seconds = 0;
  std::from_chars(Value.data(), Value.data() + Value.size(), Seconds);
  return Millis(Seconds * MillisPerSecond / 2);
}

} // namespace

/// The parser of one answer and its bytes that wait to be parsed.
struct TargetCall::Answer {
  std::optional<http::response_parser<http::buffer_body>> m_Parser;
  std::string m_Pending;
  bool m_HeadReported = false;
  bool m_SkipBody = false;
  /// The present answer belongs to another request.
  bool m_Foreign = false;
  int m_SkippedAnswers = 0;
  std::size_t m_SkippedBytes = 0;

  void reset() {
    m_Foreign = false;
    m_Parser.emplace();
    // Boost 1.74 takes no limit for a limit of 0.
    m_Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_Parser->header_limit(MaxAnswerHead);
    m_Parser->skip(m_SkipBody);
  }
};

TargetCall::TargetCall(FdWatcher &Watcher)
    : m_Watcher(Watcher.shared_from_this()),
      m_Answer(std::make_unique<Answer>()) {}

TargetCall::~TargetCall() { release(); }

std::shared_ptr<TargetCall> TargetCall::start(TargetConnections *Kept,
                                              FdWatcher &Watcher,
                                              const TargetRequest &Request,
                                              CallHandlers Handlers) {
  std::shared_ptr<TargetCall> Call(new TargetCall(Watcher));
  Call->m_Handlers = std::make_shared<CallHandlers>(std::move(Handlers));
  Call->m_SendBy = Request.m_SendBy;
  Call->m_Answer->m_SkipBody = Request.m_Method == "HEAD";
  Call->m_Answer->reset();
  Call->m_Reuse = Kept && Request.m_MaxIdle > Millis(0);
  if (Call->m_Reuse)
    Call->m_Kept = Kept->weak_from_this();
  Call->m_Self = Call;
  std::string Fault = Call->connect(Request);
  if (!Fault.empty())
    postIdle([Call, Fault] { Call->end(CallEnd::NotSent, Fault); });
  return Call;
}

std::string TargetCall::connect(const TargetRequest &Request) {
  std::optional<SplitUrl> Url = splitUrl(Request.m_Url);
  if (!Url || !isSafe(Request))
    return "the URL or a field is invalid";
  m_Address = Url->m_Address;
  m_Out = headText(Request, *Url, m_Reuse);
  m_OutBody = Request.m_Body;
  if (std::shared_ptr<TargetConnections> Kept = m_Kept.lock())
    m_Fd = Kept->take(m_Address, Request.m_MaxIdle, monotonicNow());
  m_IsNew = m_Fd < 0;
  if (m_IsNew) {
    Result<int> Begun = beginConnection(m_Address);
    if (!Begun)
      return Begun.error().m_Text;
    m_Fd = Begun.value();
  }
  // A kept connection is writable at once and takes the same way.
  watch(EPOLLOUT);
  return std::string();
}

void TargetCall::watch(std::uint32_t Events) {
  if (m_Watch && Events == m_Events)
    return;
  m_Events = Events;
  if (m_Watch)
    return m_Watcher->change(m_Watch, Events);
  m_Watch = m_Watcher->add(m_Fd, Events,
                           [Weak = weak_from_this()](std::uint32_t Ready) {
                             if (std::shared_ptr<TargetCall> Self = Weak.lock())
                               Self->onReady(Ready);
                           });
}

void TargetCall::onReady(std::uint32_t Events) {
  std::shared_ptr<TargetCall> Self = shared_from_this();
  if (!m_Connected)
    return onConnected();
  if (Events & EPOLLOUT)
    write();
  if (!m_Done && (Events & ~static_cast<std::uint32_t>(EPOLLOUT)))
    read();
}

bool TargetCall::isConnecting() const {
  return !m_Done && !m_Connected && (m_Fd < 0 || connectionPending(m_Fd));
}

void TargetCall::onConnected() {
  std::string Fault = connectionFault(m_Fd);
  if (!Fault.empty())
    return end(CallEnd::NotSent, Fault);
  m_Connected = true;
  std::shared_ptr<CallHandlers> Handlers = m_Handlers;
  if (!limitSending() ||
      (Handlers->m_MayDispatch && !Handlers->m_MayDispatch()))
    return end(CallEnd::Forbidden,
               "the lease or the time ended before the dispatch");
  m_MayBeSent = true;
  write();
}

ssize_t TargetCall::sendRest() {
  const std::string &Body = m_OutBody.text();
  std::size_t HeadSent = std::min(m_Sent, m_Out.size());
  std::size_t BodySent = m_Sent - HeadSent;
  std::array<iovec, 2> Parts = {
      {{&m_Out[HeadSent], m_Out.size() - HeadSent},
       {const_cast<char *>(Body.data()) + BodySent, Body.size() - BodySent}}};
  msghdr Message = {};
  Message.msg_iov = Parts.data();
  Message.msg_iovlen = Parts.size();
  return sendmsg(m_Fd, &Message, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void TargetCall::write() {
  while (m_Sent < outSize()) {
    ssize_t Count = sendRest();
    if (Count < 0 && errno == EINTR)
      continue;
    // A target that answered before it read the whole body may have closed;
    // its answer is still read.
    if (Count < 0 && errno != EAGAIN) {
      m_Sent = outSize();
      // The socket reports a reset only once: the next read would take it for
      // the end of the answer. EPIPE follows an orderly end.
      m_Reset = errno != EPIPE;
    }
    if (Count < 0)
      break;
    m_Sent += static_cast<std::size_t>(Count);
  }
  std::uint32_t Events = m_Paused ? EPOLLRDHUP | EPOLLET : EPOLLIN | EPOLLRDHUP;
  if (m_Sent < outSize())
    Events |= EPOLLOUT;
  watch(Events);
}

void TargetCall::read() {
  if (m_Reading || m_Done)
    return;
  std::shared_ptr<TargetCall> Self = shared_from_this();
  static std::array<char, ReadBytes> Buffer;
  m_Reading = true;
  for (int Round = 0; !m_Done && !m_Paused; ++Round) {
    if (Round == ReadsPerRound) {
      postIdle([Self] { Self->read(); });
      break;
    }
    ssize_t Count = recv(m_Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN)
      break;
    m_ConnectionEnded = Count <= 0;
    if (Count < 0) {
      end(CallEnd::Broken, std::string("cannot read: ") + std::strerror(errno));
      break;
    }
    if (Count == 0) {
      boost::system::error_code Fault;
      if (m_Answer->m_HeadReported)
        m_Answer->m_Parser->put_eof(Fault);
      bool Whole = m_Answer->m_HeadReported && !Fault && !m_Reset;
      end(Whole ? CallEnd::Complete : CallEnd::Broken,
          Whole ? "" : "the connection closed before the answer's end");
      break;
    }
    if (!parse(Buffer.data(), static_cast<std::size_t>(Count)))
      break;
    // A short read has emptied the socket.
    if (static_cast<std::size_t>(Count) < Buffer.size())
      break;
  }
  m_Reading = false;
}

bool TargetCall::parse(const char *Data, std::size_t Size) {
  std::string &Pending = m_Answer->m_Pending;
  Pending.append(Data, Size);
  static std::array<char, ReadBytes> Body;
  std::shared_ptr<CallHandlers> Handlers = m_Handlers;
  bool Progress = true;
  while (!m_Done && Progress) {
    if (m_Answer->m_Parser->is_done()) {
      if (!m_Answer->m_Foreign)
        break;
      if (!skipAnswer())
        return false;
      continue;
    }
    http::response_parser<http::buffer_body> &Parser = *m_Answer->m_Parser;
    bool WasHead = Parser.is_header_done();
    Parser.get().body().data = Body.data();
    Parser.get().body().size = Body.size();
    Parser.get().body().more = true;
    boost::system::error_code Fault;
    std::size_t Used = 0;
    if (!Pending.empty())
      Used = Parser.put(boost::asio::buffer(Pending), Fault);
    Pending.erase(0, Used);
    if (Fault && Fault != http::error::need_more &&
        Fault != http::error::need_buffer) {
      end(CallEnd::Broken, "not an HTTP answer: " + Fault.message());
      return false;
    }
    std::size_t Produced = Body.size() - Parser.get().body().size;
    if (!WasHead && Parser.is_header_done())
      reportHead();
    if (Produced > 0 && !m_Done && m_Answer->m_HeadReported)
      Handlers->m_OnData(Body.data(), Produced);
    if (m_Answer->m_Foreign)
      m_Answer->m_SkippedBytes += Produced;
    Progress = Used > 0 || Produced > 0;
  }
  if (m_Done)
    return false;
  if (m_Answer->m_Parser->is_done())
    onFinished();
  else if (Pending.size() > MaxUnparsed ||
           m_Answer->m_SkippedBytes > MaxSkippedBytes)
    end(CallEnd::Broken, "too many bytes that belong to no answer");
  return !m_Done;
}

bool TargetCall::skipAnswer() {
  if (++m_Answer->m_SkippedAnswers > MaxSkippedAnswers) {
    end(CallEnd::Broken, "too many answers that belong to other requests");
    return false;
  }
  // What else comes on a connection with an answer of another request is
  // uncertain.
  if (m_Answer->m_Foreign)
    m_Kept.reset();
  m_Answer->reset();
  return true;
}

void TargetCall::reportHead() {
  const http::response<http::buffer_body> &Read = m_Answer->m_Parser->get();
  if (Read.result_int() < FirstStatus || Read.result_int() > LastStatus) {
    end(CallEnd::Broken,
        "not an HTTP status: " + std::to_string(Read.result_int()));
    return;
  }
  if (Read.result_int() < FirstFinalStatus) {
    // An interim answer; the final one follows.
    skipAnswer();
    return;
  }
  TargetHead Head;
  Head.m_Status = static_cast<int>(Read.result_int());
  Head.m_ContentType = std::string(Read[http::field::content_type]);
  Head.m_RequestId = std::string(Read["X-Request-Id"]);
  for (const http::fields::value_type &Field : Read)
    Head.m_Fields.emplace_back(std::string(Field.name_string()),
                               std::string(Field.value()));
  std::shared_ptr<CallHandlers> Handlers = m_Handlers;
  m_Answer->m_Foreign = Handlers->m_IsOwn && !Handlers->m_IsOwn(Head);
  if (m_Answer->m_Foreign)
    return;
  m_Answer->m_HeadReported = true;
  Handlers->m_OnHead(Head);
}

void TargetCall::onFinished() {
  std::shared_ptr<TargetConnections> Kept = m_Kept.lock();
  const http::response_parser<http::buffer_body> &Parser = *m_Answer->m_Parser;
  bool Reusable = Kept && Parser.keep_alive() && m_Answer->m_Pending.empty() &&
                  m_Sent == outSize();
  Millis Idle = Reusable ? idleTime(Parser.get()) : Millis(0);
  if (Idle > Millis(0)) {
    m_Watcher->remove(m_Watch);
    m_Watch = 0;
    Kept->keep(m_Address, std::exchange(m_Fd, -1), Idle, monotonicNow());
  }
  end(CallEnd::Complete, "");
}

bool TargetCall::limitSending() const {
  if (m_SendBy == Millis(0))
    return true;
  std::int64_t Left = (m_SendBy - monotonicNow()).m_Value;
  if (Left <= 0)
    return false;
  unsigned int Limit = static_cast<unsigned int>(Left);
  return setsockopt(m_Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &Limit,
                    sizeof Limit) == 0;
}

void TargetCall::pause() {
  if (m_Done || m_Paused)
    return;
  m_Paused = true;
  if (m_Connected)
    write();
}

void TargetCall::resume() {
  if (m_Done || !m_Paused)
    return;
  m_Paused = false;
  if (!m_Connected)
    return;
  write();
  std::shared_ptr<TargetCall> Self = shared_from_this();
  postIdle([Self] { Self->read(); });
}

bool TargetCall::hasUnread() const {
  char First = 0;
  return !m_Done && m_Connected &&
         recv(m_Fd, &First, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void TargetCall::cancel() {
  if (m_Done)
    return;
  std::shared_ptr<TargetCall> Last = std::move(m_Self);
  m_Done = true;
  m_Handlers.reset();
  if (m_MayBeSent && !m_Answer->m_HeadReported)
    dropUnsent();
  release();
}

/// The kernel goes on to send after an orderly close, so that a request which a
/// cut holds up would arrive after it was given up.
void TargetCall::dropUnsent() const {
  linger AtOnce = {1, 0};
  setsockopt(m_Fd, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof AtOnce);
}

void TargetCall::end(CallEnd How, const std::string &Detail) {
  if (m_Done)
    return;
  std::shared_ptr<TargetCall> Last = std::move(m_Self);
  m_Done = true;
  std::shared_ptr<CallHandlers> Handlers = std::move(m_Handlers);
  release();
  if (Handlers->m_OnEnd)
    Handlers->m_OnEnd(How, Detail);
}

void TargetCall::release() {
  if (m_Watch)
    m_Watcher->remove(m_Watch);
  m_Watch = 0;
  if (m_Fd >= 0)
    ::close(m_Fd);
  m_Fd = -1;
}

} // namespace vanillaferry
