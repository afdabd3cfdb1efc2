#include "connection/http_front.hpp"

#include "process/clock.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace vanillaferry {

namespace {

/// A burst of callers overruns a short backlog; they would connect only after
/// the kernel's repeat in a second.
constexpr int ListenBacklog = 4096;
constexpr int AcceptsPerRound = 64;

struct SocketAddress {
  sockaddr_storage m_Storage = {};
  socklen_t m_Size = 0;
};

Result<SocketAddress> socketAddress(const ListenAddress &Address) {
  SocketAddress Socket;
  sockaddr_in V4 = {};
  sockaddr_in6 V6 = {};
  if (inet_pton(AF_INET, Address.m_Address.c_str(), &V4.sin_addr) == 1) {
    V4.sin_family = AF_INET;
    V4.sin_port = htons(Address.m_Port);
    std::memcpy(&Socket.m_Storage, &V4, sizeof V4);
    Socket.m_Size = sizeof V4;
    return Socket;
  }
  if (inet_pton(AF_INET6, Address.m_Address.c_str(), &V6.sin6_addr) != 1)
    return makeError(ErrorCode::Io, "not an IP address");
  V6.sin6_family = AF_INET6;
  V6.sin6_port = htons(Address.m_Port);
  std::memcpy(&Socket.m_Storage, &V6, sizeof V6);
  Socket.m_Size = sizeof V6;
  return Socket;
}

} // namespace

HttpFront::HttpFront(FdWatcher &Watcher)
    : m_Watcher(Watcher.shared_from_this()),
      m_State(std::make_shared<FrontState>()) {}

HttpFront::~HttpFront() {
  *m_Alive = false;
  if (m_Watch)
    m_Watcher->remove(m_Watch);
  if (m_Fd >= 0)
    ::close(m_Fd);
  m_State->m_OnRequest = nullptr;
  m_State->m_OnRefusal = nullptr;
  m_State->m_RefusalText = nullptr;
  // Each removes itself from the set.
  std::set<std::shared_ptr<CallerConnection>> Open = m_State->m_Open;
  for (const std::shared_ptr<CallerConnection> &Each : Open)
    Each->drop();
}

Result<std::unique_ptr<HttpFront>>
HttpFront::start(const ListenAddress &Address, FdWatcher &Watcher,
                 OnRequest Request, OnRefusal Refused, CallerKind Kind) {
  std::unique_ptr<HttpFront> Front(new HttpFront(Watcher));
  Front->m_State->m_Kind = Kind;
  Front->m_State->m_OnRequest = std::move(Request);
  Front->m_State->m_OnRefusal = std::move(Refused);
  Status Listening = Front->listen(Address);
  if (!Listening)
    return makeError(ErrorCode::Io, "cannot listen on " + Address.m_Address +
                                        ":" + std::to_string(Address.m_Port) +
                                        ": " + Listening.error().m_Text);
  Front->watch(true);
  HttpFront *Raw = Front.get();
  Front->m_SweepTimer.start(CallerSweepInterval.m_Value, [Raw] {
    Raw->sweep();
    return true;
  });
  return Front;
}

Status HttpFront::listen(const ListenAddress &Address) {
  Result<SocketAddress> Socket = socketAddress(Address);
  if (!Socket)
    return Socket.error();
  const SocketAddress &Local = Socket.value();
  m_Fd = socket(Local.m_Storage.ss_family,
                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int On = 1;
  if (m_Fd < 0 ||
      setsockopt(m_Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On) != 0 ||
      bind(m_Fd, reinterpret_cast<const sockaddr *>(&Local.m_Storage),
           Local.m_Size) != 0 ||
      ::listen(m_Fd, ListenBacklog) != 0)
    return makeError(ErrorCode::Io, std::strerror(errno));
  return boost::outcome_v2::success();
}

std::uint16_t HttpFront::port() const {
  SocketAddress Local;
  Local.m_Size = sizeof Local.m_Storage;
  if (getsockname(m_Fd, reinterpret_cast<sockaddr *>(&Local.m_Storage),
                  &Local.m_Size) != 0)
    return 0;
  // The port has the same place in both kinds of address.
  return ntohs(
      reinterpret_cast<const sockaddr_in *>(&Local.m_Storage)->sin_port);
}

void HttpFront::watch(bool Accepting) {
  if (Accepting && !m_Watch) {
    m_Watch =
        m_Watcher->add(m_Fd, EPOLLIN, [this, Alive = m_Alive](std::uint32_t) {
          if (*Alive)
            accept();
        });
  } else if (!Accepting && m_Watch) {
    m_Watcher->remove(m_Watch);
    m_Watch = 0;
  }
}

void HttpFront::accept() {
  CallerPool &Pool = CallerPool::instance();
  for (int Count = 0; Count < AcceptsPerRound; ++Count) {
    // Without room, connections wait in the backlog until the next sweep.
    if (!Pool.makeRoom(m_State->m_Kind))
      return watch(false);
    int Fd = accept4(m_Fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Fd >= 0) {
      CallerConnection::start(*m_Watcher, Fd, m_State);
      continue;
    }
    if (errno == ECONNABORTED || errno == EINTR)
      continue;
    if (errno != EAGAIN && !Pool.closeLeastUsed(m_State->m_Kind))
      watch(false);
    return;
  }
}

void HttpFront::sweep() {
  Millis Now = monotonicNow();
  CallerPool::instance().sweep(Now);
  std::vector<std::shared_ptr<CallerConnection>> Open(m_State->m_Open.begin(),
                                                      m_State->m_Open.end());
  for (const std::shared_ptr<CallerConnection> &Each : Open)
    Each->sweep(Now);
  watch(true);
}

bool HttpFront::hasUnread() const {
  for (const std::shared_ptr<CallerConnection> &Each : m_State->m_Open)
    if (Each->hasUnread())
      return true;
  return false;
}

} // namespace vanillaferry
