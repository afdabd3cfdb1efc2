#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/reason.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace vanillaferry {

struct RetryOptions {
  /// Retries per success.
  double m_Share = 0.1;
  /// Retries per ten seconds that need no successes.
  std::uint32_t m_Floor = 3;
  /// Tries of one request, with the first.
  std::uint32_t m_MaxAttempts = 4;
};

/// Retry budget of one account at one pool: a bucket that successes fill.
struct RetryBudget {
  double m_Tokens = 0;
  Millis m_FilledAt;
  bool m_Started = false;
};

struct RetryTable {
  RetryOptions m_Options;
  std::map<std::pair<AccountId, PoolId>, RetryBudget> m_Budgets;
};

/// A failed try.
struct FailedAttempt {
  AccountId m_Account;
  PoolId m_Pool;
  RetryReason m_Reason = RetryReason::Declined;
  /// Number of the try that failed.
  Attempt m_Attempt{1};
  bool m_NothingSent = false;
  /// By method of a plain service; chat completions are idempotent.
  bool m_Idempotent = false;
  /// The call has a begin in the journal.
  bool m_Journaled = false;
  /// The caller has a part of the answer, and it was not continued before.
  bool m_FirstContinuation = false;
  Millis m_TimeLeft;
};

enum class RetryVerdict : std::uint8_t {
  Retry,
  /// A journaled call, or a non-idempotent one that may have run.
  Forbidden,
  BudgetSpent,
  DeadlinePassed,
};

void noteSuccess(RetryTable &Table, const AccountId &Account,
                 const PoolId &Pool);

/// Decides on a retry and takes it from the budget. Moving on after a decline
/// or an owner change is part of the walk, which is bounded by itself, and
/// costs nothing. Nor does the first continuation of an answer that has begun,
/// nor the first try after the owner was lost: each takes the place of a
/// request that ended with its target or owner, so that a loss adds no more
/// tries than it had requests.
RetryVerdict decideRetry(RetryTable &Table, const FailedAttempt &Failed,
                         Millis Now);

} // namespace vanillaferry
