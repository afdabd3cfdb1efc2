#pragma once

#include "vanillaferry/process/units.hpp"

namespace vanillaferry {

/// What a router knows when a request arrives that it may not send yet, because
/// it holds no lease or no confirmed manifest.
struct ControlOutage {
  /// Time since the router could last send requests, or since its start.
  Millis m_Duration;
  /// Time that the caller still waits.
  Millis m_TimeLeft;
};

/// How long the request waits for the router's next grant before it is refused.
/// After a restart or a change of the leader a grant is a second away at most,
/// and every other router is in the same state, so a refusal would send the
/// caller from one of them to the next. Zero once the outage has lasted longer:
/// the router is then cut off and another one may serve the caller.
Millis controlWait(const ControlOutage &Outage);

/// A request that no target has room for at the moment.
struct RoomShortage {
  /// Time since the request found no room first.
  Millis m_Waited;
  /// Time that the caller still waits.
  Millis m_TimeLeft;
};

/// How much longer a request is held that finds no room; zero when it is
/// refused instead. Targets of plain services have room again after some
/// milliseconds, so a short wait serves a burst that a refusal would send away
/// for longer.
Millis roomHold(const RoomShortage &Shortage);

/// Time after which the request looks for room again; zero when it is refused
/// instead.
Millis roomWait(const RoomShortage &Shortage);

} // namespace vanillaferry
