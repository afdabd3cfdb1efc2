#include "ReplicationHarness.hpp"

#include <algorithm>

namespace replication_test {

namespace {

/// Time of one step in simulated milliseconds.
constexpr std::int64_t StepTime = 10;

/// Last entry of a write.
struct WrittenPosition {
  LogIndex m_Index;
  Term m_Term;
};

LogIndex lastOf(const DurableState &Disk) {
  return LogIndex(Disk.m_Start.m_Value + Disk.m_Log.size());
}

void truncate(DurableState &Disk, LogIndex From) {
  if (From <= lastOf(Disk) && From > Disk.m_Start)
    Disk.m_Log.resize(From.m_Value - Disk.m_Start.m_Value - 1);
}

/// Applies a write; of a torn one only some entries arrive.
void applyWrite(DurableState &Disk, const PendingWrite &Write,
                std::size_t Entries) {
  const ReplicaActions &Actions = Write.m_Actions;
  if (Actions.m_PersistHard)
    Disk.m_Hard = *Actions.m_PersistHard;
  if (Actions.m_InstallSnapshot) {
    Disk.m_Snapshot = Actions.m_InstallSnapshot;
    Disk.m_Start = Disk.m_Snapshot->m_LastIndex;
    Disk.m_Log.clear();
  }
  if (Actions.m_TruncateFrom)
    truncate(Disk, *Actions.m_TruncateFrom);
  for (std::size_t I = 0; I < Entries && I < Actions.m_Append.size(); ++I)
    Disk.m_Log.push_back(Actions.m_Append[I]);
  if (Write.m_Save && (!Disk.m_Snapshot || Disk.m_Snapshot->m_LastIndex <
                                               Write.m_Save->m_LastIndex))
    Disk.m_Snapshot = Write.m_Save;
}

} // namespace

Cluster::Cluster(std::uint64_t Seed, std::size_t Voters) : m_Random(Seed) {
  m_Options.m_ElectionMin = Millis(150);
  // A long maximum lets a partitioned leader keep its role for longer.
  m_Options.m_ElectionMax = Millis(pick(200, 800));
  m_Options.m_HeartbeatInterval = Millis(30);
  m_Options.m_MaxEntriesPerMessage = static_cast<std::size_t>(pick(1, 8));
  m_Options.m_MaxUnacknowledged = static_cast<std::uint64_t>(pick(1, 32));
  m_Options.m_RetainedEntries = static_cast<std::uint64_t>(pick(0, 8));
  m_Options.m_LearnerLag = static_cast<std::uint64_t>(pick(0, 4));
  m_Options.m_SnapshotResend = Millis(200);
  m_Options.m_SnapshotPart = Bytes(pick(2, 24));
  startVoters(Voters);
}

Cluster::Cluster(std::uint64_t Seed, std::size_t Voters, ReplicaOptions Options)
    : m_Random(Seed), m_Options(Options) {
  startVoters(Voters);
}

void Cluster::startVoters(std::size_t Voters) {
  KeeperSet Initial;
  for (std::size_t I = 0; I < Voters; ++I) {
    std::string Id = "k" + std::to_string(I + 1);
    Initial.m_Voters.push_back({KeeperId(Id), Id});
  }
  m_CommittedSet = Initial;
  for (const KeeperAddress &Address : Initial.m_Voters) {
    Keeper &Added = addKeeper(Address.m_Keeper.m_Value);
    Added.m_InitialSet = Initial;
    start(Added);
  }
  m_NextKeeper = Voters + 1;
}

bool Cluster::chance(int PerThousand) { return pick(0, 999) < PerThousand; }

std::int64_t Cluster::pick(std::int64_t Low, std::int64_t High) {
  return Low + static_cast<std::int64_t>(
                   m_Random() % static_cast<std::uint64_t>(High - Low + 1));
}

void Cluster::fail(const std::string &What) {
  if (m_Violation.empty())
    m_Violation = "at " + std::to_string(m_Now) + " ms: " + What;
}

Millis Cluster::localNow(const Keeper &At) const {
  return Millis(At.m_ClockOffset + m_Now * At.m_ClockRate / 1000);
}

Keeper &Cluster::addKeeper(const std::string &Id) {
  Keeper &Added = m_Keepers[KeeperId(Id)];
  Added.m_Id = KeeperId(Id);
  Added.m_ClockOffset = pick(0, 100000);
  Added.m_ClockRate = pick(980, 1020);
  start(Added);
  return Added;
}

void Cluster::start(Keeper &At) {
  ReplicaRecovery Recovery;
  Recovery.m_Hard = At.m_Disk.m_Hard;
  Recovery.m_Snapshot = At.m_Disk.m_Snapshot;
  Recovery.m_Entries = At.m_Disk.m_Log;
  Recovery.m_InitialSet = At.m_InitialSet;
  Recovery.m_VotingAllowed = At.m_VotingAllowed;
  At.m_Replica = makeReplica(At.m_Id, m_Options, std::move(Recovery),
                             m_Random(), localNow(At));
  At.m_Applied = LogIndex(0);
  At.m_StateHash = 0;
  if (At.m_Disk.m_Snapshot) {
    At.m_Applied = At.m_Disk.m_Snapshot->m_LastIndex;
    At.m_StateHash = std::stoull(At.m_Disk.m_Snapshot->m_Data);
  }
  At.m_Running = true;
  At.m_FrozenUntil = 0;
  ++At.m_Boot;
}

void Cluster::crash(Keeper &At) {
  At.m_Running = false;
  At.m_OpenReads.clear();
  // Part of the unsynced writes may have reached the disk nevertheless.
  while (!At.m_Unsynced.empty() && chance(500)) {
    PendingWrite &Write = At.m_Unsynced.front();
    std::size_t Entries = Write.m_Actions.m_Append.size();
    if (chance(300)) {
      Write.m_Save.reset();
      applyWrite(At.m_Disk, Write,
                 static_cast<std::size_t>(
                     pick(0, static_cast<std::int64_t>(Entries))));
      break;
    }
    applyWrite(At.m_Disk, Write, Entries);
    At.m_Unsynced.pop_front();
  }
  At.m_Unsynced.clear();
  ++m_Coverage.m_Crashes;
}

void Cluster::restart(Keeper &At) {
  DurableState &Disk = At.m_Disk;
  // The log continues after the snapshot, as in the log store.
  if (Disk.m_Snapshot && lastOf(Disk) < Disk.m_Snapshot->m_LastIndex) {
    Disk.m_Log.clear();
    Disk.m_Start = Disk.m_Snapshot->m_LastIndex;
  }
  start(At);
}

void Cluster::loseDisk(Keeper &At) {
  At.m_LostDisk = std::move(At.m_Disk);
  At.m_Disk = DurableState();
  At.m_Running = false;
  At.m_DiskLost = true;
  At.m_Unsynced.clear();
  At.m_OpenReads.clear();
  ++m_Coverage.m_DiskLosses;
}

void Cluster::freeze(Keeper &At, std::int64_t Duration) {
  At.m_FrozenUntil = m_Now + Duration;
  ++m_Coverage.m_Freezes;
}

void Cluster::isolate(const KeeperId &Id) {
  for (const std::pair<const KeeperId, Keeper> &Other : m_Keepers)
    if (Other.first != Id) {
      m_Cuts.insert({Id, Other.first});
      m_Cuts.insert({Other.first, Id});
    }
  ++m_Coverage.m_Cuts;
}

Keeper *Cluster::leader() {
  Keeper *Found = nullptr;
  for (std::pair<const KeeperId, Keeper> &Entry : m_Keepers)
    if (Entry.second.m_Running &&
        Entry.second.m_Replica.m_Role == ReplicaRole::Leader &&
        (!Found ||
         Found->m_Replica.m_Hard.m_Term < Entry.second.m_Replica.m_Hard.m_Term))
      Found = &Entry.second;
  return Found;
}

std::vector<LogIndex> Cluster::proposeAt(Keeper &At, const std::string &Data) {
  ReplicaActions Actions;
  std::vector<LogIndex> Indexes;
  propose(At.m_Replica, {Data}, Indexes, Actions, localNow(At));
  handle(At, std::move(Actions));
  return Indexes;
}

void Cluster::readAt(Keeper &At, std::uint64_t Token) {
  At.m_OpenReads[Token] = m_LastCommitted;
  ReplicaActions Actions;
  requestRead(At.m_Replica, Token, Actions, localNow(At));
  handle(At, std::move(Actions));
}

void Cluster::send(const ReplicaMessage &Message, const Faults &Rates) {
  if (m_Cuts.count({Message.m_From, Message.m_To}) != 0 || chance(Rates.m_Loss))
    return;
  int Copies = chance(Rates.m_Duplicate) ? 2 : 1;
  for (int I = 0; I < Copies; ++I) {
    std::int64_t Delay =
        chance(Rates.m_LongDelay) ? pick(50, 1000) : pick(1, 20);
    m_Network.push_back({m_Now + Delay, Message});
  }
}

void Cluster::handle(Keeper &At, ReplicaActions Actions) {
  if (Actions.m_BrokenInvariant)
    fail(At.m_Id.m_Value + ": " + *Actions.m_BrokenInvariant);
  for (const KeeperId &Regressed : Actions.m_RegressedKeepers)
    m_RegressedSeen.insert(Regressed);
  checkAppended(At, Actions);
  for (const ReplicaMessage &Message : Actions.m_Send)
    send(Message, m_Rates);
  if (Actions.m_InstallSnapshot) {
    At.m_Applied = Actions.m_InstallSnapshot->m_LastIndex;
    At.m_StateHash = std::stoull(Actions.m_InstallSnapshot->m_Data);
    ++m_Coverage.m_SnapshotsInstalled;
    if (m_HashAt[At.m_Applied] != At.m_StateHash)
      fail(At.m_Id.m_Value + " installed a snapshot of another state");
  }
  if (Actions.m_BecameLeader)
    checkElected(At);
  checkCommitted(At, Actions);
  checkReads(At, Actions);
  bool Regressed = Actions.m_DiskRegressed;
  if (Actions.m_TruncateFrom)
    ++m_Coverage.m_Truncations;
  At.m_Unsynced.push_back({std::move(Actions), std::nullopt});
  if (Regressed) {
    // The daemon bars the identity and stops.
    ++m_Coverage.m_RefusedReturns;
    At.m_VotingAllowed = false;
    At.m_Running = false;
    At.m_Unsynced.clear();
  }
}

void Cluster::deliver() {
  std::vector<MessageInFlight> Later;
  std::vector<MessageInFlight> Due;
  for (MessageInFlight &Flight : m_Network)
    (Flight.m_Due <= m_Now ? Due : Later).push_back(std::move(Flight));
  m_Network = std::move(Later);
  std::sort(Due.begin(), Due.end(),
            [](const MessageInFlight &A, const MessageInFlight &B) {
              return A.m_Due < B.m_Due;
            });
  for (MessageInFlight &Flight : Due) {
    std::map<KeeperId, Keeper>::iterator To =
        m_Keepers.find(Flight.m_Message.m_To);
    if (To == m_Keepers.end() || !To->second.m_Running)
      continue;
    if (To->second.m_FrozenUntil > m_Now) {
      m_Network.push_back(std::move(Flight));
      continue;
    }
    handle(To->second,
           receive(To->second.m_Replica, std::move(Flight.m_Message),
                   localNow(To->second)));
  }
}

void Cluster::syncSome(Keeper &At) {
  if (At.m_Unsynced.empty())
    return;
  std::size_t Count = static_cast<std::size_t>(
      pick(1, static_cast<std::int64_t>(At.m_Unsynced.size())));
  std::optional<WrittenPosition> Reached;
  std::vector<ReplicaMessage> Release;
  for (std::size_t I = 0; I < Count; ++I) {
    PendingWrite Write = std::move(At.m_Unsynced.front());
    At.m_Unsynced.pop_front();
    applyWrite(At.m_Disk, Write, Write.m_Actions.m_Append.size());
    for (ReplicaMessage &Message : Write.m_Actions.m_SendAfterSync)
      Release.push_back(std::move(Message));
    const ReplicaActions &Actions = Write.m_Actions;
    if (!Actions.m_Append.empty())
      Reached = WrittenPosition{Actions.m_Append.back().m_Index,
                                Actions.m_Append.back().m_Term};
    else if (Actions.m_InstallSnapshot)
      Reached = WrittenPosition{Actions.m_InstallSnapshot->m_LastIndex,
                                Actions.m_InstallSnapshot->m_LastTerm};
  }
  for (const ReplicaMessage &Message : Release)
    send(Message, m_Rates);
  if (Reached)
    handle(At, synced(At.m_Replica, Reached->m_Index, Reached->m_Term,
                      localNow(At)));
}

void Cluster::compactAt(Keeper &At) {
  if (At.m_Applied <= At.m_Replica.m_SnapshotIndex)
    return;
  Snapshot Taken = takeSnapshot(At.m_Replica, std::to_string(At.m_StateHash));
  PendingWrite Write;
  Write.m_Save = Taken;
  At.m_Unsynced.push_back(std::move(Write));
  compact(At.m_Replica, std::move(Taken));
}

void Cluster::runClients(Keeper &At, const Faults &Rates) {
  if (At.m_Replica.m_Role == ReplicaRole::Leader) {
    if (chance(Rates.m_Propose))
      proposeAt(At, "v" + std::to_string(m_NextValue++));
    if (chance(Rates.m_Read))
      readAt(At, m_NextToken++);
  }
  if (chance(Rates.m_Compact))
    compactAt(At);
}

void Cluster::step(const Faults &Rates) {
  m_Rates = Rates;
  m_Now += StepTime;
  deliver();
  for (std::pair<const KeeperId, Keeper> &Entry : m_Keepers) {
    Keeper &At = Entry.second;
    if (!At.m_Running || At.m_FrozenUntil > m_Now)
      continue;
    // A resumed keeper may serve its clients before its timers run.
    bool ClientsFirst = chance(500);
    if (ClientsFirst)
      runClients(At, Rates);
    handle(At, tick(At.m_Replica, localNow(At)));
    if (!ClientsFirst && At.m_Running)
      runClients(At, Rates);
    if (At.m_Running && chance(Rates.m_Sync))
      syncSome(At);
  }
  checkLeases();
  if (chance(Rates.m_Operator))
    runOperator();
  injectFaults(Rates);
}

void Cluster::run(const Faults &Rates, std::int64_t Duration) {
  std::int64_t End = m_Now + Duration;
  while (m_Now < End && m_Violation.empty())
    step(Rates);
}

} // namespace replication_test
