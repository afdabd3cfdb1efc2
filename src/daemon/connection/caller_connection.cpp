#include "connection/caller_connection.hpp"

#include "process/clock.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <cerrno>
#include <ctime>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaferry {

namespace {

/// How long an ended connection waits for the caller to read the answer; a
/// close with unread input would reset the connection and could discard the
/// answer.
constexpr Millis LingerTime{2000};
constexpr std::size_t ReadBytes = 64 * 1024;
/// Requests that are sent ahead of their answers wait in the kernel; less is
/// read at once while none is under way.
constexpr std::size_t HeadReadBytes = 16 * 1024;
/// Reads of one connection in one round, so that others get their turn.
constexpr int ReadsPerRound = 4;
/// Small parts of an answer are joined up to this size.
constexpr std::size_t JoinedPart = 32 * 1024;
constexpr std::size_t MaxRequestIdLength = 128;
/// A buffer with more unused bytes than this is shrunk.
constexpr std::size_t MaxUnusedBytes = 1024;
/// What a connection takes up without a request: this object, its entries in
/// the front's and the pool's sets, its watch and an empty queue.
constexpr std::int64_t ConnectionBytes = 2048;

/// A caller's own id is used when it is a short token, so that it cannot break
/// a header or a log line.
bool isUsableId(const std::string &Text) {
  if (Text.empty() || Text.size() > MaxRequestIdLength)
    return false;
  for (char Each : Text) {
    unsigned char C = static_cast<unsigned char>(Each);
    if (!(std::isalnum(C) || C == '-' || C == '_' || C == '.' || C == ':'))
      return false;
  }
  return true;
}

std::string httpDate() {
  std::time_t Now = std::time(nullptr);
  std::tm Parts = {};
  gmtime_r(&Now, &Parts);
  char Text[40];
  std::size_t Size =
      std::strftime(Text, sizeof Text, "%a, %d %b %Y %H:%M:%S GMT", &Parts);
  return std::string(Text, Size);
}

/// Bytes that the other end has not acknowledged yet.
int unsentBytes(int Fd) {
  int Count = 0;
  return ioctl(Fd, SIOCOUTQ, &Count) == 0 ? Count : 0;
}

/// A body that counts as held until its last user lets go of it.
std::shared_ptr<const std::string> countedBody(std::string Text) {
  struct Counted {
    std::string m_Text;
    HeldBytes m_Held;
  };
  if (Text.empty())
    return nullptr;
  std::shared_ptr<Counted> Body = std::make_shared<Counted>();
  Body->m_Text = std::move(Text);
  Body->m_Held.set(allocatedFor(Body->m_Text));
  return std::shared_ptr<const std::string>(Body, &Body->m_Text);
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

CallerConnection::CallerConnection(FdWatcher &Watcher, int Fd,
                                   std::shared_ptr<FrontState> Front)
    : m_Watcher(Watcher.shared_from_this()), m_Front(std::move(Front)),
      m_Fd(Fd), m_IdleSince(monotonicNow()) {
  CallerPool::instance().add(*this);
  account();
}

CallerConnection::~CallerConnection() {
  close();
  CallerPool::instance().remove(*this);
}

void CallerConnection::start(FdWatcher &Watcher, int Fd,
                             const std::shared_ptr<FrontState> &Front) {
  std::shared_ptr<CallerConnection> Self(
      new CallerConnection(Watcher, Fd, Front));
  int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  // Ends the connection when sent bytes are not acknowledged for so long.
  unsigned Silence =
      static_cast<unsigned>(Front->m_Limits.m_SlowReader.m_Value);
  setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &Silence, sizeof Silence);
  Front->m_Open.insert(Self);
  Self->rearm();
  if (Self->m_Watch == 0)
    Self->close();
}

void CallerConnection::rearm() {
  std::uint32_t Wanted = 0;
  if (isReading() || m_Phase == Phase::Lingering)
    Wanted = EPOLLIN | EPOLLRDHUP;
  else if (m_Phase == Phase::Running || m_Phase == Phase::Streaming)
    Wanted = EPOLLRDHUP;
  if (!m_Queue.empty())
    Wanted |= EPOLLOUT;
  if (m_Phase == Phase::Closed || (m_Watch && Wanted == m_Events))
    return;
  m_Events = Wanted;
  if (m_Watch)
    return m_Watcher->change(m_Watch, Wanted);
  m_Watch = m_Watcher->add(
      m_Fd, Wanted, [Weak = weak_from_this()](std::uint32_t Ready) {
        if (std::shared_ptr<CallerConnection> Self = Weak.lock())
          Self->onReady(Ready);
      });
}

void CallerConnection::onReady(std::uint32_t Events) {
  std::shared_ptr<CallerConnection> Self = shared_from_this();
  if (m_Phase == Phase::Closed)
    return;
  if (m_Phase == Phase::Lingering)
    return discard();
  if (Events & (EPOLLERR | EPOLLHUP))
    return lost();
  if ((Events & EPOLLRDHUP) &&
      (m_Phase == Phase::Running || m_Phase == Phase::Streaming))
    return lost();
  if (Events & EPOLLOUT)
    flush();
  if (isReading() && (Events & (EPOLLIN | EPOLLRDHUP)))
    receive();
}

void CallerConnection::receive() {
  static std::array<char, ReadBytes> Buffer;
  for (int Round = 0; Round < ReadsPerRound && isReading(); ++Round) {
    bool InBody = m_Reader && m_Reader->headRead();
    std::size_t Size = InBody ? Buffer.size() : HeadReadBytes;
    ssize_t Count = recv(m_Fd, Buffer.data(), Size, MSG_DONTWAIT);
    if (Count < 0 && (errno == EAGAIN || errno == EINTR))
      break;
    if (Count <= 0)
      return lost();
    m_In.append(Buffer.data(), static_cast<std::size_t>(Count));
    process();
    if (static_cast<std::size_t>(Count) < Size)
      break;
  }
}

void CallerConnection::process() {
  if (m_Processing || m_Phase == Phase::Closed)
    return;
  std::shared_ptr<CallerConnection> Self = shared_from_this();
  m_Processing = true;
  std::size_t Offset = 0;
  bool More = true;
  while (More && isReading() && Offset < m_In.size()) {
    if (!m_Reader)
      m_Reader = std::make_unique<RequestReader>(m_Front->m_Limits);
    ReadStep Step = m_Reader->read(m_In, Offset);
    if (m_Reader->begun() && m_Phase == Phase::Idle) {
      m_Phase = Phase::Reading;
      m_FirstByte = monotonicNow();
      m_WentOnAt = m_FirstByte;
      m_ArrivedMark = 0;
      m_BodyRoom = BodyRoom::None;
    }
    if (Step == ReadStep::Refused)
      refuse({m_Reader->fault(), NotRun::True, m_Reader->faultText()});
    else if (Step == ReadStep::Whole)
      dispatch();
    More = Step != ReadStep::NeedMore && Offset < m_In.size();
    if (!More && isReading() && m_Reader && m_Reader->headRead())
      awaitBody();
  }
  if (m_Phase == Phase::Reading)
    noteArrived();
  m_In.erase(0, Offset);
  if (!isReading() && m_Phase != Phase::Running && m_Phase != Phase::Answering)
    m_In.clear();
  if (m_In.capacity() - m_In.size() > MaxUnusedBytes)
    m_In.shrink_to_fit();
  m_Processing = false;
  account();
  rearm();
}

void CallerConnection::awaitBody() {
  Bytes Arrived(static_cast<std::int64_t>(m_Reader->body().size()));
  Bytes Size = std::max(m_Reader->head().m_BodyLength, Arrived);
  BodyRoom Wanted = Size > SmallBodyBytes ? BodyRoom::Large : BodyRoom::Small;
  if (m_BodyRoom >= Wanted)
    return;
  bool Begins = m_BodyRoom == BodyRoom::None;
  m_BodyRoom = Wanted;
  RoomFor For =
      Wanted == BodyRoom::Large ? RoomFor::LargeBody : RoomFor::SmallBody;
  if (!CallerPool::instance().takeRoom(For, this))
    return refuseForMemory();
  if (!Begins || Arrived > Bytes(0) || !m_Reader->head().m_ExpectsContinue)
    return;
  queue("HTTP/1.1 100 Continue\r\n\r\n");
  flush();
}

void CallerConnection::noteArrived() {
  bool InBody = m_Reader && m_Reader->headRead();
  std::size_t Arrived = InBody ? m_Reader->body().size() : m_In.size();
  // A body begins anew at 0.
  m_ArrivedMark = std::min(m_ArrivedMark, Arrived);
  if (Arrived - m_ArrivedMark < static_cast<std::size_t>(ProgressBytes.m_Value))
    return;
  m_ArrivedMark = Arrived;
  m_WentOnAt = monotonicNow();
}

RequestId CallerConnection::requestId() const {
  if (m_Reader) {
    std::map<std::string, std::string> &Fields = m_Reader->head().m_Fields;
    std::map<std::string, std::string>::iterator Found =
        Fields.find("x-request-id");
    if (Found != Fields.end() && isUsableId(Found->second))
      return RequestId(Found->second);
  }
  return newRequestId();
}

void CallerConnection::dispatch() {
  bool IsOperators =
      kind() == CallerKind::Operator && m_BodyRoom != BodyRoom::Large;
  RoomFor For = IsOperators ? RoomFor::OperatorRequest : RoomFor::WholeRequest;
  if (!CallerPool::instance().takeRoom(For, this))
    return refuseForMemory();
  RequestHead &Head = m_Reader->head();
  CallerRequest Request;
  Request.m_Id = requestId();
  m_KeepAlive = Head.m_KeepAlive;
  m_Http10 = Head.m_Http10;
  m_IsHead = Head.m_Method == "HEAD";
  Request.m_Method = std::move(Head.m_Method);
  Request.m_Path = std::move(Head.m_Path);
  Request.m_Query = std::move(Head.m_Query);
  Request.m_HasQuery = Head.m_HasQuery;
  Request.m_Fields = std::move(Head.m_Fields);
  std::string Body = std::move(m_Reader->body());
  m_Reader.reset();
  m_Phase = Phase::Running;
  m_Caller = std::make_shared<Caller>(shared_from_this(), Request.m_Id);
  account();
  Request.m_HeldFields =
      std::make_shared<HeldBytes>(allocatedFor(Request.m_Fields));
  Request.m_Body = SharedBody(countedBody(std::move(Body)));
  rearm();
  std::shared_ptr<FrontState> Front = m_Front;
  if (Front->m_OnRequest)
    Front->m_OnRequest(m_Caller, std::move(Request));
}

CallerHolding CallerConnection::holding(Millis Now) const {
  return {Bytes(m_Held.count()), Now - m_WentOnAt, m_FirstByte};
}

Millis CallerConnection::unreadFor(Millis Now) const {
  return m_Blocked ? Now - m_ReadOnAt : Millis(0);
}

Millis CallerConnection::stillFor(Millis Now) const {
  if (m_Phase == Phase::Lingering)
    return Now - (m_LingerUntil - LingerTime);
  return isIncomplete() ? Now - m_WentOnAt : unreadFor(Now);
}

bool CallerConnection::givesUpDescriptor(Millis Now) const {
  if (m_Blocked)
    return unreadFor(Now) >= UnreadGivesWayAfter;
  if (!isIncomplete() && m_Phase != Phase::Lingering)
    return false;
  return stillFor(Now) >= GivesWayAfter &&
         (isIncomplete() || unsentBytes(m_Fd) == 0);
}

void CallerConnection::giveUp() {
  std::shared_ptr<CallerConnection> Self = shared_from_this();
  if (isIncomplete())
    refuse({RefusalReason::QueueFull, NotRun::True,
            "too many connections are open"});
  if (m_Phase == Phase::Lingering)
    close();
  else
    lost();
}

void CallerConnection::refuseForMemory() {
  ++CallerPool::instance().m_Counts.m_BodiesRefused;
  CallerPool::instance().noteRefused();
  refuse({RefusalReason::QueueFull, NotRun::True,
          "too many bytes are held for callers"});
}

void CallerConnection::refuse(const Refusal &Why) {
  if (!isReading())
    return;
  std::shared_ptr<CallerConnection> Self = shared_from_this();
  RequestId Id = requestId();
  std::shared_ptr<FrontState> Front = m_Front;
  if (Front->m_OnRefusal)
    Front->m_OnRefusal(Why.m_Reason);
  HttpFields Fields = {{"Connection", "close"}};
  int Seconds = refusalRetryAfterSeconds(Why.m_Reason);
  if (Seconds > 0)
    Fields.emplace_back("Retry-After", std::to_string(Seconds));
  std::string Body = Front->m_RefusalText ? Front->m_RefusalText(Why, Id)
                                          : refusalJson(Why, Id);
  m_Phase = Phase::Ending;
  m_Reader.reset();
  if (!m_Processing)
    std::string().swap(m_In);
  queue(answerHead(refusalHttpStatus(Why.m_Reason), "application/json", Id,
                   Fields) +
        "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body);
  flush();
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

void CallerConnection::linger() {
  std::shared_ptr<CallerConnection> Self = shared_from_this();
  m_Phase = Phase::Lingering;
  m_Reader.reset();
  if (!m_Processing)
    std::string().swap(m_In);
  shutdown(m_Fd, SHUT_WR);
  m_LingerUntil = monotonicNow() + LingerTime;
  m_LingerUnsent = unsentBytes(m_Fd);
  account();
  rearm();
  std::shared_ptr<Caller> Ended = std::move(m_Caller);
  m_Caller.reset();
  if (Ended)
    Ended->ended();
}

void CallerConnection::discard() {
  static std::array<char, ReadBytes> Buffer;
  for (int Round = 0; Round < ReadsPerRound; ++Round) {
    ssize_t Count = recv(m_Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Count < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    if (Count <= 0)
      return close();
  }
}

void CallerConnection::lost() {
  if (m_Phase == Phase::Closed)
    return;
  std::shared_ptr<CallerConnection> Self = shared_from_this();
  bool Answered = m_Phase == Phase::Answering || m_Phase == Phase::Ending;
  std::shared_ptr<Caller> Left = std::move(m_Caller);
  m_Caller.reset();
  close();
  if (Left)
    Left->gone(!Answered);
}

void CallerConnection::drop() {
  std::shared_ptr<Caller> Left = std::move(m_Caller);
  m_Caller.reset();
  if (Left)
    Left->detach();
  close();
}

void CallerConnection::close() {
  if (m_Phase == Phase::Closed)
    return;
  m_Phase = Phase::Closed;
  if (m_Watch)
    m_Watcher->remove(m_Watch);
  m_Watch = 0;
  ::close(m_Fd);
  m_Fd = -1;
  m_Queue.clear();
  m_Queued = 0;
  m_Blocked = false;
  m_Reader.reset();
  if (!m_Processing)
    std::string().swap(m_In);
  account();
  // The caller of this function may hold no other reference.
  std::shared_ptr<CallerConnection> Last = weak_from_this().lock();
  m_Front->m_Open.erase(Last);
}

bool CallerConnection::closeIfIdle() {
  char Byte = 0;
  if (m_Phase != Phase::Idle ||
      recv(m_Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0 || !m_In.empty())
    return false;
  close();
  return true;
}

Millis CallerConnection::slowAt() const {
  // The head and the body's first part share the first period: a sender that
  // trickles its head has no further period for its body.
  std::int64_t Read =
      m_Reader ? static_cast<std::int64_t>(m_Reader->body().size()) : 0;
  std::int64_t Parts = Read / SlowSenderBytes.m_Value + 1;
  return m_FirstByte + Millis(m_Front->m_Limits.m_SlowSender.m_Value * Parts);
}

void CallerConnection::sweep(Millis Now) {
  const HttpLimits &Limits = m_Front->m_Limits;
  if (m_Blocked && Now - m_LastProgress >= Limits.m_SlowReader)
    return lost();
  if (m_Phase == Phase::Idle && Now - m_IdleSince >= Limits.m_Idle) {
    if (closeIfIdle())
      ++CallerPool::instance().m_Counts.m_IdleClosed;
  } else if (m_Phase == Phase::Reading && Now >= slowAt()) {
    bool Body = m_Reader && m_Reader->headRead();
    refuse({RefusalReason::SlowSender, NotRun::True,
            Body ? "the body arrives too slowly"
                 : "the header arrives too slowly"});
  } else if (m_Phase == Phase::Lingering && Now >= m_LingerUntil) {
    // A slow caller that goes on reading gets the rest.
    int Left = unsentBytes(m_Fd);
    if (Left >= m_LingerUnsent)
      return close();
    m_LingerUnsent = Left;
    m_LingerUntil = Now + LingerTime;
  }
}

bool CallerConnection::hasUnread() const {
  if (m_Phase == Phase::Closed || isReading())
    return m_Fd >= 0 && unsentBytes(m_Fd) > 0;
  return !m_Queue.empty() || unsentBytes(m_Fd) > 0;
}

void CallerConnection::account() {
  std::int64_t Held = ConnectionBytes + allocatedFor(m_In);
  for (const std::string &Part : m_Queue)
    Held += allocatedFor(Part);
  if (m_Reader)
    Held += m_Reader->heldBytes().m_Value;
  m_Held.set(Held);
}

} // namespace vanillaferry
