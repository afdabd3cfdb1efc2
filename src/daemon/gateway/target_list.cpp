#include "connection/target_client.hpp"
#include "gateway/gateway.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

constexpr Millis ShortestPoll{800};
constexpr std::int64_t PollTimeoutMs = 1500;
/// Part of the allowed call rate that all gateways together use; the rest is
/// for those that start or retry.
constexpr double UsedRate = 0.6;
constexpr std::size_t PageSize = 50;
constexpr double MillisPerSecond = 1000;

/// Time between two readings such that all gateways keep to the call rate.
Millis pollInterval(const Gateway &G) {
  double Routers = static_cast<double>(
      std::max(G.m_Control.m_Routers.size(), std::size_t(1)));
  double Pages =
      static_cast<double>(G.m_TargetList.m_Last.size() / PageSize + 1);
  double Needed = MillisPerSecond * Routers * Pages /
                  (UsedRate * G.m_Settings.m_TargetListRate);
  return std::max(ShortestPoll, Millis(static_cast<std::int64_t>(Needed)));
}

bool sameTarget(const ListedTarget &A, const ListedTarget &B) {
  return A.m_Id == B.m_Id && A.m_Address == B.m_Address &&
         A.m_Leaving == B.m_Leaving;
}

void finishReading(Gateway &G) {
  TargetListPoll &Poll = G.m_TargetList;
  bool Changed = Poll.m_Last.size() != Poll.m_Collected.size() ||
                 !std::equal(Poll.m_Last.begin(), Poll.m_Last.end(),
                             Poll.m_Collected.begin(), &sameTarget);
  if (Changed)
    logEvent(
        Event::TargetListRead,
        {{"targets", static_cast<std::uint64_t>(Poll.m_Collected.size())}});
  Poll.m_Last = std::move(Poll.m_Collected);
  Poll.m_Collected.clear();
  Poll.m_LastRead = monotonicNow();
  rebuildPools(G);
  Poll.m_Known = true;
}

void failReading(Gateway &G, const std::string &Why) {
  TargetListPoll &Poll = G.m_TargetList;
  logEvent(
      Event::TargetListFailed,
      {{"why", Why}, {"age_ms", (monotonicNow() - Poll.m_LastRead).m_Value}});
  addCounter(G.m_Metrics, "vanillaferry_target_list_failures_total");
  Poll.m_Reading = false;
  Poll.m_Collected.clear();
}

void readPage(Gateway &G);

void takePage(Gateway &G, const std::string &Text) {
  TargetListPoll &Poll = G.m_TargetList;
  if (Text.empty())
    return failReading(G, "no answer");
  Result<TargetPage> Page = G.m_Protocol->m_ReadTargetPage(Text);
  if (!Page)
    return failReading(G, Page.error().m_Text);
  for (ListedTarget &Entry : Page.value().m_Targets)
    Poll.m_Collected.push_back(std::move(Entry));
  Poll.m_PageToken = Page.value().m_Next;
  if (!Poll.m_PageToken.empty())
    return readPage(G);
  Poll.m_Reading = false;
  finishReading(G);
}

void readPage(Gateway &G) {
  addCounter(G.m_Metrics, "vanillaferry_target_list_calls_total");
  fetchText(G.m_ListSession.get(),
            "http://" + G.m_Settings.m_TargetList +
                G.m_Protocol->m_TargetListPath(G.m_TargetList.m_PageToken),
            PollTimeoutMs,
            [&G](const std::string &Text) { takePage(G, Text); });
}

double coldLimit(const Gateway &G, const ManifestService &Service) {
  if (Service.m_ColdPerSecond <= 0)
    return 0;
  const GatewayBounds &Bounds = G.m_Settings.m_Bounds;
  return Service.m_ColdPerSecond * Bounds.m_ColdFactor + Bounds.m_ColdExtra;
}

} // namespace

void rebuildPools(Gateway &G) {
  Millis Now = monotonicNow();
  const GatewayBounds &Bounds = G.m_Settings.m_Bounds;
  double Routers = static_cast<double>(
      std::max(G.m_Control.m_Routers.size(), std::size_t(1)));
  for (const ManifestService &Service :
       G.m_Control.m_Routes.m_Manifest.m_Services) {
    bool IsNew = G.m_Pools.count(Service.m_Id) == 0;
    GatewayPool &Pool = G.m_Pools[Service.m_Id];
    if (IsNew)
      Pool.m_Repeats =
          makeRepeatBudget(Bounds.m_RetryRatio, 0, Bounds.m_RetryWindow);
    Pool.m_Repeats.m_Extra = Bounds.m_RetryExtra / Routers;
    Pool.m_Dispatch.m_Engine = Service.m_Engine;
    std::vector<ListedTarget> Own;
    for (const ListedTarget &Each : G.m_TargetList.m_Last)
      if (Each.m_Service == Service.m_Id)
        Own.push_back(Each);
    Pool.m_Dispatch.m_ColdTime = Service.m_ColdTime;
    takeListedTargets(Pool.m_Dispatch, Own, !G.m_TargetList.m_Known || IsNew,
                      Now);
    for (std::pair<const TargetId, DispatchTarget> &Row :
         Pool.m_Dispatch.m_Targets)
      Row.second.m_ColdShare =
          coldShareOf(coldLimit(G, Service), Row.first, G.m_Settings.m_Node,
                      G.m_Control.m_Routers);
  }
}

void pollTargetList(Gateway &G) {
  Millis Now = monotonicNow();
  TargetListPoll &Poll = G.m_TargetList;
  if (Poll.m_Reading || Now < Poll.m_NextPoll)
    return;
  Poll.m_Reading = true;
  Poll.m_NextPoll = Now + pollInterval(G);
  Poll.m_PageToken.clear();
  Poll.m_Collected.clear();
  readPage(G);
}

GatewayPool *findPool(Gateway &G, const PoolId &Service) {
  std::map<PoolId, GatewayPool>::iterator Found = G.m_Pools.find(Service);
  return Found == G.m_Pools.end() ? nullptr : &Found->second;
}

DispatchTarget *findTarget(Gateway &G, const PoolId &Service,
                           const TargetId &Target) {
  GatewayPool *Pool = findPool(G, Service);
  if (!Pool)
    return nullptr;
  std::map<TargetId, DispatchTarget>::iterator Found =
      Pool->m_Dispatch.m_Targets.find(Target);
  return Found == Pool->m_Dispatch.m_Targets.end() ? nullptr : &Found->second;
}

} // namespace vanillaferry
