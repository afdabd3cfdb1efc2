#include "ReplicationHarness.hpp"

#include "process/internal/replica.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>

using namespace vanillaferry;
using namespace replication_test;

namespace {

Faults calm() {
  Faults Rates;
  Rates.m_Sync = 900;
  Rates.m_Propose = Rates.m_Read = Rates.m_Compact = Rates.m_Operator = 0;
  return Rates;
}

/// Three keepers with a leader that has committed in its term.
struct Three {
  Cluster m_Cluster;

  explicit Three(std::uint64_t Seed = 7, std::size_t Voters = 3)
      : m_Cluster(Seed, Voters) {
    m_Cluster.run(calm(), 1500);
    BOOST_REQUIRE(m_Cluster.leader());
    commit("first");
  }

  Keeper &leader() {
    Keeper *Found = m_Cluster.leader();
    BOOST_REQUIRE(Found);
    return *Found;
  }
  Keeper &follower(std::size_t Number) {
    std::vector<Keeper *> Others;
    for (const KeeperAddress &Voter : leader().m_Replica.m_Set.m_Voters)
      if (Voter.m_Keeper != leader().m_Id)
        Others.push_back(&m_Cluster.keeper(Voter.m_Keeper.m_Value));
    return *Others.at(Number);
  }
  LogIndex commit(const std::string &Data) {
    std::vector<LogIndex> Indexes = m_Cluster.proposeAt(leader(), Data);
    BOOST_REQUIRE_EQUAL(Indexes.size(), 1u);
    m_Cluster.run(calm(), 300);
    BOOST_REQUIRE(m_Cluster.committed() >= Indexes.front());
    return Indexes.front();
  }
  ProposeError
  change(const std::function<ProposeError(Replica &, ReplicaActions &, Millis)>
             &Ask) {
    Keeper &At = leader();
    ReplicaActions Actions;
    ProposeError Answer = Ask(At.m_Replica, Actions, m_Cluster.localNow(At));
    m_Cluster.handle(At, std::move(Actions));
    return Answer;
  }
  ProposeError add(const std::string &Id) {
    return change([&Id](Replica &State, ReplicaActions &Actions, Millis Now) {
      return addLearner(State, {KeeperId(Id), ""}, Actions, Now);
    });
  }
  ProposeError promote(const std::string &Id) {
    return change([&Id](Replica &State, ReplicaActions &Actions, Millis Now) {
      return promoteLearner(State, KeeperId(Id), Actions, Now);
    });
  }
  ProposeError remove(const KeeperId &Id) {
    return change([&Id](Replica &State, ReplicaActions &Actions, Millis Now) {
      return removeKeeper(State, Id, Actions, Now);
    });
  }
  void run(std::int64_t Duration) { m_Cluster.run(calm(), Duration); }
  void checkUnviolated() { BOOST_TEST(m_Cluster.violation() == std::string()); }
};

int code(ProposeError Answer) { return static_cast<int>(Answer); }
int code(ReplicaRole Role) { return static_cast<int>(Role); }

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicationTraps)

// Guards against a stale read at a leader that is cut off from the others.
BOOST_AUTO_TEST_CASE(LeaderInTheMinorityConfirmsNoReads) {
  Three Keepers;
  Keeper &Old = Keepers.leader();
  Keepers.m_Cluster.isolate(Old.m_Id);
  Keepers.m_Cluster.readAt(Old, 900001);
  Keepers.run(100);
  BOOST_TEST(code(Old.m_Replica.m_Role) == code(ReplicaRole::Leader));
  BOOST_TEST(Keepers.m_Cluster.confirmedReads().count(900001) == 0u);
  Keepers.run(1500);
  BOOST_TEST(Keepers.leader().m_Id != Old.m_Id);
  Keepers.commit("newer");
  Keepers.m_Cluster.readAt(Old, 900002);
  Keepers.m_Cluster.heal();
  Keepers.run(1000);
  BOOST_TEST(Keepers.m_Cluster.confirmedReads().count(900001) == 0u);
  BOOST_TEST(Keepers.m_Cluster.confirmedReads().count(900002) == 0u);
  Keepers.checkUnviolated();
}

// Guards against a lease that is still held when another leader can be elected.
BOOST_AUTO_TEST_CASE(LeaderCutOffLosesItsLeaseBeforeAnotherIsElected) {
  Three Keepers;
  Keeper &Old = Keepers.leader();
  BOOST_TEST(holdsQuorumLease(Old.m_Replica, Keepers.m_Cluster.localNow(Old)));
  Keepers.m_Cluster.isolate(Old.m_Id);
  while (!Keepers.m_Cluster.leader() ||
         Keepers.m_Cluster.leader()->m_Id == Old.m_Id) {
    bool Held =
        holdsQuorumLease(Old.m_Replica, Keepers.m_Cluster.localNow(Old));
    Keepers.run(10);
    Keeper *Now = Keepers.m_Cluster.leader();
    if (Now && Now->m_Id != Old.m_Id)
      BOOST_TEST(!Held);
  }
  Keepers.checkUnviolated();
}

// Guards against a suspended leader that resumes and accepts the proposals and
// reads that waited in its queue.
BOOST_AUTO_TEST_CASE(LeaderThatWakesRefusesQueuedProposalsAndReads) {
  Three Keepers;
  Keeper &Old = Keepers.leader();
  Keepers.m_Cluster.freeze(Old, 5000);
  Keepers.run(2000);
  Keeper *Now = nullptr;
  for (const char *Id : {"k1", "k2", "k3"})
    if (Id != Old.m_Id.m_Value &&
        Keepers.m_Cluster.keeper(Id).m_Replica.m_Role == ReplicaRole::Leader)
      Now = &Keepers.m_Cluster.keeper(Id);
  BOOST_REQUIRE(Now);
  BOOST_TEST(code(Old.m_Replica.m_Role) == code(ReplicaRole::Leader));
  BOOST_TEST(!holdsQuorumLease(Old.m_Replica, Keepers.m_Cluster.localNow(Old)));
  BOOST_TEST(Keepers.m_Cluster.proposeAt(Old, "queued").empty());
  Keepers.m_Cluster.readAt(Old, 900001);
  BOOST_TEST(Keepers.m_Cluster.confirmedReads().count(900001) == 0u);
  Keepers.run(4000);
  Keepers.checkUnviolated();
}

// Guards against a voter that lacks most of the log, which would leave one
// complete copy fewer than the quorum suggests.
BOOST_AUTO_TEST_CASE(LearnerIsPromotedOnlyOnceItHasCaughtUp) {
  Three Keepers;
  Keepers.m_Cluster.addKeeper("k9");
  Keepers.m_Cluster.isolate(KeeperId("k9"));
  BOOST_TEST(code(Keepers.add("k9")) == code(ProposeError::None));
  BOOST_TEST(code(Keepers.add("k8")) == code(ProposeError::ChangePending));
  Keepers.run(300);
  for (int I = 0; I < 10; ++I)
    Keepers.commit("entry");
  BOOST_TEST(code(Keepers.promote("k9")) == code(ProposeError::LearnerBehind));
  BOOST_TEST(code(Keepers.promote("k8")) == code(ProposeError::NoSuchKeeper));
  BOOST_TEST(caughtUpLearners(Keepers.leader().m_Replica).empty());
  Keepers.m_Cluster.heal();
  Keepers.run(1500);
  BOOST_TEST(caughtUpLearners(Keepers.leader().m_Replica).size() == 1u);
  BOOST_TEST(code(Keepers.promote("k9")) == code(ProposeError::None));
  Keepers.run(300);
  BOOST_TEST(code(Keepers.m_Cluster.keeper("k9").m_Replica.m_Role) ==
             code(ReplicaRole::Follower));
  Keepers.checkUnviolated();
}

// Guards against a promoted voter that is already lost and raises the quorum.
BOOST_AUTO_TEST_CASE(LearnerThatFellSilentIsNotPromoted) {
  Three Keepers;
  Keepers.m_Cluster.addKeeper("k9");
  BOOST_TEST(code(Keepers.add("k9")) == code(ProposeError::None));
  Keepers.run(1500);
  Keepers.m_Cluster.loseDisk(Keepers.m_Cluster.keeper("k9"));
  Keepers.run(500);
  BOOST_TEST(code(Keepers.promote("k9")) == code(ProposeError::LearnerBehind));
  Keepers.checkUnviolated();
}

// Guards against a repair that is reported complete while entries still have
// only one copy.
BOOST_AUTO_TEST_CASE(SecondKeeperLostRightAfterARepairLosesNothing) {
  Three Keepers;
  Keeper &First = Keepers.follower(0);
  Keepers.m_Cluster.loseDisk(First);
  LogIndex Kept = Keepers.commit("on two disks");
  BOOST_TEST(code(Keepers.remove(First.m_Id)) == code(ProposeError::None));
  Keepers.run(300);
  Keepers.m_Cluster.addKeeper("k9");
  BOOST_TEST(code(Keepers.add("k9")) == code(ProposeError::None));
  Keepers.run(1500);
  BOOST_TEST(code(Keepers.promote("k9")) == code(ProposeError::None));
  while (Keepers.leader().m_Replica.m_SetIndex >
         Keepers.leader().m_Replica.m_Commit)
    Keepers.run(10);
  Keepers.m_Cluster.loseDisk(Keepers.leader());
  Keepers.run(2000);
  BOOST_TEST(Keepers.commit("after both") > Kept);
  Keepers.checkUnviolated();
}

// Guards against a removed keeper that comes back with its old votes and log,
// also when only a snapshot still names it.
BOOST_AUTO_TEST_CASE(RemovedIdentityIsRefused) {
  Three Keepers(11, 4);
  KeeperId Gone = Keepers.follower(0).m_Id;
  BOOST_TEST(code(Keepers.remove(Gone)) == code(ProposeError::None));
  Keepers.run(300);
  BOOST_TEST(code(Keepers.add(Gone.m_Value)) ==
             code(ProposeError::IdentityRemoved));
  Replica &Leader = Keepers.leader().m_Replica;
  compact(Leader,
          takeSnapshot(Leader, std::to_string(Keepers.leader().m_StateHash)));
  ReplicaRecovery Recovery;
  Recovery.m_Snapshot = *Leader.m_Snapshot;
  Recovery.m_Hard = Leader.m_Hard;
  Replica Restarted = makeReplica(Leader.m_Self, ReplicaOptions(),
                                  std::move(Recovery), 1, Millis(0));
  ReplicaMessage Request;
  Request.m_Kind = ReplicaMessage::Kind::Vote;
  Request.m_From = Gone;
  Request.m_To = Leader.m_Self;
  Request.m_Term = Term(Restarted.m_Hard.m_Term.m_Value + 1);
  Request.m_PreviousIndex = LogIndex(1000);
  Request.m_PreviousTerm = Restarted.m_Hard.m_Term;
  ReplicaActions Actions = receive(Restarted, Request, Millis(100000));
  BOOST_TEST(Actions.m_SendAfterSync.empty());
  BOOST_TEST(!Actions.m_PersistHard);
  Keepers.checkUnviolated();
}

// Guards against a keeper that counts towards a quorum after its disk was
// replaced by an older copy.
BOOST_AUTO_TEST_CASE(OlderDiskIsNoticedAndNoLongerCounted) {
  Three Keepers;
  Keeper &Back = Keepers.follower(0);
  Keeper &Other = Keepers.follower(1);
  DurableState Older = Back.m_Disk;
  Keepers.commit("acknowledged by all");
  Keepers.run(300);
  Keepers.m_Cluster.crash(Back);
  Back.m_Disk = Older;
  Keepers.m_Cluster.isolate(Other.m_Id);
  Keepers.m_Cluster.restart(Back);
  Keepers.m_Cluster.proposeAt(Keepers.leader(), "must wait");
  LogIndex Before = Keepers.m_Cluster.committed();
  Keepers.run(200);
  BOOST_TEST(Keepers.m_Cluster.regressed().count(Back.m_Id) == 1u);
  BOOST_TEST(!Back.m_Running);
  BOOST_TEST(Keepers.m_Cluster.committed() == Before);
  Keepers.checkUnviolated();
}

// Guards against two quorums without a common keeper: a committed entry is on
// the leader and on a keeper whose disk is then lost.
BOOST_AUTO_TEST_CASE(KeeperWithARecreatedDiskDoesNotVote) {
  Three Keepers;
  Keeper &Old = Keepers.leader();
  Keeper &Lost = Keepers.follower(0);
  Keeper &Behind = Keepers.follower(1);
  Keepers.m_Cluster.isolate(Behind.m_Id);
  Keepers.commit("not on the third");
  Keepers.m_Cluster.loseDisk(Lost);
  Lost.m_VotingAllowed = false;
  Keepers.m_Cluster.crash(Old);
  Keepers.m_Cluster.heal();
  Keepers.m_Cluster.restart(Lost);
  Keepers.run(3000);
  BOOST_TEST(!Keepers.m_Cluster.leader());
  Keepers.m_Cluster.restart(Old);
  Keepers.run(2000);
  Keepers.commit("again");
  Keepers.checkUnviolated();
}

// Guards against a keeper set that can never commit anything again.
BOOST_AUTO_TEST_CASE(RemovalThatLeavesNoLiveQuorumIsRefused) {
  Three Keepers;
  Keeper &Down = Keepers.follower(0);
  KeeperId Up = Keepers.follower(1).m_Id;
  Keepers.m_Cluster.crash(Down);
  Keepers.run(400);
  BOOST_TEST(code(Keepers.remove(Up)) == code(ProposeError::QuorumAtRisk));
  BOOST_TEST(code(Keepers.remove(Down.m_Id)) == code(ProposeError::None));
  Keepers.run(300);
  Keepers.commit("two are left");
}

// Guards against a vote that a restarted keeper gives while its last answer is
// still part of the old leader's lease.
BOOST_AUTO_TEST_CASE(RestartedKeeperIgnoresVotesForOneElectionMinimum) {
  Three Keepers;
  Keeper &Back = Keepers.follower(0);
  Keepers.m_Cluster.crash(Back);
  Keepers.m_Cluster.restart(Back);
  ReplicaMessage Request;
  Request.m_Kind = ReplicaMessage::Kind::Vote;
  Request.m_From = Keepers.follower(1).m_Id;
  Request.m_To = Back.m_Id;
  Request.m_Term = Term(100);
  Request.m_PreviousIndex = LogIndex(100);
  Request.m_PreviousTerm = Term(99);
  ReplicaActions Actions =
      receive(Back.m_Replica, Request, Keepers.m_Cluster.localNow(Back));
  BOOST_TEST(Actions.m_SendAfterSync.empty());
  BOOST_TEST(Back.m_Replica.m_Hard.m_Term < Term(100));
}

BOOST_AUTO_TEST_SUITE_END()
