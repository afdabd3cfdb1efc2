#pragma once

#include "vanillaferry/process/result.hpp"
#include "vanillaferry/request/dispatch.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaferry {

/// JSON text of a reading of the platform's targets, as the keepers' leader
/// hands it on to the routers.
std::string encodeTargets(const std::vector<ListedTarget> &Targets);
Result<std::vector<ListedTarget>> decodeTargets(const std::string &Text);

/// Number of a text; 0 stands for none.
std::uint64_t textDigest(const std::string &Text);

/// Keeps the stated rest of a cold start as it was first read, so that a target
/// that only gets warmer is no change of the list.
void retainColdTimes(std::vector<ListedTarget> &Targets,
                     const std::vector<ListedTarget> &Before);

} // namespace vanillaferry
