#include "process/log_store_files.hpp"

#include "process/log.hpp"
#include "vanillaferry/process/replication_codec.hpp"

#include <algorithm>
#include <cerrno>
#include <cinttypes>
#include <cstdio>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace vanillaferry {

namespace {

/// The files of a data folder by their numbers.
struct FolderContent {
  std::vector<std::uint64_t> m_Segments;
  std::vector<std::uint64_t> m_Snapshots;
};

/// The log as the records build it up.
struct LogReplay {
  HardState m_Hard;
  std::vector<LogEntry> m_Entries;
  /// Index before the first entry.
  LogIndex m_Start;
  std::uint64_t m_LastBatch = 0;
  bool m_SawHead = false;

  LogIndex last() const { return LogIndex(m_Start.m_Value + m_Entries.size()); }
};

Error damaged(const std::string &Path, const std::string &What) {
  return makeError(ErrorCode::Corrupt, Path + ": " + What);
}

std::optional<std::uint64_t> numberOf(const std::string &Name,
                                      const char *Format) {
  std::uint64_t Number = 0;
  int End = 0;
  if (std::sscanf(Name.c_str(), Format, &Number, &End) == 1 &&
      static_cast<std::size_t>(End) == Name.size())
    return Number;
  return std::nullopt;
}

Result<FolderContent> listContent(const std::string &Folder) {
  Result<std::vector<std::string>> Names = listFolder(Folder);
  if (!Names)
    return Names.error();
  FolderContent Content;
  for (const std::string &Name : Names.value()) {
    if (Name.size() > 4 && Name.substr(Name.size() - 4) == ".tmp")
      ::unlink((Folder + "/" + Name).c_str());
    else if (std::optional<std::uint64_t> Segment =
                 numberOf(Name, "segment-%" SCNu64 ".log%n"))
      Content.m_Segments.push_back(*Segment);
    else if (std::optional<std::uint64_t> Taken =
                 numberOf(Name, "snapshot-%" SCNu64 ".snap%n"))
      Content.m_Snapshots.push_back(*Taken);
  }
  return Content;
}

Status replayHead(LogReplay &Log, const std::string &Payload,
                  std::uint64_t Number) {
  Result<SegmentHead> Head = decodeSegmentHead(Payload);
  if (!Head)
    return Head.error();
  if (Head.value().m_Segment != Number)
    return makeError(ErrorCode::Corrupt, "head names another segment");
  if (Log.m_SawHead) {
    if (Head.value().m_LastIndex != Log.last() ||
        Head.value().m_Hard.m_Term != Log.m_Hard.m_Term)
      return makeError(ErrorCode::Corrupt,
                       "head does not continue the segment before it");
    return boost::outcome_v2::success();
  }
  Log.m_SawHead = true;
  Log.m_Hard = Head.value().m_Hard;
  Log.m_Start = Head.value().m_LastIndex;
  return boost::outcome_v2::success();
}

Status replayEntry(LogReplay &Log, const std::string &Payload) {
  Result<LogEntry> Entry = decodeEntry(Payload);
  if (!Entry)
    return Entry.error();
  if (Entry.value().m_Index.m_Value != Log.last().m_Value + 1)
    return makeError(ErrorCode::Corrupt,
                     "entry " + std::to_string(Entry.value().m_Index.m_Value) +
                         " follows entry " +
                         std::to_string(Log.last().m_Value));
  Log.m_Entries.push_back(std::move(Entry.value()));
  return boost::outcome_v2::success();
}

Status replayPosition(LogReplay &Log, const LogRecord &Record) {
  Result<LogPosition> Position = decodePosition(Record.m_Payload);
  if (!Position)
    return Position.error();
  LogIndex Index = Position.value().m_Index;
  if (Record.m_Kind == RecordKind::Reset) {
    Log.m_Entries.clear();
    Log.m_Start = Index;
    return boost::outcome_v2::success();
  }
  if (Index.m_Value == 0 || Index.m_Value > Log.last().m_Value + 1)
    return makeError(ErrorCode::Corrupt, "truncation behind the end");
  if (Index <= Log.m_Start) {
    // Entries of removed segments, which a snapshot covers.
    Log.m_Entries.clear();
    Log.m_Start = LogIndex(Index.m_Value - 1);
  } else {
    Log.m_Entries.resize(Index.m_Value - Log.m_Start.m_Value - 1);
  }
  return boost::outcome_v2::success();
}

Status replayRecord(LogReplay &Log, const LogRecord &Record,
                    std::uint64_t Number) {
  Log.m_LastBatch = Record.m_Batch;
  switch (Record.m_Kind) {
  case RecordKind::SegmentHead:
    return replayHead(Log, Record.m_Payload, Number);
  case RecordKind::Entry:
    return replayEntry(Log, Record.m_Payload);
  case RecordKind::HardState: {
    Result<HardState> Hard = decodeHardState(Record.m_Payload);
    if (!Hard)
      return Hard.error();
    Log.m_Hard = std::move(Hard.value());
    return boost::outcome_v2::success();
  }
  case RecordKind::Truncate:
  case RecordKind::Reset:
    return replayPosition(Log, Record);
  case RecordKind::OpenKeys:
    return boost::outcome_v2::success();
  case RecordKind::Snapshot:
    break;
  }
  return makeError(ErrorCode::Corrupt, "record of an unexpected kind");
}

/// Rewrites the last segment without its torn tail. Its pages may be in the
/// page cache without ever having reached the disk, and after a failed sync the
/// kernel no longer counts them as dirty, so a sync alone would not do.
Status rewriteLast(LogStore &Store, const std::string &Data,
                   const SegmentScan &Scan, RecoveryReport &Report) {
  std::string Name =
      Store.m_SegmentPath.substr(Store.m_Options.m_Folder.size() + 1);
  if (Scan.m_Torn > Bytes(0)) {
    Report.m_TornBytes = Scan.m_Torn;
    Report.m_TornFile = Store.m_SegmentPath;
    logEvent(Event::LogTailCut, {{"file", Store.m_SegmentPath},
                                 {"offset", Scan.m_Valid.m_Value},
                                 {"bytes", Scan.m_Torn.m_Value}});
  }
  Status Written = replaceFile(
      Store.m_Options.m_Folder, Name,
      Data.substr(0, static_cast<std::size_t>(Scan.m_Valid.m_Value)),
      Store.m_Options.m_Sync);
  if (!Written)
    return Written;
  Result<FileHandle> Handle = openForAppend(Store.m_SegmentPath, false);
  if (!Handle)
    return Handle.error();
  Store.m_Segment = std::move(Handle.value());
  Store.m_SegmentBytes = Scan.m_Valid;
  return boost::outcome_v2::success();
}

Status replaySegment(LogStore &Store, LogReplay &Log, std::uint64_t Number,
                     bool Last, RecoveryReport &Report) {
  std::string Path = segmentPath(Store.m_Options.m_Folder, Number);
  Result<std::string> Data = readFile(Path);
  if (!Data)
    return Data.error();
  Report.m_BytesRead = Report.m_BytesRead +
                       Bytes(static_cast<std::int64_t>(Data.value().size()));
  ++Report.m_Segments;
  Result<SegmentScan> Scan = scanSegment(Data.value(), Last);
  if (!Scan)
    return damaged(Path, Scan.error().m_Text);
  const std::vector<LogRecord> &Records = Scan.value().m_Records;
  if (!Records.empty() && Records.front().m_Kind != RecordKind::SegmentHead)
    return damaged(Path, "segment head missing at offset 0");
  for (const LogRecord &Record : Records)
    if (Status Replayed = replayRecord(Log, Record, Number); !Replayed)
      return damaged(Path, Replayed.error().m_Text);
  if (!Last) {
    if (Records.empty())
      return damaged(Path, "empty segment before the last one");
    Store.m_Closed[Number] = Log.last();
    return boost::outcome_v2::success();
  }
  Store.m_SegmentNumber = Number;
  Store.m_SegmentPath = Path;
  return rewriteLast(Store, Data.value(), Scan.value(), Report);
}

Status lockFolder(LogStore &Store) {
  const std::string &Folder = Store.m_Options.m_Folder;
  if (::mkdir(Folder.c_str(), 0700) != 0 && errno != EEXIST)
    return ioError("create", Folder);
  std::string Path = Folder + "/lock";
  Store.m_Lock =
      FileHandle(::open(Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!Store.m_Lock.isOpen())
    return ioError("open", Path);
  if (::flock(Store.m_Lock.get(), LOCK_EX | LOCK_NB) != 0)
    return makeError(ErrorCode::Unavailable,
                     Folder + " is in use by another process");
  return boost::outcome_v2::success();
}

/// A folder without identity may hold at most what an interrupted creation
/// left.
Status createFolder(LogStore &Store, const FolderContent &Content) {
  const std::string &Folder = Store.m_Options.m_Folder;
  if (!Content.m_Snapshots.empty() || Content.m_Segments.size() > 1)
    return damaged(Folder, "the identity file is missing");
  for (std::uint64_t Number : Content.m_Segments) {
    Result<std::string> Data = readFile(segmentPath(Folder, Number));
    if (!Data)
      return Data.error();
    Result<SegmentScan> Scan = scanSegment(Data.value(), true);
    if (!Scan || Scan.value().m_Records.size() > 1)
      return damaged(Folder, "the identity file is missing");
    ::unlink(segmentPath(Folder, Number).c_str());
  }
  Status Started = startSegment(Store, 1);
  if (!Started)
    return Started;
  Result<KeeperIdentity> Identity = createIdentity(
      Folder, Store.m_Options.m_Keeper, Store.m_Options.m_VotingAllowedWhenNew,
      Store.m_Options.m_Sync);
  if (!Identity)
    return Identity.error();
  Store.m_Identity = std::move(Identity.value());
  logEvent(Event::DataFolderCreated,
           {{"folder", Folder}, {"disk", Store.m_Identity.m_DiskId}});
  return boost::outcome_v2::success();
}

Status loadSnapshot(OpenedStore &Opened, const FolderContent &Content) {
  if (Content.m_Snapshots.empty())
    return boost::outcome_v2::success();
  const std::string &Folder = Opened.m_Store.m_Options.m_Folder;
  LogIndex Newest(Content.m_Snapshots.back());
  Result<Snapshot> Taken =
      readSnapshotFile(Folder, Newest, Opened.m_Report.m_BytesRead);
  if (!Taken)
    return Taken.error();
  Opened.m_Store.m_SnapshotIndex = Newest;
  Opened.m_Recovery.m_Snapshot = std::move(Taken.value());
  for (std::uint64_t Older : Content.m_Snapshots)
    if (Older != Newest.m_Value)
      ::unlink(snapshotPath(Folder, LogIndex(Older)).c_str());
  return boost::outcome_v2::success();
}

Status replayAll(OpenedStore &Opened, const FolderContent &Content,
                 LogReplay &Log) {
  LogStore &Store = Opened.m_Store;
  const std::vector<std::uint64_t> &Segments = Content.m_Segments;
  const std::string &Folder = Store.m_Options.m_Folder;
  if (Segments.empty())
    return damaged(Folder, "the log is missing");
  for (std::size_t I = 0; I < Segments.size(); ++I) {
    if (I > 0 && Segments[I] != Segments[I - 1] + 1)
      return damaged(Folder, "segment " + std::to_string(Segments[I - 1] + 1) +
                                 " is missing");
    Status Replayed = replaySegment(Store, Log, Segments[I],
                                    I + 1 == Segments.size(), Opened.m_Report);
    if (!Replayed)
      return Replayed;
  }
  // Every segment but a newest one that was being created has its head.
  if (!Log.m_SawHead)
    return damaged(Folder, "no segment has a head");
  if (Log.m_Start > Store.m_SnapshotIndex)
    return damaged(
        Folder, "entries " + std::to_string(Store.m_SnapshotIndex.m_Value + 1) +
                    " to " + std::to_string(Log.m_Start.m_Value) +
                    " are missing");
  Store.m_Hard = Log.m_Hard;
  Store.m_LastIndex = Log.last();
  Store.m_NextBatch = Log.m_LastBatch + 1;
  return boost::outcome_v2::success();
}

/// A crash during the creation of a segment leaves it without its head.
Status repairHead(LogStore &Store) {
  if (Store.m_SegmentBytes > Bytes(0))
    return boost::outcome_v2::success();
  Store.m_Segment.close();
  ::unlink(Store.m_SegmentPath.c_str());
  return startSegment(Store, Store.m_SegmentNumber);
}

/// Lets the log continue behind the snapshot when it does not reach it or parts
/// from it.
Status joinSnapshot(OpenedStore &Opened, LogReplay &Log) {
  const std::optional<Snapshot> &Taken = Opened.m_Recovery.m_Snapshot;
  if (!Taken)
    return boost::outcome_v2::success();
  LogIndex Index = Taken->m_LastIndex;
  bool Continues = Index == Log.m_Start;
  if (Index > Log.m_Start && Index <= Log.last())
    Continues = Log.m_Entries[Index.m_Value - Log.m_Start.m_Value - 1].m_Term ==
                Taken->m_LastTerm;
  if (Continues)
    return boost::outcome_v2::success();
  Log.m_Entries.clear();
  Log.m_Start = Index;
  return writeReset(Opened.m_Store, Index, Taken->m_LastTerm);
}

Status recover(OpenedStore &Opened, const FolderContent &Content) {
  LogReplay Log;
  Status Done = loadSnapshot(Opened, Content);
  if (Done)
    Done = replayAll(Opened, Content, Log);
  if (Done)
    Done = repairHead(Opened.m_Store);
  if (Done)
    Done = joinSnapshot(Opened, Log);
  if (!Done)
    return Done;
  Opened.m_Recovery.m_Hard = Log.m_Hard;
  Opened.m_Recovery.m_Entries = std::move(Log.m_Entries);
  Opened.m_Recovery.m_VotingAllowed = Opened.m_Store.m_Identity.m_VotingAllowed;
  logEvent(Event::DiskRecovered,
           {{"entries",
             static_cast<std::uint64_t>(Opened.m_Recovery.m_Entries.size())},
            {"snapshot", Opened.m_Store.m_SnapshotIndex.m_Value},
            {"bytes", Opened.m_Report.m_BytesRead.m_Value}});
  return boost::outcome_v2::success();
}

Status openFolder(OpenedStore &Opened) {
  LogStore &Store = Opened.m_Store;
  Status Locked = lockFolder(Store);
  if (!Locked)
    return Locked;
  Result<FolderContent> Content = listContent(Store.m_Options.m_Folder);
  if (!Content)
    return Content.error();
  Result<std::optional<KeeperIdentity>> Identity =
      loadIdentity(Store.m_Options.m_Folder);
  if (!Identity)
    return Identity.error();
  if (!Identity.value()) {
    Opened.m_Report.m_NewFolder = true;
    Opened.m_Recovery.m_VotingAllowed = Store.m_Options.m_VotingAllowedWhenNew;
    return createFolder(Store, Content.value());
  }
  Store.m_Identity = *Identity.value();
  if (Store.m_Identity.m_Keeper != Store.m_Options.m_Keeper)
    return makeError(ErrorCode::InvalidSettings,
                     Store.m_Options.m_Folder + " belongs to keeper " +
                         Store.m_Identity.m_Keeper.m_Value + ", not to " +
                         Store.m_Options.m_Keeper.m_Value);
  return recover(Opened, Content.value());
}

} // namespace

std::string segmentPath(const std::string &Folder, std::uint64_t Number) {
  char Name[64];
  std::snprintf(Name, sizeof(Name), "/segment-%012" PRIu64 ".log", Number);
  return Folder + Name;
}

std::string snapshotPath(const std::string &Folder, LogIndex Index) {
  char Name[64];
  std::snprintf(Name, sizeof(Name), "/snapshot-%020" PRIu64 ".snap",
                Index.m_Value);
  return Folder + Name;
}

Status writeSnapshotFile(const std::string &Folder, const Snapshot &Taken,
                         const SyncFunction &Sync) {
  LogRecord Record;
  Record.m_Kind = RecordKind::Snapshot;
  Record.m_EndsBatch = true;
  Record.m_Payload = encodeSnapshot(Taken);
  if (static_cast<std::int64_t>(Record.m_Payload.size()) >
      MaxRecordPayload.m_Value)
    return makeError(ErrorCode::TooLarge, "snapshot is too large");
  std::string Data;
  appendRecord(Data, Record);
  return replaceFile(Folder, snapshotPath("", Taken.m_LastIndex).substr(1),
                     Data, Sync);
}

Result<Snapshot> readSnapshotFile(const std::string &Folder, LogIndex Index,
                                  Bytes &BytesRead) {
  std::string Path = snapshotPath(Folder, Index);
  Result<std::string> Data = readFile(Path);
  if (!Data)
    return Data.error();
  BytesRead = BytesRead + Bytes(static_cast<std::int64_t>(Data.value().size()));
  Result<SegmentScan> Scan = scanSegment(Data.value(), false);
  if (!Scan)
    return damaged(Path, Scan.error().m_Text);
  if (Scan.value().m_Records.size() != 1 ||
      Scan.value().m_Records.front().m_Kind != RecordKind::Snapshot)
    return damaged(Path, "not a snapshot");
  Result<Snapshot> Taken =
      decodeSnapshot(Scan.value().m_Records.front().m_Payload);
  if (!Taken || Taken.value().m_LastIndex != Index)
    return damaged(Path, "not the snapshot that its name says");
  return Taken;
}

Result<OpenedStore> openStore(StoreOptions Options) {
  OpenedStore Opened;
  if (!Options.m_Sync)
    Options.m_Sync = ::fdatasync;
  Opened.m_Store.m_Options = std::move(Options);
  Status Done = openFolder(Opened);
  if (!Done) {
    if (Done.error().m_Code == ErrorCode::Corrupt)
      logEvent(Event::LogDamaged, {{"error", Done.error().m_Text}});
    return Done.error();
  }
  return Opened;
}

} // namespace vanillaferry
