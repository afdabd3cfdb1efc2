#include "process/internal/operator_command.hpp"

#include "process/clock.hpp"
#include "process/command_line.hpp"

#include <glib.h>
#include <iostream>

namespace vanillaferry::internal {

namespace {

constexpr gulong PollMicroseconds = 200 * 1000;

int exitCodeOf(int HttpStatus) {
  switch (HttpStatus) {
  case 0:
    return ExitUnavailable;
  case 409:
    return ExitConflict;
  case 422:
    return ExitInvalidInput;
  default:
    return ExitFailed;
  }
}

} // namespace

std::shared_ptr<OperatorOptions> addOperatorOptions(CLI::App &Command) {
  std::shared_ptr<OperatorOptions> Options =
      std::make_shared<OperatorOptions>();
  Command
      .add_option("--settings", Options->m_SettingsPath,
                  "Settings file of kind \"operator\"")
      ->required();
  Command.add_flag("--json", Options->m_Json, "Print JSON");
  Command
      .add_option("--timeout-ms", Options->m_LimitMs,
                  "Longest time to look for a leader and wait for its answer")
      ->capture_default_str();
  return Options;
}

int withSettings(const OperatorOptions &Options,
                 const std::function<int(const OperatorCliSettings &)> &Body) {
  Result<OperatorCliSettings> Settings =
      loadOperatorCliSettings(Options.m_SettingsPath);
  if (!Settings) {
    std::cerr << Settings.error().m_Text << "\n";
    return ExitInvalidInput;
  }
  return Body(Settings.value());
}

OperatorReply call(const OperatorCliSettings &Settings,
                   const OperatorOptions &Options,
                   const OperatorRequest &Request) {
  return callKeepers(Settings, Request, Millis(Options.m_LimitMs));
}

int reportRefusal(const OperatorReply &Reply) {
  if (Reply.m_HttpStatus == 0) {
    std::cerr << "no leading keeper answered: " << Reply.m_Fault << "\n";
    if (Reply.m_AnswerLost)
      std::cerr << "an answer was lost; a change may have taken effect\n";
    return ExitUnavailable;
  }
  const nlohmann::json &Body = Reply.m_Body;
  if (!Body.is_object()) {
    std::cerr << "HTTP " << Reply.m_HttpStatus << "\n";
    return exitCodeOf(Reply.m_HttpStatus);
  }
  std::cerr << Body.value("error", std::string("error")) << ": "
            << Body.value("message", std::string()) << "\n";
  if (Body.contains("faults"))
    for (const nlohmann::json &Fault : Body["faults"])
      std::cerr << "  " << Fault.get<std::string>() << "\n";
  return exitCodeOf(Reply.m_HttpStatus);
}

std::string newEditId(const char *Prefix) {
  char Text[48];
  snprintf(Text, sizeof Text, "%s-%016llx%08llx", Prefix,
           static_cast<unsigned long long>(randomSeed()),
           static_cast<unsigned long long>(randomSeed() & 0xffffffffULL));
  return Text;
}

OperatorReply sendEdit(const OperatorCliSettings &Settings,
                       const OperatorOptions &Options, const EditInput &Edit) {
  Millis End = monotonicNow() + Millis(Options.m_LimitMs);
  OperatorRequest Request;
  Request.m_Method = "PUT";
  Request.m_Path = "/document/" + Edit.m_Section;
  Request.m_Headers = {{"If-Match", std::to_string(Edit.m_Expected)},
                       {"X-Edit-Id", Edit.m_EditId}};
  Request.m_Body = Edit.m_Json;
  OperatorReply Reply = call(Settings, Options, Request);
  if (Reply.m_HttpStatus != 202)
    return Reply;
  OperatorRequest Poll;
  Poll.m_Path =
      "/in-force/" +
      std::to_string(Reply.m_Body.value("document_version", std::uint64_t(0)));
  while (monotonicNow() < End) {
    g_usleep(PollMicroseconds);
    OperatorReply Now = callKeepers(Settings, Poll, End - monotonicNow());
    if (Now.m_HttpStatus == 200 && Now.m_Body.value("in_force", false)) {
      Reply.m_HttpStatus = 200;
      Reply.m_Body["in_force"] = true;
      break;
    }
  }
  return Reply;
}

int reportEdit(const OperatorOptions &Options, const OperatorReply &Reply) {
  if (Options.m_Json && Reply.m_HttpStatus != 0)
    std::cout << Reply.m_Body.dump(2) << "\n";
  if (Reply.m_HttpStatus == 409 && Reply.m_Body.contains("version")) {
    std::cerr << Reply.m_Body.value("message", std::string())
              << "; the current version is " << Reply.m_Body["version"] << "\n";
    return ExitConflict;
  }
  if (Reply.m_HttpStatus != 200 && Reply.m_HttpStatus != 202)
    return reportRefusal(Reply);
  bool InForce = Reply.m_HttpStatus == 200;
  if (!Options.m_Json) {
    std::cout << Reply.m_Body.value("section", std::string()) << " version "
              << Reply.m_Body["version"] << " accepted";
    if (InForce && Reply.m_Body.contains("in_force_ms"))
      std::cout << ", in force everywhere after " << Reply.m_Body["in_force_ms"]
                << " ms";
    else if (InForce)
      std::cout << ", in force everywhere";
    std::cout << "\n";
  }
  if (!InForce)
    std::cerr << "accepted, but not acknowledged by all routers yet; the edit "
                 "is not rolled back (poll "
              << Reply.m_Location << ")\n";
  return InForce ? ExitOk : ExitFailed;
}

} // namespace vanillaferry::internal
