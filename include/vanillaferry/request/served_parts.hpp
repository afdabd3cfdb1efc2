#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace vanillaferry {

/// Prompt parts with which targets have answered, of the last half minute at
/// least, in two generations. One client account cannot fill a generation.
struct ServedParts {
  std::unordered_map<PromptPartId, Millis> m_Current;
  std::unordered_map<PromptPartId, Millis> m_Former;
  Millis m_CurrentSince;
  /// Time of the first answer.
  std::optional<Millis> m_Since;
  /// Parts of the current generation by the account that used them first.
  std::map<AccountId, std::size_t> m_Counts;
};

constexpr Millis ServedPartsLifetime{30000};
constexpr std::size_t MaxServedParts = 16384;
constexpr std::size_t MaxServedPartsOfAccount = 4096;

void recordServed(ServedParts &Served, const std::vector<PromptPartId> &Parts,
                  const AccountId &Account, Millis Now);

/// When an answer with the part was last recorded.
std::optional<Millis> lastServed(const ServedParts &Served,
                                 const PromptPartId &Part);

} // namespace vanillaferry
