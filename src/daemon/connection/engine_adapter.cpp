#include "connection/engine_adapter.hpp"

#include "vanillaferry/request/placement.hpp"

#include <charconv>
#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace vanillaferry {

namespace {

using nlohmann::json;

constexpr std::size_t BytesPerToken = 4;
/// Events that a new owner learns from, about 17 KB.
constexpr std::uint64_t LearnedEvents = 256;
constexpr std::size_t CacheKeyLength = 16;
constexpr const char *DoneEvent = "data: [DONE]";

/// Length of the blank line that starts at this line end; 0 when the event
/// goes on.
std::size_t blankLineAt(const std::string &Text, std::size_t LineEnd) {
  if (LineEnd + 1 < Text.size() && Text[LineEnd + 1] == '\n')
    return 2;
  if (LineEnd + 2 < Text.size() && Text[LineEnd + 1] == '\r' &&
      Text[LineEnd + 2] == '\n')
    return 3;
  return 0;
}

/// Position behind the event that starts at From; npos when it is not whole.
std::size_t eventEnd(const std::string &Text, std::size_t From) {
  for (std::size_t At = Text.find('\n', From); At != std::string::npos;
       At = Text.find('\n', At + 1))
    if (std::size_t Length = blankLineAt(Text, At))
      return At + Length;
  return std::string::npos;
}

void appendText(std::string &Text, const json &Event) {
  if (!Event.is_object() || !Event.contains("choices") ||
      !Event["choices"].is_array())
    return;
  for (const json &Choice : Event["choices"])
    if (Choice.is_object() && Choice.contains("delta") &&
        Choice["delta"].is_object() && Choice["delta"].contains("content") &&
        Choice["delta"]["content"].is_string())
      Text += Choice["delta"]["content"].get<std::string>();
}

/// Hash up to the first user message, which follow-ups leave unchanged.
std::string hashFirstMessages(const json &Messages) {
  std::uint64_t Hash = 0;
  for (const json &Message : Messages) {
    std::string Text =
        Message.dump(-1, ' ', false, json::error_handler_t::replace);
    Hash = XXH3_64bits_withSeed(Text.data(), Text.size(), Hash);
    if (Message.is_object() && Message.contains("role") &&
        Message["role"] == "user")
      break;
  }
  char Name[24];
  std::snprintf(Name, sizeof Name, "h-%016llx",
                static_cast<unsigned long long>(Hash));
  return Name;
}

std::vector<PromptPart> partsOf(const json &Messages) {
  std::vector<PromptPart> Parts;
  for (const json &Message : Messages) {
    std::string Text =
        Message.dump(-1, ' ', false, json::error_handler_t::replace);
    char Name[24];
    std::snprintf(
        Name, sizeof Name, "m-%016llx",
        static_cast<unsigned long long>(XXH3_64bits(Text.data(), Text.size())));
    Parts.push_back({PromptPartId(Name), Tokens(static_cast<std::int64_t>(
                                             Text.size() / BytesPerToken))});
  }
  return Parts;
}

} // namespace

namespace {

std::optional<std::uint64_t> chatOfKey(const std::string &Key) {
  std::uint64_t Chat = 0;
  const char *End = Key.data() + Key.size();
  std::from_chars_result Parsed = std::from_chars(Key.data(), End, Chat, 16);
  if (Key.size() != CacheKeyLength || Parsed.ec != std::errc() ||
      Parsed.ptr != End)
    return std::nullopt;
  return Chat;
}

std::uint64_t numberOf(const json &Object, const char *Name) {
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : 0;
}

std::string stringOf(const json &Object, const char *Name) {
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

std::optional<CacheEvent> parseCacheEvent(const json &Value) {
  if (!Value.is_object())
    return std::nullopt;
  std::optional<std::uint64_t> Chat = chatOfKey(stringOf(Value, "key"));
  std::string Kind = stringOf(Value, "kind");
  if (!Chat || (Kind != "store" && Kind != "evict"))
    return std::nullopt;
  CacheEvent Event;
  Event.m_Number = numberOf(Value, "seq");
  Event.m_Kind =
      Kind == "store" ? CacheEventKind::Stored : CacheEventKind::Evicted;
  Event.m_Chat = *Chat;
  Event.m_Tokens = Tokens(static_cast<std::int64_t>(numberOf(Value, "tokens")));
  return Event;
}

} // namespace

Result<ChatBody> parseChatBody(const std::string &Body) {
  json Value = json::parse(Body, nullptr, false);
  if (!Value.is_object())
    return makeError(ErrorCode::Malformed, "the body is not a JSON object");
  if (!Value.contains("model") || !Value["model"].is_string())
    return makeError(ErrorCode::Malformed, "\"model\" is not a string");
  if (!Value.contains("messages") || !Value["messages"].is_array() ||
      Value["messages"].empty())
    return makeError(ErrorCode::Malformed,
                     "\"messages\" is not a list with members");
  if (Value.contains("stream") && !Value["stream"].is_boolean() &&
      !Value["stream"].is_null())
    return makeError(ErrorCode::Malformed, "\"stream\" is not a boolean");
  // The router sets this field itself when it continues a broken stream.
  if (Value.contains("continue_text"))
    return makeError(ErrorCode::Malformed, "\"continue_text\" is reserved");
  ChatBody Chat;
  Chat.m_Model = Value["model"].get<std::string>();
  Chat.m_Stream = Value.contains("stream") && Value["stream"] == true;
  Chat.m_PromptTokens =
      Tokens(static_cast<std::int64_t>(Body.size() / BytesPerToken));
  Chat.m_FirstMessages = ChatId(hashFirstMessages(Value["messages"]));
  Chat.m_Parts = partsOf(Value["messages"]);
  return Chat;
}

EventBatch takeBytes(EventSplitter &Splitter, const char *Data,
                     std::size_t Size) {
  EventBatch Batch;
  std::string &Text = Splitter.m_Partial;
  Text.append(Data, Size);
  std::size_t Whole = 0;
  std::size_t Last = 0;
  for (std::size_t End = eventEnd(Text, 0); End != std::string::npos;
       End = eventEnd(Text, End)) {
    Last = Whole;
    Whole = End;
    ++Batch.m_Count;
  }
  if (Batch.m_Count == 0)
    return Batch;
  Batch.m_Done = Text.compare(Last, std::strlen(DoneEvent), DoneEvent) == 0;
  if (Whole == Text.size()) {
    Batch.m_Data = std::move(Text);
    Text.clear();
  } else {
    Batch.m_Data = Text.substr(0, Whole);
    Text.erase(0, Whole);
  }
  return Batch;
}

std::string skipEvents(const std::string &Data, std::uint32_t Count) {
  std::size_t From = 0;
  for (; Count > 0 && From < Data.size(); --Count) {
    std::size_t End = eventEnd(Data, From);
    if (End == std::string::npos)
      return "";
    From = End;
  }
  return Data.substr(From);
}

std::string textOfEvents(const std::string &Events) {
  std::string Text;
  std::size_t From = 0;
  for (std::size_t End = eventEnd(Events, 0); End != std::string::npos;
       End = eventEnd(Events, From)) {
    std::size_t Start = Events.find("data:", From);
    if (Start != std::string::npos && Start < End)
      appendText(Text, json::parse(Events.substr(Start + 5, End - Start - 5),
                                   nullptr, false));
    From = End;
  }
  return Text;
}

std::string errorEvent(const std::string &RefusalText) {
  return "data: " + RefusalText + "\n\n";
}

std::string cacheKey(std::uint64_t Chat) {
  char Key[CacheKeyLength + 1];
  std::snprintf(Key, sizeof Key, "%016llx",
                static_cast<unsigned long long>(Chat));
  return Key;
}

std::string cacheEventsPath(std::uint64_t After) {
  std::string Path = "/cache/events?after=" + std::to_string(After);
  return Path + (After == 0 ? "&last=" + std::to_string(LearnedEvents)
                            : "&kind=evict");
}

std::optional<CacheAnswer> parseCacheEvents(const std::string &Text) {
  json Value = json::parse(Text, nullptr, false);
  if (!Value.is_object() || !Value.contains("instance") ||
      !Value["instance"].is_string() || !Value.contains("events") ||
      !Value["events"].is_array() || !Value.contains("next") ||
      !Value["next"].is_number_unsigned())
    return std::nullopt;
  CacheAnswer Answer;
  Answer.m_Instance = Value["instance"].get<std::string>();
  Answer.m_Next = Value["next"].get<std::uint64_t>();
  Answer.m_Lost = numberOf(Value, "lost");
  for (const json &One : Value["events"])
    if (std::optional<CacheEvent> Event = parseCacheEvent(One))
      Answer.m_Events.push_back(*Event);
  return Answer;
}

TargetRequest engineRequest(const std::string &Url, const Forward &Order,
                            std::optional<std::uint64_t> ResumeAt) {
  TargetRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = Url + "/v1/chat/completions";
  Request.m_ContentType = "application/json";
  Request.m_Fields.emplace_back("X-Request-Id", Order.m_Request.m_Value);
  Request.m_Fields.emplace_back("X-Cache-Key",
                                cacheKey(hashChat(Order.m_Chat)));
  Request.m_Fields.emplace_back(
      "X-Priority",
      Order.m_Priority == Priority::Latency ? "latency" : "batch");
  if (ResumeAt)
    Request.m_Fields.emplace_back("X-Resume-Offset", std::to_string(*ResumeAt));
  Request.m_Body = Order.m_Body;
  if (!Order.m_ResumeText.empty()) {
    json Body = json::parse(Order.m_Body, nullptr, false);
    if (Body.is_object()) {
      Body["continue_text"] = Order.m_ResumeText;
      Request.m_Body =
          Body.dump(-1, ' ', false, json::error_handler_t::replace);
    }
  }
  return Request;
}

TargetRequest engineCancel(const std::string &Url, const RequestId &Request) {
  TargetRequest Cancel;
  Cancel.m_Method = "POST";
  Cancel.m_Url = Url + "/v1/cancel";
  Cancel.m_ContentType = "application/json";
  Cancel.m_Body = json{{"request_id", Request.m_Value}}.dump();
  return Cancel;
}

TargetRequest engineImport(const std::string &Url, const std::string &Source,
                           std::uint64_t Chat) {
  TargetRequest Import;
  Import.m_Method = "POST";
  Import.m_Url = Url + "/kv/import";
  Import.m_ContentType = "application/json";
  Import.m_Body = json{{"source", Source}, {"key", cacheKey(Chat)}}.dump();
  return Import;
}

std::optional<Tokens> parseImported(const std::string &Text) {
  json Value = json::parse(Text, nullptr, false);
  if (!Value.is_object() || !Value.contains("held") || Value["held"] != true)
    return std::nullopt;
  return Tokens(static_cast<std::int64_t>(numberOf(Value, "tokens")));
}

bool statesNotRun(const std::string &Body) {
  json Value = json::parse(Body, nullptr, false);
  return Value.is_object() && Value.contains("error") &&
         Value["error"].is_object() && Value["error"].contains("not_run") &&
         Value["error"]["not_run"] == true;
}

bool isWholeJson(const std::string &Body) { return json::accept(Body); }

std::optional<LoadReport> parseLoadReport(const std::string &Text) {
  json Value = json::parse(Text, nullptr, false);
  if (!Value.is_object() || !Value.contains("instance") ||
      !Value["instance"].is_string() || !Value.contains("running") ||
      !Value["running"].is_number_unsigned())
    return std::nullopt;
  LoadReport Report;
  Report.m_Instance = Value["instance"].get<std::string>();
  Report.m_Running = Value["running"].get<std::uint32_t>();
  return Report;
}

} // namespace vanillaferry
