#pragma once

#include "answer.hpp"
#include "engine.hpp"
#include "prefix_lru.hpp"

#include <deque>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace vanillaferry::standin {

struct EngineState;

/// One answer that the engine generates; outlives the connections that read it.
struct Generation : std::enable_shared_from_this<Generation> {
  std::string m_RequestId;
  std::string m_Priority;
  ExpectedAnswer m_Answer;
  std::uint32_t m_FirstIndex = 0;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_CachedTokens = 0;
  /// Hashes of the prompt's messages and of the answer.
  std::vector<std::uint64_t> m_Prefixes;
  std::string m_CacheKey;
  gint64 m_StartUs = 0;
  gint64 m_FirstTokenUs = 0;
  bool m_Stream = true;
  /// The prompt contains the text that ends the engine.
  bool m_Crashes = false;
  bool m_Finished = false;
  bool m_Cancelled = false;
  /// Connection that reads the answer; a reference is held while connected.
  SoupServerMessage *m_Reader = nullptr;
  std::uint32_t m_NextEvent = 0;
  /// Set by a fault: nothing more is sent to this reader.
  bool m_Silent = false;
  gint64 m_DetachedUs = 0;
  gulong m_FinishedHandler = 0;
};

/// Faults that tests switch on through POST /fault.
struct EngineFaults {
  /// Close the connection after this many events, once for each request; 0
  /// for never.
  std::uint32_t m_CloseAfter = 0;
  /// Stop sending after this many events without closing.
  std::uint32_t m_SilentAfter = 0;
  /// Number of requests to which m_CloseAfter and m_SilentAfter apply.
  std::uint32_t m_Times = 0;
  /// Answer 404 to every resume.
  bool m_NoResume = false;
  /// Answer 503 to every new request, before running it.
  bool m_Refuse = false;
  /// Delay of the answer to an order that was run, in milliseconds.
  std::uint32_t m_OrderDelayMs = 0;
  /// Answer orders with this status without running them; 0 to run them.
  std::uint32_t m_OrderStatus = 0;
  /// Run orders and close the connection without an answer.
  bool m_OrderClose = false;
  /// Number of exports to answer; the connections of later ones are dropped.
  std::optional<std::uint32_t> m_ExportsLeft;
};

/// One request to POST /orders, including refused ones.
struct OrderArrival {
  std::string m_OrderId;
  std::uint64_t m_Token = 0;
  bool m_Ran = false;
  gint64 m_AtUnixMs = 0;
};

struct EngineStats {
  std::uint64_t m_Arrivals = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_Resumed = 0;
  std::uint64_t m_Continued = 0;
  std::uint64_t m_ColdOverloads = 0;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_CachedTokens = 0;
  std::uint64_t m_Exported = 0;
  std::uint64_t m_Imported = 0;
  std::uint32_t m_MaxRunning = 0;
  gint64 m_LastArrivalMs = 0;
};

struct LoadSample {
  gint64 m_AtUs = 0;
  std::uint32_t m_Running = 0;
};

struct EngineState {
  EngineOptions m_Options;
  std::string m_Instance;
  std::map<std::string, std::shared_ptr<Generation>> m_Generations;
  PrefixLru m_Cache{0};
  EngineFaults m_Faults;
  EngineStats m_Stats;
  std::uint32_t m_CompletedSinceCold = 0;
  std::uint64_t m_FencingToken = 0;
  std::deque<std::string> m_Orders;
  std::deque<OrderArrival> m_OrderArrivals;
  std::deque<LoadSample> m_Samples;
  /// Requests exports from other engines.
  SoupSession *m_Peers = nullptr;
  /// Number of runs of each request id since the start.
  std::map<std::string, std::uint32_t> m_Runs;
};

/// POST /kv/export and /kv/import.
void handleKvExport(EngineState &Engine, SoupServerMessage *Message);
void handleKvImport(EngineState &Engine, SoupServerMessage *Message);

std::uint32_t promptTokens(const nlohmann::json &Messages);
nlohmann::json refusal(const char *Text);
std::uint32_t runningCount(const EngineState &Engine);
/// Drops all generations and the cache, as a restart does.
void restartEngine(EngineState &Engine);
/// Sends every event that is due; called by a timer.
void advanceGenerations(EngineState &Engine);
/// Attaches a connection that reads events from this offset on.
void attachReader(EngineState &Engine, Generation &Work,
                  SoupServerMessage *Message, std::uint32_t Offset);
void detachReader(Generation &Work);

} // namespace vanillaferry::standin
