#include "vanillaferry/process/lease_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

const VmId Vm("vm-1");

/// A leader, and routers that each read their own VM list with one VM.
struct Fleet {
  StateMachine m_State;
  LeaseTable m_Table;
  Millis m_Now{100000};
  std::map<std::string, VmView> m_Views;
  std::map<std::string, std::uint64_t> m_Sequences;

  explicit Fleet(const std::vector<std::string> &Nodes) {
    for (const std::string &Node : Nodes) {
      join(Node, 1);
      list(Node, VmState::Live);
    }
    m_Table = makeLeaseTable({}, m_State, Millis(0));
    exchange();
  }
  void join(const std::string &Node, std::uint64_t Which) {
    applyCommand(
        m_State, m_State.m_Applied + LogIndex(1),
        AddMember{{NodeId(Node), Incarnation(Which), "", ZoneId(), false}});
  }
  /// A router reads its list.
  void list(const std::string &Node, VmState State) {
    m_Views[Node].m_Configured = true;
    updateVms(m_Views[Node], {{Vm, ZoneId("z"), State}}, m_Now);
  }
  Grant renew(const std::string &Node, std::uint64_t Which = 1) {
    VmView &View = m_Views[Node];
    Renew Request;
    Request.m_Node = NodeId(Node);
    Request.m_Incarnation = Incarnation(Which);
    Request.m_Sequence = ++m_Sequences[Node];
    addVmReport(Request, View, m_Now);
    std::optional<Grant> Granted =
        renewLease(m_Table, m_State, Request, m_Now).m_Grant;
    BOOST_REQUIRE(Granted.has_value());
    takeFleetVms(View, *Granted);
    return *Granted;
  }
  /// All routers renew twice: first the leader gets their reports, then they
  /// get the fleet's leaving VMs.
  void exchange() {
    for (int I = 0; I < 2; ++I)
      for (const std::pair<const std::string, VmView> &Row : m_Views)
        renew(Row.first);
  }
  /// Time passes in which all routers renew.
  void pass(std::int64_t Ms) {
    for (std::int64_t End = m_Now.m_Value + Ms; m_Now.m_Value < End;) {
      m_Now = Millis(std::min(m_Now.m_Value + 500, End));
      exchange();
    }
  }
  bool inService(const std::string &Node) {
    return vmInService(m_Views[Node], Vm, m_Now);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(VmReportRules)

// Guards against an owner with an older list that sends new work to a VM which
// another router knows to be leaving (R7).
BOOST_AUTO_TEST_CASE(ALeaveThatOneRouterSeesHoldsForAll) {
  Fleet All({"a", "b", "c"});
  BOOST_TEST(All.inService("b"));
  All.list("a", VmState::Leaving);
  All.renew("a");
  std::vector<NodeId> Asked =
      receiversOfVmChange(All.m_Table.m_VmReports, All.m_Now);
  BOOST_TEST(Asked.size() == 2U);
  All.renew("b");
  BOOST_TEST(!All.inService("b"));
  // Nobody is asked twice for the same change.
  All.exchange();
  BOOST_TEST(receiversOfVmChange(All.m_Table.m_VmReports, All.m_Now).empty());
}

// Guards against control traffic that grows with each VM that leaves: a report
// and the fleet's set are sent until they are acknowledged, and then not again.
BOOST_AUTO_TEST_CASE(ReportsAndTheFleetsSetAreSentOnce) {
  Fleet All({"a", "b"});
  All.list("a", VmState::Leaving);
  All.exchange();
  Renew Request;
  addVmReport(Request, All.m_Views["a"], All.m_Now);
  BOOST_TEST(!Request.m_VmsStated);
  BOOST_TEST(Request.m_Vms.empty());
  BOOST_TEST(!All.renew("a").m_VmsListed);
  BOOST_TEST(!All.renew("b").m_VmsListed);
}

// Guards against a router whose list still shows the VM as live and that ends
// the leave while the other routers' lists show it.
BOOST_AUTO_TEST_CASE(AListThatStaysLiveBringsNoVmBack) {
  Fleet All({"a", "b", "c"});
  All.list("a", VmState::Leaving);
  All.list("b", VmState::Leaving);
  All.exchange();
  All.pass(300000);
  BOOST_TEST(!All.inService("c"));
}

// Guards against a single stale list that keeps a VM out of service for ever.
BOOST_AUTO_TEST_CASE(AListThatStaysLeavingKeepsNoVmOutForEver) {
  Fleet All({"a", "b", "c"});
  All.list("a", VmState::Leaving);
  All.exchange();
  All.pass(59000);
  BOOST_TEST(!All.inService("b"));
  All.pass(2000);
  BOOST_TEST(All.inService("b"));
  BOOST_TEST(!All.inService("a"));
}

// Guards against a VM that stays out of service after a newer list shows it as
// live again.
BOOST_AUTO_TEST_CASE(AReturnAfterTheLagOfListsEndsTheLeave) {
  Fleet All({"a", "b", "c"});
  All.list("a", VmState::Leaving);
  All.list("b", VmState::Leaving);
  All.exchange();
  All.pass(30000);
  All.list("a", VmState::Live);
  All.exchange();
  // The list of b still shows the leave, which then applies to b only.
  BOOST_TEST(All.inService("a"));
  BOOST_TEST(All.inService("c"));
  BOOST_TEST(!All.inService("b"));
}

// Guards against a return that is older than the newest leave: the older list
// of b still shows an earlier leave and return.
BOOST_AUTO_TEST_CASE(AReturnWithinTheLagOfListsEndsNoNewerLeave) {
  Fleet All({"a", "b", "c"});
  All.list("a", VmState::Leaving);
  All.exchange();
  All.pass(1000);
  All.list("a", VmState::Live);
  All.exchange();
  All.pass(1000);
  All.list("a", VmState::Leaving);
  All.exchange();
  All.pass(1000);
  All.list("b", VmState::Leaving);
  All.exchange();
  All.pass(1000);
  All.list("b", VmState::Live);
  All.exchange();
  BOOST_TEST(!All.inService("b"));
  BOOST_TEST(!All.inService("c"));
}

// Guards against losing a leave together with the leader or with the router
// that reported it.
BOOST_AUTO_TEST_CASE(ANewLeaderAndALostReporterLoseNoLeave) {
  Fleet All({"a", "b", "c"});
  All.list("a", VmState::Leaving);
  All.exchange();
  // The first renewal at the new leader is from a router without a report.
  All.m_Table = makeLeaseTable({}, All.m_State, All.m_Now);
  BOOST_TEST(!All.renew("c").m_VmsComplete);
  BOOST_TEST(!All.inService("c"));
  BOOST_TEST(All.renew("a").m_VmReport == 0U);
  BOOST_TEST(vmReportPending(All.m_Views["a"]));
  All.exchange();
  All.m_Views.erase("a");
  All.pass(30000);
  BOOST_TEST(!All.inService("c"));
  BOOST_TEST(!All.inService("b"));
}

// Guards against a report of a router's former process that is kept after its
// new process has read a list.
BOOST_AUTO_TEST_CASE(ARestartedRoutersFirstListReplacesItsFormerReport) {
  Fleet All({"a", "b"});
  All.list("a", VmState::Leaving);
  All.exchange();
  All.join("a", 2);
  All.m_Views["a"] = VmView();
  All.renew("a", 2);
  All.renew("b");
  BOOST_TEST(!All.inService("b"));
  All.list("a", VmState::Live);
  All.renew("a", 2);
  All.renew("b");
  BOOST_TEST(All.inService("b"));
}

// Guards against a VM that is missing from all lists and stays in the set.
BOOST_AUTO_TEST_CASE(AVmThatIsGoneIsRemovedFromTheSet) {
  Fleet All({"a", "b"});
  All.list("a", VmState::Leaving);
  All.list("b", VmState::Leaving);
  All.exchange();
  for (int I = 0; I < 12; ++I) {
    All.pass(1000);
    for (std::pair<const std::string, VmView> &Row : All.m_Views)
      updateVms(Row.second, {}, All.m_Now);
  }
  All.exchange();
  BOOST_TEST(All.m_Views["a"].m_FleetLeaving.empty());
  BOOST_TEST(!All.inService("a"));
}

BOOST_AUTO_TEST_SUITE_END()
