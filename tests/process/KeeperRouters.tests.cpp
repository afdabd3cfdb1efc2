#include "connection/peer_task.hpp"
#include "process/PlatformFakes.hpp"
#include "process/ProcessFleet.hpp"
#include "process/clock.hpp"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <optional>
#include <thread>
#include <unistd.h>

using namespace vanillaferry;
using namespace vanillaferry::tests;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds WaitLimit{15};

/// A router as the keepers see it: a peer task that renews a lease when asked.
class FakeRouter {
public:
  FakeRouter(const KeeperFleet &Fleet, const std::string &Node,
             std::uint64_t Process = 1)
      : m_Node(Node), m_Process(Process) {
    PeerOptions Options;
    Options.m_Self = m_Node;
    Options.m_Incarnation = m_Process;
    Result<std::unique_ptr<PeerTask>> Started =
        PeerTask::start(Options, [this](PeerEvent Event) {
          std::lock_guard<std::mutex> Guard(m_Mutex);
          m_Events.push_back(std::move(Event));
          m_Changed.notify_all();
        });
    BOOST_REQUIRE(Started.has_value());
    m_Peers = std::move(Started.value());
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      m_Peers->connect(Fleet.peerUrl(Index));
    waitFor([&] { return count(PeerEvent::Kind::Up) == Fleet.size(); });
  }

  /// The newest message of a kind that meets the condition, waiting for it.
  template <typename T>
  std::optional<T> await(const std::function<bool(const T &)> &Condition) {
    std::optional<T> Found;
    waitFor([&] {
      Found = newest(Condition);
      return Found.has_value();
    });
    return Found;
  }

  /// The same among the messages that have arrived.
  template <typename T>
  std::optional<T> tryFind(const std::function<bool(const T &)> &Condition) {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    return newest(Condition);
  }

  /// Renews at one keeper until a grant comes; acknowledges what is given.
  std::optional<Grant> renewAt(std::size_t Keeper, Epoch Epoch = {},
                               DocumentVersion Version = {}) {
    for (int Try = 0; Try < 10; ++Try) {
      Renew Request;
      Request.m_Node = m_Node;
      Request.m_Incarnation = m_Process;
      Request.m_Sequence = ++m_Sequence;
      Request.m_PeerUrl = "ws://127.0.0.1:1";
      Request.m_Zone = ZoneId("z");
      Request.m_AckedEpoch = Epoch;
      Request.m_AckedVersion = Version;
      send(Keeper, Request);
      std::uint64_t Sequence = m_Sequence;
      std::optional<Grant> Granted;
      waitFor(
          [&] {
            for (const PeerEvent &Event : m_Events)
              if (const Grant *G = std::get_if<Grant>(&Event.m_Message))
                if (G->m_Sequence == Sequence)
                  Granted = *G;
            return Granted.has_value();
          },
          std::chrono::seconds(2));
      if (Granted)
        return Granted;
    }
    return std::nullopt;
  }

  JournalBegin makeBegin(const std::string &Request, const std::string &Key) {
    JournalBegin Begin;
    Begin.m_Request = RequestId(Request);
    Begin.m_Account = AccountId("board");
    Begin.m_Key = IdempotencyKey(Key);
    Begin.m_BodyHash = "hash";
    Begin.m_IssuedAt = wallNow();
    Begin.m_Node = m_Node;
    Begin.m_Incarnation = m_Process;
    return Begin;
  }

  std::optional<JournalAnswer> journal(std::size_t Keeper, PeerMessage Message,
                                       const std::string &Request) {
    send(Keeper, std::move(Message));
    return await<JournalAnswer>([&](const JournalAnswer &Answer) {
      return Answer.m_Request.m_Value == Request;
    });
  }

  void send(std::size_t Keeper, PeerMessage Message) {
    m_Peers->send(NodeId("k" + std::to_string(Keeper + 1)), std::move(Message));
  }

  const Incarnation process() const { return m_Process; }

private:
  template <typename T>
  std::optional<T> newest(const std::function<bool(const T &)> &Condition) {
    std::optional<T> Found;
    for (const PeerEvent &Event : m_Events)
      if (const T *Message = std::get_if<T>(&Event.m_Message))
        if (Event.m_Kind == PeerEvent::Kind::Message && Condition(*Message))
          Found = *Message;
    return Found;
  }

  std::size_t count(PeerEvent::Kind Kind) {
    std::size_t Count = 0;
    for (const PeerEvent &Event : m_Events)
      Count += Event.m_Kind == Kind ? 1 : 0;
    return Count;
  }

  void waitFor(const std::function<bool()> &Condition,
               std::chrono::seconds Limit = WaitLimit) {
    std::unique_lock<std::mutex> Guard(m_Mutex);
    m_Changed.wait_for(Guard, Limit, Condition);
  }

  NodeId m_Node;
  Incarnation m_Process;
  std::uint64_t m_Sequence = 0;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::vector<PeerEvent> m_Events;
  std::unique_ptr<PeerTask> m_Peers;
};

std::size_t form(KeeperFleet &Fleet) {
  Fleet.startAll(true);
  std::size_t Leader = Fleet.waitForLeader();
  BOOST_REQUIRE_LT(Leader, Fleet.size());
  return Leader;
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperRouters)

// Guards against a router that cannot find the leader, and against a lease
// from a keeper that does not lead.
BOOST_AUTO_TEST_CASE(OnlyTheLeaderGrantsAndTheOthersNameIt) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  FakeRouter Router(Fleet, "r1");
  std::optional<Grant> Granted = Router.renewAt(Leader);
  BOOST_REQUIRE(Granted.has_value());
  BOOST_TEST(Granted->m_Duration.m_Value > 0);
  BOOST_REQUIRE_EQUAL(Granted->m_Members.size(), 1U);
  BOOST_TEST(Granted->m_Members[0].m_Node == NodeId("r1"));
  Renew Elsewhere;
  Elsewhere.m_Node = NodeId("r1");
  Elsewhere.m_Incarnation = Router.process();
  Elsewhere.m_Sequence = 1000;
  std::size_t Follower = (Leader + 1) % 3;
  Router.send(Follower, Elsewhere);
  std::optional<RedirectLeader> Redirect =
      Router.await<RedirectLeader>([](const RedirectLeader &) { return true; });
  BOOST_REQUIRE(Redirect.has_value());
  BOOST_TEST(Redirect->m_PeerUrl == Fleet.peerUrl(Leader));
  std::optional<JournalAnswer> Answer =
      Router.journal(Follower, Router.makeBegin("q0", "key0"), "q0");
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST((Answer->m_Status == JournalStatus::Unavailable));
}

/// A gateway's renewal; it needs the members' ids only.
Renew gatewayRenewal(const FakeRouter &Gateway, std::uint64_t Sequence) {
  Renew Request;
  Request.m_Node = NodeId("g1");
  Request.m_Incarnation = Gateway.process();
  Request.m_Sequence = Sequence;
  Request.m_PeerUrl = "ws://127.0.0.1:1";
  Request.m_Zone = ZoneId("z");
  Request.m_IdsOnly = true;
  return Request;
}

// Guards against a fleet whose gateways all connect to the leader, which at 291
// gateways was lost within two seconds, and against gateways that lose their
// connections with a leader that is no keeper of theirs.
BOOST_AUTO_TEST_CASE(AFollowerRelaysAGatewaysRenewalsAcrossAChangeOfLeader) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  std::size_t Follower = (Leader + 1) % 3;
  FakeRouter Gateway(Fleet, "g1");
  Gateway.send(Follower, gatewayRenewal(Gateway, 1));
  std::optional<Grant> First = Gateway.await<Grant>(
      [](const Grant &Granted) { return Granted.m_Sequence == 1; });
  BOOST_REQUIRE(First.has_value());
  BOOST_TEST(First->m_Node.empty());
  BOOST_TEST(First->m_Keepers.size() == 3U);
  BOOST_TEST(First->m_KeeperSet > 0U);
  Fleet.process(Leader).kill();
  // The follower keeps a renewal while it knows no leader, and says so.
  std::optional<RedirectLeader> Held;
  for (std::uint64_t Sequence = 2; Sequence < 60 && !Held; ++Sequence) {
    Gateway.send(Follower, gatewayRenewal(Gateway, Sequence));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    Held = Gateway.tryFind<RedirectLeader>([&](const RedirectLeader &Redirect) {
      return Redirect.m_PeerUrl == Fleet.peerUrl(Follower);
    });
  }
  BOOST_REQUIRE(Held.has_value());
  std::optional<Grant> Next = Gateway.await<Grant>(
      [](const Grant &Granted) { return Granted.m_Sequence > 1; });
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->m_Duration.m_Value > 0);
}

// Guards against a change that is sent before the first grant: a gateway does
// not apply it, and its keeper took the manifest for delivered, so that the
// gateway served a second later after a restart of all machines.
BOOST_AUTO_TEST_CASE(AGatewayWithoutAGrantIsSentNoChanges) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  FakeRouter Gateway(Fleet, "g1");
  BOOST_TEST(Fleet.edit("zones", 0, "e1", zonesWith("a")).m_HttpStatus == 202);
  Fleet.process(Leader).kill();
  Fleet.process((Leader + 1) % 3).kill();
  std::size_t Left = (Leader + 2) % 3;
  Gateway.send(Left, gatewayRenewal(Gateway, 1));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  auto Any = [](const ControlUpdate &) { return true; };
  BOOST_TEST(!Gateway.tryFind<ControlUpdate>(Any).has_value());
  Fleet.start(Leader);
  // The keeper gives a held renewal up after 1.5 s; a gateway sends it again.
  std::optional<Grant> Granted;
  for (std::uint64_t Sequence = 2; Sequence < 50 && !Granted; ++Sequence) {
    Gateway.send(Left, gatewayRenewal(Gateway, Sequence));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    Granted = Gateway.tryFind<Grant>([](const Grant &) { return true; });
  }
  BOOST_TEST(Granted.has_value());
}

// Guards against a leaving target that a gateway knows of only with its next
// renewal, 2.3 s later at 291 gateways: a keeper sent changes of the list from
// the one held before the last grant, and the gateway could not apply them.
BOOST_AUTO_TEST_CASE(AChangedTargetListReachesAGatewayBeforeItsNextRenewal) {
  PlatformFakes Targets("127." + std::to_string(::getpid() % 200 + 1),
                        freePort(), 2, 1);
  KeeperFleet Fleet(3, {{"target_list", Targets.listAddress().text()},
                        {"open_manifest", true}});
  std::size_t Follower = (form(Fleet) + 1) % 3;
  FakeRouter Gateway(Fleet, "g1");
  std::optional<Grant> Listed;
  for (std::uint64_t Sequence = 1; Sequence < 50 && !Listed; ++Sequence) {
    Gateway.send(Follower, gatewayRenewal(Gateway, Sequence));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    Listed = Gateway.tryFind<Grant>(
        [](const Grant &Granted) { return Granted.m_TargetsDigest != 0; });
  }
  BOOST_REQUIRE(Listed.has_value());
  BOOST_TEST(!Listed->m_TargetsDelta.empty());
  Targets.setLeaving(0, true);
  std::optional<TargetListUpdate> Sent =
      Gateway.await<TargetListUpdate>([&](const TargetListUpdate &Update) {
        return Update.m_Base == Listed->m_TargetsDigest;
      });
  BOOST_REQUIRE(Sent.has_value());
  BOOST_TEST(!Sent->m_Delta.empty());
}

// Guards against a grant that a router obtains under another router's name.
BOOST_AUTO_TEST_CASE(OnlyKeepersMayRelayRenewals) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  FakeRouter Gateway(Fleet, "g1");
  FakeRouter Other(Fleet, "g2");
  Other.send(Leader, gatewayRenewal(Gateway, 1));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  auto Any = [](const Grant &) { return true; };
  BOOST_TEST(!Other.tryFind<Grant>(Any).has_value());
  BOOST_TEST(!Gateway.tryFind<Grant>(Any).has_value());
}

// Guards against "in force" being reported before a live router acknowledged,
// and against a dead router holding it up for ever.
BOOST_AUTO_TEST_CASE(AnEditIsInForceOnceEveryLiveLeaseAcknowledged) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  FakeRouter Router(Fleet, "r1");
  std::optional<Grant> First = Router.renewAt(Leader);
  BOOST_REQUIRE(First.has_value());
  BOOST_REQUIRE(
      Router.renewAt(Leader, First->m_Epoch, First->m_Version).has_value());
  OperatorReply Edited = Fleet.edit("zones", 0, "e1", zonesWith("a"));
  BOOST_TEST(Edited.m_HttpStatus == 202);
  BOOST_TEST(Edited.m_Location ==
             "/in-force/" +
                 std::to_string(
                     Edited.m_Body["document_version"].get<std::uint64_t>()));
  // A new leader says nothing before one lease time; keep renewing meanwhile
  // with the old version.
  for (int Round = 0; Round < 5; ++Round) {
    std::optional<Grant> Next =
        Router.renewAt(Leader, First->m_Epoch, First->m_Version);
    BOOST_REQUIRE(Next.has_value());
    BOOST_REQUIRE_EQUAL(Next->m_Sections.size(), 1U);
    BOOST_TEST(Next->m_Sections[0].m_Json == zonesWith("a").dump());
    BOOST_TEST(!Fleet.get(Edited.m_Location).m_Body["in_force"].get<bool>());
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
  DocumentVersion Edit(Edited.m_Body["document_version"].get<std::uint64_t>());
  BOOST_REQUIRE(Router.renewAt(Leader, First->m_Epoch, Edit).has_value());
  BOOST_TEST(Fleet.get(Edited.m_Location).m_Body["in_force"].get<bool>());
  // The next edit is not acknowledged; the lease ends and the router goes.
  OperatorReply Second = Fleet.edit("zones", 1, "e2", zonesWith("b"));
  BOOST_TEST(Second.m_HttpStatus == 202);
  BOOST_TEST(waitUntil(
      [&] {
        return Fleet.get(Second.m_Location).m_Body["in_force"].get<bool>() &&
               Fleet.get("/status").m_Body["routers"].empty();
      },
      10000));
}

// Guards against a call that is granted twice, also across leaders and when
// the router that made it is gone.
BOOST_AUTO_TEST_CASE(AJournaledCallIsGrantedOnceAcrossLeaders) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  FakeRouter Router(Fleet, "r1");
  BOOST_REQUIRE(Router.renewAt(Leader).has_value());
  JournalBegin Begin = Router.makeBegin("q1", "key1");
  std::optional<JournalAnswer> Granted = Router.journal(Leader, Begin, "q1");
  BOOST_REQUIRE(Granted.has_value());
  BOOST_TEST((Granted->m_Status == JournalStatus::Granted));
  JournalBegin Again = Begin;
  Again.m_Request = RequestId("q2");
  std::optional<JournalAnswer> Running = Router.journal(Leader, Again, "q2");
  BOOST_REQUIRE(Running.has_value());
  BOOST_TEST((Running->m_Status == JournalStatus::Running));
  Fleet.process(Leader).kill();
  std::size_t Next = Fleet.waitForLeader();
  BOOST_REQUIRE_LT(Next, Fleet.size());
  BOOST_REQUIRE(Router.renewAt(Next).has_value());
  JournalEnd End;
  End.m_Request = RequestId("q1");
  End.m_Account = Begin.m_Account;
  End.m_Key = Begin.m_Key;
  End.m_Node = Begin.m_Node;
  End.m_Incarnation = Begin.m_Incarnation;
  End.m_Outcome = CallOutcome::Answered;
  End.m_Answer = {201, "application/json", "{\"order\":7}"};
  Router.send(Next, End);
  BOOST_REQUIRE(Router
                    .await<JournalAnswer>([](const JournalAnswer &Answer) {
                      return Answer.m_Status == JournalStatus::Ended;
                    })
                    .has_value());
  Again.m_Request = RequestId("q3");
  std::optional<JournalAnswer> Recorded = Router.journal(Next, Again, "q3");
  BOOST_REQUIRE(Recorded.has_value());
  BOOST_TEST((Recorded->m_Status == JournalStatus::Recorded));
  BOOST_TEST(Recorded->m_Answer.m_Body == "{\"order\":7}");
}

// Guards against a keeper that cannot catch up once the log is truncated: it
// gets a snapshot of several parts.
BOOST_AUTO_TEST_CASE(AKeeperFarBehindCatchesUpBySnapshot) {
  KeeperFleet Fleet(3, {{"snapshot_entries", 256}});
  std::size_t Leader = form(Fleet);
  FakeRouter Router(Fleet, "r1");
  BOOST_REQUIRE(Router.renewAt(Leader).has_value());
  std::size_t Behind = (Leader + 1) % 3;
  Fleet.process(Behind).kill();
  constexpr int Calls = 1000;
  for (int Number = 0; Number < Calls; ++Number) {
    JournalBegin Begin = Router.makeBegin("q" + std::to_string(Number),
                                          "key" + std::to_string(Number));
    Router.send(Leader, Begin);
    JournalEnd End;
    End.m_Request = Begin.m_Request;
    End.m_Account = Begin.m_Account;
    End.m_Key = Begin.m_Key;
    End.m_Node = Begin.m_Node;
    End.m_Incarnation = Begin.m_Incarnation;
    End.m_Outcome = CallOutcome::Answered;
    End.m_Answer = {200, "text/plain", std::string(5000, 'x')};
    Router.send(Leader, End);
  }
  std::string Last = "q" + std::to_string(Calls - 1);
  BOOST_REQUIRE(Router
                    .await<JournalAnswer>([&](const JournalAnswer &Answer) {
                      return Answer.m_Status == JournalStatus::Ended &&
                             Answer.m_Request.m_Value == Last;
                    })
                    .has_value());
  Fleet.start(Behind);
  BOOST_TEST(waitUntil(
      [&] {
        json Status = Fleet.localStatus(Behind);
        return !Status.is_null() && Status["journal_entries"] == Calls;
      },
      15000));
  BOOST_TEST(Fleet.output(Behind).find(" 2116 ") != std::string::npos);
  // It carries the state on its own: the others' disks are not needed.
  Fleet.process(Leader).kill();
  BOOST_TEST(Fleet.waitForLeader() < Fleet.size());
}

// Guards against a keeper without a quorum that answers routers.
BOOST_AUTO_TEST_CASE(WithoutAQuorumNothingIsGranted) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  FakeRouter Router(Fleet, "r1");
  BOOST_REQUIRE(Router.renewAt(Leader).has_value());
  Fleet.process((Leader + 1) % 3).kill();
  Fleet.process((Leader + 2) % 3).kill();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  BOOST_TEST(!Router.renewAt(Leader).has_value());
  std::optional<JournalAnswer> Answer =
      Router.journal(Leader, Router.makeBegin("q1", "key1"), "q1");
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST((Answer->m_Status == JournalStatus::Unavailable));
  BOOST_TEST(httpCall(Fleet.httpUrl(Leader), {"GET", "/readyz", {}, ""})
                 .m_HttpStatus == 503);
}

BOOST_AUTO_TEST_SUITE_END()
