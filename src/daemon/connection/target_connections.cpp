#include "connection/target_connections.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaferry {

namespace {

/// More idle connections to one target are not needed by one router.
constexpr std::size_t MaxIdlePerTarget = 8;

/// True when bytes or an end arrived that the main loop has not handled yet:
/// they belong to no request, and the connection must not carry another one.
bool hasUnread(int Fd) {
  char Byte = 0;
  ssize_t Count = recv(Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

TargetConnections::~TargetConnections() {
  for (const std::pair<const std::string, std::deque<Idle>> &Row : m_Idle)
    for (const Idle &Each : Row.second)
      release(Each, true);
}

int TargetConnections::take(const std::string &Address, Millis MaxIdle,
                            Millis Now) {
  std::map<std::string, std::deque<Idle>>::iterator Found =
      m_Idle.find(Address);
  if (Found == m_Idle.end() || Found->second.empty())
    return -1;
  Idle Last = Found->second.back();
  if (Last.m_Since + MaxIdle < Now || Last.m_Until < Now)
    return -1;
  Found->second.pop_back();
  bool Unread = hasUnread(Last.m_Fd);
  release(Last, Unread);
  return Unread ? -1 : Last.m_Fd;
}

void TargetConnections::keep(const std::string &Address, int Fd,
                             Millis Lifetime, Millis Now) {
  std::deque<Idle> &All = m_Idle[Address];
  Idle Kept{Fd, 0, Now, Now + Lifetime};
  Kept.m_Watch = m_Watcher->add(
      Fd, EPOLLIN | EPOLLRDHUP,
      [Weak = weak_from_this(), Address, Fd](std::uint32_t) {
        if (std::shared_ptr<TargetConnections> Self = Weak.lock())
          Self->drop(Address, Fd);
      });
  All.push_back(Kept);
  if (All.size() <= MaxIdlePerTarget)
    return;
  release(All.front(), true);
  All.pop_front();
}

void TargetConnections::closeIdle(const std::string &Address) {
  std::map<std::string, std::deque<Idle>>::iterator Found =
      m_Idle.find(Address);
  if (Found == m_Idle.end())
    return;
  for (const Idle &Each : Found->second)
    release(Each, true);
  m_Idle.erase(Found);
}

void TargetConnections::closeExpired(Millis Now) {
  std::map<std::string, std::deque<Idle>>::iterator Row = m_Idle.begin();
  while (Row != m_Idle.end()) {
    std::deque<Idle> &All = Row->second;
    while (!All.empty() && All.front().m_Until < Now) {
      release(All.front(), true);
      All.pop_front();
    }
    Row = All.empty() ? m_Idle.erase(Row) : std::next(Row);
  }
}

void TargetConnections::drop(const std::string &Address, int Fd) {
  std::deque<Idle> &All = m_Idle[Address];
  std::deque<Idle>::iterator Found =
      std::find_if(All.begin(), All.end(),
                   [Fd](const Idle &Each) { return Each.m_Fd == Fd; });
  if (Found == All.end())
    return;
  release(*Found, true);
  All.erase(Found);
}

void TargetConnections::release(const Idle &Connection, bool Close) {
  m_Watcher->remove(Connection.m_Watch);
  if (Close)
    ::close(Connection.m_Fd);
}

} // namespace vanillaferry
