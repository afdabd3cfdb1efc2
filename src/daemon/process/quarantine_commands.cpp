#include "process/command_line.hpp"
#include "process/internal/operator_command.hpp"

#include <iostream>

namespace vanillaferry {

namespace {

using namespace internal;
using nlohmann::json;

constexpr int HttpOk = 200;

void printPart(const json &Part) {
  std::cout << Part.value("part", std::string()) << ", refused since "
            << Part.value("since_unix_ms", std::int64_t(0))
            << " (Unix ms), targets that ended under it: "
            << Part.value("targets", std::string());
  if (Part.value("on_trial", false))
    std::cout << ", on trial";
  else
    std::cout << ", next trial at "
              << Part.value("trial_at_unix_ms", std::int64_t(0));
  std::cout << "\n";
}

int listParts(const OperatorOptions &Options,
              const OperatorCliSettings &Settings) {
  OperatorReply Reply = call(Settings, Options, {"GET", "/quarantine", {}, ""});
  if (Reply.m_HttpStatus != HttpOk)
    return reportRefusal(Reply);
  if (Options.m_Json) {
    std::cout << Reply.m_Body.dump(2) << "\n";
    return ExitOk;
  }
  for (const json &Part : Reply.m_Body["parts"])
    printPart(Part);
  return ExitOk;
}

int releasePart(const OperatorOptions &Options,
                const OperatorCliSettings &Settings, const std::string &Part) {
  OperatorReply Reply =
      call(Settings, Options, {"DELETE", "/quarantine/" + Part, {}, ""});
  if (Reply.m_HttpStatus != HttpOk)
    return reportRefusal(Reply);
  std::cout << "released " << Part << "\n";
  return ExitOk;
}

void addListCommand(CLI::App &Group, int &Code) {
  CLI::App *Command = Group.add_subcommand("list", "List the refused parts");
  std::shared_ptr<OperatorOptions> Options = addOperatorOptions(*Command);
  Command->callback([Options, &Code] {
    Code = withSettings(*Options, [&](const OperatorCliSettings &Settings) {
      return listParts(*Options, Settings);
    });
  });
}

void addReleaseCommand(CLI::App &Group, int &Code) {
  CLI::App *Command =
      Group.add_subcommand("release", "Send requests with a part again");
  std::shared_ptr<std::string> Part = std::make_shared<std::string>();
  Command->add_option("part", *Part, "Prompt part, as list prints it")
      ->required();
  std::shared_ptr<OperatorOptions> Options = addOperatorOptions(*Command);
  Command->callback([=, &Code] {
    Code = withSettings(*Options, [&](const OperatorCliSettings &Settings) {
      return releasePart(*Options, Settings, *Part);
    });
  });
}

} // namespace

void addQuarantineCommands(CLI::App &App, int &Code) {
  CLI::App *Group = App.add_subcommand(
      "quarantine", "Prompt parts that are refused because engines ended");
  Group->require_subcommand(1);
  addListCommand(*Group, Code);
  addReleaseCommand(*Group, Code);
}

} // namespace vanillaferry
