#include "connection/connect_probe.hpp"

#include "connection/target_socket.hpp"

#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace vanillaferry {

ConnectProbe::ConnectProbe(FdWatcher &Watcher, OnEnd Handler)
    : m_Watcher(Watcher.shared_from_this()), m_OnEnd(std::move(Handler)) {}

ConnectProbe::~ConnectProbe() {
  if (m_Watch)
    m_Watcher->remove(m_Watch);
  if (m_Fd >= 0)
    ::close(m_Fd);
}

void ConnectProbe::start(FdWatcher &Watcher, const std::string &Address,
                         Millis Limit, OnEnd Handler) {
  std::shared_ptr<ConnectProbe> Probe(
      new ConnectProbe(Watcher, std::move(Handler)));
  Probe->m_Self = Probe;
  ConnectProbe *Raw = Probe.get();
  Result<int> Begun = beginConnection(Address);
  if (!Begun) {
    Raw->m_Timer.start(0, [Raw] {
      Raw->end(false);
      return false;
    });
    return;
  }
  Raw->m_Fd = Begun.value();
  Raw->m_Watch = Watcher.add(Raw->m_Fd, EPOLLOUT, [Raw](std::uint32_t) {
    Raw->end(connectionFault(Raw->m_Fd).empty());
  });
  Raw->m_Timer.start(Limit.m_Value, [Raw] {
    if (connectionPending(Raw->m_Fd))
      Raw->end(false);
    return false;
  });
}

void ConnectProbe::end(bool Connected) {
  std::shared_ptr<ConnectProbe> Last = std::move(m_Self);
  m_Timer.stop();
  if (m_Watch)
    m_Watcher->remove(m_Watch);
  m_Watch = 0;
  OnEnd Handler = std::move(m_OnEnd);
  Handler(Connected ? std::exchange(m_Fd, -1) : -1);
}

} // namespace vanillaferry
