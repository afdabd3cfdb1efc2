#pragma once

#include <cstdint>
#include <functional>
#include <glib.h>
#include <map>
#include <memory>

namespace vanillaferry {

/// Watches many sockets through one epoll descriptor on the GLib main loop.
/// GLib visits every source in every round, and libsoup keeps two for each
/// client connection, so with several hundred open streams a round costs more
/// than the relay of an event. Ready sockets are therefore handled in batches:
/// at once after a quiet time, else RoundIntervalUs after the last batch.
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
  static gboolean dispatch(GSource *Source, GSourceFunc, gpointer);
  /// Returns the number of ready descriptors handled.
  int run();

  int m_Epoll = -1;
  GSource *m_Source = nullptr;
  gpointer m_Tag = nullptr;
  GSourceFuncs m_Functions = {};
  std::uint64_t m_Next = 1;
  std::map<std::uint64_t, Entry> m_Entries;
};

} // namespace vanillaferry
