#pragma once

#include "vanillaferry/process/units.hpp"

namespace vanillaferry {

struct LivenessOptions {
  /// A heartbeat is sent after this time without another frame.
  Millis m_HeartbeatInterval{1000};
  /// A link without a received frame for this long is closed and replaced.
  Millis m_SilenceLimit{3000};
};

/// Heartbeat state of one peer link.
struct Liveness {
  LivenessOptions m_Options;
  Millis m_LastSent;
  Millis m_LastReceived;
};

Liveness makeLiveness(LivenessOptions Options, Millis Now);
void noteSent(Liveness &Link, Millis Now);
void noteReceived(Liveness &Link, Millis Now);
bool heartbeatDue(const Liveness &Link, Millis Now);
bool linkSilent(const Liveness &Link, Millis Now);

/// Timer of work that must show progress, such as a request to a target.
struct ProgressTimer {
  Millis m_Limit{5000};
  Millis m_LastProgress;
};

void noteProgress(ProgressTimer &Timer, Millis Now);
bool progressOverdue(const ProgressTimer &Timer, Millis Now);

} // namespace vanillaferry
