#include "process/ProcessFleet.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace vanillaferry;
using namespace vanillaferry::tests;
using nlohmann::json;

namespace {

struct CommandResult {
  int m_Code = -1;
  std::string m_Output;
};

CommandResult run(const KeeperFleet &Fleet,
                  std::vector<std::string> Arguments) {
  static int Count = 0;
  std::string Output =
      Fleet.folder() + "/command-" + std::to_string(Count++) + ".out";
  Arguments.push_back("--settings");
  Arguments.push_back(Fleet.operatorSettingsPath());
  ChildProcess Command;
  Command.start(VANILLAFERRY_BINARY, Arguments, Output);
  CommandResult Result;
  Result.m_Code = Command.waitForExit(40000);
  Result.m_Output = readWholeFile(Output);
  return Result;
}

bool contains(const CommandResult &Result, const std::string &Text) {
  return Result.m_Output.find(Text) != std::string::npos;
}

std::string sectionFile(const KeeperFleet &Fleet, const json &Content) {
  std::string Path = Fleet.folder() + "/section.json";
  writeWholeFile(Path, Content.dump());
  return Path;
}

/// Settings of an operator that owns section "zones" only, beside the usual.
json withZonesOperator() {
  // SHA-256 of "operator-token" and of "zones-token".
  return {{"operators",
           json::array({{{"operator", "ops"},
                         {"token_sha256", "0850123315d21ab90f4f7236408a52ef6dbd"
                                          "6a02a6550e5c10dc73f4d993680e"},
                         {"sections", json::array({"*"})}},
                        {{"operator", "zones-team"},
                         {"token_sha256", "823139ce98efcf5acee527c746eab8a4d2d7"
                                          "8b7c3549b9b85469c68867bb517f"},
                         {"sections", json::array({"zones"})}}})}};
}

OperatorRequest putOf(const std::string &Section, const std::string &Body) {
  return {"PUT",
          "/document/" + Section,
          {{"If-Match", "0"}, {"X-Edit-Id", "e-" + Section}},
          Body};
}

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorCommands)

// Guards against exit codes that scripts cannot rely on.
BOOST_AUTO_TEST_CASE(TheCommandsReadEditAndReportByExitCode) {
  KeeperFleet Fleet(3);
  Fleet.startAll(true);
  BOOST_REQUIRE_LT(Fleet.waitForLeader(), Fleet.size());
  std::string File = sectionFile(Fleet, zonesWith("Topsia"));
  CommandResult Edit = run(Fleet, {"document", "edit", "zones", File});
  BOOST_TEST(Edit.m_Code == 0, Edit.m_Output);
  BOOST_TEST(contains(Edit, "in force everywhere"), Edit.m_Output);
  CommandResult Conflict = run(
      Fleet, {"document", "edit", "zones", File, "--expected-version", "0"});
  BOOST_TEST(Conflict.m_Code == 5, Conflict.m_Output);
  CommandResult Out = run(Fleet, {"zone", "out", "Topsia"});
  BOOST_TEST(Out.m_Code == 0, Out.m_Output);
  CommandResult Get = run(Fleet, {"document", "get", "zones"});
  BOOST_TEST((json::parse(Get.m_Output) == zonesWith("Topsia", false)));
  BOOST_TEST(run(Fleet, {"zone", "in", "Topsia"}).m_Code == 0);
  CommandResult History = run(Fleet, {"document", "history", "zones"});
  BOOST_TEST(contains(History, "version 3"), History.m_Output);
  BOOST_TEST(contains(run(Fleet, {"document", "show"}), "zones version 3"));
  File = sectionFile(Fleet, {{"zones", 5}, {"other", 1}});
  CommandResult Invalid = run(Fleet, {"document", "edit", "zones", File});
  BOOST_TEST(Invalid.m_Code == 3, Invalid.m_Output);
  BOOST_TEST(contains(Invalid, "/zones"), Invalid.m_Output);
  BOOST_TEST(contains(Invalid, "other"), Invalid.m_Output);
  BOOST_TEST(run(Fleet, {"drain", "nobody"}).m_Code == 1);
  CommandResult Status = run(Fleet, {"status"});
  BOOST_TEST(Status.m_Code == 0);
  BOOST_TEST(contains(Status, "keeper k3"), Status.m_Output);
}

// Guards against commands that give up while a leader is replaced, and against
// a silent wait when no keeper is left.
BOOST_AUTO_TEST_CASE(TheCommandsFindTheNextLeaderOrSayThatThereIsNone) {
  KeeperFleet Fleet(3);
  Fleet.startAll(true);
  std::size_t Leader = Fleet.waitForLeader();
  BOOST_REQUIRE_LT(Leader, Fleet.size());
  Fleet.process(Leader).kill();
  CommandResult Out = run(Fleet, {"zone", "out", "Tangra"});
  BOOST_TEST(Out.m_Code == 0, Out.m_Output);
  Fleet.process((Leader + 1) % 3).kill();
  CommandResult Lost =
      run(Fleet, {"zone", "in", "Tangra", "--timeout-ms", "3000"});
  BOOST_TEST(Lost.m_Code == 4, Lost.m_Output);
  CommandResult Status = run(Fleet, {"status", "--timeout-ms", "1000"});
  BOOST_TEST(Status.m_Code == 4, Status.m_Output);
  BOOST_TEST(contains(Status, "keeper k"), Status.m_Output);
}

// Guards against an operator who edits another team's section, and against
// requests that cost the keeper memory.
BOOST_AUTO_TEST_CASE(TheKeeperChecksTokensRolesAndSizes) {
  KeeperFleet Fleet(1, withZonesOperator());
  Fleet.startAll(true);
  BOOST_REQUIRE_LT(Fleet.waitForLeader(), Fleet.size());
  std::string Url = Fleet.httpUrl(0);
  std::string Zones = zonesWith("a").dump();
  BOOST_TEST(httpCall(Url, putOf("zones", Zones), 8000, "wrong").m_HttpStatus ==
             401);
  BOOST_TEST(
      httpCall(Url, {"GET", "/document", {}, ""}, 8000, "").m_HttpStatus ==
      401);
  BOOST_TEST(
      httpCall(Url, putOf("zones", Zones), 8000, "zones-token").m_HttpStatus ==
      200);
  BOOST_TEST(
      httpCall(Url, putOf("limits", "{}"), 8000, "zones-token").m_HttpStatus ==
      403);
  BOOST_TEST(
      httpCall(Url, {"DELETE", "/keepers/k1", {}, ""}, 8000, "zones-token")
          .m_HttpStatus == 403);
  BOOST_TEST(httpCall(Url, putOf("nonsense", "{}")).m_HttpStatus == 404);
  OperatorRequest NoVersion = putOf("zones", Zones);
  NoVersion.m_Headers.clear();
  BOOST_TEST(httpCall(Url, NoVersion).m_HttpStatus == 400);
  BOOST_TEST(httpCall(Url, putOf("zones", "not json")).m_HttpStatus == 422);
  BOOST_TEST(
      httpCall(Url, putOf("zones", std::string(100000, '['))).m_HttpStatus ==
      422);
  // Well-formed, but deeper than a recursive reader's stack.
  std::string Deep = std::string(1000000, '[') + std::string(1000000, ']');
  BOOST_TEST(httpCall(Url, putOf("zones", Deep), 8000).m_HttpStatus == 422);
  int Large =
      httpCall(Url, putOf("zones", std::string(9 * 1024 * 1024, ' ')), 8000)
          .m_HttpStatus;
  // The connection may be closed while the body is still being sent.
  BOOST_TEST((Large == 413 || Large == 0), Large);
  BOOST_TEST(httpCall(Url, {"GET", "/nowhere", {}, ""}).m_HttpStatus == 404);
  OperatorReply Metrics = httpCall(Url, {"GET", "/metrics", {}, ""}, 8000, "");
  BOOST_TEST(Metrics.m_HttpStatus == 200);
  BOOST_TEST(Metrics.m_Body.get<std::string>().find(
                 "vanillaferry_keeper_leads 1") != std::string::npos);
  BOOST_TEST(httpCall(Url, {"GET", "/healthz", {}, ""}).m_HttpStatus == 200);
}

// Guards against a resend that is judged by what other operators did since.
BOOST_AUTO_TEST_CASE(AResendGetsItsFirstAnswerAfterOtherSectionsChanged) {
  KeeperFleet Fleet(1);
  Fleet.startAll(true);
  BOOST_REQUIRE_LT(Fleet.waitForLeader(), Fleet.size());
  json NoServices = {{"services", json::array()}};
  json Target = {{"id", "t"},
                 {"vm", "v"},
                 {"zone", "a"},
                 {"url", "http://127.0.0.1:1"},
                 {"max_concurrent", 4},
                 {"cold_limit", 1},
                 {"cache_tokens", 1000},
                 {"checks_fencing", true},
                 {"resumes", true},
                 {"exports_kv", true}};
  json Pool = {
      {"name", "pool"}, {"kind", "engine"}, {"targets", json::array({Target})}};
  json Services = {{"services", json::array({Pool})}};
  OperatorReply First = Fleet.edit("services", 0, "s1", Services);
  BOOST_REQUIRE_MESSAGE(First.m_HttpStatus < 300, First.m_Body.dump());
  json Models = {
      {"models",
       json::array({{{"name", "m"}, {"version", "1"}, {"service", "pool"}}})}};
  OperatorReply Model = Fleet.edit("model_versions", 0, "m1", Models);
  BOOST_REQUIRE_MESSAGE(Model.m_HttpStatus < 300, Model.m_Body.dump());
  json None = {{"models", json::array()}};
  BOOST_REQUIRE(Fleet.edit("model_versions", 1, "m2", None).m_HttpStatus < 300);
  BOOST_REQUIRE(Fleet.edit("services", 1, "s2", NoServices).m_HttpStatus < 300);
  // Its service is gone by now; the edit itself was accepted long ago.
  OperatorReply Again = Fleet.edit("model_versions", 0, "m1", Models);
  BOOST_TEST(Again.m_HttpStatus < 300, Again.m_Body.dump());
  BOOST_TEST(Again.m_Body["version"].get<std::uint64_t>() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
