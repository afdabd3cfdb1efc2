#include "RepairWorld.hpp"

#include "process/internal/replica.hpp"

#include <algorithm>

namespace replication_test {

namespace {

constexpr std::size_t FirstSet = 3;
constexpr std::int64_t StepTime = 10;
constexpr std::int64_t JoinInterval = 300;
constexpr std::int64_t RepairInterval = 100;
/// Time after its return in which a VM still counts as lost.
constexpr std::int64_t CatchUp = 4000;

/// As in deploy/keeper.json.template.
ReplicaOptions deployedOptions() {
  ReplicaOptions Options;
  Options.m_HeartbeatInterval = Millis(160);
  Options.m_ElectionMin = Millis(640);
  Options.m_ElectionMax = Millis(1280);
  return Options;
}

Faults quietRates() {
  Faults Rates;
  Rates.m_Sync = 900;
  Rates.m_Propose = 20;
  Rates.m_Read = 0;
  Rates.m_Compact = 1;
  Rates.m_Operator = 0;
  return Rates;
}

} // namespace

RepairWorld::RepairWorld(std::uint64_t Seed, std::size_t Vms,
                         std::size_t Tolerated)
    : m_Random(Seed), m_Tolerated(Tolerated),
      m_Cluster(Seed, FirstSet, deployedOptions()) {
  for (std::size_t I = 0; I < FirstSet; ++I) {
    std::string Name = "k" + std::to_string(m_NextVm++);
    m_Vms[Name].m_Name = Name;
    m_Vms[Name].m_Keeper = KeeperId(Name);
  }
  while (m_Vms.size() < Vms)
    addVm();
}

std::int64_t RepairWorld::pick(std::int64_t Low, std::int64_t High) {
  return Low + static_cast<std::int64_t>(
                   m_Random() % static_cast<std::uint64_t>(High - Low + 1));
}

void RepairWorld::giveIdentity(KeeperVm &Vm) {
  Vm.m_Keeper = KeeperId(Vm.m_Name + "-" + std::to_string(++Vm.m_Identities));
  m_Cluster.addKeeper(Vm.m_Keeper.m_Value);
}

KeeperVm &RepairWorld::addVm() {
  std::string Name = "k" + std::to_string(m_NextVm++);
  KeeperVm &Added = m_Vms[Name];
  Added.m_Name = Name;
  giveIdentity(Added);
  Added.m_LostUntil = m_Cluster.now() + CatchUp;
  return Added;
}

bool RepairWorld::runs(const KeeperVm &Vm) {
  return !Vm.m_Gone && Vm.m_StartsAt == 0;
}

std::size_t RepairWorld::lostVms() const {
  std::size_t Lost = 0;
  for (const std::pair<const std::string, KeeperVm> &Row : m_Vms)
    Lost += !Row.second.m_Gone && m_Cluster.now() < Row.second.m_LostUntil;
  return Lost;
}

KeeperVm *RepairWorld::randomVm() {
  std::vector<KeeperVm *> Running;
  for (std::pair<const std::string, KeeperVm> &Row : m_Vms)
    if (runs(Row.second) && m_Cluster.now() >= Row.second.m_LostUntil &&
        m_Leaving.count(Row.first) == 0)
      Running.push_back(&Row.second);
  if (Running.empty())
    return nullptr;
  return Running[static_cast<std::size_t>(
      pick(0, static_cast<std::int64_t>(Running.size()) - 1))];
}

void RepairWorld::stop(KeeperVm &Vm, std::int64_t Duration) {
  m_Cluster.crash(keeperOf(Vm));
  m_Joining.erase(Vm.m_Keeper);
  Vm.m_StartsAt = m_Cluster.now() + Duration;
  Vm.m_LostUntil = std::max(Vm.m_LostUntil, Vm.m_StartsAt + CatchUp);
}

void RepairWorld::wipe(KeeperVm &Vm, std::int64_t Duration) {
  stop(Vm, Duration);
  m_Cluster.loseDisk(keeperOf(Vm));
}

void RepairWorld::replace(KeeperVm &Vm) {
  std::string Former = Vm.m_Name;
  bool Planned = pick(0, 1) == 1;
  m_Leaving[Former] = m_Cluster.now() + (Planned ? pick(500, 4000) : 0);
  // Only the successor counts as lost, until it has caught up.
  addVm();
}

void RepairWorld::injectFault() {
  while (lostVms() >= m_Tolerated && violation().empty())
    run(StepTime * 10);
  KeeperVm *Vm = randomVm();
  if (!Vm)
    return;
  std::int64_t Duration = pick(500, 4000);
  int Kind = static_cast<int>(pick(0, 5));
  m_Log += " " + std::to_string(m_Cluster.now()) + ":" + Vm->m_Name + ":" +
           std::to_string(Kind);
  switch (Kind) {
  case 0:
    return wipe(*Vm, Duration);
  case 1:
    return replace(*Vm);
  case 2:
    return stop(*Vm, pick(0, 3) == 0 ? pick(10000, 25000) : Duration);
  case 3:
    m_Cluster.freeze(keeperOf(*Vm), Duration);
    Vm->m_LostUntil = m_Cluster.now() + Duration + CatchUp;
    return;
  case 4:
    Duration = pick(0, 2) == 0 ? pick(10000, 25000) : Duration;
    m_Cluster.isolate(Vm->m_Keeper);
    m_HealAt = m_Cluster.now() + Duration;
    Vm->m_LostUntil = m_HealAt + CatchUp;
    return;
  default:
    for (std::pair<const std::string, KeeperVm> &Row : m_Vms)
      if (runs(Row.second)) {
        std::int64_t LostUntil = Row.second.m_LostUntil;
        stop(Row.second, pick(200, 900));
        // All may stop at once whatever is tolerated.
        Row.second.m_LostUntil = LostUntil;
      }
  }
}

void RepairWorld::startDueVms() {
  std::int64_t Now = m_Cluster.now();
  std::map<std::string, std::int64_t>::iterator Next = m_Leaving.begin();
  while (Next != m_Leaving.end())
    if (Next->second <= Now) {
      KeeperVm &Vm = m_Vms[Next->first];
      if (runs(Vm))
        stop(Vm, 0);
      Vm.m_Gone = true;
      Next = m_Leaving.erase(Next);
    } else {
      ++Next;
    }
  if (m_HealAt != 0 && Now >= m_HealAt) {
    m_Cluster.heal();
    m_HealAt = 0;
  }
  for (std::pair<const std::string, KeeperVm> &Row : m_Vms) {
    KeeperVm &Vm = Row.second;
    if (Vm.m_Gone || Vm.m_StartsAt == 0 || Now < Vm.m_StartsAt)
      continue;
    Vm.m_StartsAt = 0;
    if (keeperOf(Vm).m_DiskLost)
      giveIdentity(Vm);
    else
      m_Cluster.restart(keeperOf(Vm));
  }
}

void RepairWorld::askToJoin() {
  std::int64_t Now = m_Cluster.now();
  Keeper *Leader = m_Cluster.leader();
  for (std::pair<const std::string, KeeperVm> &Row : m_Vms) {
    KeeperVm &Vm = Row.second;
    if (!runs(Vm) || Now < Vm.m_NextJoin || !Leader)
      continue;
    Vm.m_NextJoin = Now + JoinInterval;
    const Keeper &Own = keeperOf(Vm);
    if (Own.m_FrozenUntil > Now || Leader->m_FrozenUntil > Now ||
        m_Cluster.isCut(Own.m_Id, Leader->m_Id) ||
        !mustAskToJoin(Own.m_Replica, m_Cluster.localNow(Own)))
      continue;
    if (removalIsCommitted(Leader->m_Replica, Vm.m_Keeper)) {
      m_Cluster.crash(keeperOf(Vm));
      giveIdentity(Vm);
      continue;
    }
    m_Joining[Leader->m_Id][Vm.m_Keeper] = {{Vm.m_Keeper, Vm.m_Name},
                                            m_Cluster.localNow(*Leader)};
  }
}

void RepairWorld::repair() {
  if (m_Cluster.now() < m_NextRepair)
    return;
  m_NextRepair = m_Cluster.now() + RepairInterval;
  Keeper *Leader = m_Cluster.leader();
  if (!Leader || Leader->m_FrozenUntil > m_Cluster.now())
    return;
  Millis Now = m_Cluster.localNow(*Leader);
  Replica &State = Leader->m_Replica;
  if (!holdsQuorumLease(State, Now))
    return;
  RepairStep Step =
      nextRepair(State, m_Joining[Leader->m_Id], {FirstSet, m_Tolerated}, Now);
  ReplicaActions Actions;
  if (Step.m_Kind == RepairStep::Kind::AddLearner)
    addLearner(State, Step.m_Keeper, Actions, Now);
  else if (Step.m_Kind == RepairStep::Kind::Promote)
    promoteLearner(State, Step.m_Keeper.m_Keeper, Actions, Now);
  else if (Step.m_Kind == RepairStep::Kind::Remove)
    removeKeeper(State, Step.m_Keeper.m_Keeper, Actions, Now);
  m_Cluster.handle(*Leader, std::move(Actions));
}

void RepairWorld::run(std::int64_t Duration) {
  std::int64_t End = m_Cluster.now() + Duration;
  while (m_Cluster.now() < End && violation().empty()) {
    startDueVms();
    askToJoin();
    repair();
    m_Cluster.step(quietRates());
  }
}

void RepairWorld::settle() {
  while ((lostVms() > 0 || !m_Leaving.empty()) && violation().empty())
    run(StepTime * 10);
}

void RepairWorld::loseDisksAndPower() {
  std::vector<KeeperVm *> Running;
  for (std::pair<const std::string, KeeperVm> &Row : m_Vms)
    if (runs(Row.second))
      Running.push_back(&Row.second);
  std::shuffle(Running.begin(), Running.end(), m_Random);
  for (std::size_t I = 0; I < Running.size(); ++I)
    if (I < m_Tolerated)
      wipe(*Running[I], 1200);
    else
      stop(*Running[I], 1200);
  run(1300);
}

std::int64_t RepairWorld::timeToCommit(std::int64_t Limit) {
  std::int64_t Begin = m_Cluster.now();
  LogIndex Before = m_Cluster.committed();
  while (m_Cluster.now() < Begin + Limit && violation().empty()) {
    run(StepTime * 10);
    Keeper *Leader = m_Cluster.leader();
    if (Leader && m_Cluster.committed() > Before &&
        holdsQuorumLease(Leader->m_Replica, m_Cluster.localNow(*Leader)))
      return m_Cluster.now() - Begin;
  }
  return -1;
}

bool RepairWorld::setIsFull() {
  Keeper *Leader = m_Cluster.leader();
  if (!Leader)
    return false;
  const KeeperSet &Set = Leader->m_Replica.m_Set;
  std::size_t Running = 0;
  for (const std::pair<const std::string, KeeperVm> &Row : m_Vms) {
    if (!runs(Row.second))
      continue;
    ++Running;
    if (!internal::isVoter(Set, Row.second.m_Keeper))
      return false;
  }
  return Set.m_Voters.size() == Running;
}

bool RepairWorld::awaitFullSet(std::int64_t Limit) {
  std::int64_t End = m_Cluster.now() + Limit;
  while (!setIsFull() && m_Cluster.now() < End && violation().empty())
    run(StepTime * 10);
  return setIsFull();
}

std::string RepairWorld::describe() {
  std::string Text = "faults" + m_Log + "; running";
  for (const std::pair<const std::string, KeeperVm> &Row : m_Vms)
    if (runs(Row.second))
      Text += " " + Row.second.m_Keeper.m_Value;
  if (Keeper *Leader = m_Cluster.leader()) {
    Text += "; leader " + Leader->m_Id.m_Value + "; voters";
    for (const KeeperAddress &Voter : Leader->m_Replica.m_Set.m_Voters)
      Text += " " + Voter.m_Keeper.m_Value;
  }
  return Text;
}

} // namespace replication_test
