#include "load.hpp"

#include "answer.hpp"
#include "load_result.hpp"
#include "load_sampler.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <numeric>
#include <random>
#include <xxhash.h>

namespace vanillaferry::standin {

namespace {

using nlohmann::json;

constexpr int MaxConnections = 2000;
constexpr std::uint32_t SampleMs = 250;

struct Chat {
  std::string m_Id;
  json m_Messages = json::array();
  std::uint32_t m_Turn = 0;
  bool m_Busy = false;
  /// Prompt and answer of the last turn, which its engine has stored.
  std::uint64_t m_StoredTokens = 0;
  gint64 m_EndedUs = 0;
  std::string m_LastTarget;
};

struct LoadRun {
  LoadOptions m_Options;
  SoupSession *m_Session = nullptr;
  GMainLoop *m_Loop = nullptr;
  std::mt19937_64 m_Random;
  std::vector<Chat> m_Chats;
  LoadResult m_Result;
  std::uint64_t m_Running = 0;
  std::uint64_t m_NextRequest = 0;
  gint64 m_StartUs = 0;
  bool m_Ended = false;
  bool m_Sampling = false;
  std::ofstream m_History;
};

/// One request; keeps itself alive through the callbacks of its stream.
struct Call {
  LoadRun *m_Load = nullptr;
  std::size_t m_Chat = 0;
  std::string m_RequestId;
  std::string m_Body;
  std::string m_Priority;
  ExpectedAnswer m_Expected;
  SoupMessage *m_Message = nullptr;
  GInputStream *m_Stream = nullptr;
  std::string m_Received;
  std::vector<char> m_Buffer = std::vector<char>(16384);
  gint64 m_SentUs = 0;
  gint64 m_FirstUs = 0;
  std::uint32_t m_RetryCount = 0;
  /// An earlier attempt got no answer and may have run, so a later refusal does
  /// not show that the request did not run.
  bool m_MayHaveRun = false;
  /// URL of the last router asked.
  std::string m_Router;
};

/// How a call ended, for the history file.
struct CallResult {
  const char *m_Kind = "answer";
  bool m_Complete = false;
  bool m_NotRun = false;
  /// The received text is the beginning of the expected answer.
  bool m_IsPrefix = true;
};

using CallPtr = std::shared_ptr<Call>;

void sendCall(const CallPtr &Self);

struct ParsedStream {
  std::string m_Text;
  bool m_Done = false;
  bool m_Error = false;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_CompletionTokens = 0;
  std::uint64_t m_CachedTokens = 0;
};

ParsedStream parseStream(const std::string &Received) {
  ParsedStream Parsed;
  std::size_t At = 0;
  while (At < Received.size()) {
    std::size_t End = Received.find("\n\n", At);
    if (End == std::string::npos)
      break;
    std::string Event = Received.substr(At, End - At);
    At = End + 2;
    std::size_t Data = Event.find("data: ");
    if (Data == std::string::npos)
      continue;
    std::string Text = Event.substr(Data + 6);
    if (Text == "[DONE]") {
      Parsed.m_Done = true;
      continue;
    }
    json Value = json::parse(Text, nullptr, false);
    if (Value.is_discarded() || Value.contains("error")) {
      Parsed.m_Error = true;
      continue;
    }
    if (Value.contains("usage") && Value["usage"].is_object()) {
      Parsed.m_PromptTokens = Value["usage"].value("prompt_tokens", 0u);
      Parsed.m_CompletionTokens = Value["usage"].value("completion_tokens", 0u);
      Parsed.m_CachedTokens =
          Value["usage"]["prompt_tokens_details"].value("cached_tokens", 0u);
    }
    for (const json &Choice : Value["choices"])
      Parsed.m_Text += Choice["delta"].value("content", std::string());
  }
  return Parsed;
}

std::string hashOf(const std::string &Text) {
  return std::to_string(XXH3_64bits(Text.data(), Text.size()));
}

/// One "call" line of docs/history.md.
void writeHistory(const Call &Ended, const CallResult &Outcome) {
  std::ofstream &Out = Ended.m_Load->m_History;
  if (!Out.is_open())
    return;
  Out << json({{"op", "call"},
               {"request", Ended.m_RequestId},
               {"start", static_cast<double>(Ended.m_SentUs) / 1000},
               {"end", static_cast<double>(g_get_monotonic_time()) / 1000},
               {"outcome", Outcome.m_Kind},
               {"complete", Outcome.m_Complete},
               {"not_run", Outcome.m_NotRun},
               {"router", Ended.m_Router},
               {"sent", hashOf(answerText(Ended.m_Expected))},
               {"received", Outcome.m_IsPrefix
                                ? hashOf(answerText(Ended.m_Expected))
                                : hashOf(Ended.m_Received)}})
      << "\n";
}

void endCall(const CallPtr &Self, const CallResult &Outcome) {
  bool Complete = Outcome.m_Complete;
  LoadRun &L = *Self->m_Load;
  Chat &C = L.m_Chats[Self->m_Chat];
  writeHistory(*Self, Outcome);
  C.m_Busy = false;
  C.m_EndedUs = g_get_monotonic_time();
  --L.m_Running;
  if (Complete) {
    C.m_Messages.push_back(
        {{"role", "assistant"}, {"content", answerText(Self->m_Expected)}});
    ++C.m_Turn;
  }
  if (!Complete || C.m_Turn >= L.m_Options.m_Turns) {
    C.m_Messages = json::array();
    C.m_Turn = 0;
    C.m_StoredTokens = 0;
    C.m_Id = "chat-" + std::to_string(L.m_Random());
  }
  if (L.m_Ended && L.m_Running == 0)
    g_main_loop_quit(L.m_Loop);
}

struct ParsedRefusal {
  std::string m_Name = "unnamed";
  bool m_NotRun = false;
};

ParsedRefusal parseRefusal(const std::string &Body) {
  ParsedRefusal Parsed;
  json Value = json::parse(Body, nullptr, false);
  if (!Value.is_object() || !Value.contains("error"))
    return Parsed;
  Parsed.m_Name = Value["error"].value("name", Parsed.m_Name);
  Parsed.m_NotRun = Value["error"].contains("not_run") &&
                    Value["error"]["not_run"] == json(true);
  return Parsed;
}

void checkRefusal(const CallPtr &Self) {
  LoadRun &L = *Self->m_Load;
  ParsedRefusal Parsed = parseRefusal(Self->m_Received);
  CallResult Outcome;
  Outcome.m_Kind = "refused";
  Outcome.m_NotRun = Parsed.m_NotRun && !Self->m_MayHaveRun;
  if (Parsed.m_NotRun && Self->m_RetryCount < L.m_Options.m_Retries) {
    ++Self->m_RetryCount;
    sendCall(Self);
    return;
  }
  ++L.m_Result.m_Refused[Parsed.m_Name];
  endCall(Self, Outcome);
}

/// Counts a complete answer, its cached tokens and those that could have been
/// reused.
void countCompleteAnswer(const Call &Ended, const ParsedStream &Parsed) {
  LoadRun &L = *Ended.m_Load;
  LoadResult &R = L.m_Result;
  Chat &C = L.m_Chats[Ended.m_Chat];
  ReuseCount Answer;
  Answer.m_Turns = 1;
  Answer.m_PromptTokens = Parsed.m_PromptTokens;
  Answer.m_CachedTokens = Parsed.m_CachedTokens;
  Answer.m_ReusableTokens = std::min(C.m_StoredTokens, Parsed.m_PromptTokens);
  C.m_StoredTokens = Parsed.m_PromptTokens + Parsed.m_CompletionTokens;
  const char *Field = soup_message_headers_get_one(
      soup_message_get_response_headers(Ended.m_Message), "X-Placement");
  std::string Placement = Field ? Field : "none";
  std::string Last = C.m_Turn > 0 ? C.m_LastTarget : "";
  C.m_LastTarget = placementTarget(Placement);
  if (Ended.m_SentUs - L.m_StartUs <
      static_cast<gint64>(L.m_Options.m_WarmUpSeconds * 1e6))
    return;
  ++R.m_ByPlacement[Placement];
  addReuse(R.m_All, Answer);
  if (C.m_Turn > 0) {
    addReuse(R.m_Returning, Answer);
    addReuse(R.m_ByReason[placementReason(Placement)], Answer);
    if (Last != C.m_LastTarget)
      addReuse(R.m_MovedFrom[Last], Answer);
  }
  R.m_FirstEventMs.push_back(
      static_cast<double>(Ended.m_FirstUs - Ended.m_SentUs) / 1000);
}

void checkAnswer(const CallPtr &Self) {
  LoadRun &L = *Self->m_Load;
  LoadResult &R = L.m_Result;
  if (soup_message_get_status(Self->m_Message) != SOUP_STATUS_OK) {
    checkRefusal(Self);
    return;
  }
  ParsedStream Parsed = parseStream(Self->m_Received);
  std::string Expected = answerText(Self->m_Expected);
  if (Parsed.m_Done && Parsed.m_Text == Expected) {
    ++R.m_Complete;
    countCompleteAnswer(*Self, Parsed);
    CallResult Outcome;
    Outcome.m_Complete = true;
    endCall(Self, Outcome);
    return;
  }
  bool Prefix = Expected.compare(0, Parsed.m_Text.size(), Parsed.m_Text) == 0;
  if (!Prefix)
    ++R.m_Wrong;
  else if (Parsed.m_Error)
    ++R.m_ExplicitErrors;
  else
    ++R.m_Lost;
  CallResult Outcome;
  Outcome.m_Kind = Parsed.m_Error ? "refused" : "answer";
  Outcome.m_IsPrefix = Prefix;
  endCall(Self, Outcome);
}

void releaseCall(const CallPtr &Self) {
  g_clear_object(&Self->m_Stream);
  g_clear_object(&Self->m_Message);
}

void failCall(const CallPtr &Self) {
  ++Self->m_Load->m_Result.m_Lost;
  CallResult Outcome;
  Outcome.m_Kind = "nothing";
  endCall(Self, Outcome);
}

void readMore(const CallPtr &Self);

void onRead(GObject *Source, GAsyncResult *Result, gpointer Data) {
  std::unique_ptr<CallPtr> Held(static_cast<CallPtr *>(Data));
  CallPtr Self = *Held;
  GError *Fault = nullptr;
  gssize Count =
      g_input_stream_read_finish(G_INPUT_STREAM(Source), Result, &Fault);
  if (Count > 0) {
    if (Self->m_FirstUs == 0)
      Self->m_FirstUs = g_get_monotonic_time();
    Self->m_Received.append(Self->m_Buffer.data(),
                            static_cast<std::size_t>(Count));
    readMore(Self);
    return;
  }
  g_clear_error(&Fault);
  checkAnswer(Self);
  if (Self->m_Stream == G_INPUT_STREAM(Source))
    releaseCall(Self);
}

void readMore(const CallPtr &Self) {
  g_input_stream_read_async(Self->m_Stream, Self->m_Buffer.data(),
                            Self->m_Buffer.size(), G_PRIORITY_DEFAULT, nullptr,
                            &onRead, new CallPtr(Self));
}

void onSent(GObject *Source, GAsyncResult *Result, gpointer Data) {
  std::unique_ptr<CallPtr> Held(static_cast<CallPtr *>(Data));
  CallPtr Self = *Held;
  GError *Fault = nullptr;
  Self->m_Stream =
      soup_session_send_finish(SOUP_SESSION(Source), Result, &Fault);
  if (!Self->m_Stream) {
    g_clear_error(&Fault);
    if (Self->m_RetryCount < Self->m_Load->m_Options.m_Retries) {
      ++Self->m_RetryCount;
      Self->m_MayHaveRun = true;
      sendCall(Self);
      return;
    }
    failCall(Self);
    releaseCall(Self);
    return;
  }
  readMore(Self);
}

void sendCall(const CallPtr &Self) {
  LoadRun &L = *Self->m_Load;
  releaseCall(Self);
  Self->m_Received.clear();
  const std::string &Router =
      L.m_Options.m_Routers[L.m_NextRequest++ % L.m_Options.m_Routers.size()];
  Self->m_Router = Router;
  Self->m_Message =
      soup_message_new("POST", (Router + "/v1/chat/completions").c_str());
  SoupMessageHeaders *Headers =
      soup_message_get_request_headers(Self->m_Message);
  soup_message_headers_append(Headers, "Authorization",
                              ("Bearer " + L.m_Options.m_ApiKey).c_str());
  soup_message_headers_append(Headers, "X-Chat-Id",
                              L.m_Chats[Self->m_Chat].m_Id.c_str());
  soup_message_headers_append(Headers, "X-Request-Id",
                              Self->m_RequestId.c_str());
  soup_message_headers_append(Headers, "X-Priority", Self->m_Priority.c_str());
  GBytes *Body = g_bytes_new(Self->m_Body.data(), Self->m_Body.size());
  soup_message_set_request_body_from_bytes(Self->m_Message, "application/json",
                                           Body);
  g_bytes_unref(Body);
  soup_session_send_async(L.m_Session, Self->m_Message, G_PRIORITY_DEFAULT,
                          nullptr, &onSent, new CallPtr(Self));
}

bool mayBegin(const LoadRun &L, std::size_t Index) {
  const Chat &C = L.m_Chats[Index];
  gint64 Pause = static_cast<gint64>(L.m_Options.m_MinPauseSeconds * 1e6);
  return !C.m_Busy &&
         (C.m_Turn == 0 || g_get_monotonic_time() - C.m_EndedUs >= Pause);
}

void startCall(LoadRun &L) {
  std::size_t Index = L.m_Random() % L.m_Chats.size();
  for (std::size_t I = 0; I < L.m_Chats.size() && !mayBegin(L, Index); ++I)
    Index = (Index + 1) % L.m_Chats.size();
  if (!mayBegin(L, Index))
    return;
  Chat &C = L.m_Chats[Index];
  C.m_Busy = true;
  C.m_Messages.push_back(
      {{"role", "user"},
       {"content", "question " + std::to_string(L.m_Random()) + " of " +
                       C.m_Id + std::string(400, 'x')}});
  json Body = {{"model", L.m_Options.m_Model},
               {"messages", C.m_Messages},
               {"stream", true},
               {"max_tokens", L.m_Options.m_MaxTokens}};
  CallPtr Self = std::make_shared<Call>();
  Self->m_Load = &L;
  Self->m_Chat = Index;
  Self->m_RequestId = "load-" + std::to_string(L.m_Random());
  // Engines record this id, because the router may send them another request
  // id.
  Body["user"] = Self->m_RequestId;
  Self->m_Body = Body.dump();
  std::bernoulli_distribution IsBatch(L.m_Options.m_BatchShare);
  Self->m_Priority = IsBatch(L.m_Random) ? "batch" : "latency";
  Self->m_Expected = expectedAnswer(Body);
  Self->m_SentUs = g_get_monotonic_time();
  ++L.m_Result.m_Sent;
  ++L.m_Running;
  sendCall(Self);
}

gboolean onStartTimer(gpointer Data) {
  LoadRun &L = *static_cast<LoadRun *>(Data);
  double Elapsed =
      static_cast<double>(g_get_monotonic_time() - L.m_StartUs) / 1e6;
  if (Elapsed >= L.m_Options.m_Seconds) {
    L.m_Ended = true;
    if (L.m_Running == 0)
      g_main_loop_quit(L.m_Loop);
    return G_SOURCE_REMOVE;
  }
  double Due = Elapsed * L.m_Options.m_RequestsPerSecond;
  while (static_cast<double>(L.m_Result.m_Sent) < Due) {
    std::uint64_t Before = L.m_Result.m_Sent;
    startCall(L);
    if (L.m_Result.m_Sent == Before)
      break;
  }
  return G_SOURCE_CONTINUE;
}

/// Samples the engines' loads; samples without any load are ignored.
gboolean onSampleTimer(gpointer Data) {
  LoadRun &L = *static_cast<LoadRun *>(Data);
  gint64 From = static_cast<gint64>(L.m_Options.m_WarmUpSeconds * 1e6);
  if (L.m_Ended)
    return G_SOURCE_REMOVE;
  if (L.m_Sampling || g_get_monotonic_time() - L.m_StartUs < From)
    return G_SOURCE_CONTINUE;
  L.m_Sampling = true;
  sampleLoads(L.m_Session, L.m_Options.m_Engines,
              [&L](const std::vector<double> &Loads) {
                L.m_Sampling = false;
                double Sum = std::accumulate(Loads.begin(), Loads.end(), 0.0);
                if (L.m_Ended || Sum == 0)
                  return;
                double Mean = Sum / static_cast<double>(Loads.size());
                L.m_Result.m_MeanLoads.push_back(Mean);
                L.m_Result.m_Skews.push_back(
                    *std::max_element(Loads.begin(), Loads.end()) / Mean);
              });
  return G_SOURCE_CONTINUE;
}

} // namespace

int runLoad(const LoadOptions &Options) {
  LoadRun L;
  L.m_Options = Options;
  L.m_Random.seed(Options.m_Seed);
  for (std::uint32_t I = 0; I < Options.m_Chats; ++I) {
    L.m_Chats.emplace_back();
    L.m_Chats.back().m_Id = "chat-" + std::to_string(L.m_Random());
  }
  if (!Options.m_History.empty())
    L.m_History.open(Options.m_History);
  L.m_Session = soup_session_new_with_options(
      "max-conns", MaxConnections, "max-conns-per-host", MaxConnections,
      "timeout", 0u, nullptr);
  L.m_Loop = g_main_loop_new(nullptr, FALSE);
  L.m_StartUs = g_get_monotonic_time();
  g_timeout_add(1, &onStartTimer, &L);
  if (!Options.m_Engines.empty())
    g_timeout_add(SampleMs, &onSampleTimer, &L);
  g_main_loop_run(L.m_Loop);
  std::cout << resultText(L.m_Result) << "\n";
  g_object_unref(L.m_Session);
  g_main_loop_unref(L.m_Loop);
  return L.m_Result.m_Lost + L.m_Result.m_Wrong == 0 ? 0 : 1;
}

} // namespace vanillaferry::standin
