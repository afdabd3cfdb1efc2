#include "process/replay/world.hpp"

#include "vanillaferry/request/placement.hpp"

#include <algorithm>
#include <cmath>

namespace vanillaferry {

namespace {

constexpr double FirstTokenMillis = 200;
constexpr double MillisPerPromptToken = 0.1;
constexpr double MillisPerAnswerToken = 42;
/// First-token times of a cold engine, as a multiple, and the time in which
/// the multiple halves and the engine's limit doubles.
constexpr double ColdSlowdown = 8;
constexpr double WarmStepMillis = 10000;

double coldSteps(const EngineModel &Engine, Millis Now) {
  return static_cast<double>((Now - Engine.m_ColdSince).m_Value) /
         WarmStepMillis;
}

double slowdown(const EngineModel &Engine, Millis Now) {
  return std::max(1.0, ColdSlowdown * std::exp2(-coldSteps(Engine, Now)));
}

void measureStart(World &State, const TraceRequest &Asked,
                  const EngineModel &Engine, Tokens Held, bool KnownCold,
                  bool First) {
  Measures &Counts = State.m_Measures;
  ++Counts.m_Dispatched;
  if (Engine.m_Running + 1 > exactLimit(State))
    ++Counts.m_Violations;
  if (Engine.m_Running + 1 > trueLimit(Engine, State.m_Now))
    ++(KnownCold ? Counts.m_ColdViolations : Counts.m_ColdUnannounced);
  if (Engine.m_OutSince && State.m_Now - *Engine.m_OutSince > Millis(3000))
    ++Counts.m_AfterZoneOut;
  if (!First || State.m_Now < State.m_Trace->m_Warmup || Asked.m_Surge)
    return;
  Counts.m_PrefixTokens += static_cast<double>(Asked.m_Prefix.m_Value);
  Counts.m_ReusedTokens += static_cast<double>(Held.m_Value);
}

} // namespace

std::uint32_t trueLimit(const EngineModel &Engine, Millis Now) {
  double Steps = std::floor(coldSteps(Engine, Now));
  if (Steps > 20)
    return Engine.m_Settings.m_MaxConcurrent;
  return std::min<std::uint32_t>(Engine.m_Settings.m_MaxConcurrent,
                                 Engine.m_Settings.m_ColdLimit
                                     << static_cast<int>(Steps));
}

World makeWorld(const Trace &Recorded, double Bound, bool WithoutSurge) {
  World State;
  State.m_Trace = &Recorded;
  State.m_Bound = Bound;
  State.m_WithoutSurge = WithoutSurge;
  for (const TargetSettings &Settings : Recorded.m_Engines) {
    EngineModel Engine;
    Engine.m_Settings = Settings;
    Engine.m_Cache.m_Capacity = Settings.m_CacheTokens;
    State.m_Engines.push_back(std::move(Engine));
  }
  State.m_Requests.resize(Recorded.m_Requests.size());
  for (std::uint32_t I = 0; I < Recorded.m_Requests.size(); ++I) {
    const TraceRequest &Request = Recorded.m_Requests[I];
    if (Request.m_Surge) {
      if (State.m_SurgeStart.m_Value == 0)
        State.m_SurgeStart = Request.m_At;
      State.m_SurgeEnd = Request.m_At;
    }
    if (WithoutSurge && Request.m_Surge)
      continue;
    scheduleEvent(State, {Request.m_At, 0, WorldEventKind::Arrive, I, 0});
  }
  for (std::uint32_t I = 0; I < Recorded.m_Events.size(); ++I)
    scheduleEvent(State,
                  {Recorded.m_Events[I].m_At, 0, WorldEventKind::Trace, I, 0});
  return State;
}

void scheduleEvent(World &State, WorldEvent Event) {
  Event.m_Order = State.m_NextOrder++;
  State.m_Events.push(Event);
}

std::uint32_t countedLoad(const World &State) {
  std::uint32_t Load = 0;
  for (const EngineModel &Engine : State.m_Engines)
    if (Engine.m_Counted)
      Load += Engine.m_Running;
  return Load;
}

std::uint32_t countedEngines(const World &State) {
  return static_cast<std::uint32_t>(
      std::count_if(State.m_Engines.begin(), State.m_Engines.end(),
                    [](const EngineModel &E) { return E.m_Counted; }));
}

std::uint32_t exactLimit(const World &State) {
  double Mean = (countedLoad(State) + 1.0) /
                std::max<std::uint32_t>(1, countedEngines(State));
  return static_cast<std::uint32_t>(std::ceil(State.m_Bound * Mean - 1e-9));
}

void startAtEngine(World &State, std::uint32_t Index, std::uint32_t EngineIndex,
                   bool KnownCold) {
  const TraceRequest &Asked = State.m_Trace->m_Requests[Index];
  EngineModel &Engine = State.m_Engines[EngineIndex];
  RequestState &Request = State.m_Requests[Index];
  std::uint64_t Chat = chatKey(Asked.m_Chat);
  Tokens Held = std::min(Asked.m_Prefix, heldTokens(Engine.m_Cache, Chat),
                         [](Tokens A, Tokens B) { return A < B; });
  bool FirstTry = Request.m_Attempt == 0;
  measureStart(State, Asked, Engine, Held, KnownCold, FirstTry);
  if (FirstTry)
    Request.m_Left = Asked.m_Answer;
  double New = static_cast<double>((Asked.m_Prompt - Held).m_Value);
  double First = (FirstTokenMillis + MillisPerPromptToken * New) *
                 slowdown(Engine, State.m_Now);
  double Run = First + MillisPerAnswerToken *
                           static_cast<double>(Request.m_Left.m_Value);
  Request.m_Phase = RequestPhase::Running;
  Request.m_Engine = EngineIndex;
  ++Request.m_Attempt;
  Request.m_StartedAt = State.m_Now;
  Request.m_FirstToken = Millis(static_cast<std::int64_t>(First));
  if (Request.m_Attempt == 1 && Asked.m_At >= State.m_Trace->m_Warmup &&
      !Asked.m_Surge && Asked.m_Priority == Priority::Latency) {
    Millis Queued = State.m_Now - Asked.m_At;
    State.m_Measures.m_Queued.push_back(Queued.m_Value);
    State.m_Measures.m_FirstToken.push_back(
        (Queued + Request.m_FirstToken).m_Value);
  }
  if (Request.m_Attempt == 1 && State.m_SurgeEnd.m_Value > 0 &&
      Asked.m_At >= State.m_SurgeStart && Asked.m_At <= State.m_SurgeEnd &&
      Asked.m_Account + 1 != State.m_Trace->m_Accounts.size()) {
    Millis Queued = State.m_Now - Asked.m_At;
    State.m_Measures.m_OthersQueued.push_back(Queued.m_Value);
    State.m_Measures.m_OthersFirstToken.push_back(
        (Queued + Request.m_FirstToken).m_Value);
  }
  ++Engine.m_Running;
  Engine.m_Requests.insert(Index);
  recordChat(Engine.m_Cache, Chat, Asked.m_Prompt);
  scheduleEvent(State, {State.m_Now + Request.m_FirstToken, 0,
                        WorldEventKind::FirstToken, Index, Request.m_Attempt});
  scheduleEvent(State, {State.m_Now + Millis(static_cast<std::int64_t>(Run)), 0,
                        WorldEventKind::Finish, Index, Request.m_Attempt});
}

void finishAtEngine(World &State, std::uint32_t Index) {
  RequestState &Request = State.m_Requests[Index];
  const TraceRequest &Asked = State.m_Trace->m_Requests[Index];
  EngineModel &Engine = State.m_Engines[Request.m_Engine];
  --Engine.m_Running;
  Engine.m_Requests.erase(Index);
  recordChat(Engine.m_Cache, chatKey(Asked.m_Chat),
             Asked.m_Prompt + Asked.m_Answer);
  Request.m_Phase = RequestPhase::Complete;
  ++State.m_Measures.m_Completed;
}

std::vector<std::uint32_t> crashEngine(World &State, std::uint32_t Index) {
  EngineModel &Engine = State.m_Engines[Index];
  std::vector<std::uint32_t> Broken(Engine.m_Requests.begin(),
                                    Engine.m_Requests.end());
  for (std::uint32_t Request : Broken) {
    RequestState &Each = State.m_Requests[Request];
    Each.m_Phase = RequestPhase::Waiting;
    // What was streamed stays with the caller; the rest is continued.
    double Streamed =
        static_cast<double>(
            (State.m_Now - Each.m_StartedAt - Each.m_FirstToken).m_Value) /
        MillisPerAnswerToken;
    std::int64_t Left = Each.m_Left.m_Value -
                        static_cast<std::int64_t>(std::max(0.0, Streamed));
    Each.m_Left = Tokens(std::max<std::int64_t>(1, Left));
  }
  Engine.m_Requests.clear();
  Engine.m_Running = 0;
  Engine.m_Up = false;
  clearPrefixes(Engine.m_Cache);
  return Broken;
}

void sampleLoads(World &State) {
  if (State.m_Now < State.m_Trace->m_Warmup)
    return;
  std::uint32_t Total = countedLoad(State);
  std::uint32_t Count = countedEngines(State);
  if (Total == 0 || Count == 0)
    return;
  double Mean = static_cast<double>(Total) / Count;
  double Limit = std::ceil(State.m_Bound * Mean - 1e-9);
  std::uint32_t Most = 0;
  for (const EngineModel &Engine : State.m_Engines) {
    if (!Engine.m_Counted)
      continue;
    Most = std::max(Most, Engine.m_Running);
    ++State.m_Measures.m_EngineSamples;
    if (Engine.m_Running > Limit)
      ++State.m_Measures.m_EngineSamplesAbove;
  }
  State.m_Measures.m_MaxOverMean.push_back(Most / Mean);
}

ChatId chatName(std::uint32_t Chat) {
  return ChatId("chat-" + std::to_string(Chat));
}

std::uint64_t chatKey(std::uint32_t Chat) { return hashChat(chatName(Chat)); }

} // namespace vanillaferry
