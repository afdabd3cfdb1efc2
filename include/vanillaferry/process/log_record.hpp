#pragma once

#include "vanillaferry/process/replication.hpp"
#include "vanillaferry/process/result.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaferry {

/// What a record of the write-ahead log holds.
enum class RecordKind : std::uint8_t {
  /// First record of every segment.
  SegmentHead = 1,
  Entry = 2,
  HardState = 3,
  /// Entries from this index on are removed.
  Truncate = 4,
  /// All entries before this record are replaced by a snapshot.
  Reset = 5,
  /// Idempotency keys without an outcome; written only by the benchmark that
  /// compares such segment heads with snapshots (docs/replication.md).
  OpenKeys = 6,
  /// The only record of a snapshot file.
  Snapshot = 7,
};

/// One record; those of a batch were written together and became durable by one
/// sync.
struct LogRecord {
  RecordKind m_Kind = RecordKind::Entry;
  /// Number of the batch; consecutive within a data folder.
  std::uint64_t m_Batch = 0;
  bool m_EndsBatch = false;
  std::string m_Payload;
};

/// Bytes of a record around its payload.
constexpr Bytes RecordOverhead{24};
/// Maximum payload of a record; its length field has 32 bits.
constexpr Bytes MaxRecordPayload{0xffffffffLL};

struct SegmentHead {
  std::uint64_t m_Segment = 0;
  /// The log's state where the segment starts.
  HardState m_Hard;
  LogIndex m_LastIndex;
};

struct LogPosition {
  LogIndex m_Index;
  Term m_Term;
};

struct SegmentScan {
  std::vector<LogRecord> m_Records;
  /// Bytes of the records; a torn tail follows them.
  Bytes m_Valid;
  Bytes m_Torn;
};

/// Appends one record to a buffer.
void appendRecord(std::string &Out, const LogRecord &Record);

/// Reads a segment. In the last segment an unfinished batch at the end is a
/// torn tail; anything else that is not a record is an error that names its
/// offset.
Result<SegmentScan> scanSegment(const std::string &Data, bool LastSegment);

std::string encodeSegmentHead(const SegmentHead &Head);
Result<SegmentHead> decodeSegmentHead(const std::string &Payload);
std::string encodeEntry(const LogEntry &Entry);
Result<LogEntry> decodeEntry(const std::string &Payload);
std::string encodeHardState(const HardState &Hard);
Result<HardState> decodeHardState(const std::string &Payload);
/// For Truncate (without a term) and Reset.
std::string encodePosition(const LogPosition &Position);
Result<LogPosition> decodePosition(const std::string &Payload);

} // namespace vanillaferry
