#pragma once

#include "process/file.hpp"
#include "process/identity.hpp"
#include "vanillaferry/process/log_record.hpp"
#include "vanillaferry/process/replication.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillaferry {

struct StoreOptions {
  std::string m_Folder;
  /// The owner of the folder; another identity in it is an error.
  KeeperId m_Keeper;
  /// Used for a new folder only: false when the keeper had a disk before.
  bool m_VotingAllowedWhenNew = true;
  /// A new segment starts when the last one has reached this size.
  Bytes m_SegmentSize{8LL * 1024 * 1024};
  /// Replaced by tests that let a sync fail; empty for fdatasync.
  SyncFunction m_Sync;
};

/// Changes that one ReplicaActions asks for, or a snapshot of the own state.
/// They are written in the order of the fields.
struct DiskWrite {
  std::optional<HardState> m_Hard;
  /// Replaces the stored snapshot and the whole log.
  std::optional<Snapshot> m_Install;
  std::optional<LogIndex> m_TruncateFrom;
  std::vector<LogEntry> m_Append;
  /// Replaces the stored snapshot; segments that it covers are removed.
  std::optional<Snapshot> m_Save;
};

/// The write-ahead log and the snapshot in one data folder. Used by one thread.
struct LogStore {
  StoreOptions m_Options;
  KeeperIdentity m_Identity;
  FileHandle m_Lock;
  FileHandle m_Segment;
  std::string m_SegmentPath;
  std::uint64_t m_SegmentNumber = 0;
  Bytes m_SegmentBytes;
  std::uint64_t m_NextBatch = 1;
  HardState m_Hard;
  LogIndex m_LastIndex;
  LogIndex m_SnapshotIndex;
  /// Last index in each closed segment.
  std::map<std::uint64_t, LogIndex> m_Closed;
  /// Written and not yet synced.
  bool m_Dirty = false;
};

/// What recovery found; figures are for the log and the benchmark.
struct RecoveryReport {
  Bytes m_BytesRead;
  Bytes m_TornBytes;
  std::string m_TornFile;
  std::uint64_t m_Segments = 0;
  bool m_NewFolder = false;
};

struct OpenedStore {
  LogStore m_Store;
  /// m_InitialSet is left to the caller.
  ReplicaRecovery m_Recovery;
  RecoveryReport m_Report;
};

/// Locks the folder, recovers its content and makes it durable. A torn tail is
/// cut and logged; damage elsewhere is an error that names file and offset.
Result<OpenedStore> openStore(StoreOptions Options);

/// Writes without syncing the log; snapshots are durable on return. After an
/// error the store must not be used again.
Status writeToStore(LogStore &Store, const std::vector<DiskWrite> &Writes);

/// Makes everything written durable. Never call it again after an error: the
/// kernel may have dropped the pages that it could not write.
Status syncStore(LogStore &Store);

} // namespace vanillaferry
