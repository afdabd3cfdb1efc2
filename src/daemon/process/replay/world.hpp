#pragma once

#include "process/replay/trace.hpp"
#include "vanillaferry/process/prefix_cache.hpp"
#include "vanillaferry/process/reason.hpp"

#include <map>
#include <queue>
#include <set>
#include <vector>

namespace vanillaferry {

/// Small deterministic model of one engine: run time and prefix cache.
struct EngineModel {
  TargetSettings m_Settings;
  bool m_Up = true;
  std::uint32_t m_Instance = 1;
  /// Last start without warmth; far in the past when warm.
  Millis m_ColdSince{-1000000000};
  std::uint32_t m_Running = 0;
  std::set<std::uint32_t> m_Requests;
  PrefixTable m_Cache;
  /// Counts in the mean: in service everywhere.
  bool m_Counted = true;
  /// When it was taken out of service; empty while in service.
  std::optional<Millis> m_OutSince;
};

/// Concurrent requests that the engine handles at its present warmth.
std::uint32_t trueLimit(const EngineModel &Engine, Millis Now);

enum class RequestPhase : std::uint8_t {
  Absent,
  Waiting,
  Running,
  Complete,
  Refused,
  Lost,
};

/// What became of one request of the trace.
struct RequestState {
  RequestPhase m_Phase = RequestPhase::Absent;
  std::uint32_t m_Engine = 0;
  std::uint32_t m_Attempt = 0;
  std::uint32_t m_Stage = 0;
  Millis m_StartedAt;
  Millis m_FirstToken;
  Tokens m_Left;
  std::uint32_t m_Entry = 0;
  std::uint32_t m_Owner = 0;
};

/// Counters of one replay.
struct Measures {
  double m_PrefixTokens = 0;
  double m_ReusedTokens = 0;
  std::uint64_t m_Violations = 0;
  std::uint64_t m_ColdViolations = 0;
  std::uint64_t m_ColdUnannounced = 0;
  std::uint64_t m_AfterZoneOut = 0;
  std::uint64_t m_Dispatched = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Lost = 0;
  /// Of accounts that do not surge.
  std::uint64_t m_RefusedOthers = 0;
  std::map<RefusalReason, std::uint64_t> m_Refused;
  std::uint64_t m_Hops = 0;
  std::uint64_t m_Retries = 0;
  std::uint64_t m_Waited = 0;
  double m_ControlBytes = 0;
  double m_RouterSeconds = 0;
  std::vector<double> m_MaxOverMean;
  std::uint64_t m_EngineSamples = 0;
  std::uint64_t m_EngineSamplesAbove = 0;
  /// Time to the first token of accounts that do not surge, while one does.
  std::vector<std::int64_t> m_OthersFirstToken;
  std::vector<std::int64_t> m_OthersQueued;
  /// Of all latency-critical requests after the warm-up.
  std::vector<std::int64_t> m_FirstToken;
  std::vector<std::int64_t> m_Queued;
  double m_MovedShare = 0;
  double m_MovedExcess = 0;
};

enum class WorldEventKind : std::uint8_t {
  Arrive,
  FirstToken,
  Finish,
  Trace,
  EngineUp,
};

struct WorldEvent {
  Millis m_At;
  std::uint64_t m_Order = 0;
  WorldEventKind m_Kind = WorldEventKind::Arrive;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Attempt = 0;
  bool operator<(const WorldEvent &Other) const {
    return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
  }
};

/// The modelled engines and all requests of one replay.
struct World {
  const Trace *m_Trace = nullptr;
  double m_Bound = 1.25;
  bool m_WithoutSurge = false;
  Millis m_Now;
  std::vector<EngineModel> m_Engines;
  std::vector<RequestState> m_Requests;
  std::priority_queue<WorldEvent> m_Events;
  std::uint64_t m_NextOrder = 0;
  Measures m_Measures;
  Millis m_SurgeStart;
  Millis m_SurgeEnd;
};

World makeWorld(const Trace &Recorded, double Bound, bool WithoutSurge);

void scheduleEvent(World &State, WorldEvent Event);

/// Requests running at engines that count, and the number of these engines.
std::uint32_t countedLoad(const World &State);
std::uint32_t countedEngines(const World &State);

/// Largest load that the bound allows now, from the exact mean that includes
/// one more request.
std::uint32_t exactLimit(const World &State);

/// Dispatches a request, measures it and schedules its end. The engine must be
/// up. ColdLimit is what the owner believes, when it knows of the cold start.
void startAtEngine(World &State, std::uint32_t Request, std::uint32_t Engine,
                   bool KnownCold);

/// Takes a finished request off its engine and caches its chat.
void finishAtEngine(World &State, std::uint32_t Request);

/// Stops an engine; returns the requests that were running there.
std::vector<std::uint32_t> crashEngine(World &State, std::uint32_t Engine);

/// Samples loads for the skew figures.
void sampleLoads(World &State);

std::uint64_t chatKey(std::uint32_t Chat);
ChatId chatName(std::uint32_t Chat);

} // namespace vanillaferry
