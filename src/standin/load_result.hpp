#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillaferry::standin {

/// Prompt tokens of one group of answers.
struct ReuseCount {
  std::uint64_t m_Turns = 0;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_CachedTokens = 0;
  /// Tokens that the engine of the chat's last turn had stored: what could have
  /// been reused with unlimited caches and without any move.
  std::uint64_t m_ReusableTokens = 0;
};

struct LoadResult {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Whole = 0;
  std::uint64_t m_Lost = 0;
  std::uint64_t m_Wrong = 0;
  std::uint64_t m_ExplicitErrors = 0;
  std::map<std::string, std::uint64_t> m_Refused;
  /// Answers to requests sent after the warm-up.
  ReuseCount m_All;
  /// Those to second and later turns.
  ReuseCount m_Returning;
  /// Returning turns by the reason of their placement.
  std::map<std::string, ReuseCount> m_ByWhy;
  /// Returning turns that ran elsewhere than the turn before, by the latter's
  /// target.
  std::map<std::string, ReuseCount> m_MovedFrom;
  std::vector<double> m_FirstEventMs;
  std::map<std::string, std::uint64_t> m_ByPlacement;
  /// Highest load over mean, of each sample of all engines.
  std::vector<double> m_Skews;
  std::vector<double> m_MeanLoads;
};

void addReuse(ReuseCount &Count, const ReuseCount &Answer);

/// Why a request ran where it did: the second part of X-Placement.
std::string placementWhy(const std::string &Placement);

/// Where it ran: the first part.
std::string placementTarget(const std::string &Placement);

/// The result as one JSON object.
std::string resultText(const LoadResult &Result);

} // namespace vanillaferry::standin
