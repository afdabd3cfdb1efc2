#pragma once

#include "process/replay/trace.hpp"
#include "vanillaferry/process/ownership.hpp"

#include <map>

namespace vanillaferry {

/// The keepers' leader as the replay needs it: leases, totals, shares,
/// membership, with the rules of process/lease_table.hpp.
struct ReplayLease {
  Millis m_Ends;
  Epoch m_AckedEpoch;
  DocumentVersion m_AckedVersion;
  Millis m_ReportedAt;
  Renew m_Last;
};

struct ReplayLeader {
  Millis m_LeaseTime{3000};
  Millis m_ReportMaxAge{5000};
  Membership m_Members;
  DocumentVersion m_Version{1};
  std::map<NodeId, ReplayLease> m_Leases;
  const Trace *m_Trace = nullptr;
};

/// Answers a renewal and counts a new node in.
Grant answerRenewal(ReplayLeader &Leader, const Renew &Request, Millis Now);

/// Removes members whose lease has ended.
void endLeases(ReplayLeader &Leader, Millis Now);

/// True when every live lease has acknowledged this version.
bool inForce(const ReplayLeader &Leader, DocumentVersion Version, Millis Now);

/// Payload bytes of the two messages as CBOR, estimated from their fields.
double renewalBytes(const Renew &Request, const Grant &Answer);

} // namespace vanillaferry
