#include "connection/caller_connection.hpp"

#include "process/clock.hpp"

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
/// What a connection takes up without a request: this object, its entries in
/// the front's and the pool's sets, its watch and an empty queue.
constexpr std::int64_t ConnectionBytes = 2048;

/// Bytes that the other end has not acknowledged yet.
int unsentBytes(int Fd) {
  int Count = 0;
  return ioctl(Fd, SIOCOUTQ, &Count) == 0 ? Count : 0;
}

} // namespace

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
