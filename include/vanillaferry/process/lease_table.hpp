#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/account_shares.hpp"
#include "vanillaferry/process/ownership.hpp"
#include "vanillaferry/process/state_machine.hpp"
#include "vanillaferry/process/vm_reports.hpp"

#include <map>
#include <optional>
#include <vector>

namespace vanillaferry {

struct LeaseOptions {
  Millis m_LeaseTime{3000};
  /// Two clocks drift apart by at most this share, in parts per thousand.
  std::int64_t m_DriftPerMille = 10;
  /// Load reports older than this count as no load.
  Millis m_ReportMaxAge{5000};
  /// How long requests of an expired router count at its former targets.
  Millis m_ResidualMaxAge{60000};
};

/// The leader's record of one router's lease; memory only.
struct NodeLease {
  NodeId m_Node;
  Incarnation m_Incarnation;
  /// Sequence of the newest load update; 0 before the first.
  std::uint64_t m_LoadSequence = 0;
  /// Sequence of the newest renewal; 0 until this leader receives one.
  std::uint64_t m_Sequence = 0;
  Millis m_ExpiresAt;
  Epoch m_AckedEpoch;
  DocumentVersion m_AckedVersion;
  bool m_Leaving = false;
  /// Receives only member ids; its dispatches do not depend on membership.
  bool m_IdsOnly = false;
  Millis m_ReportedAt;
  std::vector<PoolLoad> m_Pools;
  std::vector<TargetLoad> m_Targets;
  /// The part of m_Targets that other nodes own at m_OwnedElsewhereEpoch.
  std::vector<TargetLoad> m_OwnedElsewhere;
  Epoch m_OwnedElsewhereEpoch;
};

/// Owners of reported targets at one epoch, each computed only once.
struct OwnerCache {
  Membership m_Members;
  std::map<TargetId, std::optional<NodeId>> m_Owners;
};

/// Pool totals computed at m_At; with many leases they are reused briefly.
struct TotalsCache {
  std::vector<PoolTotal> m_Totals;
  std::optional<Millis> m_At;
};

/// All node leases at the leader. A new leader starts from the membership and
/// lets a full lease time pass before it treats a member as expired. Until then
/// nothing is reported as safe or in force, because leases of the former leader
/// may belong to nodes that are no longer members.
struct LeaseTable {
  LeaseOptions m_Options;
  Millis m_LedSince;
  std::map<NodeId, NodeLease> m_Leases;
  /// Leases of replaced or removed incarnations, until they no longer count.
  std::vector<NodeLease> m_Former;
  /// Epoch at which every lease in m_Leases was one of a member; 0 before.
  Epoch m_AllMembersAt;
  /// When each node that has no lease yet was proposed as a member.
  std::map<NodeId, Millis> m_Joining;
  ShareTable m_Shares;
  SectionVersion m_AccountsVersion;
  OwnerCache m_Owners;
  TotalsCache m_Totals;
  VmReports m_VmReports;
};

/// The leader's response to a Renew.
struct RenewDecision {
  /// Commands to propose first (AddMember); no grant before they are applied.
  std::vector<Command> m_Propose;
  std::optional<Grant> m_Grant;
};

/// Starts the table of a new leader from the replicated membership.
LeaseTable makeLeaseTable(LeaseOptions Options, const StateMachine &State,
                          Millis Now);

/// Handles a renewal. The caller must hold the quorum lease and must have
/// applied an entry of its own term, so that the grant carries every edit
/// accepted before. A replaced incarnation gets no grant.
RenewDecision renewLease(LeaseTable &Table, const StateMachine &State,
                         const Renew &Request, Millis Now);

/// Stores a load report sent between two renewals; empty when the node holds no
/// lease or has already sent a later report.
std::optional<LoadTotals> updateLoads(LeaseTable &Table,
                                      const LoadUpdate &Update, Millis Now);

/// Commands that remove the members whose lease has expired (the drift bound is
/// included), to be proposed to the log.
std::vector<Command> expiredLeases(const LeaseTable &Table,
                                   const StateMachine &State, Millis Now);

/// How many of these may be removed in one check of the leases. Each removal
/// is a log entry and a new epoch for all; a gateway that returns meanwhile
/// stays a member at no cost, and its targets need no other owner.
std::size_t maxRemovals(const LeaseTable &Table);

/// True when every lease has acknowledged this document version or expired.
bool inForceEverywhere(const LeaseTable &Table, const StateMachine &State,
                       DocumentVersion Version, Millis Now);

/// Lowest epoch acknowledged by all live leases.
Epoch safeEpoch(const LeaseTable &Table, const StateMachine &State, Millis Now);

} // namespace vanillaferry
