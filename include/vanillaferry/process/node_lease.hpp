#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/lease_table.hpp"

#include <map>
#include <optional>

namespace vanillaferry {

/// A router's side of its node lease.
struct RouterLease {
  LeaseOptions m_Options;
  /// Short enough that at least two thirds of the lease time remain when the
  /// leader fails, for an election and for finding the new leader.
  Millis m_RenewInterval{500};
  NodeId m_Node;
  Incarnation m_Incarnation;
  /// The lease holds before this time; zero when none was granted.
  Millis m_ExpiresAt;
  Epoch m_Epoch;
  Epoch m_SafeEpoch;
  /// Epoch of the grant since which the lease and the node's membership have
  /// not been interrupted.
  Epoch m_HeldSince;
  DocumentVersion m_Version;
  std::uint64_t m_NextSequence = 1;
  /// Sequence of the newest accepted grant, for Renew::m_AckedGrant.
  std::uint64_t m_AcceptedSequence = 0;
  /// Send times of unanswered renewals, by sequence number.
  std::map<std::uint64_t, Millis> m_Sent;
  Millis m_NextRenewal;
};

/// Records that a renewal is sent now; returns its sequence number.
std::uint64_t beginRenewal(RouterLease &Lease, Millis Now);

/// Accepts a grant. Returns false and keeps the lease when the sequence is
/// unknown or not newer than the last accepted one, the epoch or version is
/// below the one held, or the renewal was sent under a lease that has expired
/// since. The caller applies members, sections and shares before its
/// dispatches.
bool acceptGrant(RouterLease &Lease, const Grant &Granted, Millis Now);

/// True while new work may be taken. Checked again directly before a dispatch.
bool leaseHolds(const RouterLease &Lease, Millis Now);

/// The check directly before a dispatch: the lease holds, the node owns the
/// target under the members of the newest grant, and every former owner has
/// stopped. A node whose lease or membership was interrupted counts as a new
/// owner of all its targets (docs/state.md).
bool mayDispatchNow(const RouterLease &Lease, const OwnedTargets &Owned,
                    const TargetId &Target, Millis Now);

/// Time between two renewals of one gateway. It grows with the number of
/// gateways, which bounds the CPU time that the leader spends on renewals.
Millis gatewayRenewInterval(std::size_t Gateways);

/// True when a gateway applies a keeper's update to this version. The keeper
/// may be behind the leader: before the first grant, and after one that stated
/// a newer version, its state could bring back a withdrawn key or a zone that
/// is out of service.
bool acceptsUpdate(DocumentVersion Stated, DocumentVersion Update);

/// True when a gateway acknowledges a change by a renewal at once. With more
/// gateways, the leader could not handle all renewals before the next change.
bool renewsAfterChange(std::size_t Gateways);

/// True when a renewal is due.
bool renewalDue(const RouterLease &Lease, Millis Now);

} // namespace vanillaferry
