#include "process/bench_router.hpp"
#include "process/bench_sockets.hpp"
#include "process/clock.hpp"
#include "process/command_line.hpp"
#include "process/file_limit.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

constexpr std::int64_t OpenPatienceMs = 10000;

struct RelayFigures {
  double m_CpuUsPerEvent = 0;
  std::uint64_t m_Events = 0;
};

/// Runs the main loop for the measured time and divides the processor time.
template <typename CpuClock>
RelayFigures measure(const BenchOptions &Options, BenchEngine &Engine,
                     const BenchCallers &Callers, CpuClock Cpu) {
  RelayFigures Figures;
  if (!runLoopUntil([&] { return Engine.streams() >= Options.m_Streams; },
                    OpenPatienceMs))
    return Figures;
  Engine.startPacing();
  runLoopUntil([&] { return Callers.events() > Options.m_EventsPerSecond / 2; },
               OpenPatienceMs);
  double CpuBefore = Cpu();
  std::uint64_t Before = Callers.events();
  Millis Until = monotonicNow() + Millis(Options.m_Seconds * 1000);
  runLoopUntil([Until] { return monotonicNow() >= Until; },
               Options.m_Seconds * std::int64_t(2000));
  Figures.m_Events = Callers.events() - Before;
  if (Figures.m_Events > 0)
    Figures.m_CpuUsPerEvent =
        (Cpu() - CpuBefore) * 1e6 / static_cast<double>(Figures.m_Events);
  return Figures;
}

/// Processor time of the routers with their peer tasks: all of the process but
/// the engine and the callers.
RelayFigures measureRouters(const BenchOptions &Options, bool Hop) {
  BenchEngine Engine(Options);
  std::unique_ptr<BenchFleet> Fleet =
      startBenchFleet(Engine.port(), Options.m_Streams * 2, Hop);
  if (!Fleet)
    return RelayFigures();
  RelayFigures Figures;
  {
    BenchCallers Callers(Options, Fleet->port(), benchRequest());
    Figures = measure(Options, Engine, Callers, [&] {
      return processCpuSeconds() - Engine.cpuSeconds() - Callers.cpuSeconds();
    });
  }
  runLoopUntil([&Fleet] { return Fleet->m_Entry->m_Sessions.empty(); },
               OpenPatienceMs);
  return Figures;
}

RelayFigures measureCopyLoop(const BenchOptions &Options) {
  BenchEngine Engine(Options);
  BenchCopyLoop Loop(Engine.port());
  BenchCallers Callers(Options, Loop.port(), benchRequest());
  return measure(Options, Engine, Callers,
                 [&Loop] { return Loop.cpuSeconds(); });
}

int runRelayBench(const BenchOptions &Options, bool Json) {
  raiseFileLimit();
  RelayFigures Baseline = measureCopyLoop(Options);
  RelayFigures Relay = measureRouters(Options, false);
  RelayFigures Hop = measureRouters(Options, true);
  if (Relay.m_Events == 0 || Baseline.m_Events == 0 || Hop.m_Events == 0) {
    std::cerr << "no events were relayed\n";
    return ExitFailed;
  }
  nlohmann::ordered_json Figures;
  Figures["cpu_us_per_event"] = Relay.m_CpuUsPerEvent;
  Figures["cpu_us_per_event_baseline"] = Baseline.m_CpuUsPerEvent;
  Figures["cpu_us_per_event_two_nodes"] = Hop.m_CpuUsPerEvent;
  Figures["events"] = Relay.m_Events;
  Figures["events_baseline"] = Baseline.m_Events;
  Figures["events_two_nodes"] = Hop.m_Events;
  Figures["streams"] = Options.m_Streams;
  Figures["events_per_second"] =
      static_cast<double>(Relay.m_Events) / Options.m_Seconds;
  std::cout << Figures.dump(Json ? -1 : 2) << "\n";
  return ExitOk;
}

} // namespace

void addBenchRelayCommand(CLI::App &Bench, int &Code) {
  CLI::App *Command = Bench.add_subcommand(
      "relay", "Processor time of one relayed event, in one router and over "
               "two, beside a bare copy loop");
  std::shared_ptr<BenchOptions> Options = std::make_shared<BenchOptions>();
  std::shared_ptr<bool> Json = std::make_shared<bool>(false);
  Command->add_flag("--json", *Json, "Print one JSON object");
  Command->add_option("--streams", Options->m_Streams, "Open streams");
  Command->add_option("--rate", Options->m_EventsPerSecond,
                      "Events per second over all streams");
  Command->add_option("--seconds", Options->m_Seconds, "Measured time");
  Command->callback([Options, Json, &Code] {
    LogOptions Log;
    Log.m_Level = "error";
    Code = startLog(Log) ? runRelayBench(*Options, *Json) : ExitFailed;
  });
}

} // namespace vanillaferry
