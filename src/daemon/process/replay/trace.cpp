#include "process/replay/trace.hpp"

#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>

namespace vanillaferry {

namespace {

using Json = nlohmann::json;

constexpr TraceEventKind EventKinds[] = {
    TraceEventKind::EngineRestart, TraceEventKind::EngineCold,
    TraceEventKind::VmLeave,       TraceEventKind::ZoneOut,
    TraceEventKind::ZoneIn,        TraceEventKind::RouterJoin,
    TraceEventKind::RouterFreeze,  TraceEventKind::RouterLeave};

Json fleetLine(const Trace &Recorded) {
  Json Engines = Json::array();
  for (const TargetSettings &Engine : Recorded.m_Engines)
    Engines.push_back({{"id", Engine.m_Id.m_Value},
                       {"vm", Engine.m_Vm.m_Value},
                       {"zone", Engine.m_Zone.m_Value},
                       {"max_concurrent", Engine.m_MaxConcurrent},
                       {"cold_limit", Engine.m_ColdLimit},
                       {"cache_tokens", Engine.m_CacheTokens.m_Value}});
  Json Accounts = Json::array();
  for (const TraceAccount &Account : Recorded.m_Accounts)
    Accounts.push_back({{"id", Account.m_Id},
                        {"max_concurrent", Account.m_MaxConcurrent},
                        {"requests_per_second", Account.m_RequestsPerSecond},
                        {"weight", Account.m_Weight}});
  return {{"kind", "fleet"},
          {"format", 1},
          {"deployment", Recorded.m_Deployment},
          {"seed", Recorded.m_Seed},
          {"warmup_ms", Recorded.m_Warmup.m_Value},
          {"duration_ms", Recorded.m_Duration.m_Value},
          {"zones", Recorded.m_Zones},
          {"routers", Recorded.m_Routers},
          {"list_lag_ms", Recorded.m_ListLag.m_Value},
          {"accounts", Accounts},
          {"engines", Engines}};
}

Json requestLine(const TraceRequest &Request) {
  Json Line = {{"kind", "request"},
               {"at", Request.m_At.m_Value},
               {"chat", Request.m_Chat},
               {"account", Request.m_Account},
               {"prefix", Request.m_Prefix.m_Value},
               {"prompt", Request.m_Prompt.m_Value},
               {"answer", Request.m_Answer.m_Value},
               {"deadline_ms", Request.m_Deadline.m_Value},
               {"entry", Request.m_Entry}};
  if (Request.m_Priority == Priority::Batch)
    Line["batch"] = true;
  if (Request.m_Surge)
    Line["surge"] = true;
  return Line;
}

void readFleet(const Json &Line, Trace &Recorded) {
  Recorded.m_Deployment = Line.at("deployment").get<std::string>();
  Recorded.m_Seed = Line.at("seed").get<std::uint64_t>();
  Recorded.m_Warmup = Millis(Line.at("warmup_ms").get<std::int64_t>());
  Recorded.m_Duration = Millis(Line.at("duration_ms").get<std::int64_t>());
  Recorded.m_Zones = Line.at("zones").get<std::vector<std::string>>();
  Recorded.m_Routers = Line.at("routers").get<std::uint32_t>();
  Recorded.m_ListLag = Millis(Line.at("list_lag_ms").get<std::int64_t>());
  for (const Json &Account : Line.at("accounts"))
    Recorded.m_Accounts.push_back(
        TraceAccount{Account.at("id").get<std::string>(),
                     Account.at("max_concurrent").get<std::uint32_t>(),
                     Account.at("requests_per_second").get<double>(),
                     Account.at("weight").get<std::uint32_t>()});
  for (const Json &Line : Line.at("engines")) {
    TargetSettings Engine;
    Engine.m_Id = TargetId(Line.at("id").get<std::string>());
    Engine.m_Vm = VmId(Line.at("vm").get<std::string>());
    Engine.m_Zone = ZoneId(Line.at("zone").get<std::string>());
    Engine.m_MaxConcurrent = Line.at("max_concurrent").get<std::uint32_t>();
    Engine.m_ColdLimit = Line.at("cold_limit").get<std::uint32_t>();
    Engine.m_CacheTokens = Tokens(Line.at("cache_tokens").get<std::int64_t>());
    Recorded.m_Engines.push_back(Engine);
  }
}

TraceRequest readRequest(const Json &Line) {
  TraceRequest Request;
  Request.m_At = Millis(Line.at("at").get<std::int64_t>());
  Request.m_Chat = Line.at("chat").get<std::uint32_t>();
  Request.m_Account = Line.at("account").get<std::uint32_t>();
  Request.m_Prefix = Tokens(Line.at("prefix").get<std::int64_t>());
  Request.m_Prompt = Tokens(Line.at("prompt").get<std::int64_t>());
  Request.m_Answer = Tokens(Line.at("answer").get<std::int64_t>());
  Request.m_Deadline = Millis(Line.at("deadline_ms").get<std::int64_t>());
  Request.m_Entry = Line.at("entry").get<std::uint32_t>();
  if (Line.value("batch", false))
    Request.m_Priority = Priority::Batch;
  Request.m_Surge = Line.value("surge", false);
  return Request;
}

bool readEvent(const Json &Line, Trace &Recorded) {
  std::string Kind = Line.at("kind").get<std::string>();
  for (TraceEventKind Known : EventKinds) {
    if (Kind != traceEventName(Known))
      continue;
    TraceEvent Event;
    Event.m_Kind = Known;
    Event.m_At = Millis(Line.at("at").get<std::int64_t>());
    Event.m_Index = Line.at("index").get<std::uint32_t>();
    Event.m_For = Millis(Line.at("for_ms").get<std::int64_t>());
    Recorded.m_Events.push_back(Event);
    return true;
  }
  return false;
}

/// Indexes that the replay uses without further checks.
bool indexesInRange(const Trace &Recorded) {
  for (const TraceRequest &Request : Recorded.m_Requests)
    if (Request.m_Account >= Recorded.m_Accounts.size())
      return false;
  for (const TraceEvent &Event : Recorded.m_Events) {
    bool Zone = Event.m_Kind == TraceEventKind::ZoneOut ||
                Event.m_Kind == TraceEventKind::ZoneIn;
    bool Router = Event.m_Kind >= TraceEventKind::RouterJoin;
    std::size_t Limit = Zone     ? Recorded.m_Zones.size()
                        : Router ? Recorded.m_Routers + 8
                                 : Recorded.m_Engines.size();
    if (Event.m_Index >= Limit)
      return false;
  }
  return Recorded.m_Routers > 0 && !Recorded.m_Engines.empty();
}

} // namespace

const char *traceEventName(TraceEventKind Kind) {
  switch (Kind) {
  case TraceEventKind::EngineRestart:
    return "engine_restart";
  case TraceEventKind::EngineCold:
    return "engine_cold";
  case TraceEventKind::VmLeave:
    return "vm_leave";
  case TraceEventKind::ZoneOut:
    return "zone_out";
  case TraceEventKind::ZoneIn:
    return "zone_in";
  case TraceEventKind::RouterJoin:
    return "router_join";
  case TraceEventKind::RouterFreeze:
    return "router_freeze";
  case TraceEventKind::RouterLeave:
    return "router_leave";
  }
  return "";
}

void writeTrace(std::ostream &Out, const Trace &Recorded) {
  Out << fleetLine(Recorded).dump() << "\n";
  for (const TraceEvent &Event : Recorded.m_Events)
    Out << Json({{"kind", traceEventName(Event.m_Kind)},
                 {"at", Event.m_At.m_Value},
                 {"index", Event.m_Index},
                 {"for_ms", Event.m_For.m_Value}})
               .dump()
        << "\n";
  for (const TraceRequest &Request : Recorded.m_Requests)
    Out << requestLine(Request).dump() << "\n";
}

Result<Trace> readTrace(std::istream &In) {
  Trace Recorded;
  std::string Text;
  std::size_t Number = 0;
  while (std::getline(In, Text)) {
    ++Number;
    if (Text.empty())
      continue;
    try {
      Json Line = Json::parse(Text);
      std::string Kind = Line.at("kind").get<std::string>();
      if (Kind == "fleet")
        readFleet(Line, Recorded);
      else if (Kind == "request")
        Recorded.m_Requests.push_back(readRequest(Line));
      else if (!readEvent(Line, Recorded))
        return makeError(ErrorCode::Malformed,
                         "line " + std::to_string(Number) +
                             ": unknown kind \"" + Kind + "\"");
    } catch (const Json::exception &E) {
      return makeError(ErrorCode::Malformed,
                       "line " + std::to_string(Number) + ": " + E.what());
    }
  }
  if (!indexesInRange(Recorded))
    return makeError(ErrorCode::Malformed,
                     "the trace has no fleet line or an index out of range");
  return Recorded;
}

} // namespace vanillaferry
