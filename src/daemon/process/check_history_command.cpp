#include "process/command_line.hpp"
#include "vanillaferry/process/history.hpp"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace vanillaferry {

namespace {

struct CheckHistoryArguments {
  std::string m_Path;
  HistoryOptions m_Options;
};

int checkHistoryFile(const CheckHistoryArguments &Arguments) {
  std::ifstream File(Arguments.m_Path);
  std::stringstream Text;
  if (!File || !(Text << File.rdbuf())) {
    std::cerr << Arguments.m_Path << ": cannot be read, or is empty\n";
    return ExitInvalidInput;
  }
  Result<History> Lines = parseHistory(Text.str());
  if (!Lines) {
    std::cerr << Arguments.m_Path << ": " << Lines.error() << "\n";
    return ExitInvalidInput;
  }
  std::vector<HistoryViolation> Faults =
      checkHistory(Lines.value(), Arguments.m_Options);
  for (const HistoryViolation &Fault : Faults) {
    std::cout << historyRuleName(Fault.m_Rule) << ": " << Fault.m_Text << "\n";
    for (std::size_t Index : Fault.m_Lines)
      std::cout << "  line " << Lines.value()[Index].m_Number << ": "
                << Lines.value()[Index].m_Text << "\n";
  }
  std::cout << Lines.value().size() << " lines, " << Faults.size()
            << " faults\n";
  return Faults.empty() ? ExitOk : ExitFailed;
}

} // namespace

void addCheckHistoryCommand(CLI::App &App, int &Code) {
  CLI::App *Command = App.add_subcommand(
      "check-history", "Check a recorded history of concurrent operations "
                       "(docs/history.md); exit code 1 on a fault");
  std::shared_ptr<CheckHistoryArguments> Arguments =
      std::make_shared<CheckHistoryArguments>();
  Command->add_option("file", Arguments->m_Path, "JSON lines")->required();
  Command
      ->add_option("--out-of-service-ms",
                   Arguments->m_Options.m_OutOfServiceLimit,
                   "Time after which a zone or VM that is out of service or "
                   "leaving must get no new requests")
      ->capture_default_str();
  Command
      ->add_option("--search-steps", Arguments->m_Options.m_SearchLimit,
                   "Most search steps for one section")
      ->capture_default_str();
  Command->callback(
      [Arguments, &Code] { Code = checkHistoryFile(*Arguments); });
}

} // namespace vanillaferry
