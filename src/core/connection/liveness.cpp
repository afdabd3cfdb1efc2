#include "vanillaferry/connection/liveness.hpp"

namespace vanillaferry {

Liveness makeLiveness(LivenessOptions Options, Millis Now) {
  return Liveness{Options, Now, Now};
}

void noteSent(Liveness &Link, Millis Now) { Link.m_LastSent = Now; }

void noteReceived(Liveness &Link, Millis Now) { Link.m_LastReceived = Now; }

bool heartbeatDue(const Liveness &Link, Millis Now) {
  return Now - Link.m_LastSent >= Link.m_Options.m_HeartbeatInterval;
}

bool linkSilent(const Liveness &Link, Millis Now) {
  return Now - Link.m_LastReceived >= Link.m_Options.m_SilenceLimit;
}

void noteProgress(ProgressTimer &Timer, Millis Now) {
  Timer.m_LastProgress = Now;
}

bool progressOverdue(const ProgressTimer &Timer, Millis Now) {
  return Now - Timer.m_LastProgress >= Timer.m_Limit;
}

} // namespace vanillaferry
