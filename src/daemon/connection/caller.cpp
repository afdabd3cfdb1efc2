#include "connection/caller.hpp"

#include <cerrno>
#include <cstdio>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace vanillaferry {

namespace {

/// How long a closed exchange waits for the caller to read the answer; a close
/// with unread input would reset the connection and could discard the answer.
constexpr std::int64_t LingerMs = 2000;

/// Bytes that the other end has not acknowledged yet.
int unsentBytes(int Fd) {
  int Count = 0;
  return ioctl(Fd, SIOCOUTQ, &Count) == 0 ? Count : 0;
}

const char *statusText(int Status) {
  return soup_status_get_phrase(static_cast<guint>(Status));
}

std::string headOf(int Status, const std::string &ContentType,
                   const RequestId &Id, const HttpFields &Fields) {
  std::string Head = "HTTP/1.1 " + std::to_string(Status) + " " +
                     statusText(Status) + "\r\nContent-Type: " + ContentType +
                     "\r\nConnection: close\r\nX-Request-Id: " + Id.m_Value +
                     "\r\n";
  for (const std::pair<std::string, std::string> &Field : Fields)
    Head += Field.first + ": " + Field.second + "\r\n";
  return Head;
}

HttpFields withRetryAfter(RefusalReason Reason, HttpFields Fields) {
  int Seconds = refusalRetryAfterSeconds(Reason);
  if (Seconds > 0)
    Fields.emplace_back("Retry-After", std::to_string(Seconds));
  return Fields;
}

} // namespace

std::string refusalJson(const Refusal &Why, const RequestId &Id) {
  nlohmann::ordered_json Fault;
  Fault["reason"] = static_cast<int>(Why.m_Reason);
  Fault["name"] = refusalName(Why.m_Reason);
  Fault["message"] = Why.m_Message;
  if (Why.m_NotRun == NotRun::Unknown)
    Fault["not_run"] = "unknown";
  else
    Fault["not_run"] = Why.m_NotRun == NotRun::True;
  Fault["request_id"] = Id.m_Value;
  nlohmann::ordered_json Answer;
  Answer["error"] = Fault;
  return Answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Caller::Caller(FdWatcher &Watcher, SoupServerMessage *Message,
               Millis SlowReader)
    : m_Watcher(Watcher.shared_from_this()),
      m_Message(SOUP_SERVER_MESSAGE(g_object_ref(Message))),
      m_SlowReader(SlowReader) {
  GSocket *Socket = soup_server_message_get_socket(Message);
  if (Socket)
    m_Fd = g_socket_get_fd(Socket);
}

Caller::~Caller() { closeSocket(); }

void Caller::watchIdle() {
  if (m_Fd < 0)
    return;
  // Edge-triggered: libsoup reads the bytes, this only notes their arrival.
  m_WatchedEvents = EPOLLIN | EPOLLRDHUP | EPOLLET;
  m_Watch = m_Watcher->add(m_Fd, m_WatchedEvents,
                           [Weak = weak_from_this()](std::uint32_t Events) {
                             if (std::shared_ptr<Caller> Self = Weak.lock())
                               Self->onReady(Events);
                           });
}

void Caller::requestRead() {
  m_Read = true;
  m_Paused = true;
  soup_server_message_pause(m_Message.get());
  m_WatchedEvents = EPOLLRDHUP;
  m_Watcher->change(m_Watch, m_WatchedEvents);
}

void Caller::respond(int Status, const std::string &ContentType,
                     const std::string &Body, const HttpFields &Fields) {
  if (m_Done || m_Streaming || m_Answered)
    return;
  m_Answered = true;
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(m_Message.get());
  soup_message_headers_replace(Headers, "X-Request-Id", m_Id.m_Value.c_str());
  for (const std::pair<std::string, std::string> &Field : Fields)
    soup_message_headers_append(Headers, Field.first.c_str(),
                                Field.second.c_str());
  soup_server_message_set_status(m_Message.get(), static_cast<guint>(Status),
                                 nullptr);
  if (!ContentType.empty())
    soup_message_headers_replace(Headers, "Content-Type", ContentType.c_str());
  soup_message_body_append(
      soup_server_message_get_response_body(m_Message.get()), SOUP_MEMORY_COPY,
      Body.data(), Body.size());
  m_Watcher->remove(m_Watch);
  m_Watch = 0;
  if (m_Paused) {
    m_Paused = false;
    soup_server_message_unpause(m_Message.get());
  }
}

void Caller::refuse(const Refusal &Why, const HttpFields &Fields) {
  respond(refusalHttpStatus(Why.m_Reason), "application/json",
          refusalJson(Why, m_Id), withRetryAfter(Why.m_Reason, Fields));
}

bool Caller::takeConnection() {
  if (m_Done || m_Answered || m_Streaming || m_Fd < 0)
    return false;
  m_Watcher->remove(m_Watch);
  m_Watch = 0;
  // libsoup finishes its message here; the exchange goes on without it.
  m_Streaming = true;
  GIOStream *Stream = soup_server_message_steal_connection(m_Message.get());
  if (!Stream) {
    gone();
    return false;
  }
  m_Stream.reset(Stream);
  m_Message.reset();
  int On = 1;
  setsockopt(m_Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  // Ends the connection when sent bytes are not acknowledged for so long.
  unsigned Silence = static_cast<unsigned>(m_SlowReader.m_Value);
  setsockopt(m_Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &Silence, sizeof Silence);
  m_WatchedEvents = EPOLLRDHUP;
  m_Watch = m_Watcher->add(m_Fd, m_WatchedEvents,
                           [Weak = weak_from_this()](std::uint32_t Events) {
                             if (std::shared_ptr<Caller> Self = Weak.lock())
                               Self->onReady(Events);
                           });
  return true;
}

bool Caller::startStream(const std::string &ContentType,
                         const HttpFields &Fields) {
  if (!m_Message)
    return false;
  m_Chunked =
      soup_server_message_get_http_version(m_Message.get()) != SOUP_HTTP_1_0;
  if (!takeConnection())
    return false;
  m_Out += headOf(200, ContentType, m_Id, Fields);
  m_Out += "Cache-Control: no-cache\r\n";
  if (m_Chunked)
    m_Out += "Transfer-Encoding: chunked\r\n";
  m_Out += "\r\n";
  return true;
}

void Caller::append(const std::string &Data) {
  if (m_Done || !m_Streaming || m_Finishing || Data.empty())
    return;
  if (m_Chunked) {
    char Size[24];
    int Length = std::snprintf(Size, sizeof Size, "%zx\r\n", Data.size());
    m_Out.append(Size, static_cast<std::size_t>(Length));
    m_Out += Data;
    m_Out += "\r\n";
  } else {
    m_Out += Data;
  }
  write();
}

void Caller::finish() {
  if (m_Done || !m_Streaming || m_Finishing)
    return;
  if (m_Chunked)
    m_Out += "0\r\n\r\n";
  m_Finishing = true;
  m_Self = shared_from_this();
  write();
}

void Caller::breakOff() {
  if (m_Done || !m_Streaming || m_Finishing)
    return;
  m_Finishing = true;
  m_Self = shared_from_this();
  write();
}

void Caller::refuseEarly(const Refusal &Why) {
  if (!takeConnection())
    return;
  std::string Body = refusalJson(Why, m_Id);
  m_Out += headOf(refusalHttpStatus(Why.m_Reason), "application/json", m_Id,
                  withRetryAfter(Why.m_Reason, {}));
  m_Out += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  m_Finishing = true;
  m_Self = shared_from_this();
  write();
}

void Caller::onReady(std::uint32_t Events) {
  std::shared_ptr<Caller> Self = shared_from_this();
  if (m_Lingering) {
    char Discard[4096];
    ssize_t Got = 0;
    do
      Got = recv(m_Fd, Discard, sizeof Discard, MSG_DONTWAIT);
    while (Got > 0);
    if (Got == 0 || (errno != EAGAIN && errno != EINTR))
      closeSocket();
    return;
  }
  std::function<void()> OnBytes = m_OnBytes;
  if ((Events & EPOLLIN) && !m_Read && !m_Streaming && OnBytes)
    OnBytes();
  if ((Events & (EPOLLERR | EPOLLHUP)) ||
      ((Events & EPOLLRDHUP) && (m_Read || m_Streaming))) {
    gone();
    return;
  }
  if ((Events & EPOLLOUT) && m_Streaming)
    write();
}

void Caller::write() {
  std::shared_ptr<Caller> Self = shared_from_this();
  while (m_Sent < m_Out.size()) {
    ssize_t Count = send(m_Fd, m_Out.data() + m_Sent, m_Out.size() - m_Sent,
                         MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN)
      break;
    if (Count < 0) {
      gone();
      return;
    }
    m_Sent += static_cast<std::size_t>(Count);
    m_TotalSent += static_cast<std::uint64_t>(Count);
  }
  bool Drained = m_Sent == m_Out.size();
  if (Drained) {
    m_Out.clear();
    m_Sent = 0;
  } else if (m_Sent > m_Out.size() / 2) {
    m_Out.erase(0, m_Sent);
    m_Sent = 0;
  }
  std::uint32_t Wanted =
      EPOLLRDHUP | (Drained ? 0U : static_cast<std::uint32_t>(EPOLLOUT));
  if (Wanted != m_WatchedEvents) {
    bool WasBlocked = (m_WatchedEvents & EPOLLOUT) != 0;
    if (Drained)
      m_ReaderTimer.stop();
    else
      watchReader();
    m_WatchedEvents = Wanted;
    m_Watcher->change(m_Watch, Wanted);
    // A copy, because the handler may end the exchange.
    std::function<void()> OnDrained = m_OnDrained;
    if (WasBlocked && OnDrained && !m_Finishing)
      OnDrained();
  }
  if (Drained && m_Finishing)
    linger();
}

void Caller::watchReader() {
  m_ReaderTimer.start(m_SlowReader.m_Value, [Weak = weak_from_this(),
                                             Before = m_TotalSent]() mutable {
    std::shared_ptr<Caller> Self = Weak.lock();
    if (!Self || Self->m_Done)
      return false;
    bool Reading = Self->m_TotalSent != Before;
    Before = Self->m_TotalSent;
    if (!Reading)
      Self->gone();
    return Reading;
  });
}

void Caller::linger() {
  if (m_Lingering)
    return;
  m_Lingering = true;
  std::shared_ptr<Caller> Self = shared_from_this();
  ended();
  shutdown(m_Fd, SHUT_WR);
  m_Watcher->change(m_Watch, EPOLLIN | EPOLLRDHUP);
  m_LingerTimer.start(LingerMs, [Self, Unsent = unsentBytes(m_Fd)]() mutable {
    int Left = unsentBytes(Self->m_Fd);
    // A slow caller that goes on reading gets the rest.
    bool Reading = Left < Unsent;
    Unsent = Left;
    if (!Reading)
      Self->closeSocket();
    return Reading;
  });
}

void Caller::closeSocket() {
  if (m_Watch)
    m_Watcher->remove(m_Watch);
  m_Watch = 0;
  if (m_Stream)
    g_io_stream_close(m_Stream.get(), nullptr, nullptr);
  m_Stream.reset();
  m_Fd = -1;
  m_LingerTimer.stop();
  m_ReaderTimer.stop();
  // The caller of this function may hold no other reference.
  std::shared_ptr<Caller> Last = std::move(m_Self);
}

void Caller::gone() {
  if (m_Done)
    return;
  std::shared_ptr<Caller> Self = shared_from_this();
  m_Done = true;
  m_Out.clear();
  m_Sent = 0;
  if (m_Stream) {
    closeSocket();
  } else {
    m_Watcher->remove(m_Watch);
    m_Watch = 0;
    if (m_Paused && m_Message) {
      // libsoup notices the closed connection when it writes the answer.
      m_Paused = false;
      soup_server_message_set_status(m_Message.get(), 499, "caller left");
      soup_server_message_unpause(m_Message.get());
    }
  }
  std::function<void()> OnGone = m_Finishing ? nullptr : std::move(m_OnGone);
  m_OnGone = nullptr;
  if (OnGone)
    OnGone();
  ended();
}

void Caller::messageFinished() {
  if (m_Streaming)
    return;
  std::shared_ptr<Caller> Self = shared_from_this();
  m_Watcher->remove(m_Watch);
  m_Watch = 0;
  m_Fd = -1;
  m_Message.reset();
  if (m_Done)
    return;
  std::function<void()> OnGone = m_Answered ? nullptr : std::move(m_OnGone);
  m_Done = true;
  if (OnGone)
    OnGone();
  ended();
}

void Caller::ended() {
  m_Done = true;
  m_OnBytes = nullptr;
  std::function<void()> OnEnded = std::move(m_OnEnded);
  m_OnEnded = nullptr;
  m_OnGone = nullptr;
  m_OnDrained = nullptr;
  if (OnEnded)
    OnEnded();
}

} // namespace vanillaferry
