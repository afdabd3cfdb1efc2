#include "process/command_line.hpp"
#include "process/file_limit.hpp"
#include "process/recorder.hpp"
#include "process/router.hpp"

#include <CLI/CLI.hpp>
#include <glib-unix.h>
#include <iostream>
#include <memory>

namespace vanillaferry {

namespace {

/// The running process, for its signal handlers.
struct RouterProcess {
  Router m_Router;
  GMainLoop *m_Loop = nullptr;
  int m_Code = ExitOk;
};

gboolean onTerminate(gpointer Data) {
  RouterProcess &Process = *static_cast<RouterProcess *>(Data);
  if (Process.m_Router.m_Draining) {
    // The second signal ends the process at once.
    Process.m_Code = ExitFailed;
    g_main_loop_quit(Process.m_Loop);
    return G_SOURCE_CONTINUE;
  }
  Process.m_Router.m_OnDrained = [&Process] {
    g_main_loop_quit(Process.m_Loop);
  };
  drainRouter(Process.m_Router);
  return G_SOURCE_CONTINUE;
}

int runRouter(const std::string &SettingsFile, const std::string &Record) {
  Result<RouterSettings> Settings = loadRouterSettings(SettingsFile);
  if (!Settings) {
    std::cerr << Settings.error().m_Text << "\n";
    return ExitInvalidInput;
  }
  if (!Record.empty())
    Settings.value().m_Record = Record;
  Status Log = startLog(Settings.value().m_Log);
  if (!Log) {
    std::cerr << Log.error().m_Text << "\n";
    return ExitInvalidInput;
  }
  raiseFileLimit();
  std::unique_ptr<RouterProcess> Process = std::make_unique<RouterProcess>();
  initializeRouter(Process->m_Router, Settings.value());
  Status Started = startRouter(Process->m_Router);
  if (!Started) {
    logEvent(Event::ListenFailed, {{"fault", Started.error().m_Text}});
    return ExitFailed;
  }
  logEvent(Event::ProcessStarted,
           {{"role", "router"}, {"version", VANILLAFERRY_VERSION}});
  Process->m_Loop = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(SIGTERM, &onTerminate, Process.get());
  g_unix_signal_add(SIGINT, &onTerminate, Process.get());
  g_main_loop_run(Process->m_Loop);
  logEvent(Event::ProcessStopped);
  int Code = Process->m_Code;
  // The end of the process releases sockets, threads and memory; after a second
  // signal open streams are cut on purpose.
  std::cout.flush();
  std::cerr.flush();
  closeRecord(Process->m_Router);
  Process.release();
  return Code;
}

} // namespace

void addRouterCommand(CLI::App &App, int &Code) {
  CLI::App *Command = App.add_subcommand(
      "router",
      "Run a router: serve callers and dispatch their requests to the "
      "targets it owns");
  std::shared_ptr<std::string> Settings = std::make_shared<std::string>();
  std::shared_ptr<std::string> Record = std::make_shared<std::string>();
  Command->add_option("--settings", *Settings, "Settings file")->required();
  Command->add_option("--record", *Record, "Write a trace to this file");
  Command->callback(
      [Settings, Record, &Code] { Code = runRouter(*Settings, *Record); });
}

} // namespace vanillaferry
