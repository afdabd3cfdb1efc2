#include "engine_state.hpp"
#include "http_server.hpp"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace vanillaferry::standin {

namespace {

using nlohmann::json;

constexpr gint64 UsPerMs = 1000;
constexpr int CrashExitCode = 134;

/// Number of events in the complete answer: one for each token, one with the
/// finish reason, and [DONE].
std::uint32_t eventCount(const Generation &Work) {
  return Work.m_Answer.m_Tokens - Work.m_FirstIndex + 2;
}

json usage(const Generation &Work) {
  std::uint32_t Completion = Work.m_Answer.m_Tokens - Work.m_FirstIndex;
  return {{"prompt_tokens", Work.m_PromptTokens},
          {"completion_tokens", Completion},
          {"total_tokens", Work.m_PromptTokens + Completion},
          {"prompt_tokens_details", {{"cached_tokens", Work.m_CachedTokens}}}};
}

std::string eventText(const EngineState &Engine, const Generation &Work,
                      std::uint32_t Index) {
  std::uint32_t Token = Work.m_FirstIndex + Index;
  if (Token > Work.m_Answer.m_Tokens)
    return "data: [DONE]\n\n";
  json Choice = {{"index", 0}, {"delta", json::object()}};
  Choice["finish_reason"] = nullptr;
  if (Token < Work.m_Answer.m_Tokens)
    Choice["delta"]["content"] = answerToken(Work.m_Answer, Token);
  else
    Choice["finish_reason"] = "stop";
  json Event = {{"id", Work.m_RequestId},
                {"object", "chat.completion.chunk"},
                {"system_fingerprint", Engine.m_Options.m_Name},
                {"choices", json::array({Choice})}};
  if (Token == Work.m_Answer.m_Tokens)
    Event["usage"] = usage(Work);
  return "data: " + Event.dump() + "\n\n";
}

std::uint32_t eventsDue(const EngineState &Engine, const Generation &Work,
                        gint64 NowUs) {
  gint64 Elapsed = NowUs - Work.m_StartUs - Work.m_FirstTokenUs;
  if (Elapsed < 0)
    return 0;
  gint64 Interval = Engine.m_Options.m_TokenIntervalMs * UsPerMs;
  std::uint32_t All = eventCount(Work);
  if (Interval == 0)
    return All;
  gint64 Due = 1 + Elapsed / Interval;
  // The finish event and [DONE] are sent together with the last token.
  return Due >= static_cast<gint64>(All) - 2 ? All
                                             : static_cast<std::uint32_t>(Due);
}

void finishGeneration(EngineState &Engine, Generation &Work) {
  Work.m_Finished = true;
  ++Engine.m_Stats.m_Completed;
  ++Engine.m_CompletedSinceCold;
  Engine.m_Cache.store(Work.m_Prefixes,
                       Work.m_PromptTokens + Work.m_Answer.m_Tokens,
                       Work.m_CacheKey);
}

void completeReader(Generation &Work) {
  SoupServerMessage *Reader = Work.m_Reader;
  Work.m_Reader = nullptr;
  g_signal_handler_disconnect(Reader, Work.m_FinishedHandler);
  soup_message_body_complete(soup_server_message_get_response_body(Reader));
  soup_server_message_unpause(Reader);
  g_object_unref(Reader);
}

/// Limits the events to send to those before a fault; false when nothing may be
/// sent.
bool applyFaults(EngineState &Engine, Generation &Work, std::uint32_t &Until) {
  EngineFaults &Faults = Engine.m_Faults;
  std::uint32_t Limit = std::max(Faults.m_CloseAfter, Faults.m_SilentAfter);
  if (Work.m_Silent)
    return false;
  if (Faults.m_Times == 0 || Limit == 0 || Until < Limit)
    return true;
  Until = Limit;
  --Faults.m_Times;
  if (Faults.m_SilentAfter != 0) {
    Work.m_Silent = true;
    return true;
  }
  SoupServerMessage *Reader = Work.m_Reader;
  g_object_ref(Reader);
  detachReader(Work);
  dropConnection(Reader);
  g_object_unref(Reader);
  return false;
}

void sendDue(EngineState &Engine, Generation &Work, std::uint32_t Due) {
  if (!Work.m_Reader || Work.m_NextEvent >= Due ||
      !applyFaults(Engine, Work, Due))
    return;
  std::string Text;
  while (Work.m_NextEvent < Due)
    Text += eventText(Engine, Work, Work.m_NextEvent++);
  soup_message_body_append(soup_server_message_get_response_body(Work.m_Reader),
                           SOUP_MEMORY_COPY, Text.data(), Text.size());
  soup_server_message_unpause(Work.m_Reader);
  if (Work.m_NextEvent >= eventCount(Work))
    completeReader(Work);
}

void sendCompleteAnswer(EngineState &Engine, Generation &Work) {
  std::string Text;
  for (std::uint32_t I = Work.m_FirstIndex; I < Work.m_Answer.m_Tokens; ++I)
    Text += answerToken(Work.m_Answer, I);
  json Choice = {{"index", 0},
                 {"message", {{"role", "assistant"}, {"content", Text}}},
                 {"finish_reason", "stop"}};
  answerJson(Work.m_Reader, 200,
             {{"id", Work.m_RequestId},
              {"object", "chat.completion"},
              {"system_fingerprint", Engine.m_Options.m_Name},
              {"choices", json::array({Choice})},
              {"usage", usage(Work)}});
  SoupServerMessage *Reader = Work.m_Reader;
  Work.m_Reader = nullptr;
  g_signal_handler_disconnect(Reader, Work.m_FinishedHandler);
  soup_server_message_unpause(Reader);
  g_object_unref(Reader);
}

void onReaderFinished(SoupServerMessage *, gpointer Data) {
  detachReader(*static_cast<Generation *>(Data));
}

} // namespace

std::uint32_t runningCount(const EngineState &Engine) {
  std::uint32_t Count = 0;
  for (const std::pair<const std::string, std::shared_ptr<Generation>> &Row :
       Engine.m_Generations)
    if (!Row.second->m_Finished && !Row.second->m_Cancelled)
      ++Count;
  return Count;
}

void restartEngine(EngineState &Engine) {
  for (std::pair<const std::string, std::shared_ptr<Generation>> &Row :
       Engine.m_Generations) {
    Generation &Work = *Row.second;
    Work.m_Cancelled = true;
    if (!Work.m_Reader)
      continue;
    SoupServerMessage *Reader = Work.m_Reader;
    g_object_ref(Reader);
    detachReader(Work);
    dropConnection(Reader);
    g_object_unref(Reader);
  }
  Engine.m_Generations.clear();
  Engine.m_Cache.clear();
  Engine.m_CompletedSinceCold = 0;
  Engine.m_Instance = std::to_string(g_get_real_time());
}

void attachReader(EngineState &Engine, Generation &Work,
                  SoupServerMessage *Message, std::uint32_t Offset) {
  if (Work.m_Reader)
    detachReader(Work);
  Work.m_Reader = Message;
  g_object_ref(Message);
  Work.m_NextEvent = Offset;
  Work.m_Silent = false;
  Work.m_FinishedHandler = g_signal_connect(
      Message, "finished", G_CALLBACK(&onReaderFinished), &Work);
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Message);
  soup_message_headers_replace(Headers, "X-Request-Id",
                               Work.m_RequestId.c_str());
  soup_message_headers_replace(Headers, "X-Engine-Instance",
                               Engine.m_Instance.c_str());
  if (Work.m_Stream) {
    soup_server_message_set_status(Message, 200, nullptr);
    soup_message_headers_set_encoding(Headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(Headers, "Content-Type", "text/event-stream");
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(Message), FALSE);
  }
  soup_server_message_pause(Message);
}

void detachReader(Generation &Work) {
  if (!Work.m_Reader)
    return;
  g_signal_handler_disconnect(Work.m_Reader, Work.m_FinishedHandler);
  g_object_unref(Work.m_Reader);
  Work.m_Reader = nullptr;
  Work.m_DetachedUs = g_get_monotonic_time();
}

void advanceGenerations(EngineState &Engine) {
  gint64 NowUs = g_get_monotonic_time();
  gint64 Window = Engine.m_Options.m_ResumeWindowMs * UsPerMs;
  for (auto Row = Engine.m_Generations.begin();
       Row != Engine.m_Generations.end();) {
    std::shared_ptr<Generation> Work = Row->second;
    bool Expired = !Work->m_Reader && NowUs - Work->m_DetachedUs > Window;
    if (Work->m_Cancelled || Expired) {
      if (!Work->m_Finished)
        ++Engine.m_Stats.m_Cancelled;
      Row = Engine.m_Generations.erase(Row);
      continue;
    }
    ++Row;
    std::uint32_t Due = eventsDue(Engine, *Work, NowUs);
    if (Work->m_Crashes && Due > 0)
      std::_Exit(CrashExitCode);
    if (!Work->m_Finished && Due == eventCount(*Work))
      finishGeneration(Engine, *Work);
    if (Work->m_Stream)
      sendDue(Engine, *Work, Due);
    else if (Work->m_Reader && Work->m_Finished)
      sendCompleteAnswer(Engine, *Work);
  }
}

} // namespace vanillaferry::standin
