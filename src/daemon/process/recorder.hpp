#pragma once

#include "request/session.hpp"
#include "vanillaferry/process/result.hpp"

#include <string>

namespace vanillaferry {

struct Router;

/// Opens the trace file of the settings; an empty path records nothing.
Status openRecord(Router &R);

/// Writes one request of the trace, without bodies and keys (docs/traces.md).
void recordPlacement(Router &R, const Session &S, const std::string &Outcome);

} // namespace vanillaferry
