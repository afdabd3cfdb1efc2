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

/// What one node asks of a common limit.
struct ShareClaim {
  NodeId m_Node;
  std::uint32_t m_Demand = 0;
  std::uint32_t m_Weight = 1;
};

/// Weighted max-min division in whole units: nobody gets more than it asks, and
/// what one leaves goes to the others by weight. Remaining units go first to
/// nodes that have none, so that a small claim is not rounded away.
std::map<NodeId, std::uint32_t>
divideMaxMin(std::uint32_t Limit, const std::vector<ShareClaim> &Claims);

/// With at most this many accounts every node gets a share of each in advance;
/// with more, a node gets one in answer to the demand it reports.
constexpr std::size_t AccountsSharedInAdvance = 64;

/// Share of an account that a grant with this sequence and later ones gave.
struct GrantedShare {
  std::uint64_t m_Sequence = 0;
  std::uint32_t m_Limit = 0;
};

/// One node's part in an account.
struct ShareHolder {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  /// Share that the node reported, for a leader that did not give it.
  std::uint32_t m_Reported = 0;
  /// Shares that the node may still use, oldest first.
  std::deque<GrantedShare> m_GrantedShares;
  /// End of the node's lease, as the leader counts it.
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

/// Takes over the limits of document section "accounts"; a disabled account has
/// the limit 0.
void setAccountLimits(ShareTable &Table,
                      const std::map<AccountId, std::uint32_t> &Limits);

/// Takes a node's report: what it uses and which grant it acted on. WasEnded
/// says that its former lease is known to have ended.
void recordDemand(ShareTable &Table, const Renew &Request, bool WasEnded);

/// Shares for a grant that ends (for the leader) at Ends. The sum of all shares
/// that nodes may still use stays within the limit: what shrinks at one node is
/// given to others once that node has acknowledged it or its lease ended. While
/// FormerLeases is set, leases of a former leader may hold, and no node gets
/// more than it reports to have.
std::vector<AccountShare> allocateShares(ShareTable &Table,
                                         const Renew &Request, Millis Ends,
                                         bool FormerLeases, Millis Now);

/// Sum of what live nodes may use of an account.
std::uint64_t usableShares(const AccountLedger &Ledger, Millis Now);

} // namespace vanillaferry
