#include "EngineCrashes.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace vanillaferry;
using namespace vanillaferry::tests;
using nlohmann::json;

namespace {

/// The users' rule counts from this crash on.
constexpr std::size_t CountedCrash = 5;
constexpr const char *CrashingPart = "dead";

} // namespace

BOOST_AUTO_TEST_SUITE(PromptCrashes)

// Guards against logs that cannot tell which part of their prompts the requests
// share under which engines ended.
BOOST_AUTO_TEST_CASE(TheLogNamesThePromptPartsOfABrokenAnswer) {
  GatewayFleet Fleet(3, 1, 3, 1);
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, 1);
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  BOOST_REQUIRE(Fleet.waitReady(0, StartLimitMs));
  Fleet.targets().setCrashingPart(CrashingPart);
  GatewayCallers Bad(Fleet, Found, 1, 9, {CallKind::Stream, {CrashingPart}});
  BOOST_TEST(waitUntil(
      [&] {
        std::istringstream Log(
            readWholeFile(Fleet.folder() + "/gateway-1.out"));
        for (std::string Line; std::getline(Log, Line);) {
          json Event = json::parse(Line, nullptr, false);
          if (Event.is_object() && Event.value("name", "") == "AnswerBroken" &&
              Event.value("parts", "") == std::string("aa,") + CrashingPart &&
              Event.value("event_ms", "") == "-1")
            return true;
        }
        return false;
      },
      5000));
}

// Guards against requests with a prompt part that ends engines being sent to
// one engine after the other, each by the gateway that it happened to reach.
BOOST_AUTO_TEST_CASE(GatewaysStopSendingAPromptPartThatEndsEngines) {
  GatewayFleet Fleet(3, 4, 12, 1);
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, 1);
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  BOOST_REQUIRE(Fleet.waitAllReady(StartLimitMs));
  CallerOptions SoundOptions{CallKind::Stream, {"b1", "b2", "b3", "b4"}};
  CallerOptions BadOptions{
      CallKind::Stream, {CrashingPart}, std::chrono::milliseconds(250)};
  GatewayCallers Sound(Fleet, Found, 12, 7, SoundOptions);
  pauseFor(ContactMs);
  Fleet.targets().setCrashingPart(CrashingPart);
  double BadFrom = historyNow();
  GatewayCallers Bad(Fleet, Found, 4, 9, BadOptions);
  BOOST_REQUIRE(
      waitUntil([&] { return !Fleet.targets().crashes().empty(); }, 5000));
  pauseFor(4 * ContactMs);
  Bad.stop();
  double BadUntil = historyNow();
  Sound.stop();
  CrashRecord Record;
  Record.m_Sound = Sound.calls();
  Record.m_Bad = Bad.calls();
  Record.m_Runs = Fleet.targets().runs();
  Record.m_Crashes = Fleet.targets().crashes();
  Record.m_BadFrom = BadFrom;
  Record.m_BadUntil = BadUntil;
  Record.m_CountedCrash = CountedCrash;
  checkCrashes(Record);
  std::vector<CallRecord> All = Record.m_Bad;
  All.insert(All.end(), Record.m_Sound.begin(), Record.m_Sound.end());
  checkRuns(Record.m_Runs, All, Operator, Found);
  for (const std::string &Fault : Found.all())
    BOOST_ERROR(Fault);
}

// Guards against a refused part that is sent again after gateways restart, all
// keepers are killed at once and one of them loses its disk.
BOOST_AUTO_TEST_CASE(ARefusedPartStaysRefusedAcrossRestartsUntilItIsReleased) {
  GatewayFleet Fleet(3, 3, 6, 1);
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, 1);
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  BOOST_REQUIRE(Fleet.waitAllReady(StartLimitMs));
  CallerOptions BadOptions{
      CallKind::Stream, {CrashingPart}, std::chrono::milliseconds(250)};
  {
    GatewayCallers Sound(Fleet, Found, 6, 7, {CallKind::Stream, {"b1", "b2"}});
    pauseFor(ContactMs);
    Fleet.targets().setCrashingPart(CrashingPart);
    GatewayCallers Bad(Fleet, Found, 3, 9, BadOptions);
    BOOST_REQUIRE(waitUntil(
        [&] {
          OperatorReply Reply = Fleet.order("GET", "/quarantine", "", 2000);
          return Reply.m_HttpStatus == 200 && !Reply.m_Body["parts"].empty();
        },
        StartLimitMs));
  }
  for (std::size_t Index = 0; Index < Fleet.keepers(); ++Index)
    Fleet.keeper(Index).kill();
  for (std::size_t Index = 0; Index < Fleet.gateways(); ++Index)
    Fleet.gateway(Index).kill();
  Fleet.wipeKeeper(2);
  for (std::size_t Index = 0; Index < Fleet.keepers(); ++Index)
    Fleet.startKeeper(Index);
  for (std::size_t Index = 0; Index < Fleet.gateways(); ++Index)
    Fleet.startGateway(Index);
  BOOST_REQUIRE(Fleet.waitAllReady(StartLimitMs));
  std::size_t Crashes = Fleet.targets().crashes().size();
  {
    GatewayCallers Bad(Fleet, Found, 3, 19, BadOptions);
    pauseFor(ContactMs);
    Bad.stop();
    for (const CallRecord &Call : Bad.calls())
      BOOST_TEST((Call.m_Ending == CallEnding::Refused),
                 Call.m_Id << " ended with status " << Call.m_Status);
    BOOST_TEST(runsAfter(Bad.calls(), Fleet.targets().runs(), 0) == 0U);
  }
  BOOST_TEST(Fleet.targets().crashes().size() == Crashes);
  // The operator has mended the model.
  Fleet.targets().setCrashingPart("");
  BOOST_TEST(Fleet.order("DELETE", "/quarantine/none", "", 5000).m_HttpStatus ==
             404);
  BOOST_REQUIRE_EQUAL(
      Fleet
          .order("DELETE", std::string("/quarantine/") + CrashingPart, "", 5000)
          .m_HttpStatus,
      200);
  pauseFor(1000);
  GatewayCallers Mended(Fleet, Found, 3, 29, BadOptions);
  pauseFor(1000);
  Mended.stop();
  for (const CallRecord &Call : Mended.calls())
    BOOST_TEST((Call.m_Ending == CallEnding::Answered),
               Call.m_Id << " ended with status " << Call.m_Status);
}

// Guards against the same with the routers' own interface, whose engines belong
// to owners: each owner sees the ends of its own engines only.
BOOST_AUTO_TEST_CASE(RoutersStopSendingAMessageThatEndsEngines) {
  FleetPlan Plan{3, 3, 6};
  Plan.m_EngineArguments = {"--crash-on", CrashingPart};
  RouterFleet Fleet(Plan);
  ChatCallers Sound(Fleet, Plan.m_Routers, {"sound", 40, ""});
  pauseFor(ContactMs);
  double BadFrom = historyNow();
  EngineRestarts Restarts(Fleet, Plan.m_Engines);
  ChatCallers Bad(Fleet, Plan.m_Routers, {CrashingPart, 250, ""});
  BOOST_REQUIRE(waitUntil([&] { return Restarts.count() > 0; }, 5000));
  pauseFor(4 * ContactMs);
  Bad.stop();
  double BadUntil = historyNow();
  Sound.stop();
  Restarts.stop();
  CrashRecord Record;
  Record.m_Sound = Sound.calls();
  Record.m_Bad = Bad.calls();
  Record.m_Runs = recordedRuns(Fleet.recordedRuns());
  Record.m_Crashes = Restarts.crashes();
  Record.m_BadFrom = BadFrom;
  Record.m_BadUntil = BadUntil;
  Record.m_CalmMs = ContactMs;
  Record.m_CountedCrash = CountedCrash;
  checkCrashes(Record);
  for (const CallRecord &Call : Bad.calls())
    if (Call.m_Ending == CallEnding::Refused)
      BOOST_TEST(runsAfter({Call}, Record.m_Runs, 0) == 0U,
                 Call.m_Id << " was refused as not run and ran");
}

BOOST_AUTO_TEST_SUITE_END()
