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

/// One router's part of an account's limits.
struct AccountState {
  AccountSettings m_Settings;
  /// This router's part of the concurrency limit; 0 before the first grant.
  std::uint32_t m_Share = 0;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  /// Requests that the token bucket holds.
  double m_Bucket = 0;
  Millis m_BucketAt;
};

struct AccountTable {
  std::map<AccountId, AccountState> m_Accounts;
  /// Live routers, between which the rate of an account without a share is
  /// split.
  std::uint32_t m_Routers = 1;
};

/// Takes the accounts of a new document version; running counts are kept.
void setAccounts(AccountTable &Table, const std::vector<AccountSettings> &All,
                 std::uint32_t Routers, Millis Now);

/// Takes the shares of a grant. They replace the former ones; an account that
/// is not listed has none until the leader learns of its demand.
void applyShares(AccountTable &Table, const std::vector<AccountShare> &Shares);

/// Whether a request may start now: None, AccountDisabled, AccountRate or
/// AccountConcurrency (then it may wait in the queue). UnknownApiKey for an
/// unknown account.
RefusalReason checkAccount(AccountTable &Table, const AccountId &Account,
                           Millis Now);

/// Takes one request from the account's rate at arrival; false when spent.
bool takeRateToken(AccountTable &Table, const AccountId &Account, Millis Now);

/// True when the account may start a waiting request: below its share here.
/// The rate was taken at arrival.
bool mayStart(const AccountTable &Table, const AccountId &Account);

void startForAccount(AccountTable &Table, const AccountId &Account);
void endForAccount(AccountTable &Table, const AccountId &Account);

/// Running and waiting counts for a renewal.
std::vector<AccountDemand> accountDemand(const AccountTable &Table);

/// True when an account waits here for more than its share, so that a renewal
/// should report the demand before it is due.
bool demandUnmet(const AccountTable &Table);

} // namespace vanillaferry
