#pragma once

#include "connection/caller.hpp"
#include "request/session.hpp"
#include "vanillaferry/process/ids.hpp"

#include <memory>

namespace vanillaferry {

struct Router;

/// Handles a new request of a caller: authenticates, checks and admits it.
void handleCallerRequest(Router &R, const std::shared_ptr<Caller> &Sender,
                         CallerRequest Request);

/// Admits a checked request: starts it, queues it or refuses it.
void admitSession(const std::shared_ptr<Session> &S);

/// Puts a request that every owner has declined back into the queue, or refuses
/// it after its deadline.
void requeueSession(const std::shared_ptr<Session> &S);

/// Starts queued requests of a pool unless a decline has paused its queue.
void pumpQueue(Router &R, const PoolId &Pool);
/// Offers the pool's next request to the owners after this one was accepted or
/// has ended; Ran says that it held a slot at a target.
void noteWalkEnded(Router &R, const PoolId &Pool, const RequestId &Request,
                   bool Ran);

/// Refuses queued requests whose deadline has passed and pumps all queues.
void checkQueues(Router &R);

/// Removes a queued request whose caller has disconnected.
void dropQueued(Session &S);

} // namespace vanillaferry
