#include "connection/target_list_reader.hpp"
#include "gateway/gateway.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"
#include "vanillaferry/version/target_listing.hpp"
#include "vanillaferry/version/text_delta.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// A gateway reads the list itself when the keepers' reading is older than
/// this: the leader is lost or cannot reach the platform.
constexpr Millis OwnReadingAfter{2500};
constexpr Millis ShortestPoll{800};
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

void takeTargets(Gateway &G, std::vector<ListedTarget> Targets,
                 const char *Source, Millis ReadAt) {
  TargetListPoll &List = G.m_TargetList;
  bool Changed = List.m_Last.size() != Targets.size() ||
                 !std::equal(List.m_Last.begin(), List.m_Last.end(),
                             Targets.begin(), &sameTarget);
  if (Changed)
    logEvent(Event::TargetListRead,
             {{"targets", static_cast<std::uint64_t>(Targets.size())},
              {"from", Source}});
  List.m_Last = std::move(Targets);
  List.m_LastRead = ReadAt;
  rebuildPools(G);
  List.m_Known = true;
}

void takeOwnReading(Gateway &G, Result<std::vector<ListedTarget>> Read) {
  TargetListPoll &List = G.m_TargetList;
  addCounter(G.m_Metrics, "vanillaferry_target_list_readings_total");
  if (!Read) {
    logEvent(Event::TargetListFailed,
             {{"why", Read.error().m_Text},
              {"age_ms", (monotonicNow() - List.m_LastRead).m_Value}});
    addCounter(G.m_Metrics, "vanillaferry_target_list_failures_total");
    return;
  }
  // The keepers' edit scripts apply to the text that they sent.
  List.m_Digest = 0;
  takeTargets(G, std::move(Read.value()), "platform", monotonicNow());
}

double coldLimit(const Gateway &G, const ManifestService &Service) {
  if (Service.m_ColdPerSecond <= 0)
    return 0;
  const GatewayBounds &Bounds = G.m_Settings.m_Bounds;
  return Service.m_ColdPerSecond * Bounds.m_ColdFactor + Bounds.m_ColdExtra;
}

void rebuildPool(Gateway &G, const ManifestService &Service, Millis Now) {
  const GatewayBounds &Bounds = G.m_Settings.m_Bounds;
  double Routers = static_cast<double>(
      std::max(G.m_Control.m_Routers.size(), std::size_t(1)));
  bool IsNew = G.m_Pools.count(Service.m_Id) == 0;
  GatewayPool &Pool = G.m_Pools[Service.m_Id];
  if (IsNew)
    Pool.m_Repeats =
        makeRepeatBudget(Bounds.m_RetryRatio, 0, Bounds.m_RetryWindow);
  Pool.m_Repeats.m_Extra = Bounds.m_RetryExtra / Routers;
  Pool.m_Dispatch.m_Limits.m_Routers =
      std::max(G.m_Control.m_Routers.size(), std::size_t(1));
  // A report waits for the router's renewal, and its sum for the other's.
  Pool.m_Dispatch.m_Limits.m_FeedbackTime =
      Millis(G.m_Lease.m_RenewInterval.m_Value * 3 / 2);
  Pool.m_Dispatch.m_ColdTime = Service.m_ColdTime;
  std::vector<ListedTarget> Own;
  for (const ListedTarget &Each : G.m_TargetList.m_Last)
    if (Each.m_Service == Service.m_Id)
      Own.push_back(Each);
  applyTargetList(Pool.m_Dispatch, Own, !G.m_TargetList.m_Known || IsNew, Now);
  for (std::pair<const TargetId, DispatchTarget> &Row :
       Pool.m_Dispatch.m_Targets)
    Row.second.m_ColdShare =
        coldShareOf(coldLimit(G, Service), Row.first, G.m_Settings.m_Node,
                    G.m_Control.m_Routers);
}

} // namespace

void rebuildPools(Gateway &G) {
  Millis Now = monotonicNow();
  for (const ManifestService &Service :
       G.m_Control.m_Routes.m_Manifest.m_Services)
    rebuildPool(G, Service, Now);
}

void takeGrantedTargets(Gateway &G, const Grant &Granted) {
  TargetListPoll &List = G.m_TargetList;
  Millis ReadAt = monotonicNow() - Granted.m_TargetsAge;
  if (Granted.m_TargetsDigest == 0 ||
      (List.m_Known && ReadAt < List.m_LastRead))
    return;
  if (Granted.m_TargetsDigest == List.m_Digest) {
    List.m_LastRead = ReadAt;
    return;
  }
  if (Granted.m_TargetsDelta.empty() ||
      (Granted.m_TargetsBase != 0 && Granted.m_TargetsBase != List.m_Digest))
    return;
  Result<std::string> Text =
      applyTextDelta(Granted.m_TargetsBase == 0 ? std::string() : List.m_Text,
                     Granted.m_TargetsDelta);
  Result<std::vector<ListedTarget>> Targets =
      Text ? decodeTargets(Text.value())
           : Result<std::vector<ListedTarget>>(Text.error());
  if (!Targets) {
    logEvent(Event::TargetListFailed, {{"why", Targets.error().m_Text}});
    List.m_Digest = 0;
    return;
  }
  List.m_Digest = Granted.m_TargetsDigest;
  List.m_Text = std::move(Text.value());
  takeTargets(G, std::move(Targets.value()), "keepers", ReadAt);
}

void pollTargetList(Gateway &G) {
  Millis Now = monotonicNow();
  TargetListPoll &List = G.m_TargetList;
  bool Fresh = List.m_Known && Now - List.m_LastRead <= OwnReadingAfter;
  // At the start, the keepers' reading comes with the first grants.
  bool Waits = !List.m_Known && Now - G.m_StartedAt <= OwnReadingAfter;
  if (Fresh || Waits || Now < List.m_NextPoll)
    return;
  List.m_NextPoll = Now + pollInterval(G);
  if (!List.m_Reader) {
    Gateway *Raw = &G;
    List.m_Reader = std::make_shared<TargetListReader>(
        *G.m_Protocol, G.m_Settings.m_TargetList,
        [Raw](Result<std::vector<ListedTarget>> Read) {
          takeOwnReading(*Raw, std::move(Read));
        });
  }
  List.m_Reader->read();
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
