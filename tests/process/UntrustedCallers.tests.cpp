#include "GatewayFleet.hpp"
#include "OrdinaryCaller.hpp"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace vanillaferry;
using namespace vanillaferry::tests;

namespace {

using Clock = std::chrono::steady_clock;

/// Bounds and crowds, fixed before the server was changed. A process without
/// callers has some 20 to 30 MB; the rest is the callers' budget with room for
/// buffers that the allocator keeps.
constexpr int CallerMemoryMb = 24;
constexpr std::int64_t MaxPeakKb = 96 * 1024;
constexpr std::size_t MaxLeftDescriptors = 20;
constexpr std::int64_t DescriptorLimit = 256;
constexpr std::size_t LargeBodies = 32;
constexpr std::size_t SmallChunkBodies = 16;
constexpr std::size_t EndlessHeads = 12;
constexpr std::size_t CompleteHeads = 64;
constexpr std::size_t EmptyLineSenders = 12;
constexpr std::size_t ExcessiveBodies = 16;
constexpr std::size_t IdleConnections = 400;
constexpr std::size_t ClosedConnections = 150;
/// A sender gives up after this time.
constexpr std::chrono::seconds SenderLimit{6};
constexpr int StartLimitMs = 20000;
constexpr int ServedLimitMs = 15000;
constexpr std::size_t MaxBody = 4 * 1024 * 1024;

/// What one caller sends: a head, then one unit again and again.
struct Nuisance {
  std::string m_Head;
  std::string m_Unit;
  std::size_t m_Units = 0;
};

/// A process under test and one request that it must answer with 200.
struct Subject {
  ChildProcess &m_Process;
  LoopbackAddress m_Address;
  std::string m_Ordinary;
  std::string m_BodyPath;
};

bool isServed(const Subject &Asked) {
  return waitUntil(
      [&] { return askOnce(Asked.m_Address, Asked.m_Ordinary) == 200; },
      ServedLimitMs);
}

/// Sends all at once, keeps the connections open until all have ended or given
/// up, and then checks the process.
void sendAtOnce(const Subject &Sent, const std::vector<Nuisance> &Crowd) {
  std::vector<int> Open(Crowd.size(), -1);
  std::vector<std::thread> Senders;
  for (std::size_t Index = 0; Index < Crowd.size(); ++Index)
    Senders.emplace_back([&, Index] {
      Clock::time_point Until = Clock::now() + SenderLimit;
      const Nuisance &Each = Crowd[Index];
      Open[Index] = connectTo(Sent.m_Address);
      bool Taken = Open[Index] >= 0 && sendAll(Open[Index], Each.m_Head);
      for (std::size_t Unit = 0;
           Taken && Unit < Each.m_Units && Clock::now() < Until; ++Unit)
        Taken = sendAll(Open[Index], Each.m_Unit);
    });
  for (std::thread &Each : Senders)
    Each.join();
  BOOST_TEST(Sent.m_Process.waitForExit(0) == -1, "the process has ended");
  BOOST_TEST(peakKb(Sent.m_Process) <= MaxPeakKb);
  BOOST_TEST(isServed(Sent), "no ordinary request was answered");
  for (int Socket : Open)
    ::close(Socket);
}

std::string chunked(const Subject &Sent) {
  return "POST " + Sent.m_BodyPath +
         " HTTP/1.1\r\nHost: fleet.example\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

/// Bodies within the limits that stop just short of their end.
std::vector<Nuisance> incompleteBodies(const Subject &Sent) {
  constexpr std::size_t LargeChunk = 64 * 1024;
  constexpr std::size_t ChunksPerUnit = 1024;
  std::string Small;
  for (std::size_t Chunk = 0; Chunk < ChunksPerUnit; ++Chunk)
    Small += "2\r\nab\r\n";
  std::vector<Nuisance> Crowd(
      LargeBodies,
      {chunked(Sent), "10000\r\n" + std::string(LargeChunk, 'x') + "\r\n",
       MaxBody / LargeChunk - 1});
  Crowd.insert(Crowd.end(), SmallChunkBodies, {chunked(Sent), Small, 200});
  return Crowd;
}

std::vector<Nuisance> endlessHeads() {
  constexpr std::size_t FieldBytes = 64 * 1024;
  const std::string Start = "GET / HTTP/1.1\r\nHost: fleet.example\r\n";
  std::string Fields;
  while (Fields.size() < FieldBytes)
    Fields += "X-Field-" + std::to_string(Fields.size()) + ": value\r\n";
  std::string Lines;
  while (Lines.size() < FieldBytes)
    Lines += "\r\n";
  // One field without an end, and fields without an end.
  std::vector<Nuisance> Crowd(
      EndlessHeads / 2, {Start + "X: ", std::string(FieldBytes, 'x'), 200});
  Crowd.insert(Crowd.end(), EndlessHeads / 2, {Start, Fields, 200});
  Crowd.insert(Crowd.end(), CompleteHeads, {Start, Fields + "\r\n", 1});
  Crowd.insert(Crowd.end(), EmptyLineSenders, {"", Lines, 200});
  return Crowd;
}

std::vector<Nuisance> excessiveBodies(const Subject &Sent) {
  const std::string Part(256 * 1024, 'x');
  std::vector<Nuisance> Crowd(ExcessiveBodies / 2,
                              {"POST " + Sent.m_BodyPath +
                                   " HTTP/1.1\r\nHost: fleet.example\r\n"
                                   "Content-Length: 1073741824\r\n\r\n",
                               Part, 64});
  Crowd.insert(Crowd.end(), ExcessiveBodies / 2,
               {chunked(Sent), "40000\r\n" + Part + "\r\n", 64});
  return Crowd;
}

/// Opens connections beyond the descriptor limit, each idle after an answer;
/// refusing or closing some is allowed.
void holdIdle(const Subject &Asked) {
  std::vector<int> Open;
  for (std::size_t Count = 0; Count < IdleConnections; ++Count) {
    Open.push_back(connectTo(Asked.m_Address));
    timeval Short = {0, 50000};
    ::setsockopt(Open.back(), SOL_SOCKET, SO_RCVTIMEO, &Short, sizeof Short);
    exchange(Open.back(), Asked.m_Ordinary);
  }
  BOOST_TEST(Asked.m_Process.waitForExit(0) == -1, "the process has ended");
  BOOST_TEST(isServed(Asked), "no ordinary request was answered");
  for (int Socket : Open)
    ::close(Socket);
}

/// Connections that callers close while they are idle leave no descriptor.
void closeIdle(const Subject &Asked) {
  std::size_t Before = descriptors(Asked.m_Process);
  for (std::size_t Count = 0; Count < ClosedConnections; ++Count) {
    int Socket = connectTo(Asked.m_Address);
    exchange(Socket, Asked.m_Ordinary);
    ::close(Socket);
  }
  BOOST_TEST(waitUntil(
                 [&] {
                   return descriptors(Asked.m_Process) <=
                          Before + MaxLeftDescriptors;
                 },
                 5000),
             descriptors(Asked.m_Process) << " descriptors after " << Before);
  BOOST_TEST(isServed(Asked), "no ordinary request was answered");
}

std::string plainGet(const char *Path) {
  return std::string("GET ") + Path +
         " HTTP/1.1\r\nHost: fleet.example\r\n\r\n";
}

const nlohmann::json Memory = {{"caller_memory_mb", CallerMemoryMb}};

/// A fleet with one gateway that has the lowered limits.
struct GatewayUnderTest {
  GatewayFleet m_Fleet{1, 1, 3, 1};
  Subject m_Front{m_Fleet.gateway(0), m_Fleet.realFront(0), "",
                  "/desk/order/x"};
  Subject m_Ready{m_Fleet.gateway(0), m_Fleet.readyAddress(0),
                  plainGet("/readyz"), "/readyz"};

  GatewayUnderTest() {
    m_Front.m_Ordinary =
        "GET /desk/lookup/x HTTP/1.1\r\nHost: fleet.example\r\n"
        "Vanillaferry-Attempt-Id: 0123abcd\r\n"
        "Vanillaferry-Deadline-Milliseconds: 2000\r\n"
        "X-Api-Key: key-0-first\r\n\r\n";
    m_Fleet.gateway(0).kill();
    m_Fleet.startGateway(0, Memory, DescriptorLimit);
    BOOST_REQUIRE(m_Fleet
                      .order("PUT", "/manifest", m_Fleet.manifest(1, {}).dump(),
                             StartLimitMs)
                      .m_HttpStatus == 200);
    BOOST_REQUIRE(m_Fleet.waitReady(0, StartLimitMs));
    BOOST_REQUIRE(isServed(m_Front));
  }
};

struct KeeperUnderTest {
  KeeperFleet m_Fleet{1, Memory};
  Subject m_Http{
      m_Fleet.process(0), {}, plainGet("/healthz"), "/document/zones"};

  KeeperUnderTest() {
    m_Fleet.start(0, true);
    std::string Url = m_Fleet.httpUrl(0);
    m_Http.m_Address.m_Port =
        static_cast<std::uint16_t>(std::stoi(Url.substr(Url.rfind(':') + 1)));
    BOOST_REQUIRE(isServed(m_Http));
  }
};

/// A router without keepers answers status checks.
struct RouterUnderTest {
  TemporaryFolder m_Folder;
  ChildProcess m_Process;
  Subject m_Http{m_Process,
                 {"127.0.0.1", freePort()},
                 plainGet("/healthz"),
                 "/v1/chat/completions"};

  RouterUnderTest() {
    startLoneRouter(m_Process, m_Folder, m_Http.m_Address, Memory,
                    DescriptorLimit);
    BOOST_REQUIRE(isServed(m_Http));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(UntrustedCallers)

// Guards against a gateway that runs out of memory when many callers leave
// bodies unfinished.
BOOST_FIXTURE_TEST_CASE(AGatewayBoundsUnfinishedBodies, GatewayUnderTest) {
  sendAtOnce(m_Front, incompleteBodies(m_Front));
}

// Guards against a gateway that reads heads and empty lines without a limit.
BOOST_FIXTURE_TEST_CASE(AGatewayBoundsHeadsAndEmptyLines, GatewayUnderTest) {
  sendAtOnce(m_Front, endlessHeads());
  sendAtOnce(m_Ready, endlessHeads());
}

// Guards against a gateway that reads bodies far over the limit.
BOOST_FIXTURE_TEST_CASE(AGatewayBoundsBodiesOverTheLimit, GatewayUnderTest) {
  sendAtOnce(m_Front, excessiveBodies(m_Front));
  sendAtOnce(m_Ready, excessiveBodies(m_Ready));
}

// Guards against idle connections that use up a gateway's descriptors.
BOOST_FIXTURE_TEST_CASE(AGatewayServesBesideIdleConnections, GatewayUnderTest) {
  closeIdle(m_Ready);
  closeIdle(m_Front);
  holdIdle(m_Ready);
  holdIdle(m_Front);
}

// Guards against a keeper that runs out of memory by requests of any kind.
BOOST_FIXTURE_TEST_CASE(AKeeperBoundsRequests, KeeperUnderTest) {
  sendAtOnce(m_Http, incompleteBodies(m_Http));
  sendAtOnce(m_Http, endlessHeads());
  sendAtOnce(m_Http, excessiveBodies(m_Http));
}

// Guards against connections to keepers that are kept after callers closed
// them.
BOOST_FIXTURE_TEST_CASE(AKeeperKeepsNoClosedConnection, KeeperUnderTest) {
  closeIdle(m_Http);
}

// Guards against a router that runs out of memory by requests of any kind.
BOOST_FIXTURE_TEST_CASE(ARouterBoundsRequests, RouterUnderTest) {
  sendAtOnce(m_Http, incompleteBodies(m_Http));
  sendAtOnce(m_Http, endlessHeads());
  sendAtOnce(m_Http, excessiveBodies(m_Http));
}

// Guards against idle connections that use up a router's descriptors.
BOOST_FIXTURE_TEST_CASE(ARouterServesBesideIdleConnections, RouterUnderTest) {
  closeIdle(m_Http);
  holdIdle(m_Http);
}

BOOST_AUTO_TEST_SUITE_END()
