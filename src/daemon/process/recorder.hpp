#pragma once

#include "request/session.hpp"
#include "vanillaferry/process/result.hpp"

namespace vanillaferry {

struct Router;

/// Opens the trace file of the settings; an empty path records nothing.
Status openRecord(Router &R);

/// Writes an ended chat request to the trace (docs/traces.md): times, token
/// counts and numbers in place of chats and accounts; neither bodies nor keys.
void recordRequest(Router &R, const Session &S);

/// Writes the trace's last line, which describes the fleet and the duration,
/// and closes the file. A trace without this line cannot be replayed.
void closeRecord(Router &R);

} // namespace vanillaferry
