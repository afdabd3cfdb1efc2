#include "process/replay/leader.hpp"

#include "vanillaferry/request/account_limit.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// A lease ends at the leader later than at the router by the drift bound.
constexpr Millis DriftBound{30};
/// Last reports of ended leases count as residual requests for this long.
constexpr Millis ResidualKept{15000};

void addTotals(const ReplayLeader &Leader, Grant &Answer, Millis Now) {
  std::map<PoolId, PoolTotal> Totals;
  for (const std::pair<const NodeId, ReplayLease> &Pair : Leader.m_Leases) {
    const ReplayLease &Lease = Pair.second;
    Millis Age = Now - Lease.m_ReportedAt;
    if (Age > Leader.m_ReportMaxAge)
      continue;
    for (const PoolLoad &Load : Lease.m_Last.m_Pools) {
      PoolTotal &Total = Totals[Load.m_Pool];
      Total.m_Pool = Load.m_Pool;
      Total.m_Running += Load.m_Running;
      Total.m_Age =
          std::max(Total.m_Age, Age, [](Millis A, Millis B) { return A < B; });
    }
  }
  for (const std::pair<const PoolId, PoolTotal> &Pair : Totals)
    Answer.m_Totals.push_back(Pair.second);
}

void addResidual(const ReplayLeader &Leader, const NodeId &Node, Grant &Answer,
                 Millis Now) {
  std::map<TargetId, std::uint32_t> Residual;
  for (const std::pair<const NodeId, ReplayLease> &Pair : Leader.m_Leases) {
    if (Pair.first == Node || Now - Pair.second.m_ReportedAt > ResidualKept)
      continue;
    for (const TargetLoad &Load : Pair.second.m_Last.m_Targets)
      if (Load.m_Running > 0 &&
          ownerOf(Leader.m_Members, Load.m_Target) == Node)
        Residual[Load.m_Target] += Load.m_Running;
  }
  for (const std::pair<const TargetId, std::uint32_t> &Pair : Residual)
    Answer.m_Residual.push_back(TargetLoad{Pair.first, Pair.second});
}

void addShares(const ReplayLeader &Leader, const NodeId &Node, Grant &Answer) {
  for (const TraceAccount &Account : Leader.m_Trace->m_Accounts) {
    std::vector<ShareDemand> Demands;
    for (const Member &One : Leader.m_Members.m_Members) {
      ShareDemand Demand{One.m_Node, 0};
      auto It = Leader.m_Leases.find(One.m_Node);
      if (It != Leader.m_Leases.end())
        for (const AccountDemand &Wanted : It->second.m_Last.m_Accounts)
          if (Wanted.m_Account.m_Value == Account.m_Id)
            Demand.m_Wanted = Wanted.m_Running + Wanted.m_Waiting;
      Demands.push_back(Demand);
    }
    std::map<NodeId, std::uint32_t> Parts =
        divideLimit(Account.m_MaxConcurrent, Demands);
    auto Own = Parts.find(Node);
    if (Own != Parts.end())
      Answer.m_Shares.push_back(
          AccountShare{AccountId(Account.m_Id), Own->second});
  }
}

Epoch leastAckedEpoch(const ReplayLeader &Leader, Millis Now) {
  Epoch Least = Leader.m_Members.m_Epoch;
  for (const std::pair<const NodeId, ReplayLease> &Pair : Leader.m_Leases)
    if (Pair.second.m_Ends > Now && Pair.second.m_AckedEpoch < Least)
      Least = Pair.second.m_AckedEpoch;
  return Least;
}

void admitMember(ReplayLeader &Leader, const Renew &Request) {
  std::vector<Member> &All = Leader.m_Members.m_Members;
  auto It = std::find_if(All.begin(), All.end(), [&Request](const Member &M) {
    return M.m_Node == Request.m_Node;
  });
  if (It == All.end()) {
    Member Added;
    Added.m_Node = Request.m_Node;
    Added.m_Leaving = Request.m_Leaving;
    All.push_back(Added);
    ++Leader.m_Members.m_Epoch.m_Value;
  } else if (It->m_Leaving != Request.m_Leaving) {
    It->m_Leaving = Request.m_Leaving;
    ++Leader.m_Members.m_Epoch.m_Value;
  }
}

} // namespace

Grant answerRenewal(ReplayLeader &Leader, const Renew &Request, Millis Now) {
  admitMember(Leader, Request);
  ReplayLease &Lease = Leader.m_Leases[Request.m_Node];
  Lease.m_Ends = Now + Leader.m_LeaseTime + DriftBound;
  Lease.m_AckedEpoch = Request.m_AckedEpoch;
  Lease.m_AckedVersion = Request.m_AckedVersion;
  Lease.m_ReportedAt = Now;
  Lease.m_Last = Request;
  Grant Answer;
  Answer.m_Sequence = Request.m_Sequence;
  Answer.m_Duration = Leader.m_LeaseTime;
  Answer.m_Epoch = Leader.m_Members.m_Epoch;
  Answer.m_SafeEpoch = leastAckedEpoch(Leader, Now);
  if (Request.m_AckedEpoch < Answer.m_Epoch)
    Answer.m_Members = Leader.m_Members.m_Members;
  Answer.m_Version = Leader.m_Version;
  addTotals(Leader, Answer, Now);
  addResidual(Leader, Request.m_Node, Answer, Now);
  addShares(Leader, Request.m_Node, Answer);
  return Answer;
}

void endLeases(ReplayLeader &Leader, Millis Now) {
  std::vector<Member> &All = Leader.m_Members.m_Members;
  auto Ended = [&Leader, Now](const Member &One) {
    auto It = Leader.m_Leases.find(One.m_Node);
    return It == Leader.m_Leases.end() || It->second.m_Ends <= Now;
  };
  auto Kept = std::remove_if(All.begin(), All.end(), Ended);
  if (Kept == All.end())
    return;
  All.erase(Kept, All.end());
  ++Leader.m_Members.m_Epoch.m_Value;
}

bool inForce(const ReplayLeader &Leader, DocumentVersion Version, Millis Now) {
  for (const std::pair<const NodeId, ReplayLease> &Pair : Leader.m_Leases)
    if (Pair.second.m_Ends > Now && Pair.second.m_AckedVersion < Version)
      return false;
  return true;
}

double renewalBytes(const Renew &Request, const Grant &Answer) {
  // Fixed fields with their names, then one short array for each element.
  double Bytes = 150 + 110;
  for (const TargetLoad &Load : Request.m_Targets)
    Bytes += 5.0 + static_cast<double>(Load.m_Target.m_Value.size());
  for (const AccountDemand &Demand : Request.m_Accounts)
    Bytes += 7.0 + static_cast<double>(Demand.m_Account.m_Value.size());
  for (const AccountShare &Share : Answer.m_Shares)
    Bytes += 5.0 + static_cast<double>(Share.m_Account.m_Value.size());
  Bytes += 30.0 *
           static_cast<double>(Request.m_Pools.size() + Answer.m_Totals.size());
  Bytes += 15.0 * static_cast<double>(Answer.m_Residual.size());
  Bytes += 80.0 * static_cast<double>(Answer.m_Members.size());
  return Bytes;
}

} // namespace vanillaferry
