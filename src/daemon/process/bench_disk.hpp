#pragma once

#include "vanillaferry/process/result.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaferry {

struct DiskBenchOptions {
  /// An existing folder on the disk to measure; a new folder in it is used and
  /// removed.
  std::string m_Folder = ".";
  std::uint64_t m_BareAppends = 500;
  std::uint64_t m_TaskAppends = 2000;
  /// Log lengths for the recovery figures.
  std::vector<std::uint64_t> m_RecoveryEntries = {1000, 100000};
};

/// Appends through the disk task with a number of callers that each wait for
/// their own append.
struct AppendFigures {
  std::uint64_t m_Callers = 0;
  double m_AppendsPerSecond = 0;
  double m_AppendsPerSync = 0;
};

/// How the state comes back after a restart.
enum class RecoveryMode : std::uint8_t {
  /// The whole log is read and applied.
  WholeLog,
  /// A snapshot 100 entries before the end, then the rest of the log.
  Snapshot,
  /// Only the last segment, which opens with the unfinished idempotency keys.
  SegmentHeads,
};

struct RecoveryFigures {
  std::uint64_t m_Entries = 0;
  RecoveryMode m_Mode = RecoveryMode::WholeLog;
  double m_Milliseconds = 0;
  Bytes m_BytesRead;
  /// Time to encode and store the snapshot; the disk task does nothing else
  /// while it stores.
  double m_EncodeMilliseconds = 0;
  double m_StoreMilliseconds = 0;
  /// Bytes written for snapshots or for heads, beside the entries.
  Bytes m_ExtraBytes;
  /// What is known afterwards.
  std::uint64_t m_OpenCalls = 0;
  std::uint64_t m_RecordedAnswers = 0;
};

struct DiskBenchFigures {
  /// One 256-byte append and one fdatasync on a bare file.
  double m_BareMedianMicroseconds = 0;
  double m_Bare95Microseconds = 0;
  std::vector<AppendFigures> m_Appends;
  std::vector<RecoveryFigures> m_Recoveries;
};

Result<DiskBenchFigures> runDiskBench(const DiskBenchOptions &Options);

/// One JSON object.
std::string diskBenchJson(const DiskBenchFigures &Figures);

} // namespace vanillaferry
