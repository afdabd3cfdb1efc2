#include "process/thread_meter.hpp"

#include <map>
#include <mutex>
#include <pthread.h>

namespace vanillaferry {

namespace {

constexpr std::uint64_t MicrosPerSecond = 1000000;
constexpr std::uint64_t NanosPerMicro = 1000;

struct MeteredThread {
  std::string m_Name;
  clockid_t m_Clock = 0;
  bool m_HasClock = false;
};

struct Registry {
  std::mutex m_Mutex;
  std::map<pthread_t, MeteredThread> m_Running;
  /// Time of threads that have ended.
  std::map<std::string, std::uint64_t> m_Ended;
};

Registry &registry() {
  static Registry All;
  return All;
}

std::uint64_t readMicros(clockid_t Clock) {
  timespec Time = {};
  if (clock_gettime(Clock, &Time) != 0)
    return 0;
  return static_cast<std::uint64_t>(Time.tv_sec) * MicrosPerSecond +
         static_cast<std::uint64_t>(Time.tv_nsec) / NanosPerMicro;
}

std::uint64_t microsOf(const MeteredThread &Thread) {
  return Thread.m_HasClock ? readMicros(Thread.m_Clock) : 0;
}

} // namespace

ThreadMeter::ThreadMeter(const char *Name) {
  MeteredThread Thread;
  Thread.m_Name = Name;
  Thread.m_HasClock =
      pthread_getcpuclockid(pthread_self(), &Thread.m_Clock) == 0;
  Registry &All = registry();
  std::lock_guard<std::mutex> Guard(All.m_Mutex);
  All.m_Running[pthread_self()] = Thread;
}

ThreadMeter::~ThreadMeter() {
  Registry &All = registry();
  std::lock_guard<std::mutex> Guard(All.m_Mutex);
  std::map<pthread_t, MeteredThread>::iterator Own =
      All.m_Running.find(pthread_self());
  All.m_Ended[Own->second.m_Name] += microsOf(Own->second);
  All.m_Running.erase(Own);
}

std::vector<ThreadUse> threadUses() {
  Registry &All = registry();
  std::lock_guard<std::mutex> Guard(All.m_Mutex);
  std::map<std::string, std::uint64_t> Sums = All.m_Ended;
  for (const std::pair<const pthread_t, MeteredThread> &Row : All.m_Running)
    Sums[Row.second.m_Name] += microsOf(Row.second);
  std::vector<ThreadUse> Uses;
  for (const std::pair<const std::string, std::uint64_t> &Row : Sums)
    Uses.push_back({Row.first, Row.second});
  return Uses;
}

} // namespace vanillaferry
