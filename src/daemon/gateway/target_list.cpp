#include "gateway/gateway.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"
#include "vanillaferry/process/list_turn.hpp"
#include "vanillaferry/version/target_listing.hpp"
#include "vanillaferry/version/text_history.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// A gateway reads the list from the platform itself when the one from the
/// keepers is older than this: the leader is lost or cannot reach the platform.
constexpr Millis DirectReadAfter{2500};
constexpr Millis MinPollInterval{800};
/// Part of the allowed call rate that regular polls of all gateways together
/// use; the rest is for gateways that start or retry.
constexpr double RateShare = 0.6;
constexpr std::size_t PageSize = 50;
constexpr double MillisPerSecond = 1000;

/// The keepers' list is confirmed with each grant, so in a large fleet it is
/// older than that between two grants.
Millis directReadAfter(const Gateway &G) {
  return std::max(DirectReadAfter,
                  Millis(G.m_Lease.m_RenewInterval.m_Value * 2));
}

/// Interval between direct reads that keeps all gateways within the call rate.
Millis pollInterval(const Gateway &G) {
  double Routers = static_cast<double>(
      std::max(G.m_Control.m_Routers.size(), std::size_t(1)));
  double Pages =
      static_cast<double>(G.m_TargetList.m_Targets.size() / PageSize + 1);
  double Needed = MillisPerSecond * Routers * Pages /
                  (RateShare * G.m_Settings.m_TargetListRate);
  return std::max(MinPollInterval, Millis(static_cast<std::int64_t>(Needed)));
}

Millis randomPart(Millis Range) {
  return Millis(static_cast<std::int64_t>(
      randomSeed() % static_cast<std::uint64_t>(Range.m_Value)));
}

bool sameTarget(const ListedTarget &A, const ListedTarget &B) {
  return A.m_Id == B.m_Id && A.m_Address == B.m_Address &&
         A.m_Leaving == B.m_Leaving;
}

void replaceTargets(Gateway &G, std::vector<ListedTarget> Targets,
                    const char *Source, Millis ReadAt) {
  TargetListState &List = G.m_TargetList;
  bool Changed = List.m_Targets.size() != Targets.size() ||
                 !std::equal(List.m_Targets.begin(), List.m_Targets.end(),
                             Targets.begin(), &sameTarget);
  if (Changed)
    logEvent(Event::TargetListRead,
             {{"targets", static_cast<std::uint64_t>(Targets.size())},
              {"digest", List.m_Digest},
              {"from", Source},
              {"age_ms", (monotonicNow() - ReadAt).m_Value}});
  List.m_Targets = std::move(Targets);
  List.m_ReadAt = ReadAt;
  recordListedVersions(G);
  rebuildPools(G);
  List.m_Received = true;
}

void onDirectRead(Gateway &G, TargetListReading Reading) {
  TargetListState &List = G.m_TargetList;
  addCounter(G.m_Metrics, "vanillaferry_target_list_readings_total");
  Result<std::vector<ListedTarget>> &Read = Reading.m_Targets;
  if (!Read) {
    logEvent(Event::TargetListFailed,
             {{"why", Read.error().m_Text},
              {"age_ms", (monotonicNow() - List.m_ReadAt).m_Value}});
    addCounter(G.m_Metrics, "vanillaferry_target_list_failures_total");
    return;
  }
  // The keepers' deltas apply only to the text that they sent, so the next one
  // has to be a full text.
  List.m_Digest = 0;
  replaceTargets(G, std::move(Read.value()), "platform", Reading.m_BeganAt);
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
  // A load report waits for its router's next renewal, and the sum then waits
  // for the other router's next renewal.
  Pool.m_Dispatch.m_Limits.m_FeedbackTime =
      Millis(G.m_Lease.m_RenewInterval.m_Value * 3 / 2);
  Pool.m_Dispatch.m_ColdTime = Service.m_ColdTime;
  std::vector<ListedTarget> Own;
  for (const ListedTarget &Each : G.m_TargetList.m_Targets)
    if (Each.m_Service == Service.m_Id)
      Own.push_back(Each);
  applyTargetList(Pool.m_Dispatch, Own, !G.m_TargetList.m_Received || IsNew,
                  Now);
  for (std::pair<const TargetId, DispatchTarget> &Row :
       Pool.m_Dispatch.m_Targets) {
    Row.second.m_ColdShare =
        coldShareOf(coldLimit(G, Service), Row.first, G.m_Settings.m_Node,
                    G.m_Control.m_Routers);
    applyRateShare(Row.second, G.m_Settings.m_Node, G.m_Control.m_Routers);
  }
  if (isBrittle(Pool.m_Dispatch, Now))
    applySlotShares(Pool.m_Dispatch, G.m_Settings.m_Node,
                    G.m_Control.m_Routers);
}

std::string limitText(std::optional<double> Limit) {
  return Limit ? std::to_string(*Limit) : "none";
}

void logChangedLimits(const DispatchTarget &Target,
                      const TargetAnswer &Answer) {
  const std::string &Id = Target.m_Listed.m_Id.m_Value;
  if (Answer.m_RateLimit != Target.m_RateLimit)
    logEvent(Event::TargetLimit,
             {{"target", Id}, {"per_second", limitText(Answer.m_RateLimit)}});
  if (Answer.m_BearableRefusals != Target.m_BearableRefusals)
    logEvent(Event::TargetBrittle,
             {{"target", Id},
              {"bears", Answer.m_BearableRefusals
                            ? std::to_string(*Answer.m_BearableRefusals)
                            : "any"}});
}

} // namespace

void rebuildPools(Gateway &G) {
  Millis Now = monotonicNow();
  for (const ManifestService &Service :
       G.m_Control.m_Routes.m_Manifest.m_Services)
    rebuildPool(G, Service, Now);
  wakeAllRooms(G);
}

bool applyKeepersTargets(Gateway &G, const TargetListUpdate &Update) {
  TargetListState &List = G.m_TargetList;
  Millis ReadAt = monotonicNow() - Update.m_Age;
  if (Update.m_Digest == 0 || (List.m_Received && ReadAt < List.m_ReadAt &&
                               !succeedsList(Update.m_Base, List.m_Digest)))
    return true;
  if (List.m_Received)
    ReadAt = std::max(ReadAt, List.m_ReadAt);
  if (Update.m_Digest == List.m_Digest) {
    List.m_ReadAt = ReadAt;
    confirmVersions(G.m_Streams.m_History, ReadAt);
    return true;
  }
  bool Changed = !Update.m_Delta.empty() || !Update.m_Packed.empty();
  if (!Changed || (Update.m_Base != 0 && Update.m_Base != List.m_Digest))
    return false;
  Result<std::string> Text =
      applyTextUpdate(Update.m_Base == 0 ? std::string() : List.m_Text,
                      Update.m_Delta, Update.m_Packed);
  Result<std::vector<ListedTarget>> Targets =
      Text ? decodeTargets(Text.value())
           : Result<std::vector<ListedTarget>>(Text.error());
  if (!Targets) {
    logEvent(Event::TargetListFailed, {{"why", Targets.error().m_Text}});
    List.m_Digest = 0;
    return false;
  }
  List.m_Digest = Update.m_Digest;
  List.m_Text = std::move(Text.value());
  replaceTargets(G, std::move(Targets.value()), "keepers", ReadAt);
  return true;
}

void pollTargetList(Gateway &G) {
  Millis Now = monotonicNow();
  TargetListState &List = G.m_TargetList;
  // After the start, the keepers' list comes with the first grants.
  Millis Since = List.m_Received ? List.m_ReadAt : G.m_StartedAt;
  // The list is of no use before requests can be sent to targets.
  if (Now - Since <= directReadAfter(G) || !mayServe(G, Now)) {
    List.m_NextPoll.reset();
    return;
  }
  // All gateways miss the keepers' list at the same moment; their first reads
  // spread over one interval.
  if (!List.m_NextPoll)
    List.m_NextPoll = Now + randomPart(pollInterval(G));
  if (Now < *List.m_NextPoll)
    return;
  List.m_NextPoll = Now + pollInterval(G);
  if (!List.m_Reader) {
    Gateway *Raw = &G;
    List.m_Reader = std::make_unique<TargetListReader>(
        *G.m_Protocol, G.m_Settings.m_TargetList,
        [Raw](TargetListReading Read) { onDirectRead(*Raw, std::move(Read)); });
  }
  List.m_Reader->read();
}

void noteTargetLimits(Gateway &G, const PoolId &Service, DispatchTarget &Target,
                      const TargetAnswer &Answer) {
  Millis Now = monotonicNow();
  const std::vector<NodeId> &Routers = G.m_Control.m_Routers;
  logChangedLimits(Target, Answer);
  bool LimitChanged = Target.m_RateLimit != Answer.m_RateLimit;
  noteRateLimit(Target, Answer.m_RateLimit, Now);
  if (LimitChanged)
    applyRateShare(Target, G.m_Settings.m_Node, Routers);
  GatewayPool *Pool = findPool(G, Service);
  bool WasBrittle = Pool && isBrittle(Pool->m_Dispatch, Now);
  noteBearableRefusals(Target, Answer.m_BearableRefusals, Now);
  if (Pool && !WasBrittle && isBrittle(Pool->m_Dispatch, Now))
    applySlotShares(Pool->m_Dispatch, G.m_Settings.m_Node, Routers);
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
