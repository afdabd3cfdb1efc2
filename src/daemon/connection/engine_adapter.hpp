#pragma once

#include "connection/target_client.hpp"
#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/prefix_cache.hpp"
#include "vanillaferry/process/result.hpp"
#include "vanillaferry/process/target_state.hpp"
#include "vanillaferry/request/prompt_part.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillaferry {

// The wire format of model engines: the published chat-completions format with
// server-sent events, and docs/standin.md for load, cancel and cache events.

/// What routing needs from the body of a chat request.
struct ChatBody {
  std::string m_Model;
  bool m_Stream = false;
  /// Estimated from the length of the messages.
  Tokens m_PromptTokens;
  /// Hash of the first messages, for chats without an id.
  ChatId m_FirstMessages;
  /// One part for each message.
  std::vector<PromptPart> m_Parts;
};

Result<ChatBody> parseChatBody(const std::string &Body);

/// Cuts a byte stream into whole events.
struct EventSplitter {
  std::string m_Partial;
};

/// Whole events that arrived together.
struct EventBatch {
  std::uint32_t m_Count = 0;
  std::string m_Data;
  /// The last event is "[DONE]".
  bool m_Done = false;
};

EventBatch takeBytes(EventSplitter &Splitter, const char *Data,
                     std::size_t Size);

/// The batch's data without its first events.
std::string skipEvents(const std::string &Data, std::uint32_t Count);

/// The generated text in these events.
std::string textOfEvents(const std::string &Events);

/// An event that tells the caller why its stream ends.
std::string errorEvent(const std::string &RefusalText);

/// The chat's name in X-Cache-Key, cache events and KV orders: its hash in 16
/// hexadecimal digits.
std::string cacheKey(std::uint64_t Chat);

/// A chat request for an engine. ResumeAt is the engine's own event offset of
/// a stream that it already generates.
TargetRequest engineRequest(const std::string &Url, const Forward &Order,
                            std::optional<std::uint64_t> ResumeAt);

/// Asks the engine to stop a stream.
TargetRequest engineCancel(const std::string &Url, const RequestId &Request);

/// True when an error body states that the request did not run.
bool statesNotRun(const std::string &Body);

/// True for a whole JSON document; an answer cut off between two chunks ends
/// like a complete one.
bool isWholeJson(const std::string &Body);

/// Path of GET /cache/events after an event; after none it asks for the last
/// events of all kinds, which a new owner learns from, later for evictions
/// only.
std::string cacheEventsPath(std::uint64_t After);

/// The answer to it; empty when malformed. Events without a key that the
/// router gave are left out.
std::optional<CacheAnswer> parseCacheEvents(const std::string &Text);

/// Orders an engine to copy a chat's KV cache from another engine.
TargetRequest engineImport(const std::string &Url, const std::string &Source,
                           std::uint64_t Chat);

/// Tokens that the answer to it says are held now; empty when none.
std::optional<Tokens> parseImported(const std::string &Text);

/// GET /load; empty when malformed.
std::optional<LoadReport> parseLoadReport(const std::string &Text);

} // namespace vanillaferry
