#pragma once

#include "request/session.hpp"
#include "vanillaferry/process/reason.hpp"

#include <memory>
#include <string>

namespace vanillaferry {

/// Sends the order to the owner that the current walk step names.
void askOwner(const std::shared_ptr<Session> &S);

/// Asks the same owner again; it may run the request at any of its targets.
void askAnyTarget(const std::shared_ptr<Session> &S);

/// Queues, retries later or refuses a request that every owner has declined.
void waitOrRefuse(const std::shared_ptr<Session> &S);

/// Schedules the next attempt to resume a broken stream.
void resumeLater(Session &S);

/// Retries after a try that sent nothing to its target.
void retryUnsent(const std::shared_ptr<Session> &S, RetryReason Why,
                 const std::string &Detail);

/// Retries after a try that may have run: from the start, or from the position
/// where the stream broke.
void retryBroken(const std::shared_ptr<Session> &S, RetryReason Why,
                 const std::string &Detail);

} // namespace vanillaferry
