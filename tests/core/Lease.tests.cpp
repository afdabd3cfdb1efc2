#include "LeaseWorld.hpp"
#include "Property.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

/// Clocks differ by up to 0.5% each way: within the drift bound of 1%.
constexpr std::int64_t DriftWithinBound = 500;
/// 12% each way: far beyond the bound.
constexpr std::int64_t DriftBeyondBound = 12000;

std::vector<WorldStep> drawSteps() {
  return *rc::gen::resize(250, rc::gen::container<std::vector<WorldStep>>(
                                   rc::gen::tuple(rc::gen::inRange(0, 100),
                                                  rc::gen::inRange(0, 1000),
                                                  rc::gen::inRange(0, 250))));
}

LeaseWorld runWorld(std::int64_t Drift, const std::vector<WorldStep> &Steps) {
  LeaseWorld World = makeWorld(3, Drift);
  for (const WorldStep &Step : Steps) {
    runStep(World, Step);
    if (!World.m_Fault.empty())
      break;
  }
  return World;
}

/// Lets all nodes join, and a full lease time pass with renewals.
void settle(LeaseWorld &World) {
  for (int Round = 0; Round < 12; ++Round) {
    for (std::size_t Process : World.m_CurrentProcesses)
      exchange(World, Process);
    advanceTime(World, 400);
  }
}

std::size_t dispatchableTargets(const LeaseWorld &World) {
  std::size_t Count = 0;
  for (const TargetId &Target : World.m_Targets)
    Count += dispatchers(World, Target);
  return Count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Lease)

// Guards against two processes at one target, a router that takes work under a
// version older than the one reported in force, and shares above the limit:
// with lost, late and reordered messages, restarts, processes that run on
// after they were replaced, leader changes and clocks within the drift bound.
BOOST_AUTO_TEST_CASE(RandomFaultsNeverBreakTheInvariants) {
  std::uint64_t Dispatchable = 0;
  std::uint64_t InForce = 0;
  std::uint64_t Moved = 0;
  requireProperty("lease invariants", 400, [&] {
    std::vector<WorldStep> Steps = drawSteps();
    LeaseWorld World = runWorld(DriftWithinBound, Steps);
    Dispatchable += World.m_Dispatchable;
    InForce += World.m_InForceReports;
    Moved += World.m_MembershipChanges;
    if (!World.m_Fault.empty())
      RC_FAIL(World.m_Fault);
  });
  std::cout << "dispatchable " << Dispatchable << ", in force " << InForce
            << ", memberships taken " << Moved << std::endl;
  BOOST_TEST(Dispatchable > 0U);
  BOOST_TEST(InForce > 0U);
  BOOST_TEST(Moved > 0U);
}

// Guards against a check that cannot fail: with clocks that drift beyond the
// bound the same runs must show a fault.
BOOST_AUTO_TEST_CASE(ClocksBeyondTheDriftBoundAreDetected) {
  rc::detail::TestResult Outcome =
      runProperty("lease invariants beyond the drift bound", 4000, [] {
        LeaseWorld World = runWorld(DriftBeyondBound, drawSteps());
        if (!World.m_Fault.empty())
          RC_FAIL(World.m_Fault);
      });
  BOOST_TEST(Outcome.is<rc::detail::FailureResult>());
}

// Guards against rules so strict that no router may dispatch.
BOOST_AUTO_TEST_CASE(EveryTargetHasOneDispatcherOnceTheFleetHasSettled) {
  LeaseWorld World = makeWorld(3, DriftWithinBound);
  settle(World);
  for (const TargetId &Target : World.m_Targets)
    BOOST_TEST(dispatchers(World, Target) == 1U);
  BOOST_TEST(World.m_Fault == "");
}

// Guards against a suspended router that resumes after its lease has expired
// and still dispatches.
BOOST_AUTO_TEST_CASE(FrozenRouterSendsNothingAndItsTargetsMoveAfterItsLease) {
  LeaseWorld World = makeWorld(2, DriftWithinBound);
  settle(World);
  RouterProcess &Frozen = World.m_Processes[0];
  for (int Round = 0; Round < 12; ++Round) {
    exchange(World, World.m_CurrentProcesses[1]);
    leaderTick(World);
    commitAll(World);
    advanceTime(World, 500);
  }
  BOOST_TEST(
      !leaseHolds(Frozen.m_Lease, readClock(Frozen.m_Clock, World.m_Now)));
  for (const TargetId &Target : World.m_Targets)
    BOOST_TEST(dispatchers(World, Target) == 1U);
  BOOST_TEST(World.m_State.m_Members.size() == 1U);
  // The router joins again with the same incarnation.
  settle(World);
  BOOST_TEST(World.m_State.m_Members.size() == 2U);
  BOOST_TEST(dispatchableTargets(World) == World.m_Targets.size());
  BOOST_TEST(World.m_Fault == "");
}

// Guards against a new owner that dispatches while an interrupted former owner
// counts its old ownership as unbroken across two memberships that it missed.
BOOST_AUTO_TEST_CASE(InterruptedOwnerCountsAsANewOwner) {
  RouterLease Held;
  Held.m_Node = NodeId("a");
  std::uint64_t First = beginRenewal(Held, Millis(0));
  Grant Granted;
  Granted.m_Sequence = First;
  Granted.m_Duration = Millis(3000);
  Granted.m_Epoch = Epoch(5);
  Granted.m_SafeEpoch = Epoch(5);
  BOOST_TEST(acceptGrant(Held, Granted, Millis(10)));
  OwnedTargets Owned;
  Owned.m_Node = NodeId("a");
  Membership Members{Epoch(5), {{NodeId("a"), {}, {}, {}, false}}};
  updateOwned(Owned, Members, {TargetId("t")});
  BOOST_TEST(mayDispatchNow(Held, Owned, TargetId("t"), Millis(20)));
  // Epoch 8 gave the target away and epoch 12 gave it back meanwhile.
  Granted.m_Sequence = beginRenewal(Held, Millis(5000));
  Granted.m_Epoch = Epoch(12);
  Granted.m_SafeEpoch = Epoch(8);
  BOOST_TEST(acceptGrant(Held, Granted, Millis(5010)));
  Members.m_Epoch = Epoch(12);
  updateOwned(Owned, Members, {TargetId("t")});
  BOOST_TEST(!mayDispatchNow(Held, Owned, TargetId("t"), Millis(5020)));
  Granted.m_Sequence = beginRenewal(Held, Millis(6000));
  Granted.m_SafeEpoch = Epoch(12);
  BOOST_TEST(acceptGrant(Held, Granted, Millis(6010)));
  BOOST_TEST(mayDispatchNow(Held, Owned, TargetId("t"), Millis(6020)));
}

// Guards against a lease that counts from the arrival of the grant.
BOOST_AUTO_TEST_CASE(LeaseCountsFromTheRenewalLessTheDriftBound) {
  RouterLease Held;
  Grant Granted;
  Granted.m_Sequence = beginRenewal(Held, Millis(1000));
  Granted.m_Duration = Millis(3000);
  BOOST_TEST(acceptGrant(Held, Granted, Millis(2500)));
  BOOST_TEST(leaseHolds(Held, Millis(1000 + 2969)));
  BOOST_TEST(!leaseHolds(Held, Millis(1000 + 2970)));
  // The same answer again, and an answer to no renewal, change nothing.
  BOOST_TEST(!acceptGrant(Held, Granted, Millis(2600)));
  Granted.m_Sequence = 77;
  BOOST_TEST(!acceptGrant(Held, Granted, Millis(2600)));
}

// Guards against shares that the former leader gave away after the lease ended
// and that a new leader grants again, in answer to a renewal from before.
BOOST_AUTO_TEST_CASE(GrantForARenewalOfAnEndedLeaseIsNotTaken) {
  RouterLease Held;
  Grant Granted;
  Granted.m_Duration = Millis(3000);
  Granted.m_Sequence = beginRenewal(Held, Millis(0));
  BOOST_TEST(acceptGrant(Held, Granted, Millis(10)));
  Granted.m_Sequence = beginRenewal(Held, Millis(2900));
  BOOST_TEST(!acceptGrant(Held, Granted, Millis(3100)));
  BOOST_TEST(!leaseHolds(Held, Millis(3100)));
  BOOST_TEST(renewalDue(Held, Millis(3100)));
  Granted.m_Sequence = beginRenewal(Held, Millis(3100));
  BOOST_TEST(acceptGrant(Held, Granted, Millis(3110)));
}

// Guards against late messages of a process that was replaced.
BOOST_AUTO_TEST_CASE(ReplacedIncarnationGetsNoGrantAndCannotComeBack) {
  LeaseWorld World = makeWorld(2, DriftWithinBound);
  settle(World);
  std::size_t Old = World.m_CurrentProcesses[0];
  restartNode(World, 0);
  settle(World);
  Incarnation Present =
      World.m_Processes[World.m_CurrentProcesses[0]].m_Lease.m_Incarnation;
  sendRenewal(World, Old);
  deliverMessage(World, World.m_InFlight.size() - 1);
  BOOST_TEST(World.m_InFlight.empty());
  BOOST_TEST(World.m_Uncommitted.empty());
  BOOST_TEST(World.m_State.m_Members[NodeId("node-0")].m_Incarnation ==
             Present);
  BOOST_TEST(World.m_Fault == "");
}

// Guards against a safe epoch that ignores the lease of a process which was
// replaced but may still run.
BOOST_AUTO_TEST_CASE(ReplacedIncarnationsLeaseIsWaitedOut) {
  LeaseWorld World = makeWorld(1, DriftWithinBound);
  settle(World);
  restartNode(World, 0);
  exchange(World, World.m_CurrentProcesses[0]);
  exchange(World, World.m_CurrentProcesses[0]);
  exchange(World, World.m_CurrentProcesses[0]);
  BOOST_TEST(World.m_Table.m_Former.size() == 1U);
  RouterProcess &New = World.m_Processes[World.m_CurrentProcesses[0]];
  BOOST_TEST(leaseHolds(New.m_Lease, readClock(New.m_Clock, World.m_Now)));
  BOOST_TEST(dispatchableTargets(World) <= World.m_Targets.size());
  settle(World);
  BOOST_TEST(dispatchableTargets(World) == World.m_Targets.size());
  BOOST_TEST(World.m_Fault == "");
}

// Guards against a new leader that removes members or reports edits in force
// while leases of the former leader hold.
BOOST_AUTO_TEST_CASE(NewLeaderWaitsOneLeaseTimeBeforeItEndsOrReportsAnything) {
  LeaseWorld World = makeWorld(2, DriftWithinBound);
  settle(World);
  changeLeader(World, false, 3);
  Millis Elected = readClock(World.m_LeaderClock, World.m_Now);
  DocumentVersion Version = World.m_State.m_Document.m_Version;
  Millis Before = Elected + Millis(2999);
  BOOST_TEST(expiredLeases(World.m_Table, World.m_State, Before).empty());
  BOOST_TEST(!inForceEverywhere(World.m_Table, World.m_State, Version, Before));
  BOOST_TEST(safeEpoch(World.m_Table, World.m_State, Before) == Epoch(0));
  Millis After = Elected + Millis(3000);
  BOOST_TEST(expiredLeases(World.m_Table, World.m_State, After).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
