#pragma once

#include "vanillaferry/process/lease_table.hpp"

namespace vanillaferry {

/// Stores the load reported by a renewal.
void storeReport(LeaseTable &Table, NodeLease &Lease, const StateMachine &State,
                 const Renew &Request, Millis Now);

/// Lower bounds of the pools' running requests.
std::vector<PoolTotal> poolTotals(LeaseTable &Table, Millis Now);

/// Requests of other owners, or of an earlier incarnation, at this node's
/// targets.
std::vector<TargetLoad> residualLoads(LeaseTable &Table,
                                      const StateMachine &State,
                                      const NodeId &Node, Incarnation Which,
                                      Millis Now);

/// Sets the account limits from the accounts section when it has changed.
void refreshAccountLimits(LeaseTable &Table, const StateMachine &State);

} // namespace vanillaferry
