#include "engine.hpp"

#include "engine_state.hpp"
#include "http_server.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaferry::standin {

namespace {

using nlohmann::json;

constexpr std::uint32_t TickMs = 2;
constexpr std::uint32_t BytesPerToken = 4;
constexpr std::size_t MaxCacheEventsPerAnswer = 1000;

bool isCold(const EngineState &Engine) {
  return Engine.m_Options.m_ColdLimit != 0 &&
         Engine.m_CompletedSinceCold < Engine.m_Options.m_WarmAfter;
}

bool holdsText(const json &Message, const std::string &Text) {
  return !Text.empty() && Message.value("content", std::string()).find(Text) !=
                              std::string::npos;
}

bool containsCrashText(const EngineState &Engine, const json &Messages) {
  const EngineOptions &Options = Engine.m_Options;
  return holdsText(Messages.back(), Options.m_CrashOnLast) ||
         std::any_of(Messages.begin(), std::prev(Messages.end()),
                     [&Options](const json &Message) {
                       return holdsText(Message, Options.m_CrashOn);
                     });
}

std::shared_ptr<Generation> startGeneration(EngineState &Engine,
                                            const json &Body,
                                            const std::string &RequestId,
                                            const std::string &CacheKey) {
  std::shared_ptr<Generation> Work = std::make_shared<Generation>();
  Work->m_RequestId = RequestId;
  Work->m_Answer = expectedAnswer(Body);
  Work->m_Stream = Body.value("stream", false);
  Work->m_Crashes = containsCrashText(Engine, Body.at("messages"));
  std::string Continued = Body.value("continue_text", std::string());
  Work->m_FirstIndex =
      std::min(countTokens(Continued), Work->m_Answer.m_Tokens);
  if (Work->m_FirstIndex != 0)
    ++Engine.m_Stats.m_Continued;
  std::vector<std::uint64_t> Hashes = prefixHashes(Body.at("messages"));
  Work->m_PromptTokens = promptTokens(Body.at("messages"));
  Work->m_CachedTokens =
      std::min(Engine.m_Cache.lookup(Hashes), Work->m_PromptTokens);
  json WithAnswer = Body.at("messages");
  WithAnswer.push_back(
      {{"role", "assistant"}, {"content", answerText(Work->m_Answer)}});
  Work->m_CacheKey = CacheKey;
  Work->m_Prefixes = prefixHashes(WithAnswer);
  Work->m_StartUs = g_get_monotonic_time();
  Work->m_FirstTokenUs = Engine.m_Options.m_FirstTokenMs * gint64(1000) +
                         gint64(Engine.m_Options.m_PrefillUsPerToken) *
                             (Work->m_PromptTokens - Work->m_CachedTokens);
  if (isCold(Engine))
    Work->m_FirstTokenUs *= Engine.m_Options.m_ColdSlowdown;
  Engine.m_Stats.m_PromptTokens += Work->m_PromptTokens;
  Engine.m_Stats.m_CachedTokens += Work->m_CachedTokens;
  ++Engine.m_Runs[RequestId];
  recordRun(Engine.m_Options.m_Record, Engine.m_Options.m_Name,
            Body.value("user", RequestId), "");
  Engine.m_Generations[RequestId] = Work;
  return Work;
}

void resumeChat(EngineState &Engine, SoupServerMessage *Message,
                const std::string &RequestId, const std::string &Offset) {
  auto Found = Engine.m_Generations.find(RequestId);
  if (Found == Engine.m_Generations.end() || Engine.m_Faults.m_NoResume) {
    answerJson(Message, 404, refusal("no stream with this request id"));
    return;
  }
  ++Engine.m_Stats.m_Resumed;
  attachReader(Engine, *Found->second, Message,
               static_cast<std::uint32_t>(std::stoul(Offset)));
}

void handleChat(EngineState &Engine, SoupServerMessage *Message) {
  json Body = json::parse(requestBody(Message), nullptr, false);
  std::string RequestId = requestHeader(Message, "X-Request-Id");
  if (Body.is_discarded() || !Body.contains("messages") || RequestId.empty()) {
    answerJson(Message, 400, refusal("messages and X-Request-Id required"));
    return;
  }
  std::string Offset = requestHeader(Message, "X-Resume-Offset");
  if (!Offset.empty()) {
    resumeChat(Engine, Message, RequestId, Offset);
    return;
  }
  ++Engine.m_Stats.m_Arrivals;
  Engine.m_Stats.m_LastArrivalMs = g_get_real_time() / 1000;
  if (Engine.m_Faults.m_Refuse) {
    answerJson(Message, 503, refusal("the engine is set to refuse requests"));
    return;
  }
  if (isCold(Engine) && runningCount(Engine) >= Engine.m_Options.m_ColdLimit) {
    ++Engine.m_Stats.m_ColdOverloads;
    restartEngine(Engine);
    dropConnection(Message);
    return;
  }
  std::shared_ptr<Generation> Work = startGeneration(
      Engine, Body, RequestId, requestHeader(Message, "X-Cache-Key"));
  Work->m_Priority = requestHeader(Message, "X-Priority");
  attachReader(Engine, *Work, Message, 0);
  Engine.m_Stats.m_MaxRunning =
      std::max(Engine.m_Stats.m_MaxRunning, runningCount(Engine));
}

void handleCancel(EngineState &Engine, SoupServerMessage *Message) {
  json Body = json::parse(requestBody(Message), nullptr, false);
  std::string RequestId =
      Body.is_object() ? Body.value("request_id", std::string()) : "";
  auto Found = Engine.m_Generations.find(RequestId);
  bool Known = Found != Engine.m_Generations.end();
  if (Known) {
    detachReader(*Found->second);
    Found->second->m_Cancelled = true;
  }
  answerJson(Message, Known ? 200 : 404, {{"cancelled", Known}});
}

void handleLoad(EngineState &Engine, SoupServerMessage *Message) {
  gint64 AsOfUs =
      g_get_monotonic_time() - gint64(Engine.m_Options.m_ReportLagMs) * 1000;
  std::uint32_t Running = runningCount(Engine);
  if (Engine.m_Options.m_ReportLagMs != 0)
    for (const LoadSample &Sample : Engine.m_Samples)
      if (Sample.m_AtUs <= AsOfUs)
        Running = Sample.m_Running;
  answerJson(Message, 200,
             {{"instance", Engine.m_Instance},
              {"running", Running},
              {"kv_used", Engine.m_Cache.events().size()}});
}

std::uint64_t numberField(SoupServerMessage *Message, const char *Name) {
  std::string Text = queryValue(Message, Name);
  return Text.empty() ? 0 : std::stoull(Text);
}

json eventJson(const CacheEvent &Event) {
  json Value = {{"seq", Event.m_Sequence},
                {"kind", Event.m_Stored ? "store" : "evict"},
                {"tokens", Event.m_Tokens}};
  // A keyed event needs no prefix id, which keeps answers small.
  if (Event.m_Key.empty())
    Value["prefix"] = Event.m_Prefix;
  else
    Value["key"] = Event.m_Key;
  return Value;
}

void handleCacheEvents(EngineState &Engine, SoupServerMessage *Message) {
  std::uint64_t After = numberField(Message, "after");
  std::uint64_t LastCount = numberField(Message, "last");
  std::string Kind = queryValue(Message, "kind");
  gint64 VisibleUntilUs =
      g_get_monotonic_time() - gint64(Engine.m_Options.m_EventLagMs) * 1000;
  std::uint64_t Newest = Engine.m_Cache.lastSequence();
  if (LastCount != 0 && Newest > LastCount)
    After = std::max(After, Newest - LastCount);
  json List = json::array();
  std::uint64_t Next = After;
  std::uint64_t Reported = 0;
  for (const CacheEvent &Event : Engine.m_Cache.events()) {
    if (Event.m_Sequence <= After)
      continue;
    if (Event.m_At > VisibleUntilUs || List.size() >= MaxCacheEventsPerAnswer)
      break;
    ++Reported;
    Next = Event.m_Sequence;
    if (Kind.empty() || Kind == (Event.m_Stored ? "store" : "evict"))
      List.push_back(eventJson(Event));
  }
  answerJson(Message, 200,
             {{"instance", Engine.m_Instance},
              {"events", List},
              {"next", Next},
              {"lost", Next - After - Reported}});
}

void answerLater(SoupServerMessage *Message, std::uint32_t DelayMs) {
  soup_server_message_pause(Message);
  g_timeout_add_full(
      G_PRIORITY_DEFAULT, DelayMs,
      [](gpointer Data) -> gboolean {
        SoupServerMessage *Held = SOUP_SERVER_MESSAGE(Data);
        // There is no socket when the sender has closed its connection.
        if (soup_server_message_get_socket(Held)) {
          answerJson(Held, 200, {{"done", true}});
          soup_server_message_unpause(Held);
        }
        return G_SOURCE_REMOVE;
      },
      g_object_ref(Message), g_object_unref);
}

void handleOrder(EngineState &Engine, SoupServerMessage *Message) {
  json Body = json::parse(requestBody(Message), nullptr, false);
  if (!Body.is_object()) {
    answerJson(Message, 400, refusal("the body is not a JSON object"));
    return;
  }
  const EngineFaults &Faults = Engine.m_Faults;
  std::uint64_t Token = Body.value("fencing_token", std::uint64_t(0));
  bool Stale =
      Engine.m_Options.m_ChecksFencing && Token < Engine.m_FencingToken;
  bool Runs = !Stale && Faults.m_OrderStatus == 0;
  Engine.m_OrderArrivals.push_back({Body.value("order_id", std::string()),
                                    Token, Runs, g_get_real_time() / 1000});
  if (Stale) {
    answerJson(Message, 409, refusal("outdated fencing token"));
    return;
  }
  if (!Runs) {
    answerJson(Message, static_cast<int>(Faults.m_OrderStatus),
               refusal("the engine is set to refuse orders"));
    return;
  }
  Engine.m_FencingToken = std::max(Engine.m_FencingToken, Token);
  Engine.m_Orders.push_back(Body.dump());
  if (Faults.m_OrderClose)
    dropConnection(Message);
  else if (Faults.m_OrderDelayMs != 0)
    answerLater(Message, Faults.m_OrderDelayMs);
  else
    answerJson(Message, 200, {{"done", true}});
}

void handleFault(EngineState &Engine, SoupServerMessage *Message) {
  json Body = json::parse(requestBody(Message), nullptr, false);
  if (!Body.is_object()) {
    answerJson(Message, 400, refusal("the body is not a JSON object"));
    return;
  }
  EngineFaults &Faults = Engine.m_Faults;
  Faults.m_CloseAfter = Body.value("close_after", 0u);
  Faults.m_SilentAfter = Body.value("silent_after", 0u);
  Faults.m_Times = Body.value("times", 0u);
  Faults.m_NoResume = Body.value("no_resume", false);
  Faults.m_Refuse = Body.value("refuse", false);
  Faults.m_OrderDelayMs = Body.value("order_delay_ms", 0u);
  Faults.m_OrderStatus = Body.value("order_status", 0u);
  Faults.m_OrderClose = Body.value("order_close", false);
  if (Body.contains("exports_left"))
    Faults.m_ExportsLeft = Body["exports_left"].get<std::uint32_t>();
  if (Body.value("restart", false))
    restartEngine(Engine);
  if (Body.contains("report_lag_ms"))
    Engine.m_Options.m_ReportLagMs = Body["report_lag_ms"].get<std::uint32_t>();
  answerJson(Message, 200, {{"ok", true}});
}

json orderArrivals(const EngineState &Engine) {
  json Rows = json::array();
  for (const OrderArrival &Arrival : Engine.m_OrderArrivals)
    Rows.push_back({{"order_id", Arrival.m_OrderId},
                    {"fencing_token", Arrival.m_Token},
                    {"ran", Arrival.m_Ran},
                    {"at_unix_ms", Arrival.m_AtUnixMs}});
  return Rows;
}

void handleStats(EngineState &Engine, SoupServerMessage *Message) {
  const EngineStats &Stats = Engine.m_Stats;
  json Body = {{"name", Engine.m_Options.m_Name},
               {"instance", Engine.m_Instance},
               {"arrivals", Stats.m_Arrivals},
               {"completed", Stats.m_Completed},
               {"cancelled", Stats.m_Cancelled},
               {"resumed", Stats.m_Resumed},
               {"continued", Stats.m_Continued},
               {"cold_overloads", Stats.m_ColdOverloads},
               {"prompt_tokens", Stats.m_PromptTokens},
               {"cached_tokens", Stats.m_CachedTokens},
               {"exported", Stats.m_Exported},
               {"imported", Stats.m_Imported},
               {"running", runningCount(Engine)},
               {"max_running", Stats.m_MaxRunning},
               {"last_arrival_unix_ms", Stats.m_LastArrivalMs},
               {"orders", Engine.m_Orders},
               {"order_arrivals", orderArrivals(Engine)},
               {"runs", Engine.m_Runs}};
  answerJson(Message, 200, Body);
}

void handleRequest(EngineState &Engine, SoupServerMessage *Message,
                   const std::string &Path) {
  if (Path == "/v1/chat/completions")
    handleChat(Engine, Message);
  else if (Path == "/v1/cancel")
    handleCancel(Engine, Message);
  else if (Path == "/load")
    handleLoad(Engine, Message);
  else if (Path == "/cache/events")
    handleCacheEvents(Engine, Message);
  else if (Path == "/orders")
    handleOrder(Engine, Message);
  else if (Path == "/kv/export")
    handleKvExport(Engine, Message);
  else if (Path == "/kv/import")
    handleKvImport(Engine, Message);
  else if (Path == "/fault")
    handleFault(Engine, Message);
  else if (Path == "/stats")
    handleStats(Engine, Message);
  else
    answerJson(Message, 404, refusal("no such path"));
}

gboolean onTick(gpointer Data) {
  EngineState &Engine = *static_cast<EngineState *>(Data);
  advanceGenerations(Engine);
  gint64 Now = g_get_monotonic_time();
  Engine.m_Samples.push_back({Now, runningCount(Engine)});
  gint64 Kept = gint64(Engine.m_Options.m_ReportLagMs) * 1000 + 1000000;
  while (Engine.m_Samples.front().m_AtUs < Now - Kept)
    Engine.m_Samples.pop_front();
  return G_SOURCE_CONTINUE;
}

} // namespace

std::uint32_t promptTokens(const json &Messages) {
  std::size_t Length = 0;
  for (const json &Message : Messages)
    Length += Message.value("content", std::string()).size();
  return static_cast<std::uint32_t>(1 + Length / BytesPerToken);
}

json refusal(const char *Text) {
  return {{"error", {{"message", Text}, {"not_run", true}}}};
}

int runEngine(const EngineOptions &Options) {
  EngineState Engine;
  Engine.m_Options = Options;
  Engine.m_Cache = PrefixLru(Options.m_CacheTokens);
  Engine.m_Cache.setEventLoss(Options.m_EventLoss);
  Engine.m_Peers = soup_session_new();
  Engine.m_Instance = std::to_string(g_get_real_time());
  g_timeout_add(TickMs, &onTick, &Engine);
  return serve(Options.m_Port,
               [&Engine](SoupServerMessage *Message, const std::string &Path) {
                 handleRequest(Engine, Message, Path);
               });
}

} // namespace vanillaferry::standin
