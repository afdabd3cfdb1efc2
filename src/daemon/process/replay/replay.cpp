#include "process/replay/replay.hpp"

#include <algorithm>
#include <random>

namespace vanillaferry {

namespace {

constexpr Millis Tick{20};
constexpr Millis SampleInterval{1000};
/// Time after the trace in which running requests may finish.
constexpr Millis DrainTime{900000};

struct Run {
  World m_World;
  std::optional<Fleet> m_Fleet;
  ReplayPolicy m_Policy = ReplayPolicy::Vanillaferry;
  std::vector<std::uint32_t> m_Reported;
  Millis m_NextTick;
  Millis m_NextSample;
};

void dispatchDirectly(Run &State, std::uint32_t Index) {
  World &W = State.m_World;
  std::uint32_t Engine = pickEngine(W, State.m_Policy, State.m_Reported, Index);
  if (Engine >= W.m_Engines.size()) {
    ++W.m_Measures.m_Refused[RefusalReason::NoTargetInService];
    return;
  }
  bool Cold = trueLimit(W.m_Engines[Engine], W.m_Now) <
              W.m_Engines[Engine].m_Settings.m_MaxConcurrent;
  startAtEngine(W, Index, Engine, Cold);
}

/// Trace events for the policies that have no fleet: all see them at once.
void applyDirectly(Run &State, const TraceEvent &Event) {
  World &W = State.m_World;
  EngineModel *Engine = Event.m_Index < W.m_Engines.size()
                            ? &W.m_Engines[Event.m_Index]
                            : nullptr;
  switch (Event.m_Kind) {
  case TraceEventKind::EngineRestart:
    if (!Engine->m_Up)
      return;
    for (std::uint32_t Broken : crashEngine(W, Event.m_Index))
      dispatchDirectly(State, Broken);
    scheduleEvent(W, {W.m_Now + Event.m_For, 0, WorldEventKind::EngineUp,
                      Event.m_Index, 0});
    return;
  case TraceEventKind::EngineCold:
    Engine->m_ColdSince = W.m_Now;
    return clearPrefixes(Engine->m_Cache);
  case TraceEventKind::VmLeave:
    Engine->m_OutSince = W.m_Now;
    Engine->m_Counted = false;
    return;
  case TraceEventKind::ZoneOut:
  case TraceEventKind::ZoneIn:
    for (EngineModel &Each : W.m_Engines) {
      if (Each.m_Settings.m_Zone.m_Value != W.m_Trace->m_Zones[Event.m_Index])
        continue;
      Each.m_Counted = Event.m_Kind == TraceEventKind::ZoneIn;
      Each.m_OutSince =
          Each.m_Counted ? std::nullopt : std::optional<Millis>(W.m_Now);
    }
    return;
  default:
    return;
  }
}

void handleEvent(Run &State, const WorldEvent &Event) {
  World &W = State.m_World;
  switch (Event.m_Kind) {
  case WorldEventKind::Arrive:
    return State.m_Fleet ? fleetArrive(*State.m_Fleet, Event.m_Index)
                         : dispatchDirectly(State, Event.m_Index);
  case WorldEventKind::FirstToken:
    if (State.m_Fleet &&
        W.m_Requests[Event.m_Index].m_Attempt == Event.m_Attempt)
      fleetFirstToken(*State.m_Fleet, Event.m_Index);
    return;
  case WorldEventKind::Finish: {
    const RequestState &Request = W.m_Requests[Event.m_Index];
    if (Request.m_Phase != RequestPhase::Running ||
        Request.m_Attempt != Event.m_Attempt)
      return;
    finishAtEngine(W, Event.m_Index);
    if (State.m_Fleet)
      fleetFinish(*State.m_Fleet, Event.m_Index);
    return;
  }
  case WorldEventKind::Trace: {
    const TraceEvent &Happened = W.m_Trace->m_Events[Event.m_Index];
    return State.m_Fleet ? fleetEvent(*State.m_Fleet, Happened)
                         : applyDirectly(State, Happened);
  }
  case WorldEventKind::EngineUp: {
    EngineModel &Engine = W.m_Engines[Event.m_Index];
    Engine.m_Up = true;
    ++Engine.m_Instance;
    Engine.m_ColdSince = W.m_Now;
    return;
  }
  }
}

void handleTicks(Run &State, Millis Until) {
  World &W = State.m_World;
  while (State.m_NextTick <= Until) {
    W.m_Now = State.m_NextTick;
    State.m_NextTick = State.m_NextTick + Tick;
    if (State.m_Fleet)
      fleetTick(*State.m_Fleet);
    if (W.m_Now < State.m_NextSample)
      continue;
    State.m_NextSample = W.m_Now + SampleInterval;
    if (W.m_Now <= W.m_Trace->m_Duration)
      sampleLoads(W);
    for (std::size_t I = 0; I < W.m_Engines.size(); ++I)
      State.m_Reported[I] = W.m_Engines[I].m_Running;
  }
}

bool somethingWaits(const World &State) {
  return std::any_of(State.m_Requests.begin(), State.m_Requests.end(),
                     [](const RequestState &Request) {
                       return Request.m_Phase == RequestPhase::Waiting;
                     });
}

std::uint32_t pickHolder(const World &State, const TraceRequest &Asked) {
  std::uint32_t Limit = exactLimit(State);
  std::uint64_t Chat = chatKey(Asked.m_Chat);
  std::uint32_t Holder = static_cast<std::uint32_t>(State.m_Engines.size());
  std::uint32_t Least = Holder;
  for (std::uint32_t I = 0; I < State.m_Engines.size(); ++I) {
    const EngineModel &Engine = State.m_Engines[I];
    if (!Engine.m_Up || Engine.m_OutSince)
      continue;
    std::uint32_t Load = Engine.m_Running;
    bool Fits = Load < trueLimit(Engine, State.m_Now);
    if (Fits && (Least == State.m_Engines.size() ||
                 Load < State.m_Engines[Least].m_Running))
      Least = I;
    if (Fits && Load < Limit && heldTokens(Engine.m_Cache, Chat).m_Value > 0 &&
        (Holder == State.m_Engines.size() ||
         Load < State.m_Engines[Holder].m_Running))
      Holder = I;
  }
  return Holder < State.m_Engines.size() ? Holder : Least;
}

} // namespace

std::uint32_t pickEngine(World &State, ReplayPolicy Policy,
                         const std::vector<std::uint32_t> &Reported,
                         std::uint32_t Index) {
  const TraceRequest &Asked = State.m_Trace->m_Requests[Index];
  if (Policy == ReplayPolicy::Oracle)
    return pickHolder(State, Asked);
  std::vector<std::uint32_t> Open;
  for (std::uint32_t I = 0; I < State.m_Engines.size(); ++I)
    if (State.m_Engines[I].m_Up && !State.m_Engines[I].m_OutSince)
      Open.push_back(I);
  if (Open.empty())
    return static_cast<std::uint32_t>(State.m_Engines.size());
  std::mt19937_64 Random(State.m_Trace->m_Seed * 1000003 + Index);
  if (Policy == ReplayPolicy::Random)
    return Open[Random() % Open.size()];
  if (Policy == ReplayPolicy::LeastReported) {
    std::shuffle(Open.begin(), Open.end(), Random);
    return *std::min_element(Open.begin(), Open.end(),
                             [&Reported](std::uint32_t A, std::uint32_t B) {
                               return Reported[A] < Reported[B];
                             });
  }
  PoolView View;
  for (std::uint32_t I : Open)
    View.m_Targets.push_back(PoolTarget{
        {}, hashChat(ChatId(State.m_Engines[I].m_Settings.m_Id.m_Value))});
  return Open[rankTargets(View, chatKey(Asked.m_Chat), 1).front()];
}

Measures replayTrace(const Trace &Recorded, ReplayPolicy Policy, double Bound,
                     const FleetOptions &Options, bool WithoutSurge) {
  Run State;
  State.m_World = makeWorld(Recorded, Bound, WithoutSurge);
  State.m_Policy = Policy;
  State.m_Reported.resize(Recorded.m_Engines.size());
  if (Policy == ReplayPolicy::Vanillaferry)
    State.m_Fleet = makeFleet(State.m_World, Options);
  World &W = State.m_World;
  Millis Stop = Recorded.m_Duration + DrainTime;
  while (W.m_Now < Stop && (!W.m_Events.empty() || somethingWaits(W))) {
    if (W.m_Events.empty()) {
      handleTicks(State, W.m_Now + SampleInterval);
      continue;
    }
    WorldEvent Next = W.m_Events.top();
    W.m_Events.pop();
    handleTicks(State, Next.m_At);
    W.m_Now = Next.m_At;
    handleEvent(State, Next);
  }
  // What still waits or runs after the drain time has lost its answer.
  for (const RequestState &Request : W.m_Requests)
    if (Request.m_Phase == RequestPhase::Waiting ||
        Request.m_Phase == RequestPhase::Running)
      ++W.m_Measures.m_Lost;
  return std::move(W.m_Measures);
}

} // namespace vanillaferry
