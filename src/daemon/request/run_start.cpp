#include "process/clock.hpp"
#include "process/lease_client.hpp"
#include "process/router.hpp"
#include "request/internal/run_steps.hpp"
#include "request/run.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

void decline(Router &R, const NodeId &From, const Forward &Order,
             RetryReason Why, const TargetId &Holder = TargetId()) {
  ForwardDecline Decline;
  Decline.m_Request = Order.m_Request;
  Decline.m_Attempt = Order.m_Attempt;
  Decline.m_Reason = Why;
  Decline.m_Holder = Holder;
  sendToNode(R, From, std::move(Decline));
}

bool isIdempotent(const PoolSettings &Settings, const std::string &Method) {
  if (Settings.m_Kind == ServiceKind::Engine)
    return true;
  return std::find(Settings.m_IdempotentMethods.begin(),
                   Settings.m_IdempotentMethods.end(),
                   Method) != Settings.m_IdempotentMethods.end();
}

PlacementRequest placementOf(const Forward &Order) {
  PlacementRequest Request;
  Request.m_Chat = hashChat(Order.m_Chat);
  Request.m_Target = Order.m_Target;
  Request.m_IgnoreRedirect = Order.m_IgnoreRedirect;
  Request.m_AnyTarget = Order.m_AnyTarget;
  Request.m_Priority = Order.m_Priority;
  return Request;
}

/// False while a target is cold or takes no requests, or while the pool's queue
/// is congested: the load bound then keeps many targets that hold a cached
/// prefix full. Waiting for them gave a median time to the first event of 1 s
/// in a pool that had lost an engine.
bool mayPark(const Router &R, const OwnerPool &Pool) {
  auto Queue = R.m_Queues.find(Pool.m_Settings.m_Id);
  if (R.m_Draining || (Queue != R.m_Queues.end() && Queue->second.m_Congested))
    return false;
  for (const std::pair<const TargetId, OwnedTarget> &Target : Pool.m_Targets)
    if (!Target.second.m_Dispatchable || isCold(Target.second.m_State))
      return false;
  return true;
}

/// Chooses the target of an order; a resume stays at its target, where it
/// already has a slot.
PlacementDecision decide(const Router &R, const OwnerPool &Pool,
                         const Forward &Order, Millis Now) {
  if (Order.m_ResumeOffset > 0 && Order.m_ResumeText.empty()) {
    PlacementDecision Same;
    Same.m_Admitted = Pool.m_Targets.count(Order.m_Target) != 0 &&
                      mayDispatchNow(R.m_Lease, R.m_Owned, Order.m_Target, Now);
    Same.m_Target = Order.m_Target;
    Same.m_Why =
        Same.m_Admitted ? PlacementReason::Holder : PlacementReason::NotOwner;
    return Same;
  }
  PlacementRequest Request = placementOf(Order);
  Request.m_NoWait = !mayPark(R, Pool);
  return decidePlacement(Pool, Request, Now);
}

/// Ends an earlier attempt of the same request without a message to its entry
/// router.
void replaceRun(Router &R, const RequestId &Request) {
  auto Found = R.m_Runs.find(Request);
  if (Found == R.m_Runs.end())
    return;
  std::shared_ptr<Run> Old = Found->second;
  R.m_Runs.erase(Found);
  Old->m_Done = true;
  if (Old->m_Call)
    Old->m_Call->cancel();
  releaseSlot(*Old, false);
}

/// Removes a parked earlier attempt; false when this attempt is not newer.
bool replaceParked(Router &R, const Forward &Order) {
  auto Parked = R.m_ParkedForwards.find(Order.m_Request);
  if (Parked == R.m_ParkedForwards.end())
    return true;
  if (Order.m_Attempt <= Parked->second.m_Order.m_Attempt)
    return false;
  auto Pool = R.m_OwnerPools.find(Parked->second.m_Order.m_Pool);
  if (Pool != R.m_OwnerPools.end())
    unparkRequest(Pool->second, Order.m_Request);
  R.m_ParkedForwards.erase(Parked);
  return true;
}

/// Dispatches an order to the target that the decision names.
void beginRun(Router &R, const NodeId &From, Forward Order, OwnerPool &Pool,
              const PlacementDecision &Decision) {
  std::shared_ptr<Run> Work = std::make_shared<Run>(R);
  for (const TargetSettings &Target : Pool.m_Settings.m_Targets)
    if (Target.m_Id == Decision.m_Target)
      Work->m_Target = Target;
  Work->m_From = From;
  Work->m_Kind = Pool.m_Settings.m_Kind;
  Work->m_Idempotent = isIdempotent(Pool.m_Settings, Order.m_Method);
  Work->m_ChatHash = hashChat(Order.m_Chat);
  Work->m_StartedAt = monotonicNow();
  Work->m_Next = Order.m_ResumeOffset;
  Work->m_Base = Order.m_ResumeText.empty() ? 0 : Order.m_ResumeOffset;
  Work->m_Progress.m_Limit = R.m_Document.m_Settings.m_Limits.m_StreamSilence;
  bool Resume = Order.m_ResumeOffset > 0 && Order.m_ResumeText.empty();
  Work->m_EverSent = Resume;
  Work->m_Stage = startOnTarget(Pool, placementOf(Order), Decision.m_Target,
                                Order.m_PromptTokens);
  ForwardAccept Accept;
  Accept.m_Request = Order.m_Request;
  Accept.m_Attempt = Order.m_Attempt;
  Accept.m_Target = Decision.m_Target;
  Accept.m_Why = placementReasonName(Decision.m_Why);
  Work->m_Order = std::move(Order);
  R.m_Runs[Work->m_Order.m_Request] = Work;
  sendToNode(R, From, std::move(Accept));
  dispatch(Work, Resume);
}

} // namespace

void decideParked(Router &R, const PoolId &Pool) {
  auto Own = R.m_OwnerPools.find(Pool);
  // beginRun() can end a run, which calls this function again; the outer loop
  // then continues.
  if (Own == R.m_OwnerPools.end() || R.m_DecidingParked)
    return;
  R.m_DecidingParked = true;
  while (std::optional<ParkedDecision> Next =
             nextParked(Own->second, monotonicNow())) {
    auto Parked = R.m_ParkedForwards.find(Next->m_Parked.m_Request);
    if (Parked == R.m_ParkedForwards.end())
      continue;
    ParkedForward Waiting = std::move(Parked->second);
    R.m_ParkedForwards.erase(Parked);
    if (holdsLease(R) && Next->m_Decision.m_Admitted)
      beginRun(R, Waiting.m_From, std::move(Waiting.m_Order), Own->second,
               Next->m_Decision);
    else
      decline(R, Waiting.m_From, Waiting.m_Order, RetryReason::Declined,
              Next->m_Decision.m_Holder);
  }
  R.m_DecidingParked = false;
}

void startRun(Router &R, const NodeId &From, Forward Order) {
  if (!replaceParked(R, Order))
    return;
  auto Running = R.m_Runs.find(Order.m_Request);
  if (Running != R.m_Runs.end()) {
    if (Order.m_Attempt <= Running->second->m_Order.m_Attempt)
      return;
    replaceRun(R, Order.m_Request);
  }
  auto Pool = R.m_OwnerPools.find(Order.m_Pool);
  if (!holdsLease(R) || Pool == R.m_OwnerPools.end()) {
    decline(R, From, Order, RetryReason::OwnerMoved);
    return;
  }
  Millis Now = monotonicNow();
  noteTotalsUsed(R, Pool->second.m_Mean, Now);
  PlacementDecision Decision = decide(R, Pool->second, Order, Now);
  if (Decision.m_Why == PlacementReason::HolderBusy) {
    addCounter(R.m_Metrics, "vanillaferry_parked_total");
    parkRequest(Pool->second, Order.m_Request, placementOf(Order), Now);
    RequestId Request = Order.m_Request;
    R.m_ParkedForwards[Request] = ParkedForward{From, std::move(Order)};
    return;
  }
  if (!Decision.m_Admitted) {
    decline(R, From, Order,
            Decision.m_Why == PlacementReason::NotOwner
                ? RetryReason::OwnerMoved
                : RetryReason::Declined,
            Decision.m_Holder);
    return;
  }
  beginRun(R, From, std::move(Order), Pool->second, Decision);
}

} // namespace vanillaferry
