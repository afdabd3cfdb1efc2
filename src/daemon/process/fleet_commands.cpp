#include "process/command_line.hpp"
#include "process/internal/operator_command.hpp"

#include <glib.h>
#include <iostream>

namespace vanillaferry {

namespace {

using namespace internal;
using nlohmann::json;

constexpr Millis LocalStatusLimit{3000};

void printOpenOrders(const json &Body) {
  if (!Body.contains("orders"))
    return;
  for (const json &Order : Body["orders"]["rows"])
    std::cout << "order " << Order.value("order_id", std::string()) << ' '
              << Order.value("action", std::string()) << " to "
              << Order.value("target", std::string()) << ' '
              << Order.value("state", std::string())
              << (Order.contains("waits_for") ? " for " : "")
              << Order.value("waits_for", std::string()) << "\n";
}

void printStatus(const json &Body) {
  std::cout << "leader " << Body.value("leader", std::string()) << ", term "
            << Body["term"] << ", commit " << Body["commit"]
            << ", document version " << Body["document_version"] << ", epoch "
            << Body["epoch"] << "\n";
  if (Body.contains("feature_level"))
    std::cout << "feature level in use " << Body["feature_level"]["in_use"]
              << "\n";
  for (const json &Keeper : Body["keepers"])
    std::cout << "keeper " << Keeper.value("keeper", std::string())
              << (Keeper.value("leads", false)   ? " leads"
                  : Keeper.value("votes", false) ? " votes"
                                                 : " learns")
              << (Keeper.value("connected", false) ? "" : " NOT CONNECTED")
              << (Keeper.value("disk_lost_data", false) ? " DISK LOST DATA"
                                                        : "")
              << " level " << Keeper.value("feature_level", json("?"))
              << " lag " << Keeper.value("lag", json("?")) << "\n";
  for (const json &Waiting : Body["waiting_keepers"])
    std::cout << "keeper " << Waiting.get<std::string>()
              << " waits for keeper-set add\n";
  for (const json &Router : Body["routers"])
    std::cout << "router " << Router.value("node", std::string()) << " zone "
              << Router.value("zone", std::string()) << " lease "
              << Router.value("lease_ms_left", json("?")) << " ms epoch "
              << Router.value("epoch", json("?")) << " document "
              << Router.value("document_version", json("?"))
              << (Router.value("leaving", false) ? " leaving" : "") << "\n";
  printOpenOrders(Body);
  for (const json &Pool : Body["pools"])
    std::cout << "pool " << Pool.value("pool", std::string()) << " running "
              << Pool["running"] << "\n";
}

/// Prints what each keeper knows by itself, for use while no keeper leads.
int showLocalStatus(const OperatorOptions &Options,
                    const OperatorCliSettings &Settings) {
  json All = json::array();
  for (const std::string &Keeper : Settings.m_Keepers) {
    OperatorReply Reply =
        callUrl(Keeper, Settings.m_Token, {"GET", "/status?local=1", {}, ""},
                LocalStatusLimit);
    if (Reply.m_HttpStatus == 200)
      All.push_back(Reply.m_Body);
    else
      std::cerr << Keeper << ": "
                << (Reply.m_HttpStatus == 0
                        ? Reply.m_Fault
                        : "HTTP " + std::to_string(Reply.m_HttpStatus))
                << "\n";
  }
  if (Options.m_Json) {
    std::cout << All.dump(2) << "\n";
    return ExitUnavailable;
  }
  for (const json &Body : All)
    std::cout << "keeper " << Body.value("keeper", std::string()) << " is "
              << Body.value("role", std::string())
              << (Body.contains("holds_back") ? ", HOLDS BACK" : "")
              << ", sees leader \"" << Body.value("leader", std::string())
              << "\", last index " << Body["last_index"] << ", commit "
              << Body["commit"] << "\n";
  return ExitUnavailable;
}

int showStatus(const OperatorOptions &Options,
               const OperatorCliSettings &Settings) {
  OperatorReply Reply = call(Settings, Options, {"GET", "/status", {}, ""});
  if (Reply.m_HttpStatus == 0) {
    std::cerr << "no leading keeper answered; what each keeper knows:\n";
    return showLocalStatus(Options, Settings);
  }
  if (Reply.m_HttpStatus != 200)
    return reportRefusal(Reply);
  if (Options.m_Json)
    std::cout << Reply.m_Body.dump(2) << "\n";
  else
    printStatus(Reply.m_Body);
  return ExitOk;
}

int reportChange(const OperatorOptions &Options, const OperatorReply &Reply) {
  if (Reply.m_HttpStatus != 200)
    return reportRefusal(Reply);
  std::cout << (Options.m_Json ? Reply.m_Body.dump(2) : std::string("done"))
            << "\n";
  return ExitOk;
}

struct KeeperOptions {
  std::string m_Id;
  std::string m_Url;
};

using ChangeBody =
    std::function<int(const OperatorOptions &, const OperatorCliSettings &,
                      const KeeperOptions &)>;

CLI::App *addChangeCommand(CLI::App &Group, const char *Name, const char *Help,
                           std::shared_ptr<KeeperOptions> Input,
                           ChangeBody Body, int &Code) {
  CLI::App *Command = Group.add_subcommand(Name, Help);
  std::shared_ptr<OperatorOptions> Options = addOperatorOptions(*Command);
  Command->add_option("id", Input->m_Id, "Identity, as status shows it")
      ->required();
  Command->callback([=, &Code] {
    Code = withSettings(*Options, [&](const OperatorCliSettings &Settings) {
      return Body(*Options, Settings, *Input);
    });
  });
  return Command;
}

int removeKeeper(const OperatorOptions &Options,
                 const OperatorCliSettings &Settings,
                 const KeeperOptions &Input) {
  OperatorReply Reply =
      call(Settings, Options, {"DELETE", "/keepers/" + Input.m_Id, {}, ""});
  // After a lost answer, 404 means that the request had removed the keeper.
  if (Reply.m_HttpStatus == 404 && Reply.m_AnswerLost) {
    std::cout << "done\n";
    return ExitOk;
  }
  return reportChange(Options, Reply);
}

/// Repeats the request while the learner has not caught up or an earlier change
/// is pending.
int promoteKeeper(const OperatorOptions &Options,
                  const OperatorCliSettings &Settings,
                  const KeeperOptions &Input) {
  gint64 End = g_get_monotonic_time() + Options.m_LimitMs * 1000;
  OperatorReply Reply;
  do {
    Reply = call(Settings, Options,
                 {"POST", "/keepers/" + Input.m_Id + "/promote", {}, ""});
    if (Reply.m_HttpStatus != 409)
      break;
    g_usleep(200 * 1000);
  } while (g_get_monotonic_time() < End);
  return reportChange(Options, Reply);
}

} // namespace

void addFleetCommands(CLI::App &App, int &Code) {
  CLI::App *Status = App.add_subcommand(
      "status", "Keepers, routers, leases, versions and pool totals; without a "
                "leader what each keeper knows (exit code 4)");
  std::shared_ptr<OperatorOptions> StatusOptions = addOperatorOptions(*Status);
  Status->callback([StatusOptions, &Code] {
    Code =
        withSettings(*StatusOptions, [&](const OperatorCliSettings &Settings) {
          return showStatus(*StatusOptions, Settings);
        });
  });
  std::shared_ptr<KeeperOptions> Input = std::make_shared<KeeperOptions>();
  addChangeCommand(
      App, "drain",
      "Give a router's targets to other routers; its running requests finish",
      Input,
      [](const OperatorOptions &Options, const OperatorCliSettings &Settings,
         const KeeperOptions &Input) {
        return reportChange(
            Options,
            call(Settings, Options,
                 {"POST", "/routers/" + Input.m_Id + "/drain", {}, ""}));
      },
      Code);
}

void addKeeperSetCommands(CLI::App &App, int &Code) {
  CLI::App *Group = App.add_subcommand("keeper-set", "Change the keeper set");
  Group->require_subcommand(1);
  std::shared_ptr<KeeperOptions> Input = std::make_shared<KeeperOptions>();
  CLI::App *Add = addChangeCommand(
      *Group, "add", "Add a started keeper as a learner without a vote", Input,
      [](const OperatorOptions &Options, const OperatorCliSettings &Settings,
         const KeeperOptions &Input) {
        json Body = {{"keeper", Input.m_Id}, {"peer_url", Input.m_Url}};
        return reportChange(
            Options,
            call(Settings, Options, {"POST", "/keepers", {}, Body.dump()}));
      },
      Code);
  Add->add_option("peer-url", Input->m_Url, "Its peer address, ws://...")
      ->required();
  addChangeCommand(*Group, "promote",
                   "Give a learner its vote; waits until it has caught up",
                   Input, &promoteKeeper, Code);
  addChangeCommand(
      *Group, "remove",
      "Remove a keeper for good; its identity cannot be used again", Input,
      &removeKeeper, Code);
}

} // namespace vanillaferry
