#include "process/internal/end_count.hpp"

#include <algorithm>
#include <optional>

namespace vanillaferry::internal {

namespace {

/// Targets that end closer together count once: a lost zone, rack or network
/// ends many, whatever they run.
constexpr Millis SharedCauseSpan{50};

std::ptrdiff_t countWithin(const std::vector<Millis> &Times, Millis From,
                           Millis Until) {
  return std::upper_bound(Times.begin(), Times.end(), Until) -
         std::lower_bound(Times.begin(), Times.end(), From);
}

} // namespace

std::size_t countEnds(std::vector<const TargetEnd *> &Ends) {
  std::sort(
      Ends.begin(), Ends.end(),
      [](const TargetEnd *A, const TargetEnd *B) { return A->m_At < B->m_At; });
  std::size_t Count = 0;
  std::optional<Millis> Last;
  for (const TargetEnd *Each : Ends) {
    if (Last && Each->m_At - *Last <= SharedCauseSpan)
      continue;
    Last = Each->m_At;
    ++Count;
  }
  return Count;
}

std::vector<Millis> endTimes(const PromptSuspects &Suspects) {
  std::vector<Millis> Times;
  for (const TargetEnd &Each : Suspects.m_Ends)
    if (!Each.m_Requests.empty())
      Times.push_back(Each.m_At);
  std::sort(Times.begin(), Times.end());
  return Times;
}

std::size_t countEndsOfRequest(const std::vector<const TargetEnd *> &Ends,
                               const std::vector<Millis> &AllTimes) {
  std::vector<Millis> Times;
  for (const TargetEnd *Each : Ends)
    Times.push_back(Each->m_At);
  std::sort(Times.begin(), Times.end());
  std::size_t Count = 0;
  std::vector<Millis>::const_iterator First = Times.begin();
  while (First != Times.end()) {
    std::vector<Millis>::const_iterator Next =
        std::upper_bound(First, Times.cend(), *First + SharedCauseSpan);
    Millis From = *First - SharedCauseSpan;
    Millis Until = *std::prev(Next) + SharedCauseSpan;
    bool NoOthers =
        countWithin(AllTimes, From, Until) == countWithin(Times, From, Until);
    Count += NoOthers ? static_cast<std::size_t>(Next - First) : 1;
    First = Next;
  }
  return Count;
}

} // namespace vanillaferry::internal
