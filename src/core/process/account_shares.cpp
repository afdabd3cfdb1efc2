#include "vanillaferry/process/account_shares.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

std::uint32_t usableBy(const ShareHolder &Holder) {
  std::uint32_t Most = Holder.m_Running;
  for (const GrantedShare &Given : Holder.m_GrantedShares)
    Most = std::max(Most, Given.m_Limit);
  return Most;
}

/// Distributes the remaining whole units one by one among unmet claims: first
/// to nodes without any, then by descending weight.
void distributeRemainder(std::uint64_t Remaining,
                         const std::vector<ShareClaim> &Claims,
                         std::map<NodeId, std::uint32_t> &Shares) {
  std::vector<const ShareClaim *> Order;
  for (const ShareClaim &Claim : Claims)
    if (Shares[Claim.m_Node] < Claim.m_Demand)
      Order.push_back(&Claim);
  std::sort(Order.begin(), Order.end(),
            [&](const ShareClaim *A, const ShareClaim *B) {
              bool NoneA = Shares[A->m_Node] == 0;
              bool NoneB = Shares[B->m_Node] == 0;
              if (NoneA != NoneB)
                return NoneA;
              if (A->m_Weight != B->m_Weight)
                return A->m_Weight > B->m_Weight;
              return A->m_Node < B->m_Node;
            });
  for (const ShareClaim *Claim : Order) {
    if (Remaining == 0)
      return;
    ++Shares[Claim->m_Node];
    --Remaining;
  }
}

/// Share that a live node should have: its part of the limit by demand, and an
/// equal part of what no node demands, so that growth needs no round trip.
std::uint32_t targetShare(const AccountLedger &Ledger,
                          const ShareHolderKey &Self, Millis Now) {
  std::vector<ShareClaim> Claims;
  for (const std::pair<const ShareHolderKey, ShareHolder> &Row :
       Ledger.m_Holders) {
    if (Row.second.m_ExpiresAt <= Now)
      continue;
    std::uint64_t Demand =
        std::uint64_t(Row.second.m_Running) + Row.second.m_Waiting;
    std::uint32_t Capped =
        static_cast<std::uint32_t>(std::min<std::uint64_t>(Demand, 1U << 30));
    // A replaced incarnation keeps what it has and gets nothing more.
    if (Row.first.first == Self.first && Row.first.second != Self.second)
      continue;
    Claims.push_back({Row.first.first, Capped, std::max(Capped, 1U)});
  }
  std::map<NodeId, std::uint32_t> Shares = divideMaxMin(Ledger.m_Limit, Claims);
  std::uint64_t Given = 0;
  for (const std::pair<const NodeId, std::uint32_t> &Row : Shares)
    Given += Row.second;
  std::uint64_t Spare = Ledger.m_Limit - Given;
  std::uint64_t Nodes = std::max<std::size_t>(Shares.size(), 1);
  return Shares[Self.first] + static_cast<std::uint32_t>(Spare / Nodes);
}

/// Drops holders whose lease has ended; their shares are void.
void pruneHolders(ShareTable &Table, const AccountId &Account,
                  AccountLedger &Ledger, Millis Now) {
  std::map<ShareHolderKey, ShareHolder>::iterator Row =
      Ledger.m_Holders.begin();
  while (Row != Ledger.m_Holders.end()) {
    if (Now < Row->second.m_ExpiresAt) {
      ++Row;
      continue;
    }
    std::set<AccountId> &Held = Table.m_Held[Row->first];
    Held.erase(Account);
    if (Held.empty())
      Table.m_Held.erase(Row->first);
    Row = Ledger.m_Holders.erase(Row);
  }
}

std::uint32_t shareFor(AccountLedger &Ledger, const ShareHolderKey &Self,
                       bool FormerLeases, Millis Now) {
  const ShareHolder &Own = Ledger.m_Holders[Self];
  // The former leader kept the sum of reported shares within the limit.
  if (FormerLeases)
    return std::min(Ledger.m_Limit, Own.m_Reported);
  std::uint64_t Others = 0;
  for (const std::pair<const ShareHolderKey, ShareHolder> &Row :
       Ledger.m_Holders)
    if (Row.first != Self && Row.second.m_ExpiresAt > Now)
      Others += usableBy(Row.second);
  if (Others >= Ledger.m_Limit)
    return 0;
  return std::min<std::uint32_t>(
      targetShare(Ledger, Self, Now),
      static_cast<std::uint32_t>(Ledger.m_Limit - Others));
}

} // namespace

std::map<NodeId, std::uint32_t>
divideMaxMin(std::uint32_t Limit, const std::vector<ShareClaim> &Claims) {
  std::map<NodeId, std::uint32_t> Shares;
  std::vector<const ShareClaim *> Open;
  for (const ShareClaim &Claim : Claims) {
    Shares[Claim.m_Node] = 0;
    if (Claim.m_Demand > 0 && Claim.m_Weight > 0)
      Open.push_back(&Claim);
  }
  std::uint64_t Left = Limit;
  while (!Open.empty()) {
    std::uint64_t Weights = 0;
    for (const ShareClaim *Claim : Open)
      Weights += Claim->m_Weight;
    // Claims within their part are met in full; the rest is divided again.
    std::vector<const ShareClaim *> Unmet;
    std::uint64_t Met = 0;
    for (const ShareClaim *Claim : Open) {
      if (std::uint64_t(Claim->m_Demand) * Weights <= Left * Claim->m_Weight) {
        Shares[Claim->m_Node] = Claim->m_Demand;
        Met += Claim->m_Demand;
      } else {
        Unmet.push_back(Claim);
      }
    }
    if (Unmet.size() == Open.size()) {
      std::uint64_t Given = 0;
      for (const ShareClaim *Claim : Open) {
        Shares[Claim->m_Node] =
            static_cast<std::uint32_t>(Left * Claim->m_Weight / Weights);
        Given += Shares[Claim->m_Node];
      }
      distributeRemainder(Left - Given, Claims, Shares);
      return Shares;
    }
    Left -= Met;
    Open = std::move(Unmet);
  }
  return Shares;
}

void setAccountLimits(ShareTable &Table,
                      const std::map<AccountId, std::uint32_t> &Limits) {
  for (std::pair<const AccountId, AccountLedger> &Row : Table.m_Accounts)
    if (Limits.count(Row.first) == 0)
      Row.second.m_Limit = 0;
  for (const std::pair<const AccountId, std::uint32_t> &Row : Limits)
    Table.m_Accounts[Row.first].m_Limit = Row.second;
}

void recordDemand(ShareTable &Table, const Renew &Request, bool WasEnded) {
  ShareHolderKey Self(Request.m_Node, Request.m_Incarnation);
  std::set<AccountId> &Held = Table.m_Held[Self];
  for (const AccountId &Account : Held) {
    ShareHolder &Holder = Table.m_Accounts[Account].m_Holders[Self];
    if (WasEnded)
      Holder.m_GrantedShares.clear();
    // The newest share up to the acknowledged grant replaced the earlier ones.
    while (Holder.m_GrantedShares.size() > 1 &&
           Holder.m_GrantedShares[1].m_Sequence <= Request.m_AckedGrant)
      Holder.m_GrantedShares.pop_front();
    Holder.m_Running = 0;
    Holder.m_Waiting = 0;
    Holder.m_Reported = 0;
  }
  for (const AccountDemand &Demand : Request.m_Accounts) {
    std::map<AccountId, AccountLedger>::iterator Found =
        Table.m_Accounts.find(Demand.m_Account);
    if (Found == Table.m_Accounts.end())
      continue;
    ShareHolder &Holder = Found->second.m_Holders[Self];
    Holder.m_Running = Demand.m_Running;
    Holder.m_Waiting = Demand.m_Waiting;
    Holder.m_Reported = Demand.m_Share;
    Held.insert(Demand.m_Account);
  }
}

std::vector<AccountShare> allocateShares(ShareTable &Table,
                                         const Renew &Request, Millis Ends,
                                         bool FormerLeases, Millis Now) {
  ShareHolderKey Self(Request.m_Node, Request.m_Incarnation);
  bool InAdvance = Table.m_Accounts.size() <= AccountsSharedInAdvance;
  if (InAdvance)
    for (const std::pair<const AccountId, AccountLedger> &Row :
         Table.m_Accounts)
      Table.m_Held[Self].insert(Row.first);
  std::vector<AccountShare> Shares;
  std::set<AccountId> Held = Table.m_Held[Self];
  for (const AccountId &Account : Held) {
    AccountLedger &Ledger = Table.m_Accounts[Account];
    ShareHolder &Own = Ledger.m_Holders[Self];
    Own.m_ExpiresAt = std::max(Own.m_ExpiresAt, Ends);
    pruneHolders(Table, Account, Ledger, Now);
    bool Idle = !InAdvance && Own.m_Running + Own.m_Waiting == 0;
    std::uint32_t Share = Idle ? 0 : shareFor(Ledger, Self, FormerLeases, Now);
    if (Own.m_GrantedShares.empty() ||
        Own.m_GrantedShares.back().m_Limit != Share)
      Own.m_GrantedShares.push_back({Request.m_Sequence, Share});
    Shares.push_back({Account, Share});
    if (Share == 0 && Idle && usableBy(Own) == 0) {
      Ledger.m_Holders.erase(Self);
      Table.m_Held[Self].erase(Account);
    }
  }
  if (Table.m_Held[Self].empty())
    Table.m_Held.erase(Self);
  return Shares;
}

std::uint64_t usableShares(const AccountLedger &Ledger, Millis Now) {
  std::uint64_t Sum = 0;
  for (const std::pair<const ShareHolderKey, ShareHolder> &Row :
       Ledger.m_Holders)
    if (Row.second.m_ExpiresAt > Now)
      Sum += usableBy(Row.second);
  return Sum;
}

} // namespace vanillaferry
