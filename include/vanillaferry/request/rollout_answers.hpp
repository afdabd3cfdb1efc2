#pragma once

#include "vanillaferry/process/rollout.hpp"
#include "vanillaferry/request/rollout_share.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace vanillaferry {

// What one gateway counts of the answers of a rollout's versions.

/// What a gateway saw of one answer.
struct SeenAnswer {
  std::string m_Route;
  bool m_New = false;
  bool m_Failed = false;
  /// The failure may come from a disturbed link.
  bool m_MayBeLink = false;
  /// The answer is not whole; it counts only when it is slow already.
  bool m_Overdue = false;
  /// Absent for answers whose time says nothing about the version.
  std::optional<Millis> m_Total;
};

/// A failure that may come from a disturbed link is counted so much later, when
/// it is known whether the other versions' answers were cut as well.
constexpr Millis LinkFailureTime{600};

/// A failed answer that may come from a disturbed link.
struct SuspectFailure {
  Millis m_At;
  bool m_New = false;
  std::string m_Route;
  /// RolloutAnswers::m_OthersWhole and m_OthersCut before it.
  std::uint64_t m_OthersWhole = 0;
  std::uint64_t m_OthersCut = 0;
};

/// The answers of one rollout since the gateway learned of the order.
struct RolloutAnswers {
  std::map<std::string, RouteEvidence> m_Routes;
  /// Not counted yet, in order of time.
  std::deque<SuspectFailure> m_Suspects;
  /// Answers of other versions that came whole, and that may have failed by
  /// their link.
  std::uint64_t m_OthersWhole = 0;
  std::uint64_t m_OthersCut = 0;
};

/// Adds an answer; says how one of the new version counts for the local stop,
/// which does not wait until a link is known to be sound.
AnswerJudgement addAnswer(RolloutAnswers &Answers, const SeenAnswer &Seen,
                          Millis Now);
/// Counts the failures that no disturbed link explains.
void settleSuspects(RolloutAnswers &Answers, Millis Now);

} // namespace vanillaferry
