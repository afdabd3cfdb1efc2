#pragma once

#include "process/settings.hpp"

namespace vanillaferry {

/// Runs a keeper until SIGTERM, SIGINT or a fault; returns the exit code.
/// Initialize forms the first keeper set together with the other members of
/// initial_keepers.
int runKeeper(const KeeperSettings &Settings, bool Initialize);

} // namespace vanillaferry
