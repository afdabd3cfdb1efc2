#include "connection/caller_connection.hpp"
#include "process/clock.hpp"

#include <boost/beast/http/status.hpp>
#include <cerrno>
#include <ctime>
#include <sys/socket.h>

namespace vanillaferry {

namespace {

/// Small parts of an answer are joined up to this size.
constexpr std::size_t JoinedPart = 32 * 1024;

std::string httpDate() {
  std::time_t Now = std::time(nullptr);
  std::tm Parts = {};
  gmtime_r(&Now, &Parts);
  char Text[40];
  std::size_t Size =
      std::strftime(Text, sizeof Text, "%a, %d %b %Y %H:%M:%S GMT", &Parts);
  return std::string(Text, Size);
}

} // namespace

std::string answerHead(int Status, const std::string &ContentType,
                       const RequestId &Id, const HttpFields &Fields) {
  std::string Head =
      "HTTP/1.1 " + std::to_string(Status) + " " +
      std::string(boost::beast::http::obsolete_reason(
          boost::beast::http::int_to_status(static_cast<unsigned>(Status)))) +
      "\r\n";
  if (!ContentType.empty())
    Head += "Content-Type: " + ContentType + "\r\n";
  if (!Id.m_Value.empty())
    Head += "X-Request-Id: " + Id.m_Value + "\r\n";
  for (const std::pair<std::string, std::string> &Field : Fields)
    Head += Field.first + ": " + Field.second + "\r\n";
  return Head;
}

void CallerConnection::respond(int Status, const std::string &Head,
                               std::string Body, bool Close) {
  if (m_Phase != Phase::Running)
    return;
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  m_Phase = Phase::Answering;
  m_KeepAlive = m_KeepAlive && !Close;
  bool HasBody = Status != NoContent && Status != NotModified;
  std::string Text = Head;
  if (HasBody)
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  if (!m_KeepAlive)
    Text += "Connection: close\r\n";
  else if (m_Http10)
    Text += "Connection: keep-alive\r\n";
  Text += "Date: " + httpDate() + "\r\n";
  constexpr std::int64_t MillisPerSecond = 1000;
  std::int64_t Idle = idleLimit().m_Value / MillisPerSecond;
  if (m_KeepAlive && Idle > 0)
    Text += "Keep-Alive: timeout=" + std::to_string(Idle) + "\r\n";
  queue(Text + "\r\n");
  if (HasBody && !m_IsHead)
    queue(std::move(Body));
  flush();
}

bool CallerConnection::startStream(const std::string &Head) {
  if (m_Phase != Phase::Running)
    return false;
  m_Phase = Phase::Streaming;
  queue(Head);
  rearm();
  return true;
}

void CallerConnection::append(const std::string &Data) {
  if (m_Phase != Phase::Streaming)
    return;
  queue(Data);
  flush();
}

void CallerConnection::endStream(bool Whole) {
  if (m_Phase != Phase::Streaming)
    return;
  if (Whole && !m_Http10)
    queue("0\r\n\r\n");
  m_Phase = Phase::Ending;
  flush();
}

void CallerConnection::queue(std::string Data) {
  if (Data.empty())
    return;
  m_Queued += Data.size();
  if (!m_Queue.empty() && m_Queue.back().size() + Data.size() <= JoinedPart)
    m_Queue.back() += Data;
  else
    m_Queue.push_back(std::move(Data));
}

void CallerConnection::flush() {
  if (m_Phase == Phase::Closed)
    return;
  std::shared_ptr<CallerConnection> Self = shared_from_this();
  while (!m_Queue.empty()) {
    const std::string &First = m_Queue.front();
    ssize_t Count =
        send(m_Fd, First.data() + m_SentOfFirst, First.size() - m_SentOfFirst,
             MSG_NOSIGNAL | MSG_DONTWAIT | (m_Queue.size() > 1 ? MSG_MORE : 0));
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN)
      break;
    if (Count < 0)
      return lost();
    m_LastProgress = monotonicNow();
    m_SentMark += static_cast<std::size_t>(Count);
    if (m_SentMark >= static_cast<std::size_t>(ProgressBytes.m_Value)) {
      m_SentMark = 0;
      m_ReadOnAt = m_LastProgress;
    }
    m_SentOfFirst += static_cast<std::size_t>(Count);
    m_Queued -= static_cast<std::size_t>(Count);
    if (m_SentOfFirst < First.size())
      continue;
    m_Queue.pop_front();
    m_SentOfFirst = 0;
  }
  bool WasBlocked = m_Blocked;
  m_Blocked = !m_Queue.empty();
  if (m_Blocked && !WasBlocked) {
    m_LastProgress = monotonicNow();
    m_ReadOnAt = m_LastProgress;
    m_SentMark = 0;
  }
  account();
  rearm();
  if (m_Blocked)
    return;
  if (m_Phase == Phase::Answering)
    answered();
  else if (m_Phase == Phase::Ending)
    linger();
  else if (m_Phase == Phase::Streaming && WasBlocked && m_Caller)
    m_Caller->drained();
}

void CallerConnection::answered() {
  std::shared_ptr<Caller> Answered = std::move(m_Caller);
  m_Caller.reset();
  if (m_KeepAlive) {
    m_Phase = Phase::Idle;
    m_IdleSince = monotonicNow();
    rearm();
    // Later, since the answer's owner is at work.
    if (!m_In.empty() && !m_Processing)
      postIdle([Self = shared_from_this()] { Self->process(); });
  } else {
    linger();
  }
  if (Answered)
    Answered->ended();
}

} // namespace vanillaferry
