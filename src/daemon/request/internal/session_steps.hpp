#pragma once

#include "request/session.hpp"
#include "vanillaferry/process/reason.hpp"

#include <memory>
#include <string>

namespace vanillaferry {

/// Sends the order to the owner of the present step.
void askOwner(const std::shared_ptr<Session> &S);

/// The owner asked last may take the request at any of its targets.
void askAnyTarget(const std::shared_ptr<Session> &S);

/// What to do with a request that no owner took at present.
void waitOrRefuse(const std::shared_ptr<Session> &S);

/// Looks for the stream's owner again after a pause.
void resumeLater(Session &S);

/// After a try that left nothing at its target.
void retryUnsent(const std::shared_ptr<Session> &S, RetryReason Why,
                 const std::string &Detail);

/// After a try that may have run: from the start, or where the stream broke.
void retryBroken(const std::shared_ptr<Session> &S, RetryReason Why,
                 const std::string &Detail);

} // namespace vanillaferry
