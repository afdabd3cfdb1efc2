#include "process/keeper.hpp"

#include "connection/platform_protocol.hpp"
#include "process/clock.hpp"
#include "process/command_line.hpp"
#include "process/internal/keeper_api.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"
#include "process/thread_meter.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <glib-unix.h>
#include <iostream>
#include <sys/stat.h>
#include <unistd.h>

namespace vanillaferry {

namespace internal {

namespace {

constexpr guint TickMillis = 20;
/// A whole snapshot may be queued on a link. This is more than a snapshot with
/// half a million journaled calls and their answers of 1 KiB takes.
constexpr Bytes MaxKeeperBuffered{1024LL * 1024 * 1024};

constexpr Millis LinkReportInterval{5000};

void reportLinkLoad(Keeper &Self, Millis Now) {
  if (Now < Self.m_NextLinkReport)
    return;
  Self.m_NextLinkReport = Now + LinkReportInterval;
  PeerCounters Counted = Self.m_Peers->counters();
  const PeerCounters &Before = Self.m_LinksReported;
  logEvent(
      Event::LinkLoad,
      {{"sent_bytes", Counted.m_BytesSent - Before.m_BytesSent},
       {"received_bytes", Counted.m_BytesReceived - Before.m_BytesReceived},
       {"lost_links", Counted.m_LinksLost - Before.m_LinksLost}});
  Self.m_LinksReported = Counted;
}

gboolean onTick(gpointer Data) {
  Keeper &Self = *static_cast<Keeper *>(Data);
  Millis Now = monotonicNow();
  claimIdentity(Self, Now);
  askToJoin(Self, Now);
  if (Self.m_Running)
    perform(Self, tick(Self.m_Replica, Now));
  if (leads(Self))
    tickLeader(Self, Now);
  else
    relayWaitingRenewals(Self, Now);
  readTargetsWhenDue(Self, Now);
  sendChanges(Self, Now);
  relayStreams(Self, Now);
  endOldSearches(Self, Now);
  relayPromptReports(Self, Now);
  announceChanges(Self, Now);
  reportMessageLoad(Self.m_MessageLoad, Now);
  reportLinkLoad(Self, Now);
  return G_SOURCE_CONTINUE;
}

/// The keeper set is part of the log, so new settings need no work here; the
/// default action of SIGHUP would end the process.
gboolean onHangUp(gpointer) {
  logEvent(Event::SettingsReloaded);
  return G_SOURCE_CONTINUE;
}

gboolean onSignal(gpointer Data) {
  Keeper &Self = *static_cast<Keeper *>(Data);
  logEvent(Event::ShutdownRequested);
  g_main_loop_quit(Self.m_Loop);
  return G_SOURCE_CONTINUE;
}

/// Loads the identity or creates one. A Fresh identity without a log was never
/// used in a keeper set and is replaced by a new one.
Status readFormation(Keeper &Self, bool Initialize) {
  const std::string &Folder = Self.m_Settings.m_DataFolder;
  if (::mkdir(Folder.c_str(), 0700) != 0 && errno != EEXIST)
    return makeError(ErrorCode::Io,
                     "cannot create " + Folder + ": " + strerror(errno));
  Result<std::optional<Formation>> Loaded = loadFormation(Folder);
  if (!Loaded)
    return Loaded.error();
  std::string LogIdentity = logFolder(Self.m_Settings) + "/identity.json";
  bool HasLog = ::access(LogIdentity.c_str(), F_OK) == 0;
  bool Known = Loaded.value().has_value();
  if (Known && Loaded.value()->m_State == FormationState::Formed && !HasLog)
    return makeError(ErrorCode::Corrupt,
                     "the log of identity " + Loaded.value()->m_Keeper.m_Value +
                         " is missing in " + Folder +
                         "; empty the folder and start without --initialize");
  if (!Known && HasLog)
    return makeError(ErrorCode::Corrupt,
                     "the identity of the log in " + Folder + " is missing");
  if (Known && (HasLog || Loaded.value()->m_State == FormationState::Forming)) {
    Self.m_Formation = std::move(*Loaded.value());
    return boost::outcome_v2::success();
  }
  Result<Formation> Created =
      createFormation(Self.m_Settings, Initialize, randomSeed());
  if (!Created)
    return Created.error();
  Self.m_Formation = std::move(Created.value());
  logEvent(Event::KeeperIdentityCreated,
           {{"keeper", Self.m_Formation.m_Keeper.m_Value},
            {"initialize", Initialize ? "yes" : "no"}});
  return saveFormation(Folder, Self.m_Formation);
}

Status startPeers(Keeper &Self) {
  PeerOptions Options;
  Options.m_Self = NodeId(Self.m_Formation.m_Keeper.m_Value);
  Options.m_Incarnation = Self.m_Incarnation;
  Options.m_Role = NodeRole::Keeper;
  Options.m_HttpUrl = Self.m_HttpUrl;
  Options.m_ListenAddress = Self.m_Settings.m_Peer.m_Address;
  Options.m_ListenPort = Self.m_Settings.m_Peer.m_Port;
  Options.m_MaxBuffered = MaxKeeperBuffered;
  Mailbox<PeerEvent> *Mail = Self.m_PeerMail.get();
  Mailbox<PeerEvent> *First = Self.m_ReplicaMail.get();
  Result<std::unique_ptr<PeerTask>> Started =
      PeerTask::start(Options, [Mail, First](PeerEvent Event) {
        bool Replication = std::holds_alternative<Replicate>(Event.m_Message);
        (Replication ? First : Mail)->post(std::move(Event));
      });
  if (!Started)
    return Started.error();
  Self.m_Peers = std::move(Started.value());
  // A fresh keeper connects to the others so that their status lists it.
  bool Forming = Self.m_Formation.m_State == FormationState::Forming;
  std::string Own = peerUrlOf(Self.m_Settings.m_Peer);
  for (const InitialKeeper &Member :
       Forming ? Self.m_Formation.m_Members : Self.m_Settings.m_InitialKeepers)
    if (Member.m_PeerUrl != Own &&
        Self.m_Dialled.insert(Member.m_PeerUrl).second)
      Self.m_Peers->connect(Member.m_PeerUrl);
  return boost::outcome_v2::success();
}

/// Starts all tasks; returns the exit code.
int startKeeper(Keeper &Self, bool Initialize) {
  Status Read = readFormation(Self, Initialize);
  if (!Read) {
    bool Settings = Read.error().m_Code == ErrorCode::InvalidSettings;
    logEvent(Event::KeeperCannotStart, {{"why", Read.error().m_Text}});
    return Settings ? ExitInvalidInput : ExitFatal;
  }
  if (Self.m_Formation.m_State != FormationState::Forming &&
      Self.m_Formation.m_Keeper.m_Value.rfind(Self.m_Settings.m_Keeper.m_Value,
                                              0) != 0) {
    logEvent(Event::KeeperCannotStart,
             {{"why", "the data folder belongs to keeper " +
                          Self.m_Formation.m_Keeper.m_Value}});
    return ExitInvalidInput;
  }
  Status Listening = startPeers(Self);
  if (Listening)
    Listening = startApi(Self);
  if (!Listening) {
    logEvent(Event::ListenFailed, {{"why", Listening.error().m_Text}});
    return ExitFailed;
  }
  if (Self.m_Formation.m_State != FormationState::Forming)
    startReplica(Self);
  return Self.m_ExitCode;
}

/// Runs under one identity; returns the exit code. JoinsAnew is set when the
/// identity was removed from the keeper set.
int runIdentity(const KeeperSettings &Settings, bool Initialize,
                const PlatformProtocol *Protocol, bool &JoinsAnew) {
  std::unique_ptr<Keeper> Self = std::make_unique<Keeper>();
  Keeper *Raw = Self.get();
  Self->m_Settings = Settings;
  Self->m_Protocol = Protocol;
  Self->m_HttpUrl = "http://" + Settings.m_Http.m_Address + ":" +
                    std::to_string(Settings.m_Http.m_Port);
  Self->m_Incarnation = Incarnation(randomSeed());
  Self->m_StartedAt = monotonicNow();
  Self->m_SharedTargets.m_Turn.m_NewestAt = Self->m_StartedAt;
  startOrderCounters(Self->m_Metrics);
  Self->m_Loop = g_main_loop_new(nullptr, FALSE);
  Mailbox<PeerEvent>::Handler OnPeerEvent = [Raw](PeerEvent Event) {
    onPeerEvent(*Raw, std::move(Event));
  };
  Self->m_ReplicaMail = std::make_unique<Mailbox<PeerEvent>>(
      nullptr, OnPeerEvent, MailboxOptions{G_PRIORITY_HIGH});
  Self->m_PeerMail = std::make_unique<Mailbox<PeerEvent>>(
      nullptr,
      [Raw](PeerEvent Event) { queuePeerEvent(*Raw, std::move(Event)); },
      MailboxOptions{G_PRIORITY_HIGH});
  Self->m_DiskMail = std::make_unique<Mailbox<DiskReport>>(
      nullptr, [Raw](DiskReport Report) { onDiskReport(*Raw, Report); });
  int Code = startKeeper(*Self, Initialize);
  if (Code == ExitOk) {
    logEvent(Event::ProcessStarted,
             {{"role", "keeper"},
              {"keeper", Self->m_Formation.m_Keeper.m_Value},
              {"version", VANILLAFERRY_VERSION}});
    guint Tick = g_timeout_add(TickMillis, &onTick, Raw);
    guint Term = g_unix_signal_add(SIGTERM, &onSignal, Raw);
    guint Interrupt = g_unix_signal_add(SIGINT, &onSignal, Raw);
    guint HangUp = g_unix_signal_add(SIGHUP, &onHangUp, Raw);
    g_main_loop_run(Self->m_Loop);
    for (guint Source : {Tick, Term, Interrupt, HangUp})
      g_source_remove(Source);
    if (Self->m_InboxScheduled)
      g_source_remove(Self->m_InboxSource);
    if (Self->m_ProposalsScheduled)
      g_source_remove(Self->m_ProposalsSource);
    Code = Self->m_ExitCode;
    logEvent(Event::ProcessStopped, {{"exit_code", Code}});
  }
  JoinsAnew = Self->m_JoinsAnew && Code == ExitOk;
  stopOrderTask(*Self);
  stopApi(*Self);
  Self->m_Peers.reset();
  Self->m_Disk.reset();
  g_main_loop_unref(Self->m_Loop);
  return Code;
}

} // namespace

} // namespace internal

int runKeeper(const KeeperSettings &Settings, bool Initialize,
              const PlatformProtocol *Protocol) {
  ThreadMeter Meter("main");
  for (;;) {
    bool JoinsAnew = false;
    int Code = internal::runIdentity(Settings, Initialize, Protocol, JoinsAnew);
    if (!JoinsAnew)
      return Code;
    Initialize = false;
    Status Aside = setIdentityAside(Settings.m_DataFolder);
    if (!Aside) {
      logEvent(Event::KeeperCannotStart, {{"why", Aside.error().m_Text}});
      return ExitFatal;
    }
  }
}

namespace {

/// When the settings list keeper_addresses in place of initial_keepers, every
/// keeper has "initialize" set, and only those on the list form the first set.
bool mayInitialize(const KeeperSettings &Settings) {
  return Settings.m_Initialize &&
         std::any_of(Settings.m_InitialKeepers.begin(),
                     Settings.m_InitialKeepers.end(),
                     [&Settings](const InitialKeeper &Each) {
                       return Each.m_Keeper == Settings.m_Keeper;
                     });
}

} // namespace

void addKeeperCommand(CLI::App &App, int &Code) {
  CLI::App *Command = App.add_subcommand(
      "keeper", "Run a keeper: replicated log, document, leases and journal");
  std::shared_ptr<std::string> Path = std::make_shared<std::string>();
  std::shared_ptr<bool> Initialize = std::make_shared<bool>(false);
  Command->add_option("--settings", *Path, "Settings file of kind \"keeper\"")
      ->required();
  Command->add_flag(
      "--initialize", *Initialize,
      "On an empty data folder: form the first keeper set together with all "
      "other keepers of initial_keepers. Never use it to replace a lost disk: "
      "without it the keeper starts with a fresh identity and joins by "
      "keeper-set add");
  Command->callback([Path, Initialize, &Code] {
    Result<KeeperSettings> Settings = loadKeeperSettings(*Path);
    if (!Settings) {
      std::cerr << Settings.error().m_Text << "\n";
      Code = ExitInvalidInput;
      return;
    }
    Status Log = startLog(Settings.value().m_Log);
    if (!Log) {
      std::cerr << Log.error().m_Text << "\n";
      Code = ExitInvalidInput;
      return;
    }
    Code = runKeeper(Settings.value(),
                     *Initialize || mayInitialize(Settings.value()),
                     platformProtocol());
  });
}

} // namespace vanillaferry
