#include "process/command_line.hpp"

#include "process/settings.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

namespace vanillaferry {

int runCommandLine(int Count, char **Arguments) {
  CLI::App App("vanillaferry: routers and keepers between callers and model "
               "engines or plain services.\n"
               "Exit codes: 0 done, 1 failed, 2 usage, 3 invalid input, "
               "4 no leading keeper answered, 5 conflict, 6 fatal.");
  App.set_version_flag("--version", VANILLAFERRY_VERSION);
  App.require_subcommand(1);
  int Code = ExitOk;
  addBenchCommand(App, Code);
  addKeeperCommand(App, Code);
  addDocumentCommands(App, Code);
  addZoneCommands(App, Code);
  addQuarantineCommands(App, Code);
  addRolloutCommands(App, Code);
  addFleetCommands(App, Code);
  addKeeperSetCommands(App, Code);
  addOrderCommands(App, Code);
  addCheckSettingsCommand(App, Code);
  addCheckHistoryCommand(App, Code);
  addGenerateTraceCommand(App, Code);
  addReplayCommand(App, Code);
  addRouterCommand(App, Code);
  addGatewayCommand(App, Code);
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &E) {
    int Parsed = App.exit(E);
    return Parsed == 0 ? ExitOk : ExitUsage;
  }
  return Code;
}

void addCheckSettingsCommand(CLI::App &App, int &Code) {
  CLI::App *Command = App.add_subcommand(
      "check-settings", "Check settings files and print every fault");
  std::shared_ptr<std::vector<std::string>> Paths =
      std::make_shared<std::vector<std::string>>();
  Command->add_option("files", *Paths, "Settings files")->required();
  Command->callback([Paths, &Code] {
    for (const std::string &Path : *Paths) {
      std::vector<std::string> Faults = checkSettingsFile(Path);
      for (const std::string &Fault : Faults)
        std::cout << Path << ": " << Fault << "\n";
      if (!Faults.empty())
        Code = ExitInvalidInput;
    }
    if (Code == ExitOk)
      std::cout << "settings are valid\n";
  });
}

} // namespace vanillaferry
