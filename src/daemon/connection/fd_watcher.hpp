#pragma once

#include <cstdint>
#include <functional>
#include <glib.h>
#include <map>
#include <memory>

namespace vanillaferry {

/// Watches many sockets through one epoll descriptor on the GLib main loop.
/// GLib polls every descriptor in every round, which costs more than the relay
/// itself at several hundred open streams; here a round costs only the ready
/// ones.
class FdWatcher {
public:
  /// Receives the ready EPOLL* bits.
  using OnReady = std::function<void(std::uint32_t)>;

  FdWatcher();
  ~FdWatcher();
  FdWatcher(const FdWatcher &) = delete;
  FdWatcher &operator=(const FdWatcher &) = delete;

  /// Starts to watch a descriptor and returns the watch's number.
  std::uint64_t add(int Fd, std::uint32_t Events, OnReady Ready);
  void change(std::uint64_t Watch, std::uint32_t Events);
  /// Must come before the descriptor is closed.
  void remove(std::uint64_t Watch);

private:
  struct Entry {
    int m_Fd = -1;
    std::shared_ptr<OnReady> m_Ready;
  };
  static gboolean dispatch(gint Fd, GIOCondition Condition, gpointer Data);
  void run();

  int m_Epoll = -1;
  GSource *m_Source = nullptr;
  std::uint64_t m_Next = 1;
  std::map<std::uint64_t, Entry> m_Entries;
};

} // namespace vanillaferry
