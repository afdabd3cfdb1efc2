#include "process/bench_router.hpp"
#include "process/bench_sockets.hpp"
#include "process/command_line.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

namespace vanillaferry {

namespace {

constexpr std::int64_t MsPerRequest = 100;
constexpr std::int64_t EndPatienceMs = 10000;
/// More than one, because a place is given back just after the answer's end.
constexpr std::uint32_t Places = 16;

struct DelayFigures {
  std::size_t m_Requests = 0;
  double m_MedianUs = 0;
  double m_95Us = 0;
};

/// Sends requests one after the other from a thread of its own while the main
/// loop serves them; each has a connection of its own.
DelayFigures measureDelay(std::uint16_t Port, std::uint32_t Requests) {
  std::vector<double> Times;
  std::atomic<bool> Ended{false};
  std::string Text = benchRequest();
  std::thread Client([&] {
    for (std::uint32_t I = 0; I < Requests; ++I) {
      double Us = requestTimeUs(Port, Text);
      if (Us >= 0)
        Times.push_back(Us);
    }
    Ended = true;
  });
  runLoopUntil([&Ended] { return Ended.load(); },
               Requests * MsPerRequest + EndPatienceMs);
  Client.join();
  DelayFigures Figures;
  Figures.m_Requests = Times.size();
  if (Times.empty())
    return Figures;
  std::sort(Times.begin(), Times.end());
  Figures.m_MedianUs = Times[Times.size() / 2];
  Figures.m_95Us = Times[Times.size() * 95 / 100];
  return Figures;
}

DelayFigures measureFleet(std::uint16_t EnginePort, std::uint32_t Requests,
                          bool Hop) {
  std::unique_ptr<BenchFleet> Fleet = startBenchFleet(EnginePort, Places, Hop);
  return Fleet ? measureDelay(Fleet->port(), Requests) : DelayFigures();
}

int runDelayBench(std::uint32_t Requests, bool Json) {
  BenchAnswerer Engine;
  DelayFigures Direct = measureDelay(Engine.port(), Requests);
  DelayFigures One = measureFleet(Engine.port(), Requests, false);
  DelayFigures Two = measureFleet(Engine.port(), Requests, true);
  nlohmann::ordered_json Figures;
  Figures["requests"] = Requests;
  Figures["answered_direct"] = Direct.m_Requests;
  Figures["answered_one_node"] = One.m_Requests;
  Figures["answered_two_nodes"] = Two.m_Requests;
  Figures["direct_us_p50"] = Direct.m_MedianUs;
  Figures["added_us_p50_one_node"] = One.m_MedianUs - Direct.m_MedianUs;
  Figures["added_us_p50_two_nodes"] = Two.m_MedianUs - Direct.m_MedianUs;
  Figures["added_us_p95_two_nodes"] = Two.m_95Us - Direct.m_95Us;
  std::cout << Figures.dump(Json ? -1 : 2) << "\n";
  bool Complete = Direct.m_Requests == Requests && One.m_Requests == Requests &&
                  Two.m_Requests == Requests;
  return Complete ? ExitOk : ExitFailed;
}

} // namespace

void addBenchDelayCommand(CLI::App &Bench, int &Code) {
  CLI::App *Command = Bench.add_subcommand(
      "delay", "Time that one router, or an entry router and an owner, add to "
               "a short answer of an engine");
  std::shared_ptr<std::uint32_t> Requests =
      std::make_shared<std::uint32_t>(1000);
  std::shared_ptr<bool> Json = std::make_shared<bool>(false);
  Command->add_option("--requests", *Requests, "Requests for each figure")
      ->check(CLI::PositiveNumber);
  Command->add_flag("--json", *Json, "Print one JSON object");
  Command->callback([Requests, Json, &Code] {
    LogOptions Log;
    Log.m_Level = "error";
    Code = startLog(Log) ? runDelayBench(*Requests, *Json) : ExitFailed;
  });
}

} // namespace vanillaferry
