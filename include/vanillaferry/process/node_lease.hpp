#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/lease_table.hpp"

#include <map>
#include <optional>

namespace vanillaferry {

/// A router's side of its node lease.
struct RouterLease {
  LeaseOptions m_Options;
  Millis m_RenewInterval{1000};
  NodeId m_Node;
  Incarnation m_Incarnation;
  /// The lease holds before this time; zero when none was granted.
  Millis m_Ends;
  Epoch m_Epoch;
  Epoch m_SafeEpoch;
  DocumentVersion m_Version;
  std::uint64_t m_NextSequence = 1;
  /// Send times of renewals without an answer.
  std::map<std::uint64_t, Millis> m_Sent;
  Millis m_NextRenewal;
};

/// Notes a renewal that is sent now and returns its sequence number.
std::uint64_t renewalSent(RouterLease &Lease, Millis Now);

/// Takes a grant; returns false when its sequence is unknown or older than one
/// already taken, in which case nothing changes.
bool takeGrant(RouterLease &Lease, const Grant &Granted, Millis Now);

/// True while new work may be taken. Checked again directly before a dispatch.
bool leaseHolds(const RouterLease &Lease, Millis Now);

/// True when a renewal is due.
bool renewalDue(const RouterLease &Lease, Millis Now);

} // namespace vanillaferry
