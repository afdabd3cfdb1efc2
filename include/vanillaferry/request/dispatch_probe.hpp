#pragma once

#include "vanillaferry/request/dispatch.hpp"

#include <optional>

namespace vanillaferry {

/// True when all that was running at the target at the time of its last load
/// figures has probably ended, and no answer of it is under way to this router.
bool hasStaleLoad(const DispatchTarget &Target, Millis StaleAfter, Millis Now);

/// Age at which load figures say nothing any more, by the mean answer time of
/// the service's targets; absent while that is unknown (0).
std::optional<Millis> staleAfter(double AnswerMs);

/// Time between two requests of one router to targets that are full by old
/// figures. The routers together then send no more than the targets can run.
/// Absent when there must be none.
std::optional<Millis> probeInterval(const DispatchPool &Pool, double AnswerMs,
                                    Millis Now);

/// Time at which a target may be asked although it is full by its figures, and
/// not before NextProbe; absent while the answer of each is under way.
std::optional<Millis> nextProbeAt(const DispatchPool &Pool, double AnswerMs,
                                  Millis NextProbe, Millis Now);

/// Next time at which a pause or a cold or rate window of a target moves on, so
/// that it may have room without any news; absent for none.
std::optional<Millis> nextRoomAt(const DispatchPool &Pool, Millis Now);

} // namespace vanillaferry
