#include "process/bench_sockets.hpp"
#include "process/clock.hpp"
#include "process/command_line.hpp"
#include "process/digest.hpp"
#include "process/file_limit.hpp"
#include "process/lease_client.hpp"
#include "process/router.hpp"
#include "request/entry.hpp"
#include "request/run.hpp"
#include "request/session.hpp"

#include <CLI/CLI.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

constexpr const char *BenchKey = "bench";
constexpr std::int64_t OpenPatienceMs = 10000;

struct RelayFigures {
  double m_CpuUsPerEvent = 0;
  std::uint64_t m_Events = 0;
};

std::string benchRequest() {
  std::string Body =
      R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
         "Authorization: Bearer " +
         std::string(BenchKey) + "\r\nX-Request-Id: bench\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

SectionContent section(const char *Name, const nlohmann::json &Value) {
  return {SectionName(Name), SectionVersion(1), Value.dump()};
}

/// A lease and a document with one engine, as a keeper would grant them.
void grantBench(Router &R, std::uint16_t EnginePort,
                const BenchOptions &Options) {
  using nlohmann::json;
  std::uint32_t Places = Options.m_Streams * 2;
  Grant Granted;
  Granted.m_Sequence = renewalSent(R.m_Lease, monotonicNow());
  Granted.m_Duration = Millis(3600 * 1000);
  Granted.m_Epoch = Epoch(1);
  Granted.m_SafeEpoch = Epoch(1);
  Granted.m_Version = DocumentVersion(1);
  Member Self;
  Self.m_Node = R.m_Settings.m_Node;
  Granted.m_Members.push_back(Self);
  json Target = {{"id", "e1"},
                 {"vm", "v"},
                 {"zone", "z"},
                 {"url", "http://127.0.0.1:" + std::to_string(EnginePort)},
                 {"max_concurrent", Places},
                 {"cold_limit", Places}};
  json Account = {{"id", "bench"},
                  {"api_key_sha256", {sha256Hex(BenchKey)}},
                  {"max_concurrent", Places},
                  {"requests_per_second", Places},
                  {"weight", 1},
                  {"enabled", true}};
  Granted.m_Sections = {
      section("zones", {{"zones", {{{"id", "z"}, {"in_service", true}}}}}),
      section("accounts", {{"accounts", {Account}}}),
      section("services", {{"services",
                            {{{"name", "chat"},
                              {"kind", "engine"},
                              {"bound", 1.25},
                              {"targets", {Target}}}}}}),
      section("model_versions",
              {{"models",
                {{{"name", "m"}, {"version", "1"}, {"service", "chat"}}}}}),
      section("limits", {{"stream_silence_ms", 60000}})};
  Granted.m_Shares.push_back({AccountId("bench"), Places});
  takeGrantMessage(R, Granted);
}

bool waitFor(const std::function<bool()> &Done, std::int64_t PatienceMs) {
  Millis Until = monotonicNow() + Millis(PatienceMs);
  Timer Wake;
  Wake.start(1, [] { return true; });
  while (!Done() && monotonicNow() < Until)
    g_main_context_iteration(nullptr, TRUE);
  return Done();
}

/// Runs the main loop for the measured time and divides the processor time.
template <typename CpuClock>
RelayFigures measure(const BenchOptions &Options, BenchEngine &Engine,
                     const BenchCallers &Callers, CpuClock Cpu) {
  RelayFigures Figures;
  if (Engine.streams() < Options.m_Streams)
    return Figures;
  Engine.startPacing();
  waitFor([&] { return Callers.events() > Options.m_EventsPerSecond / 2; },
          OpenPatienceMs);
  double CpuBefore = Cpu();
  std::uint64_t Before = Callers.events();
  Millis Until = monotonicNow() + Millis(Options.m_Seconds * 1000);
  bool Running = true;
  Timer End;
  End.start((Until - monotonicNow()).m_Value, [&Running] {
    Running = false;
    return false;
  });
  while (Running)
    g_main_context_iteration(nullptr, TRUE);
  Figures.m_Events = Callers.events() - Before;
  if (Figures.m_Events > 0)
    Figures.m_CpuUsPerEvent =
        (Cpu() - CpuBefore) * 1e6 / static_cast<double>(Figures.m_Events);
  return Figures;
}

RelayFigures measureRouter(const BenchOptions &Options) {
  BenchEngine Engine(Options);
  std::unique_ptr<Router> R = std::make_unique<Router>();
  RouterSettings Settings;
  Settings.m_Node = NodeId("bench");
  initializeRouter(*R, Settings);
  R->m_Front = std::move(
      HttpFront::start(
          R->m_Settings.m_Http, R->m_Watcher,
          [&R](std::shared_ptr<Caller> Sender, CallerRequest Request) {
            handleCallerRequest(*R, Sender, std::move(Request));
          },
          [](RefusalReason) {})
          .value());
  grantBench(*R, Engine.port(), Options);
  R->m_Tick.start(TickMs, [&R] {
    tickRouter(*R);
    return true;
  });
  RelayFigures Figures;
  {
    BenchCallers Callers(Options, R->m_Front->port(), benchRequest());
    waitFor([&] { return Engine.streams() == Options.m_Streams; },
            OpenPatienceMs);
    Figures = measure(Options, Engine, Callers, &threadCpuSeconds);
  }
  waitFor([&R] { return R->m_Sessions.empty(); }, OpenPatienceMs);
  return Figures;
}

RelayFigures measureCopyLoop(const BenchOptions &Options) {
  BenchEngine Engine(Options);
  BenchCopyLoop Loop(Engine.port());
  BenchCallers Callers(Options, Loop.port(), benchRequest());
  waitFor([&] { return Engine.streams() == Options.m_Streams; },
          OpenPatienceMs);
  return measure(Options, Engine, Callers,
                 [&Loop] { return Loop.cpuSeconds(); });
}

int runRelayBench(const BenchOptions &Options, bool Json) {
  raiseFileLimit();
  RelayFigures Baseline = measureCopyLoop(Options);
  RelayFigures Relay = measureRouter(Options);
  if (Relay.m_Events == 0 || Baseline.m_Events == 0) {
    std::cerr << "no events were relayed\n";
    return ExitFailed;
  }
  nlohmann::ordered_json Figures;
  Figures["cpu_us_per_event"] = Relay.m_CpuUsPerEvent;
  Figures["cpu_us_per_event_baseline"] = Baseline.m_CpuUsPerEvent;
  Figures["events"] = Relay.m_Events;
  Figures["events_baseline"] = Baseline.m_Events;
  Figures["streams"] = Options.m_Streams;
  Figures["events_per_second"] =
      static_cast<double>(Relay.m_Events) / Options.m_Seconds;
  if (Json)
    std::cout << Figures.dump() << "\n";
  else
    std::cout << Figures.dump(2) << "\n";
  return ExitOk;
}

} // namespace

void addBenchRelayCommand(CLI::App &App, int &Code) {
  CLI::App *Bench = nullptr;
  for (CLI::App *Known : App.get_subcommands(nullptr))
    if (Known->get_name() == "bench")
      Bench = Known;
  if (!Bench)
    Bench = App.add_subcommand("bench", "Measure parts of the system");
  Bench->require_subcommand(1);
  CLI::App *Command = Bench->add_subcommand(
      "relay", "Processor time of one relayed event, beside a bare copy loop");
  std::shared_ptr<BenchOptions> Options = std::make_shared<BenchOptions>();
  std::shared_ptr<bool> Json = std::make_shared<bool>(false);
  Command->add_flag("--json", *Json, "Print one JSON object");
  Command->add_option("--streams", Options->m_Streams, "Open streams");
  Command->add_option("--rate", Options->m_EventsPerSecond,
                      "Events per second over all streams");
  Command->add_option("--seconds", Options->m_Seconds, "Measured time");
  Command->callback(
      [Options, Json, &Code] { Code = runRelayBench(*Options, *Json); });
}

} // namespace vanillaferry
