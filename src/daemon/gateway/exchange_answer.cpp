#include "gateway/exchange.hpp"

#include "connection/caller_pool.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

namespace vanillaferry {

namespace {

constexpr int FirstSuccess = 200;
constexpr int FirstRedirection = 300;
constexpr int FirstServerError = 500;
constexpr int MisdirectedRequest = 421;
constexpr int Unavailable = 503;
/// A target that is not the listed one at its address gets no request for so
/// long; the list then names the one that is there. Otherwise the requests that
/// it turns away would use up the retry budget.
constexpr Millis MisdirectedPause{1000};
constexpr double MillisPerSecond = 1000;
/// Answers that are not streams are held until they are whole, so that one that
/// breaks off is never delivered. A gateway has 160 MB for everything.
constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
constexpr std::size_t MaxBufferedAnswers = 48 * 1024 * 1024;
/// An event holds a few tokens. Larger ones end their try when there is no room
/// for them.
constexpr std::size_t MaxEventBytes = 1024 * 1024;
constexpr std::size_t UsualEventBytes = 16 * 1024;
/// With more bytes waiting for a slow caller, nothing is read from the target.
constexpr std::size_t CallerHighWater = 1024 * 1024;
/// The same while there is no room.
constexpr std::size_t CallerHighWaterWithoutRoom = 64 * 1024;

std::size_t callerHighWater() {
  return hasRoom(CallerPool::instance().budget(), RoomFor::SmallBody)
             ? CallerHighWater
             : CallerHighWaterWithoutRoom;
}

bool isSuccess(int Status) {
  return Status >= FirstSuccess && Status < FirstRedirection;
}

} // namespace

bool Exchange::isOwnAnswer(const TargetHead &Head) {
  if (m_Done || !m_Try)
    return false;
  TargetAnswer Answer = m_Gateway.m_Protocol->m_ReadAnswer(Head);
  if (Answer.m_Request.empty() || Answer.m_Request == m_Request.m_Id) {
    m_Try->m_Answer = std::move(Answer);
    return true;
  }
  addCounter(m_Gateway.m_Metrics, "vanillaferry_foreign_answers_total");
  logEvent(Event::ForeignAnswerSkipped,
           {{"request", m_Request.m_Id.m_Value},
            {"answer_to", Answer.m_Request.m_Value}});
  return false;
}

void Exchange::noteTargetState(DispatchTarget &Target,
                               const TargetAnswer &Answer) {
  Millis Now = monotonicNow();
  const std::string &Id = Target.m_Listed.m_Id.m_Value;
  if (Answer.m_Report)
    noteReport(Target, *Answer.m_Report, Now);
  if (Answer.m_TargetLeaves && !Target.m_SaysLeaving)
    logEvent(Event::TargetLeaves,
             {{"target", Id}, {"request", m_Request.m_Id.m_Value}});
  if (Answer.m_TargetLeaves)
    noteLeaving(Target);
  noteTargetLimits(m_Gateway, m_Service, Target, Answer);
  wakeRoom(m_Gateway, m_Service);
  if (!Answer.m_Pause)
    return;
  noteAskedPause(Target, *Answer.m_Pause, Now);
  addCounter(m_Gateway.m_Metrics, "vanillaferry_target_pauses_total");
  logEvent(Event::TargetAsksPause, {{"target", Id},
                                    {"request", m_Request.m_Id.m_Value},
                                    {"pause_ms", Answer.m_Pause->m_Value}});
}

void Exchange::onHead(const TargetHead &Head) {
  if (m_Done || !m_Try || !m_Try->m_Answer)
    return;
  m_Try->m_Status = Head.m_Status;
  m_Try->m_ContentType = Head.m_ContentType;
  if (!m_Try->m_Relay.empty() && !onRelayHead(Head))
    return;
  const TargetAnswer &Answer = *m_Try->m_Answer;
  DispatchTarget *Target = findTarget(m_Gateway, m_Service, m_Try->m_Target);
  if (Target)
    noteTargetState(*Target, Answer);
  if (!m_Try->m_Relay.empty())
    return;
  if (!isStream())
    noteTargetSpeaks();
  if (Answer.m_NotRun || Head.m_Status == MisdirectedRequest) {
    if (Target && Head.m_Status == Unavailable)
      noteTurnedAway(*Target, monotonicNow());
    if (Target && Head.m_Status == MisdirectedRequest)
      noteAskedPause(*Target, MisdirectedPause, monotonicNow());
    --m_PossibleRuns;
    m_Try->m_Call->cancel();
    closeTry(TargetOutcome::Refused);
    return retryOrFail(RetryReason::TargetRefused,
                       "the target refused the request");
  }
  if (Answer.m_Request != m_Request.m_Id)
    abandonTry(RetryReason::StreamBroken, "the answer names no request");
}

bool Exchange::exceedsMemory(std::size_t Size) {
  bool TooLarge =
      m_Try->m_Body.size() + Size > MaxAnswerBytes ||
      m_Events.m_Rest.size() > MaxEventBytes ||
      m_Gateway.m_BufferedAnswers + Size > MaxBufferedAnswers ||
      (Size > 0 && !CallerPool::instance().takeAnswerRoom()) ||
      (m_Events.m_Rest.size() > UsualEventBytes &&
       !hasRoom(CallerPool::instance().budget(), RoomFor::SmallBody));
  if (TooLarge)
    abandonTry(RetryReason::StreamBroken,
               "the answer is larger than the memory for it");
  return TooLarge;
}

void Exchange::countAnswer() {
  std::int64_t Held = allocatedFor(m_Events.m_Rest);
  if (m_Try)
    Held += allocatedFor(m_Try->m_Body);
  if (m_FallbackAnswer)
    Held += allocatedFor(m_FallbackAnswer->m_Body);
  m_HeldAnswer.set(Held);
}

void Exchange::onData(const char *Data, std::size_t Size) {
  if (m_Done || !m_Try || !m_Try->m_Answer)
    return;
  bool Relayed =
      isStream() && isSuccess(m_Try->m_Status) && m_Try->m_Answer->m_Signed;
  if (exceedsMemory(Relayed ? 0 : Size))
    return;
  if (!Relayed) {
    appendByHalf(m_Try->m_Body, Data, Size);
    m_Buffered += Size;
    m_Gateway.m_BufferedAnswers += Size;
    return countAnswer();
  }
  std::string Events = extractEvents(m_Events, Data, Size);
  countAnswer();
  if (!Events.empty())
    relayEvents(Events);
}

void Exchange::relayEvents(const std::string &Events) {
  if (!m_FirstEvent) {
    m_FirstEvent = monotonicNow();
    observe(m_Gateway.m_Metrics, "vanillaferry_first_event_seconds",
            static_cast<double>((*m_FirstEvent - m_ArrivedAt).m_Value) /
                MillisPerSecond);
  }
  m_LastProgress = monotonicNow();
  dropHeld();
  noteTargetSpeaks();
  if (!m_Try->m_FirstEventAt)
    m_Try->m_FirstEventAt = m_LastProgress;
  m_Need.m_Software = m_Try->m_Software;
  recordRolloutConfirmed(*m_Try);
  if (!m_StreamStarted) {
    m_StreamStarted = true;
    if (repeatable())
      m_PauseTimer.start(SilenceCheckInterval.m_Value,
                         [Weak = weak_from_this()] {
                           if (std::shared_ptr<Exchange> Self = Weak.lock())
                             Self->checkPause();
                           return true;
                         });
    // A stream continued at another target keeps the first target's header.
    if (!m_Caller->startStream(m_Try->m_ContentType, answerFields()))
      return finish("caller_left", 0);
  }
  m_Caller->append(Events);
  if (m_Caller->waiting() > callerHighWater() && m_Try) {
    m_Try->m_Rollout.m_Untimed = true;
    m_Try->m_Call->pause();
  }
}

void Exchange::onEnd(CallEnd How, const std::string &Detail) {
  if (m_Done || !m_Try)
    return;
  switch (How) {
  case CallEnd::NotSent:
    return endUnsent(Detail);
  case CallEnd::Forbidden: {
    bool OtherVersion = !mayRunAtVersion();
    m_Try->m_Rollout.m_Unsent = true;
    closeTry(TargetOutcome::Abandoned);
    if (!mayBePrompted())
      return refusePrompt();
    if (OtherVersion)
      return dispatch();
    return refuseChoice(
        refuseDispatch(DispatchRefusal::NoneInService, Millis()));
  }
  case CallEnd::Broken:
    return endBrokenAnswer(Detail);
  case CallEnd::Complete:
    break;
  }
  if (isStream() && isSuccess(m_Try->m_Status) && m_Try->m_Answer->m_Signed)
    endStream();
  else
    endBufferedAnswer();
}

void Exchange::endUnsent(const std::string &Detail) {
  if (!m_Try->m_Relay.empty()) {
    pauseRelay(m_Gateway.m_Relays, m_Try->m_Relay, monotonicNow());
    closeTry(TargetOutcome::Unreachable);
    return retryOrFail(RetryReason::RelayFailed, Detail);
  }
  FailedConnect Failed{m_Try->m_Target, m_Try->m_StartedAt};
  m_Try->m_Rollout.m_Unsent = true;
  closeTry(TargetOutcome::Unreachable);
  recordNotConnected(m_Gateway, m_Service, Failed);
  retryOrFail(RetryReason::ConnectFailed, Detail);
}

void Exchange::endStream() {
  if (!m_Events.m_Rest.empty())
    return endBrokenAnswer("the stream ended inside an event");
  // An answer without a length and chunks ends with its connection, as one does
  // whose target has ended. Nothing may be left of a continued stream.
  bool MayBeWhole = m_StreamStarted && !m_Try->m_Call->connectionEnded();
  if (!m_Try->m_FirstEventAt && !MayBeWhole)
    return endBrokenAnswer("the stream ended without an event");
  recordServed();
  closeTry(TargetOutcome::Served);
  m_Caller->finish();
  finish("complete", FirstSuccess);
}

void Exchange::endBrokenAnswer(const std::string &Detail) {
  recordCut(Detail);
  closeTry(TargetOutcome::Failed);
  retryOrFail(RetryReason::StreamBroken, Detail);
}

void Exchange::endBufferedAnswer() {
  FallbackAnswer Answer{m_Try->m_Status, m_Try->m_ContentType,
                        std::move(m_Try->m_Body), answerFields()};
  bool Success = isSuccess(Answer.m_Status);
  if (Success && !m_Try->m_Answer->m_Signed) {
    closeTry(TargetOutcome::Failed);
    return retryOrFail(RetryReason::StreamBroken,
                       "the answer lacks the target's signature");
  }
  if (Success)
    recordServed();
  bool Failed = Answer.m_Status >= FirstServerError;
  closeTry(Failed ? TargetOutcome::Failed : TargetOutcome::Served);
  if (!Failed || !repeatable() || m_StreamStarted)
    return deliver(std::move(Answer));
  m_FallbackAnswer = std::move(Answer);
  retryOrFail(RetryReason::TargetUnavailable,
              "the target answered with a server error");
}

HttpFields Exchange::answerFields() const {
  HttpFields Fields = m_Try->m_Answer->m_Fields;
  HttpFields ForRelay = fieldsForRelay();
  Fields.insert(Fields.end(), ForRelay.begin(), ForRelay.end());
  return Fields;
}

void Exchange::deliver(FallbackAnswer Answer) {
  if (m_StreamStarted) {
    m_Caller->breakOff();
    return finish("stream_broken", FirstSuccess);
  }
  HttpFields Fields = Answer.m_Fields;
  if (m_Gateway.m_DrainingSince)
    Fields.emplace_back("Connection", "close");
  m_FirstEvent = monotonicNow();
  observe(m_Gateway.m_Metrics, "vanillaferry_answer_seconds",
          static_cast<double>((*m_FirstEvent - m_ArrivedAt).m_Value) /
              MillisPerSecond);
  // From here on, the connection counts it.
  m_HeldAnswer.set(0);
  m_Caller->respond(Answer.m_Status, Answer.m_ContentType,
                    std::move(Answer.m_Body), Fields);
  finish("answered", Answer.m_Status);
}

void Exchange::fail(RefusalReason Reason, const std::string &Why) {
  if (m_FallbackAnswer && !m_StreamStarted) {
    FallbackAnswer Answer = std::move(*m_FallbackAnswer);
    return deliver(std::move(Answer));
  }
  countRefusal(m_Gateway.m_Metrics, Reason);
  int Status = refusalHttpStatus(Reason);
  if (m_StreamStarted) {
    m_Caller->breakOff();
    return finish("stream_broken", FirstSuccess);
  }
  // A status of 503 would state that the request has not run.
  logEvent(Event::RequestRefused, {{"request", m_Request.m_Id.m_Value},
                                   {"reason", refusalName(Reason)},
                                   {"why", Why},
                                   {"ran", m_PossibleRuns}});
  m_Caller->respond(Status, "application/json",
                    refusalJson({Reason, NotRun::Unknown, Why}, m_Caller->m_Id),
                    fieldsForRelay());
  finish(refusalName(Reason), Status);
}

} // namespace vanillaferry
