#pragma once

namespace vanillaferry {

struct Metrics;
struct PeerCounters;

/// Copies the peer task's counters into a process's metrics.
void setPeerCounters(Metrics &M, const PeerCounters &Peers);

} // namespace vanillaferry
