#include "connection/fd_watcher.hpp"

#include <array>
#include <sys/epoll.h>
#include <unistd.h>

namespace vanillaferry {

namespace {

constexpr int ReadyBatch = 256;
/// Adds at most this to an event on its way; tokens come some 40 ms apart.
constexpr gint64 RoundIntervalUs = 1000;

struct WatcherSource {
  GSource m_Source;
  FdWatcher *m_Watcher;
};

} // namespace

FdWatcher::FdWatcher() : m_Epoll(epoll_create1(EPOLL_CLOEXEC)) {
  m_Functions.dispatch = &FdWatcher::dispatch;
  m_Source = g_source_new(&m_Functions, sizeof(WatcherSource));
  reinterpret_cast<WatcherSource *>(m_Source)->m_Watcher = this;
  m_Tag = g_source_add_unix_fd(m_Source, m_Epoll, G_IO_IN);
  g_source_attach(m_Source, g_main_context_get_thread_default());
}

FdWatcher::~FdWatcher() {
  g_source_destroy(m_Source);
  g_source_unref(m_Source);
  close(m_Epoll);
}

std::uint64_t FdWatcher::add(int Fd, std::uint32_t Events, OnReady Ready) {
  std::uint64_t Watch = m_Next++;
  epoll_event Event = {};
  Event.events = Events;
  Event.data.u64 = Watch;
  if (epoll_ctl(m_Epoll, EPOLL_CTL_ADD, Fd, &Event) != 0)
    return 0;
  m_Entries[Watch] = Entry{Fd, std::make_shared<OnReady>(std::move(Ready))};
  return Watch;
}

void FdWatcher::change(std::uint64_t Watch, std::uint32_t Events) {
  auto Found = m_Entries.find(Watch);
  if (Found == m_Entries.end())
    return;
  epoll_event Event = {};
  Event.events = Events;
  Event.data.u64 = Watch;
  epoll_ctl(m_Epoll, EPOLL_CTL_MOD, Found->second.m_Fd, &Event);
}

void FdWatcher::remove(std::uint64_t Watch) {
  auto Found = m_Entries.find(Watch);
  if (Found == m_Entries.end())
    return;
  epoll_ctl(m_Epoll, EPOLL_CTL_DEL, Found->second.m_Fd, nullptr);
  m_Entries.erase(Found);
}

gboolean FdWatcher::dispatch(GSource *Source, GSourceFunc, gpointer) {
  FdWatcher &Self = *reinterpret_cast<WatcherSource *>(Source)->m_Watcher;
  bool Busy = Self.run() > 0;
  g_source_modify_unix_fd(Source, Self.m_Tag,
                          static_cast<GIOCondition>(Busy ? 0 : G_IO_IN));
  g_source_set_ready_time(
      Source, Busy ? g_source_get_time(Source) + RoundIntervalUs : -1);
  return G_SOURCE_CONTINUE;
}

int FdWatcher::run() {
  std::array<epoll_event, ReadyBatch> Ready;
  int Count = epoll_wait(m_Epoll, Ready.data(), ReadyBatch, 0);
  for (int I = 0; I < Count; ++I) {
    // An earlier handler of this batch may have removed the watch.
    auto Found = m_Entries.find(Ready[static_cast<std::size_t>(I)].data.u64);
    if (Found == m_Entries.end())
      continue;
    std::shared_ptr<OnReady> Handler = Found->second.m_Ready;
    (*Handler)(Ready[static_cast<std::size_t>(I)].events);
  }
  return Count;
}

} // namespace vanillaferry
