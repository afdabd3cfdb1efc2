#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/reason.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace vanillaferry {

/// Limits of one client account over the whole fleet.
struct AccountSettings {
  AccountId m_Id;
  std::uint32_t m_MaxConcurrent = 1;
  double m_RequestsPerSecond = 1;
  std::uint32_t m_Weight = 1;
  bool m_Enabled = true;
};

/// One router's part of an account's limits and its use of them.
struct AccountState {
  AccountSettings m_Settings;
  /// This router's part of the concurrency limit; 0 before the first grant.
  std::uint32_t m_Share = 0;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  /// Requests that the token bucket allows at m_BucketFilledAt.
  double m_Bucket = 0;
  Millis m_BucketFilledAt;
};

struct AccountTable {
  std::map<AccountId, AccountState> m_Accounts;
  /// Live routers, between which the rate of an account without a share is
  /// split.
  std::uint32_t m_Routers = 1;
};

/// Replaces the accounts by those of a new document version; counts of running
/// requests are kept.
void setAccounts(AccountTable &Table, const std::vector<AccountSettings> &All,
                 std::uint32_t Routers, Millis Now);

/// Applies the shares of a lease grant. They replace the former ones; an
/// account that is not listed has none until the leader learns of its demand.
void applyShares(AccountTable &Table, const std::vector<AccountShare> &Shares);

/// Whether a request may start now: None, AccountDisabled, AccountRate or
/// AccountConcurrency (then it may wait in the queue). UnknownApiKey for an
/// unknown account.
RefusalReason checkAccount(AccountTable &Table, const AccountId &Account,
                           Millis Now);

/// Takes one request from the account's token bucket when the request arrives;
/// false when the bucket is empty.
bool takeRateToken(AccountTable &Table, const AccountId &Account, Millis Now);

/// True when the account may start a waiting request: it runs fewer requests
/// here than its share. The rate was checked when the request arrived.
bool mayStart(const AccountTable &Table, const AccountId &Account);

void startForAccount(AccountTable &Table, const AccountId &Account);
void endForAccount(AccountTable &Table, const AccountId &Account);

/// Running and waiting counts to report with a lease renewal.
std::vector<AccountDemand> accountDemand(const AccountTable &Table);

/// True when an account waits here for more than its share, so that a renewal
/// should report the demand before it is due.
bool demandUnmet(const AccountTable &Table);

} // namespace vanillaferry
