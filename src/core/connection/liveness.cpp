#include "vanillaferry/connection/liveness.hpp"

namespace vanillaferry {

namespace {

bool isWatched(const Liveness &Link, Millis Now) {
  return Now < Link.m_WatchedUntil;
}

} // namespace

Liveness makeLiveness(LivenessOptions Options, Millis Now) {
  Liveness Link;
  Link.m_Options = Options;
  Link.m_LastSent = Now;
  Link.m_LastReceived = Now;
  return Link;
}

void noteSent(Liveness &Link, Millis Now) { Link.m_LastSent = Now; }

void noteReceived(Liveness &Link, Millis Now) { Link.m_LastReceived = Now; }

bool heartbeatDue(const Liveness &Link, Millis Now) {
  return Now - Link.m_LastSent >= (Link.m_Quiet
                                       ? Link.m_Options.m_QuietHeartbeat
                                       : Link.m_Options.m_HeartbeatInterval);
}

bool linkSilent(const Liveness &Link, Millis Now) {
  Millis Silence = Now - Link.m_LastReceived;
  if (!Link.m_Quiet)
    return Silence >= Link.m_Options.m_SilenceLimit;
  // Silence before the watch began is normal on a quiet link and does not
  // count.
  return Silence >= Link.m_Options.m_QuietSilence ||
         (isWatched(Link, Now) && Silence >= Link.m_Options.m_SilenceLimit &&
          Now - Link.m_WatchedSince >= Link.m_Options.m_SilenceLimit);
}

void watchLink(Liveness &Link, Millis Now) {
  if (!isWatched(Link, Now))
    Link.m_WatchedSince = Now;
  Link.m_WatchedUntil = Now + Link.m_Options.m_WatchTime;
}

bool probeDue(const Liveness &Link, Millis Now) {
  return Link.m_Quiet && isWatched(Link, Now) &&
         Now - Link.m_LastReceived >= Link.m_Options.m_ProbeAfter &&
         Now - Link.m_ProbedAt >= Link.m_Options.m_ProbeAfter;
}

void noteProbe(Liveness &Link, Millis Now) { Link.m_ProbedAt = Now; }

bool linkRecentlyActive(const Liveness &Link, Millis Now) {
  return !Link.m_Quiet ||
         Now - Link.m_LastReceived < Link.m_Options.m_SilenceLimit;
}

void noteProgress(ProgressTimer &Timer, Millis Now) {
  Timer.m_LastProgress = Now;
}

bool progressOverdue(const ProgressTimer &Timer, Millis Now) {
  return Now - Timer.m_LastProgress >= Timer.m_Limit;
}

} // namespace vanillaferry
