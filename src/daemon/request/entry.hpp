#pragma once

#include "connection/caller.hpp"
#include "request/session.hpp"
#include "vanillaferry/process/ids.hpp"

#include <memory>

namespace vanillaferry {

struct Router;

/// Every request of a caller begins here.
void handleCallerRequest(Router &R, const std::shared_ptr<Caller> &Sender,
                         CallerRequest Request);

/// Takes a checked request in: starts it, lets it wait, or refuses it.
void admitSession(const std::shared_ptr<Session> &S);

/// Puts a request that no owner took back into the queue, or refuses it.
void requeueSession(const std::shared_ptr<Session> &S);

/// Starts waiting requests of a pool while places are free.
void pumpQueue(Router &R, const PoolId &Pool);
/// Lets the pool's next request walk after this one was accepted or has ended;
/// Ran says that it held a place at a target.
void noteWalkEnded(Router &R, const PoolId &Pool, const RequestId &Request,
                   bool Ran);

/// Refuses waiting requests whose deadline has passed and pumps all queues.
void checkQueues(Router &R);

/// Removes a waiting request whose caller left.
void dropQueued(Session &S);

} // namespace vanillaferry
