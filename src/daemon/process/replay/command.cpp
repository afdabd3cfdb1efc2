#include "process/command_line.hpp"
#include "process/replay/replay.hpp"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

using Json = nlohmann::json;

struct ReplayArguments {
  std::string m_Trace;
  std::string m_Outcomes;
  std::string m_Policy = "vanillaferry";
  double m_Bound = 1.25;
  bool m_Json = false;
  FleetOptions m_Options;
  std::int64_t m_RenewMillis = 333;
  std::int64_t m_WaitPerThousand = 700;
  std::int64_t m_WaitLatency = 900;
  std::int64_t m_WaitBatch = 10000;
};

struct GenerateArguments {
  TraceOptions m_Options;
  std::vector<std::string> m_With;
  std::string m_Out;
};

int runGenerate(GenerateArguments &Arguments) {
  TraceOptions &Options = Arguments.m_Options;
  for (const std::string &Part : Arguments.m_With) {
    Options.m_Auction |= Part == "auction";
    Options.m_Surge |= Part == "surge";
    Options.m_Flaps |= Part == "flaps";
    Options.m_Restarts |= Part == "restarts";
    Options.m_ZoneMove |= Part == "zone";
    Options.m_RouterChurn |= Part == "routers";
  }
  Trace Made = generateTrace(Options);
  if (Arguments.m_Out.empty()) {
    writeTrace(std::cout, Made);
    return ExitOk;
  }
  std::ofstream Out(Arguments.m_Out);
  writeTrace(Out, Made);
  if (Out.flush())
    return ExitOk;
  std::cerr << Arguments.m_Out << ": cannot be written\n";
  return ExitFailed;
}

void print(const Json &Results, bool AsJson) {
  if (AsJson) {
    std::cout << Results.dump() << "\n";
    return;
  }
  for (auto It = Results.begin(); It != Results.end(); ++It)
    std::cout << It.key() << ": " << It.value().dump() << "\n";
}

int checkOutcomes(const std::string &Path, const Json &Results) {
  std::ifstream In(Path);
  Json Outcomes = Json::parse(In, nullptr, false);
  if (!Outcomes.is_object()) {
    std::cerr << Path << ": not a JSON object\n";
    return ExitInvalidInput;
  }
  std::vector<std::string> Missed = missedOutcomes(Outcomes, Results);
  for (const std::string &Fault : Missed)
    std::cerr << "outcome missed: " << Fault << "\n";
  return Missed.empty() ? ExitOk : ExitFailed;
}

int runReplay(ReplayArguments &Arguments) {
  std::optional<ReplayPolicy> Policy = policyByName(Arguments.m_Policy);
  if (!Policy) {
    std::cerr << "unknown policy " << Arguments.m_Policy << "\n";
    return ExitUsage;
  }
  std::ifstream In(Arguments.m_Trace);
  if (!In) {
    std::cerr << Arguments.m_Trace << ": cannot be read\n";
    return ExitInvalidInput;
  }
  Result<Trace> Recorded = readTrace(In);
  if (!Recorded) {
    std::cerr << Arguments.m_Trace << ": " << Recorded.error() << "\n";
    return ExitInvalidInput;
  }
  Arguments.m_Options.m_RenewInterval = Millis(Arguments.m_RenewMillis);
  Arguments.m_Options.m_Placement.m_HolderWaitLatency =
      Millis(Arguments.m_WaitLatency);
  Arguments.m_Options.m_Placement.m_HolderWaitPerThousand =
      Millis(Arguments.m_WaitPerThousand);
  Arguments.m_Options.m_Placement.m_HolderWaitBatch =
      Millis(Arguments.m_WaitBatch);
  Json Results = replayResults(Recorded.value(), *Policy, Arguments.m_Bound,
                               Arguments.m_Options);
  print(Results, Arguments.m_Json);
  return Arguments.m_Outcomes.empty()
             ? ExitOk
             : checkOutcomes(Arguments.m_Outcomes, Results);
}

} // namespace

void addGenerateTraceCommand(CLI::App &App, int &Code) {
  CLI::App *Command = App.add_subcommand(
      "generate-trace", "Write a trace of requests and faults as JSON lines");
  std::shared_ptr<GenerateArguments> Arguments =
      std::make_shared<GenerateArguments>();
  TraceOptions &Options = Arguments->m_Options;
  Command->add_option("--deployment", Options.m_Deployment)
      ->check(CLI::IsMember({"board", "bancas", "pool700"}));
  Command->add_option("--seed", Options.m_Seed);
  Command->add_option("--engines", Options.m_Engines, "Number of engines");
  Command->add_option("--routers", Options.m_Routers, "Number of routers");
  Command->add_option("--minutes", Options.m_Minutes, "Length of the trace");
  Command->add_option("--mean-load", Options.m_MeanLoad,
                      "Mean running requests of an engine");
  Command
      ->add_option("--with", Arguments->m_With,
                   "Parts besides steady load: auction surge flaps restarts "
                   "zone routers")
      ->check(CLI::IsMember(
          {"auction", "surge", "flaps", "restarts", "zone", "routers"}));
  Command->add_option("--out", Arguments->m_Out,
                      "File; standard output if "
                      "not given");
  Command->callback([Arguments, &Code] { Code = runGenerate(*Arguments); });
}

void addReplayCommand(CLI::App &App, int &Code) {
  CLI::App *Command = App.add_subcommand(
      "replay", "Replay a trace through the routing decisions; exit code 1 "
                "when an outcome is missed");
  std::shared_ptr<ReplayArguments> Arguments =
      std::make_shared<ReplayArguments>();
  FleetOptions &Options = Arguments->m_Options;
  Command->add_option("trace", Arguments->m_Trace)->required();
  Command->add_option("--outcomes", Arguments->m_Outcomes,
                      "JSON object of result names with min or max");
  Command->add_option("--policy", Arguments->m_Policy);
  Command->add_option("--bound", Arguments->m_Bound)
      ->check(CLI::Range(1.0, 10.0));
  Command->add_flag("--json", Arguments->m_Json);
  Command->add_option("--ranks", Options.m_Walk.m_Ranks);
  Command->add_option("--any-owners", Options.m_Walk.m_AnyOwners);
  Command->add_option("--inner-margin", Options.m_InnerMargin);
  Command->add_option("--decline-safety", Options.m_Load.m_DeclineSafety);
  Command->add_option("--decline", Options.m_Load.m_DeclinePerSecond);
  Command->add_option("--report-fall", Options.m_Load.m_ReportFall);
  Command->add_option("--renew-ms", Arguments->m_RenewMillis);
  Command->add_option("--decline-sigmas", Options.m_Load.m_DeclineSigmas);
  Command->add_option("--wait-per-thousand", Arguments->m_WaitPerThousand);
  Command->add_option("--wait-latency", Arguments->m_WaitLatency);
  Command->add_option("--wait-batch", Arguments->m_WaitBatch);
  Command->add_option("--export", Options.m_Export,
                      "Chats exported from each leaving engine");
  Command->callback([Arguments, &Code] { Code = runReplay(*Arguments); });
}

} // namespace vanillaferry
