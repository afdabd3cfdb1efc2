#pragma once

#include "vanillaferry/process/result.hpp"
#include "vanillaferry/request/dispatch.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaferry {

/// JSON text of the platform's target list, as the keepers' leader passes it on
/// to the routers.
std::string encodeTargets(const std::vector<ListedTarget> &Targets);
Result<std::vector<ListedTarget>> decodeTargets(const std::string &Text);

/// XXH3 digest that identifies a text; never 0, which stands for no text.
std::uint64_t textDigest(const std::string &Text);

/// Keeps the remaining cold-start time of each target as it was first read, so
/// that the countdown of a cold start does not change the list on every read.
void retainColdTimes(std::vector<ListedTarget> &Targets,
                     const std::vector<ListedTarget> &Before);

} // namespace vanillaferry
