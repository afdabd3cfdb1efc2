#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/state_machine.hpp"

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
};

/// The leader's record of one router's lease; memory only.
struct NodeLease {
  Incarnation m_Incarnation;
  Millis m_Ends;
  Epoch m_AckedEpoch;
  DocumentVersion m_AckedVersion;
  bool m_Leaving = false;
  Millis m_ReportedAt;
  std::vector<PoolLoad> m_Pools;
  std::vector<TargetLoad> m_Targets;
  std::vector<AccountDemand> m_Accounts;
};

/// All node leases at the leader. A new leader starts an empty table and gives
/// every member a full lease time before it counts it as ended.
struct LeaseTable {
  LeaseOptions m_Options;
  Millis m_LedSince;
  std::map<NodeId, NodeLease> m_Leases;
};

/// What the leader does with a Renew.
struct RenewDecision {
  /// Commands to propose first (AddMember); no grant before they are applied.
  std::vector<Command> m_Propose;
  std::optional<Grant> m_Grant;
};

/// Starts the table of a new leader from the replicated membership.
LeaseTable makeLeaseTable(LeaseOptions Options, const StateMachine &State,
                          Millis Now);

/// Handles a renewal. The caller must hold the quorum lease. A renewal of an
/// older incarnation than the member's gets no grant.
RenewDecision renewLease(LeaseTable &Table, const StateMachine &State,
                         const Renew &Request, Millis Now);

/// Members whose lease has ended (with the drift bound), to be removed through
/// the log.
std::vector<Command> endedLeases(const LeaseTable &Table,
                                 const StateMachine &State, Millis Now);

/// True when every live lease has acknowledged this document version or ended.
bool inForceEverywhere(const LeaseTable &Table, const StateMachine &State,
                       DocumentVersion Version, Millis Now);

/// Lowest epoch acknowledged by all live leases.
Epoch safeEpoch(const LeaseTable &Table, const StateMachine &State, Millis Now);

} // namespace vanillaferry
