#include "request/journal_client.hpp"

#include "process/clock.hpp"
#include "process/lease_client.hpp"
#include "process/router.hpp"
#include "vanillaferry/request/journal.hpp"

namespace vanillaferry {

namespace {

/// Longest wait for a durable outcome. Waiting ensures that a resend directly
/// after the answer finds the recorded outcome.
constexpr std::int64_t EndTimeoutMs = 1000;

JournalEnd makeEnd(const Session &S, CallOutcome Outcome,
                   const CallAnswer &Answer) {
  JournalEnd End;
  End.m_Request = S.m_Begin.m_Request;
  End.m_Account = S.m_Begin.m_Account;
  End.m_Key = S.m_Begin.m_Key;
  End.m_Node = S.m_Begin.m_Node;
  End.m_Incarnation = S.m_Begin.m_Incarnation;
  End.m_Outcome = Outcome;
  End.m_Answer = Answer;
  if (static_cast<std::int64_t>(End.m_Answer.m_Body.size()) >
      MaxJournaledBody.m_Value) {
    End.m_Answer.m_Body.clear();
    End.m_Answer.m_ContentType = BodyNotKeptType;
  }
  return End;
}

void sendEnd(Router &R, JournalEnd End,
             std::function<void(const JournalAnswer &)> OnAnswer) {
  sendToLeader(R, End);
  RequestId Request = End.m_Request;
  R.m_JournalEnds[Request] =
      JournalCall{std::move(End), monotonicNow() + JournalRepeatInterval,
                  std::move(OnAnswer)};
}

/// Records as not run a call that was granted after its caller was refused.
void endUnusedGrant(Router &R, const JournalBegin &Begin) {
  JournalEnd End;
  End.m_Request = Begin.m_Request;
  End.m_Account = Begin.m_Account;
  End.m_Key = Begin.m_Key;
  End.m_Node = Begin.m_Node;
  End.m_Incarnation = Begin.m_Incarnation;
  End.m_Outcome = CallOutcome::NotRun;
  sendEnd(R, std::move(End), nullptr);
}

void respondRecorded(const std::shared_ptr<Session> &S,
                     const CallAnswer &Answer) {
  S->m_Journaled = false;
  S->m_Caller->respond(Answer.m_HttpStatus,
                       Answer.m_ContentType.empty() ? "application/octet-stream"
                                                    : Answer.m_ContentType,
                       Answer.m_Body, {{"Idempotent-Replay", "true"}});
  closeSession(S);
}

/// Refuses a call that the journal did not grant; nothing is to be recorded.
void refuseUngranted(const std::shared_ptr<Session> &S, RefusalReason Reason,
                     NotRun Ran, const char *Message) {
  S->m_Journaled = false;
  refuseSession(S, Reason, Ran, Message);
}

void takeBeginAnswer(const std::shared_ptr<Session> &S,
                     const JournalAnswer &Answer) {
  switch (Answer.m_Status) {
  case JournalStatus::Granted:
    S->m_JournalGranted = true;
    startWalk(S);
    return;
  case JournalStatus::Recorded:
    respondRecorded(S, Answer.m_Answer);
    return;
  case JournalStatus::Running:
    refuseUngranted(S, RefusalReason::AlreadyRunning, NotRun::Unknown,
                    "a call with this key is still running");
    return;
  case JournalStatus::OutcomeUnknown:
    refuseUngranted(S, RefusalReason::OutcomeUnknown, NotRun::Unknown,
                    "an earlier call with this key may have run");
    return;
  case JournalStatus::BodyMismatch:
    refuseUngranted(S, RefusalReason::KeyBodyMismatch, NotRun::True,
                    "the key was used with another request");
    return;
  case JournalStatus::KeyExpired:
    refuseUngranted(S, RefusalReason::KeyExpired, NotRun::True,
                    "the key was issued more than 23 hours ago");
    return;
  case JournalStatus::KeyFromFuture:
    refuseUngranted(S, RefusalReason::KeyFromFuture, NotRun::True,
                    "the key's time of issue is in the future");
    return;
  case JournalStatus::Ended:
  case JournalStatus::Unavailable:
    return;
  }
}

/// True when the answer is a decision about the call; otherwise the request is
/// repeated.
bool isFinal(JournalStatus Status) {
  return Status != JournalStatus::Unavailable && Status != JournalStatus::Ended;
}

} // namespace

void beginJournaledCall(const std::shared_ptr<Session> &S) {
#ifdef VANILLAFERRY_BREAK_JOURNAL
  S->m_Journaled = false;
  startWalk(S);
  return;
#endif
  Router &R = S->m_Router;
  S->m_Step = SessionStep::Journal;
  std::weak_ptr<Session> Weak = S;
  JournalCall Call{S->m_Begin, monotonicNow() + JournalRepeatInterval,
                   [Weak](const JournalAnswer &Answer) {
                     std::shared_ptr<Session> Open = Weak.lock();
                     if (Open && Open->m_Step == SessionStep::Journal)
                       takeBeginAnswer(Open, Answer);
                   }};
  R.m_JournalBegins[S->m_Order.m_Request] = std::move(Call);
  sendToLeader(R, S->m_Begin);
}

void endJournaledCall(const std::shared_ptr<Session> &S, CallOutcome Outcome,
                      const CallAnswer &Answer,
                      std::function<void()> OnDurable) {
  S->m_Step = SessionStep::Ending;
  std::shared_ptr<bool> Called = std::make_shared<bool>(false);
  std::shared_ptr<Timer> Latest = std::make_shared<Timer>();
  std::function<void()> Once = [Called, OnDurable] {
    if (*Called)
      return;
    *Called = true;
    OnDurable();
  };
  // The callback keeps the timer alive until it fires or is stopped.
  Latest->start(EndTimeoutMs, [Once, Latest] {
    Once();
    Latest->stop();
    return false;
  });
  sendEnd(S->m_Router, makeEnd(*S, Outcome, Answer),
          [Once, Latest](const JournalAnswer &) {
            Latest->stop();
            Once();
          });
}

void endRefusedCall(Session &S, NotRun Ran) {
  Router &R = S.m_Router;
  auto Waiting = R.m_JournalBegins.find(S.m_Order.m_Request);
  if (Waiting != R.m_JournalBegins.end())
    Waiting->second.m_OnAnswer = nullptr;
  if (S.m_JournalGranted)
    sendEnd(R,
            makeEnd(S,
                    Ran == NotRun::True ? CallOutcome::NotRun
                                        : CallOutcome::Unknown,
                    CallAnswer()),
            nullptr);
}

void takeJournalAnswer(Router &R, const JournalAnswer &Answer) {
  auto End = R.m_JournalEnds.find(Answer.m_Request);
  if (Answer.m_Status == JournalStatus::Ended && End != R.m_JournalEnds.end()) {
    JournalCall Call = std::move(End->second);
    R.m_JournalEnds.erase(End);
    if (Call.m_OnAnswer)
      Call.m_OnAnswer(Answer);
    return;
  }
  auto Begin = R.m_JournalBegins.find(Answer.m_Request);
  if (Begin == R.m_JournalBegins.end() || !isFinal(Answer.m_Status))
    return;
  JournalCall Call = std::move(Begin->second);
  R.m_JournalBegins.erase(Begin);
  if (Call.m_OnAnswer)
    Call.m_OnAnswer(Answer);
  else if (Answer.m_Status == JournalStatus::Granted)
    endUnusedGrant(R, std::get<JournalBegin>(Call.m_Message));
}

void checkJournal(Router &R) {
  Millis Now = monotonicNow();
  std::vector<std::shared_ptr<Session>> TimedOut;
  for (std::pair<const RequestId, JournalCall> &Row : R.m_JournalBegins) {
    if (Row.second.m_NextSend <= Now) {
      Row.second.m_NextSend = Now + JournalRepeatInterval;
      sendToLeader(R, std::get<JournalBegin>(Row.second.m_Message));
    }
    auto Open = R.m_Sessions.find(Row.first);
    if (Open != R.m_Sessions.end() &&
        Open->second->m_Step == SessionStep::Journal &&
        (Open->second->m_Deadline <= Now ||
         Open->second->m_ArrivedAt + JournalTimeout <= Now))
      TimedOut.push_back(Open->second);
  }
  for (std::pair<const RequestId, JournalCall> &Row : R.m_JournalEnds)
    if (Row.second.m_NextSend <= Now) {
      Row.second.m_NextSend = Now + JournalRepeatInterval;
      sendToLeader(R, std::get<JournalEnd>(Row.second.m_Message));
    }
  for (const std::shared_ptr<Session> &S : TimedOut)
    refuseSession(S, RefusalReason::JournalUnavailable, NotRun::True,
                  "the journal did not answer in time");
}

} // namespace vanillaferry
