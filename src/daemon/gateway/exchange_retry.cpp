#include "gateway/exchange.hpp"

#include "process/clock.hpp"
#include "process/log.hpp"
#include "vanillaferry/request/stream_progress.hpp"

namespace vanillaferry {

namespace {

void countSilent(Gateway &G, const char *Then) {
  addCounter(G.m_Metrics,
             std::string("vanillaferry_silent_tries_total{then=\"") + Then +
                 "\"}");
}

} // namespace

Millis Exchange::pauseLimit() const {
  return streamPauseLimit(m_Route.m_Objective, m_Route.m_LongestPause);
}

void Exchange::checkPause() {
  if (m_Done || !m_Try || returnIfHeldSpeaks() ||
      monotonicNow() - m_LastProgress < pauseLimit())
    return;
  // The caller is slow, not the target.
  if (m_Caller->waiting() > 0)
    return;
  leaveSilentTry("no event within the pause limit");
}

void Exchange::startFirstResponseTimer(Millis Limit) {
  m_FirstResponseTimer.start(Limit.m_Value, [Weak = weak_from_this()] {
    if (std::shared_ptr<Exchange> Self = Weak.lock())
      Self->onFirstResponseTimeout();
    return false;
  });
}

void Exchange::onFirstResponseTimeout() {
  if (m_Done || !m_Try || m_StreamStarted)
    return;
  if (isStream() ? m_FirstEvent.has_value() : m_Try->m_Answer.has_value())
    return;
  GatewayPool *Pool = findPool(m_Gateway, m_Service);
  if (Pool && m_Try->m_Relay.empty() && !m_Try->m_KeptSilent)
    suspectReach(Pool->m_Reach);
  if (!repeatable() || returnIfHeldSpeaks())
    return;
  int Number = m_Try->m_Number;
  leaveSilentTry("no response within the time limit");
  if (!m_Done && m_Try && m_Try->m_Number == Number)
    startFirstResponseTimer(SilenceCheckInterval);
}

DispatchChoice Exchange::choiceElsewhere() {
  GatewayPool *Pool = findPool(m_Gateway, m_Service);
  DispatchChoice None = refuseDispatch(DispatchRefusal::NoneInService, {});
  if (!Pool || m_Tries >= MaxTries || !mayBePrompted())
    return None;
  DispatchCriteria Need = m_Need;
  Need.m_ZonesOut = m_Gateway.m_Control.m_ZonesOut;
  excludeUnfit(Pool->m_Dispatch, Need);
  // A choice with a prefix would be recorded as a use of it.
  Need.m_PrefixHash = 0;
  DispatchChoice Choice = chooseByRollout(*Pool, Need, monotonicNow());
  if (outOfReach() && Choice.m_Refusal != DispatchRefusal::NoneInService)
    return nextRelay() ? DispatchChoice() : None;
  return Choice;
}

void Exchange::excludeUnfit(const DispatchPool &Pool,
                            DispatchCriteria &Need) const {
  Millis Now = monotonicNow();
  for (const std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets)
    if (Row.first == m_Try->m_Target || Row.second.m_PausedUntil > Now ||
        isSilent(Row.second, pauseLimit(), Now))
      Need.m_Excluded.insert(Row.first);
}

void Exchange::leaveSilentTry(const std::string &Why) {
  // Until it is connected, onConnectTimeout() decides.
  if (!mayRunAgain() || m_Try->m_Call->isConnecting())
    return;
  DispatchChoice Choice = choiceElsewhere();
  if (Choice.m_Refusal != DispatchRefusal::None)
    return keepSilentTry(Choice.m_Refusal);
  if (!mayRetry())
    return;
  holdTry();
  retryOrFail(RetryReason::StreamSilent, Why);
}

void Exchange::holdTry() {
  // A third target: of two silent ones the later is held.
  dropHeld();
  m_ConnectTimer.stop();
  m_FirstResponseTimer.stop();
  if (m_Try->m_Relay.empty())
    m_Need.m_Excluded.insert(m_Try->m_Target);
  else
    m_ExcludedRelays.insert(m_Try->m_Relay);
  m_Try->m_Call->pause();
  m_Held = HeldTry{std::move(*m_Try), m_Events.m_Rest, m_IsTrial,
                   m_LastProgress, false};
  m_Try.reset();
}

bool Exchange::returnToHeld() {
  if (!m_Held || m_Done)
    return false;
  HeldTry Held = std::move(*m_Held);
  m_Held.reset();
  m_Try = std::move(Held.m_Try);
  m_LastTarget = m_Try->m_Target;
  m_Events.m_Rest = std::move(Held.m_Rest);
  m_IsTrial = Held.m_IsTrial;
  m_LastProgress = Held.m_LastProgress;
  countSilent(m_Gateway, "returned_to");
  if (Held.m_Ended) {
    endBrokenAnswer("the connection failed beside another try");
    return true;
  }
  if (!m_StreamStarted)
    startFirstResponseTimer(SilenceCheckInterval);
  m_Try->m_Call->resume();
  return true;
}

bool Exchange::returnIfHeldSpeaks() {
  if (!m_Held || !m_Held->m_Try.m_Call->hasUnread())
    return false;
  m_Try->m_Call->cancel();
  closeTry(TargetOutcome::Abandoned);
  return returnToHeld();
}

void Exchange::dropHeld() {
  if (!m_Held)
    return;
  HeldTry Held = std::move(*m_Held);
  m_Held.reset();
  Held.m_Try.m_Call->cancel();
  settleTry(Held.m_Try, TargetOutcome::Failed);
  countSilent(m_Gateway, "left");
}

void Exchange::keepSilentTry(DispatchRefusal Why) {
  bool ForRoom = Why != DispatchRefusal::NoneInService;
  if (!m_Try->m_KeptSilent) {
    m_Try->m_KeptSilent = true;
    countSilent(m_Gateway, ForRoom ? "waits_for_room" : "kept");
    logEvent(Event::SilentTryKept,
             {{"request", m_Request.m_Id.m_Value},
              {"target", m_Try->m_Target.m_Value},
              {"silent_ms", (monotonicNow() - m_LastProgress).m_Value},
              {"waits_for_room", ForRoom}});
  }
  if (!outOfReach())
    awaitRoom(Why);
}

void Exchange::noteTargetSpeaks() {
  if (DispatchTarget *Target =
          findTarget(m_Gateway, m_Service, m_Try->m_Target))
    noteHeard(*Target, monotonicNow());
  if (m_Try->m_KeptSilent)
    leaveRoom();
}

void Exchange::abandonTry(RetryReason Why, const std::string &Detail) {
  m_Try->m_Call->cancel();
  closeTry(TargetOutcome::Failed);
  retryOrFail(Why, Detail);
}

bool Exchange::hasRunLeft() const {
  return m_PossibleRuns == 0 ||
         (repeatable() && m_PossibleRuns < m_Route.m_MaxTargets);
}

bool Exchange::mayRunAgain() const {
  // The next target may end as well.
  bool Suspect =
      m_PossibleRuns > 0 &&
      suspectPart(m_Gateway.m_Prompts, m_JudgedParts, monotonicNow());
  return !Suspect && hasRunLeft();
}

bool Exchange::mayRetry() {
  GatewayPool *Pool = findPool(m_Gateway, m_Service);
  return mayRunAgain() && Pool && takeRepeat(Pool->m_Repeats, monotonicNow());
}

void Exchange::retryOrFail(RetryReason Why, const std::string &Detail) {
  if (m_Done || (!m_Try && Why != RetryReason::StreamSilent && returnToHeld()))
    return;
  bool BudgetExempt = Why == RetryReason::ConnectFailed ||
                      Why == RetryReason::RelayFailed ||
                      Why == RetryReason::StreamSilent;
  if (!hasRunLeft() || (!BudgetExempt && !mayRetry())) {
    if (m_PossibleRuns == 0 && !m_StreamStarted)
      return refuse(RefusalReason::QueueFull, Millis(400), Detail);
    return fail(RefusalReason::TargetFailed, Detail);
  }
  countRetry(m_Gateway.m_Metrics, Why);
  logEvent(Event::RequestRetried, {{"request", m_Request.m_Id.m_Value},
                                   {"target", m_LastTarget.m_Value},
                                   {"reason", retryName(Why)},
                                   {"why", Detail},
                                   {"tries", m_Tries}});
  dispatch();
}

} // namespace vanillaferry
