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
  /// Attempts of one request, including the first.
  std::uint32_t m_MaxAttempts = 4;
};

/// Retry budget of one account at one pool: a token bucket that successes fill.
struct RetryBudget {
  double m_Tokens = 0;
  Millis m_FilledAt;
  bool m_Started = false;
};

struct RetryTable {
  RetryOptions m_Options;
  std::map<std::pair<AccountId, PoolId>, RetryBudget> m_Budgets;
};

/// A failed attempt of a request.
struct FailedAttempt {
  AccountId m_Account;
  PoolId m_Pool;
  RetryReason m_Reason = RetryReason::Declined;
  /// Number of the attempt that failed, from 1.
  Attempt m_Attempt{1};
  bool m_NothingSent = false;
  /// For a plain service by the HTTP method; chat completions are idempotent.
  bool m_Idempotent = false;
  /// The call is registered in the journal.
  bool m_Journaled = false;
  /// The caller has received a part of the answer, and the answer was not
  /// continued at another target before.
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

/// Decides on a retry and takes it from the budget. Three kinds of retry take
/// nothing from the budget: asking the next owner after a decline or an owner
/// change, because the owner search is bounded by itself; the first
/// continuation of an answer that has begun; and the first retry after the
/// owner was lost. Each of the latter two replaces a request that ended with
/// its target or owner, so that a failure adds no more attempts than it ended
/// requests.
RetryVerdict decideRetry(RetryTable &Table, const FailedAttempt &Failed,
                         Millis Now);

} // namespace vanillaferry
