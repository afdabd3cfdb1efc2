#include "ReplicationHarness.hpp"

#include "process/internal/replica.hpp"

#include <algorithm>
#include <cstdlib>

namespace replication_test {

namespace {

constexpr std::size_t MaxKeepers = 9;
constexpr std::size_t MaxVoters = 5;

void add(Coverage &Total, const Coverage &Part) {
  Total.m_Elections += Part.m_Elections;
  Total.m_Commits += Part.m_Commits;
  Total.m_Reads += Part.m_Reads;
  Total.m_FailedReads += Part.m_FailedReads;
  Total.m_Crashes += Part.m_Crashes;
  Total.m_Freezes += Part.m_Freezes;
  Total.m_Cuts += Part.m_Cuts;
  Total.m_DiskLosses += Part.m_DiskLosses;
  Total.m_RefusedReturns += Part.m_RefusedReturns;
  Total.m_Promotions += Part.m_Promotions;
  Total.m_Removals += Part.m_Removals;
  Total.m_SnapshotsInstalled += Part.m_SnapshotsInstalled;
  Total.m_Truncations += Part.m_Truncations;
  Total.m_LeaseChecks += Part.m_LeaseChecks;
  Total.m_Recovered += Part.m_Recovered;
  Total.m_NoQuorumLeft += Part.m_NoQuorumLeft;
}

} // namespace

Keeper *Cluster::randomRunning() {
  std::vector<Keeper *> Running;
  for (std::pair<const KeeperId, Keeper> &Entry : m_Keepers)
    if (Entry.second.m_Running)
      Running.push_back(&Entry.second);
  if (Running.empty())
    return nullptr;
  return Running[static_cast<std::size_t>(
      pick(0, static_cast<std::int64_t>(Running.size()) - 1))];
}

/// One disk is lost at a time: the next only after the first one's identity is
/// out of the committed set. It stays away, or returns empty under its old
/// identity, which the daemon knows to be re-created.
void Cluster::loseRandomDisk(Keeper &At) {
  if (m_CommittedSet.m_Voters.size() < 3)
    return;
  for (const KeeperAddress &Voter : m_CommittedSet.m_Voters)
    if (m_Keepers.at(Voter.m_Keeper).m_DiskLost)
      return;
  if (!internal::isVoter(m_CommittedSet, At.m_Id))
    return;
  loseDisk(At);
  if (chance(500)) {
    At.m_VotingAllowed = false;
    start(At);
  }
}

void Cluster::injectFaults(const Faults &Rates) {
  Keeper *At = randomRunning();
  if (At && chance(Rates.m_Crash))
    crash(*At);
  if (At && At->m_Running && chance(Rates.m_Freeze))
    freeze(*At, pick(50, 800));
  if (At && At->m_Running && chance(Rates.m_LoseDisk))
    loseRandomDisk(*At);
  for (std::pair<const KeeperId, Keeper> &Entry : m_Keepers)
    if (!Entry.second.m_Running && !Entry.second.m_DiskLost &&
        chance(Rates.m_Restart))
      restart(Entry.second);
  if (At && chance(Rates.m_Cut)) {
    Keeper *Other = randomRunning();
    if (chance(400)) {
      isolate(At->m_Id);
    } else if (Other && Other != At) {
      m_Cuts.insert({At->m_Id, Other->m_Id});
      if (chance(500))
        m_Cuts.insert({Other->m_Id, At->m_Id});
      ++m_Coverage.m_Cuts;
    }
  }
  if (chance(Rates.m_Heal))
    heal();
}

/// Removes keepers that lost their disk and adds new ones.
ProposeError Cluster::repairSet(Keeper &Leader, ReplicaActions &Actions) {
  const KeeperSet Set = Leader.m_Replica.m_Set;
  Millis Now = localNow(Leader);
  for (const std::pair<const KeeperId, Keeper> &Entry : m_Keepers)
    if (Entry.second.m_DiskLost && (internal::isVoter(Set, Entry.first) ||
                                    internal::isLearner(Set, Entry.first)))
      return removeKeeper(Leader.m_Replica, Entry.first, Actions, Now);
  for (const KeeperAddress &Learner : Set.m_Learners) {
    if (chance(100))
      return removeKeeper(Leader.m_Replica, Learner.m_Keeper, Actions, Now);
    ProposeError Refused =
        promoteLearner(Leader.m_Replica, Learner.m_Keeper, Actions, Now);
    m_Coverage.m_Promotions += Refused == ProposeError::None ? 1 : 0;
    return Refused;
  }
  for (const std::pair<const KeeperId, Keeper> &Entry : m_Keepers)
    if (Entry.second.m_Running && !internal::isVoter(Set, Entry.first) &&
        !internal::isRemoved(Set, Entry.first))
      return addLearner(Leader.m_Replica, {Entry.first, ""}, Actions, Now);
  return growOrShrink(Leader, Actions);
}

ProposeError Cluster::growOrShrink(Keeper &Leader, ReplicaActions &Actions) {
  const KeeperSet Set = Leader.m_Replica.m_Set;
  Millis Now = localNow(Leader);
  if (!Set.m_Removed.empty() && chance(200)) {
    ProposeError Answer =
        addLearner(Leader.m_Replica, {Set.m_Removed.front(), ""}, Actions, Now);
    if (Answer == ProposeError::None)
      fail("a removed identity was taken back");
    return Answer;
  }
  if (m_Keepers.size() < MaxKeepers && Set.m_Voters.size() < MaxVoters &&
      (Set.m_Voters.size() < 3 || chance(200)))
    addKeeper("k" + std::to_string(m_NextKeeper++));
  else if (Set.m_Voters.size() > 3 && chance(200))
    return removeKeeper(
        Leader.m_Replica,
        Set
            .m_Voters[static_cast<std::size_t>(
                pick(0, static_cast<std::int64_t>(Set.m_Voters.size()) - 1))]
            .m_Keeper,
        Actions, Now);
  return ProposeError::None;
}

void Cluster::runOperator() {
  Keeper *Leader = leader();
  if (!Leader || Leader->m_FrozenUntil > m_Now)
    return;
  ReplicaActions Actions;
  std::size_t Removed = Leader->m_Replica.m_Set.m_Removed.size();
  repairSet(*Leader, Actions);
  if (Leader->m_Replica.m_Set.m_Removed.size() > Removed)
    ++m_Coverage.m_Removals;
  handle(*Leader, std::move(Actions));
}

std::uint64_t numberFromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

std::string runSchedule(std::uint64_t Seed, Coverage &Total) {
  std::mt19937_64 Random(Seed * 2654435761u + 1);
  std::vector<std::size_t> Sizes = {1, 2, 3, 3, 3, 3, 4, 5};
  Cluster Keepers(Seed, Sizes[Random() % Sizes.size()]);
  // Each kind of fault is on in half of the schedules.
  std::uint64_t Kinds = Random();
  Faults Rates;
  Rates.m_Loss = (Kinds & 1) != 0 ? static_cast<int>(Random() % 200) : 0;
  Rates.m_Duplicate = (Kinds & 2) != 0 ? 100 : 0;
  Rates.m_LongDelay = (Kinds & 4) != 0 ? 50 : 0;
  Rates.m_Crash = (Kinds & 8) != 0 ? 20 : 0;
  Rates.m_Restart = 30;
  Rates.m_Freeze = (Kinds & 16) != 0 ? 15 : 0;
  Rates.m_Cut = (Kinds & 32) != 0 ? 20 : 0;
  Rates.m_Heal = 15;
  Rates.m_LoseDisk = (Kinds & 64) != 0 ? 10 : 0;
  Rates.m_Operator = (Kinds & 128) != 0 ? 60 : 10;
  Rates.m_Sync = (Kinds & 256) != 0 ? 100 : 600;
  Rates.m_Compact = (Kinds & 512) != 0 ? 40 : 5;
  Rates.m_Propose = (Kinds & 1024) != 0 ? 500 : 100;
  Keepers.run(Rates, 2000 + static_cast<std::int64_t>(Random() % 4000));
  Keepers.recoverAndCheck();
  add(Total, Keepers.coverage());
  return Keepers.violation();
}

} // namespace replication_test
