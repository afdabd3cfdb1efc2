#include "vanillaferry/request/account_limit.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace vanillaferry {

namespace {

double localRate(const AccountTable &Table, const AccountState &Account) {
  // The rate follows the router's part of the concurrency limit, so that it
  // moves to the routers where the account's callers are.
  double Part = static_cast<double>(Account.m_Share) /
                std::max<std::uint32_t>(1, Account.m_Settings.m_MaxConcurrent);
  double MinPart = 1.0 / (2.0 * std::max<std::uint32_t>(1, Table.m_Routers));
  return Account.m_Settings.m_RequestsPerSecond *
         std::clamp(Part, MinPart, 1.0);
}

/// Bucket size: one second of the account's fleet-wide rate. A bucket sized by
/// this router's part would refuse ordinary bursts of small accounts.
double burstSize(const AccountState &Account) {
  return std::max(1.0, Account.m_Settings.m_RequestsPerSecond);
}

void fillBucket(const AccountTable &Table, AccountState &Account, Millis Now) {
  double Rate = localRate(Table, Account);
  double Elapsed =
      static_cast<double>((Now - Account.m_BucketFilledAt).m_Value) / 1000.0;
  Account.m_Bucket = std::min(burstSize(Account),
                              Account.m_Bucket + Rate * std::max(0.0, Elapsed));
  Account.m_BucketFilledAt = Now;
}

} // namespace

void setAccounts(AccountTable &Table, const std::vector<AccountSettings> &All,
                 std::uint32_t Routers, Millis Now) {
  Table.m_Routers = std::max<std::uint32_t>(1, Routers);
  std::set<AccountId> Kept;
  for (const AccountSettings &Settings : All) {
    Kept.insert(Settings.m_Id);
    auto It = Table.m_Accounts.find(Settings.m_Id);
    bool New = It == Table.m_Accounts.end();
    AccountState &State = Table.m_Accounts[Settings.m_Id];
    State.m_Settings = Settings;
    if (New) {
      State.m_BucketFilledAt = Now;
      State.m_Bucket = burstSize(State);
    }
  }
  for (auto It = Table.m_Accounts.begin(); It != Table.m_Accounts.end();) {
    if (Kept.count(It->first) != 0) {
      ++It;
      continue;
    }
    // A removed account is kept until its running requests have ended.
    It->second.m_Settings.m_Enabled = false;
    It = It->second.m_Running == 0 ? Table.m_Accounts.erase(It) : std::next(It);
  }
}

void applyShares(AccountTable &Table, const std::vector<AccountShare> &Shares) {
  for (std::pair<const AccountId, AccountState> &Pair : Table.m_Accounts)
    Pair.second.m_Share = 0;
  for (const AccountShare &Share : Shares) {
    auto It = Table.m_Accounts.find(Share.m_Account);
    if (It != Table.m_Accounts.end())
      It->second.m_Share = Share.m_Limit;
  }
}

RefusalReason checkAccount(AccountTable &Table, const AccountId &Account,
                           Millis Now) {
  auto It = Table.m_Accounts.find(Account);
  if (It == Table.m_Accounts.end())
    return RefusalReason::UnknownApiKey;
  AccountState &State = It->second;
  if (!State.m_Settings.m_Enabled)
    return RefusalReason::AccountDisabled;
  fillBucket(Table, State, Now);
  if (State.m_Bucket < 1)
    return RefusalReason::AccountRate;
  return State.m_Running < State.m_Share ? RefusalReason::None
                                         : RefusalReason::AccountConcurrency;
}

bool takeRateToken(AccountTable &Table, const AccountId &Account, Millis Now) {
  auto It = Table.m_Accounts.find(Account);
  if (It == Table.m_Accounts.end())
    return false;
  fillBucket(Table, It->second, Now);
  if (It->second.m_Bucket < 1)
    return false;
  It->second.m_Bucket -= 1;
  return true;
}

bool mayStart(const AccountTable &Table, const AccountId &Account) {
  auto It = Table.m_Accounts.find(Account);
  return It != Table.m_Accounts.end() && It->second.m_Settings.m_Enabled &&
         It->second.m_Running < It->second.m_Share;
}

void startForAccount(AccountTable &Table, const AccountId &Account) {
  auto It = Table.m_Accounts.find(Account);
  if (It != Table.m_Accounts.end())
    ++It->second.m_Running;
}

void endForAccount(AccountTable &Table, const AccountId &Account) {
  auto It = Table.m_Accounts.find(Account);
  if (It != Table.m_Accounts.end() && It->second.m_Running > 0)
    --It->second.m_Running;
}

std::vector<AccountDemand> accountDemand(const AccountTable &Table) {
  std::vector<AccountDemand> Demand;
  for (const std::pair<const AccountId, AccountState> &Pair : Table.m_Accounts)
    if (Pair.second.m_Running > 0 || Pair.second.m_Waiting > 0 ||
        Pair.second.m_Share > 0)
      Demand.push_back(AccountDemand{Pair.first, Pair.second.m_Running,
                                     Pair.second.m_Waiting,
                                     Pair.second.m_Share});
  return Demand;
}

bool demandUnmet(const AccountTable &Table) {
  return std::any_of(Table.m_Accounts.begin(), Table.m_Accounts.end(),
                     [](const std::pair<const AccountId, AccountState> &Pair) {
                       return Pair.second.m_Waiting > 0 &&
                              Pair.second.m_Running >= Pair.second.m_Share;
                     });
}

} // namespace vanillaferry
