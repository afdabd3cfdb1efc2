#pragma once

#include "connection/fd_watcher.hpp"
#include "connection/glib_handle.hpp"
#include "vanillaferry/process/units.hpp"

#include <functional>
#include <memory>
#include <string>

namespace vanillaferry {

/// Establishes one connection without a request, to learn whether the other end
/// can be reached. It keeps itself alive until its end.
class ConnectProbe : public std::enable_shared_from_this<ConnectProbe> {
public:
  /// Receives the descriptor, which is the receiver's from then on, or -1.
  using OnEnd = std::function<void(int Fd)>;

  /// OnEnd is not called before start() has returned.
  static void start(FdWatcher &Watcher, const std::string &Address,
                    Millis Limit, OnEnd Handler);
  ~ConnectProbe();
  ConnectProbe(const ConnectProbe &) = delete;
  ConnectProbe &operator=(const ConnectProbe &) = delete;

private:
  ConnectProbe(FdWatcher &Watcher, OnEnd Handler);
  void end(bool Connected);

  std::shared_ptr<FdWatcher> m_Watcher;
  OnEnd m_OnEnd;
  int m_Fd = -1;
  std::uint64_t m_Watch = 0;
  Timer m_Timer;
  std::shared_ptr<ConnectProbe> m_Self;
};

} // namespace vanillaferry
