#include "vanillaferry/request/placement.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace vanillaferry;

namespace {

PoolSettings makeSettings(std::size_t Targets) {
  PoolSettings Settings;
  Settings.m_Id = PoolId("engines");
  for (std::size_t I = 0; I < Targets; ++I) {
    TargetSettings Target;
    Target.m_Id = TargetId("engine-" + std::to_string(I));
    Target.m_Vm = VmId("vm-" + std::to_string(I));
    Target.m_Zone = ZoneId(I % 2 == 0 ? "A" : "B");
    Target.m_CacheTokens = Tokens(100000);
    Settings.m_Targets.push_back(Target);
  }
  return Settings;
}

const std::vector<ZoneSettings> BothZones{{ZoneId("A"), true},
                                          {ZoneId("B"), true}};

Membership makeMembers(std::size_t Count) {
  Membership Members;
  Members.m_Epoch = Epoch(1);
  for (std::size_t I = 0; I < Count; ++I) {
    Member One;
    One.m_Node = NodeId("router-" + std::to_string(I));
    Members.m_Members.push_back(One);
  }
  return Members;
}

/// One owner of all targets, warm, with the mean of a pool of its own.
OwnerPool makeOwner(std::size_t Targets) {
  OwnerPool Pool;
  Pool.m_Settings = makeSettings(Targets);
  setTargetCount(Pool.m_PoolTargets, Targets, true, Millis());
  for (const TargetSettings &Settings : Pool.m_Settings.m_Targets) {
    OwnedTarget &Target = Pool.m_Targets[Settings.m_Id];
    Target.m_State = makeTargetState(Settings, 0);
    Target.m_State.m_RampLimit = Target.m_State.m_MaxConcurrent;
    Target.m_Prefixes.m_Capacity = Settings.m_CacheTokens;
    Target.m_InService = Target.m_Dispatchable = true;
  }
  return Pool;
}

TargetId engine(std::size_t I) {
  return TargetId("engine-" + std::to_string(I));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Placement)

// Guards against routers with equal views that disagree on a chat's home, for
// instance because the document lists the targets in another order.
BOOST_AUTO_TEST_CASE(EqualViewsGiveEqualRanks) {
  BOOST_TEST(rc::check("equal views, equal ranks", [](std::uint64_t Chat) {
    PoolSettings Settings = makeSettings(17);
    PoolView View = makePoolView(Settings, BothZones, VmView(), Millis());
    std::reverse(Settings.m_Targets.begin(), Settings.m_Targets.end());
    PoolView Other = makePoolView(Settings, BothZones, VmView(), Millis(9));
    RC_ASSERT(rankTargets(View, Chat, 4) == rankTargets(Other, Chat, 4));
  }));
}

// Guards against moving chats of other targets when one target leaves.
BOOST_AUTO_TEST_CASE(OnlyTheChatsOfALeavingTargetChangeTheirHome) {
  BOOST_TEST(rc::check("minimal disruption", [](std::uint64_t Chat) {
    PoolSettings Settings = makeSettings(20);
    PoolView View = makePoolView(Settings, BothZones, VmView(), Millis());
    Settings.m_Targets.erase(Settings.m_Targets.begin() + 5);
    PoolView Without = makePoolView(Settings, BothZones, VmView(), Millis());
    const TargetId &Before =
        View.m_Targets[rankTargets(View, Chat, 1)[0]].m_Settings.m_Id;
    const TargetId &After =
        Without.m_Targets[rankTargets(Without, Chat, 1)[0]].m_Settings.m_Id;
    RC_ASSERT(Before == After || Before == engine(5));
  }));
}

// Guards against new requests at a zone or VM that is out of service, and
// against losing VMs that are only missing from an outdated list.
BOOST_AUTO_TEST_CASE(ZonesAndLeavingVmsLeaveTheView) {
  PoolSettings Settings = makeSettings(4);
  VmView Vms;
  Vms.m_Configured = true;
  updateVms(Vms,
            {{VmId("vm-0"), ZoneId("A"), VmState::Live},
             {VmId("vm-1"), ZoneId("B"), VmState::Live},
             {VmId("vm-2"), ZoneId("A"), VmState::Leaving}},
            Millis(0));
  PoolView View = makePoolView(Settings, BothZones, Vms, Millis(0));
  BOOST_TEST(View.m_Targets.size() == 2U);
  updateVms(Vms, {{VmId("vm-1"), ZoneId("B"), VmState::Live}}, Millis(1000));
  BOOST_TEST(vmInService(Vms, VmId("vm-0"), Millis(10999)));
  BOOST_TEST(!vmInService(Vms, VmId("vm-0"), Millis(11000)));
  View = makePoolView(Settings, {{ZoneId("A"), true}, {ZoneId("B"), false}},
                      Vms, Millis(2000));
  BOOST_REQUIRE(View.m_Targets.size() == 1U);
  BOOST_TEST(View.m_Targets[0].m_Settings.m_Id == engine(0));
}

// Guards against a search that never ends or asks one owner twice for any of
// its targets.
BOOST_AUTO_TEST_CASE(ASearchIsBoundedWhenEveryOwnerDeclines) {
  BOOST_TEST(rc::check("bounded search", [](std::uint32_t Seed) {
    std::size_t Targets = 1 + Seed % 40;
    RoutedPool Pool = makeRoutedPool(
        makePoolView(makeSettings(Targets), BothZones, VmView(), Millis()),
        makeMembers(1 + Seed % 9));
    OwnerSearchOptions Options;
    OwnerSearch Search =
        beginOwnerSearch(Pool, ChatId(std::to_string(Seed)), Options);
    std::size_t Asked = 0;
    std::set<NodeId> AnyAsked;
    for (OwnerSearchStep Step = nextOwnerSearchStep(Search, Pool); Step.m_Ask;
         Step = nextOwnerSearchStep(Search, Pool)) {
      ++Asked;
      if (Step.m_AnyTarget)
        RC_ASSERT(AnyAsked.insert(Step.m_Owner).second);
      // Every owner names a holder; only the first one may be followed.
      handleDecline(Search, Step, Step.m_AnyTarget ? TargetId() : engine(0));
    }
    // The home is asked twice when it names a holder: before and after it.
    RC_ASSERT(Asked <= 2 + Options.m_Ranks + Options.m_AnyOwners);
  }));
}

// Guards against processing an overflowed chat's prefix again at its home.
BOOST_AUTO_TEST_CASE(TheHomeNamesAHolderOfAnotherOwner) {
  OwnerPool Home = makeOwner(2);
  notePlaced(Home.m_Redirects, 7, engine(0), engine(9));
  PlacementRequest Asked;
  Asked.m_Chat = 7;
  Asked.m_Target = engine(0);
  PlacementDecision Decision = decidePlacement(Home, Asked, Millis());
  BOOST_TEST(!Decision.m_Admitted);
  BOOST_TEST(Decision.m_Holder == engine(9));
  Asked.m_IgnoreRedirect = true;
  BOOST_TEST(decidePlacement(Home, Asked, Millis()).m_Admitted);
}

// Guards against a dispatch by a node that no longer owns the target.
BOOST_AUTO_TEST_CASE(ATargetThatMayNotBeDispatchedToIsNotOwned) {
  OwnerPool Pool = makeOwner(1);
  Pool.m_Targets[engine(0)].m_Dispatchable = false;
  PlacementRequest Asked;
  Asked.m_Target = engine(0);
  BOOST_TEST((decidePlacement(Pool, Asked, Millis()).m_Why ==
              PlacementReason::NotOwner));
  Asked.m_AnyTarget = true;
  BOOST_TEST(!decidePlacement(Pool, Asked, Millis()).m_Admitted);
}

// Guards against giving up a cached prefix although its target is free again
// soon, and against waiting for it without a bound.
BOOST_AUTO_TEST_CASE(ARequestWaitsForItsFullHolderForABoundedTime) {
  OwnerPool Pool = makeOwner(4);
  OwnedTarget &Holder = Pool.m_Targets[engine(1)];
  recordChat(Holder.m_Prefixes, 7, Tokens(1000));
  Holder.m_State.m_Running = 4;
  PlacementRequest Asked;
  Asked.m_Chat = 7;
  Asked.m_Target = engine(0);
  BOOST_REQUIRE((decidePlacement(Pool, Asked, Millis()).m_Why ==
                 PlacementReason::HolderBusy));
  parkRequest(Pool, RequestId("r"), Asked, Millis());
  BOOST_TEST(!nextParked(Pool, Millis(100)).has_value());
  OwnerPool &Freed = Pool;
  Freed.m_Targets[engine(1)].m_State.m_Running = 0;
  std::optional<ParkedDecision> Next = nextParked(Pool, Millis(200));
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->m_Decision.m_Target == engine(1));
  Holder.m_State.m_Running = 4;
  parkRequest(Pool, RequestId("s"), Asked, Millis(200));
  Next = nextParked(Pool, Millis(200) + Pool.m_Options.m_HolderWaitLatency);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->m_Decision.m_Admitted);
  BOOST_TEST(Next->m_Decision.m_Target != engine(1));
}

// Guards against unbounded memory for redirects and prefixes.
BOOST_AUTO_TEST_CASE(RedirectsAndPrefixesAreBounded) {
  RedirectTable Redirects;
  Redirects.m_Capacity = 10;
  PrefixTable Table;
  Table.m_Capacity = Tokens(1000);
  for (std::uint64_t Chat = 0; Chat < 1000; ++Chat) {
    notePlaced(Redirects, Chat, engine(0), engine(1 + Chat % 3));
    recordChat(Table, Chat, Tokens(100));
  }
  BOOST_TEST(Redirects.m_ByChat.size() == 10U);
  BOOST_TEST(Table.m_ByChat.size() == 10U);
  BOOST_TEST(Table.m_Used.m_Value == 1000);
  BOOST_TEST(heldTokens(Table, 989).m_Value == 0);
  BOOST_TEST(heldTokens(Table, 990).m_Value == 100);
  dropRedirects(Redirects, engine(1));
  BOOST_TEST(Redirects.m_ByChat.size() < 10U);
}

// Guards against a chat that returns to a target with an old, short copy
// although the target of its last turn has a place.
BOOST_AUTO_TEST_CASE(TheLongestCopyComesBeforeTheLeastLoad) {
  OwnerPool Pool = makeOwner(4);
  recordChat(Pool.m_Targets[engine(0)].m_Prefixes, 7, Tokens(100));
  recordChat(Pool.m_Targets[engine(2)].m_Prefixes, 7, Tokens(300));
  for (std::size_t I : {0, 1, 1, 1, 2, 2, 3, 3, 3})
    startRequest(Pool.m_Targets[engine(I)].m_State);
  PlacementRequest Request;
  Request.m_Chat = 7;
  Request.m_Target = engine(1);
  PlacementDecision Decision = decidePlacement(Pool, Request, Millis());
  BOOST_TEST(Decision.m_Target == engine(2));
  recordChat(Pool.m_Targets[engine(0)].m_Prefixes, 7, Tokens(300));
  Decision = decidePlacement(Pool, Request, Millis());
  BOOST_TEST(Decision.m_Target == engine(0));
}

// Guards against late cache events that overwrite newer ones, and against an
// undetected gap.
BOOST_AUTO_TEST_CASE(LateCacheEventsAreIgnoredAndGapsReported) {
  PrefixTable Table;
  Table.m_Capacity = Tokens(1000);
  BOOST_TEST(
      takeCacheEvents(Table, {{1, CacheEventKind::Stored, 7, Tokens(100)},
                              {2, CacheEventKind::Evicted, 7, Tokens()}}));
  BOOST_TEST(
      takeCacheEvents(Table, {{1, CacheEventKind::Stored, 7, Tokens(100)}}));
  BOOST_TEST(heldTokens(Table, 7).m_Value == 0);
  BOOST_TEST(
      !takeCacheEvents(Table, {{4, CacheEventKind::Stored, 8, Tokens(50)}}));
  BOOST_TEST(heldTokens(Table, 8).m_Value == 50);
}

BOOST_AUTO_TEST_SUITE_END()
