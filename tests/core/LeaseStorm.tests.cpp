#include "vanillaferry/process/keeper_choice.hpp"
#include "vanillaferry/process/keeper_inbox.hpp"
#include "vanillaferry/process/lease_table.hpp"
#include "vanillaferry/process/node_lease.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

using namespace vanillaferry;

namespace {

constexpr int Gateways = 291;
constexpr int Keepers = 9;
constexpr Millis Step{5};
constexpr Millis LeaseTime{4000};
constexpr Millis CheckInterval{100};
/// What the work of a keeper takes on a twentieth of a core, in microseconds,
/// as logged on the large site.
constexpr std::int64_t GrantCost = 2500;
constexpr std::int64_t RelayCost = 1000;
constexpr std::int64_t ReportCost = 500;
constexpr std::int64_t LinkCost = 8000;
constexpr std::int64_t MembershipCost = 8000;
constexpr std::int64_t MicrosPerMilli = 1000;
constexpr int MillisPerSecond = 1000;
/// The link between two keepers, which does not end here.
constexpr std::uint64_t KeeperLink = 0;

struct StormKeeper {
  std::string m_Url;
  KeeperInbox m_Inbox;
  /// Time of the work that was begun, in microseconds.
  std::int64_t m_BusyUntil = 0;
};

struct StormGateway {
  NodeId m_Node;
  KeeperChoice m_Choice;
  RouterLease m_Lease;
  /// The links to keepers, by URL, with the number of the connection.
  std::map<std::string, std::uint64_t> m_Dialled;
};

/// 291 gateways with their real lease and choice of keeper, nine keepers with
/// the real inbox and the leader's real lease table. Only the time that work
/// takes is modelled.
class Storm {
public:
  Storm() {
    for (int I = 0; I < Keepers; ++I) {
      std::string Url = "ws://10.0.0." + std::to_string(I + 1) + ":1";
      m_Urls.push_back(Url);
      m_Keepers[Url].m_Url = Url;
    }
    for (int I = 0; I < Gateways; ++I)
      addGateway("g" + std::to_string(I));
    LeaseOptions Options;
    Options.m_LeaseTime = LeaseTime;
    m_Table = makeLeaseTable(Options, m_State, m_Now);
  }

  void run(Millis Until) {
    while (m_Now < Until) {
      m_Now = m_Now + Step;
      for (StormGateway &Each : m_Gateways)
        tick(Each);
      sendReports();
      for (std::pair<const std::string, StormKeeper> &Row : m_Keepers)
        work(Row.second);
      removeExpired();
    }
  }

  void setReports(int PerSecond) { m_ReportsPerSecond = PerSecond; }
  /// The leader does no work until then.
  void stallLeader(Millis Until) {
    leader().m_BusyUntil = Until.m_Value * MicrosPerMilli;
  }

  int withLease() const {
    return static_cast<int>(std::count_if(
        m_Gateways.begin(), m_Gateways.end(), [this](const StormGateway &Each) {
          return leaseHolds(Each.m_Lease, m_Now);
        }));
  }
  std::uint64_t links() const { return m_Links; }
  int removals() const { return m_Removals; }

private:
  void addGateway(const std::string &Name) {
    StormGateway Added;
    Added.m_Node = NodeId(Name);
    Added.m_Choice = makeKeeperChoice(Added.m_Node, m_Urls);
    Added.m_Lease.m_Node = Added.m_Node;
    Added.m_Lease.m_Options.m_LeaseTime = LeaseTime;
    Added.m_Lease.m_RenewInterval = gatewayRenewInterval(Gateways);
    // Renewals of a fleet at rest are spread over the interval.
    Added.m_Lease.m_NextRenewal =
        Millis(Added.m_Lease.m_RenewInterval.m_Value *
               static_cast<std::int64_t>(m_Gateways.size()) / Gateways);
    m_Gateways.push_back(Added);
    applyCommand(
        m_State, LogIndex(++m_LogIndex),
        AddMember{{Added.m_Node, Incarnation(1), "", ZoneId(), false}});
  }

  StormKeeper &leader() { return m_Keepers.begin()->second; }

  void post(const std::string &Url, PeerEvent Event) {
    Event.m_PostedAt = m_Now;
    addEvent(m_Keepers[Url].m_Inbox, std::move(Event));
  }

  void dial(StormGateway &From) {
    std::vector<std::string> List = wantedKeepers(From.m_Choice, m_Now);
    std::set<std::string> Wanted(List.begin(), List.end());
    std::map<std::string, std::uint64_t> Former;
    Former.swap(From.m_Dialled);
    for (const std::pair<const std::string, std::uint64_t> &Row : Former)
      if (Wanted.count(Row.first) == 0) {
        recordKeeperLink(From.m_Choice, Row.first, false);
        post(Row.first,
             {PeerEvent::Kind::Down, From.m_Node, Row.second, PeerMessage()});
      } else {
        From.m_Dialled.insert(Row);
      }
    for (const std::string &Url : Wanted)
      if (From.m_Dialled.emplace(Url, m_Links + 1).second) {
        ++m_Links;
        post(Url, {PeerEvent::Kind::Up, From.m_Node, m_Links, PeerMessage()});
      }
  }

  void sendRenewal(StormGateway &From) {
    Renew Request;
    Request.m_Node = From.m_Node;
    Request.m_Incarnation = Incarnation(1);
    Request.m_Sequence = beginRenewal(From.m_Lease, m_Now);
    Request.m_AckedEpoch = From.m_Lease.m_Epoch;
    Request.m_IdsOnly = true;
    recordRenewalSent(From.m_Choice, m_Now);
    const std::string &Url = From.m_Choice.m_Current;
    std::map<std::string, std::uint64_t>::const_iterator Link =
        From.m_Dialled.find(Url);
    if (Link == From.m_Dialled.end() || From.m_Choice.m_Up.count(Url) == 0)
      return;
    post(Url, {PeerEvent::Kind::Message, From.m_Node, Link->second, Request});
    // The peer task answers the probe that goes with each renewal.
    recordKeeperHeard(From.m_Choice, Url, m_Now + Step);
  }

  void tick(StormGateway &Each) {
    if (keeperOverdue(Each.m_Choice, m_Now)) {
      selectNextKeeper(Each.m_Choice, m_Now, spread());
      Each.m_Lease.m_NextRenewal = m_Now;
    } else if (returnHome(Each.m_Choice, m_Now)) {
      Each.m_Lease.m_NextRenewal = m_Now;
    }
    dial(Each);
    bool Due = renewalDue(Each.m_Lease, m_Now) && !Each.m_Choice.m_WaitingSince;
    if (Due || renewalRepeatDue(Each.m_Choice, m_Now))
      sendRenewal(Each);
  }

  void sendReports() {
    m_ReportsOwed += m_ReportsPerSecond * static_cast<int>(Step.m_Value);
    for (; m_ReportsOwed >= MillisPerSecond; m_ReportsOwed -= MillisPerSecond)
      post(leader().m_Url,
           {PeerEvent::Kind::Message, m_Gateways[spread() % Gateways].m_Node, 0,
            PromptReport()});
  }

  void work(StormKeeper &At) {
    std::int64_t Now = m_Now.m_Value * MicrosPerMilli;
    while (At.m_BusyUntil <= Now) {
      std::optional<PeerEvent> Event = nextEvent(At.m_Inbox);
      if (!Event)
        return;
      At.m_BusyUntil =
          std::max(At.m_BusyUntil, Now - Step.m_Value * MicrosPerMilli) +
          handle(At, *Event);
    }
  }

  /// Does the work of one event; returns the time that it takes.
  std::int64_t handle(StormKeeper &At, PeerEvent &Event) {
    StormGateway &From = gateway(Event.m_From);
    if (Event.m_Kind == PeerEvent::Kind::Up) {
      recordKeeperLink(From.m_Choice, At.m_Url, true);
      if (From.m_Choice.m_Current == At.m_Url)
        sendRenewal(From);
      return LinkCost;
    }
    if (Event.m_Kind == PeerEvent::Kind::Down)
      return RelayCost;
    if (const Renew *Request = std::get_if<Renew>(&Event.m_Message)) {
      if (&At == &leader())
        return grant(*Request);
      Event.m_Connection = KeeperLink;
      post(leader().m_Url, std::move(Event));
      return RelayCost;
    }
    return ReportCost;
  }

  std::int64_t grant(const Renew &Request) {
    std::int64_t Cost = GrantCost;
    RenewDecision Decision = renewLease(m_Table, m_State, Request, m_Now);
    if (!Decision.m_Propose.empty()) {
      Cost += MembershipCost;
      for (const Command &Change : Decision.m_Propose)
        applyCommand(m_State, LogIndex(++m_LogIndex), Change);
      Decision = renewLease(m_Table, m_State, Request, m_Now);
    }
    if (!Decision.m_Grant)
      return Cost;
    StormGateway &To = gateway(Request.m_Node);
    recordKeeperAnswer(To.m_Choice, m_Now);
    acceptGrant(To.m_Lease, *Decision.m_Grant, m_Now);
    return Cost;
  }

  void removeExpired() {
    if (m_Now < m_NextCheck ||
        leader().m_BusyUntil > (m_Now + CheckInterval).m_Value * MicrosPerMilli)
      return;
    m_NextCheck = m_Now + CheckInterval;
    std::vector<Command> Expired = expiredLeases(m_Table, m_State, m_Now);
    Expired.resize(std::min(Expired.size(), maxRemovals(m_Table)));
    for (const Command &Each : Expired) {
      applyCommand(m_State, LogIndex(++m_LogIndex), Each);
      leader().m_BusyUntil += MembershipCost;
      ++m_Removals;
    }
  }

  StormGateway &gateway(const NodeId &Node) {
    return m_Gateways[static_cast<std::size_t>(
        std::atoi(Node.m_Value.c_str() + 1))];
  }
  /// Random number for the gateways' pauses.
  std::uint64_t spread() { return m_Random(); }

  Millis m_Now;
  std::vector<std::string> m_Urls;
  std::map<std::string, StormKeeper> m_Keepers;
  std::vector<StormGateway> m_Gateways;
  StateMachine m_State;
  LeaseTable m_Table;
  std::uint64_t m_LogIndex = 0;
  Millis m_NextCheck;
  int m_ReportsPerSecond = 0;
  int m_ReportsOwed = 0;
  /// Connections dialled so far; the last one's number.
  std::uint64_t m_Links = 0;
  int m_Removals = 0;
  std::mt19937_64 m_Random{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(LeaseStorms)

// Guards against a fleet of 291 gateways that loses its leases for good after a
// short trouble: late grants cost links and removals, and these make the next
// grants late.
BOOST_AUTO_TEST_CASE(AllGatewaysHoldLeasesTwoRenewalsAfterAStorm) {
  const Millis StormAt{20000};
  const Millis StormEnd{25000};
  const Millis TwoRenewals = Millis(gatewayRenewInterval(Gateways).m_Value * 2);
  Storm Fleet;
  Fleet.run(StormAt);
  BOOST_TEST(Fleet.withLease() == Gateways);
  std::uint64_t LinksBefore = Fleet.links();
  Fleet.setReports(600);
  Fleet.stallLeader(StormAt + Millis(3000));
  Fleet.run(StormEnd);
  Fleet.setReports(0);
  int During = Fleet.withLease();
  Fleet.run(StormEnd + TwoRenewals);
  BOOST_TEST_MESSAGE("with a lease at the end of the storm "
                     << During << ", then " << Fleet.withLease() << "; links "
                     << Fleet.links() - LinksBefore << ", removals "
                     << Fleet.removals());
  BOOST_TEST(Fleet.withLease() == Gateways);
}

BOOST_AUTO_TEST_SUITE_END()
