#include "GatewayCallers.hpp"
#include "GatewaySoak.hpp"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

using namespace vanillaferry;
using namespace vanillaferry::tests;

namespace {

constexpr std::uint64_t DefaultSeed = 1;
constexpr std::uint64_t DefaultSeconds = 15;
/// Time for the first manifest to be accepted and applied.
constexpr int StartLimitMs = 20000;
/// The users' limit for the recovery of the service after all faults end.
constexpr int RecoveryMs = 12000;
constexpr int CalmSeconds = 3;
constexpr std::size_t Callers = 12;

std::uint64_t numberFrom(const char *Variable, std::uint64_t Default) {
  const char *Text = std::getenv(Variable);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

void waitAllReady(GatewayFleet &Fleet, int LimitMs) {
  double End = historyNow() + LimitMs;
  for (std::size_t Index = 0; Index < Fleet.gateways(); ++Index)
    BOOST_TEST(Fleet.waitReady(
                   Index, std::max(1, static_cast<int>(End - historyNow()))),
               "gateway " << Index + 1 << " is not ready");
}

std::map<CallEnding, int> countEndings(const std::vector<CallRecord> &Calls) {
  std::map<CallEnding, int> Counts;
  for (const CallRecord &Call : Calls)
    ++Counts[Call.m_Ending];
  return Counts;
}

void printEndings(const char *When, const std::vector<CallRecord> &Calls) {
  std::map<CallEnding, int> Counts = countEndings(Calls);
  std::cout << When << ": " << Calls.size() << " calls, "
            << Counts[CallEnding::Answered] << " answered, "
            << Counts[CallEnding::Refused] << " refused, "
            << Counts[CallEnding::Failed] << " failed, "
            << Counts[CallEnding::Closed] << " closed, "
            << Counts[CallEnding::TimedOut] << " timed out" << std::endl;
}

void reportFaults(const FoundFaults &Found) {
  for (const std::string &Fault : Found.all())
    BOOST_ERROR(Fault);
}

/// Checks that each call succeeds while no faults are injected, except calls
/// with a revoked key.
void checkCalm(const std::vector<CallRecord> &Calls,
               const GatewayOperator &Operator) {
  BOOST_TEST(Calls.size() > 0U);
  for (const CallRecord &Call : Calls) {
    bool Answered =
        Call.m_Ending == CallEnding::Answered && Call.m_Status == 200;
    bool HasKey = Operator.removedKeys().count(Call.m_Key) == 0;
    BOOST_TEST((Answered || (!HasKey && Call.m_Status == 401)),
               Call.m_Id << " at gateway " << Call.m_Gateway + 1
                         << " ended with status " << Call.m_Status);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(GatewayFaults)

// Guards against requests lost in a graceful shutdown: gateways are stopped one
// after the other under load, while callers keep their connections open.
BOOST_AUTO_TEST_CASE(GatewaysThatAreStoppedInTurnLoseNoRequest) {
  GatewayFleet Fleet(3, 3, 6, 1);
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, 1);
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  waitAllReady(Fleet, StartLimitMs);
  std::vector<CallRecord> Calls;
  {
    GatewayCallers Load(Fleet, Found, Callers, 5);
    for (std::size_t Index = 0; Index < Fleet.gateways(); ++Index) {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      Fleet.gateway(Index).signal(SIGTERM);
      BOOST_TEST(Fleet.gateway(Index).waitForExit(8000) == 0);
      Fleet.startGateway(Index);
      BOOST_TEST(Fleet.waitReady(Index, RecoveryMs));
    }
    Load.stop();
    Calls = Load.calls();
  }
  printEndings("rolled", Calls);
  std::map<std::string, int> Ran;
  for (const TargetRun &Run : Fleet.targets().runs())
    ++Ran[Run.m_Request];
  for (const CallRecord &Call : Calls)
    // A connection may close before the gateway has read the request.
    BOOST_TEST((Call.m_Ending == CallEnding::Answered || Ran[Call.m_Id] == 0),
               Call.m_Id << " ran and ended with status " << Call.m_Status);
  checkRuns(Fleet.targets().runs(), Calls, Operator, Found);
  reportFaults(Found);
}

// Guards against a leader losing its leadership because operators read a large
// manifest several times at once: the answers delayed its heartbeats, and no
// read was answered in time.
BOOST_AUTO_TEST_CASE(ReadsOfALargeManifestDoNotQueueOnTheLeadersLink) {
  constexpr int ManyRoutes = 1500;
  constexpr std::chrono::milliseconds LinkTime{2500};
  GatewayFleet Fleet(3, 1, 3, 1);
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, 1);
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  nlohmann::json Large = Fleet.manifest(2, {});
  for (int Number = 0; Number < ManyRoutes; ++Number) {
    nlohmann::json Route = Large["routes"].back();
    Route["name"] = "route-" + std::to_string(Number);
    Route["path_prefix"] = "/route-" + std::to_string(Number) + "/";
    Large["routes"].push_back(Route);
  }
  BOOST_REQUIRE(Fleet.order("PUT", "/manifest", Large.dump(), StartLimitMs)
                    .m_HttpStatus == 200);
  std::this_thread::sleep_for(LinkTime);
  std::map<int, int> Answers;
  for (int Round = 0; Round < 3; ++Round)
    for (std::size_t Keeper = 0; Keeper < Fleet.keepers(); ++Keeper)
      ++Answers[Fleet.orderAt(Keeper, "GET", "/manifest", "", 2000)
                    .m_HttpStatus];
  // The two followers redirect to the leader, which answers its first read and
  // refuses the other two.
  BOOST_TEST(Answers[307] == 6);
  BOOST_TEST(Answers[200] == 1);
  BOOST_TEST(Answers[503] == 2);
  std::this_thread::sleep_for(LinkTime);
  OperatorReply Later = Fleet.order("GET", "/manifest", "", 5000);
  BOOST_TEST(Later.m_HttpStatus == 200);
  BOOST_TEST((Later.m_Body == Large));
}

// Guards against a stream without a length and chunks that ends inside an event
// and reaches its caller as complete.
BOOST_AUTO_TEST_CASE(AStreamThatEndsInsideAnEventIsNotWhole) {
  GatewayFleet Fleet(3, 1, 3, 1);
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, 1);
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  waitAllReady(Fleet, StartLimitMs);
  auto Call = [&](CallKind Kind, std::uint64_t Seed) {
    GatewayCallers Load(Fleet, Found, 2, Seed, {Kind, {}});
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    Load.stop();
    return countEndings(Load.calls());
  };
  TargetFaults Whole;
  Whole.m_Unframed = 1;
  TargetFaults Cut = Whole;
  Cut.m_Broken = 1;
  for (std::size_t Engine : {0, 1})
    Fleet.targets().setFaults(Engine, Whole);
  std::map<CallEnding, int> Endings = Call(CallKind::Stream, 11);
  BOOST_TEST(Endings[CallEnding::Answered] > 0);
  BOOST_TEST(Endings.size() == 1U);
  Fleet.targets().setFaults(1, Cut);
  Endings = Call(CallKind::ResumableStream, 12);
  BOOST_TEST(Endings[CallEnding::Answered] > 0);
  BOOST_TEST(Endings[CallEnding::Closed] == 0);
  Fleet.targets().setFaults(0, Cut);
  Endings = Call(CallKind::Stream, 13);
  BOOST_TEST(Endings[CallEnding::Answered] == 0);
  BOOST_TEST(Endings[CallEnding::Closed] > 0);
  reportFaults(Found);
}

// Guards against breaking any guarantee of docs/PROOFS.md while faults of all
// kinds coincide. docs/testing.md has the command for a long run.
BOOST_AUTO_TEST_CASE(AGatewayFleetUnderFaultsKeepsItsPromises) {
  std::uint64_t Seed = numberFrom("VANILLAFERRY_SOAK_SEED", DefaultSeed);
  std::uint64_t Seconds =
      numberFrom("VANILLAFERRY_SOAK_SECONDS", DefaultSeconds);
  std::cout << "gateway faults: seed " << Seed << ", " << Seconds << " s"
            << std::endl;
  GatewayFleet Fleet(5, 4, 9, Seed);
  std::cout << "folder " << Fleet.folder() << std::endl;
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, Seed);
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  waitAllReady(Fleet, StartLimitMs);
  GatewaySoak Soak(Fleet, Found, Seed);
  std::vector<CallRecord> Calls;
  {
    GatewayCallers Load(Fleet, Found, Callers, Seed);
    Operator.start();
    Soak.run(static_cast<double>(Seconds));
    Operator.stop();
    Load.stop();
    Calls = Load.calls();
  }
  std::cout << "faults: " << Soak.summary() << std::endl;
  printEndings("with faults", Calls);
  waitAllReady(Fleet, RecoveryMs);
  Soak.checkAlive();
  Operator.checkManifest(RecoveryMs);
  // Targets that have failed or returned get few requests at first.
  std::this_thread::sleep_for(std::chrono::seconds(CalmSeconds));
  {
    GatewayCallers Load(Fleet, Found, Callers, Seed + 500000);
    std::this_thread::sleep_for(std::chrono::seconds(CalmSeconds));
    Load.stop();
    std::vector<CallRecord> Calm = Load.calls();
    printEndings("afterwards", Calm);
    checkCalm(Calm, Operator);
    Calls.insert(Calls.end(), Calm.begin(), Calm.end());
  }
  checkRuns(Fleet.targets().runs(), Calls, Operator, Found);
  BOOST_TEST(countEndings(Calls)[CallEnding::Answered] > 0);
  reportFaults(Found);
}

BOOST_AUTO_TEST_SUITE_END()
