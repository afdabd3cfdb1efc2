#pragma once

#include "vanillaferry/process/units.hpp"

namespace vanillaferry {

struct LivenessOptions {
  /// A heartbeat is sent after this time without another frame.
  Millis m_HeartbeatInterval{1000};
  /// A link without a received frame for this long is closed and replaced.
  Millis m_SilenceLimit{3000};
  /// The two limits above for a quiet link that is not watched. With 430
  /// routers, one heartbeat per second on each link takes 13 KB per second.
  Millis m_QuietHeartbeat{30000};
  Millis m_QuietSilence{90000};
  /// On a watched quiet link, a heartbeat is requested (a probe) after this
  /// time without a received frame.
  Millis m_ProbeAfter{1500};
  /// A probe that a request waits for must be answered within this time.
  Millis m_ProbeLimit{2000};
  /// A quiet link counts as watched for this long after each watchLink().
  Millis m_WatchTime{2000};
};

/// Heartbeat state of one peer link. A quiet link (between two routers) sends
/// heartbeats rarely. Only while it is watched, because a request waits for the
/// peer, is a silent peer detected within the silence limit.
struct Liveness {
  LivenessOptions m_Options;
  Millis m_LastSent;
  Millis m_LastReceived;
  bool m_Quiet = false;
  Millis m_WatchedSince;
  Millis m_WatchedUntil;
  Millis m_ProbedAt;
};

Liveness makeLiveness(LivenessOptions Options, Millis Now);
void noteSent(Liveness &Link, Millis Now);
void noteReceived(Liveness &Link, Millis Now);
bool heartbeatDue(const Liveness &Link, Millis Now);
bool linkSilent(const Liveness &Link, Millis Now);

/// Starts or extends the watch of a link, because a request waits for the peer.
void watchLink(Liveness &Link, Millis Now);
/// True when the peer is to be asked for a heartbeat.
bool probeDue(const Liveness &Link, Millis Now);
void noteProbe(Liveness &Link, Millis Now);
/// True when a frame was received so recently that a new request may be sent
/// without a probe.
bool linkRecentlyActive(const Liveness &Link, Millis Now);

/// Inactivity timer of an operation, such as a request to a target.
struct ProgressTimer {
  Millis m_Limit{5000};
  Millis m_LastProgress;
};

void noteProgress(ProgressTimer &Timer, Millis Now);
bool progressOverdue(const ProgressTimer &Timer, Millis Now);

} // namespace vanillaferry
