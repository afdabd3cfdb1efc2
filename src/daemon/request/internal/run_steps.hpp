#pragma once

#include "request/run.hpp"

namespace vanillaferry {

/// Sends the request to its target, or resumes its stream there.
void dispatch(const std::shared_ptr<Run> &Work, bool Resume);

/// Releases the request's slot at the target.
void releaseSlot(Run &Work, bool Complete);

/// Ends a run with a message to its entry router.
void finishRun(Run &Work, StreamEnd How, const std::string &Detail);

/// Starts or declines the pool's parked orders whose target has a free slot or
/// whose waiting time is over.
void decideParked(Router &R, const PoolId &Pool);

} // namespace vanillaferry
