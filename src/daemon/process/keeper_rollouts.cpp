#include "process/clock.hpp"
#include "process/internal/keeper_api.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaferry::internal {

namespace {

constexpr Millis RolloutJudgementInterval{100};

const char *stageName(RolloutStage Stage) {
  switch (Stage) {
  case RolloutStage::Canary:
    return "canary";
  case RolloutStage::Shift:
    return "shift";
  case RolloutStage::Completed:
    return "completed";
  case RolloutStage::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

/// The services of the manifest in force, read once for each manifest: a large
/// one takes a second of a keeper's CPU time.
const std::set<PoolId> &manifestServices(Keeper &Self) {
  RolloutJudge &Judge = Self.m_Rollouts;
  const StoredManifest &Held = Self.m_State.m_Manifest;
  if (Judge.m_ServicesVersion == Held.m_Version || !Self.m_Protocol)
    return Judge.m_Services;
  Judge.m_ServicesVersion = Held.m_Version;
  Judge.m_Services.clear();
  Result<Manifest> Content = Self.m_Protocol->m_ReadManifest(Held.m_Text);
  if (Content)
    for (const ManifestService &Each : Content.value().m_Services)
      Judge.m_Services.insert(Each.m_Id);
  return Judge.m_Services;
}

bool isListed(const Keeper &Self, const PoolId &Service,
              const SoftwareVersion &Version) {
  std::map<PoolId, ListedVersions>::const_iterator Held =
      Self.m_State.m_Software.find(Service);
  if (Held == Self.m_State.m_Software.end())
    return false;
  const std::vector<SoftwareVersion> &Listed = Held->second.m_Listed;
  return std::find(Listed.begin(), Listed.end(), Version) != Listed.end();
}

/// Adds a lease that may still hold. A member that has not renewed with this
/// leader yet may be a gateway.
void addLeased(RolloutView &View, const NodeLease &Lease, bool Former,
               Millis Now) {
  bool Router = Lease.m_Sequence != 0 && !Lease.m_IdsOnly;
  if (Now >= Lease.m_ExpiresAt || Router)
    return;
  View.m_Gateways.push_back({Lease.m_Node, Lease.m_Incarnation,
                             Lease.m_AckedVersion.m_Value, Former});
}

RolloutView viewOf(Keeper &Self, const PoolId &Service, const Rollout &State,
                   Millis Now) {
  RolloutView View;
  View.m_Age = Millis(
      std::max<std::int64_t>(0, wallNow().m_Value - State.m_StartedAt.m_Value));
  View.m_StageAge = Millis(
      std::max<std::int64_t>(0, wallNow().m_Value - State.m_StageAt.m_Value));
  const LeaseTable &Table = *Self.m_Leases;
  View.m_LeasesKnown = Table.m_LedSince + Table.m_Options.m_LeaseTime <= Now;
  for (const std::pair<const NodeId, NodeLease> &Row : Table.m_Leases)
    addLeased(View, Row.second, false, Now);
  for (const NodeLease &Lease : Table.m_Former)
    addLeased(View, Lease, true, Now);
  View.m_InManifest = manifestServices(Self).count(Service) != 0;
  View.m_Listed = isListed(Self, Service, State.m_Version);
  return View;
}

RolloutEvidence &evidenceOf(Keeper &Self, const PoolId &Service,
                            std::uint64_t Number) {
  RolloutEvidence &Evidence = Self.m_Rollouts.m_Evidence[Service];
  if (Evidence.m_Number != Number)
    Evidence = RolloutEvidence{Number, {}, {}};
  return Evidence;
}

void proposeStep(Keeper &Self, const PoolId &Service, std::uint64_t Number,
                 const RolloutStep &Step) {
  AdvanceRollout Change{Service,        Number,        Step.m_Stage,
                        Step.m_InForce, Step.m_Reason, wallNow()};
  if (!mayPropose(Self, Change) ||
      !Self.m_Rollouts.m_Proposed.insert(Service).second)
    return;
  proposeCommand(Self, std::move(Change),
                 [&Self, Service](const CommandAnswer *) {
                   Self.m_Rollouts.m_Proposed.erase(Service);
                 });
}

void judge(Keeper &Self, const PoolId &Service, const Rollout &State,
           Millis Now) {
  RolloutEvidence &Evidence = evidenceOf(Self, Service, State.m_Number);
  noteRolloutSums(Evidence, Now);
  std::optional<RolloutStep> Step =
      nextRolloutStep(State, Evidence, viewOf(Self, Service, State, Now),
                      Self.m_Settings.m_Rollouts);
  if (Step)
    proposeStep(Self, Service, State.m_Number, *Step);
}

void answerRollout(HttpExchange &Exchange, const Keeper &Self,
                   const Rollout &Held) {
  bool RolledBack = Held.m_Stage == RolloutStage::RolledBack;
  RolloutState State = isInProgress(Held) ? RolloutState::Running
                       : RolledBack       ? RolloutState::RolledBack
                                          : RolloutState::Completed;
  Exchange.answerJsonText(
      200, Self.m_Protocol->m_RolloutAnswer({State, Held.m_Version}));
}

void refuse(Keeper &Self, HttpExchange &Exchange, const RolloutRequest &Order,
            int HttpStatus, const char *Name, const std::string &Why) {
  logEvent(Event::RolloutRefused, {{"service", Order.m_Service.m_Value},
                                   {"version", Order.m_Version.m_Value},
                                   {"why", Why}});
  addCounter(Self.m_Metrics, "vanillaferry_rollouts_refused_total");
  answerError(Exchange, HttpStatus, Name, Why);
}

void onStarted(Keeper &Self, const ExchangePtr &Exchange,
               const RolloutRequest &Order, const CommandAnswer *Applied) {
  const RolloutAnswer *Answer =
      Applied ? std::get_if<RolloutAnswer>(Applied) : nullptr;
  if (!Answer)
    return answerLeaderLost(Self, *Exchange);
  std::map<PoolId, Rollout>::const_iterator Held =
      Self.m_State.m_Rollouts.find(Order.m_Service);
  if (!Answer->m_Accepted || Held == Self.m_State.m_Rollouts.end())
    return refuse(Self, *Exchange, Order, 409, "rollout_in_progress",
                  "another rollout of service \"" + Order.m_Service.m_Value +
                      "\" is in progress");
  answerRollout(*Exchange, Self, Held->second);
}

void start(Keeper &Self, const ExchangePtr &Exchange,
           const RolloutRequest &Order) {
  if (answerBelowLevel(Self, *Exchange, featureLevelOf(StartRollout{})))
    return;
  // A repeated order is accepted also when the manifest has changed since.
  std::map<PoolId, Rollout>::const_iterator Held =
      Self.m_State.m_Rollouts.find(Order.m_Service);
  bool Repeated = Held != Self.m_State.m_Rollouts.end() &&
                  repeatsRollout(Held->second, Order.m_Version,
                                 Order.m_Duration, wallNow());
  if (!Repeated && manifestServices(Self).count(Order.m_Service) == 0)
    return refuse(Self, *Exchange, Order, 404, "unknown_service",
                  "service \"" + Order.m_Service.m_Value +
                      "\" is not in the manifest in force");
  proposeCommand(Self,
                 StartRollout{Order.m_Service, Order.m_Version,
                              Order.m_Duration, wallNow()},
                 [&Self, Exchange, Order](const CommandAnswer *Applied) {
                   onStarted(Self, Exchange, Order, Applied);
                 });
}

} // namespace

void onRolloutReport(Keeper &Self, const NodeId &From,
                     const RolloutReport &Report) {
  bool Relayed = Report.m_Node != From;
  if (Relayed && !isKeeper(Self, From))
    return;
  if (!leads(Self)) {
    // Without a leader the report is lost; the next one has its counts.
    if (!Relayed && Self.m_Running && !Self.m_Replica.m_Leader.empty())
      Self.m_Peers->send(NodeId(Self.m_Replica.m_Leader.m_Value), Report);
    return;
  }
  addCounter(Self.m_Metrics, "vanillaferry_rollout_reports_total");
  std::map<PoolId, Rollout>::const_iterator Held =
      Self.m_State.m_Rollouts.find(Report.m_Service);
  if (Held == Self.m_State.m_Rollouts.end() ||
      Held->second.m_Number != Report.m_Number || !isInProgress(Held->second))
    return;
  recordRolloutReport(evidenceOf(Self, Report.m_Service, Report.m_Number),
                      Report, monotonicNow());
}

void judgeRollouts(Keeper &Self, Millis Now) {
  RolloutJudge &Judge = Self.m_Rollouts;
  if (Self.m_State.m_Rollouts.empty() || Now < Judge.m_NextJudgement)
    return;
  Judge.m_NextJudgement = Now + RolloutJudgementInterval;
  for (const std::pair<const PoolId, Rollout> &Row : Self.m_State.m_Rollouts) {
    if (isInProgress(Row.second))
      judge(Self, Row.first, Row.second, Now);
    else
      Judge.m_Evidence.erase(Row.first);
  }
}

std::vector<RolloutOrder> rolloutOrders(const Keeper &Self) {
  std::vector<RolloutOrder> Orders;
  for (const std::pair<const PoolId, Rollout> &Row : Self.m_State.m_Rollouts)
    Orders.push_back(makeRolloutOrder(Row.first, Row.second,
                                      Self.m_Settings.m_Rollouts, wallNow()));
  return Orders;
}

void recordRolloutChange(Keeper &Self, const Command &Change, LogIndex Index) {
  const StartRollout *Started = std::get_if<StartRollout>(&Change);
  const AdvanceRollout *Advanced = std::get_if<AdvanceRollout>(&Change);
  if (!Started && !Advanced)
    return;
  const PoolId &Service = Started ? Started->m_Service : Advanced->m_Service;
  std::map<PoolId, Rollout>::const_iterator Held =
      Self.m_State.m_Rollouts.find(Service);
  if (Held == Self.m_State.m_Rollouts.end() ||
      Held->second.m_Changed != Index.m_Value)
    return;
  const Rollout &State = Held->second;
  logEvent(Started ? Event::RolloutStarted : Event::RolloutAdvanced,
           {{"service", Service.m_Value},
            {"number", State.m_Number},
            {"version", State.m_Version.m_Value},
            {"stage", stageName(State.m_Stage)},
            {"in_force", State.m_InForce ? "yes" : "no"},
            {"duration_ms", State.m_Duration.m_Value},
            {"age_ms", State.m_StageAt.m_Value - State.m_StartedAt.m_Value},
            {"why", State.m_Reason}});
  addCounter(Self.m_Metrics,
             std::string("vanillaferry_rollout_stages_total{stage=\"") +
                 stageName(State.m_Stage) + "\"}");
  std::size_t Open = 0;
  for (const std::pair<const PoolId, Rollout> &Row : Self.m_State.m_Rollouts)
    Open += isInProgress(Row.second) ? 1 : 0;
  setGauge(Self.m_Metrics, "vanillaferry_rollouts_in_progress",
           static_cast<double>(Open));
}

void postRollout(Keeper &Self, const ExchangePtr &Exchange) {
  if (!Self.m_Protocol)
    return answerError(*Exchange, 404, "not_found",
                       "this keeper serves no platform");
  Result<RolloutRequest> Order =
      Self.m_Protocol->m_ReadRolloutOrder(Exchange->body());
  if (!Order)
    return refuse(Self, *Exchange, RolloutRequest(), 400, "invalid_rollout",
                  Order.error().m_Text);
  // Compared after a confirmed read, when everything that was accepted before
  // has been applied.
  afterConfirmedRead(Self, Exchange, [&Self, Exchange, Wanted = Order.value()] {
    start(Self, Exchange, Wanted);
  });
}

void getRollout(Keeper &Self, const ExchangePtr &Exchange,
                const std::string &Service) {
  if (!Self.m_Protocol)
    return answerError(*Exchange, 404, "not_found",
                       "this keeper serves no platform");
  afterConfirmedRead(Self, Exchange, [&Self, Exchange, Service] {
    std::map<PoolId, Rollout>::const_iterator Held =
        Self.m_State.m_Rollouts.find(PoolId(Service));
    if (Held == Self.m_State.m_Rollouts.end())
      return answerError(*Exchange, 404, "unknown_rollout",
                         "service \"" + Service + "\" has had no rollout");
    answerRollout(*Exchange, Self, Held->second);
  });
}

} // namespace vanillaferry::internal
