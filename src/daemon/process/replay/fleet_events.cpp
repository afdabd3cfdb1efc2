#include "process/replay/fleet.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// Time until views have settled after a loss: a lease, an epoch, a report.
constexpr Millis SettleTime{8000};

void editZone(Fleet &All, std::uint32_t Index, bool InService) {
  const std::string &Zone = All.m_World->m_Trace->m_Zones[Index];
  std::vector<ZoneSettings> Zones = std::prev(All.m_Zones.end())->second;
  Zones[Index].m_InService = InService;
  DocumentVersion Version = editZones(All.m_Leader, Zones);
  All.m_Zones[Version.m_Value] = Zones;
  All.m_Pending.push_back(PendingZoneEdit{Version, Zone, InService});
  for (EngineModel &Engine : All.m_World->m_Engines) {
    if (Engine.m_Settings.m_Zone.m_Value != Zone)
      continue;
    Engine.m_OutSince =
        InService ? std::nullopt : std::optional<Millis>(All.m_World->m_Now);
  }
}

/// True when the fleet's state leads a request of this chat to the engine.
bool canFind(const Fleet &All, std::uint32_t Chat, std::uint32_t EngineIndex) {
  const ReplayRouter *Entry = nullptr;
  for (const ReplayRouter &Router : All.m_Routers)
    if (!Entry && routerReady(All, Router))
      Entry = &Router;
  if (!Entry)
    return false;
  std::uint64_t Key = chatKey(Chat);
  std::vector<std::uint32_t> Top = rankTargets(Entry->m_Routed.m_View, Key, 1);
  if (Top.empty())
    return false;
  const NodeId &Home = Entry->m_Routed.m_Owners[Top.front()];
  const TargetId &Wanted = All.m_World->m_Engines[EngineIndex].m_Settings.m_Id;
  for (const ReplayRouter &Router : All.m_Routers) {
    if (Router.m_Id != Home)
      continue;
    auto It = Router.m_Pool.m_Targets.find(Wanted);
    if (It != Router.m_Pool.m_Targets.end())
      return It->second.m_Dispatchable &&
             heldTokens(It->second.m_Prefixes, Key).m_Value > 0;
    return redirectOf(Router.m_Pool.m_Redirects, Key) == Wanted;
  }
  return false;
}

/// True when the lost engine or router had a part in finding this chat.
bool carriedBy(const Fleet &All, std::uint32_t Chat, std::uint32_t EngineIndex,
               std::uint32_t LostEngine, const NodeId &LostRouter) {
  if (EngineIndex == LostEngine)
    return true;
  if (LostRouter.empty())
    return false;
  const RoutedPool &Routed = All.m_Routers.front().m_Routed;
  std::vector<std::uint32_t> Top = rankTargets(Routed.m_View, chatKey(Chat), 1);
  if (!Top.empty() && Routed.m_Owners[Top.front()] == LostRouter)
    return true;
  std::size_t At = findTarget(
      Routed.m_View, All.m_World->m_Engines[EngineIndex].m_Settings.m_Id);
  return At < Routed.m_Owners.size() && Routed.m_Owners[At] == LostRouter;
}

/// Copies the newest chats of a leaving engine to the next rank of each.
void exportChats(Fleet &All, std::uint32_t EngineIndex) {
  World &State = *All.m_World;
  EngineModel &From = State.m_Engines[EngineIndex];
  PoolView View =
      makePoolView(All.m_Settings, std::prev(All.m_Zones.end())->second,
                   VmView(), State.m_Now);
  View.m_Targets.erase(
      std::remove_if(View.m_Targets.begin(), View.m_Targets.end(),
                     [&From](const PoolTarget &Target) {
                       return Target.m_Settings.m_Id == From.m_Settings.m_Id;
                     }),
      View.m_Targets.end());
  for (std::uint64_t Chat : recentChats(From.m_Cache, All.m_Options.m_Export)) {
    std::vector<std::uint32_t> Top = rankTargets(View, Chat, 1);
    if (Top.empty())
      return;
    const TargetId &To = View.m_Targets[Top.front()].m_Settings.m_Id;
    Tokens Size = heldTokens(From.m_Cache, Chat);
    recordChat(State.m_Engines[All.m_EngineIndex.at(To.m_Value)].m_Cache, Chat,
               Size);
    for (ReplayRouter &Router : All.m_Routers) {
      auto It = Router.m_Pool.m_Targets.find(To);
      if (It != Router.m_Pool.m_Targets.end() && It->second.m_Dispatchable)
        recordChat(It->second.m_Prefixes, Chat, Size);
    }
  }
}

void restartEngine(Fleet &All, const TraceEvent &Event) {
  if (!All.m_World->m_Engines[Event.m_Index].m_Up)
    return;
  watchLoss(All, Event.m_Index, NodeId());
  fleetCrash(All, Event.m_Index);
  scheduleEvent(*All.m_World, {All.m_World->m_Now + Event.m_For, 0,
                               WorldEventKind::EngineUp, Event.m_Index, 0});
}

void leaveVm(Fleet &All, std::uint32_t Engine) {
  watchLoss(All, Engine, NodeId());
  All.m_VmLeaves.push_back({All.m_World->m_Now, Engine});
  All.m_World->m_Engines[Engine].m_OutSince = All.m_World->m_Now;
  exportChats(All, Engine);
}

} // namespace

void watchLoss(Fleet &All, std::uint32_t Engine, const NodeId &Router) {
  if (All.m_World->m_Now < All.m_World->m_Trace->m_Warmup)
    return;
  LossWatch Watch;
  Watch.m_CheckAt = All.m_World->m_Now + SettleTime;
  for (const std::pair<const std::uint32_t, std::uint32_t> &Pair :
       All.m_LastEngine) {
    if (!canFind(All, Pair.first, Pair.second))
      continue;
    Watch.m_Found.push_back(Pair.first);
    if (carriedBy(All, Pair.first, Pair.second, Engine, Router))
      ++Watch.m_Carried;
  }
  All.m_Watches.push_back(std::move(Watch));
}

void checkLosses(Fleet &All) {
  Measures &Counts = All.m_World->m_Measures;
  for (LossWatch &Watch : All.m_Watches) {
    if (Watch.m_CheckAt > All.m_World->m_Now || Watch.m_Found.empty())
      continue;
    std::size_t Moved = 0;
    for (std::uint32_t Chat : Watch.m_Found)
      if (!canFind(All, Chat, All.m_LastEngine[Chat]))
        ++Moved;
    double Total = static_cast<double>(Watch.m_Found.size());
    double Share = static_cast<double>(Moved) / Total;
    double Excess = Share - static_cast<double>(Watch.m_Carried) / Total;
    Counts.m_MovedShare = std::max(Counts.m_MovedShare, Share);
    Counts.m_MovedExcess = std::max(Counts.m_MovedExcess, Excess);
    Watch.m_Found.clear();
  }
}

void fleetEvent(Fleet &All, const TraceEvent &Event) {
  World &State = *All.m_World;
  switch (Event.m_Kind) {
  case TraceEventKind::EngineRestart:
    return restartEngine(All, Event);
  case TraceEventKind::EngineCold:
    State.m_Engines[Event.m_Index].m_ColdSince = State.m_Now;
    return clearPrefixes(State.m_Engines[Event.m_Index].m_Cache);
  case TraceEventKind::VmLeave:
    return leaveVm(All, Event.m_Index);
  case TraceEventKind::ZoneOut:
    editZone(All, Event.m_Index, false);
    for (std::uint32_t I = 0; I < State.m_Engines.size(); ++I)
      if (State.m_Engines[I].m_OutSince == State.m_Now)
        exportChats(All, I);
    return;
  case TraceEventKind::ZoneIn:
    return editZone(All, Event.m_Index, true);
  case TraceEventKind::RouterJoin:
    All.m_Routers[Event.m_Index].m_Joined = true;
    All.m_Routers[Event.m_Index].m_Lease.m_NextRenewal = State.m_Now;
    return;
  case TraceEventKind::RouterFreeze:
    watchLoss(All, static_cast<std::uint32_t>(State.m_Engines.size()),
              All.m_Routers[Event.m_Index].m_Id);
    All.m_Routers[Event.m_Index].m_FrozenUntil = State.m_Now + Event.m_For;
    return;
  case TraceEventKind::RouterLeave:
    watchLoss(All, static_cast<std::uint32_t>(State.m_Engines.size()),
              All.m_Routers[Event.m_Index].m_Id);
    All.m_Routers[Event.m_Index].m_Leaving = true;
    return;
  }
}

} // namespace vanillaferry
