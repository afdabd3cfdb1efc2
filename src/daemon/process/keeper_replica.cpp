#include "process/clock.hpp"
#include "process/command_line.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"
#include "vanillaferry/process/replication_codec.hpp"

#include <algorithm>

namespace vanillaferry::internal {

namespace {

/// Longer messages are sent in parts of this size, so that one frame does not
/// delay the heartbeats of other links and no frame exceeds the limit.
constexpr std::size_t PartBytes = 1024 * 1024;

void sendToKeeper(Keeper &Self, const ReplicaMessage &Message) {
  NodeId To(Message.m_To.m_Value);
  std::string Payload = encodeReplicaMessage(Message);
  if (Payload.size() <= PartBytes) {
    Self.m_Peers->send(To, Replicate{std::move(Payload), 0, 0, 0});
    return;
  }
  std::uint64_t Number = ++Self.m_LastLongMessage;
  std::uint32_t Parts =
      static_cast<std::uint32_t>((Payload.size() + PartBytes - 1) / PartBytes);
  for (std::uint32_t Part = 0; Part < Parts; ++Part)
    Self.m_Peers->send(To,
                       Replicate{Payload.substr(Part * PartBytes, PartBytes),
                                 Number, Part, Parts});
}

/// Submits the writes to the disk task and queues the messages that must not be
/// sent before these are synced.
void persist(Keeper &Self, ReplicaActions &Actions) {
  DiskWrite Write = diskWriteOf(Actions);
  bool Writes = !isEmpty(Write);
  if (Writes)
    Self.m_LastTicket = Self.m_Disk->submit(std::move(Write));
  if (!Actions.m_Append.empty())
    Self.m_HeldSyncs.push_back({Self.m_LastTicket,
                                Actions.m_Append.back().m_Index,
                                Actions.m_Append.back().m_Term});
  else if (Actions.m_InstallSnapshot)
    Self.m_HeldSyncs.push_back({Self.m_LastTicket,
                                Actions.m_InstallSnapshot->m_LastIndex,
                                Actions.m_InstallSnapshot->m_LastTerm});
  for (const ReplicaMessage &Message : Actions.m_Send)
    sendToKeeper(Self, Message);
  if (Actions.m_SendAfterSync.empty())
    return;
  if (Self.m_SyncedTicket >= Self.m_LastTicket)
    for (const ReplicaMessage &Message : Actions.m_SendAfterSync)
      sendToKeeper(Self, Message);
  else
    Self.m_HeldMessages.push_back(
        {Self.m_LastTicket, std::move(Actions.m_SendAfterSync)});
}

bool installState(Keeper &Self, const Snapshot &Taken) {
  // The disk has the snapshot as it came; a newer build reads it.
  if (Self.m_HeldBack)
    return true;
  Result<StateMachine> State = decodeState(Taken.m_Data);
  if (!State && State.error().m_Code == ErrorCode::Unsupported) {
    holdBackAt(Self, Taken.m_LastIndex, State.error().m_Text);
    return true;
  }
  if (!State) {
    logEvent(Event::KeeperInvariantBroken,
             {{"what", "an installed snapshot cannot be read: " +
                           State.error().m_Text}});
    stopKeeper(Self, ExitFatal);
    return false;
  }
  Self.m_State = std::move(State.value());
  logEvent(Event::KeeperSnapshotInstalled,
           {{"index", Taken.m_LastIndex.m_Value}});
  return true;
}

void applyEntry(Keeper &Self, const LogEntry &Entry) {
  if (Self.m_HeldBack)
    return;
  CommandAnswer Answer;
  if (Entry.m_Kind == EntryKind::Command) {
    Result<Command> Input = decodeCommand(Entry.m_Data);
    if (!Input && Input.error().m_Code == ErrorCode::Unsupported)
      return holdBackAt(Self, Entry.m_Index, Input.error().m_Text);
    if (!Input) {
      logEvent(Event::KeeperInvariantBroken,
               {{"what",
                 "a committed entry cannot be read: " + Input.error().m_Text},
                {"index", Entry.m_Index.m_Value}});
      stopKeeper(Self, ExitFatal);
      return;
    }
    Answer = applyCommand(Self.m_State, Entry.m_Index, Input.value());
    const ManifestAnswer *Replaced = std::get_if<ManifestAnswer>(&Answer);
    if (Replaced && Replaced->m_Outcome == ManifestOutcome::InForce)
      rememberManifestChange(Self, std::get<ReplaceManifest>(Input.value()));
    recordQuarantineChange(Self, Input.value());
    recordRolloutChange(Self, Input.value(), Entry.m_Index);
  } else if (Entry.m_Kind == EntryKind::KeeperSet) {
    logEvent(Event::KeeperSetChanged, {{"index", Entry.m_Index.m_Value}});
  }
  addCounter(Self.m_Metrics, "vanillaferry_log_entries_applied_total");
  auto Waiting = Self.m_WaitingForApply.find(Entry.m_Index);
  if (Waiting == Self.m_WaitingForApply.end())
    return;
  WaitingCommand Proposed = std::move(Waiting->second);
  Self.m_WaitingForApply.erase(Waiting);
  // Another leader's entry may have replaced the proposed one at this index.
  Proposed.m_OnApplied(Proposed.m_Term == Entry.m_Term ? &Answer : nullptr);
}

void resetLeaderState(Keeper &Self) {
  stopOrderTask(Self);
  std::map<LogIndex, WaitingCommand> Waiting;
  Waiting.swap(Self.m_WaitingForApply);
  for (std::pair<const LogIndex, WaitingCommand> &Row : Waiting)
    Row.second.m_OnApplied(nullptr);
  std::vector<InForceWait> Waits;
  Waits.swap(Self.m_InForceWaits);
  for (InForceWait &Wait : Waits)
    Wait.m_OnDone(false);
  Self.m_Removing.clear();
  Self.m_Levels.m_Proposed = FeatureLevel(0);
  Self.m_Leases.reset();
  Self.m_Prompts = PromptJudge();
}

void handleLeadershipChange(Keeper &Self, const ReplicaActions &Actions) {
  if (Actions.m_LostLeadership) {
    logEvent(Event::KeeperLostLeadership,
             {{"term", Self.m_Replica.m_Hard.m_Term.m_Value}});
    resetLeaderState(Self);
  }
  if (Actions.m_BecameLeader) {
    logEvent(Event::KeeperLeads,
             {{"term", Self.m_Replica.m_Hard.m_Term.m_Value},
              {"last_index", lastIndex(Self.m_Replica).m_Value}});
    addCounter(Self.m_Metrics, "vanillaferry_keeper_elections_won_total");
    Self.m_NextClock = Millis(0);
    startOrderTask(Self, monotonicNow());
  }
  for (const KeeperId &Lost : Actions.m_RegressedKeepers)
    logEvent(Event::KeeperPeerRegressed, {{"keeper", Lost.m_Value}});
}

void finishReads(Keeper &Self, const std::vector<std::uint64_t> &Tokens,
                 bool Confirmed) {
  for (std::uint64_t Token : Tokens) {
    auto Found = Self.m_Reads.find(Token);
    if (Found == Self.m_Reads.end())
      continue;
    ReadHandler OnConfirmed = std::move(Found->second);
    Self.m_Reads.erase(Found);
    OnConfirmed(Confirmed);
  }
}

void takeSnapshotWhenDue(Keeper &Self) {
  // The state lacks the effect of the entries that were not applied.
  if (Self.m_HeldBack)
    return;
  std::uint64_t Since =
      Self.m_Replica.m_Applied.m_Value - Self.m_Replica.m_SnapshotIndex.m_Value;
  if (Since < Self.m_Settings.m_SnapshotEntries)
    return;
  Snapshot Taken = takeSnapshot(Self.m_Replica, encodeState(Self.m_State));
  DiskWrite Write;
  Write.m_Save = Taken;
  Self.m_LastTicket = Self.m_Disk->submit(std::move(Write));
  compact(Self.m_Replica, std::move(Taken));
  addCounter(Self.m_Metrics, "vanillaferry_snapshots_total");
}

/// True when the process must stop.
bool mustStop(Keeper &Self, const ReplicaActions &Actions) {
  if (Actions.m_BrokenInvariant) {
    logEvent(Event::KeeperInvariantBroken,
             {{"what", *Actions.m_BrokenInvariant}});
    stopKeeper(Self, ExitFatal);
    return true;
  }
  if (Actions.m_DiskRegressed) {
    logEvent(Event::KeeperDiskRegressed,
             {{"keeper", Self.m_Formation.m_Keeper.m_Value}});
    Status Barred =
        barFromVoting(logFolder(Self.m_Settings),
                      [](int Descriptor) { return ::fdatasync(Descriptor); });
    if (!Barred)
      logEvent(Event::DiskFailed, {{"error", Barred.error().m_Text}});
    stopKeeper(Self, ExitFatal);
    return true;
  }
  return false;
}

void performOne(Keeper &Self, ReplicaActions Actions) {
  if (mustStop(Self, Actions))
    return;
  persist(Self, Actions);
  if (Actions.m_InstallSnapshot &&
      !installState(Self, *Actions.m_InstallSnapshot))
    return;
  for (const LogEntry &Entry : Actions.m_Committed)
    applyEntry(Self, Entry);
  // A leader that removed itself answers the operator before it steps down.
  handleLeadershipChange(Self, Actions);
  finishReads(Self, Actions.m_ConfirmedReads, !Self.m_HeldBack);
  finishReads(Self, Actions.m_FailedReads, false);
  // The replica counts the entries of queued actions as applied already; a
  // snapshot taken now would cover their indexes without their effect.
  if (!Actions.m_Committed.empty() && Self.m_ActionQueue.empty())
    takeSnapshotWhenDue(Self);
  dialKeepers(Self);
}

/// The one place at which a command is kept out of the log because a member of
/// the keeper set could not read it.
std::vector<ProposedCommand> takeAllowedProposals(Keeper &Self) {
  std::vector<ProposedCommand> Proposals;
  Proposals.swap(Self.m_Proposals);
  std::vector<ProposedCommand> Allowed;
  for (ProposedCommand &Proposal : Proposals) {
    if (mayPropose(Self, Proposal.m_Command)) {
      Allowed.push_back(std::move(Proposal));
      continue;
    }
    addCounter(Self.m_Metrics, "vanillaferry_commands_below_level_total");
    Proposal.m_OnApplied(nullptr);
  }
  return Allowed;
}

void flushProposals(Keeper &Self) {
  Self.m_ProposalsScheduled = false;
  std::vector<ProposedCommand> Proposals = takeAllowedProposals(Self);
  std::vector<std::string> Encoded;
  for (const ProposedCommand &Proposal : Proposals)
    Encoded.push_back(encodeCommand(Proposal.m_Command));
  std::vector<LogIndex> Indexes;
  ReplicaActions Actions;
  ProposeError Refused = Self.m_Running
                             ? propose(Self.m_Replica, std::move(Encoded),
                                       Indexes, Actions, monotonicNow())
                             : ProposeError::NotLeader;
  for (std::size_t Index = 0; Index < Proposals.size(); ++Index) {
    if (Refused == ProposeError::None)
      awaitApplied(Self, Indexes[Index],
                   std::move(Proposals[Index].m_OnApplied));
    else
      Proposals[Index].m_OnApplied(nullptr);
  }
  perform(Self, std::move(Actions));
}

gboolean onProposals(gpointer Data) {
  flushProposals(*static_cast<Keeper *>(Data));
  return G_SOURCE_REMOVE;
}

} // namespace

void perform(Keeper &Self, ReplicaActions Actions) {
  // Handlers called here may propose or read again; the actions that follow are
  // queued and performed in order, not in the middle of the present ones.
  Self.m_ActionQueue.push_back(std::move(Actions));
  if (Self.m_Performing)
    return;
  Self.m_Performing = true;
  while (!Self.m_ActionQueue.empty() && Self.m_ExitCode == ExitOk) {
    ReplicaActions Next = std::move(Self.m_ActionQueue.front());
    Self.m_ActionQueue.pop_front();
    performOne(Self, std::move(Next));
  }
  Self.m_Performing = false;
}

void onDiskReport(Keeper &Self, const DiskReport &Report) {
  if (Report.m_Error) {
    stopKeeper(Self, ExitFatal);
    return;
  }
  Self.m_SyncedTicket = std::max(Self.m_SyncedTicket, Report.m_SyncedTicket);
  while (!Self.m_HeldMessages.empty() &&
         Self.m_HeldMessages.front().m_Ticket <= Self.m_SyncedTicket) {
    for (const ReplicaMessage &Message : Self.m_HeldMessages.front().m_Messages)
      sendToKeeper(Self, Message);
    Self.m_HeldMessages.pop_front();
  }
  std::optional<HeldSync> Last;
  while (!Self.m_HeldSyncs.empty() &&
         Self.m_HeldSyncs.front().m_Ticket <= Self.m_SyncedTicket) {
    Last = Self.m_HeldSyncs.front();
    Self.m_HeldSyncs.pop_front();
  }
  if (Last)
    perform(Self, synced(Self.m_Replica, Last->m_Index, Last->m_Term,
                         monotonicNow()));
}

void proposeCommand(Keeper &Self, Command Input, AppliedHandler OnApplied) {
  Self.m_Proposals.push_back({std::move(Input), std::move(OnApplied)});
  if (Self.m_ProposalsScheduled)
    return;
  Self.m_ProposalsScheduled = true;
  Self.m_ProposalsSource =
      g_idle_add_full(G_PRIORITY_DEFAULT, &onProposals, &Self, nullptr);
}

void awaitApplied(Keeper &Self, LogIndex Index, AppliedHandler OnApplied) {
  Self.m_WaitingForApply[Index] = {Self.m_Replica.m_Hard.m_Term,
                                   std::move(OnApplied)};
}

void confirmRead(Keeper &Self, ReadHandler OnConfirmed) {
  if (!Self.m_Running) {
    OnConfirmed(false);
    return;
  }
  std::uint64_t Token = Self.m_NextReadToken++;
  Self.m_Reads[Token] = std::move(OnConfirmed);
  ReplicaActions Actions;
  requestRead(Self.m_Replica, Token, Actions, monotonicNow());
  perform(Self, std::move(Actions));
}

void stopKeeper(Keeper &Self, int ExitCode) {
  if (Self.m_ExitCode == ExitOk)
    Self.m_ExitCode = ExitCode;
  g_main_loop_quit(Self.m_Loop);
}

void dialKeepers(Keeper &Self) {
  // A fresh keeper keeps its links to the keepers in its settings until it is a
  // member of a set.
  if (Self.m_DialledSet == Self.m_Replica.m_SetIndex ||
      Self.m_Replica.m_Set.m_Voters.empty())
    return;
  Self.m_DialledSet = Self.m_Replica.m_SetIndex;
  std::set<std::string> Wanted;
  for (const std::vector<KeeperAddress> *Keepers :
       {&Self.m_Replica.m_Set.m_Voters, &Self.m_Replica.m_Set.m_Learners})
    for (const KeeperAddress &Address : *Keepers)
      if (Address.m_Keeper != Self.m_Formation.m_Keeper)
        Wanted.insert(Address.m_PeerUrl);
  for (const std::string &Url : Wanted)
    if (Self.m_Dialled.count(Url) == 0)
      Self.m_Peers->connect(Url);
  for (const std::string &Url : Self.m_Dialled)
    if (Wanted.count(Url) == 0)
      Self.m_Peers->disconnect(Url);
  Self.m_Dialled = std::move(Wanted);
}

} // namespace vanillaferry::internal
