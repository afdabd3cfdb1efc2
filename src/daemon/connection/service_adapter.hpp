#pragma once

#include "connection/target_client.hpp"
#include "vanillaferry/connection/message.hpp"

#include <string>

namespace vanillaferry {

/// A call for a plain service. The caller's path below /services/NAME is kept
/// with its query.
TargetRequest serviceRequest(const std::string &Url, const Forward &Order);

} // namespace vanillaferry
