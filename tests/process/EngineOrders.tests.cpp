#include "process/ProcessFleet.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace vanillaferry;
using namespace vanillaferry::tests;
using nlohmann::json;

namespace {

/// OrderTimeout, the drift bound and an election, with time to spare.
constexpr int OrderLimitMs = 25000;

/// Settings of an operator that owns section "model_versions" only, beside the
/// usual; SHA-256 of "operator-token" and of "models-token".
json withModelsOperator() {
  return {{"operators",
           json::array({{{"operator", "ops"},
                         {"token_sha256", "0850123315d21ab90f4f7236408a52ef6dbd"
                                          "6a02a6550e5c10dc73f4d993680e"},
                         {"sections", json::array({"*"})}},
                        {{"operator", "models-team"},
                         {"token_sha256", "6ec97f580e624c5ab73300f3c941d806edcd"
                                          "cb988d76efaad0df6d14ddd4fd58"},
                         {"sections", json::array({"model_versions"})}}})}};
}

/// Keepers with emulated engines: "checks-N" refuse old tokens, "ignores-N" do
/// not look at them, and "gone" has no process until startGone().
class OrderFleet {
public:
  OrderFleet(std::size_t Keepers, double LoadsPerMinute,
             const std::vector<std::string> &Engines)
      : m_Keepers(Keepers, withModelsOperator()) {
    json Targets = json::array();
    for (const std::string &Name : Engines) {
      m_Ports[Name] = freePort();
      if (Name != "gone")
        startEngine(Name);
      Targets.push_back({{"id", Name},
                         {"vm", "vm-" + Name},
                         {"zone", "a"},
                         {"url", engineUrl(Name)},
                         {"max_concurrent", 4},
                         {"cold_limit", 1},
                         {"cache_tokens", 1000},
                         {"checks_fencing", Name.rfind("ignores", 0) != 0},
                         {"resumes", true},
                         {"exports_kv", true}});
    }
    m_Keepers.startAll(true);
    BOOST_REQUIRE_LT(m_Keepers.waitForLeader(), m_Keepers.size());
    json Pool = {{"name", "pool"}, {"kind", "engine"}, {"targets", Targets}};
    put("services", {{"services", json::array({Pool})}});
    put("limits", {{"weight_store_loads_per_minute", LoadsPerMinute}});
  }

  KeeperFleet &keepers() { return m_Keepers; }
  std::string engineUrl(const std::string &Name) const {
    return "http://127.0.0.1:" + std::to_string(m_Ports.at(Name));
  }
  void startEngine(const std::string &Name) {
    bool Checks = Name.rfind("ignores", 0) != 0;
    m_Engines[Name].start(VANILLAFERRY_STANDIN,
                          {"engine", "--name", Name, "--port",
                           std::to_string(m_Ports.at(Name)), "--checks-fencing",
                           Checks ? "true" : "false"},
                          m_Keepers.folder() + "/" + Name + ".out");
    BOOST_REQUIRE(waitUntil(
        [&] {
          return httpCall(engineUrl(Name), {"GET", "/stats", {}, ""})
                     .m_HttpStatus == 200;
        },
        10000));
  }
  void fault(const std::string &Engine, const json &Fault) {
    OperatorRequest Request{"POST", "/fault", {}, Fault.dump()};
    BOOST_REQUIRE_EQUAL(httpCall(engineUrl(Engine), Request).m_HttpStatus, 200);
  }
  /// Every POST /orders that reached the engine.
  json arrivals(const std::string &Engine) const {
    return httpCall(engineUrl(Engine), {"GET", "/stats", {}, ""})
        .m_Body.value("order_arrivals", json::array());
  }

  static OperatorRequest orderOf(const std::string &Id,
                                 const std::string &Action,
                                 const std::string &Target,
                                 const std::string &Argument = "oak@2") {
    json Body = {
        {"action", Action}, {"target", Target}, {"argument", Argument}};
    return {"POST", "/orders", {{"X-Order-Id", Id}}, Body.dump()};
  }
  OperatorReply submit(const std::string &Id, const std::string &Action,
                       const std::string &Target,
                       const std::string &Argument = "oak@2") const {
    return callKeepers(m_Keepers.operatorSettings(),
                       orderOf(Id, Action, Target, Argument), Millis(15000));
  }
  std::string state(const std::string &Id) const {
    OperatorReply Reply = ask("/orders/" + Id);
    return Reply.m_Body.is_object() ? Reply.m_Body.value("state", "") : "";
  }
  /// Waits until the order has ended and returns its state.
  std::string outcome(const std::string &Id) const {
    std::string State;
    waitUntil(
        [&] {
          OperatorReply Reply = ask("/orders/" + Id);
          State =
              Reply.m_Body.is_object() ? Reply.m_Body.value("state", "") : "";
          return Reply.m_Body.is_object() && Reply.m_Body.value("ended", false);
        },
        OrderLimitMs);
    return State;
  }
  /// One counter of the leader's /metrics.
  double counter(const std::string &Name) const {
    std::size_t Leader = m_Keepers.waitForLeader();
    json Text =
        httpCall(m_Keepers.httpUrl(Leader), {"GET", "/metrics", {}, ""}).m_Body;
    std::istringstream Lines(Text.is_string() ? Text.get<std::string>() : "");
    std::string Line;
    while (std::getline(Lines, Line))
      if (Line.compare(0, Name.size() + 1, Name + " ") == 0)
        return std::stod(Line.substr(Name.size() + 1));
    return -1;
  }
  /// Runs an order command; returns its exit code and output.
  std::pair<int, std::string> command(std::vector<std::string> Arguments) {
    std::string Output =
        m_Keepers.folder() + "/command-" + std::to_string(m_Commands++);
    Arguments.push_back("--settings");
    Arguments.push_back(m_Keepers.operatorSettingsPath());
    ChildProcess Command;
    Command.start(VANILLAFERRY_BINARY, Arguments, Output);
    int Code = Command.waitForExit(40000);
    return {Code, readWholeFile(Output)};
  }
  /// Waits for a leader other than this keeper, which is killed or frozen.
  std::size_t nextLeader(std::size_t Old) const {
    std::size_t Next = m_Keepers.size();
    waitUntil(
        [&] {
          for (std::size_t Index = 0; Index < m_Keepers.size(); ++Index) {
            json Status = Index == Old ? json() : m_Keepers.localStatus(Index);
            if (!Status.is_null() && Status["role"] == "leader")
              Next = Index;
          }
          return Next < m_Keepers.size();
        },
        15000);
    return Next;
  }

  /// Freezes a keeper; nobody asks it from then on, since a request to it waits
  /// for 10 s.
  void freeze(std::size_t Keeper) {
    m_Frozen = Keeper;
    m_Keepers.process(Keeper).freeze();
  }

private:
  OperatorReply ask(const std::string &Path) const {
    OperatorCliSettings Settings = m_Keepers.operatorSettings();
    if (m_Frozen < m_Keepers.size())
      Settings.m_Keepers.erase(Settings.m_Keepers.begin() +
                               static_cast<std::ptrdiff_t>(m_Frozen));
    return callKeepers(Settings, {"GET", Path, {}, ""}, Millis(15000));
  }

  void put(const std::string &Section, const json &Content) {
    OperatorReply Reply = m_Keepers.edit(Section, 0, "e-" + Section, Content);
    BOOST_REQUIRE_MESSAGE(Reply.m_HttpStatus < 300 && Reply.m_HttpStatus != 0,
                          Section + ": " + Reply.m_Body.dump());
  }

  KeeperFleet m_Keepers;
  std::map<std::string, std::uint16_t> m_Ports;
  std::map<std::string, ChildProcess> m_Engines;
  int m_Commands = 0;
  std::size_t m_Frozen = SIZE_MAX;
};

std::string resultOf(const char *Result) {
  return std::string("vanillaferry_engine_orders_total{result=\"") + Result +
         "\"}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineOrderFleet)

// Guards against an order that is given again when its answer was lost, and
// against errors that do not say what is wrong.
BOOST_AUTO_TEST_CASE(AnOrderRunsOnceHoweverOftenItIsSubmitted) {
  OrderFleet Fleet(1, 6, {"checks-0"});
  std::pair<int, std::string> Submitted =
      Fleet.command({"order", "submit", "change_role", "checks-0", "prefill",
                     "--order-id", "o-1"});
  BOOST_TEST(Submitted.first == 0, Submitted.second);
  json First = Fleet.arrivals("checks-0");
  BOOST_REQUIRE_EQUAL(First.size(), 1U);
  for (int Try = 0; Try < 3; ++Try) {
    OperatorReply Again =
        Fleet.submit("o-1", "change_role", "checks-0", "prefill");
    BOOST_TEST(Again.m_HttpStatus == 202);
    BOOST_TEST((Again.m_Body["fencing_token"] == First[0]["fencing_token"]));
  }
  OperatorReply Reused =
      Fleet.submit("o-1", "change_role", "checks-0", "decode");
  BOOST_TEST(Reused.m_HttpStatus == 409);
  BOOST_TEST(Reused.m_Body.value("error", "") == "order_id_reused");
  BOOST_TEST(Reused.m_Body.value("message", "").find("prefill") !=
             std::string::npos);
  std::pair<int, std::string> Invalid = Fleet.command(
      {"order", "submit", "explode", "nowhere", "x", "--order-id", "o/2"});
  BOOST_TEST(Invalid.first == 3);
  for (const char *Named : {"explode", "nowhere", "o/2"})
    BOOST_TEST(Invalid.second.find(Named) != std::string::npos, Invalid.second);
  std::string Url = Fleet.keepers().httpUrl(0);
  BOOST_TEST(httpCall(Url,
                      OrderFleet::orderOf("o-3", "change_role", "checks-0"),
                      5000, "models-token")
                 .m_HttpStatus == 403);
  BOOST_TEST(httpCall(Url, OrderFleet::orderOf("o-3", "load_model", "checks-0"),
                      5000, "wrong")
                 .m_HttpStatus == 401);
  BOOST_TEST(Fleet.keepers().get("/orders/o-3").m_HttpStatus == 404);
  BOOST_TEST(httpCall(Url, OrderFleet::orderOf("o-4", "load_model", "checks-0"),
                      5000, "models-token")
                 .m_HttpStatus == 202);
  std::pair<int, std::string> List = Fleet.command({"order", "list"});
  BOOST_TEST(List.second.find("o-1 change_role prefill to checks-0") !=
             std::string::npos);
  // The load waits 10 s for the weight store and shows in the status once the
  // leader has decided on it.
  std::string Status;
  BOOST_TEST(waitUntil(
                 [&] {
                   Status = Fleet.command({"status"}).second;
                   return Status.find("order o-4 load_model to checks-0 "
                                      "waiting for weight_store") !=
                          std::string::npos;
                 },
                 5000),
             Status);
  BOOST_TEST(Fleet.arrivals("checks-0").size() == 1U);
  BOOST_TEST(Fleet.counter(resultOf("done")) == 1);
}

// Guards against outcomes that an operator cannot tell apart: what did not run
// may be ordered again, what is unknown must be looked at first.
BOOST_AUTO_TEST_CASE(RefusedUnreachableAndUnknownOrdersAreToldApart) {
  OrderFleet Fleet(1, 6,
                   {"checks-old", "checks-fails", "checks-closes", "gone"});
  OperatorRequest Newer{"POST",
                        "/orders",
                        {},
                        json{{"action", "change_role"},
                             {"argument", "x"},
                             {"fencing_token", 1000000000}}
                            .dump()};
  httpCall(Fleet.engineUrl("checks-old"), Newer);
  Fleet.fault("checks-fails", {{"order_status", 500}});
  Fleet.fault("checks-closes", {{"order_close", true}});
  for (const char *Target :
       {"checks-old", "checks-fails", "checks-closes", "gone"})
    BOOST_REQUIRE_EQUAL(
        Fleet.submit(std::string("o-") + Target, "change_role", Target)
            .m_HttpStatus,
        202);
  BOOST_TEST(Fleet.outcome("o-checks-old") == "old_token");
  BOOST_TEST(Fleet.outcome("o-checks-fails") == "failed");
  BOOST_TEST(Fleet.outcome("o-checks-closes") == "unknown");
  BOOST_TEST(Fleet.state("o-gone") == "under_way");
  BOOST_TEST(Fleet.outcome("o-gone") == "unreachable");
  // A broken connection is not tried again.
  BOOST_TEST(Fleet.arrivals("checks-closes").size() == 1U);
  for (const char *Result : {"old_token", "failed", "unknown", "unreachable"})
    BOOST_TEST(Fleet.counter(resultOf(Result)) == 1, Result);
  BOOST_TEST(Fleet.command({"order", "show", "o-gone"}).first == 1);
  // An engine that comes up within the time gets its order.
  BOOST_REQUIRE_EQUAL(
      Fleet.submit("o-late", "change_role", "gone").m_HttpStatus, 202);
  BOOST_TEST(
      waitUntil([&] { return Fleet.state("o-late") == "under_way"; }, 5000));
  Fleet.startEngine("gone");
  BOOST_TEST(Fleet.outcome("o-late") == "done");
  BOOST_TEST(Fleet.arrivals("gone").size() == 1U);
}

// Guards against an accepted order that is lost with its leader before it was
// sent, and against one that is sent to an engine without a check of tokens
// while the former leader's may be under way.
BOOST_AUTO_TEST_CASE(AnOrderOfAKilledLeaderIsSentOnceByTheNext) {
  OrderFleet Fleet(3, 12, {"ignores-0", "checks-0"});
  std::size_t Old = Fleet.keepers().waitForLeader();
  BOOST_REQUIRE_EQUAL(
      Fleet.submit("o-1", "load_model", "ignores-0").m_HttpStatus, 202);
  // Both wait for the weight store or the leader's first 10 s.
  BOOST_TEST(Fleet.state("o-1") == "waiting");
  Fleet.keepers().process(Old).kill();
  std::size_t Next = Fleet.nextLeader(Old);
  BOOST_REQUIRE_LT(Next, Fleet.keepers().size());
  std::chrono::steady_clock::time_point Led = std::chrono::steady_clock::now();
  OperatorReply Again = Fleet.submit("o-1", "load_model", "ignores-0");
  BOOST_TEST(Again.m_HttpStatus == 202);
  BOOST_TEST(Fleet.outcome("o-1") == "done");
  // The election came up to 100 ms before it was seen.
  BOOST_TEST((std::chrono::steady_clock::now() - Led >
              std::chrono::milliseconds(9500)));
  json Arrived = Fleet.arrivals("ignores-0");
  BOOST_REQUIRE_EQUAL(Arrived.size(), 1U);
  BOOST_TEST((Arrived[0]["fencing_token"] == Again.m_Body["fencing_token"]));
}

// Guards against an order that a second leader gives again although the first
// one had sent it.
BOOST_AUTO_TEST_CASE(AnOrderThatTheKilledLeaderHadSentIsUnknown) {
  OrderFleet Fleet(3, 12, {"checks-0"});
  std::size_t Old = Fleet.keepers().waitForLeader();
  Fleet.fault("checks-0", {{"order_delay_ms", 8000}});
  BOOST_REQUIRE_EQUAL(
      Fleet.submit("o-1", "change_role", "checks-0").m_HttpStatus, 202);
  BOOST_REQUIRE(
      waitUntil([&] { return Fleet.arrivals("checks-0").size() == 1; }, 5000));
  BOOST_REQUIRE_EQUAL(
      Fleet.submit("o-2", "change_role", "checks-0").m_HttpStatus, 202);
  Fleet.keepers().process(Old).kill();
  Fleet.fault("checks-0", json::object());
  BOOST_TEST(Fleet.outcome("o-1") == "unknown");
  BOOST_TEST(Fleet.outcome("o-2") == "done");
  json Arrived = Fleet.arrivals("checks-0");
  BOOST_REQUIRE_EQUAL(Arrived.size(), 2U);
  BOOST_TEST((Arrived[1]["order_id"] == "o-2"));
}

// Guards against a leader that sends its queue when it wakes after another one
// has led.
BOOST_AUTO_TEST_CASE(AFrozenLeadersQueueIsSentOnceByTheNext) {
  OrderFleet Fleet(3, 60, {"checks-0", "ignores-0"});
  std::size_t Old = Fleet.keepers().waitForLeader();
  // A slow first order keeps the others in the queue.
  Fleet.fault("checks-0", {{"order_delay_ms", 3000}});
  for (const char *Target : {"checks-0", "ignores-0"})
    for (int Order = 0; Order < 3; ++Order)
      BOOST_REQUIRE_EQUAL(
          Fleet
              .submit(Target + std::string("-") + std::to_string(Order),
                      "change_role", Target)
              .m_HttpStatus,
          202);
  BOOST_REQUIRE(
      waitUntil([&] { return Fleet.arrivals("checks-0").size() == 1; }, 5000));
  Fleet.freeze(Old);
  Fleet.fault("checks-0", json::object());
  BOOST_REQUIRE_LT(Fleet.nextLeader(Old), Fleet.keepers().size());
  BOOST_TEST(Fleet.outcome("checks-0-0") == "unknown");
  BOOST_TEST(Fleet.outcome("checks-0-1") == "done");
  BOOST_TEST(Fleet.outcome("checks-0-2") == "done");
  // The old leader wakes while the next one still waits to order the engine
  // that ignores tokens.
  BOOST_TEST(Fleet.arrivals("ignores-0").empty());
  Fleet.keepers().process(Old).thaw();
  for (int Order = 0; Order < 3; ++Order)
    BOOST_TEST(Fleet.outcome("ignores-0-" + std::to_string(Order)) == "done");
  for (const char *Target : {"checks-0", "ignores-0"}) {
    json Arrived = Fleet.arrivals(Target);
    BOOST_REQUIRE_EQUAL(Arrived.size(), 3U);
    // Each once, in the order of their tokens.
    for (int Order = 0; Order < 3; ++Order)
      BOOST_TEST((Arrived[Order]["order_id"] ==
                  Target + std::string("-") + std::to_string(Order)));
  }
}

// Guards against a leader that wakes with an order which it had started, and
// writes it although another leader has recorded it as unknown.
BOOST_AUTO_TEST_CASE(AStartedOrderIsNotWrittenByAWokenLeader) {
  OrderFleet Fleet(3, 60, {"gone"});
  std::size_t Old = Fleet.keepers().waitForLeader();
  BOOST_REQUIRE_EQUAL(Fleet.submit("o-1", "change_role", "gone").m_HttpStatus,
                      202);
  BOOST_REQUIRE(
      waitUntil([&] { return Fleet.state("o-1") == "under_way"; }, 5000));
  Fleet.freeze(Old);
  BOOST_REQUIRE_LT(Fleet.nextLeader(Old), Fleet.keepers().size());
  BOOST_TEST(Fleet.outcome("o-1") == "unknown");
  Fleet.startEngine("gone");
  Fleet.keepers().process(Old).thaw();
  BOOST_TEST(waitUntil(
      [&] { return Fleet.keepers().localStatus(Old)["role"] == "follower"; },
      10000));
  // Longer than the pause between two tries.
  BOOST_TEST(!waitUntil([&] { return !Fleet.arrivals("gone").empty(); }, 2000));
  BOOST_REQUIRE_EQUAL(Fleet.submit("o-2", "change_role", "gone").m_HttpStatus,
                      202);
  BOOST_TEST(Fleet.outcome("o-2") == "done");
  BOOST_TEST(Fleet.arrivals("gone").size() == 1U);
}

// Guards against loads that overrun the weight store, and against changes of
// role that wait for it.
BOOST_AUTO_TEST_CASE(LoadsShareOneBudgetAndOtherOrdersDoNotWait) {
  OrderFleet Fleet(1, 60, {"checks-0", "checks-1", "checks-2"});
  for (int Order = 0; Order < 6; ++Order)
    BOOST_REQUIRE_EQUAL(
        Fleet
            .submit("load-" + std::to_string(Order),
                    Order % 2 == 0 ? "load_adapter" : "load_version",
                    "checks-" + std::to_string(Order % 2))
            .m_HttpStatus,
        202);
  BOOST_REQUIRE_EQUAL(
      Fleet.submit("role", "change_role", "checks-2").m_HttpStatus, 202);
  BOOST_TEST(Fleet.outcome("role") == "done");
  BOOST_TEST(Fleet.state("load-5") == "waiting");
  for (int Order = 0; Order < 6; ++Order)
    BOOST_TEST(Fleet.outcome("load-" + std::to_string(Order)) == "done");
  std::vector<std::int64_t> At;
  for (const char *Engine : {"checks-0", "checks-1"})
    for (const json &Arrival : Fleet.arrivals(Engine))
      At.push_back(Arrival["at_unix_ms"].get<std::int64_t>());
  BOOST_REQUIRE_EQUAL(At.size(), 6U);
  std::sort(At.begin(), At.end());
  // Five gaps of a second each; a single gap may look shorter when one arrival
  // was delayed on a busy machine.
  BOOST_TEST(At.back() - At.front() >= 4900);
  for (const char *Reason : {"weight_store", "earlier_order"})
    BOOST_TEST(
        Fleet.counter(
            std::string("vanillaferry_engine_order_waits_total{reason=\"") +
            Reason + "\"}") >= 1,
        Reason);
}

BOOST_AUTO_TEST_SUITE_END()
