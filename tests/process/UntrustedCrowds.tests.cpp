#include "CallerCrowd.hpp"
#include "GatewayFleet.hpp"
#include "OrdinaryCaller.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

using namespace vanillaferry;
using namespace vanillaferry::tests;

namespace {

/// Crowds and bounds, fixed before the server was changed. Each process runs on
/// a machine with this memory and this many descriptors.
constexpr std::int64_t MachineMemoryMb = 64;
constexpr std::int64_t MaxPeakKb = MachineMemoryMb * 1024;
constexpr std::int64_t DescriptorLimit = 2048;
/// Descriptors that a process has open beside those of its callers.
constexpr std::size_t MaxDescriptors = 2048 - 256;
constexpr std::size_t HeadCallers = 900;
constexpr std::size_t BodyCallers = 32;
constexpr std::size_t SmallChunkCallers = 300;
constexpr std::size_t EmptyLineCallers = 200;
constexpr std::size_t UnreadCallers = 200;
constexpr std::size_t RequestsAhead = 8;
constexpr int EndlessStreams = 200;
constexpr std::size_t DrawnCallers = 600;
constexpr double MaxHeldForNobody = 1024 * 1024;
constexpr std::size_t AnswerBytes = 1024 * 1024;
constexpr std::size_t MaxHead = 16 * 1024;
constexpr std::size_t MaxBody = 4 * 1024 * 1024;
/// Body of an ordinary order.
constexpr std::size_t OrderBytes = 600;
constexpr int SentLimitMs = 20000;
constexpr int ServedLimitMs = 15000;
constexpr int StartLimitMs = 20000;

const nlohmann::json Machine = {{"memory_mb", MachineMemoryMb}};

/// A process, the address that a crowd comes to, and a request that it must
/// answer.
struct Subject {
  ChildProcess &m_Process;
  LoopbackAddress m_Address;
  std::string m_BodyPath;
  std::size_t m_MaxBody = MaxBody;
  /// Sends one ordinary request; true when it was served.
  std::function<bool()> m_Ask;
};

void checkProcess(const Subject &Sent) {
  BOOST_TEST(Sent.m_Process.waitForExit(0) == -1, "the process has ended");
  BOOST_TEST(peakKb(Sent.m_Process) <= MaxPeakKb);
  BOOST_TEST(descriptors(Sent.m_Process) <= MaxDescriptors);
}

/// Lets the crowd come and stay, and asks an ordinary request while it is there
/// and after it has left.
void playCrowd(const Subject &Sent, const std::vector<CrowdScript> &Scripts,
               std::size_t Each, std::chrono::milliseconds Stays = {}) {
  CallerCrowd Crowd(Sent.m_Address, Scripts, Each);
  BOOST_TEST(Crowd.waitUntilSent(SentLimitMs));
  std::this_thread::sleep_for(Stays);
  BOOST_TEST(waitUntil(Sent.m_Ask, ServedLimitMs),
             "no ordinary request was answered beside the crowd");
  checkProcess(Sent);
  Crowd.stop();
  BOOST_TEST(waitUntil(Sent.m_Ask, ServedLimitMs),
             "no ordinary request was answered after the crowd");
  checkProcess(Sent);
}

std::string headOf(const Subject &Sent, const std::string &Fields) {
  return "POST " + Sent.m_BodyPath + " HTTP/1.1\r\nHost: fleet.example\r\n" +
         Fields;
}

std::string chunkedHead(const Subject &Sent) {
  return headOf(Sent, "Transfer-Encoding: chunked\r\n\r\n");
}

std::string sizedHead(const Subject &Sent) {
  return headOf(Sent, "Content-Length: " + std::to_string(Sent.m_MaxBody) +
                          "\r\n\r\n");
}

std::string chunkOf(const std::string &Data) {
  char Size[16];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Data.size());
  return Size + Data + "\r\n";
}

/// The largest head within the limits, in as many fields as are allowed.
std::string largestHead(const Subject &Sent) {
  constexpr std::size_t MaxFields = 250;
  std::string Head = headOf(Sent, "Transfer-Encoding: chunked\r\n");
  for (std::size_t Field = 0; Field < MaxFields; ++Field) {
    std::string Line = "x-field-" + std::to_string(1000 + Field) +
                       "-of-a-caller-unknown: " + std::string(26, 'v') + "\r\n";
    if (Head.size() + Line.size() + 2 <= MaxHead)
      Head += Line;
  }
  return Head + "\r\n";
}

/// Heads within the limits, and bodies of one byte without their last chunk.
std::vector<CrowdScript> unfinishedAfterHeads(const Subject &Sent) {
  return {{largestHead(Sent), chunkOf("x"), 1}};
}

/// Bodies of legal size in large chunks without the last one.
std::vector<CrowdScript> largeChunks(const Subject &Sent) {
  const std::size_t Size = std::min<std::size_t>(64 * 1024, Sent.m_MaxBody / 4);
  const std::string Chunk = chunkOf(std::string(Size, 'x'));
  return {{chunkedHead(Sent), Chunk, Sent.m_MaxBody / Size}};
}

/// Bodies of 40,000 chunks of one byte, without the last one.
std::vector<CrowdScript> smallChunks(const Subject &Sent) {
  constexpr std::size_t ChunksPerUnit = 100;
  const std::size_t Chunks = std::min<std::size_t>(40000, Sent.m_MaxBody);
  std::string Unit;
  for (std::size_t Chunk = 0; Chunk < ChunksPerUnit; ++Chunk)
    Unit += chunkOf("x");
  return {{chunkedHead(Sent), Unit, Chunks / ChunksPerUnit}};
}

/// Bodies of legal size with their length, the last byte missing.
CrowdScript sizedBody(const Subject &Sent) {
  const std::size_t Part =
      std::min<std::size_t>(256 * 1024, Sent.m_MaxBody / 4);
  return {sizedHead(Sent), std::string(Part, 'x'), Sent.m_MaxBody / Part - 1,
          std::string(Part - 1, 'x')};
}

/// The same piece by piece; one in four is whole.
std::vector<CrowdScript> piecesOfBodies(const Subject &Sent) {
  CrowdScript Unfinished = sizedBody(Sent);
  Unfinished.m_Pause = std::chrono::milliseconds(50);
  CrowdScript Whole = Unfinished;
  Whole.m_Tail += 'x';
  return {Unfinished, Unfinished, Unfinished, Whole};
}

/// Heads without an end: just below the limit and left there, one endless
/// field, endless fields.
std::vector<CrowdScript> endlessHeads(const Subject &Sent) {
  std::string Open = largestHead(Sent);
  Open.resize(Open.size() - 2);
  std::string Fields;
  while (Fields.size() < MaxHead)
    Fields += "X-Field-" + std::to_string(Fields.size()) + ": value\r\n";
  return {{Open, "", 0},
          {Open, "", 0},
          {headOf(Sent, "X: "), std::string(MaxHead, 'x'), 200},
          {headOf(Sent, ""), Fields, 200}};
}

std::vector<CrowdScript> emptyLines() {
  constexpr std::size_t Lines = 1024;
  std::string Unit;
  for (std::size_t Line = 0; Line < Lines; ++Line)
    Unit += "\r\n";
  return {{"", Unit, 200},
          {"", "\r\n", 200, "", std::chrono::milliseconds(100)}};
}

/// Every kind of the list, one after the other.
void playAll(const Subject &Sent) {
  playCrowd(Sent, unfinishedAfterHeads(Sent), HeadCallers);
  playCrowd(Sent, largeChunks(Sent), BodyCallers);
  playCrowd(Sent, smallChunks(Sent), SmallChunkCallers);
  playCrowd(Sent, {sizedBody(Sent)}, BodyCallers);
  playCrowd(Sent, piecesOfBodies(Sent), BodyCallers / 4);
  playCrowd(Sent, endlessHeads(Sent), HeadCallers / 4);
  playCrowd(Sent, emptyLines(), EmptyLineCallers / 2);
}

/// Bytes of any value at any pace.
CrowdScript anyBytes(std::mt19937_64 &Random) {
  constexpr std::size_t MaxBytes = 4096;
  std::string Text(Random() % MaxBytes, ' ');
  for (char &Each : Text)
    Each = static_cast<char>(Random());
  return {Random() % 2 == 0 ? "GET / HTTP/1.1\r\n" : "", Text, 100};
}

/// Some kinds of callers, by a seed, each at a pace of its own and with another
/// number of units.
std::vector<CrowdScript> drawnCrowd(const Subject &Sent, std::uint64_t Seed) {
  constexpr std::size_t Kinds = 4;
  const std::array<int, 4> PausesMs = {0, 1, 20, 200};
  std::mt19937_64 Random(Seed);
  std::vector<CrowdScript> All;
  for (const std::vector<CrowdScript> &Scripts :
       {unfinishedAfterHeads(Sent), largeChunks(Sent), smallChunks(Sent),
        piecesOfBodies(Sent), endlessHeads(Sent), emptyLines(),
        std::vector<CrowdScript>{sizedBody(Sent), anyBytes(Random)}})
    All.insert(All.end(), Scripts.begin(), Scripts.end());
  std::vector<CrowdScript> Drawn;
  for (std::size_t Kind = 0; Kind < Kinds; ++Kind) {
    CrowdScript Script = All[Random() % All.size()];
    Script.m_Pause =
        std::chrono::milliseconds(PausesMs[Random() % PausesMs.size()]);
    if (Script.m_Units > 1 && Random() % 2 == 0)
      Script.m_Units = 1 + Random() % Script.m_Units;
    Script.m_Reads = Random() % 4 != 0;
    Drawn.push_back(Script);
  }
  return Drawn;
}

std::uint64_t numberOf(const char *Variable, std::uint64_t Default) {
  const char *Text = std::getenv(Variable);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

bool isServed(const LoopbackAddress &Address, const std::string &Text) {
  return askOnce(Address, Text) == 200;
}

/// A gateway, its keeper and targets.
struct SmallGateway {
  GatewayFleet m_Fleet{1, 1, 3, 1};
  std::size_t m_Asked = 0;
  Subject m_Front{m_Fleet.gateway(0), m_Fleet.realFront(0), "/desk/order/x",
                  MaxBody, [this] { return order(OrderBytes); }};
  Subject m_Ready{m_Fleet.gateway(0), m_Fleet.readyAddress(0), "/readyz", 1000,
                  [this] { return ask("/readyz"); }};
  /// Requests at the relay's port are served where the gateway that passes them
  /// on states what it knows; an order at the front shows that the process
  /// serves.
  Subject m_Relay{m_Fleet.gateway(0), m_Fleet.relayAddress(0), "/desk/order/x",
                  MaxBody, [this] { return order(OrderBytes); }};

  SmallGateway() {
    m_Fleet.gateway(0).kill();
    m_Fleet.startGateway(0, Machine, DescriptorLimit);
    BOOST_REQUIRE(m_Fleet
                      .order("PUT", "/manifest", m_Fleet.manifest(1, {}).dump(),
                             StartLimitMs)
                      .m_HttpStatus == 200);
    BOOST_REQUIRE(m_Fleet.waitReady(0, StartLimitMs));
    BOOST_REQUIRE(waitUntil(m_Front.m_Ask, ServedLimitMs));
  }

  bool ask(const char *Path) {
    return isServed(m_Fleet.readyAddress(0),
                    std::string("GET ") + Path +
                        " HTTP/1.1\r\nHost: fleet.example\r\n\r\n");
  }

  /// The bytes that the gateway counts for its callers; -1 without an answer.
  double heldForCallers() const {
    const std::string Name = "\nvanillaferry_caller_bytes ";
    std::string Text = httpCall("http://" + m_Fleet.readyAddress(0).text(),
                                {"GET", "/metrics", {}, ""})
                           .m_Body;
    std::size_t Found = Text.find(Name);
    return Found == std::string::npos
               ? -1
               : std::strtod(&Text[Found + Name.size()], nullptr);
  }

  /// True when it counts no more than some connections need.
  bool holdsLittle() const {
    double Held = heldForCallers();
    return Held >= 0 && Held <= MaxHeldForNobody;
  }

  bool order(std::size_t BodyBytes) {
    return isServed(m_Fleet.realFront(0),
                    "POST /desk/order/x HTTP/1.1\r\nHost: fleet.example\r\n"
                    "Vanillaferry-Attempt-Id: ordinary-" +
                        std::to_string(++m_Asked) +
                        "\r\nVanillaferry-Deadline-Milliseconds: 8000\r\n"
                        "X-Api-Key: key-0-first\r\nContent-Length: " +
                        std::to_string(BodyBytes) + "\r\n\r\n" +
                        std::string(BodyBytes, 'o'));
  }
};

/// A keeper, which answers an order that names no operator with 401.
struct SmallKeeper {
  KeeperFleet m_Fleet{1, Machine};
  Subject m_Http{
      m_Fleet.process(0), {}, "/document/zones", MaxBody, [this] {
        return askOnce(m_Http.m_Address,
                       "PUT /document/zones HTTP/1.1\r\nHost: fleet.example\r\n"
                       "Content-Length: " +
                           std::to_string(OrderBytes) + "\r\n\r\n" +
                           std::string(OrderBytes, 'o')) == 401;
      }};

  SmallKeeper() {
    m_Fleet.start(0, true, 0, DescriptorLimit);
    std::string Url = m_Fleet.httpUrl(0);
    m_Http.m_Address.m_Port =
        static_cast<std::uint16_t>(std::stoi(Url.substr(Url.rfind(':') + 1)));
    BOOST_REQUIRE(waitUntil(m_Http.m_Ask, StartLimitMs));
  }
};

/// A router without keepers answers status checks, and requests with a refusal
/// that states its missing lease.
struct SmallRouter {
  TemporaryFolder m_Folder;
  ChildProcess m_Process;
  Subject m_Http{m_Process,
                 {"127.0.0.1", freePort()},
                 "/v1/chat/completions",
                 MaxBody,
                 [this] {
                   return isServed(m_Http.m_Address,
                                   "GET /healthz HTTP/1.1\r\n"
                                   "Host: fleet.example\r\n"
                                   "Content-Length: 600\r\n\r\n" +
                                       std::string(OrderBytes, 'o'));
                 }};

  SmallRouter() {
    startLoneRouter(m_Process, m_Folder, m_Http.m_Address, Machine,
                    DescriptorLimit);
    BOOST_REQUIRE(waitUntil(m_Http.m_Ask, StartLimitMs));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(UntrustedCrowds)

// Guards against parsed heads that no budget counts.
BOOST_FIXTURE_TEST_CASE(AGatewayBoundsHeadsOfUnfinishedBodies, SmallGateway) {
  playCrowd(m_Front, unfinishedAfterHeads(m_Front), HeadCallers);
}

// Guards against unfinished bodies that close a gateway to everybody else.
BOOST_FIXTURE_TEST_CASE(AGatewayServesBesideUnfinishedLargeChunks,
                        SmallGateway) {
  playCrowd(m_Front, largeChunks(m_Front), BodyCallers);
}

BOOST_FIXTURE_TEST_CASE(AGatewayServesBesideUnfinishedSmallChunks,
                        SmallGateway) {
  playCrowd(m_Front, smallChunks(m_Front), SmallChunkCallers);
}

BOOST_FIXTURE_TEST_CASE(AGatewayServesBesideUnfinishedSizedBodies,
                        SmallGateway) {
  playCrowd(m_Front, {sizedBody(m_Front)}, BodyCallers);
}

BOOST_FIXTURE_TEST_CASE(AGatewayServesBesideBodiesPieceByPiece, SmallGateway) {
  playCrowd(m_Front, piecesOfBodies(m_Front), BodyCallers / 4);
}

BOOST_FIXTURE_TEST_CASE(AGatewayServesBesideHeadsWithoutEnd, SmallGateway) {
  playCrowd(m_Front, endlessHeads(m_Front), HeadCallers / 4);
}

BOOST_FIXTURE_TEST_CASE(AGatewayServesBesideEmptyLinesWithoutEnd,
                        SmallGateway) {
  playCrowd(m_Front, emptyLines(), EmptyLineCallers / 2);
}

// Guards against a large body that is refused though its caller sends all of it
// in time, while others hold room and don't go on.
BOOST_FIXTURE_TEST_CASE(AGatewayTakesAWholeLargeBodyBesideUnfinishedOnes,
                        SmallGateway) {
  m_Front.m_Ask = [this] { return order(MaxBody); };
  playCrowd(m_Front, {sizedBody(m_Front)}, BodyCallers);
}

// Guards against answers that callers ask for and do not read.
BOOST_FIXTURE_TEST_CASE(AGatewayBoundsUnreadAnswers, SmallGateway) {
  constexpr std::size_t Desk = 2;
  TargetFaults Large;
  Large.m_Padding = AnswerBytes;
  m_Fleet.targets().setFaults(Desk, Large);
  // The kernel takes the first answers.
  CrowdScript Ask{"",
                  "GET /desk/lookup/x HTTP/1.1\r\nHost: fleet.example\r\n"
                  "Vanillaferry-Attempt-Id: unread\r\n"
                  "X-Api-Key: key-0-first\r\n\r\n",
                  RequestsAhead};
  Ask.m_Reads = false;
  playCrowd(m_Front, {Ask}, UnreadCallers, std::chrono::seconds(4));
}

// Guards against events of targets that have no end.
BOOST_FIXTURE_TEST_CASE(AGatewayBoundsEndlessEvents, SmallGateway) {
  constexpr std::size_t Engines = 2;
  TargetFaults Endless;
  Endless.m_EndlessEvents = true;
  for (std::size_t Engine = 0; Engine < Engines; ++Engine)
    m_Fleet.targets().setFaults(Engine, Endless);
  m_Fleet.targets().setSlots(EndlessStreams);
  CrowdScript Ask{"POST /ask/x HTTP/1.1\r\nHost: fleet.example\r\n"
                  "Vanillaferry-Attempt-Id: endless\r\n"
                  "X-Api-Key: key-0-first\r\nVanillaferry-Model: m\r\n"
                  "Vanillaferry-Token-Counts: 100,60\r\n"
                  "Vanillaferry-Prompt-Prefix: aa:80,endless:20\r\n"
                  "Content-Length: 2\r\n\r\n{}",
                  "", 0};
  playCrowd(m_Front, {Ask}, EndlessStreams, std::chrono::seconds(4));
}

// A short seeded soak; docs/testing.md has the long one.
BOOST_FIXTURE_TEST_CASE(AGatewayBoundsDrawnCrowds, SmallGateway) {
  std::uint64_t First = numberOf("VANILLAFERRY_CROWD_SEED", 1);
  std::uint64_t Count = numberOf("VANILLAFERRY_CROWD_SEEDS", 5);
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      CallerCrowd Crowd(m_Front.m_Address, drawnCrowd(m_Front, Seed),
                        DrawnCallers / 4);
      std::this_thread::sleep_for(std::chrono::seconds(2));
      BOOST_TEST(waitUntil(m_Front.m_Ask, ServedLimitMs),
                 "no ordinary request was answered beside the crowd");
      BOOST_TEST(waitUntil(m_Ready.m_Ask, ServedLimitMs),
                 "no status check was answered beside the crowd");
      checkProcess(m_Front);
      Crowd.stop();
      BOOST_TEST(waitUntil([this] { return holdsLittle(); }, ServedLimitMs),
                 heldForCallers() << " bytes are counted for no caller");
    }
  }
}

BOOST_FIXTURE_TEST_CASE(AReadyAddressBoundsCrowds, SmallGateway) {
  playAll(m_Ready);
}

BOOST_FIXTURE_TEST_CASE(ARelayAddressBoundsCrowds, SmallGateway) {
  playAll(m_Relay);
}

BOOST_FIXTURE_TEST_CASE(AKeeperBoundsCrowds, SmallKeeper) { playAll(m_Http); }

BOOST_FIXTURE_TEST_CASE(ARouterBoundsCrowds, SmallRouter) { playAll(m_Http); }

BOOST_AUTO_TEST_SUITE_END()
