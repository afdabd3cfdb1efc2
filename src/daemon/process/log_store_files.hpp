#pragma once

#include "process/log_store.hpp"

#include <cstdint>
#include <string>

namespace vanillaferry {

// File names and steps that writing and recovery share.

std::string segmentPath(const std::string &Folder, std::uint64_t Number);
std::string snapshotPath(const std::string &Folder, LogIndex Index);

Status writeSnapshotFile(const std::string &Folder, const Snapshot &Taken,
                         const SyncFunction &Sync);
Result<Snapshot> readSnapshotFile(const std::string &Folder, LogIndex Index,
                                  Bytes &BytesRead);

/// Creates a segment with its head and makes both durable.
Status startSegment(LogStore &Store, std::uint64_t Number);

/// Records that the log starts anew behind a snapshot, and syncs.
Status writeReset(LogStore &Store, LogIndex Index, Term LastTerm);

} // namespace vanillaferry
