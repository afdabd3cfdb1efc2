#pragma once

#include "vanillaferry/connection/message.hpp"

#include <map>
#include <string>
#include <vector>

namespace vanillaferry {

/// Refuses a prompt part in the whole fleet, or ends its trial as failed.
struct QuarantinePart {
  PromptPartId m_Part;
  UnixMillis m_At;
  /// Targets that ended under it, separated by commas, for operators.
  std::string m_Targets;
  /// Refused together with others, of which one may be to blame: a request with
  /// only one of them is tried soon.
  bool m_Tied = false;
};

/// Serves a prompt part again.
struct ReleasePart {
  PromptPartId m_Part;
};

/// Lets one router try a refused part.
struct BeginTrial {
  PromptPartId m_Part;
  /// Number of trials that have failed so far.
  std::uint32_t m_Failed = 0;
};

/// Why and since when a part is refused.
struct QuarantinedPart {
  UnixMillis m_Since;
  std::string m_Targets;
  /// Time of the next trial.
  UnixMillis m_TrialAt;
  std::uint32_t m_FailedTrials = 0;
  bool m_OnTrial = false;
};

/// Prompt parts that end engines; part of the replicated state.
struct PromptQuarantine {
  /// Log index of the last change; 0 before the first one.
  std::uint64_t m_Version = 0;
  std::map<PromptPartId, QuarantinedPart> m_Parts;
};

/// More parts would make grants too large; the one refused first is dropped.
constexpr std::size_t MaxQuarantinedParts = 256;
/// A trial costs an engine with all that it runs, so the pause before the next
/// one doubles.
constexpr Millis FirstTrialDelay{600000};
constexpr Millis TiedTrialDelay{1000};
constexpr Millis LongestTrialDelay{24LL * 3600 * 1000};

/// Each returns true when it changed something.
bool applyQuarantinePart(PromptQuarantine &Held, const QuarantinePart &Input);
bool applyReleasePart(PromptQuarantine &Held, const ReleasePart &Input);
bool applyBeginTrial(PromptQuarantine &Held, const BeginTrial &Input);

/// The trials that are due.
std::vector<BeginTrial> dueTrials(const PromptQuarantine &Held, UnixMillis Now);

/// The parts as routers are told of them.
std::vector<RefusedPart> refusedParts(const PromptQuarantine &Held);

} // namespace vanillaferry
