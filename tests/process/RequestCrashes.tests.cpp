#include "EngineCrashes.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <sstream>

using namespace vanillaferry;
using namespace vanillaferry::tests;
using nlohmann::json;

namespace {

/// The users' rule counts from this crash on.
constexpr std::size_t CountedCrash = 3;
constexpr const char *CrashingBody = "a request that ends its target";
constexpr std::chrono::milliseconds RepeatPause{250};

/// Callers that send the request that ends targets. It shares account, path and
/// prompt parts with sound requests.
CallerOptions repeatsOf(CallKind Kind) {
  CallerOptions Options;
  Options.m_Kind = Kind;
  if (Kind == CallKind::ResumableStream)
    Options.m_Subjects = {"b1"};
  Options.m_Pause = RepeatPause;
  Options.m_Body = CrashingBody;
  Options.m_Key = "key-0-first";
  return Options;
}

/// Sends sound requests and the one that ends targets to a fleet of gateways
/// and checks the users' rules.
void checkGateways(CallKind Kind) {
  GatewayFleet Fleet(3, 4, 12, 1);
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, 1);
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  BOOST_REQUIRE(Fleet.waitAllReady(StartLimitMs));
  CallerOptions SoundOptions;
  SoundOptions.m_Kind = Kind;
  if (Kind == CallKind::ResumableStream)
    SoundOptions.m_Subjects = {"b1", "b2"};
  GatewayCallers Sound(Fleet, Found, 12, 7, SoundOptions);
  pauseFor(ContactMs);
  Fleet.targets().setCrashingBody(CrashingBody);
  double BadFrom = historyNow();
  GatewayCallers Bad(Fleet, Found, 4, 9, repeatsOf(Kind));
  BOOST_REQUIRE(waitUntil(
      [&] { return Fleet.targets().crashes().size() >= CountedCrash; }, 9000));
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

} // namespace

BOOST_AUTO_TEST_SUITE(RequestCrashes)

// Guards against logs that cannot tell that answers broke off under repeats of
// one request, which come under other ids.
BOOST_AUTO_TEST_CASE(TheLogTellsRepeatsOfOneRequest) {
  GatewayFleet Fleet(3, 1, 3, 1);
  FoundFaults Found;
  GatewayOperator Operator(Fleet, Found, 1);
  BOOST_REQUIRE(Operator.begin(StartLimitMs));
  BOOST_REQUIRE(Fleet.waitReady(0, StartLimitMs));
  Fleet.targets().setCrashingBody(CrashingBody);
  GatewayCallers Bad(Fleet, Found, 1, 9, repeatsOf(CallKind::ResumableStream));
  BOOST_TEST(waitUntil(
      [&] {
        std::istringstream Log(
            readWholeFile(Fleet.folder() + "/gateway-1.out"));
        std::map<std::string, std::set<std::string>> Requests;
        for (std::string Line; std::getline(Log, Line);) {
          json Event = json::parse(Line, nullptr, false);
          if (Event.is_object() && Event.value("name", "") == "AnswerBroken")
            Requests[Event.value("content", "")].insert(
                Event.value("request", ""));
        }
        return Requests.size() == 1 && !Requests.begin()->first.empty() &&
               Requests.begin()->second.size() > 1;
      },
      9000));
}

// Guards against a streamed request that ends engine after engine: its gateway
// tries a second one, and its caller sends it again to other gateways.
BOOST_AUTO_TEST_CASE(GatewaysStopSendingAStreamThatEndsEngines) {
  checkGateways(CallKind::ResumableStream);
}

// Guards against the same at a plain service, whose requests have no prompt.
BOOST_AUTO_TEST_CASE(GatewaysStopSendingAnOrderThatEndsServices) {
  checkGateways(CallKind::Order);
}

// Guards against the same with the routers' own interface.
BOOST_AUTO_TEST_CASE(RoutersStopSendingAChatThatEndsEngines) {
  constexpr const char *CrashingChat = "deadly question";
  FleetPlan Plan{3, 3, 6};
  Plan.m_EngineArguments = {"--crash-on-last", CrashingChat};
  RouterFleet Fleet(Plan);
  ChatCallers Sound(Fleet, Plan.m_Routers, {"sound", 40, ""});
  pauseFor(ContactMs);
  double BadFrom = historyNow();
  EngineRestarts Restarts(Fleet, Plan.m_Engines);
  ChatCallers Bad(Fleet, Plan.m_Routers, {"sound", 250, CrashingChat});
  BOOST_REQUIRE(
      waitUntil([&] { return Restarts.count() >= CountedCrash; }, 9000));
  pauseFor(4 * ContactMs);
  Bad.stop();
  double BadUntil = historyNow();
  Sound.stop();
  Restarts.stop();
  CallRecord Repeated;
  Repeated.m_Id = CrashingChat;
  CrashRecord Record;
  Record.m_Sound = Sound.calls();
  Record.m_Bad = {Repeated};
  Record.m_Runs = recordedRuns(Fleet.recordedRuns());
  Record.m_Crashes = Restarts.crashes();
  Record.m_BadFrom = BadFrom;
  Record.m_BadUntil = BadUntil;
  Record.m_CalmMs = ContactMs;
  Record.m_CountedCrash = CountedCrash;
  checkCrashes(Record);
}

BOOST_AUTO_TEST_SUITE_END()
