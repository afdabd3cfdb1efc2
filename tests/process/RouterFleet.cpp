#include "RouterFleet.hpp"

#include "process/clock.hpp"
#include "process/sha256.hpp"

#include <boost/test/unit_test.hpp>
#include <ctime>
#include <fstream>
#include <sstream>

namespace vanillaferry::tests {

namespace {

using nlohmann::json;

constexpr const char *ApiKey = "caller-key";
constexpr int StartLimitMs = 20000;

const char *zoneOf(std::size_t Engine) {
  return Engine % 2 == 0 ? "north" : "south";
}

std::string urlOf(std::uint16_t Port) {
  return "http://127.0.0.1:" + std::to_string(Port);
}

json accountsSection() {
  return {{"accounts",
           {{{"id", "account-1"},
             {"api_key_sha256", {sha256Hex(ApiKey)}},
             {"max_concurrent", 2000},
             {"requests_per_second", 2000.0},
             {"weight", 1},
             {"enabled", true}}}}};
}

json limitsSection() {
  return {{"queue_length", 1000},         {"default_deadline_ms", 30000},
          {"retry_share", 0.1},           {"retry_floor", 10},
          {"max_header_bytes", 16384},    {"max_body_bytes", 1048576},
          {"max_stream_bytes", 16777216}, {"slow_sender_ms", 10000},
          {"stream_silence_ms", 2000},    {"weight_store_loads_per_minute", 6}};
}

json zonesSection(bool North, bool South) {
  return {{"zones",
           {{{"id", "north"}, {"in_service", North}},
            {{"id", "south"}, {"in_service", South}}}}};
}

} // namespace

double historyNow() {
  timespec Time = {};
  clock_gettime(CLOCK_MONOTONIC, &Time);
  return static_cast<double>(Time.tv_sec) * 1e3 +
         static_cast<double>(Time.tv_nsec) / 1e6;
}

RouterFleet::RouterFleet(FleetPlan Plan)
    : m_Plan(std::move(Plan)),
      m_Keepers(m_Plan.m_Keepers, json::object(), m_Plan.m_Proxied),
      m_Routers(m_Plan.m_Routers), m_Engines(m_Plan.m_Engines),
      m_VmStates(m_Plan.m_Engines, "live") {
  m_Service.m_Port = freePort();
  m_Service.m_Process.start(VANILLAFERRY_STANDIN,
                            {"service", "--name", "ledger", "--port",
                             std::to_string(m_Service.m_Port), "--record",
                             path("runs-service.jsonl")},
                            path("service.out"));
  if (m_Plan.m_Platform) {
    m_Platform.m_Port = freePort();
    m_Platform.m_Process.start(
        VANILLAFERRY_STANDIN,
        {"platform", "--port", std::to_string(m_Platform.m_Port)},
        path("platform.out"));
    waitUntil(
        [this] {
          return httpCall(platformUrl(), {"GET", "/vms", {}, ""})
                     .m_HttpStatus == 200;
        },
        StartLimitMs);
    setVmState(0, "live");
  }
  for (std::size_t I = 0; I < m_Engines.size(); ++I) {
    m_Engines[I].m_Port = freePort();
    link(m_Engines[I], m_Engines[I].m_Port);
    startEngine(I);
    note({{"op", "target"},
          {"target", "engine-" + std::to_string(I)},
          {"zone", zoneOf(I)},
          {"vm", "vm-engine-" + std::to_string(I)}});
  }
  m_Keepers.startAll(true);
  BOOST_REQUIRE_LT(m_Keepers.waitForLeader(StartLimitMs), m_Keepers.size());
  putDocument();
  for (std::size_t I = 0; I < m_Routers.size(); ++I) {
    m_Routers[I].m_Port = freePort();
    m_Routers[I].m_PeerPort = freePort();
    link(m_Routers[I], m_Routers[I].m_PeerPort);
    writeRouterSettings(I);
    startRouter(I);
  }
  for (std::size_t I = 0; I < m_Routers.size(); ++I)
    BOOST_REQUIRE_MESSAGE(waitReady(I, StartLimitMs), routerOutput(I));
}

void RouterFleet::link(Part &Linked, std::uint16_t Target) const {
  Linked.m_LinkPort = m_Plan.m_Proxied ? freePort() : Target;
  if (m_Plan.m_Proxied)
    Linked.m_Link = std::make_unique<LinkProxy>(Linked.m_LinkPort, Target);
}

std::string RouterFleet::path(const std::string &Name) const {
  return m_Keepers.folder() + "/" + Name;
}

std::string RouterFleet::routerUrl(std::size_t Index) const {
  return urlOf(m_Routers[Index].m_Port);
}

std::string RouterFleet::engineUrl(std::size_t Index) const {
  return urlOf(m_Engines[Index].m_Port);
}

std::string RouterFleet::serviceUrl() const { return urlOf(m_Service.m_Port); }

std::string RouterFleet::platformUrl() const {
  return urlOf(m_Platform.m_Port);
}

std::string RouterFleet::routerOutput(std::size_t Index) const {
  return readWholeFile(path("router-" + std::to_string(Index) + ".out"));
}

void RouterFleet::startRouter(std::size_t Index) {
  std::string Name = "router-" + std::to_string(Index);
  m_Routers[Index].m_Process.start(
      VANILLAFERRY_BINARY, {"router", "--settings", path(Name + ".json")},
      path(Name + ".out"));
}

void RouterFleet::startEngine(std::size_t Index) {
  std::string Name = "engine-" + std::to_string(Index);
  std::vector<std::string> Arguments = {
      "engine",
      "--name",
      Name,
      "--port",
      std::to_string(m_Engines[Index].m_Port),
      "--token-interval-ms",
      std::to_string(m_Plan.m_TokenIntervalMs),
      "--cold-limit",
      std::to_string(m_Plan.m_ColdLimit),
      "--record",
      path("runs-" + Name + ".jsonl")};
  Arguments.insert(Arguments.end(), m_Plan.m_EngineArguments.begin(),
                   m_Plan.m_EngineArguments.end());
  m_Engines[Index].m_Process.start(VANILLAFERRY_STANDIN, Arguments,
                                   path(Name + ".out"));
}

void RouterFleet::writeRouterSettings(std::size_t Index) {
  std::string Name = "router-" + std::to_string(Index);
  json Keepers = json::array();
  for (std::size_t I = 0; I < m_Keepers.size(); ++I)
    Keepers.push_back(m_Keepers.peerUrl(I));
  json Settings = {
      {"kind", "router"},
      {"node", Name},
      {"vm", "vm-" + Name},
      {"zone", "north"},
      {"http", {{"address", "127.0.0.1"}, {"port", m_Routers[Index].m_Port}}},
      {"peer",
       {{"address", "127.0.0.1"},
        {"port", m_Routers[Index].m_PeerPort},
        {"url",
         "ws://127.0.0.1:" + std::to_string(m_Routers[Index].m_LinkPort)}}},
      {"keepers", Keepers},
      {"log", {{"format", "json"}}}};
  if (m_Plan.m_Platform) {
    int LagMs =
        Index < m_Plan.m_ListLagMs.size() ? m_Plan.m_ListLagMs[Index] : 0;
    Settings["vm_list_url"] =
        platformUrl() + "/vms?lag_ms=" + std::to_string(LagMs);
    Settings["vm_list_interval_ms"] = 500;
  }
  writeWholeFile(path(Name + ".json"), Settings.dump(2));
}

json RouterFleet::servicesSection() const {
  json Targets = json::array();
  for (std::size_t I = 0; I < m_Engines.size(); ++I) {
    std::string Name = "engine-" + std::to_string(I);
    Targets.push_back(
        {{"id", Name},
         {"vm", "vm-" + Name},
         {"zone", zoneOf(I)},
         {"url", urlOf(m_Engines[I].m_LinkPort)},
         {"max_concurrent", m_Plan.m_MaxConcurrent},
         {"cold_limit", m_Plan.m_ColdLimit == 0 ? m_Plan.m_MaxConcurrent
                                                : m_Plan.m_ColdLimit},
         {"cache_tokens", 200000},
         {"checks_fencing", true},
         {"resumes", true},
         {"exports_kv", I != m_Plan.m_WithoutExport}});
  }
  json Ledger = {{"id", "ledger"},       {"vm", "vm-ledger"},
                 {"zone", "north"},      {"url", serviceUrl()},
                 {"max_concurrent", 64}, {"cold_limit", 64},
                 {"cache_tokens", 0},    {"checks_fencing", false},
                 {"resumes", false},     {"exports_kv", false}};
  auto Service = [](const char *Name, const char *Kind, json List) -> json {
    return {{"name", Name},
            {"kind", Kind},
            {"bound", 1.25},
            {"inner_margin", 0.05},
            {"allowance", 0},
            {"idempotent_methods", {"GET", "HEAD"}},
            {"targets", std::move(List)}};
  };
  return {{"services",
           json::array({Service("assistant", "engine", Targets),
                        Service("ledger", "plain", json::array({Ledger}))})}};
}

OperatorReply RouterFleet::editInForce(const std::string &Section,
                                       std::uint64_t Expected,
                                       const json &Content) {
  OperatorRequest Request{"PUT", "/document/" + Section, {}, Content.dump()};
  Request.m_Headers = {{"If-Match", std::to_string(Expected)},
                       {"X-Edit-Id", Section + std::to_string(Expected)}};
  return callKeepers(m_Keepers.operatorSettings(), Request,
                     Millis(StartLimitMs));
}

OperatorReply RouterFleet::recordedEdit(const std::string &Section,
                                        std::uint64_t Expected,
                                        const std::string &EditId,
                                        const json &Content, int LimitMs) {
  json Line = {{"op", "edit"},         {"section", Section},
               {"edit_id", EditId},    {"expected", Expected},
               {"result", "unknown"},  {"content", Content.dump()},
               {"start", historyNow()}};
  OperatorReply Reply =
      m_Keepers.edit(Section, Expected, EditId, Content, LimitMs);
  if (Reply.m_HttpStatus != 0) {
    bool Accepted = Reply.m_HttpStatus == 200 || Reply.m_HttpStatus == 202;
    Line["result"] = Accepted ? "accepted" : "conflict";
    Line["end"] = historyNow();
    Line["version"] = Reply.m_Body["version"];
  }
  note(Line);
  return Reply;
}

void RouterFleet::put(const std::string &Section, const json &Content) {
  json Line = {
      {"op", "edit"},  {"section", Section},   {"edit_id", Section + "0"},
      {"expected", 0}, {"result", "accepted"}, {"content", Content.dump()},
      {"version", 1},  {"start", historyNow()}};
  OperatorReply Reply = editInForce(Section, 0, Content);
  Line["end"] = historyNow();
  note(Line);
  BOOST_REQUIRE_MESSAGE(Reply.m_HttpStatus == 200,
                        Section + ": " + Reply.m_Body.dump());
}

void RouterFleet::putDocument() {
  put("zones", zonesSection(true, true));
  m_ZonesVersion = 1;
  put("services", servicesSection());
  put("model_versions",
      {{"models",
        {{{"name", "workshop"}, {"version", "1"}, {"service", "assistant"}}}}});
  put("accounts", accountsSection());
  put("limits", limitsSection());
}

bool RouterFleet::waitReady(std::size_t Index, int LimitMs) const {
  return waitUntil(
      [this, Index] {
        return httpCall(routerUrl(Index), {"GET", "/readyz", {}, ""}, 500)
                   .m_HttpStatus == 200;
      },
      LimitMs);
}

void RouterFleet::startLoad(const std::vector<std::size_t> &Routers,
                            double Rate, double Seconds,
                            const std::vector<std::string> &More) {
  std::string Name = "load-" + std::to_string(++m_LoadRuns);
  std::vector<std::string> Arguments = {"load"};
  for (std::size_t Index : Routers) {
    Arguments.push_back("--router");
    Arguments.push_back(routerUrl(Index));
  }
  std::vector<std::string> Rest = {
      "--api-key", ApiKey,
      "--model",   "workshop",
      "--rate",    std::to_string(Rate),
      "--seconds", std::to_string(Seconds),
      "--history", path("calls-" + Name + ".jsonl")};
  Arguments.insert(Arguments.end(), Rest.begin(), Rest.end());
  Arguments.insert(Arguments.end(), More.begin(), More.end());
  m_Load.start(VANILLAFERRY_STANDIN, Arguments, path(Name + ".out"));
}

LoadReport RouterFleet::finishLoad(int LimitMs) {
  LoadReport Report;
  Report.m_ExitCode = m_Load.waitForExit(LimitMs);
  Report.m_Figures = json::parse(
      readWholeFile(path("load-" + std::to_string(m_LoadRuns) + ".out")),
      nullptr, false);
  BOOST_REQUIRE_MESSAGE(Report.m_Figures.is_object(),
                        "the load generator printed no figures");
  BOOST_TEST_MESSAGE("load: " << Report.m_Figures.dump());
  return Report;
}

OperatorReply RouterFleet::setZone(const std::string &Zone, bool InService) {
  bool North = Zone != "north" || InService;
  bool South = Zone != "south" || InService;
  double Before = historyNow();
  OperatorReply Reply =
      editInForce("zones", m_ZonesVersion, zonesSection(North, South));
  ++m_ZonesVersion;
  // Routers may use a returning zone as soon as the edit is accepted, which is
  // before it is in force everywhere.
  note({{"op", InService ? "in" : "out"},
        {"zone", Zone},
        {"time", InService ? Before : historyNow()}});
  return Reply;
}

void RouterFleet::setVmState(std::size_t Engine, const std::string &State) {
  m_VmStates[Engine] = State;
  json Vms = json::array();
  for (std::size_t I = 0; I < m_VmStates.size(); ++I)
    Vms.push_back({{"vm", "vm-engine-" + std::to_string(I)},
                   {"zone", zoneOf(I)},
                   {"state", m_VmStates[I]}});
  Vms.push_back({{"vm", "vm-ledger"}, {"zone", "north"}, {"state", "live"}});
  OperatorRequest Request{"POST", "/vms", {}, ""};
  Request.m_Body = json({{"vms", Vms}}).dump();
  BOOST_REQUIRE_EQUAL(httpCall(platformUrl(), Request).m_HttpStatus, 200);
}

OperatorReply RouterFleet::call(std::size_t Router,
                                const OperatorRequest &Request,
                                int LimitMs) const {
  return httpCall(routerUrl(Router), Request, LimitMs, ApiKey);
}

OperatorReply RouterFleet::order(std::size_t Router, const std::string &Key,
                                 const std::string &Body, int LimitMs) const {
  OperatorRequest Request{"POST", "/services/ledger/orders", {}, ""};
  Request.m_Headers = {
      {"Idempotency-Key", Key},
      {"Idempotency-Key-Issued", std::to_string(wallNow().m_Value)}};
  Request.m_Body = Body;
  return call(Router, Request, LimitMs);
}

json RouterFleet::statsOf(const std::string &BaseUrl) const {
  return httpCall(BaseUrl, {"GET", "/stats", {}, ""}).m_Body;
}

void RouterFleet::fault(const std::string &BaseUrl, const json &Fault) const {
  OperatorRequest Request{"POST", "/fault", {}, ""};
  Request.m_Body = Fault.dump();
  BOOST_REQUIRE_EQUAL(httpCall(BaseUrl, Request).m_HttpStatus, 200);
}

double RouterFleet::counter(const std::string &Name) const {
  double Sum = 0;
  for (std::size_t I = 0; I < m_Routers.size(); ++I) {
    json Text = httpCall(routerUrl(I), {"GET", "/metrics", {}, ""}).m_Body;
    std::istringstream Lines(Text.is_string() ? Text.get<std::string>() : "");
    std::string Line;
    while (std::getline(Lines, Line))
      if (Line.compare(0, Name.size() + 1, Name + " ") == 0)
        Sum += std::stod(Line.substr(Name.size() + 1));
  }
  return Sum;
}

void RouterFleet::note(const json &Line) {
  std::lock_guard<std::mutex> Lock(m_NotesMutex);
  std::ofstream(path("notes.jsonl"), std::ios_base::app) << Line << "\n";
}

std::string RouterFleet::recordedCalls() const {
  std::string All;
  for (std::size_t I = 1; I <= m_LoadRuns; ++I)
    All += readWholeFile(path("calls-load-" + std::to_string(I) + ".jsonl"));
  return All;
}

void RouterFleet::replaceRecordedCalls(const std::string &Lines) {
  for (std::size_t I = 1; I <= m_LoadRuns; ++I)
    writeWholeFile(path("calls-load-" + std::to_string(I) + ".jsonl"),
                   I == 1 ? Lines : "");
}

std::string RouterFleet::recordedRuns() const {
  std::string All;
  for (std::size_t I = 0; I < m_Engines.size(); ++I)
    All += readWholeFile(path("runs-engine-" + std::to_string(I) + ".jsonl"));
  return All;
}

int RouterFleet::checkHistory() {
  std::string All = readWholeFile(path("notes.jsonl")) + recordedRuns();
  All += readWholeFile(path("runs-service.jsonl"));
  All += recordedCalls();
  writeWholeFile(path("history.jsonl"), All);
  ChildProcess Checker;
  Checker.start(VANILLAFERRY_BINARY, {"check-history", path("history.jsonl")},
                path("check-history.out"));
  return Checker.waitForExit(60000);
}

std::string RouterFleet::historyReport() const {
  return readWholeFile(path("check-history.out"));
}

} // namespace vanillaferry::tests
