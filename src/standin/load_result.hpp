#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillaferry::standin {

/// Prompt tokens of one group of answers, and how many of them were cached.
struct ReuseCount {
  std::uint64_t m_Turns = 0;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_CachedTokens = 0;
  /// Tokens that the engine of the chat's last turn had stored: the reuse that
  /// unlimited caches would give if chats never moved to another engine.
  std::uint64_t m_ReusableTokens = 0;
};

struct LoadResult {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Complete = 0;
  std::uint64_t m_Lost = 0;
  std::uint64_t m_Wrong = 0;
  std::uint64_t m_ExplicitErrors = 0;
  std::map<std::string, std::uint64_t> m_Refused;
  /// Answers to requests sent after the warm-up.
  ReuseCount m_All;
  /// The answers among these to second and later turns.
  ReuseCount m_Returning;
  /// Returning turns by the reason of their placement.
  std::map<std::string, ReuseCount> m_ByReason;
  /// Returning turns that ran at another target than the previous turn, by the
  /// previous target.
  std::map<std::string, ReuseCount> m_MovedFrom;
  std::vector<double> m_FirstEventMs;
  std::map<std::string, std::uint64_t> m_ByPlacement;
  /// Highest load divided by the mean load, for each sample of all engines.
  std::vector<double> m_Skews;
  std::vector<double> m_MeanLoads;
};

void addReuse(ReuseCount &Count, const ReuseCount &Answer);

/// Reason of a placement: the second part of X-Placement.
std::string placementReason(const std::string &Placement);

/// Target of a placement: the first part of X-Placement.
std::string placementTarget(const std::string &Placement);

/// The result as one JSON object.
std::string resultText(const LoadResult &Result);

} // namespace vanillaferry::standin
