#include "process/command_line.hpp"
#include "process/internal/operator_command.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

namespace vanillaferry {

namespace {

using namespace internal;
using nlohmann::json;

struct DocumentOptions {
  std::string m_Section;
  std::string m_File;
  std::string m_EditId;
  std::int64_t m_Expected = -1;
};

void printSection(const json &Section) {
  std::cout << Section.value("section", std::string()) << " version "
            << Section["version"] << "\n"
            << Section["content"].dump(2) << "\n";
}

int showDocument(const OperatorOptions &Options,
                 const OperatorCliSettings &Settings) {
  OperatorReply Reply = call(Settings, Options, {"GET", "/document", {}, ""});
  if (Reply.m_HttpStatus != 200)
    return reportRefusal(Reply);
  if (Options.m_Json) {
    std::cout << Reply.m_Body.dump(2) << "\n";
    return ExitOk;
  }
  std::cout << "document version " << Reply.m_Body["version"] << "\n";
  for (const json &Section : Reply.m_Body["sections"])
    printSection(Section);
  return ExitOk;
}

int getSection(const OperatorOptions &Options,
               const OperatorCliSettings &Settings, const std::string &Name) {
  OperatorReply Reply =
      call(Settings, Options, {"GET", "/document/" + Name, {}, ""});
  if (Reply.m_HttpStatus != 200)
    return reportRefusal(Reply);
  if (Options.m_Json)
    std::cout << Reply.m_Body.dump(2) << "\n";
  else
    std::cout << Reply.m_Body["content"].dump(2) << "\n";
  return ExitOk;
}

int showHistory(const OperatorOptions &Options,
                const OperatorCliSettings &Settings, const std::string &Name) {
  OperatorReply Reply = call(Settings, Options,
                             {"GET", "/document/" + Name + "/history", {}, ""});
  if (Reply.m_HttpStatus != 200)
    return reportRefusal(Reply);
  if (Options.m_Json) {
    std::cout << Reply.m_Body.dump(2) << "\n";
    return ExitOk;
  }
  for (const json &Row : Reply.m_Body["history"])
    std::cout << "version " << Row["version"] << " at " << Row["at_unix_ms"]
              << " by " << Row.value("operator", std::string()) << "\n";
  return ExitOk;
}

bool readInput(const std::string &Path, std::string &Text) {
  if (Path == "-") {
    Text.assign(std::istreambuf_iterator<char>(std::cin), {});
    return true;
  }
  std::ifstream File(Path);
  Text.assign(std::istreambuf_iterator<char>(File), {});
  return static_cast<bool>(File);
}

int editSection(const OperatorOptions &Options,
                const OperatorCliSettings &Settings,
                const DocumentOptions &Input) {
  EditInput Edit;
  Edit.m_Section = Input.m_Section;
  Edit.m_EditId = Input.m_EditId.empty() ? newEditId() : Input.m_EditId;
  if (!readInput(Input.m_File, Edit.m_Json)) {
    std::cerr << "cannot read " << Input.m_File << "\n";
    return ExitInvalidInput;
  }
  Edit.m_Expected = static_cast<std::uint64_t>(Input.m_Expected);
  if (Input.m_Expected < 0) {
    OperatorReply Current = call(
        Settings, Options, {"GET", "/document/" + Input.m_Section, {}, ""});
    bool Absent = Current.m_HttpStatus == 404;
    if (Current.m_HttpStatus != 200 && !Absent)
      return reportRefusal(Current);
    Edit.m_Expected =
        Absent ? 0 : Current.m_Body["version"].get<std::uint64_t>();
  }
  OperatorReply Reply = sendEdit(Settings, Options, Edit);
  int Code = reportEdit(Options, Reply);
  if (Code == ExitUnavailable)
    std::cerr << "repeat with --edit-id " << Edit.m_EditId
              << " --expected-version " << Edit.m_Expected << "\n";
  return Code;
}

CLI::App *addSectionCommand(CLI::App &Group, const char *Name, const char *Help,
                            DocumentOptions &Input) {
  CLI::App *Command = Group.add_subcommand(Name, Help);
  Command
      ->add_option("section", Input.m_Section,
                   "accounts, services, model_versions, zones or limits")
      ->required();
  return Command;
}

void addEditCommand(CLI::App &Group, int &Code) {
  std::shared_ptr<DocumentOptions> Input = std::make_shared<DocumentOptions>();
  CLI::App *Edit =
      addSectionCommand(Group, "edit",
                        "Replace a section's content; prints when it is in "
                        "force everywhere",
                        *Input);
  std::shared_ptr<OperatorOptions> Options = addOperatorOptions(*Edit);
  Edit->add_option("file", Input->m_File, "JSON file, or - for standard input")
      ->required();
  Edit->add_option("--expected-version", Input->m_Expected,
                   "Version that the edit replaces; read first when not given. "
                   "Another version is a conflict (exit code 5)");
  Edit->add_option("--edit-id", Input->m_EditId,
                   "Id of the edit, to repeat one whose answer was lost");
  Edit->callback([Input, Options, &Code] {
    Code = withSettings(*Options, [&](const OperatorCliSettings &Settings) {
      return editSection(*Options, Settings, *Input);
    });
  });
}

} // namespace

void addDocumentCommands(CLI::App &App, int &Code) {
  CLI::App *Group =
      App.add_subcommand("document", "Read and edit the document");
  Group->require_subcommand(1);
  CLI::App *Show = Group->add_subcommand("show", "Print all sections");
  std::shared_ptr<OperatorOptions> ShowOptions = addOperatorOptions(*Show);
  Show->callback([ShowOptions, &Code] {
    Code = withSettings(*ShowOptions, [&](const OperatorCliSettings &Settings) {
      return showDocument(*ShowOptions, Settings);
    });
  });
  std::shared_ptr<DocumentOptions> Input = std::make_shared<DocumentOptions>();
  CLI::App *Get =
      addSectionCommand(*Group, "get", "Print a section's content", *Input);
  std::shared_ptr<OperatorOptions> GetOptions = addOperatorOptions(*Get);
  Get->callback([Input, GetOptions, &Code] {
    Code = withSettings(*GetOptions, [&](const OperatorCliSettings &Settings) {
      return getSection(*GetOptions, Settings, Input->m_Section);
    });
  });
  CLI::App *History =
      addSectionCommand(*Group, "history", "List a section's versions", *Input);
  std::shared_ptr<OperatorOptions> HistoryOptions =
      addOperatorOptions(*History);
  History->callback([Input, HistoryOptions, &Code] {
    Code =
        withSettings(*HistoryOptions, [&](const OperatorCliSettings &Settings) {
          return showHistory(*HistoryOptions, Settings, Input->m_Section);
        });
  });
  addEditCommand(*Group, Code);
}

} // namespace vanillaferry
