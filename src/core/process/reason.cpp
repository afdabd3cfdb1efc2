#include "vanillaferry/process/reason.hpp"

namespace vanillaferry {

namespace {

struct RefusalRow {
  RefusalReason m_Reason;
  const char *m_Name;
  int m_HttpStatus;
  int m_RetryAfterSeconds;
};

constexpr RefusalRow RefusalTable[] = {
    {RefusalReason::MalformedRequest, "malformed_request", 400, 0},
    {RefusalReason::HeaderTooLarge, "header_too_large", 431, 0},
    {RefusalReason::BodyTooLarge, "body_too_large", 413, 0},
    {RefusalReason::SlowSender, "slow_sender", 408, 1},
    {RefusalReason::UnknownApiKey, "unknown_api_key", 401, 0},
    {RefusalReason::UnknownModel, "unknown_model", 404, 0},
    {RefusalReason::UnknownService, "unknown_service", 404, 0},
    {RefusalReason::MissingIdempotencyKey, "missing_idempotency_key", 400, 0},
    {RefusalReason::KeyBodyMismatch, "key_body_mismatch", 422, 0},
    {RefusalReason::KeyExpired, "key_expired", 410, 0},
    {RefusalReason::KeyFromFuture, "key_from_future", 400, 0},
    {RefusalReason::AccountDisabled, "account_disabled", 403, 0},
    {RefusalReason::UnknownRoute, "unknown_route", 404, 0},
    {RefusalReason::AccountConcurrency, "account_concurrency", 429, 1},
    {RefusalReason::AccountRate, "account_rate", 429, 1},
    {RefusalReason::QueueFull, "queue_full", 503, 2},
    {RefusalReason::DeadlineUnreachable, "deadline_unreachable", 503, 2},
    {RefusalReason::StreamTooLarge, "stream_too_large", 502, 0},
    {RefusalReason::ColdTargets, "cold_targets", 503, 1},
    {RefusalReason::PromptRefused, "prompt_refused", 503, 3600},
    {RefusalReason::CrashingRequest, "crashing_request", 503, 3600},
    {RefusalReason::TargetRateLimit, "target_rate_limit", 503, 1},
    {RefusalReason::NoLease, "no_lease", 503, 1},
    {RefusalReason::NotReady, "not_ready", 503, 1},
    {RefusalReason::Draining, "draining", 503, 1},
    {RefusalReason::NoTargetInService, "no_target_in_service", 503, 5},
    {RefusalReason::NoOwner, "no_owner", 503, 1},
    {RefusalReason::JournalUnavailable, "journal_unavailable", 503, 1},
    {RefusalReason::StreamOriginUnknown, "stream_origin_unknown", 503, 60},
    {RefusalReason::TargetFailed, "target_failed", 502, 1},
    {RefusalReason::OutcomeUnknown, "outcome_unknown", 409, 0},
    {RefusalReason::AlreadyRunning, "already_running", 409, 1},
    {RefusalReason::RetryBudgetSpent, "retry_budget_spent", 503, 2},
    {RefusalReason::DeadlinePassed, "deadline_passed", 504, 0},
    {RefusalReason::StreamBroken, "stream_broken", 502, 0},
};

struct RetryRow {
  RetryReason m_Reason;
  const char *m_Name;
};

constexpr RetryRow RetryTable[] = {
    {RetryReason::Declined, "declined"},
    {RetryReason::OwnerMoved, "owner_moved"},
    {RetryReason::PeerLinkLost, "peer_link_lost"},
    {RetryReason::ConnectFailed, "connect_failed"},
    {RetryReason::TargetRefused, "target_refused"},
    {RetryReason::TargetUnavailable, "target_unavailable"},
    {RetryReason::StreamSilent, "stream_silent"},
    {RetryReason::StreamBroken, "stream_broken"},
    {RetryReason::StreamContinued, "stream_continued"},
    {RetryReason::RelayFailed, "relay_failed"},
};

const RefusalRow *findRefusal(RefusalReason Reason) {
  for (const RefusalRow &Row : RefusalTable)
    if (Row.m_Reason == Reason)
      return &Row;
  return nullptr;
}

} // namespace

const char *refusalName(RefusalReason Reason) {
  const RefusalRow *Row = findRefusal(Reason);
  return Row ? Row->m_Name : "none";
}

const char *retryName(RetryReason Reason) {
  for (const RetryRow &Row : RetryTable)
    if (Row.m_Reason == Reason)
      return Row.m_Name;
  return "none";
}

int refusalHttpStatus(RefusalReason Reason) {
  const RefusalRow *Row = findRefusal(Reason);
  return Row ? Row->m_HttpStatus : 500;
}

int refusalRetryAfterSeconds(RefusalReason Reason) {
  const RefusalRow *Row = findRefusal(Reason);
  return Row ? Row->m_RetryAfterSeconds : 0;
}

std::vector<RefusalReason> allRefusalReasons() {
  std::vector<RefusalReason> All;
  for (const RefusalRow &Row : RefusalTable)
    All.push_back(Row.m_Reason);
  return All;
}

std::vector<RetryReason> allRetryReasons() {
  std::vector<RetryReason> All;
  for (const RetryRow &Row : RetryTable)
    All.push_back(Row.m_Reason);
  return All;
}

} // namespace vanillaferry
