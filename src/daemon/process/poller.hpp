#pragma once

#include "vanillaferry/process/ids.hpp"

#include <string>

namespace vanillaferry {

struct Router;

/// Time between two load reports of a target that is idle, cold or shows a
/// sign of a fault; the owner's own count is exact, the report only shows
/// restarts.
constexpr std::int64_t LoadPollMs = 1000;

/// Time between two reads of one target's cache events. Evictions correct the
/// placement of chats that return after minutes, so they need no hurry.
constexpr std::int64_t CachePollMs = 5000;

/// Reads the VM list and the load reports and cache events of owned targets.
void checkPolls(Router &R);

/// Keeps new work away from a target that could not be reached.
void noteTargetFailed(Router &R, const TargetId &Target);
/// Pauses a target whose stream broke until a load report, asked for at once,
/// has shown whether it restarted and is cold.
void noteStreamBroken(Router &R, const TargetId &Target);
/// Asks a target without progress for a load report at once.
void noteStreamSilent(Router &R, const TargetId &Target);
/// Ends the growth of its pauses.
void noteTargetReached(Router &R, const TargetId &Target);

} // namespace vanillaferry
