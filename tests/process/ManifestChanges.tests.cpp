#include "EngineCrashes.hpp"
#include "OrdinaryCaller.hpp"

#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>

using namespace vanillaferry;
using namespace vanillaferry::tests;

namespace {

/// A key that was taken away runs nothing that is sent later than this after
/// the acknowledgement.
constexpr double RevocationLimitMs = 5000;
/// Each change takes some 0.2 s of a keeper's link, so that gateways which wake
/// together do not all get their update with the first grant.
constexpr int RoutesPerChange = 100;
constexpr std::size_t RoutePathLength = 2000;

/// An operator that sends large changes.
class LargeChanges {
public:
  explicit LargeChanges(GatewayFleet &Fleet) : m_Fleet(Fleet) {}

  /// Returns when the change without these keys was acknowledged.
  double send(const std::set<std::string> &Revoked) {
    ++m_Version;
    nlohmann::json Manifest = m_Fleet.manifest(m_Version, Revoked);
    nlohmann::json Route = Manifest["routes"].back();
    for (int Count = 0; Count < RoutesPerChange; ++Count) {
      Route["name"] = "more-" + std::to_string(m_Routes.size());
      Route["path_prefix"] = "/" + randomWord() + "/";
      m_Routes.push_back(Route);
    }
    for (const nlohmann::json &Each : m_Routes)
      Manifest["routes"].push_back(Each);
    BOOST_REQUIRE(
        m_Fleet.order("PUT", "/manifest", Manifest.dump(), StartLimitMs)
            .m_HttpStatus == 200);
    return historyNow();
  }

private:
  std::string randomWord() {
    std::string Word;
    while (Word.size() < RoutePathLength)
      Word.push_back(static_cast<char>('a' + m_Random() % 26));
    return Word;
  }

  GatewayFleet &m_Fleet;
  std::mt19937_64 m_Random{1};
  std::uint64_t m_Version = 0;
  std::vector<nlohmann::json> m_Routes;
};

/// What came of the requests with one key that were sent after a time.
struct KeyUse {
  int m_Sent = 0;
  int m_Ran = 0;
};

KeyUse useKey(GatewayFleet &Fleet, const std::string &Key, double SentAfter) {
  // The callers' ids depend on their seed.
  static std::uint64_t Seed = 0;
  FoundFaults Found;
  CallerOptions Options;
  Options.m_Kind = CallKind::Lookup;
  Options.m_Key = Key;
  Options.m_Pause = std::chrono::milliseconds(2);
  GatewayCallers Callers(Fleet, Found, 48, Seed += 1000, Options);
  pauseFor(2000);
  Callers.stop();
  std::set<std::string> Ran;
  for (const TargetRun &Run : Fleet.targets().runs())
    Ran.insert(Run.m_Request);
  KeyUse Use;
  for (const CallRecord &Call : Callers.calls()) {
    if (Call.m_Start <= SentAfter)
      continue;
    ++Use.m_Sent;
    Use.m_Ran += Ran.count(Call.m_Id) != 0 ? 1 : 0;
  }
  return Use;
}

std::string lookupAt(const std::string &Path) {
  return "GET " + Path +
         "x HTTP/1.1\r\nHost: fleet.example\r\nConnection: close\r\n"
         "Vanillaferry-Attempt-Id: 1f\r\n"
         "Vanillaferry-Deadline-Milliseconds: 2000\r\n"
         "X-Api-Key: key-0-first\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ManifestChanges)

// Guards against requests that run with a key which was taken away long before,
// at gateways that wake several manifests behind.
BOOST_AUTO_TEST_CASE(AWokenGatewayRunsNothingWithAKeyTakenAwayBefore) {
  constexpr std::size_t Gateways = 7;
  GatewayFleet Fleet(3, Gateways, 9, 1);
  LargeChanges Operator(Fleet);
  Operator.send({});
  BOOST_REQUIRE(Fleet.waitAllReady(StartLimitMs));
  std::set<std::string> Revoked;
  for (const char *Key : {"key-0-first", "key-1-first"}) {
    BOOST_TEST(useKey(Fleet, Key, 0).m_Ran > 0);
    for (std::size_t Index = 1; Index < Gateways; ++Index)
      Fleet.gateway(Index).freeze();
    Revoked.insert(Key);
    double RevokedAt = Operator.send(Revoked);
    pauseFor(RevocationLimitMs + 200);
    Operator.send(Revoked);
    for (std::size_t Index = 1; Index < Gateways; ++Index)
      Fleet.gateway(Index).thaw();
    KeyUse Late = useKey(Fleet, Key, RevokedAt + RevocationLimitMs);
    BOOST_TEST_MESSAGE(Late.m_Sent << " requests with a key taken away, "
                                   << Late.m_Ran << " ran");
    BOOST_TEST(Late.m_Sent > 0);
    BOOST_TEST(Late.m_Ran == 0);
    // Other keys are served at the woken gateways.
    BOOST_REQUIRE(Fleet.waitAllReady(StartLimitMs));
    BOOST_TEST(useKey(Fleet, "key-2-first", 0).m_Ran > 0);
  }
}

// Guards against gateways that act on content which lost against other content
// with the same version.
BOOST_AUTO_TEST_CASE(GatewaysActOnTheContentThatIsReadBack) {
  constexpr int Rounds = 12;
  GatewayFleet Fleet(3, 2, 9, 1);
  LargeChanges(Fleet).send({});
  BOOST_REQUIRE(Fleet.waitAllReady(StartLimitMs));
  for (std::uint64_t Version = 2; Version < 2 + Rounds; ++Version) {
    const std::string Paths[] = {"/a" + std::to_string(Version) + "/",
                                 "/b" + std::to_string(Version) + "/"};
    std::vector<std::thread> Operators;
    for (const std::string &Path : Paths) {
      nlohmann::json Manifest = Fleet.manifest(Version, {});
      Manifest["routes"].back()["path_prefix"] = Path;
      // The leader takes one of each operator's.
      for (std::size_t Keeper = 0; Keeper < Fleet.keepers(); ++Keeper)
        Operators.emplace_back([&Fleet, Keeper, Text = Manifest.dump()] {
          Fleet.orderAt(Keeper, "PUT", "/manifest", Text, 2000);
        });
    }
    for (std::thread &Each : Operators)
      Each.join();
    pauseFor(500);
    nlohmann::json Held =
        Fleet.order("GET", "/manifest", "", StartLimitMs).m_Body;
    BOOST_REQUIRE(Held["version"] == Version);
    std::string InForce = Held["routes"].back()["path_prefix"];
    for (std::size_t Gateway = 0; Gateway < Fleet.gateways(); ++Gateway)
      BOOST_TEST(askOnce(Fleet.front(Gateway), lookupAt(InForce)) == 200,
                 "version " << Version << " at gateway " << Gateway + 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()
