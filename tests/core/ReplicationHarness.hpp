#pragma once

#include "vanillaferry/process/replication.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace replication_test {

using namespace vanillaferry;

/// Content of a disk that is synced.
struct DurableState {
  HardState m_Hard;
  std::optional<Snapshot> m_Snapshot;
  LogIndex m_Start;
  std::vector<LogEntry> m_Log;
};

/// A write that is not synced, with the messages that wait for it.
struct PendingWrite {
  ReplicaActions m_Actions;
  std::optional<Snapshot> m_Save;
};

struct Keeper {
  KeeperId m_Id;
  Replica m_Replica;
  DurableState m_Disk;
  std::deque<PendingWrite> m_Unsynced;
  bool m_Running = false;
  /// The disk is lost; its content no longer counts for this identity.
  bool m_DiskLost = false;
  /// Content of the lost disk; it counted when it was acknowledged.
  DurableState m_LostDisk;
  std::int64_t m_FrozenUntil = 0;
  /// Clock: offset, and speed in parts per thousand.
  std::int64_t m_ClockOffset = 0;
  std::int64_t m_ClockRate = 1000;
  std::uint64_t m_Boot = 0;
  LogIndex m_Applied;
  std::uint64_t m_StateHash = 0;
  KeeperSet m_InitialSet;
  bool m_VotingAllowed = true;
  /// Commit known to the whole system when each open read was asked for.
  std::map<std::uint64_t, LogIndex> m_OpenReads;
};

struct MessageInFlight {
  std::int64_t m_Due = 0;
  ReplicaMessage m_Message;
};

/// What a run has exercised.
struct Coverage {
  std::uint64_t m_Elections = 0;
  std::uint64_t m_Commits = 0;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_FailedReads = 0;
  std::uint64_t m_Crashes = 0;
  std::uint64_t m_Freezes = 0;
  std::uint64_t m_Cuts = 0;
  std::uint64_t m_DiskLosses = 0;
  std::uint64_t m_RefusedReturns = 0;
  std::uint64_t m_Promotions = 0;
  std::uint64_t m_Removals = 0;
  std::uint64_t m_SnapshotsInstalled = 0;
  std::uint64_t m_Truncations = 0;
  std::uint64_t m_LeaseChecks = 0;
  std::uint64_t m_Recovered = 0;
  std::uint64_t m_NoQuorumLeft = 0;
};

/// Probabilities in parts per thousand, per step unless stated otherwise.
struct Faults {
  int m_Loss = 0;
  int m_Duplicate = 0;
  int m_LongDelay = 0;
  int m_Crash = 0;
  int m_Restart = 0;
  int m_Freeze = 0;
  int m_Cut = 0;
  int m_Heal = 0;
  int m_LoseDisk = 0;
  int m_Sync = 500;
  int m_Propose = 200;
  int m_Read = 100;
  int m_Compact = 20;
  int m_Operator = 50;
};

/// A simulated set of keepers with disks and a network; all randomness comes
/// from the seed. Checks the safety properties after every action.
class Cluster {
public:
  Cluster(std::uint64_t Seed, std::size_t Voters);
  Cluster(std::uint64_t Seed, std::size_t Voters, ReplicaOptions Options);

  void step(const Faults &Rates);
  void run(const Faults &Rates, std::int64_t Duration);
  /// Ends all faults and checks that the keepers agree on a new entry.
  void recoverAndCheck();

  /// First violated property; empty while all hold.
  const std::string &violation() const { return m_Violation; }
  const Coverage &coverage() const { return m_Coverage; }

  // For focused tests.
  Keeper &keeper(const std::string &Id) { return m_Keepers.at(KeeperId(Id)); }
  Keeper *leader();
  std::vector<LogIndex> proposeAt(Keeper &At, const std::string &Data);
  void readAt(Keeper &At, std::uint64_t Token);
  void crash(Keeper &At);
  void restart(Keeper &At);
  void loseDisk(Keeper &At);
  void freeze(Keeper &At, std::int64_t Duration);
  void isolate(const KeeperId &Id);
  void heal() { m_Cuts.clear(); }
  bool isCut(const KeeperId &A, const KeeperId &B) const {
    return m_Cuts.count({A, B}) != 0 || m_Cuts.count({B, A}) != 0;
  }
  Keeper &addKeeper(const std::string &Id);
  void handle(Keeper &At, ReplicaActions Actions);
  Millis localNow(const Keeper &At) const;
  std::int64_t now() const { return m_Now; }
  LogIndex committed() const { return m_LastCommitted; }
  const std::set<std::uint64_t> &confirmedReads() const {
    return m_ConfirmedReads;
  }
  const std::set<KeeperId> &regressed() const { return m_RegressedSeen; }

private:
  void startVoters(std::size_t Voters);
  bool chance(int PerThousand);
  std::int64_t pick(std::int64_t Low, std::int64_t High);
  void fail(const std::string &What);
  void start(Keeper &At);
  void send(const ReplicaMessage &Message, const Faults &Rates);
  void deliver();
  void syncSome(Keeper &At);
  void injectFaults(const Faults &Rates);
  void loseRandomDisk(Keeper &At);
  void runClients(Keeper &At, const Faults &Rates);
  void runOperator();
  ProposeError repairSet(Keeper &Leader, ReplicaActions &Actions);
  ProposeError growOrShrink(Keeper &Leader, ReplicaActions &Actions);
  void compactAt(Keeper &At);
  Keeper *randomRunning();

  void checkAppended(const Keeper &At, const ReplicaActions &Actions);
  void checkElected(Keeper &At);
  void checkLeases();
  void checkCommitted(Keeper &At, const ReplicaActions &Actions);
  void checkDurableQuorum(const Keeper &At, const LogEntry &Entry);
  void checkReads(Keeper &At, const ReplicaActions &Actions);
  bool quorumIsLeft() const;
  bool votersApplied(LogIndex Index) const;

  std::mt19937_64 m_Random;
  ReplicaOptions m_Options;
  Faults m_Rates;
  std::int64_t m_Now = 1000;
  std::map<KeeperId, Keeper> m_Keepers;
  std::vector<MessageInFlight> m_Network;
  std::set<std::pair<KeeperId, KeeperId>> m_Cuts;
  std::uint64_t m_NextKeeper = 1;
  std::uint64_t m_NextValue = 1;
  std::uint64_t m_NextToken = 1;
  std::string m_Violation;
  Coverage m_Coverage;

  // Reference history that the checks compare with.
  std::map<Term, std::pair<KeeperId, std::uint64_t>> m_LeaderOfTerm;
  std::map<LogIndex, LogEntry> m_Committed;
  /// Term of the leader that committed each entry.
  std::map<LogIndex, Term> m_CommittedIn;
  std::map<LogIndex, std::uint64_t> m_HashAt;
  Term m_NewestTerm;
  LogIndex m_LastCommitted;
  std::map<std::pair<LogIndex, Term>, std::pair<std::string, Term>> m_Created;
  std::set<std::uint64_t> m_ConfirmedReads;
  std::set<KeeperId> m_RegressedSeen;
  KeeperSet m_CommittedSet;
};

/// A setting of a run by hand, such as VANILLAFERRY_SEED.
std::uint64_t numberFromEnvironment(const char *Name, std::uint64_t Default);

/// Runs one schedule; returns the violation or an empty text.
std::string runSchedule(std::uint64_t Seed, Coverage &Total);

} // namespace replication_test
