#pragma once

#include "process/replay/trace.hpp"
#include "vanillaferry/process/lease_table.hpp"
#include "vanillaferry/process/state_machine.hpp"

namespace vanillaferry {

/// The keepers' leader: the state machine and the lease table of the core,
/// without the log between them.
struct ReplayLeader {
  StateMachine m_State;
  LeaseTable m_Table;
};

ReplayLeader makeLeader(const Trace &Recorded);

/// Adds a router before the trace begins.
void addMember(ReplayLeader &Leader, const NodeId &Node);

/// Answers a renewal; empty when the node gets no grant.
std::optional<Grant> answerRenewal(ReplayLeader &Leader, const Renew &Request,
                                   Millis Now);

/// Removes members whose lease has ended.
void endLeases(ReplayLeader &Leader, Millis Now);

/// Replaces the section of zones; returns the document's new version.
DocumentVersion editZones(ReplayLeader &Leader,
                          const std::vector<ZoneSettings> &Zones);

} // namespace vanillaferry
