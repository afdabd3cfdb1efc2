#pragma once

#include "vanillaferry/process/prompt_suspects.hpp"

#include <cstddef>
#include <vector>

namespace vanillaferry::internal {

/// The number of ends, those with a shared cause counted once. Sorts them.
std::size_t countEnds(std::vector<const TargetEnd *> &Ends);

/// Times of all ends with requests, in order.
std::vector<Millis> endTimes(const PromptSuspects &Suspects);

/// The number of ends under a request. Callers that repeat it at the same pace
/// end several targets at once. Each of these counts, unless a target without
/// the request ended beside them: then all may have another cause.
std::size_t countEndsOfRequest(const std::vector<const TargetEnd *> &Ends,
                               const std::vector<Millis> &AllTimes);

} // namespace vanillaferry::internal
