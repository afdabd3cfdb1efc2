#include "process/command_line.hpp"
#include "process/internal/operator_command.hpp"

#include <chrono>
#include <iostream>
#include <thread>

namespace vanillaferry {

namespace {

using namespace internal;
using nlohmann::json;

constexpr int HttpOk = 200;
constexpr std::chrono::milliseconds WatchInterval{500};

void printRollout(const OperatorOptions &Options, const std::string &Service,
                  const json &Rollout) {
  if (Options.m_Json)
    std::cout << Rollout.dump() << std::endl;
  else
    std::cout << Service << ": " << Rollout.value("target", std::string())
              << " " << Rollout.value("state", std::string()) << std::endl;
}

struct RolloutInput {
  std::string m_Service;
  std::string m_Version;
  double m_DurationSeconds = 0;
};

int startRollout(const OperatorOptions &Options,
                 const OperatorCliSettings &Settings,
                 const RolloutInput &Input) {
  json Body = {{"service", Input.m_Service},
               {"target", Input.m_Version},
               {"duration_s", Input.m_DurationSeconds}};
  OperatorReply Reply =
      call(Settings, Options, {"POST", "/rollouts", {}, Body.dump()});
  if (Reply.m_HttpStatus != HttpOk)
    return reportRefusal(Reply);
  printRollout(Options, Input.m_Service, Reply.m_Body);
  return ExitOk;
}

/// Prints each change of the state until the rollout has ended; a rollback
/// counts as a failure.
int watchRollout(const OperatorOptions &Options,
                 const OperatorCliSettings &Settings,
                 const std::string &Service) {
  std::string Last;
  for (;;) {
    OperatorReply Reply =
        call(Settings, Options, {"GET", "/rollouts/" + Service, {}, ""});
    if (Reply.m_HttpStatus != HttpOk)
      return reportRefusal(Reply);
    std::string State = Reply.m_Body.value("state", std::string());
    if (State != Last)
      printRollout(Options, Service, Reply.m_Body);
    Last = State;
    if (State != "running")
      return State == "completed" ? ExitOk : ExitFailed;
    std::this_thread::sleep_for(WatchInterval);
  }
}

void addStartCommand(CLI::App &Group, int &Code) {
  CLI::App *Command = Group.add_subcommand(
      "start", "Move a service's traffic to another software version");
  std::shared_ptr<RolloutInput> Input = std::make_shared<RolloutInput>();
  Command->add_option("service", Input->m_Service, "Service")->required();
  Command->add_option("version", Input->m_Version, "New software version")
      ->required();
  Command
      ->add_option("--duration-s", Input->m_DurationSeconds,
                   "Seconds until the time limit")
      ->required();
  std::shared_ptr<OperatorOptions> Options = addOperatorOptions(*Command);
  Command->callback([=, &Code] {
    Code = withSettings(*Options, [&](const OperatorCliSettings &Settings) {
      return startRollout(*Options, Settings, *Input);
    });
  });
}

void addWatchCommand(CLI::App &Group, int &Code) {
  CLI::App *Command = Group.add_subcommand(
      "watch", "Print the state of a service's rollout until it ends");
  std::shared_ptr<std::string> Service = std::make_shared<std::string>();
  Command->add_option("service", *Service, "Service")->required();
  std::shared_ptr<OperatorOptions> Options = addOperatorOptions(*Command);
  Command->callback([=, &Code] {
    Code = withSettings(*Options, [&](const OperatorCliSettings &Settings) {
      return watchRollout(*Options, Settings, *Service);
    });
  });
}

} // namespace

void addRolloutCommands(CLI::App &App, int &Code) {
  CLI::App *Group =
      App.add_subcommand("rollout", "Rollouts of new software versions");
  Group->require_subcommand(1);
  addStartCommand(*Group, Code);
  addWatchCommand(*Group, Code);
}

} // namespace vanillaferry
