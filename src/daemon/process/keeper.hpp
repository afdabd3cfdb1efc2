#pragma once

#include "process/settings.hpp"

namespace vanillaferry {

struct PlatformProtocol;

/// Runs a keeper until SIGTERM, SIGINT or a fault; returns the exit code.
/// Initialize forms the first keeper set together with the other members of
/// initial_keepers. Without a protocol the keeper accepts no manifests.
int runKeeper(const KeeperSettings &Settings, bool Initialize,
              const PlatformProtocol *Protocol);

} // namespace vanillaferry
