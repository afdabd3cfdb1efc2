#include "process/replay/fleet.hpp"

#include "connection/message_codec.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

constexpr Millis MessageDelay{20};
/// As in the router.
constexpr Millis LoadSpacing{50};
constexpr Millis ReportDelay{500};
constexpr Millis ListInterval{1000};
constexpr Millis LeastPollInterval{1000};
/// At most four polls a second for each router.
constexpr Millis PollSpacing{250};
/// Request and answer of GET /load and /cache/events with their headers.
constexpr double PollBytes = 300;

Renew makeRenew(const Fleet &All, ReplayRouter &Router) {
  Renew Request;
  Request.m_Node = Router.m_Id;
  Request.m_Incarnation = Incarnation(1);
  Request.m_PeerUrl = "wss://10.0.0.1:7400/peer";
  Request.m_Zone = ZoneId("Bantala");
  Request.m_AckedEpoch = Router.m_Lease.m_Epoch;
  Request.m_AckedVersion = Router.m_Lease.m_Version;
  Request.m_AckedGrant = Router.m_Lease.m_AcceptedSequence;
  Request.m_Leaving = Router.m_Leaving;
  Request.m_Pools.push_back(
      PoolLoad{All.m_Settings.m_Id, ownerLoad(Router.m_Pool)});
  for (const std::pair<const TargetId, OwnedTarget> &Pair :
       Router.m_Pool.m_Targets)
    if (Pair.second.m_State.m_Running > 0)
      Request.m_Targets.push_back(
          TargetLoad{Pair.first, Pair.second.m_State.m_Running});
  Request.m_Accounts = accountDemand(Router.m_Accounts);
  addVmReport(Request, Router.m_Vms, All.m_World->m_Now);
  return Request;
}

void sendRenewal(Fleet &All, ReplayRouter &Router) {
  Millis Now = All.m_World->m_Now;
  Renew Request = makeRenew(All, Router);
  Request.m_Sequence = beginRenewal(Router.m_Lease, Now);
  std::uint32_t Own = Request.m_Pools.front().m_Running;
  GrantInFlight Answer;
  Answer.m_SentAt = Now;
  Answer.m_At = Now + MessageDelay;
  Answer.m_OwnReported = Own;
  double Bytes = static_cast<double>(encodeMessage(Request).size());
  std::optional<Grant> Granted = answerRenewal(All.m_Leader, Request, Now);
  noteReported(Router.m_Pool.m_Mean, Own, Now);
  if (!Granted)
    return;
  Answer.m_Grant = *Granted;
  Bytes += static_cast<double>(encodeMessage(Answer.m_Grant).size());
  All.m_World->m_Measures.m_ControlBytes += Bytes;
  Router.m_Grants.push_back(std::move(Answer));
}

void sendLoadUpdate(Fleet &All, ReplayRouter &Router) {
  Millis Now = All.m_World->m_Now;
  std::uint32_t Own = ownerLoad(Router.m_Pool);
  LoadUpdate Update;
  Update.m_Node = Router.m_Id;
  Update.m_Incarnation = Incarnation(1);
  Update.m_Sequence = Router.m_NextLoadUpdate++;
  Update.m_Pools.push_back(PoolLoad{All.m_Settings.m_Id, Own});
  Router.m_LastLoadUpdate = Now;
  Router.m_WantTotals = false;
  noteReported(Router.m_Pool.m_Mean, Own, Now);
  All.m_World->m_Measures.m_ControlBytes +=
      static_cast<double>(encodeMessage(Update).size());
  std::optional<LoadTotals> Answer =
      updateLoads(All.m_Leader.m_Table, Update, Now);
  if (!Answer)
    return;
  All.m_World->m_Measures.m_ControlBytes +=
      static_cast<double>(encodeMessage(*Answer).size());
  Router.m_Totals.push_back({Now + MessageDelay, Now, Own, std::move(*Answer)});
}

bool loadUpdateDue(const Fleet &All, const ReplayRouter &Router) {
  Millis Now = All.m_World->m_Now;
  if (Router.m_LastLoadUpdate + LoadSpacing > Now ||
      !leaseHolds(Router.m_Lease, Now))
    return false;
  return Router.m_WantTotals ||
         earlyReportDue(Router.m_Pool.m_Mean, ownerLoad(Router.m_Pool), Now);
}

void takeTotals(Fleet &All, ReplayRouter &Router) {
  while (!Router.m_Totals.empty() &&
         Router.m_Totals.front().m_At <= All.m_World->m_Now) {
    TotalsInFlight Taken = std::move(Router.m_Totals.front());
    Router.m_Totals.pop_front();
    for (const PoolTotal &Total : Taken.m_Answer.m_Totals)
      takePoolTotal(Router.m_Pool.m_Mean, Total, Taken.m_OwnReported,
                    Taken.m_SentAt);
  }
}

void takeGrants(Fleet &All, ReplayRouter &Router) {
  Millis Now = All.m_World->m_Now;
  while (!Router.m_Grants.empty() && Router.m_Grants.front().m_At <= Now) {
    GrantInFlight Taken = std::move(Router.m_Grants.front());
    Router.m_Grants.pop_front();
    const Grant &Granted = Taken.m_Grant;
    RouterLease Before = Router.m_Lease;
    if (!acceptGrant(Router.m_Lease, Granted, Now))
      continue;
    bool Changed = Granted.m_Epoch != Before.m_Epoch ||
                   Granted.m_Version != Before.m_Version ||
                   Granted.m_SafeEpoch != Before.m_SafeEpoch;
    if (!Granted.m_Members.empty())
      Router.m_Members = Membership{Granted.m_Epoch, Granted.m_Members};
    Router.m_Residual.clear();
    for (const TargetLoad &Load : Granted.m_Residual)
      Router.m_Residual[Load.m_Target] = Load.m_Running;
    bool VmsChanged = takeFleetVms(Router.m_Vms, Granted);
    if (vmReportPending(Router.m_Vms))
      Router.m_Lease.m_NextRenewal = Now;
    if (Changed || VmsChanged)
      rebuildViews(All, Router, Changed);
    for (std::pair<const TargetId, OwnedTarget> &Pair :
         Router.m_Pool.m_Targets) {
      auto It = Router.m_Residual.find(Pair.first);
      setResidual(Pair.second.m_State,
                  It == Router.m_Residual.end() ? 0 : It->second);
    }
    for (const PoolTotal &Total : Granted.m_Totals)
      takePoolTotal(Router.m_Pool.m_Mean, Total, Taken.m_OwnReported,
                    Taken.m_SentAt);
    applyShares(Router.m_Accounts, Granted.m_Shares);
  }
}

void pollTargets(Fleet &All, ReplayRouter &Router) {
  Millis Now = All.m_World->m_Now;
  if (Now < Router.m_NextPoll)
    return;
  std::size_t Owned = Router.m_Pool.m_Targets.size();
  Router.m_NextPoll =
      Now +
      std::max(LeastPollInterval,
               Millis(PollSpacing.m_Value * static_cast<std::int64_t>(Owned)),
               [](Millis A, Millis B) { return A < B; });
  for (const std::pair<const TargetId, OwnedTarget> &Pair :
       Router.m_Pool.m_Targets) {
    const EngineModel &Engine =
        All.m_World->m_Engines[All.m_EngineIndex.at(Pair.first.m_Value)];
    All.m_World->m_Measures.m_ControlBytes += PollBytes;
    if (!Engine.m_Up)
      continue;
    LoadReport Report;
    Report.m_Instance = std::to_string(Engine.m_Instance);
    Report.m_Running = Engine.m_Running;
    Report.m_ReadAt = Now;
    Report.m_OwnRunningThen = Pair.second.m_State.m_Running;
    Router.m_Reports.push_back(
        ReportInFlight{Now + ReportDelay, Pair.first, Report, {}});
  }
}

void takeReports(Fleet &All, ReplayRouter &Router) {
  while (!Router.m_Reports.empty() &&
         Router.m_Reports.front().m_At <= All.m_World->m_Now) {
    ReportInFlight Taken = std::move(Router.m_Reports.front());
    Router.m_Reports.pop_front();
    auto It = Router.m_Pool.m_Targets.find(Taken.m_Target);
    if (It == Router.m_Pool.m_Targets.end())
      continue;
    if (Taken.m_Cached.empty())
      applyTargetReport(Router.m_Pool, Taken.m_Target, Taken.m_Report,
                        All.m_World->m_Now);
    else
      takeCacheEvents(It->second.m_Prefixes, Taken.m_Cached);
  }
}

void readList(Fleet &All, ReplayRouter &Router) {
  Millis Now = All.m_World->m_Now;
  if (Now < Router.m_NextList)
    return;
  Router.m_NextList = Now + ListInterval;
  std::vector<ListedVm> Listed;
  for (const EngineModel &Engine : All.m_World->m_Engines)
    Listed.push_back(ListedVm{Engine.m_Settings.m_Vm, Engine.m_Settings.m_Zone,
                              VmState::Live});
  bool Leaving = false;
  for (const std::pair<Millis, std::uint32_t> &Leave : All.m_VmLeaves)
    if (Leave.first + Router.m_ListLag <= Now) {
      Listed[Leave.second].m_State = VmState::Leaving;
      Leaving = true;
    }
  bool First = !Router.m_Vms.m_Configured;
  Router.m_Vms.m_Configured = true;
  if (updateVms(Router.m_Vms, Listed, Now))
    Router.m_Lease.m_NextRenewal = Now;
  if (First || Leaving)
    rebuildViews(All, Router, false);
}

/// The engine's cached chats, of which one in fifty is lost as a gap.
std::vector<CacheEvent> cachedChats(const EngineModel &Engine) {
  std::vector<CacheEvent> Events;
  std::uint64_t Number = 0;
  for (auto It = Engine.m_Cache.m_Recent.rbegin();
       It != Engine.m_Cache.m_Recent.rend(); ++It)
    if (++Number % 50 != 0)
      Events.push_back(
          CacheEvent{Number, CacheEventKind::Stored, It->m_Chat, It->m_Tokens});
  return Events;
}

void gainTarget(Fleet &All, ReplayRouter &Router, const TargetId &Target,
                const EngineModel &Engine) {
  Millis Now = All.m_World->m_Now;
  OwnedTarget Gained;
  auto Residual = Router.m_Residual.find(Target);
  Gained.m_State = makeTargetState(
      Engine.m_Settings,
      Residual == Router.m_Residual.end() ? 0 : Residual->second);
  // The deployment runs already when a trace begins.
  if (Now < Millis(2000))
    Gained.m_State.m_RampLimit = Gained.m_State.m_MaxConcurrent;
  else
    Gained.m_State.m_AwaitReport = true;
  Router.m_NextPoll = Now;
  Gained.m_Prefixes.m_Capacity = Engine.m_Settings.m_CacheTokens;
  Router.m_Pool.m_Targets[Target] = std::move(Gained);
  ReportInFlight Cached{Now + ReportDelay, Target, {}, cachedChats(Engine)};
  All.m_World->m_Measures.m_ControlBytes +=
      PollBytes + 24.0 * static_cast<double>(Cached.m_Cached.size());
  if (!Cached.m_Cached.empty())
    Router.m_Reports.push_back(std::move(Cached));
}

} // namespace

void rebuildViews(Fleet &All, ReplayRouter &Router, bool FromDocument) {
  Millis Now = All.m_World->m_Now;
  auto Zones = All.m_Zones.upper_bound(Router.m_Lease.m_Version.m_Value);
  const std::vector<ZoneSettings> &Known = std::prev(Zones)->second;
  Router.m_Routed = makeRoutedPool(
      makePoolView(All.m_Settings, Known, Router.m_Vms, Now), Router.m_Members);
  std::vector<TargetId> Ids;
  for (const TargetSettings &Target : All.m_Settings.m_Targets)
    Ids.push_back(Target.m_Id);
  updateOwned(Router.m_Owned, Router.m_Members, Ids);
  const PoolView &View = Router.m_Routed.m_View;
  setTargetCount(Router.m_Pool.m_PoolTargets, View.m_Targets.size(),
                 FromDocument, Now);
  if (Router.m_GainedAt != Router.m_Lease.m_HeldSince && Now > Millis(2000)) {
    for (std::pair<const TargetId, OwnedTarget> &Pair : Router.m_Pool.m_Targets)
      regainTarget(Pair.second.m_State);
    Router.m_NextPoll = Now;
  }
  Router.m_GainedAt = Router.m_Lease.m_HeldSince;
  for (const std::pair<const TargetId, Epoch> &Pair : Router.m_Owned.m_Since)
    if (Router.m_Pool.m_Targets.count(Pair.first) == 0)
      gainTarget(
          All, Router, Pair.first,
          All.m_World->m_Engines[All.m_EngineIndex.at(Pair.first.m_Value)]);
  for (auto It = Router.m_Pool.m_Targets.begin();
       It != Router.m_Pool.m_Targets.end();) {
    bool Owned = Router.m_Owned.m_Since.count(It->first) != 0;
    OwnedTarget &Target = It->second;
    Target.m_InService = findTarget(View, It->first) < View.m_Targets.size();
    Target.m_Dispatchable =
        Target.m_InService &&
        mayDispatchNow(Router.m_Lease, Router.m_Owned, It->first, Now);
    bool Done = !Owned && Target.m_State.m_Running == 0;
    It = Done ? Router.m_Pool.m_Targets.erase(It) : std::next(It);
  }
}

void exchangeMessages(Fleet &All, ReplayRouter &Router) {
  Millis Now = All.m_World->m_Now;
  takeGrants(All, Router);
  takeTotals(All, Router);
  takeReports(All, Router);
  readList(All, Router);
  pollTargets(All, Router);
  if (renewalDue(Router.m_Lease, Now))
    sendRenewal(All, Router);
  else if (loadUpdateDue(All, Router))
    sendLoadUpdate(All, Router);
}

} // namespace vanillaferry
