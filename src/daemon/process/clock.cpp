#include "process/clock.hpp"

#include <ctime>
#include <random>

namespace vanillaferry {

namespace {

std::int64_t readClock(clockid_t Clock) {
  timespec Time = {};
  clock_gettime(Clock, &Time);
  return static_cast<std::int64_t>(Time.tv_sec) * 1000 + Time.tv_nsec / 1000000;
}

} // namespace

Millis monotonicNow() { return Millis(readClock(CLOCK_BOOTTIME)); }

UnixMillis wallNow() { return UnixMillis(readClock(CLOCK_REALTIME)); }

std::uint64_t randomSeed() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

} // namespace vanillaferry
