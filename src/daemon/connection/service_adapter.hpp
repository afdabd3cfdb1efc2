#pragma once

#include "connection/target_client.hpp"
#include "vanillaferry/connection/message.hpp"

#include <string>

namespace vanillaferry {

/// A call for a plain service. The caller's path below /services/NAME is kept
/// with its query. SendKey adds the idempotency key of a journaled call.
TargetRequest serviceRequest(const std::string &Url, const Forward &Order,
                             bool SendKey);

} // namespace vanillaferry
