#include "engine_state.hpp"
#include "http_server.hpp"

#include <nlohmann/json.hpp>

namespace vanillaferry::standin {

namespace {

using nlohmann::json;

/// A pending import that waits for the source engine.
struct Import {
  EngineState &m_Engine;
  SoupServerMessage *m_Message = nullptr;
  std::string m_Key;
  json m_Exported;
};

void answerImport(const Import &One, int Status, const json &Body) {
  answerJson(One.m_Message, Status, Body);
  soup_server_message_unpause(One.m_Message);
  g_object_unref(One.m_Message);
}

/// Stores the exported prefix once the copy time has passed.
gboolean onCopied(gpointer Data) {
  std::unique_ptr<Import> One(static_cast<Import *>(Data));
  std::uint32_t Tokens = One->m_Exported.value("tokens", 0u);
  One->m_Engine.m_Cache.store(
      {One->m_Exported.value("prefix", std::uint64_t(0))}, Tokens, One->m_Key);
  ++One->m_Engine.m_Stats.m_Imported;
  answerImport(*One, 200, {{"held", true}, {"tokens", Tokens}});
  return G_SOURCE_REMOVE;
}

void onExported(GObject *Source, GAsyncResult *Result, gpointer Data) {
  std::unique_ptr<Import> One(static_cast<Import *>(Data));
  GBytes *Bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(Source), Result, nullptr);
  json Exported;
  if (Bytes) {
    gsize Size = 0;
    const char *Text =
        static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
    Exported = json::parse(std::string(Text ? Text : "", Size), nullptr, false);
    g_bytes_unref(Bytes);
  }
  if (Exported.is_object() && !Exported.value("held", true)) {
    answerImport(*One, 404, Exported);
    return;
  }
  if (!Exported.is_object() || !Exported.value("held", false)) {
    answerImport(*One, 502, refusal("the source engine exported no prefix"));
    return;
  }
  One->m_Exported = std::move(Exported);
  std::uint32_t CopyMs = One->m_Engine.m_Options.m_CopyMs;
  g_timeout_add(CopyMs, &onCopied, One.release());
}

/// Describes the cached prefix with the key in the body or, without a key, that
/// of its messages; "held" is false when it is not cached.
json findPrefix(const EngineState &Engine, const json &Body) {
  if (Body.contains("key")) {
    const StoredPrefix *Found =
        Engine.m_Cache.find(Body.value("key", std::string()));
    if (!Found)
      return {{"held", false}};
    return {{"held", true},
            {"prefix", Found->m_Prefix},
            {"tokens", Found->m_Tokens}};
  }
  std::uint64_t Prefix = prefixHashes(Body["messages"]).back();
  return {{"held", Engine.m_Cache.contains(Prefix)}, {"prefix", Prefix}};
}

/// The request's JSON body. Null when it has neither a key nor messages; the
/// request is then answered with 400.
json requestOf(SoupServerMessage *Message) {
  json Body = json::parse(requestBody(Message), nullptr, false);
  if (Body.is_object() && (Body.contains("key") || Body.contains("messages")))
    return Body;
  answerJson(Message, 400, refusal("key or messages required"));
  return json();
}

} // namespace

void handleKvExport(EngineState &Engine, SoupServerMessage *Message) {
  json Body = requestOf(Message);
  if (!Body.is_object())
    return;
  std::optional<std::uint32_t> &Left = Engine.m_Faults.m_ExportsLeft;
  json Held = findPrefix(Engine, Body);
  bool Known = Held.value("held", false);
  if (Left && *Left == 0) {
    dropConnection(Message);
    return;
  }
  if (Left && Known)
    --*Left;
  Engine.m_Stats.m_Exported += Known ? 1 : 0;
  answerJson(Message, Known ? 200 : 404, Held);
}

void handleKvImport(EngineState &Engine, SoupServerMessage *Message) {
  json Body = requestOf(Message);
  if (!Body.is_object())
    return;
  if (!Body.contains("source")) {
    if (Body.contains("messages"))
      Engine.m_Cache.store(prefixHashes(Body["messages"]),
                           promptTokens(Body["messages"]),
                           Body.value("key", std::string()));
    json Held = findPrefix(Engine, Body);
    answerJson(Message, Held.value("held", false) ? 200 : 404, Held);
    return;
  }
  std::string Url = Body.value("source", std::string()) + "/kv/export";
  SoupMessage *Export = soup_message_new("POST", Url.c_str());
  if (!Export) {
    answerJson(Message, 400, refusal("source is not a valid URL"));
    return;
  }
  std::string Key = Body.value("key", std::string());
  std::string Text = json({{"key", Key}}).dump();
  GBytes *Bytes = g_bytes_new(Text.data(), Text.size());
  soup_message_set_request_body_from_bytes(Export, "application/json", Bytes);
  g_bytes_unref(Bytes);
  g_object_ref(Message);
  soup_server_message_pause(Message);
  soup_session_send_and_read_async(Engine.m_Peers, Export, G_PRIORITY_DEFAULT,
                                   nullptr, &onExported,
                                   new Import{Engine, Message, Key, json()});
  g_object_unref(Export);
}

} // namespace vanillaferry::standin
