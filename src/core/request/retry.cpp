#include "vanillaferry/request/retry.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

constexpr double FloorPeriodMillis = 10000;
/// Largest budget that successes can fill, in retries; a larger one would be
/// spent at once when a zone fails.
constexpr double MaxSavedRetries = 20;

bool needsNoBudget(RetryReason Reason) {
  return Reason == RetryReason::Declined || Reason == RetryReason::OwnerMoved;
}

bool takeFromBudget(RetryBudget &Budget, const RetryOptions &Options,
                    Millis Now) {
  if (!Budget.m_Started) {
    Budget.m_Started = true;
    Budget.m_Tokens += Options.m_Floor;
    Budget.m_FilledAt = Now;
  }
  double Elapsed = static_cast<double>((Now - Budget.m_FilledAt).m_Value);
  double Filled = Options.m_Floor * std::max(0.0, Elapsed) / FloorPeriodMillis;
  // Time refills the budget only up to the floor; successes may fill it
  // further.
  if (Budget.m_Tokens < Options.m_Floor)
    Budget.m_Tokens =
        std::min<double>(Options.m_Floor, Budget.m_Tokens + Filled);
  Budget.m_FilledAt = Now;
  if (Budget.m_Tokens < 1)
    return false;
  Budget.m_Tokens -= 1;
  return true;
}

} // namespace

void noteSuccess(RetryTable &Table, const AccountId &Account,
                 const PoolId &Pool) {
  RetryBudget &Budget = Table.m_Budgets[{Account, Pool}];
  Budget.m_Tokens =
      std::min(MaxSavedRetries, Budget.m_Tokens + Table.m_Options.m_Share);
}

RetryVerdict decideRetry(RetryTable &Table, const FailedAttempt &Failed,
                         Millis Now) {
  // The journal grants a call only once, so there is only one attempt.
  if (Failed.m_Journaled)
    return RetryVerdict::Forbidden;
  if (!Failed.m_NothingSent && !Failed.m_Idempotent)
    return RetryVerdict::Forbidden;
  if (Failed.m_TimeLeft.m_Value <= 0)
    return RetryVerdict::DeadlinePassed;
  if (needsNoBudget(Failed.m_Reason) && Failed.m_NothingSent)
    return RetryVerdict::Retry;
  bool OwnerLost = Failed.m_Reason == RetryReason::PeerLinkLost &&
                   Failed.m_Attempt.m_Value <= 1;
  if (Failed.m_FirstContinuation || OwnerLost)
    return RetryVerdict::Retry;
  if (Failed.m_Attempt.m_Value >= Table.m_Options.m_MaxAttempts)
    return RetryVerdict::BudgetSpent;
  RetryBudget &Budget = Table.m_Budgets[{Failed.m_Account, Failed.m_Pool}];
  return takeFromBudget(Budget, Table.m_Options, Now)
             ? RetryVerdict::Retry
             : RetryVerdict::BudgetSpent;
}

} // namespace vanillaferry
