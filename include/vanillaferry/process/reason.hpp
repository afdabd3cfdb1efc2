#pragma once

#include <cstdint>
#include <vector>

namespace vanillaferry {

/// Why a request was refused. The numbers are part of the public interface and
/// are never reused (docs/reasons.md).
enum class RefusalReason : std::uint16_t {
  None = 0,
  // Errors in the caller's request.
  MalformedRequest = 100,
  HeaderTooLarge = 101,
  BodyTooLarge = 102,
  SlowSender = 103,
  UnknownApiKey = 104,
  UnknownModel = 105,
  UnknownService = 106,
  MissingIdempotencyKey = 107,
  KeyBodyMismatch = 108,
  KeyExpired = 109,
  KeyFromFuture = 110,
  AccountDisabled = 111,
  UnknownRoute = 112,
  // Limits.
  AccountConcurrency = 200,
  AccountRate = 201,
  QueueFull = 202,
  DeadlineUnreachable = 203,
  StreamTooLarge = 204,
  ColdTargets = 205,
  /// A part of the prompt ends engines.
  PromptRefused = 206,
  /// The request as a whole ends targets.
  CrashingRequest = 207,
  /// Every target names a limit and gets as many requests.
  TargetRateLimit = 208,
  // State of the routers, keepers and targets.
  NoLease = 300,
  NotReady = 301,
  Draining = 302,
  NoTargetInService = 303,
  NoOwner = 304,
  JournalUnavailable = 305,
  /// It is not known at which software version the stream began.
  StreamOriginUnknown = 306,
  // Outcome of attempts at targets.
  TargetFailed = 400,
  OutcomeUnknown = 401,
  AlreadyRunning = 402,
  RetryBudgetSpent = 403,
  DeadlinePassed = 404,
  StreamBroken = 405,
};

/// Whether a refused request ran: the "not_run" field of a refusal.
enum class NotRun { True, False, Unknown };

/// Why a request is retried.
enum class RetryReason : std::uint16_t {
  None = 0,
  Declined = 500,
  OwnerMoved = 501,
  PeerLinkLost = 502,
  ConnectFailed = 503,
  TargetRefused = 504,
  TargetUnavailable = 505,
  StreamSilent = 506,
  StreamBroken = 507,
  StreamContinued = 508,
  /// Another gateway could not pass the request on.
  RelayFailed = 509,
};

/// The reason's name as used in refusals and counters.
const char *refusalName(RefusalReason Reason);
/// The retry reason's name as used in counters.
const char *retryName(RetryReason Reason);
/// HTTP status of a refusal.
int refusalHttpStatus(RefusalReason Reason);
/// Seconds for Retry-After; 0 when a retry does not help.
int refusalRetryAfterSeconds(RefusalReason Reason);

/// All reasons, to create their counters at zero.
std::vector<RefusalReason> allRefusalReasons();
std::vector<RetryReason> allRetryReasons();

} // namespace vanillaferry
