#include "process/bench_disk.hpp"
#include "process/command_line.hpp"
#include "process/log.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>
#include <memory>

namespace vanillaferry {

namespace {

void printText(const DiskBenchFigures &Figures) {
  std::printf("append of 256 bytes and sync: median %.0f us, 95 %% %.0f us\n",
              Figures.m_BareMedianMicroseconds, Figures.m_Bare95Microseconds);
  for (const AppendFigures &Row : Figures.m_Appends)
    std::printf("disk task, %llu callers: %.0f appends per second, %.1f "
                "appends per sync\n",
                static_cast<unsigned long long>(Row.m_Callers),
                Row.m_AppendsPerSecond, Row.m_AppendsPerSync);
  for (const RecoveryFigures &Row : Figures.m_Recoveries) {
    const char *Mode = Row.m_Mode == RecoveryMode::WholeLog   ? "whole log"
                       : Row.m_Mode == RecoveryMode::Snapshot ? "snapshot"
                                                              : "segment heads";
    std::printf("recovery of %llu entries, %s: %.1f ms, %lld bytes read, %lld "
                "extra bytes, %llu open calls, %llu recorded answers\n",
                static_cast<unsigned long long>(Row.m_Entries), Mode,
                Row.m_Milliseconds,
                static_cast<long long>(Row.m_BytesRead.m_Value),
                static_cast<long long>(Row.m_ExtraBytes.m_Value),
                static_cast<unsigned long long>(Row.m_OpenCalls),
                static_cast<unsigned long long>(Row.m_RecordedAnswers));
  }
}

} // namespace

void addBenchDiskCommand(CLI::App &Bench, int &Code) {
  CLI::App *Command = Bench.add_subcommand(
      "disk", "Measure appends, syncs and recovery of the keepers' log");
  std::shared_ptr<DiskBenchOptions> Options =
      std::make_shared<DiskBenchOptions>();
  std::shared_ptr<bool> Json = std::make_shared<bool>(false);
  Command->add_option("--folder", Options->m_Folder,
                      "Existing folder on the disk to measure");
  Command->add_option("--appends", Options->m_TaskAppends,
                      "Appends through the disk task for each figure");
  Command->add_option("--entries", Options->m_RecoveryEntries,
                      "Lengths of the recovered logs");
  Command->add_flag("--json", *Json, "Print one JSON object");
  Command->callback([Options, Json, &Code] {
    LogOptions Log;
    Log.m_Level = "error";
    if (Status Started = startLog(Log); !Started) {
      std::cerr << Started.error().m_Text << "\n";
      Code = ExitFailed;
      return;
    }
    Result<DiskBenchFigures> Figures = runDiskBench(*Options);
    if (!Figures) {
      std::cerr << Figures.error().m_Text << "\n";
      Code = ExitFailed;
    } else if (*Json) {
      std::cout << diskBenchJson(Figures.value()) << "\n";
    } else {
      printText(Figures.value());
    }
  });
}

void addBenchCommand(CLI::App &App, int &Code) {
  CLI::App *Bench = App.add_subcommand("bench", "Measure parts of the system");
  Bench->require_subcommand(1);
  addBenchDiskCommand(*Bench, Code);
  addBenchDecideCommand(*Bench, Code);
  addBenchStateCommand(*Bench, Code);
  addBenchRelayCommand(*Bench, Code);
  addBenchDelayCommand(*Bench, Code);
}

} // namespace vanillaferry
