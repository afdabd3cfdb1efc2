#include "process/lease_reports.hpp"

#include "vanillaferry/version/section.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// With more leases than this, pool totals are reused for TotalsRefresh,
/// because adding up all reports for each grant would grow with the square of
/// the fleet.
constexpr std::size_t ExactTotalsLeases = 32;
constexpr Millis TotalsRefresh{50};

void refreshOwners(OwnerCache &Cache, const StateMachine &State) {
  if (Cache.m_Members.m_Epoch == State.m_Epoch &&
      !Cache.m_Members.m_Members.empty())
    return;
  Cache.m_Members.m_Epoch = State.m_Epoch;
  Cache.m_Members.m_Members.clear();
  Cache.m_Owners.clear();
  for (const std::pair<const NodeId, Member> &Row : State.m_Members)
    Cache.m_Members.m_Members.push_back(Row.second);
}

const std::optional<NodeId> &cachedOwner(OwnerCache &Cache,
                                         const TargetId &Target) {
  std::map<TargetId, std::optional<NodeId>>::iterator Found =
      Cache.m_Owners.find(Target);
  if (Found == Cache.m_Owners.end())
    Found =
        Cache.m_Owners.emplace(Target, ownerOf(Cache.m_Members, Target)).first;
  return Found->second;
}

/// Recomputes m_OwnedElsewhere for the current epoch. For a replaced or removed
/// incarnation all its targets count, also those that the node owns again.
void refreshOwnedElsewhere(LeaseTable &Table, NodeLease &Lease,
                           const StateMachine &State) {
  if (Lease.m_OwnedElsewhereEpoch == State.m_Epoch && State.m_Epoch != Epoch(0))
    return;
  Lease.m_OwnedElsewhere.clear();
  Lease.m_OwnedElsewhereEpoch = State.m_Epoch;
  // Gateways own no targets.
  if (Lease.m_Targets.empty())
    return;
  refreshOwners(Table.m_Owners, State);
  std::map<NodeId, Member>::const_iterator Current =
      State.m_Members.find(Lease.m_Node);
  bool Present = Current != State.m_Members.end() &&
                 Current->second.m_Incarnation == Lease.m_Incarnation;
  for (const TargetLoad &Load : Lease.m_Targets) {
    if (Load.m_Running == 0)
      continue;
    const std::optional<NodeId> &Owner =
        cachedOwner(Table.m_Owners, Load.m_Target);
    if (Owner && (!Present || *Owner != Lease.m_Node))
      Lease.m_OwnedElsewhere.push_back(Load);
  }
}

void addResidual(LeaseTable &Table, NodeLease &Lease, const StateMachine &State,
                 const NodeId &Node, Millis Now,
                 std::map<TargetId, std::uint32_t> &Sums) {
  bool Live = Now < Lease.m_ExpiresAt;
  if (!Live && Lease.m_ReportedAt + Table.m_Options.m_ResidualMaxAge < Now)
    return;
  refreshOwnedElsewhere(Table, Lease, State);
  for (const TargetLoad &Load : Lease.m_OwnedElsewhere) {
    const std::optional<NodeId> &Owner =
        cachedOwner(Table.m_Owners, Load.m_Target);
    if (Owner && *Owner == Node)
      Sums[Load.m_Target] += Load.m_Running;
  }
}

std::vector<PoolTotal> addTotals(const LeaseTable &Table, Millis Now) {
  std::map<PoolId, PoolTotal> Sums;
  for (const std::pair<const NodeId, NodeLease> &Row : Table.m_Leases) {
    const NodeLease &Lease = Row.second;
    Millis Age = Now - Lease.m_ReportedAt;
    if (Lease.m_ExpiresAt <= Now || Table.m_Options.m_ReportMaxAge < Age)
      continue;
    for (const PoolLoad &Load : Lease.m_Pools) {
      PoolTotal &Total = Sums[Load.m_Pool];
      Total.m_Pool = Load.m_Pool;
      Total.m_Running += Load.m_Running;
      Total.m_Age = std::max(Total.m_Age, Age);
    }
  }
  std::vector<PoolTotal> Totals;
  for (const std::pair<const PoolId, PoolTotal> &Row : Sums)
    Totals.push_back(Row.second);
  return Totals;
}

} // namespace

void storeReport(LeaseTable &Table, NodeLease &Lease, const StateMachine &State,
                 const Renew &Request, Millis Now) {
  Lease.m_ReportedAt = Now;
  Lease.m_Pools = Request.m_Pools;
  Lease.m_Targets = Request.m_Targets;
  Lease.m_OwnedElsewhereEpoch = Epoch(0);
  refreshOwnedElsewhere(Table, Lease, State);
}

std::vector<PoolTotal> poolTotals(LeaseTable &Table, Millis Now) {
  TotalsCache &Cache = Table.m_Totals;
  bool Usable = Cache.m_At && Table.m_Leases.size() > ExactTotalsLeases &&
                Now < *Cache.m_At + TotalsRefresh;
  if (!Usable) {
    Cache.m_Totals = addTotals(Table, Now);
    Cache.m_At = Now;
  }
  std::vector<PoolTotal> Totals = Cache.m_Totals;
  for (PoolTotal &Total : Totals)
    Total.m_Age = Total.m_Age + (Now - *Cache.m_At);
  return Totals;
}

std::vector<TargetLoad> residualLoads(LeaseTable &Table,
                                      const StateMachine &State,
                                      const NodeId &Node, Incarnation Which,
                                      Millis Now) {
  std::map<TargetId, std::uint32_t> Sums;
  for (std::pair<const NodeId, NodeLease> &Row : Table.m_Leases)
    if (Row.first != Node || Row.second.m_Incarnation != Which)
      addResidual(Table, Row.second, State, Node, Now, Sums);
  for (NodeLease &Lease : Table.m_Former)
    addResidual(Table, Lease, State, Node, Now, Sums);
  std::vector<TargetLoad> Residual;
  for (const std::pair<const TargetId, std::uint32_t> &Row : Sums)
    Residual.push_back({Row.first, Row.second});
  return Residual;
}

void refreshAccountLimits(LeaseTable &Table, const StateMachine &State) {
  std::map<SectionName, Section>::const_iterator Found =
      State.m_Document.m_Sections.find(SectionName("accounts"));
  if (Found == State.m_Document.m_Sections.end() ||
      Found->second.m_Version == Table.m_AccountsVersion)
    return;
  Table.m_AccountsVersion = Found->second.m_Version;
  DocumentSettings Settings;
  if (!readSection(Found->first, Found->second.m_Json, Settings)
           .m_Errors.empty())
    return;
  std::map<AccountId, std::uint32_t> Limits;
  for (const AccountEntry &Entry : Settings.m_Accounts)
    Limits[Entry.m_Settings.m_Id] =
        Entry.m_Settings.m_Enabled ? Entry.m_Settings.m_MaxConcurrent : 0;
  setAccountLimits(Table.m_Shares, Limits);
}

} // namespace vanillaferry
