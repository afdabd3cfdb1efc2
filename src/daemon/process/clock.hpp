#pragma once

#include "vanillaferry/process/units.hpp"

namespace vanillaferry {

/// Time of the monotonic clock that also counts suspend (CLOCK_BOOTTIME).
Millis monotonicNow();

/// Wall clock time.
UnixMillis wallNow();

/// A random number from the operating system.
std::uint64_t randomSeed();

} // namespace vanillaferry
