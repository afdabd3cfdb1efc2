#pragma once

#include "vanillaferry/version/pool.hpp"

#include <optional>
#include <string>
#include <vector>

namespace vanillaferry {

/// The platform's VM list; empty when malformed.
std::optional<std::vector<ListedVm>> parseVmList(const std::string &Text);

} // namespace vanillaferry
