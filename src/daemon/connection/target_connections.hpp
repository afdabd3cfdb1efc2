#pragma once

#include "connection/fd_watcher.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace vanillaferry {

/// Idle connections to targets, kept for later requests. A connection on which
/// bytes arrive or that the target closes meanwhile is dropped: such bytes
/// belong to no request.
class TargetConnections
    : public std::enable_shared_from_this<TargetConnections> {
public:
  explicit TargetConnections(FdWatcher &Watcher)
      : m_Watcher(Watcher.shared_from_this()) {}
  ~TargetConnections();
  TargetConnections(const TargetConnections &) = delete;
  TargetConnections &operator=(const TargetConnections &) = delete;

  /// The descriptor of the connection that was used last, which is the
  /// caller's from then on; -1 when none was used within MaxIdle.
  int take(const std::string &Address, Millis MaxIdle, Millis Now);
  /// Keeps an idle connection until so long after now.
  void keep(const std::string &Address, int Fd, Millis Lifetime, Millis Now);
  /// Closes the idle connections to one target.
  void closeIdle(const std::string &Address);
  /// Closes what has been idle for too long.
  void closeExpired(Millis Now);

private:
  struct Idle {
    int m_Fd = -1;
    std::uint64_t m_Watch = 0;
    Millis m_Since;
    Millis m_Until;
  };
  void drop(const std::string &Address, int Fd);
  void release(const Idle &Connection, bool Close);

  std::shared_ptr<FdWatcher> m_Watcher;
  std::map<std::string, std::deque<Idle>> m_Idle;
};

} // namespace vanillaferry
