#pragma once

#include "ReplicationHarness.hpp"

#include "vanillaferry/process/keeper_repair.hpp"

namespace replication_test {

/// A VM with a keeper. Its identity changes with its disk.
struct KeeperVm {
  std::string m_Name;
  KeeperId m_Keeper;
  int m_Identities = 0;
  /// Never returns.
  bool m_Gone = false;
  /// Counts as lost before this time: while it is down and until it has caught
  /// up.
  std::int64_t m_LostUntil = 0;
  /// When it starts again; 0 while it runs.
  std::int64_t m_StartsAt = 0;
  std::int64_t m_NextJoin = 0;
};

/// Keepers on VMs that lose disks, are replaced, killed, frozen and cut off, at
/// most as many at a time as are tolerated, beside the repair of their set. The
/// daemon's rules for joining are modelled; replication and repair are the real
/// ones.
class RepairWorld {
public:
  RepairWorld(std::uint64_t Seed, std::size_t Vms, std::size_t Tolerated);

  void run(std::int64_t Duration);
  /// Starts a random fault as soon as one more VM may be lost.
  void injectFault();
  /// Waits until no VM counts as lost.
  void settle();
  /// As many VMs as are tolerated lose their disks while all others lose power.
  void loseDisksAndPower();
  /// Time until a leader commits a new entry, or -1 when none did within Limit.
  std::int64_t timeToCommit(std::int64_t Limit);
  /// Waits until the voters are the VMs that run; false when that does not
  /// happen within Limit.
  bool awaitFullSet(std::int64_t Limit);

  std::string describe();
  const std::string &violation() const { return m_Cluster.violation(); }

private:
  std::int64_t pick(std::int64_t Low, std::int64_t High);
  KeeperVm &addVm();
  KeeperVm *randomVm();
  Keeper &keeperOf(const KeeperVm &Vm) {
    return m_Cluster.keeper(Vm.m_Keeper.m_Value);
  }
  bool runs(const KeeperVm &Vm);
  std::size_t lostVms() const;
  void giveIdentity(KeeperVm &Vm);
  void stop(KeeperVm &Vm, std::int64_t Duration);
  void wipe(KeeperVm &Vm, std::int64_t Duration);
  void replace(KeeperVm &Vm);
  void startDueVms();
  void askToJoin();
  void repair();
  bool setIsFull();

  std::mt19937_64 m_Random;
  std::size_t m_Tolerated = 1;
  Cluster m_Cluster;
  std::map<std::string, KeeperVm> m_Vms;
  /// VMs that stop for good at this time, after their successors have started.
  std::map<std::string, std::int64_t> m_Leaving;
  std::int64_t m_HealAt = 0;
  std::int64_t m_NextRepair = 0;
  int m_NextVm = 1;
  /// Join requests by the leader that received them.
  std::map<KeeperId, std::map<KeeperId, JoiningKeeper>> m_Joining;
  std::string m_Log;
};

} // namespace replication_test
