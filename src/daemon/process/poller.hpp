#pragma once

#include "vanillaferry/process/ids.hpp"

#include <string>

namespace vanillaferry {

struct Router;

/// Time between two load reports of a target that is idle, cold or shows a
/// sign of a fault. The owner's own count of running requests is exact; the
/// report only shows restarts.
constexpr std::int64_t LoadPollMs = 1000;

/// Time between two reads of one target's cache events. Evictions matter to the
/// placement of chats that return after minutes, so they may be learned late.
constexpr std::int64_t CachePollMs = 5000;

/// Reads the VM list and the load reports and cache events of owned targets.
void checkPolls(Router &R);

/// Pauses a target that could not be reached, longer after each failure.
void noteTargetFailed(Router &R, const TargetId &Target);
/// Pauses a target whose stream broke until a load report, requested at once,
/// has shown whether it restarted and is cold.
void noteStreamBroken(Router &R, const TargetId &Target);
/// Requests a load report at once from a target whose stream makes no progress.
void noteStreamSilent(Router &R, const TargetId &Target);
/// Resets the length of a target's pauses.
void noteTargetReached(Router &R, const TargetId &Target);

} // namespace vanillaferry
