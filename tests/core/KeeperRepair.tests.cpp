#include "vanillaferry/process/keeper_repair.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

const RepairLimits OneLoss = {3, 1};

KeeperAddress keeper(const std::string &Id, const std::string &Host) {
  return {KeeperId(Id), "ws://" + Host + ":1"};
}

/// A leader of voters a, b and c at the hosts of the same names.
Replica leaderOf(std::vector<KeeperAddress> Voters) {
  ReplicaRecovery Recovery;
  Recovery.m_InitialSet.m_Voters = std::move(Voters);
  Replica State =
      makeReplica(KeeperId("a"), ReplicaOptions(), Recovery, 1, Millis(0));
  State.m_Role = ReplicaRole::Leader;
  for (const KeeperAddress &Each : State.m_Set.m_Voters)
    if (Each.m_Keeper != State.m_Self)
      State.m_Peers[Each.m_Keeper].m_LastAnswer = Millis(0);
  return State;
}

/// A leader of voters with these one-letter names at hosts of the same names;
/// "a" leads.
Replica leaderOfAll(const std::string &Names) {
  std::vector<KeeperAddress> Voters;
  for (char Name : Names)
    Voters.push_back(keeper(std::string(1, Name), std::string(1, Name)));
  return leaderOf(std::move(Voters));
}

/// These voters have just answered the leader.
void recordAnswers(Replica &State, const std::string &Names, Millis Now) {
  for (char Name : Names)
    State.m_Peers[KeeperId(std::string(1, Name))].m_LastAnswer = Now;
}

Replica threeVoters() { return leaderOfAll("abc"); }

std::map<KeeperId, JoiningKeeper> asking(const KeeperAddress &Keeper,
                                         Millis At) {
  return {{Keeper.m_Keeper, {Keeper, At}}};
}

/// Adds a learner that holds the whole log.
void addCaughtUp(Replica &State, const KeeperAddress &Keeper) {
  State.m_Set.m_Learners.push_back(Keeper);
  State.m_Peers[Keeper.m_Keeper].m_Match = lastIndex(State);
  State.m_Peers[Keeper.m_Keeper].m_ConfirmedAt = Millis(0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperRepair)

// Guards against a keeper set that never grows beyond the first three keepers.
BOOST_AUTO_TEST_CASE(AKeeperThatAsksBecomesALearnerAndThenAVoter) {
  Replica State = threeVoters();
  KeeperAddress Fresh = keeper("d-1", "d");
  RepairStep Step =
      nextRepair(State, asking(Fresh, Millis(0)), OneLoss, Millis(10));
  BOOST_TEST((Step.m_Kind == RepairStep::Kind::AddLearner));
  BOOST_TEST(Step.m_Keeper.m_Keeper == Fresh.m_Keeper);
  addCaughtUp(State, Fresh);
  Step = nextRepair(State, asking(Fresh, Millis(0)), OneLoss, Millis(10));
  BOOST_TEST((Step.m_Kind == RepairStep::Kind::Promote));
}

// Guards against a quorum that grows while a disk is missing: two identities of
// one address would both count.
BOOST_AUTO_TEST_CASE(TheLostIdentityOfAnAddressGoesBeforeTheNewOneVotes) {
  Replica State = threeVoters();
  addCaughtUp(State, keeper("c-2", "c"));
  RepairStep Step = nextRepair(State, {}, OneLoss, Millis(10));
  BOOST_TEST((Step.m_Kind == RepairStep::Kind::Remove));
  BOOST_TEST(Step.m_Keeper.m_Keeper == KeeperId("c"));
}

// Guards against learners that pile up when a keeper loses its disk twice.
BOOST_AUTO_TEST_CASE(AnEarlierLearnerOfTheSameAddressIsRemoved) {
  Replica State = threeVoters();
  State.m_Set.m_Learners.push_back(keeper("d-1", "d"));
  RepairStep Step = nextRepair(State, asking(keeper("d-2", "d"), Millis(0)),
                               OneLoss, Millis(10));
  BOOST_TEST((Step.m_Kind == RepairStep::Kind::Remove));
  BOOST_TEST(Step.m_Keeper.m_Keeper == KeeperId("d-1"));
}

// Guards against an identity that returns after its removal, and against a
// request to join that outlives its sender.
BOOST_AUTO_TEST_CASE(RemovedAndSilentKeepersAreNotAdded) {
  Replica State = threeVoters();
  State.m_Set.m_Removed.push_back(KeeperId("d-1"));
  RepairStep Step = nextRepair(State, asking(keeper("d-1", "d"), Millis(0)),
                               OneLoss, Millis(10));
  BOOST_TEST((Step.m_Kind == RepairStep::Kind::None));
  Step = nextRepair(State, asking(keeper("e-1", "e"), Millis(0)), OneLoss,
                    JoinRequestLifetime + Millis(1));
  BOOST_TEST((Step.m_Kind == RepairStep::Kind::None));
}

// Guards against a set that shrinks below its first size because VMs are down,
// and against one that keeps counting VMs that never return.
BOOST_AUTO_TEST_CASE(ASilentVoterIsRemovedOnlyFromALargerSet) {
  Millis Later = LostVoterTimeout + Millis(1);
  Replica Three = threeVoters();
  BOOST_TEST(
      (nextRepair(Three, {}, OneLoss, Later).m_Kind == RepairStep::Kind::None));
  Replica Four = leaderOfAll("abcd");
  recordAnswers(Four, "bd", Later);
  RepairStep Step = nextRepair(Four, {}, OneLoss, Later);
  BOOST_TEST((Step.m_Kind == RepairStep::Kind::Remove));
  BOOST_TEST(Step.m_Keeper.m_Keeper == KeeperId("c"));
  Four.m_Role = ReplicaRole::Follower;
  BOOST_TEST(
      (nextRepair(Four, {}, OneLoss, Later).m_Kind == RepairStep::Kind::None));
}

// Guards against a leader in office for long that removes whatever joins: the
// silence of a new learner counted from the leader's election.
BOOST_AUTO_TEST_CASE(ANewLearnerHasTimeForItsFirstAnswer) {
  const Millis Joined = LostVoterTimeout + Millis(60000);
  const KeeperAddress Fresh = keeper("e-1", "e");
  Replica State = leaderOfAll("abcd");
  ReplicaActions Actions;
  BOOST_REQUIRE(
      (addLearner(State, Fresh, Actions, Joined) == ProposeError::None));
  for (Millis Since : {Millis(10), Millis(500), Millis(5000), LostVoterTimeout,
                       LostVoterTimeout + Millis(1)}) {
    recordAnswers(State, "bcd", Joined + Since);
    RepairStep Step = nextRepair(State, {}, OneLoss, Joined + Since);
    BOOST_TEST_CONTEXT("learner without an answer for " << Since.m_Value
                                                        << " ms")
    BOOST_TEST(
        (Step.m_Kind == (Since > LostVoterTimeout ? RepairStep::Kind::Remove
                                                  : RepairStep::Kind::None)));
  }
}

// Guards against VMs that were replaced one after the other and still count:
// with three of them among eight voters, one more loss would leave no quorum.
BOOST_AUTO_TEST_CASE(SilentVotersThatLeaveNoLossBearableAreRemovedSoon) {
  Replica Eight = leaderOfAll("abcdefgh");
  for (Millis Now : {UrgentRemoval, UrgentRemoval + Millis(1)}) {
    recordAnswers(Eight, "bcde", Now);
    RepairStep Step = nextRepair(Eight, {}, OneLoss, Now);
    BOOST_TEST((Step.m_Kind == (Now > UrgentRemoval ? RepairStep::Kind::Remove
                                                    : RepairStep::Kind::None)));
  }
}

// Guards against a replaced VM that still counts when the next one leaves: six
// voters with one silent bear one loss, five without it bear two.
BOOST_AUTO_TEST_CASE(ASilentVoterIsRemovedEarlyWhereTheSetBearsJustEnough) {
  Replica Six = leaderOfAll("abcdef");
  for (Millis Now : {EarlyRemoval, EarlyRemoval + Millis(1)}) {
    recordAnswers(Six, "bcde", Now);
    RepairStep Step = nextRepair(Six, {}, OneLoss, Now);
    BOOST_TEST((Step.m_Kind == (Now > EarlyRemoval ? RepairStep::Kind::Remove
                                                   : RepairStep::Kind::None)));
  }
}

// Guards against removing a voter that is briefly away from a set that gains
// nothing by it: five voters with one silent bear one loss, four bear one.
BOOST_AUTO_TEST_CASE(ASilentVoterStaysWhereItsRemovalGainsNothing) {
  Replica Five = leaderOfAll("abcde");
  recordAnswers(Five, "bcd", LostVoterTimeout);
  BOOST_TEST((nextRepair(Five, {}, OneLoss, LostVoterTimeout).m_Kind ==
              RepairStep::Kind::None));
}

// Guards against a set that shrinks until the tolerated losses leave no
// majority: two need five voters, whatever the first set had.
BOOST_AUTO_TEST_CASE(ToleratedLossesKeepTheSetFromShrinking) {
  const Millis Later = LostVoterTimeout + Millis(1);
  Replica State = leaderOfAll("abcde");
  recordAnswers(State, "bcd", Later);
  BOOST_TEST(
      (nextRepair(State, {}, {3, 2}, Later).m_Kind == RepairStep::Kind::None));
  BOOST_TEST((nextRepair(State, {}, {3, 1}, Later).m_Kind ==
              RepairStep::Kind::Remove));
}

BOOST_AUTO_TEST_SUITE_END()
