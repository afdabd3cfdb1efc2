#include "vanillaferry/version/manifest.hpp"
#include "Property.hpp"
#include "vanillaferry/process/state_machine.hpp"
#include "vanillaferry/version/target_listing.hpp"
#include "vanillaferry/version/text_compression.hpp"
#include "vanillaferry/version/text_delta.hpp"
#include "vanillaferry/version/text_history.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace vanillaferry;

namespace {

ManifestRoute route(const std::string &Name, const std::string &Prefix) {
  ManifestRoute Route;
  Route.m_Name = Name;
  Route.m_Host = "desk.example";
  Route.m_PathPrefix = Prefix;
  Route.m_Timeout = Millis(1000);
  Route.m_Services = {{PoolId("llm"), 1}};
  return Route;
}

Manifest manifest() {
  Manifest Content;
  Content.m_Version = 3;
  Content.m_Services.resize(2);
  Content.m_Services[0].m_Id = PoolId("llm");
  Content.m_Services[1].m_Id = PoolId("ledger");
  Content.m_Routes = {route("outer", "/a/"), route("inner", "/a/b/")};
  Content.m_Accounts = {{AccountId("board"), {"k1", "k2"}, 1}};
  return Content;
}

/// Replaces the manifest as the keepers' leader does.
ManifestAnswer replace(StateMachine &State, std::uint64_t Version,
                       const std::string &Text) {
  static std::uint64_t Index = 0;
  ReplaceManifest Change{
      Version, State.m_Manifest.m_Version,
      compressText(makeTextDelta(State.m_Manifest.m_Text, Text))};
  return std::get<ManifestAnswer>(
      applyCommand(State, LogIndex(++Index), Change));
}

std::string randomText(std::mt19937_64 &Random) {
  std::string Text = "{\"routes\":[";
  int Pieces = static_cast<int>(Random() % 30);
  for (int Piece = 0; Piece < Pieces; ++Piece)
    Text += "{\"name\":\"" + std::to_string(Random() % 12) + "\"},";
  return Text + (Random() % 2 ? "]}" : "x;c1,2;");
}

} // namespace

BOOST_AUTO_TEST_SUITE(Manifests)

// Guards against a request that is routed by a shorter prefix although a longer
// one matches.
BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostWins) {
  RouteTable Table = makeRouteTable(manifest());
  BOOST_TEST(findRoute(Table, "desk.example", "/a/b/c")->m_Name == "inner");
  BOOST_TEST(findRoute(Table, "desk.example", "/a/bc")->m_Name == "outer");
  BOOST_TEST(!findRoute(Table, "desk.example", "/ab"));
  BOOST_TEST(!findRoute(Table, "desk.example", ""));
  BOOST_TEST(!findRoute(Table, "other.example", "/a/b/c"));
  BOOST_TEST(findAccount(Table, "k2")->m_Id == AccountId("board"));
  BOOST_TEST(!findAccount(Table, ""));
}

// Guards against an inconsistent manifest taking effect.
BOOST_AUTO_TEST_CASE(EachContradictionIsFound) {
  BOOST_TEST(validateManifest(manifest()).empty());
  Manifest Content = manifest();
  Content.m_Routes[0].m_Services = {{PoolId("gone"), 1}};
  BOOST_TEST(validateManifest(Content).size() == 1U);
  Content = manifest();
  Content.m_Routes[1].m_PathPrefix = "/a/";
  BOOST_TEST(validateManifest(Content).size() == 1U);
  Content = manifest();
  Content.m_Routes[0].m_Services = {{PoolId("llm"), 0}, {PoolId("ledger"), 0}};
  BOOST_TEST(validateManifest(Content).size() == 1U);
  Content = manifest();
  Content.m_Routes[0].m_Timeout = Millis(0);
  BOOST_TEST(validateManifest(Content).size() == 1U);
  Content = manifest();
  Content.m_Accounts.push_back({AccountId("bancas"), {"k1"}, std::nullopt});
  BOOST_TEST(validateManifest(Content).size() == 1U);
}

// Guards against a traffic split that sends work to a service of weight 0, or
// that does not follow the weights.
BOOST_AUTO_TEST_CASE(AServiceIsDrawnByItsWeight) {
  ManifestRoute Split = route("split", "/a/");
  Split.m_Services = {
      {PoolId("none"), 0}, {PoolId("llm"), 90}, {PoolId("ledger"), 10}};
  std::mt19937_64 Random(1);
  int Ledger = 0;
  for (int Draw = 0; Draw < 10000; ++Draw) {
    PoolId Drawn = chooseService(Split, Random());
    BOOST_REQUIRE(Drawn != PoolId("none"));
    Ledger += Drawn == PoolId("ledger");
  }
  BOOST_TEST(Ledger > 800);
  BOOST_TEST(Ledger < 1200);
  BOOST_TEST(chooseService(Split, ~0ULL) == PoolId("ledger"));
}

// Guards against an older or equal version that replaces the current manifest,
// whatever its content, and against an edit script for another base.
BOOST_AUTO_TEST_CASE(OnlyAHigherVersionTakesEffect) {
  StateMachine State;
  BOOST_TEST(
      (replace(State, 7, "{seven}").m_Outcome == ManifestOutcome::InForce));
  DocumentVersion Before = State.m_Document.m_Version;
  BOOST_TEST(
      (replace(State, 7, "{other}").m_Outcome == ManifestOutcome::Superseded));
  BOOST_TEST(
      (replace(State, 6, "{six}").m_Outcome == ManifestOutcome::Superseded));
  BOOST_TEST(State.m_Manifest.m_Text == "{seven}");
  BOOST_TEST(State.m_Document.m_Version == Before);
  ReplaceManifest Stale{9, 6, compressText(makeTextDelta("{six}", "{nine}"))};
  ManifestAnswer Answer =
      std::get<ManifestAnswer>(applyCommand(State, LogIndex(99), Stale));
  BOOST_TEST((Answer.m_Outcome == ManifestOutcome::BaseChanged));
  BOOST_TEST(Answer.m_Version == 7U);
  BOOST_TEST(
      (replace(State, 9, "{nine}").m_Outcome == ManifestOutcome::InForce));
  BOOST_TEST(State.m_Manifest.m_Text == "{nine}");
}

// Guards against a zone that stays out of service after a repeated request, and
// against routers that are not notified.
BOOST_AUTO_TEST_CASE(AZoneGoesOutAndComesBackOnce) {
  StateMachine State;
  applyCommand(State, LogIndex(1), SetZoneOut{ZoneId("howrah"), true});
  applyCommand(State, LogIndex(2), SetZoneOut{ZoneId("howrah"), true});
  BOOST_TEST(State.m_ZonesOut.size() == 1U);
  BOOST_TEST(State.m_Document.m_Version == DocumentVersion(1));
  applyCommand(State, LogIndex(3), SetZoneOut{ZoneId("howrah"), false});
  BOOST_TEST(State.m_ZonesOut.empty());
  BOOST_TEST(State.m_Document.m_Version == DocumentVersion(3));
}

// Guards against an edit script that does not reproduce its target text.
BOOST_AUTO_TEST_CASE(AnEditScriptYieldsItsTarget) {
  requireProperty("text delta", 300, [](std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    std::string Base = randomText(Random);
    std::string Target = randomText(Random);
    Result<std::string> Got = applyTextDelta(Base, makeTextDelta(Base, Target));
    RC_ASSERT(Got.has_value());
    RC_ASSERT(Got.value() == Target);
  });
}

// Guards against sending the whole manifest for a change of one route, and
// against a crash on an invalid script.
BOOST_AUTO_TEST_CASE(AChangeOfOneRouteIsSmall) {
  std::string Base = "{\"version\":1,\"routes\":[";
  for (int Route = 0; Route < 400; ++Route)
    Base += "{\"name\":\"r-" + std::to_string(Route * 7919) +
            "\",\"timeout_ms\":1500},";
  std::string Target = Base;
  Target.replace(Target.find("1500"), 4, "9000");
  BOOST_TEST(makeTextDelta(Base, Target).size() < 200U);
  for (const char *Bad : {"c0,99;", "c5", "t9;x", "z", "c-1,2;", "t;"})
    BOOST_TEST(!applyTextDelta("{}", Bad).has_value());
}

// Guards against a router that is sent an edit script for a text that it does
// not hold.
BOOST_AUTO_TEST_CASE(AReceiverOfADroppedVersionGetsTheWholeText) {
  TextHistory History;
  History.m_Limit = 2;
  for (std::uint64_t Version : {9U, 4U, 7U})
    addTextVersion(History, Version, "{" + std::to_string(Version) + "},x");
  BOOST_TEST(makeTextUpdate(History, 9, "{1},x").m_Base == 0U);
  TextUpdate Update = makeTextUpdate(History, 4, "{4},y");
  BOOST_TEST(Update.m_Base == 4U);
  BOOST_TEST(applyTextDelta("{4},x", Update.m_Delta).value() == "{4},y");
  BOOST_TEST(
      applyTextDelta("", makeTextUpdate(History, 0, "{4},y").m_Delta).value() ==
      "{4},y");
}

// Guards against an edit script that is made anew for each of many receivers,
// and against a receiver of an unknown version that gets a script for another.
BOOST_AUTO_TEST_CASE(ReceiversOfOneVersionShareItsUpdate) {
  TextHistory History;
  addTextVersion(History, 7, "a},b},");
  TextUpdates Made;
  const std::string Text = "a},b},c},";
  const TextUpdate &First = sharedTextUpdate(Made, History, 7, Text);
  BOOST_TEST(First.m_Base == 7U);
  BOOST_TEST(applyTextDelta("a},b},", First.m_Delta).value() == Text);
  BOOST_TEST(&sharedTextUpdate(Made, History, 7, Text) == &First);
  const TextUpdate &Whole = sharedTextUpdate(Made, History, 3, Text);
  BOOST_TEST(Whole.m_Base == 0U);
  BOOST_TEST(applyTextDelta("", Whole.m_Delta).value() == Text);
  BOOST_TEST(&sharedTextUpdate(Made, History, 4, Text) == &Whole);
  BOOST_TEST(Made.size() == 2U);
}

// Guards against the start of a large fleet that fills the keepers' links with
// first grants, so that heartbeats come too late: each of the first three
// keepers serves a third of 291 gateways over 6 Mbit/s.
BOOST_AUTO_TEST_CASE(TheFirstGrantsOfALargeFleetFitIntoASecondOfAKeepersLink) {
  constexpr std::size_t GatewaysPerKeeper = 97;
  constexpr std::size_t LinkBytesPerSecond = 6 * 1000 * 1000 / 8;
  std::mt19937_64 Random(1);
  std::vector<ListedTarget> Targets(168);
  for (ListedTarget &Each : Targets) {
    Each.m_Id = TargetId("i-" + std::to_string(Random() % 10000000000));
    Each.m_Service = PoolId("sorting-llm");
    Each.m_Address = "10." + std::to_string(Random() % 256) + "." +
                     std::to_string(Random() % 256) + ".9:8080";
    Each.m_Zone = ZoneId("bantala");
  }
  std::vector<NodeId> Nodes;
  for (int Node = 0; Node < 291; ++Node)
    Nodes.push_back(NodeId("front-bantala-" + std::to_string(Node)));
  std::size_t Bytes = 0;
  for (const std::string &Text :
       {encodeTargets(Targets), encodeMemberIds(Nodes)}) {
    TextUpdates Made;
    const TextUpdate &Whole = sharedTextUpdate(Made, TextHistory(), 0, Text);
    BOOST_TEST(applyTextUpdate("", "", Whole.m_Packed).value() == Text);
    Bytes += Whole.m_Packed.size();
  }
  BOOST_TEST(Bytes * GatewaysPerKeeper < LinkBytesPerSecond);
}

// Guards against sending the whole member list to every router on a membership
// change: with 81 routers this occupied a keeper's link for 0.9 s at each
// restart.
BOOST_AUTO_TEST_CASE(AMemberThatJoinsIsASmallChangeOfTheIds) {
  std::vector<NodeId> Nodes;
  for (int Node = 0; Node < 81; ++Node)
    Nodes.push_back(NodeId("front-bantala-" + std::to_string(Node)));
  std::string Before = encodeMemberIds(Nodes);
  BOOST_TEST((decodeMemberIds(Before) == Nodes));
  Nodes.insert(Nodes.begin() + 40, NodeId("front-new"));
  std::string After = encodeMemberIds(Nodes);
  BOOST_TEST(makeTextDelta(Before, After).size() < 60U);
  BOOST_TEST(decodeMemberIds("").empty());
}

// Guards against a target list that changes on every read during a cold start,
// and against missing a second cold start.
BOOST_AUTO_TEST_CASE(ACountdownOfAColdStartDoesNotChangeTheList) {
  ListedTarget Cold;
  Cold.m_Id = TargetId("t");
  Cold.m_Slots = 6;
  Cold.m_ColdLeft = Millis(2500);
  std::vector<ListedTarget> Before = {Cold};
  std::vector<ListedTarget> After = {Cold};
  After[0].m_ColdLeft = Millis(1800);
  retainColdTimes(After, Before);
  BOOST_TEST(encodeTargets(After) == encodeTargets(Before));
  BOOST_TEST(decodeTargets(encodeTargets(After)).value().at(0).m_ColdLeft ==
             Millis(2500));
  After[0].m_ColdLeft = Millis(3100);
  retainColdTimes(After, Before);
  BOOST_TEST(After[0].m_ColdLeft == Millis(3100));
  After[0].m_ColdLeft = Millis(0);
  retainColdTimes(After, Before);
  BOOST_TEST(After[0].m_ColdLeft == Millis(0));
  BOOST_TEST(!decodeTargets("[{}]").has_value());
}

// Guards against accepting damaged data, and against poor compression of routes
// on a keeper's link of 6 Mbit/s.
BOOST_AUTO_TEST_CASE(CompressedTextIsRestoredCompletelyOrRefused) {
  std::string Text;
  for (int Route = 0; Route < 960; ++Route)
    Text += "{\"name\":\"r-" + std::to_string(Route * 7919) +
            "\",\"kind\":\"idempotent\",\"timeout_ms\":1500},";
  std::string Data = compressText(Text);
  BOOST_TEST(Data.size() * 4 < Text.size());
  BOOST_TEST(decompressText(Data).value() == Text);
  BOOST_TEST(decompressText(compressText("")).value() == "");
  for (std::size_t Cut :
       {std::size_t(0), std::size_t(1), Data.size() / 2, Data.size() - 1})
    BOOST_TEST(!decompressText(Data.substr(0, Cut)).has_value());
  Data[Data.size() / 2] = static_cast<char>(~Data[Data.size() / 2]);
  BOOST_TEST(!decompressText(Data).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
