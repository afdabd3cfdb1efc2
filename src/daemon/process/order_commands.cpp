#include "process/clock.hpp"
#include "process/command_line.hpp"
#include "process/internal/operator_command.hpp"

#include <glib.h>
#include <iostream>

namespace vanillaferry {

namespace {

using namespace internal;
using nlohmann::json;

constexpr gulong PollMicroseconds = 200 * 1000;

struct OrderOptions {
  std::string m_Id;
  std::string m_Action;
  std::string m_Target;
  std::string m_Argument;
  bool m_NoWait = false;
};

void printOrder(const json &Order) {
  std::cout << Order.value("order_id", std::string()) << ' '
            << Order.value("action", std::string()) << ' '
            << Order.value("argument", std::string()) << " to "
            << Order.value("target", std::string()) << ", token "
            << Order.value("fencing_token", std::uint64_t(0)) << ": "
            << Order.value("state", std::string());
  if (Order.contains("waits_for"))
    std::cout << " for " << Order.value("waits_for", std::string());
  if (Order.contains("detail"))
    std::cout << ", " << Order.value("detail", std::string());
  std::cout << "\n";
}

/// Prints the order and returns 0 unless it ended in another way than done.
int reportOrder(const OperatorOptions &Options, const json &Order) {
  if (Options.m_Json)
    std::cout << Order.dump(2) << "\n";
  else
    printOrder(Order);
  bool Bad = Order.value("ended", false) &&
             Order.value("state", std::string()) != "done";
  return Bad ? ExitFailed : ExitOk;
}

int submitOrder(const OperatorOptions &Options,
                const OperatorCliSettings &Settings, OrderOptions Input) {
  Millis End = monotonicNow() + Millis(Options.m_LimitMs);
  if (Input.m_Id.empty())
    Input.m_Id = newEditId("order");
  json Body = {{"target", Input.m_Target},
               {"action", Input.m_Action},
               {"argument", Input.m_Argument}};
  OperatorReply Reply =
      call(Settings, Options,
           {"POST", "/orders", {{"X-Order-Id", Input.m_Id}}, Body.dump()});
  if (Reply.m_HttpStatus != 202) {
    int Code = reportRefusal(Reply);
    if (Code == ExitUnavailable)
      std::cerr << "repeat with --order-id " << Input.m_Id << "\n";
    return Code;
  }
  json Order = Reply.m_Body;
  while (!Input.m_NoWait && !Order.value("ended", false) &&
         monotonicNow() < End) {
    g_usleep(PollMicroseconds);
    OperatorReply Now =
        callKeepers(Settings, {"GET", "/orders/" + Input.m_Id, {}, ""},
                    End - monotonicNow());
    if (Now.m_HttpStatus == 200)
      Order = Now.m_Body;
  }
  int Code = reportOrder(Options, Order);
  if (Input.m_NoWait || Order.value("ended", false))
    return Code;
  std::cerr << "accepted, but not ended yet; see vanillaferry order show "
            << Input.m_Id << "\n";
  return ExitFailed;
}

int showOrder(const OperatorOptions &Options,
              const OperatorCliSettings &Settings, const OrderOptions &Input) {
  OperatorReply Reply =
      call(Settings, Options, {"GET", "/orders/" + Input.m_Id, {}, ""});
  if (Reply.m_HttpStatus != 200)
    return reportRefusal(Reply);
  return reportOrder(Options, Reply.m_Body);
}

int listOrders(const OperatorOptions &Options,
               const OperatorCliSettings &Settings, const OrderOptions &) {
  OperatorReply Reply = call(Settings, Options, {"GET", "/orders", {}, ""});
  if (Reply.m_HttpStatus != 200)
    return reportRefusal(Reply);
  if (Options.m_Json)
    std::cout << Reply.m_Body.dump(2) << "\n";
  else
    for (const json &Order : Reply.m_Body["orders"])
      printOrder(Order);
  return ExitOk;
}

using OrderBody =
    std::function<int(const OperatorOptions &, const OperatorCliSettings &,
                      const OrderOptions &)>;

CLI::App *addOrderCommand(CLI::App &Group, const char *Name, const char *Help,
                          std::shared_ptr<OrderOptions> Input, OrderBody Body,
                          int &Code) {
  CLI::App *Command = Group.add_subcommand(Name, Help);
  std::shared_ptr<OperatorOptions> Options = addOperatorOptions(*Command);
  Command->callback([=, &Code] {
    Code = withSettings(*Options, [&](const OperatorCliSettings &Settings) {
      return Body(*Options, Settings, *Input);
    });
  });
  return Command;
}

} // namespace

void addOrderCommands(CLI::App &App, int &Code) {
  CLI::App *Group = App.add_subcommand(
      "order", "Order engines to load a model, an adapter or "
               "a version, or to change their role");
  Group->require_subcommand(1);
  std::shared_ptr<OrderOptions> Input = std::make_shared<OrderOptions>();
  CLI::App *Submit = addOrderCommand(
      *Group, "submit",
      "Submit an order and wait for its outcome; exit code 0 when done", Input,
      &submitOrder, Code);
  Submit
      ->add_option("action", Input->m_Action,
                   "load_model, load_adapter, load_version or change_role")
      ->required();
  Submit->add_option("target", Input->m_Target, "Engine")->required();
  Submit
      ->add_option("argument", Input->m_Argument,
                   "What to load, or the new role")
      ->required();
  Submit->add_option("--order-id", Input->m_Id,
                     "Id of the order, to repeat one whose answer was lost");
  Submit->add_flag("--no-wait", Input->m_NoWait,
                   "Return when the order is accepted");
  CLI::App *Show = addOrderCommand(*Group, "show",
                                   "Print one order; exit code 1 when it ended "
                                   "otherwise than done",
                                   Input, &showOrder, Code);
  Show->add_option("id", Input->m_Id, "Order id")->required();
  addOrderCommand(*Group, "list", "Print all orders that are kept", Input,
                  &listOrders, Code);
}

} // namespace vanillaferry
