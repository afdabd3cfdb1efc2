#pragma once

namespace CLI {
class App;
}

namespace vanillaferry {

/// Exit codes of every subcommand (docs/OPERATIONS.md).
enum ExitCode : int {
  ExitOk = 0,
  /// The command ran and its check or request failed.
  ExitFailed = 1,
  /// The command line is wrong.
  ExitUsage = 2,
  /// Settings or an input file are invalid.
  ExitInvalidInput = 3,
  /// No keeper answered, or none leads.
  ExitUnavailable = 4,
  /// An edit met another version of its section.
  ExitConflict = 5,
  /// A broken invariant or a failed disk stopped the process.
  ExitFatal = 6,
};

/// Parses the command line and runs one subcommand; returns its exit code.
int runCommandLine(int Count, char **Arguments);

/// Each adds its subcommands; the callback stores the exit code.
void addCheckSettingsCommand(CLI::App &App, int &Code);
void addBenchCommand(CLI::App &App, int &Code);
void addBenchDiskCommand(CLI::App &Bench, int &Code);
void addBenchDecideCommand(CLI::App &Bench, int &Code);
void addBenchStateCommand(CLI::App &Bench, int &Code);
void addBenchRelayCommand(CLI::App &Bench, int &Code);
void addBenchDelayCommand(CLI::App &Bench, int &Code);
void addCheckHistoryCommand(CLI::App &App, int &Code);
void addKeeperCommand(CLI::App &App, int &Code);
void addDocumentCommands(CLI::App &App, int &Code);
void addZoneCommands(CLI::App &App, int &Code);
void addQuarantineCommands(CLI::App &App, int &Code);
void addRolloutCommands(CLI::App &App, int &Code);
void addFleetCommands(CLI::App &App, int &Code);
void addOrderCommands(CLI::App &App, int &Code);
void addKeeperSetCommands(CLI::App &App, int &Code);
void addGenerateTraceCommand(CLI::App &App, int &Code);
void addReplayCommand(CLI::App &App, int &Code);
void addRouterCommand(CLI::App &App, int &Code);
void addGatewayCommand(CLI::App &App, int &Code);

} // namespace vanillaferry
