#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"
#include "process/command_line.hpp"
#include "process/file_limit.hpp"
#include "process/log.hpp"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <glib-unix.h>
#include <iostream>
#include <memory>

namespace vanillaferry {

namespace {

/// The running process, for its signal handlers.
struct GatewayProcess {
  Gateway m_Gateway;
  std::string m_SettingsFile;
  GMainLoop *m_Loop = nullptr;
};

gboolean onTerminate(gpointer Data) {
  GatewayProcess &Process = *static_cast<GatewayProcess *>(Data);
  Process.m_Gateway.m_OnDrained = [&Process] {
    g_main_loop_quit(Process.m_Loop);
  };
  drainGateway(Process.m_Gateway);
  return G_SOURCE_CONTINUE;
}

/// Adds new keeper addresses; changes of other settings need a restart.
gboolean onHangUp(gpointer Data) {
  GatewayProcess &Process = *static_cast<GatewayProcess *>(Data);
  Result<GatewaySettings> Settings =
      loadGatewaySettings(Process.m_SettingsFile);
  if (Settings)
    addKeeperUrls(Process.m_Gateway.m_Keeper, Settings.value().m_Keepers);
  logEvent(Event::SettingsReloaded,
           {{"fault", Settings ? "" : Settings.error().m_Text}});
  return G_SOURCE_CONTINUE;
}

int runGateway(const std::string &SettingsFile) {
  Result<GatewaySettings> Settings = loadGatewaySettings(SettingsFile);
  if (!Settings) {
    std::cerr << Settings.error().m_Text << "\n";
    return ExitInvalidInput;
  }
  Status Log = startLog(Settings.value().m_Log);
  if (!Log) {
    std::cerr << Log.error().m_Text << "\n";
    return ExitInvalidInput;
  }
  raiseFileLimit();
  std::unique_ptr<GatewayProcess> Process = std::make_unique<GatewayProcess>();
  Process->m_SettingsFile = SettingsFile;
  Status Started =
      startGateway(Process->m_Gateway, Settings.value(), platformProtocol());
  if (!Started) {
    logEvent(Event::ListenFailed, {{"fault", Started.error().m_Text}});
    return ExitFailed;
  }
  logEvent(Event::ProcessStarted,
           {{"role", "gateway"},
            {"node", Process->m_Gateway.m_Settings.m_Node.m_Value},
            {"version", VANILLAFERRY_VERSION}});
  Process->m_Loop = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(SIGTERM, &onTerminate, Process.get());
  g_unix_signal_add(SIGINT, &onTerminate, Process.get());
  g_unix_signal_add(SIGHUP, &onHangUp, Process.get());
  g_main_loop_run(Process->m_Loop);
  logEvent(Event::ProcessStopped);
  // The peer thread must not run while the process's statics are destroyed.
  Process->m_Gateway.m_Peers.reset();
  Process->m_Gateway.m_Tick.stop();
  // Exits without the destructors of statics, which wait for log4cplus's
  // threads; the system closes open sockets.
  std::_Exit(ExitOk);
}

} // namespace

void addGatewayCommand(CLI::App &App, int &Code) {
  CLI::App *Command = App.add_subcommand(
      "gateway", "Serve callers and send their requests to the platform's "
                 "targets");
  std::shared_ptr<std::string> Settings = std::make_shared<std::string>();
  Command->add_option("--settings", *Settings, "Settings file")->required();
  Command->callback([Settings, &Code] { Code = runGateway(*Settings); });
}

} // namespace vanillaferry
