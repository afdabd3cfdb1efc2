#pragma once

#include "process/bench_disk.hpp"

namespace vanillaferry {

/// Writes a log of journaled calls into a new folder in Folder and measures how
/// long its state takes to come back. 64 calls are open at any time; answers
/// have 256 bytes.
Result<RecoveryFigures> measureRecovery(const std::string &Folder,
                                        std::uint64_t Entries,
                                        RecoveryMode Mode);

} // namespace vanillaferry
