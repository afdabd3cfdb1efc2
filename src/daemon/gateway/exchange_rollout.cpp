#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"
#include "process/clock.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// A held stream looks for the next stage this often.
constexpr Millis StagePoll{25};
/// The deadline's timer counts as due this much earlier, since times are
/// rounded.
constexpr Millis DeadlineRounding{5};
constexpr int FirstCallerError = 400;
constexpr int FirstServerError = 500;

/// The listed versions other than the given one.
std::set<SoftwareVersion> otherVersions(const DispatchPool &Pool,
                                        const SoftwareVersion &Version) {
  std::set<SoftwareVersion> Others;
  for (const std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets)
    if (Row.second.m_Listed.m_Software != Version)
      Others.insert(Row.second.m_Listed.m_Software);
  return Others;
}

std::set<SoftwareVersion> formerVersions(const DispatchPool &Pool,
                                         const RolloutOrder &Order) {
  std::set<SoftwareVersion> Former;
  for (const std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets)
    if (isFormer(Order, Row.second.m_Listed.m_Software))
      Former.insert(Row.second.m_Listed.m_Software);
  return Former;
}

/// True when nothing may be sent to the version any more.
bool isExcluded(const RolloutOrder &Order, const SoftwareVersion &Version) {
  if (Order.m_Stage == RolloutStage::Completed)
    return isFormer(Order, Version);
  return Order.m_Stage == RolloutStage::RolledBack &&
         Version == Order.m_Version;
}

CreditKind kindOf(bool IsStream) {
  return IsStream ? CreditKind::Stream : CreditKind::Other;
}

} // namespace

bool Exchange::isNewStream() const { return isStream() && !m_Need.m_Software; }

void Exchange::countForRollout() {
  // The gateway that passed a request on has counted it.
  GatewayRollout *Known = findRollout(m_Gateway, m_Service);
  if (Known && !isRelayedHere() && !isFinal(Known->m_Share.m_Order.m_Stage))
    noteOwnRequest(Known->m_Share, kindOf(isStream()),
                   listsNewVersion(m_Gateway, m_Service), monotonicNow());
}

DispatchChoice Exchange::chooseByRollout(GatewayPool &Pool,
                                         DispatchCriteria &Need, Millis Now) {
  Need.m_ExcludedSoftware.clear();
  GatewayRollout *Known = findRollout(m_Gateway, m_Service);
  if (!Known)
    return chooseTarget(Pool.m_Dispatch, Need, Now);
  const RolloutOrder &Order = Known->m_Share.m_Order;
  if (Order.m_Stage == RolloutStage::Completed)
    Need.m_ExcludedSoftware = formerVersions(Pool.m_Dispatch, Order);
  else if (Order.m_Stage == RolloutStage::RolledBack || !Need.m_Software)
    Need.m_ExcludedSoftware = {Order.m_Version};
  bool MayTakeNew = !isFinal(Order.m_Stage) && !Need.m_Software &&
                    !m_TriedNew &&
                    mayTakeNew(Known->m_Share, kindOf(isStream()), Now);
  if (MayTakeNew) {
    DispatchCriteria AtNew = Need;
    // Without room it goes to a former version.
    AtNew.m_StaleAfter.reset();
    AtNew.m_ExcludedSoftware = otherVersions(Pool.m_Dispatch, Order.m_Version);
    if (Order.m_Stage == RolloutStage::Canary)
      AtNew.m_Only = canaryTargets(Pool.m_Dispatch, Order, Need.m_ZonesOut);
    DispatchChoice Choice = chooseTarget(Pool.m_Dispatch, AtNew, Now);
    if (Choice.m_Refusal == DispatchRefusal::None)
      return Choice;
  }
  return chooseTarget(Pool.m_Dispatch, Need, Now);
}

bool Exchange::awaitsStage(Millis Now) {
  GatewayRollout *Known = findRollout(m_Gateway, m_Service);
  if (!Known || !isNewStream() || m_TriedNew || m_Tries > 0)
    return false;
  const RolloutShare &Share = Known->m_Share;
  bool Holds = Share.m_Order.m_Stage == RolloutStage::Shift &&
               Share.m_Order.m_HoldStreams && !Share.m_Stopped &&
               !mayTakeNew(Share, CreditKind::Stream, Now);
  if (!m_HeldSince && Holds) {
    m_HeldSince = Now;
    addCounter(m_Gateway.m_Metrics, "vanillaferry_rollout_streams_held_total");
  }
  // A stream that has waited for half of its time is not refused for the rest.
  if (!Holds || Now - *m_HeldSince >= std::min(RolloutStreamHold, timeLeft()))
    return false;
  m_RoomTimer.start(StagePoll.m_Value, [Weak = weak_from_this()] {
    std::shared_ptr<Exchange> Self = Weak.lock();
    if (Self && !Self->m_Done)
      Self->dispatch();
    return false;
  });
  return true;
}

void Exchange::recordRolloutSent(const DispatchTarget &Target) {
  GatewayRollout *Known = findRollout(m_Gateway, m_Service);
  if (!Known)
    return;
  RolloutShare &Share = Known->m_Share;
  RolloutTry &Counted = m_Try->m_Rollout;
  Millis Now = monotonicNow();
  Counted.m_Number = Share.m_Order.m_Number;
  Counted.m_New = m_Try->m_Software == Share.m_Order.m_Version;
  Counted.m_Untimed =
      Target.m_ColdUntil > Now || m_Events.m_LastId.value_or(0) > 0;
  if (Counted.m_New) {
    m_TriedNew = true;
    noteSentNew(Share, kindOf(isStream()));
  } else {
    ++Share.m_SentOthers;
  }
  addCounter(m_Gateway.m_Metrics,
             Counted.m_New
                 ? "vanillaferry_rollout_requests_total{version=\"new\"}"
                 : "vanillaferry_rollout_requests_total{version=\"others\"}");
}

bool Exchange::mayRunAtVersion() const {
  const GatewayRollout *Known = findRollout(m_Gateway, m_Service);
  // The gateway to which a request is passed on checks the version itself.
  if (!Known || !m_Try || !m_Try->m_Relay.empty())
    return true;
  const RolloutOrder &Order = Known->m_Share.m_Order;
  if (isExcluded(Order, m_Try->m_Software))
    return false;
  // A try that began before the order was known is no canary.
  bool IsNew = m_Try->m_Software == Order.m_Version;
  bool Counted = m_Try->m_Rollout.m_Number == Order.m_Number;
  return !IsNew || m_Need.m_Software || isFinal(Order.m_Stage) ||
         (Counted && !Known->m_Share.m_Stopped);
}

void Exchange::recordRolloutConfirmed(TargetTry &Try) {
  GatewayRollout *Known = findRollout(m_Gateway, m_Service);
  RolloutTry &Counted = Try.m_Rollout;
  bool Applies = Known && Counted.m_New && !Counted.m_Confirmed &&
                 Counted.m_Number == Known->m_Share.m_Order.m_Number;
  Counted.m_Confirmed = true;
  if (Applies)
    noteConfirmed(Known->m_Share);
}

void Exchange::recordRolloutEnd(TargetTry &Try, TargetOutcome How) {
  GatewayRollout *Known = findRollout(m_Gateway, m_Service);
  RolloutTry Counted = Try.m_Rollout;
  if (!Known || Counted.m_Number == 0 ||
      Counted.m_Number != Known->m_Share.m_Order.m_Number)
    return;
  recordRolloutConfirmed(Try);
  if (Counted.m_New && Counted.m_Unsent)
    noteNotSent(Known->m_Share, kindOf(isStream()));
  // An answer that the deadline cut off took at least so long.
  bool Overdue = How == TargetOutcome::Abandoned && !Counted.m_Unsent &&
                 !Counted.m_Untimed && timeLeft() <= DeadlineRounding;
  bool Ended = How == TargetOutcome::Served || How == TargetOutcome::Failed;
  bool OfCaller =
      Try.m_Status >= FirstCallerError && Try.m_Status < FirstServerError;
  if ((!Ended && !Overdue) || OfCaller)
    return;
  SeenAnswer Seen;
  Seen.m_Overdue = Overdue;
  Seen.m_Route = m_Route.m_Name;
  Seen.m_New = Counted.m_New;
  Seen.m_Failed = How == TargetOutcome::Failed;
  // A whole answer with a status came over a sound link.
  Seen.m_MayBeLink = Seen.m_Failed && Try.m_Status < FirstServerError;
  if (!Seen.m_Failed && !Counted.m_Untimed)
    Seen.m_Total = monotonicNow() - Try.m_StartedAt;
  recordRolloutAnswer(m_Gateway, m_Service, Seen);
}

void Exchange::addRunning(const RolloutOrder &Order,
                          std::map<std::string, RouteEvidence> &Routes) const {
  if (m_Done || !m_Try || m_Service != Order.m_Service ||
      m_Try->m_Rollout.m_Number != Order.m_Number || m_Try->m_Rollout.m_Untimed)
    return;
  RouteEvidence &Evidence = Routes[m_Route.m_Name];
  Evidence.m_Route = m_Route.m_Name;
  addToBuckets(m_Try->m_Rollout.m_New ? Evidence.m_New.m_Running
                                      : Evidence.m_Others.m_Running,
               monotonicNow() - m_Try->m_StartedAt);
}

Exchange::VersionUse Exchange::useOfFormer(const RolloutOrder &Order) const {
  VersionUse Use;
  auto RunsAtFormer = [&Order](const TargetTry &Try) {
    return Try.m_Relay.empty() && isFormer(Order, Try.m_Software);
  };
  bool RunsHere = (m_Try && RunsAtFormer(*m_Try)) ||
                  (m_Held && RunsAtFormer(m_Held->m_Try));
  bool Bound = m_Need.m_Software && isFormer(Order, *m_Need.m_Software);
  Use.m_Runs = !m_Done && (Bound || RunsHere);
  Use.m_IsStream = isStream();
  return Use;
}

} // namespace vanillaferry
