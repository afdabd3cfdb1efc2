#include "process/bench_recovery.hpp"

#include "process/log_store.hpp"
#include "vanillaferry/process/log_record.hpp"
#include "vanillaferry/process/state_machine.hpp"

#include <chrono>
#include <filesystem>
#include <set>
#include <unistd.h>
#include <utility>

namespace vanillaferry {

namespace {

constexpr std::uint64_t OpenCalls = 64;
constexpr std::uint64_t SnapshotDistance = 100;
constexpr std::int64_t SegmentSize = 8LL * 1024 * 1024;

using Clock = std::chrono::steady_clock;

std::string keyOf(std::uint64_t Call) {
  return "key-" + std::to_string(1000000000 + Call);
}

/// The calls overlap: a call ends when OpenCalls later ones have begun.
Command commandAt(std::uint64_t Index) {
  std::uint64_t Call = Index <= OpenCalls ? Index
                       : (Index - OpenCalls) % 2 == 1
                           ? (Index - OpenCalls + 1) / 2
                           : OpenCalls + (Index - OpenCalls) / 2;
  if (Index > OpenCalls && (Index - OpenCalls) % 2 == 1) {
    JournalEnd End;
    End.m_Request = RequestId("request-" + std::to_string(Call));
    End.m_Account = AccountId("account");
    End.m_Key = IdempotencyKey(keyOf(Call));
    End.m_Node = NodeId("node");
    End.m_Outcome = CallOutcome::Answered;
    End.m_Answer = {200, "application/json", std::string(256, 'a')};
    return End;
  }
  JournalBegin Begin;
  Begin.m_Request = RequestId("request-" + std::to_string(Call));
  Begin.m_Account = AccountId("account");
  Begin.m_Key = IdempotencyKey(keyOf(Call));
  Begin.m_BodyHash = std::string(64, 'b');
  Begin.m_Node = NodeId("node");
  return Begin;
}

LogEntry entryAt(std::uint64_t Index) {
  LogEntry Entry;
  Entry.m_Index = LogIndex(Index);
  Entry.m_Term = Term(1);
  Entry.m_Kind = EntryKind::Command;
  Entry.m_Data = encodeCommand(commandAt(Index));
  return Entry;
}

Status applyEntry(StateMachine &State, const LogEntry &Entry) {
  Result<Command> Input = decodeCommand(Entry.m_Data);
  if (!Input)
    return Input.error();
  applyCommand(State, Entry.m_Index, Input.value());
  return boost::outcome_v2::success();
}

/// Only members may begin calls.
StateMachine initialState() {
  StateMachine State;
  AddMember Joining;
  Joining.m_Member.m_Node = NodeId("node");
  applyCommand(State, LogIndex(0), Joining);
  return State;
}

void count(const Journal &Calls, RecoveryFigures &Figures) {
  for (const std::pair<const JournalKey, JournalEntry> &Row : Calls.m_Entries) {
    Figures.m_OpenCalls += Row.second.m_State == CallState::Running ? 1 : 0;
    Figures.m_RecordedAnswers += Row.second.m_State == CallState::Ended ? 1 : 0;
  }
}

double millisecondsSince(Clock::time_point Start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - Start)
      .count();
}

StoreOptions storeOptions(const std::string &Folder) {
  StoreOptions Options;
  Options.m_Folder = Folder;
  Options.m_Keeper = KeeperId("bench");
  Options.m_SegmentSize = Bytes(SegmentSize);
  return Options;
}

/// Writes the log, and for the snapshot mode the state 100 entries before its
/// end.
Status writeLog(const std::string &Folder, std::uint64_t Entries,
                RecoveryMode Mode, RecoveryFigures &Figures) {
  Result<OpenedStore> Opened = openStore(storeOptions(Folder));
  if (!Opened)
    return Opened.error();
  LogStore &Store = Opened.value().m_Store;
  StateMachine State = initialState();
  DiskWrite Write;
  for (std::uint64_t I = 1; I <= Entries; ++I) {
    Write.m_Append.push_back(entryAt(I));
    if (Mode == RecoveryMode::Snapshot && I + SnapshotDistance <= Entries)
      if (Status Applied = applyEntry(State, Write.m_Append.back()); !Applied)
        return Applied;
    if (Mode == RecoveryMode::Snapshot && I + SnapshotDistance == Entries) {
      Write.m_Save.emplace();
      Write.m_Save->m_LastIndex = LogIndex(I);
      Write.m_Save->m_LastTerm = Term(1);
      Clock::time_point Start = Clock::now();
      Write.m_Save->m_Data = encodeState(State);
      Figures.m_EncodeMilliseconds = millisecondsSince(Start);
      Figures.m_ExtraBytes =
          Bytes(static_cast<std::int64_t>(Write.m_Save->m_Data.size()));
    }
    if (Write.m_Append.size() < 100 && I != Entries && !Write.m_Save)
      continue;
    std::vector<DiskWrite> Writes;
    Writes.push_back(std::move(Write));
    Write = DiskWrite();
    Clock::time_point Start = Clock::now();
    if (Status Written = writeToStore(Store, Writes); !Written)
      return Written;
    if (Writes.front().m_Save)
      Figures.m_StoreMilliseconds = millisecondsSince(Start);
  }
  return syncStore(Store);
}

Status recoverStore(const std::string &Folder, RecoveryFigures &Figures) {
  Clock::time_point Start = Clock::now();
  Result<OpenedStore> Opened = openStore(storeOptions(Folder));
  if (!Opened)
    return Opened.error();
  StateMachine State = initialState();
  const ReplicaRecovery &Recovery = Opened.value().m_Recovery;
  LogIndex After;
  if (Recovery.m_Snapshot) {
    Result<StateMachine> Stored = decodeState(Recovery.m_Snapshot->m_Data);
    if (!Stored)
      return Stored.error();
    State = std::move(Stored.value());
    After = Recovery.m_Snapshot->m_LastIndex;
  }
  for (const LogEntry &Entry : Recovery.m_Entries)
    if (Entry.m_Index > After)
      if (Status Applied = applyEntry(State, Entry); !Applied)
        return Applied;
  Figures.m_Milliseconds = millisecondsSince(Start);
  Figures.m_BytesRead = Opened.value().m_Report.m_BytesRead;
  count(State.m_Journal, Figures);
  return boost::outcome_v2::success();
}

/// The whole begin of each unfinished call, since recovery reads nothing older.
std::string openKeysPayload(const std::set<std::uint64_t> &Open) {
  std::string Payload;
  for (std::uint64_t Index : Open)
    appendRecord(Payload,
                 {RecordKind::Entry, 1, true, encodeEntry(entryAt(Index))});
  return Payload;
}

/// Follows which begins are unfinished after an entry.
void trackOpen(std::set<std::uint64_t> &Open, std::uint64_t Index) {
  Command Input = commandAt(Index);
  if (std::holds_alternative<JournalBegin>(Input)) {
    Open.insert(Index);
    return;
  }
  std::uint64_t Call = (Index - OpenCalls + 1) / 2;
  Open.erase(Call <= OpenCalls ? Call : OpenCalls + 2 * (Call - OpenCalls));
}

Status writeWithHeads(const std::string &Folder, std::uint64_t Entries,
                      std::string &LastPath, RecoveryFigures &Figures) {
  std::set<std::uint64_t> Open;
  std::string Data;
  std::uint64_t Segment = 0;
  std::filesystem::create_directory(Folder);
  for (std::uint64_t I = 1; I <= Entries; ++I) {
    if (Data.empty()) {
      appendRecord(Data,
                   {RecordKind::OpenKeys, I, true, openKeysPayload(Open)});
      Figures.m_ExtraBytes =
          Figures.m_ExtraBytes + Bytes(static_cast<std::int64_t>(Data.size()));
    }
    appendRecord(Data, {RecordKind::Entry, I, true, encodeEntry(entryAt(I))});
    trackOpen(Open, I);
    if (static_cast<std::int64_t>(Data.size()) < SegmentSize && I != Entries)
      continue;
    LastPath = Folder + "/segment-" + std::to_string(++Segment);
    Result<FileHandle> Handle = openForAppend(LastPath, true);
    if (!Handle)
      return Handle.error();
    if (Status Written = writeAll(Handle.value().get(), Data, LastPath);
        !Written)
      return Written;
    Data.clear();
  }
  return boost::outcome_v2::success();
}

Status recoverFromHead(const std::string &LastPath, RecoveryFigures &Figures) {
  std::size_t Slash = LastPath.rfind('/');
  Clock::time_point Start = Clock::now();
  Result<std::string> Data = readFile(LastPath);
  if (!Data)
    return Data.error();
  Figures.m_BytesRead = Bytes(static_cast<std::int64_t>(Data.value().size()));
  Result<SegmentScan> Scan = scanSegment(Data.value(), true);
  if (!Scan)
    return Scan.error();
  StateMachine State = initialState();
  for (const LogRecord &Record : Scan.value().m_Records) {
    std::vector<LogRecord> Parts = {Record};
    if (Record.m_Kind == RecordKind::OpenKeys) {
      Result<SegmentScan> Keys = scanSegment(Record.m_Payload, false);
      if (!Keys)
        return Keys.error();
      Parts = std::move(Keys.value().m_Records);
    }
    for (const LogRecord &Part : Parts) {
      Result<LogEntry> Entry = decodeEntry(Part.m_Payload);
      if (!Entry)
        return Entry.error();
      if (Status Applied = applyEntry(State, Entry.value()); !Applied)
        return Applied;
    }
  }
  // As the log store does with its last segment.
  Status Rewritten =
      replaceFile(LastPath.substr(0, Slash), LastPath.substr(Slash + 1),
                  Data.value(), ::fdatasync);
  if (!Rewritten)
    return Rewritten;
  Figures.m_Milliseconds = millisecondsSince(Start);
  count(State.m_Journal, Figures);
  return boost::outcome_v2::success();
}

} // namespace

Result<RecoveryFigures> measureRecovery(const std::string &Folder,
                                        std::uint64_t Entries,
                                        RecoveryMode Mode) {
  RecoveryFigures Figures;
  Figures.m_Entries = Entries;
  Figures.m_Mode = Mode;
  std::string Path = Folder + "/recovery-" + std::to_string(Entries) + "-" +
                     std::to_string(static_cast<int>(Mode));
  Status Done = boost::outcome_v2::success();
  if (Mode == RecoveryMode::SegmentHeads) {
    std::string LastPath;
    Done = writeWithHeads(Path, Entries, LastPath, Figures);
    if (Done)
      Done = recoverFromHead(LastPath, Figures);
  } else {
    Done = writeLog(Path, Entries, Mode, Figures);
    if (Done)
      Done = recoverStore(Path, Figures);
  }
  std::error_code Ignored;
  std::filesystem::remove_all(Path, Ignored);
  if (!Done)
    return Done.error();
  return Figures;
}

} // namespace vanillaferry
