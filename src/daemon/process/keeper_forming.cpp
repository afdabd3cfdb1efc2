#include "process/clock.hpp"
#include "process/command_line.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"

namespace vanillaferry::internal {

namespace {

constexpr Millis ClaimInterval{1000};

void saveOrStop(Keeper &Self) {
  Status Saved = saveFormation(Self.m_Settings.m_DataFolder, Self.m_Formation);
  if (Saved)
    return;
  logEvent(Event::DiskFailed, {{"error", Saved.error().m_Text}});
  stopKeeper(Self, ExitFatal);
}

/// True when Node is another member of the initial set.
bool isInitialMember(const Keeper &Self, const NodeId &Node) {
  for (const InitialKeeper &Member : Self.m_Formation.m_Members)
    if (Member.m_Keeper.m_Value == Node.m_Value &&
        Member.m_Keeper != Self.m_Formation.m_Keeper)
      return true;
  return false;
}

KeeperSet initialSet(const Keeper &Self) {
  KeeperSet Set;
  if (Self.m_Formation.m_State == FormationState::Formed)
    for (const InitialKeeper &Member : Self.m_Formation.m_Members)
      Set.m_Voters.push_back({Member.m_Keeper, Member.m_PeerUrl});
  return Set;
}

ReplicaOptions replicaOptions(const KeeperSettings &Settings) {
  // A follower that misses four to eight heartbeats starts an election.
  constexpr std::int64_t MissedMin = 4;
  constexpr std::int64_t MissedMax = 8;
  ReplicaOptions Options;
  Millis Heartbeat = Settings.m_Heartbeat;
  if (Heartbeat == Millis(0))
    return Options;
  Options.m_HeartbeatInterval = Heartbeat;
  Options.m_ElectionMin = Millis(Heartbeat.m_Value * MissedMin);
  Options.m_ElectionMax = Millis(Heartbeat.m_Value * MissedMax);
  return Options;
}

void completeFormation(Keeper &Self) {
  // The log folder is created before the identity is saved as Formed: a formed
  // keeper without a log folder counts as one that lost its disk.
  Self.m_Formation.m_State = FormationState::Formed;
  startReplica(Self);
  if (Self.m_ExitCode != ExitOk)
    return;
  saveOrStop(Self);
  logEvent(Event::KeeperSetFormed,
           {{"keeper", Self.m_Formation.m_Keeper.m_Value}});
}

} // namespace

std::string logFolder(const KeeperSettings &Settings) {
  return Settings.m_DataFolder + "/log";
}

void startReplica(Keeper &Self) {
  StoreOptions Options;
  Options.m_Folder = logFolder(Self.m_Settings);
  Options.m_Keeper = Self.m_Formation.m_Keeper;
  Result<OpenedStore> Opened = openStore(Options);
  if (!Opened) {
    logEvent(Event::KeeperCannotStart, {{"why", Opened.error().m_Text}});
    return stopKeeper(Self, ExitFatal);
  }
  ReplicaRecovery &Recovery = Opened.value().m_Recovery;
  if (!Recovery.m_VotingAllowed) {
    logEvent(Event::KeeperIdentityRefused,
             {{"keeper", Self.m_Formation.m_Keeper.m_Value},
              {"why", "this disk lost data before; empty the data folder and "
                      "start without --initialize"}});
    return stopKeeper(Self, ExitFatal);
  }
  Recovery.m_InitialSet = initialSet(Self);
  std::optional<HeldBack> Unreadable;
  if (Recovery.m_Snapshot) {
    Result<StateMachine> State = decodeState(Recovery.m_Snapshot->m_Data);
    if (!State && State.error().m_Code == ErrorCode::Unsupported) {
      Unreadable =
          HeldBack{Recovery.m_Snapshot->m_LastIndex, State.error().m_Text};
      State = StateMachine();
    }
    if (!State) {
      logEvent(Event::KeeperCannotStart, {{"why", State.error().m_Text}});
      return stopKeeper(Self, ExitFatal);
    }
    Self.m_State = std::move(State.value());
  }
  Self.m_Replica =
      makeReplica(Self.m_Formation.m_Keeper, replicaOptions(Self.m_Settings),
                  std::move(Recovery), randomSeed(), monotonicNow());
  Mailbox<DiskReport> *Mail = Self.m_DiskMail.get();
  Self.m_Disk = std::make_unique<DiskTask>(
      std::move(Opened.value().m_Store),
      [Mail](DiskReport Report) { Mail->post(std::move(Report)); });
  Self.m_Running = true;
  if (Unreadable)
    holdBackAt(Self, Unreadable->m_Index, Unreadable->m_Why);
  dialKeepers(Self);
}

void claimIdentity(Keeper &Self, Millis Now) {
  if (Self.m_Formation.m_State != FormationState::Forming ||
      Now < Self.m_NextClaim)
    return;
  Self.m_NextClaim = Now + ClaimInterval;
  for (const InitialKeeper &Member : Self.m_Formation.m_Members)
    if (Member.m_Keeper != Self.m_Formation.m_Keeper)
      Self.m_Peers->sendToUrl(
          Member.m_PeerUrl,
          IdentityClaim{Self.m_Formation.m_Keeper, Self.m_Formation.m_Disk,
                        hashInitialSet(Self.m_Formation.m_Members)});
  if (Self.m_Formation.m_Members.size() == 1)
    completeFormation(Self);
}

void onClaim(Keeper &Self, const NodeId &From, const IdentityClaim &Claim) {
  if (Claim.m_Keeper.m_Value != From.m_Value)
    return;
  bool Changed = false;
  IdentityVerdict Verdict = evaluateClaim(Self.m_Formation, Claim, Changed);
  if (Changed) {
    saveOrStop(Self);
    if (Self.m_ExitCode != ExitOk)
      return;
  }
  if (!Verdict.m_Accepted)
    logEvent(Event::KeeperClaimRefused,
             {{"keeper", Claim.m_Keeper.m_Value}, {"why", Verdict.m_Why}});
  Self.m_Peers->send(From, std::move(Verdict));
}

void onVerdict(Keeper &Self, const NodeId &From,
               const IdentityVerdict &Verdict) {
  if (Self.m_Formation.m_State != FormationState::Forming)
    return;
  if (!Verdict.m_Accepted) {
    logEvent(Event::KeeperIdentityRefused,
             {{"keeper", Self.m_Formation.m_Keeper.m_Value},
              {"by", From.m_Value},
              {"why", Verdict.m_Why}});
    return stopKeeper(Self, ExitFatal);
  }
  if (isInitialMember(Self, From) &&
      noteAcceptance(Self.m_Formation, Self.m_AcceptedBy,
                     KeeperId(From.m_Value), Verdict))
    completeFormation(Self);
}

} // namespace vanillaferry::internal
