#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace vanillaferry {

/// One node's demand on a shared limit.
struct ShareClaim {
  NodeId m_Node;
  std::uint32_t m_Demand = 0;
  std::uint32_t m_Weight = 1;
};

/// Weighted max-min fair division in whole units: no node gets more than its
/// demand, and what it leaves goes to the others by weight. Remaining units go
/// first to nodes that have none, so that a small claim is not rounded to zero.
std::map<NodeId, std::uint32_t>
divideMaxMin(std::uint32_t Limit, const std::vector<ShareClaim> &Claims);

/// With at most this many accounts every node gets a share of each in advance;
/// with more, a node gets one in answer to the demand it reports.
constexpr std::size_t AccountsSharedInAdvance = 64;

/// Share of an account in the grant with this sequence and in later ones.
struct GrantedShare {
  std::uint64_t m_Sequence = 0;
  std::uint32_t m_Limit = 0;
};

/// One node's share of an account's limit.
struct ShareHolder {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  /// Share that the node reported, for a new leader that did not grant it.
  std::uint32_t m_Reported = 0;
  /// Shares that the node may still use, oldest first.
  std::deque<GrantedShare> m_GrantedShares;
  /// End of the node's lease by the leader's clock.
  Millis m_ExpiresAt;
};

using ShareHolderKey = std::pair<NodeId, Incarnation>;

struct AccountLedger {
  std::uint32_t m_Limit = 0;
  std::map<ShareHolderKey, ShareHolder> m_Holders;
};

/// The leader's record of who may use how much of each account's limit.
struct ShareTable {
  std::map<AccountId, AccountLedger> m_Accounts;
  /// Accounts in which a node is a holder.
  std::map<ShareHolderKey, std::set<AccountId>> m_Held;
};

/// Sets the limits from document section "accounts"; a disabled account has
/// the limit 0.
void setAccountLimits(ShareTable &Table,
                      const std::map<AccountId, std::uint32_t> &Limits);

/// Records a node's report: its demand and the last grant that it accepted.
/// WasEnded states that its previous lease is known to have expired.
void recordDemand(ShareTable &Table, const Renew &Request, bool WasEnded);

/// Shares for a grant that expires at Ends by the leader's clock. The sum of
/// all shares that nodes may still use stays within the limit: what one node
/// loses is granted to others once that node has acknowledged it or its lease
/// expired. While FormerLeases is set, leases of a former leader may still be
/// valid, and no node gets more than the share that it reports.
std::vector<AccountShare> allocateShares(ShareTable &Table,
                                         const Renew &Request, Millis Ends,
                                         bool FormerLeases, Millis Now);

/// Sum of what live nodes may use of an account.
std::uint64_t usableShares(const AccountLedger &Ledger, Millis Now);

} // namespace vanillaferry
