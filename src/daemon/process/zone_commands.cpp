#include "process/command_line.hpp"
#include "process/internal/operator_command.hpp"

#include <iostream>

namespace vanillaferry {

namespace {

using namespace internal;
using nlohmann::json;

/// Other operators may edit the section between the read and the edit.
constexpr int MaxConflicts = 10;

/// Sets a zone's state in the section's content; adds the zone when absent.
void setZone(json &Content, const std::string &Zone, bool InService) {
  for (json &Item : Content["zones"]) {
    if (Item["id"] != Zone)
      continue;
    Item["in_service"] = InService;
    return;
  }
  Content["zones"].push_back({{"id", Zone}, {"in_service", InService}});
}

int changeZone(const OperatorOptions &Options,
               const OperatorCliSettings &Settings, const std::string &Zone,
               bool InService) {
  for (int Try = 0; Try < MaxConflicts; ++Try) {
    OperatorReply Current =
        call(Settings, Options, {"GET", "/document/zones", {}, ""});
    bool Absent = Current.m_HttpStatus == 404;
    if (Current.m_HttpStatus != 200 && !Absent)
      return reportRefusal(Current);
    json Content =
        Absent ? json{{"zones", json::array()}} : Current.m_Body["content"];
    EditInput Edit;
    Edit.m_Section = "zones";
    Edit.m_EditId = newEditId();
    Edit.m_Expected =
        Absent ? 0 : Current.m_Body["version"].get<std::uint64_t>();
    // Sent even without a change: the edit's answer tells when it is in force.
    setZone(Content, Zone, InService);
    Edit.m_Json = Content.dump();
    OperatorReply Reply = sendEdit(Settings, Options, Edit);
    if (Reply.m_HttpStatus != 409)
      return reportEdit(Options, Reply);
  }
  std::cerr << "other edits of the section came first " << MaxConflicts
            << " times; try again\n";
  return ExitConflict;
}

void addZoneCommand(CLI::App &Group, const char *Name, const char *Help,
                    bool InService, int &Code) {
  CLI::App *Command = Group.add_subcommand(Name, Help);
  std::shared_ptr<std::string> Zone = std::make_shared<std::string>();
  Command->add_option("zone", *Zone, "Availability zone")->required();
  std::shared_ptr<OperatorOptions> Options = addOperatorOptions(*Command);
  Command->callback([=, &Code] {
    Code = withSettings(*Options, [&](const OperatorCliSettings &Settings) {
      return changeZone(*Options, Settings, *Zone, InService);
    });
  });
}

} // namespace

void addZoneCommands(CLI::App &App, int &Code) {
  CLI::App *Group =
      App.add_subcommand("zone", "Take an availability zone out of service or "
                                 "bring it back");
  Group->require_subcommand(1);
  addZoneCommand(*Group, "out", "Send no new requests to the zone's targets",
                 false, Code);
  addZoneCommand(*Group, "in", "Send new requests to the zone's targets again",
                 true, Code);
}

} // namespace vanillaferry
