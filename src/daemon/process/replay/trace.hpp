#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/result.hpp"
#include "vanillaferry/version/pool.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace vanillaferry {

/// One request of a trace (docs/traces.md). Neither bodies nor keys.
struct TraceRequest {
  Millis m_At;
  std::uint32_t m_Chat = 0;
  std::uint32_t m_Account = 0;
  Priority m_Priority = Priority::Latency;
  /// Tokens that earlier turns of the chat left, part of m_Prompt.
  Tokens m_Prefix;
  Tokens m_Prompt;
  Tokens m_Answer;
  Millis m_Deadline;
  /// Entry router by index, modulo those that are ready.
  std::uint32_t m_Entry = 0;
  /// Part of an account's surge above its share.
  bool m_Surge = false;
};

enum class TraceEventKind : std::uint8_t {
  EngineRestart,
  /// The engine loses its warmth and cache without a new identity.
  EngineCold,
  VmLeave,
  ZoneOut,
  ZoneIn,
  RouterJoin,
  RouterFreeze,
  RouterLeave,
};

struct TraceEvent {
  Millis m_At;
  TraceEventKind m_Kind = TraceEventKind::EngineRestart;
  /// Index of the engine, zone or router.
  std::uint32_t m_Index = 0;
  /// Time without service, where it applies.
  Millis m_For;
};

struct TraceAccount {
  std::string m_Id;
  std::uint32_t m_MaxConcurrent = 0;
  double m_RequestsPerSecond = 0;
  std::uint32_t m_Weight = 1;
};

struct Trace {
  std::string m_Deployment;
  std::uint64_t m_Seed = 0;
  /// What is measured starts after this time.
  Millis m_Warmup;
  Millis m_Duration;
  std::vector<std::string> m_Zones;
  std::vector<TargetSettings> m_Engines;
  std::vector<TraceAccount> m_Accounts;
  std::uint32_t m_Routers = 0;
  /// Largest lag of a router's view of the VM list.
  Millis m_ListLag{3000};
  std::vector<TraceRequest> m_Requests;
  std::vector<TraceEvent> m_Events;
};

/// What a generated trace contains besides steady load.
struct TraceOptions {
  std::string m_Deployment = "board";
  std::uint64_t m_Seed = 1;
  std::uint32_t m_Engines = 0;
  std::uint32_t m_Routers = 0;
  double m_Minutes = 0;
  double m_MeanLoad = 8;
  bool m_Auction = false;
  bool m_Surge = false;
  bool m_Flaps = false;
  bool m_Restarts = false;
  bool m_ZoneMove = false;
  bool m_RouterChurn = false;
};

Trace generateTrace(const TraceOptions &Options);
void writeTrace(std::ostream &Out, const Trace &Recorded);
Result<Trace> readTrace(std::istream &In);

const char *traceEventName(TraceEventKind Kind);

} // namespace vanillaferry
