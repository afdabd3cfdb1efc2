#include "RouterFixture.hpp"

#include "connection/internal/peer_endpoint.hpp"
#include "connection/message_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace vanillaferry;
using namespace vanillaferry::fakes;

namespace {

/// Another router that owns every target. Its first connections are silent
/// after the hello; later ones answer probes and run each order at once.
class FakeOwner {
public:
  explicit FakeOwner(int SilentConnections) {
    m_Server.init_asio(&m_Context);
    m_Server.set_reuse_addr(true);
    m_Server.set_open_handler(
        [this, SilentConnections](websocketpp::connection_hdl Handle) {
          bool Silent = ++m_Opened <= SilentConnections;
          send(Handle, Hello{NodeId("router-2"), Incarnation(2), 1,
                             NodeRole::Router, ""});
          internal::PeerServer::connection_ptr Connection =
              m_Server.get_con_from_hdl(Handle);
          Connection->set_message_handler(
              [this, Silent](websocketpp::connection_hdl From,
                             internal::PeerServer::message_ptr Frame) {
                onFrame(From, Frame->get_payload(), Silent);
              });
        });
    m_Server.listen(boost::asio::ip::tcp::endpoint(
        boost::asio::ip::make_address("127.0.0.1"), 0));
    m_Server.start_accept();
    websocketpp::lib::asio::error_code Ignored;
    m_Url = "ws://127.0.0.1:" +
            std::to_string(m_Server.get_local_endpoint(Ignored).port());
    m_Thread = std::thread([this] { m_Context.run(); });
  }
  ~FakeOwner() {
    m_Context.stop();
    m_Thread.join();
  }

  std::string m_Url;
  std::atomic<int> m_Opened{0};
  std::atomic<int> m_OrdersOnSilent{0};
  std::atomic<int> m_Orders{0};
  std::atomic<std::uint64_t> m_Attempt{0};

private:
  void send(const websocketpp::connection_hdl &To, const PeerMessage &Message) {
    m_Server.send(To, encodeMessage(Message),
                  websocketpp::frame::opcode::binary);
  }

  void onFrame(const websocketpp::connection_hdl &From,
               const std::string &Payload, bool Silent) {
    Result<std::vector<PeerMessage>> Decoded = decodeFrame(Payload);
    for (const PeerMessage &Message : Decoded.value()) {
      const Heartbeat *Beat = std::get_if<Heartbeat>(&Message);
      if (Beat && Beat->m_Probe && !Silent)
        send(From, Heartbeat());
      const Forward *Order = std::get_if<Forward>(&Message);
      if (!Order)
        continue;
      ++(Silent ? m_OrdersOnSilent : m_Orders);
      m_Attempt = Order->m_Attempt.m_Value;
      if (Silent)
        continue;
      send(From, ForwardAccept{Order->m_Request, Order->m_Attempt,
                               TargetId("s1"), "ranked"});
      send(From,
           ForwardChunk{Order->m_Request, Order->m_Attempt, 0, 1, "in stock"});
      ForwardEnd End;
      End.m_Request = Order->m_Request;
      End.m_Attempt = Order->m_Attempt;
      End.m_HttpStatus = 200;
      End.m_ContentType = "text/plain";
      End.m_Events = 1;
      send(From, End);
    }
  }

  boost::asio::io_context m_Context;
  internal::PeerServer m_Server;
  std::thread m_Thread;
};

/// A router without targets of its own, linked to the fake owner; the short
/// limits make a link quiet after 500 ms.
struct LinkedRouter : RouterFixture {
  explicit LinkedRouter(const FakeOwner &Owner) {
    m_Router.m_Mailbox = std::make_unique<Mailbox<PeerEvent>>(
        g_main_context_get_thread_default(), [this](PeerEvent Event) {
          handlePeerEvent(m_Router, std::move(Event));
        });
    PeerOptions Options;
    Options.m_Self = NodeId("router-1");
    Options.m_Liveness.m_SilenceLimit = Millis(500);
    Options.m_Liveness.m_ProbeLimit = Millis(400);
    Mailbox<PeerEvent> *Box = m_Router.m_Mailbox.get();
    m_Router.m_Peer =
        std::move(PeerTask::start(Options, [Box](PeerEvent Event) {
                    Box->post(std::move(Event));
                  }).value());
    grantTargets({}, {"http://127.0.0.1:1"});
    Grant Granted;
    Granted.m_Sequence = beginRenewal(m_Router.m_Lease, monotonicNow());
    Granted.m_Duration = Millis(60000);
    Granted.m_Epoch = Epoch(2);
    Granted.m_SafeEpoch = Epoch(2);
    Member Other;
    Other.m_Node = NodeId("router-2");
    Other.m_PeerUrl = Owner.m_Url;
    Granted.m_Members.push_back(Other);
    Granted.m_Version = DocumentVersion(1);
    Granted.m_Shares.push_back({AccountId("alice"), 100});
    handleGrant(m_Router, Granted);
  }

  bool linkIsUp() {
    return runUntil(
        [this] { return m_Router.m_Links.count(NodeId("router-2")) != 0; });
  }

  Answer lookUp() {
    return exchange(requestText("GET", "/services/shop/stock", "",
                                {{"Authorization", "Bearer key-a"}}));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(QuietLinks)

// Guards against a first request that is lost, refused or run twice because the
// idle connection to the owner has gone silent for good.
BOOST_AUTO_TEST_CASE(AFirstRequestOverASilentLinkIsSentOnceOverTheNextOne) {
  FakeOwner Owner(1);
  LinkedRouter Fixture(Owner);
  BOOST_REQUIRE(Fixture.linkIsUp());
  Millis Until = monotonicNow() + Millis(700);
  RouterFixture::runUntil([Until] { return monotonicNow() >= Until; });
  Answer Got = Fixture.lookUp();
  BOOST_TEST(Got.m_Status == 200);
  BOOST_TEST(Got.m_Body == "in stock");
  BOOST_TEST(Owner.m_OrdersOnSilent == 0);
  BOOST_TEST(Owner.m_Orders == 1);
  // The same attempt, since nothing was sent before.
  BOOST_TEST(Owner.m_Attempt == 1U);
  BOOST_TEST(Fixture.retries(RetryReason::PeerLinkLost) == 1U);
}

// Guards against a request that ends because the owner's new connections are
// silent for a while too.
BOOST_AUTO_TEST_CASE(ARequestOutlivesSeveralSilentLinks) {
  FakeOwner Owner(3);
  LinkedRouter Fixture(Owner);
  BOOST_REQUIRE(Fixture.linkIsUp());
  Millis Until = monotonicNow() + Millis(700);
  RouterFixture::runUntil([Until] { return monotonicNow() >= Until; });
  Answer Got = Fixture.lookUp();
  BOOST_TEST(Got.m_Status == 200);
  BOOST_TEST(Got.m_Body == "in stock");
  BOOST_TEST(Owner.m_Orders == 1);
}

BOOST_AUTO_TEST_SUITE_END()
