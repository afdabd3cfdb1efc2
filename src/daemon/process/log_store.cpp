#include "process/log_store.hpp"

#include "process/log.hpp"
#include "process/log_store_files.hpp"
#include "vanillaferry/process/replication_codec.hpp"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace vanillaferry {

namespace {

/// Collects the records of one batch.
struct BatchBuffer {
  std::vector<LogRecord> m_Records;

  void add(RecordKind Kind, std::string Payload) {
    LogRecord Record;
    Record.m_Kind = Kind;
    Record.m_Payload = std::move(Payload);
    m_Records.push_back(std::move(Record));
  }
};

Status writeRecords(LogStore &Store, BatchBuffer &Buffer) {
  if (Buffer.m_Records.empty())
    return boost::outcome_v2::success();
  std::string Data;
  Buffer.m_Records.back().m_EndsBatch = true;
  for (LogRecord &Record : Buffer.m_Records) {
    if (static_cast<std::int64_t>(Record.m_Payload.size()) >
        MaxRecordPayload.m_Value)
      return makeError(ErrorCode::TooLarge, "log record is too large");
    Record.m_Batch = Store.m_NextBatch;
    appendRecord(Data, Record);
  }
  ++Store.m_NextBatch;
  Store.m_Dirty = true;
  Status Written = writeAll(Store.m_Segment.get(), Data, Store.m_SegmentPath);
  if (Written)
    Store.m_SegmentBytes =
        Store.m_SegmentBytes + Bytes(static_cast<std::int64_t>(Data.size()));
  return Written;
}

/// Makes a snapshot durable and removes what it covers.
Status storeSnapshot(LogStore &Store, const Snapshot &Taken) {
  if (Taken.m_LastIndex < Store.m_SnapshotIndex)
    return boost::outcome_v2::success();
  Status Written = writeSnapshotFile(Store.m_Options.m_Folder, Taken,
                                     Store.m_Options.m_Sync);
  if (!Written)
    return Written;
  LogIndex Older = Store.m_SnapshotIndex;
  Store.m_SnapshotIndex = Taken.m_LastIndex;
  logEvent(Event::SnapshotStored, {{"index", Taken.m_LastIndex.m_Value}});
  if (Older != Taken.m_LastIndex && Older != LogIndex(0))
    ::unlink(snapshotPath(Store.m_Options.m_Folder, Older).c_str());
  std::uint64_t Removed = 0;
  while (!Store.m_Closed.empty() &&
         Store.m_Closed.begin()->second <= Taken.m_LastIndex) {
    ::unlink(
        segmentPath(Store.m_Options.m_Folder, Store.m_Closed.begin()->first)
            .c_str());
    Store.m_Closed.erase(Store.m_Closed.begin());
    ++Removed;
  }
  if (Removed > 0)
    logEvent(Event::SegmentsRemoved, {{"segments", Removed}});
  return syncFolder(Store.m_Options.m_Folder, Store.m_Options.m_Sync);
}

Status collect(LogStore &Store, const DiskWrite &Write, BatchBuffer &Buffer) {
  if (Write.m_Hard) {
    Store.m_Hard = *Write.m_Hard;
    Buffer.add(RecordKind::HardState, encodeHardState(Store.m_Hard));
  }
  if (Write.m_Install) {
    Status Stored = storeSnapshot(Store, *Write.m_Install);
    if (!Stored)
      return Stored;
    Store.m_LastIndex = Write.m_Install->m_LastIndex;
    Buffer.add(
        RecordKind::Reset,
        encodePosition({Store.m_LastIndex, Write.m_Install->m_LastTerm}));
  }
  if (Write.m_TruncateFrom) {
    Store.m_LastIndex = LogIndex(Write.m_TruncateFrom->m_Value - 1);
    Buffer.add(RecordKind::Truncate,
               encodePosition({*Write.m_TruncateFrom, Term(0)}));
  }
  for (const LogEntry &Entry : Write.m_Append) {
    if (Entry.m_Index.m_Value != Store.m_LastIndex.m_Value + 1)
      return makeError(ErrorCode::InvalidArgument,
                       "log entry " + std::to_string(Entry.m_Index.m_Value) +
                           " does not follow entry " +
                           std::to_string(Store.m_LastIndex.m_Value));
    Store.m_LastIndex = Entry.m_Index;
    Buffer.add(RecordKind::Entry, encodeEntry(Entry));
  }
  if (Write.m_Save)
    return storeSnapshot(Store, *Write.m_Save);
  return boost::outcome_v2::success();
}

/// Closes a full segment: what it holds is synced before the next one exists,
/// so that only the last segment can have a torn tail.
Status rollSegment(LogStore &Store) {
  Status Synced = syncStore(Store);
  if (!Synced)
    return Synced;
  Store.m_Closed[Store.m_SegmentNumber] = Store.m_LastIndex;
  return startSegment(Store, Store.m_SegmentNumber + 1);
}

} // namespace

Status startSegment(LogStore &Store, std::uint64_t Number) {
  const std::string &Folder = Store.m_Options.m_Folder;
  Store.m_SegmentNumber = Number;
  Store.m_SegmentPath = segmentPath(Folder, Number);
  Store.m_SegmentBytes = Bytes(0);
  Result<FileHandle> Handle = openForAppend(Store.m_SegmentPath, true);
  if (!Handle)
    return Handle.error();
  Store.m_Segment = std::move(Handle.value());
  SegmentHead Head;
  Head.m_Segment = Number;
  Head.m_Hard = Store.m_Hard;
  Head.m_LastIndex = Store.m_LastIndex;
  BatchBuffer Buffer;
  Buffer.add(RecordKind::SegmentHead, encodeSegmentHead(Head));
  Status Written = writeRecords(Store, Buffer);
  if (!Written)
    return Written;
  Status Synced = syncStore(Store);
  if (!Synced)
    return Synced;
  return syncFolder(Folder, Store.m_Options.m_Sync);
}

Status writeReset(LogStore &Store, LogIndex Index, Term LastTerm) {
  Store.m_LastIndex = Index;
  BatchBuffer Buffer;
  Buffer.add(RecordKind::Reset, encodePosition({Index, LastTerm}));
  Status Written = writeRecords(Store, Buffer);
  if (!Written)
    return Written;
  return syncStore(Store);
}

Status writeToStore(LogStore &Store, const std::vector<DiskWrite> &Writes) {
  if (Store.m_SegmentBytes >= Store.m_Options.m_SegmentSize) {
    Status Rolled = rollSegment(Store);
    if (!Rolled)
      return Rolled;
  }
  BatchBuffer Buffer;
  for (const DiskWrite &Write : Writes) {
    Status Collected = collect(Store, Write, Buffer);
    if (!Collected)
      return Collected;
  }
  return writeRecords(Store, Buffer);
}

Status syncStore(LogStore &Store) {
  if (!Store.m_Dirty)
    return boost::outcome_v2::success();
  if (Store.m_Options.m_Sync(Store.m_Segment.get()) != 0)
    return ioError("sync", Store.m_SegmentPath);
  Store.m_Dirty = false;
  return boost::outcome_v2::success();
}

} // namespace vanillaferry
