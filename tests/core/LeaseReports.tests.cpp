#include "Property.hpp"
#include "vanillaferry/process/lease_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

/// A leader with two members whose former leases have ended.
struct Leader {
  StateMachine m_State;
  LeaseTable m_Table;
  Millis m_Now{10000};
  std::map<NodeId, std::uint64_t> m_Sequences;

  Leader() {
    m_Table = makeLeaseTable({}, m_State, Millis(0));
    join("a", 1);
    join("b", 2);
  }
  void apply(const Command &Input) {
    applyCommand(m_State, m_State.m_Applied + LogIndex(1), Input);
  }
  void join(const std::string &Node, std::uint64_t Which) {
    apply(AddMember{{NodeId(Node), Incarnation(Which), "", ZoneId(), false}});
  }
  Renew renewal(const std::string &Node, std::uint64_t Which) {
    Renew Request;
    Request.m_Node = NodeId(Node);
    Request.m_Incarnation = Incarnation(Which);
    Request.m_Sequence = ++m_Sequences[Request.m_Node];
    Request.m_AckedEpoch = m_State.m_Epoch;
    return Request;
  }
  Grant renew(const Renew &Request) {
    RenewDecision Decision = renewLease(m_Table, m_State, Request, m_Now);
    BOOST_REQUIRE(Decision.m_Grant.has_value());
    return *Decision.m_Grant;
  }
  /// A target that this node owns now.
  TargetId targetOf(const std::string &Node) {
    Membership Members{m_State.m_Epoch, {}};
    for (const std::pair<const NodeId, Member> &Row : m_State.m_Members)
      Members.m_Members.push_back(Row.second);
    for (int I = 0;; ++I) {
      TargetId Target("t" + std::to_string(I));
      if (*ownerOf(Members, Target) == NodeId(Node))
        return Target;
    }
  }
};

std::uint32_t sumOf(const std::map<NodeId, std::uint32_t> &Shares) {
  std::uint32_t Sum = 0;
  for (const std::pair<const NodeId, std::uint32_t> &Row : Shares)
    Sum += Row.second;
  return Sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeaseReports)

// Guards against a pool total that is above what runs: reports that are old or
// of ended leases count nothing.
BOOST_AUTO_TEST_CASE(PoolTotalsLeaveOutEndedLeasesAndStateTheirAge) {
  Leader Keeper;
  Renew A = Keeper.renewal("a", 1);
  A.m_Pools = {{PoolId("p"), 5}, {PoolId("q"), 1}};
  Keeper.renew(A);
  Keeper.m_Now = Keeper.m_Now + Millis(700);
  Renew B = Keeper.renewal("b", 2);
  B.m_Pools = {{PoolId("p"), 3}};
  Grant Granted = Keeper.renew(B);
  BOOST_REQUIRE(Granted.m_Totals.size() == 2U);
  BOOST_TEST(Granted.m_Totals[0].m_Running == 8U);
  BOOST_TEST(Granted.m_Totals[0].m_Age == Millis(700));
  BOOST_TEST(Granted.m_Totals[1].m_Running == 1U);
  // The lease of a ends at 3000 ms after its renewal.
  Keeper.m_Now = Millis(13000);
  B.m_Sequence = ++Keeper.m_Sequences[NodeId("b")];
  Granted = Keeper.renew(B);
  BOOST_REQUIRE(Granted.m_Totals.size() == 1U);
  BOOST_TEST(Granted.m_Totals[0].m_Running == 3U);
  BOOST_TEST(Granted.m_Totals[0].m_Age == Millis(0));
}

// Guards against an engine that gets a full load from its new owner while
// requests of the former one run on.
BOOST_AUTO_TEST_CASE(RequestsOfFormerAndEndedOwnersAreReportedToTheOwner) {
  Leader Keeper;
  TargetId Target = Keeper.targetOf("b");
  Renew A = Keeper.renewal("a", 1);
  A.m_Targets = {{Target, 4}, {Keeper.targetOf("a"), 9}};
  Keeper.renew(A);
  Grant Granted = Keeper.renew(Keeper.renewal("b", 2));
  BOOST_REQUIRE(Granted.m_Residual.size() == 1U);
  BOOST_TEST(Granted.m_Residual[0].m_Target == Target);
  BOOST_TEST(Granted.m_Residual[0].m_Running == 4U);
  // After the lease of a has ended and a was removed, b owns all its targets.
  Keeper.m_Now = Keeper.m_Now + Millis(4000);
  Keeper.apply(RemoveMember{NodeId("a"), Incarnation(1)});
  Granted = Keeper.renew(Keeper.renewal("b", 2));
  std::uint32_t Sum = 0;
  for (const TargetLoad &Load : Granted.m_Residual)
    Sum += Load.m_Running;
  BOOST_TEST(Sum == 13U);
  // After m_ResidualMaxAge its requests no longer count.
  Keeper.m_Now = Keeper.m_Now + Millis(60000);
  Granted = Keeper.renew(Keeper.renewal("b", 2));
  BOOST_TEST(Granted.m_Residual.empty());
}

// Guards against a restarted router that forgets what its former process left
// running at its own targets.
BOOST_AUTO_TEST_CASE(RequestsOfTheFormerIncarnationCountForTheNewOne) {
  Leader Keeper;
  TargetId Target = Keeper.targetOf("a");
  Renew Old = Keeper.renewal("a", 1);
  Old.m_Targets = {{Target, 6}};
  Keeper.renew(Old);
  Keeper.join("a", 7);
  Keeper.m_Sequences[NodeId("a")] = 0;
  Grant Granted = Keeper.renew(Keeper.renewal("a", 7));
  BOOST_REQUIRE(Granted.m_Residual.size() == 1U);
  BOOST_TEST(Granted.m_Residual[0].m_Running == 6U);
  BOOST_TEST(Granted.m_SafeEpoch < Keeper.m_State.m_Epoch);
}

// Guards against a router that stays an owner while it shuts down.
BOOST_AUTO_TEST_CASE(LeavingNodeGivesItsTargetsAwayAndKeepsItsLease) {
  Leader Keeper;
  Renew Leaving = Keeper.renewal("a", 1);
  Leaving.m_Leaving = true;
  RenewDecision Decision =
      renewLease(Keeper.m_Table, Keeper.m_State, Leaving, Keeper.m_Now);
  BOOST_TEST(Decision.m_Grant.has_value());
  BOOST_REQUIRE(Decision.m_Propose.size() == 1U);
  Keeper.apply(Decision.m_Propose[0]);
  Membership Members{Keeper.m_State.m_Epoch, {}};
  for (const std::pair<const NodeId, Member> &Row : Keeper.m_State.m_Members)
    Members.m_Members.push_back(Row.second);
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(*ownerOf(Members, TargetId("t" + std::to_string(I))) ==
               NodeId("b"));
  // A late renewal from before does not bring it back.
  Keeper.apply(AddMember{{NodeId("a"), Incarnation(1), "", ZoneId(), false}});
  BOOST_TEST(Keeper.m_State.m_Members[NodeId("a")].m_Leaving);
}

// Guards against ownership that moves for targets whose owner stayed, and
// against a very uneven spread.
BOOST_AUTO_TEST_CASE(OneMoreNodeMovesOnlyTheTargetsThatItTakes) {
  Membership Before{Epoch(1), {}};
  for (int I = 0; I < 9; ++I)
    Before.m_Members.push_back(
        {NodeId("n" + std::to_string(I)), {}, "", ZoneId(), false});
  Membership After = Before;
  After.m_Members.insert(After.m_Members.begin() + 4,
                         {NodeId("new"), {}, "", ZoneId(), false});
  std::map<NodeId, int> Counts;
  for (int I = 0; I < 10000; ++I) {
    TargetId Target("target-" + std::to_string(I));
    NodeId Old = *ownerOf(Before, Target);
    NodeId New = *ownerOf(After, Target);
    BOOST_TEST((New == Old || New == NodeId("new")));
    ++Counts[New];
  }
  for (const std::pair<const NodeId, int> &Row : Counts)
    BOOST_TEST((Row.second > 800 && Row.second < 1200));
  BOOST_TEST(!ownerOf(Membership(), TargetId("t")).has_value());
}

// Guards against a division that gives more than the limit or than is asked,
// or leaves units while a claim is unmet.
BOOST_AUTO_TEST_CASE(MaxMinDivisionIsExactAndFair) {
  requireProperty("max-min division", 5000, [] {
    std::uint32_t Limit = *rc::gen::inRange<std::uint32_t>(0, 500);
    std::vector<ShareClaim> Claims;
    std::uint64_t Wanted = 0;
    std::size_t Count = *rc::gen::inRange<std::size_t>(0, 12);
    for (std::size_t I = 0; I < Count; ++I) {
      ShareClaim Claim{NodeId("n" + std::to_string(I)),
                       *rc::gen::inRange<std::uint32_t>(0, 200),
                       *rc::gen::inRange<std::uint32_t>(1, 5)};
      Wanted += Claim.m_Demand;
      Claims.push_back(Claim);
    }
    std::map<NodeId, std::uint32_t> Shares = divideMaxMin(Limit, Claims);
    RC_ASSERT(sumOf(Shares) == std::min<std::uint64_t>(Limit, Wanted));
    for (const ShareClaim &A : Claims) {
      RC_ASSERT(Shares[A.m_Node] <= A.m_Demand);
      // Nobody with a claim that is not met has less than its weight's part of
      // what another has, but for the rounding.
      for (const ShareClaim &B : Claims)
        if (Shares[A.m_Node] < A.m_Demand)
          RC_ASSERT((std::uint64_t(Shares[A.m_Node]) + 1) * B.m_Weight >=
                    std::uint64_t(std::max(Shares[B.m_Node], 1U) - 1) *
                        A.m_Weight);
    }
  });
}

// Guards against a share that is given to a second node while the first one may
// still use it, and against one that is never given.
BOOST_AUTO_TEST_CASE(ShrunkShareIsGivenOnceItWasAcknowledged) {
  Leader Keeper;
  EditSection Accounts;
  Accounts.m_Section = SectionName("accounts");
  Accounts.m_Json = R"({"accounts":[{"id":"x","api_key_sha256":[],
    "max_concurrent":10,"requests_per_second":1}]})";
  Keeper.apply(Accounts);
  Renew A = Keeper.renewal("a", 1);
  A.m_Accounts = {{AccountId("x"), 0, 50, 0}};
  BOOST_TEST(Keeper.renew(A).m_Shares.at(0).m_Limit == 10U);
  Renew B = Keeper.renewal("b", 2);
  B.m_Accounts = {{AccountId("x"), 0, 50, 0}};
  BOOST_TEST(Keeper.renew(B).m_Shares.at(0).m_Limit == 0U);
  // The smaller share is on its way to a, which still runs 10.
  A.m_Accounts = {{AccountId("x"), 10, 40, 10}};
  A.m_AckedGrant = A.m_Sequence;
  A.m_Sequence = ++Keeper.m_Sequences[NodeId("a")];
  BOOST_TEST(Keeper.renew(A).m_Shares.at(0).m_Limit == 5U);
  B.m_Sequence = ++Keeper.m_Sequences[NodeId("b")];
  BOOST_TEST(Keeper.renew(B).m_Shares.at(0).m_Limit == 0U);
  // It is acknowledged, but 8 requests run on.
  A.m_Accounts = {{AccountId("x"), 8, 40, 5}};
  A.m_AckedGrant = A.m_Sequence;
  A.m_Sequence = ++Keeper.m_Sequences[NodeId("a")];
  Keeper.renew(A);
  B.m_Sequence = ++Keeper.m_Sequences[NodeId("b")];
  BOOST_TEST(Keeper.renew(B).m_Shares.at(0).m_Limit == 2U);
  // When a no longer renews, its share is free once its lease has expired.
  Keeper.m_Now = Keeper.m_Now + Millis(2999);
  B.m_Sequence = ++Keeper.m_Sequences[NodeId("b")];
  BOOST_TEST(Keeper.renew(B).m_Shares.at(0).m_Limit == 2U);
  Keeper.m_Now = Keeper.m_Now + Millis(1);
  B.m_Sequence = ++Keeper.m_Sequences[NodeId("b")];
  BOOST_TEST(Keeper.renew(B).m_Shares.at(0).m_Limit == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
