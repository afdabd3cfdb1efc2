#pragma once

#include "request/run.hpp"

namespace vanillaferry {

/// Sends the request to its target, or goes on with its stream.
void dispatch(const std::shared_ptr<Run> &Work, bool Resume);

/// Gives the place at the target back.
void releaseSlot(Run &Work, bool Complete);

/// Ends a run with a message to its entry router.
void finishRun(Run &Work, StreamEnd How, const std::string &Detail);

/// Decides the pool's parked orders whose place is free or whose wait is over.
void decideParked(Router &R, const PoolId &Pool);

} // namespace vanillaferry
