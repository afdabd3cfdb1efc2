#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// From a report to the leader's judgement of it, and to the commit of a
/// rollback that follows.
constexpr Millis JudgementTime{300};

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

void logStage(const GatewayRollout &Known) {
  const RolloutOrder &Order = Known.m_Share.m_Order;
  logEvent(Event::RolloutStageApplied, {{"service", Order.m_Service.m_Value},
                                        {"rollout", Order.m_Number},
                                        {"software", Order.m_Version.m_Value},
                                        {"stage", stageName(Order.m_Stage)},
                                        {"per_mille", Order.m_SharePerMille},
                                        {"own", Known.m_Share.m_Own},
                                        {"sent_new", Known.m_Share.m_SentNew},
                                        {"bad", Known.m_Share.m_Bad}});
}

void applyOrder(Gateway &G, DocumentVersion Version,
                const RolloutOrder &Order) {
  Millis Now = monotonicNow();
  std::map<PoolId, GatewayRollout>::iterator Found =
      G.m_Rollouts.find(Order.m_Service);
  bool IsNew = Found == G.m_Rollouts.end() ||
               Found->second.m_Share.m_Order.m_Number < Order.m_Number;
  if (IsNew) {
    GatewayRollout &Known = G.m_Rollouts[Order.m_Service];
    Known = GatewayRollout();
    Known.m_Share =
        beginShare(Order, G.m_Settings.m_Node, G.m_Control.m_Routers, Now);
    Known.m_StatedAt = Version;
    Known.m_NextReport = Now;
    return logStage(Known);
  }
  GatewayRollout &Known = Found->second;
  if (Known.m_Share.m_Order.m_Number != Order.m_Number)
    return;
  Known.m_StatedAt = std::max(Known.m_StatedAt, Version);
  if (!advanceShare(Known.m_Share, Order))
    return;
  // The leader waits for the gateways to apply the stage.
  Known.m_NextReport = Now;
  logStage(Known);
}

void noteLocalAnswer(Gateway &G, GatewayRollout &Known, const SeenAnswer &Seen,
                     AnswerJudgement How) {
  const RolloutOrder &Order = Known.m_Share.m_Order;
  if (How == AnswerJudgement::Bad)
    logEvent(Event::RolloutBadAnswer,
             {{"service", Order.m_Service.m_Value},
              {"route", Seen.m_Route},
              {"failed", Seen.m_Failed ? 1 : 0},
              {"total_ms", Seen.m_Total.value_or(Millis(-1)).m_Value}});
  Millis Now = monotonicNow();
  if (!noteRolloutAnswer(Known.m_Share, How, Now))
    return;
  addCounter(G.m_Metrics, "vanillaferry_rollout_local_stops_total");
  logEvent(Event::RolloutStoppedHere, {{"service", Order.m_Service.m_Value},
                                       {"rollout", Order.m_Number},
                                       {"sent_new", Known.m_Share.m_SentNew},
                                       {"bad", Known.m_Share.m_Bad}});
  Known.m_StopReportedAt.reset();
  Known.m_NextReport = Now;
}

/// Counts the requests at former versions; true when the last stream, or in
/// Completed the last request, has ended.
bool countFormer(Gateway &G, GatewayRollout &Known) {
  const RolloutOrder &Order = Known.m_Share.m_Order;
  std::uint32_t Streams = 0;
  std::uint32_t Running = 0;
  for (const std::shared_ptr<Exchange> &Each : G.m_Exchanges) {
    if (Each->service() != Order.m_Service)
      continue;
    Exchange::VersionUse Use = Each->useOfFormer(Order);
    Running += Use.m_Runs ? 1 : 0;
    Streams += Use.m_Runs && Use.m_IsStream ? 1 : 0;
  }
  bool Ended = (Known.m_FormerStreams > 0 && Streams == 0) ||
               (Known.m_FormerRunning > 0 && Running == 0);
  Known.m_FormerStreams = Streams;
  Known.m_FormerRunning = Running;
  return Ended;
}

RolloutReport makeReport(const Gateway &G, const GatewayRollout &Known) {
  const RolloutShare &Share = Known.m_Share;
  RolloutReport Report;
  Report.m_Node = G.m_Settings.m_Node;
  Report.m_Incarnation = G.m_Incarnation;
  Report.m_Service = Share.m_Order.m_Service;
  Report.m_Number = Share.m_Order.m_Number;
  Report.m_Sequence = Known.m_Reports;
  std::map<std::string, RouteEvidence> Routes = Known.m_Answers.m_Routes;
  for (const std::shared_ptr<Exchange> &Each : G.m_Exchanges)
    Each->addRunning(Share.m_Order, Routes);
  for (std::pair<const std::string, RouteEvidence> &Row : Routes)
    Report.m_Routes.push_back(std::move(Row.second));
  Report.m_SentNew = Share.m_SentNew;
  Report.m_SentOthers = Share.m_SentOthers;
  Report.m_FormerStreams = Known.m_FormerStreams;
  Report.m_FormerRunning = Known.m_FormerRunning;
  Report.m_Applied = Share.m_Order.m_Stage;
  Report.m_Stopped = Share.m_Stopped;
  return Report;
}

void sendReportWhenDue(Gateway &G, GatewayRollout &Known, Millis Now) {
  RolloutStage Stage = Known.m_Share.m_Order.m_Stage;
  bool FormerEnd =
      Stage == RolloutStage::Shift || Stage == RolloutStage::Completed;
  if (FormerEnd && countFormer(G, Known))
    Known.m_NextReport = Now;
  if (Now < Known.m_NextReport)
    return;
  if (!FormerEnd)
    countFormer(G, Known);
  Known.m_NextReport = Now + RolloutReportInterval;
  ++Known.m_Reports;
  if (Known.m_Share.m_Stopped && !Known.m_StopReportedAt)
    Known.m_StopReportedAt = Now;
  addCounter(G.m_Metrics, "vanillaferry_rollout_reports_total");
  G.m_Peers->sendToUrl(G.m_Keeper.m_Current, makeReport(G, Known));
}

} // namespace

void applyRollouts(Gateway &G, DocumentVersion Version,
                   const std::vector<RolloutOrder> &Orders) {
  std::set<PoolId> Stated;
  for (const RolloutOrder &Order : Orders) {
    Stated.insert(Order.m_Service);
    applyOrder(G, Version, Order);
  }
  std::map<PoolId, GatewayRollout>::iterator Row = G.m_Rollouts.begin();
  while (Row != G.m_Rollouts.end()) {
    // A grant that was sent before the order may arrive after it.
    if (Stated.count(Row->first) != 0 || Version <= Row->second.m_StatedAt) {
      ++Row;
      continue;
    }
    logEvent(Event::RolloutForgotten,
             {{"service", Row->first.m_Value},
              {"rollout", Row->second.m_Share.m_Order.m_Number}});
    Row = G.m_Rollouts.erase(Row);
  }
}

void confirmRollouts(Gateway &G, Millis RenewalSentAt) {
  for (std::pair<const PoolId, GatewayRollout> &Row : G.m_Rollouts) {
    GatewayRollout &Known = Row.second;
    if (!Known.m_Share.m_Stopped || !Known.m_StopReportedAt ||
        RenewalSentAt < *Known.m_StopReportedAt + JudgementTime ||
        isFinal(Known.m_Share.m_Order.m_Stage))
      continue;
    confirmShare(Known.m_Share);
    Known.m_StopReportedAt.reset();
    logEvent(Event::RolloutResumedHere,
             {{"service", Row.first.m_Value},
              {"rollout", Known.m_Share.m_Order.m_Number}});
  }
}

GatewayRollout *findRollout(Gateway &G, const PoolId &Service) {
  std::map<PoolId, GatewayRollout>::iterator Found = G.m_Rollouts.find(Service);
  return Found == G.m_Rollouts.end() ? nullptr : &Found->second;
}

bool listsNewVersion(Gateway &G, const PoolId &Service) {
  const GatewayRollout *Known = findRollout(G, Service);
  const GatewayPool *Pool = findPool(G, Service);
  if (!Known || !Pool)
    return false;
  return !canaryTargets(Pool->m_Dispatch, Known->m_Share.m_Order,
                        G.m_Control.m_ZonesOut)
              .empty();
}

void recordRolloutAnswer(Gateway &G, const PoolId &Service,
                         const SeenAnswer &Seen) {
  GatewayRollout *Known = findRollout(G, Service);
  if (!Known)
    return;
  AnswerJudgement How = addAnswer(Known->m_Answers, Seen, monotonicNow());
  if (Seen.m_New)
    noteLocalAnswer(G, *Known, Seen, How);
}

void sendRolloutReports(Gateway &G) {
  Millis Now = monotonicNow();
  for (std::pair<const PoolId, GatewayRollout> &Row : G.m_Rollouts) {
    settleSuspects(Row.second.m_Answers, Now);
    const RolloutOrder &Order = Row.second.m_Share.m_Order;
    if (Order.m_Report)
      sendReportWhenDue(G, Row.second, Now);
  }
}

} // namespace vanillaferry
