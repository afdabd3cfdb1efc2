#include "process/bench_disk.hpp"

#include "process/bench_recovery.hpp"
#include "process/clock.hpp"
#include "process/disk_task.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <utility>

namespace vanillaferry {

namespace {

constexpr std::size_t AppendSize = 256;

using Clock = std::chrono::steady_clock;

double microsecondsSince(Clock::time_point Start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - Start)
      .count();
}

Status measureBare(const std::string &Folder, const DiskBenchOptions &Options,
                   DiskBenchFigures &Figures) {
  std::string Path = Folder + "/bare";
  Result<FileHandle> Handle = openForAppend(Path, true);
  if (!Handle)
    return Handle.error();
  std::vector<double> Times;
  std::string Data(AppendSize, 'x');
  for (std::uint64_t I = 0; I < Options.m_BareAppends; ++I) {
    Clock::time_point Start = Clock::now();
    Status Written = writeAll(Handle.value().get(), Data, Path);
    if (!Written)
      return Written;
    if (::fdatasync(Handle.value().get()) != 0)
      return ioError("sync", Path);
    Times.push_back(microsecondsSince(Start));
  }
  if (Times.empty())
    return boost::outcome_v2::success();
  std::sort(Times.begin(), Times.end());
  Figures.m_BareMedianMicroseconds = Times[Times.size() / 2];
  Figures.m_Bare95Microseconds = Times[Times.size() * 95 / 100];
  return boost::outcome_v2::success();
}

/// The newest report of a disk task.
struct LatestReport {
  std::mutex m_Mutex;
  std::condition_variable m_Wake;
  std::uint64_t m_Synced = 0;
  std::optional<Error> m_Error;
};

/// Keeps one append of each caller under way until Count are done.
Status runCallers(DiskTask &Task, LatestReport &Latest, std::uint64_t Callers,
                  std::uint64_t Count) {
  std::uint64_t Submitted = 0;
  std::uint64_t Synced = 0;
  while (Synced < Count) {
    while (Submitted < Count && Submitted - Synced < Callers) {
      DiskWrite Write;
      LogEntry Entry;
      Entry.m_Index = LogIndex(++Submitted);
      Entry.m_Term = Term(1);
      Entry.m_Kind = EntryKind::Command;
      Entry.m_Data = std::string(AppendSize, 'x');
      Write.m_Append.push_back(std::move(Entry));
      Task.submit(std::move(Write));
    }
    std::unique_lock<std::mutex> Guard(Latest.m_Mutex);
    Latest.m_Wake.wait(Guard, [&Latest, Synced] {
      return Latest.m_Error || Latest.m_Synced > Synced;
    });
    if (Latest.m_Error)
      return *Latest.m_Error;
    Synced = Latest.m_Synced;
  }
  return boost::outcome_v2::success();
}

Result<AppendFigures> measureTask(const std::string &Folder,
                                  std::uint64_t Callers, std::uint64_t Count) {
  std::shared_ptr<std::atomic<std::uint64_t>> Syncs =
      std::make_shared<std::atomic<std::uint64_t>>(0);
  StoreOptions Options;
  Options.m_Folder = Folder + "/task" + std::to_string(Callers);
  Options.m_Keeper = KeeperId("bench");
  Options.m_Sync = [Syncs](int Descriptor) {
    ++*Syncs;
    return ::fdatasync(Descriptor);
  };
  Result<OpenedStore> Opened = openStore(std::move(Options));
  if (!Opened)
    return Opened.error();
  LatestReport Latest;
  DiskTask Task(std::move(Opened.value().m_Store),
                [&Latest](DiskReport Report) {
                  std::lock_guard<std::mutex> Guard(Latest.m_Mutex);
                  Latest.m_Synced = Report.m_SyncedTicket;
                  Latest.m_Error = std::move(Report.m_Error);
                  Latest.m_Wake.notify_one();
                });
  *Syncs = 0;
  Clock::time_point Start = Clock::now();
  Status Done = runCallers(Task, Latest, Callers, Count);
  if (!Done)
    return Done.error();
  AppendFigures Figures;
  Figures.m_Callers = Callers;
  double Elapsed = microsecondsSince(Start);
  Figures.m_AppendsPerSecond = static_cast<double>(Count) * 1e6 / Elapsed;
  Figures.m_AppendsPerSync =
      static_cast<double>(Count) /
      static_cast<double>(std::max<std::uint64_t>(1, Syncs->load()));
  return Figures;
}

Status measureAll(const std::string &Folder, const DiskBenchOptions &Options,
                  DiskBenchFigures &Figures) {
  Status Bare = measureBare(Folder, Options, Figures);
  if (!Bare)
    return Bare;
  for (std::uint64_t Callers : {1, 64}) {
    Result<AppendFigures> Row =
        measureTask(Folder, Callers, Options.m_TaskAppends);
    if (!Row)
      return Row.error();
    Figures.m_Appends.push_back(Row.value());
  }
  for (std::uint64_t Entries : Options.m_RecoveryEntries)
    for (RecoveryMode Mode : {RecoveryMode::WholeLog, RecoveryMode::Snapshot,
                              RecoveryMode::SegmentHeads}) {
      Result<RecoveryFigures> Row = measureRecovery(Folder, Entries, Mode);
      if (!Row)
        return Row.error();
      Figures.m_Recoveries.push_back(Row.value());
    }
  return boost::outcome_v2::success();
}

const char *modeName(RecoveryMode Mode) {
  switch (Mode) {
  case RecoveryMode::WholeLog:
    return "whole_log";
  case RecoveryMode::Snapshot:
    return "snapshot";
  case RecoveryMode::SegmentHeads:
    return "segment_heads";
  }
  return "unknown";
}

} // namespace

Result<DiskBenchFigures> runDiskBench(const DiskBenchOptions &Options) {
  std::string Template = Options.m_Folder + "/vanillaferry-bench-XXXXXX";
  if (!::mkdtemp(Template.data()))
    return ioError("create", Template);
  DiskBenchFigures Figures;
  Status Done = measureAll(Template, Options, Figures);
  std::error_code Ignored;
  std::filesystem::remove_all(Template, Ignored);
  if (!Done)
    return Done.error();
  return Figures;
}

std::string diskBenchJson(const DiskBenchFigures &Figures) {
  nlohmann::ordered_json Json;
  Json["bare_append_sync_us"] = {{"median", Figures.m_BareMedianMicroseconds},
                                 {"p95", Figures.m_Bare95Microseconds}};
  Json["disk_task"] = nlohmann::ordered_json::array();
  for (const AppendFigures &Row : Figures.m_Appends)
    Json["disk_task"].push_back({{"callers", Row.m_Callers},
                                 {"appends_per_second", Row.m_AppendsPerSecond},
                                 {"appends_per_sync", Row.m_AppendsPerSync}});
  Json["recovery"] = nlohmann::ordered_json::array();
  for (const RecoveryFigures &Row : Figures.m_Recoveries)
    Json["recovery"].push_back({{"entries", Row.m_Entries},
                                {"mode", modeName(Row.m_Mode)},
                                {"ms", Row.m_Milliseconds},
                                {"encode_ms", Row.m_EncodeMilliseconds},
                                {"store_ms", Row.m_StoreMilliseconds},
                                {"bytes_read", Row.m_BytesRead.m_Value},
                                {"extra_bytes", Row.m_ExtraBytes.m_Value},
                                {"open_calls", Row.m_OpenCalls},
                                {"recorded_answers", Row.m_RecordedAnswers}});
  return Json.dump();
}

} // namespace vanillaferry
