#pragma once

#include "connection/caller.hpp"
#include "connection/target_client.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <optional>

namespace vanillaferry {

// A gateway that reaches no target of a service passes requests for it on to
// another gateway, over HTTP at an address that only gateways use. Both state
// what the other one cannot know in fields of their own, which neither callers
// nor targets get.

/// What the passing gateway states beside the caller's request.
struct RelayedRequest {
  Millis m_TimeLeft;
  /// Targets that may still run the request.
  int m_MaxTargets = 1;
  /// Id of the last event that the caller has.
  std::optional<std::uint64_t> m_LastEvent;
  /// The version at which the stream began.
  std::optional<SoftwareVersion> m_Software;
};

/// What the other gateway states beside the answer.
struct RelayedAnswer {
  /// Empty in an answer of its own.
  TargetId m_Target;
  SoftwareVersion m_Software;
  /// Targets that may have run the request.
  int m_Runs = 0;
  /// Set when the gateway itself refuses the request, which has not run.
  RefusalReason m_Refusal = RefusalReason::None;
  Millis m_RetryAfter;
};

HttpFields relayRequestFields(const RelayedRequest &Stated);
/// Absent when the fields are missing or malformed.
std::optional<RelayedRequest> readRelayedRequest(const CallerRequest &Request);

HttpFields relayAnswerFields(const RelayedAnswer &Stated);
RelayedAnswer readRelayedAnswer(const HttpFields &Fields);

/// The refusals after which another gateway may serve the request.
bool mayServeElsewhere(RefusalReason Reason);

/// The caller's fields that the other gateway gets: those that concern more
/// than one connection, without any of the above.
HttpFields fieldsToRelay(const CallerRequest &Request);
/// Removes the above, and what the other gateway's HTTP server adds, from the
/// fields of its answer.
void removeRelayFields(HttpFields &Fields);

} // namespace vanillaferry
