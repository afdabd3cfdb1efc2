#pragma once

#include <cstdint>
#include <ctime>
#include <string>
#include <vector>

namespace vanillaferry {

/// Processor time that the threads of one name have used.
struct ThreadUse {
  std::string m_Name;
  std::uint64_t m_Micros = 0;
};

/// Accounts for the processor time of the thread that creates it.
class ThreadMeter {
public:
  explicit ThreadMeter(const char *Name);
  ~ThreadMeter();
  ThreadMeter(const ThreadMeter &) = delete;
  ThreadMeter &operator=(const ThreadMeter &) = delete;
};

/// Processor time of all accounted threads since the start, by name; callable
/// from any thread.
std::vector<ThreadUse> threadUses();

} // namespace vanillaferry
