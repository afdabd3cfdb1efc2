#include "request/session.hpp"

#include "connection/engine_adapter.hpp"
#include "process/clock.hpp"
#include "process/lease_client.hpp"
#include "process/recorder.hpp"
#include "process/router.hpp"
#include "request/entry.hpp"
#include "request/internal/session_steps.hpp"
#include "request/journal_client.hpp"
#include "request/prompt_refusal.hpp"
#include "request/run.hpp"

namespace vanillaferry {

namespace {

/// Credit is sent in steps, so that not every chunk causes a message.
constexpr std::int64_t CreditStep = 64 * 1024;
static_assert(CreditStep * 2 <= InitialCredit.m_Value);

std::shared_ptr<Session> findSession(Router &R, const RequestId &Request) {
  auto Found = R.m_Sessions.find(Request);
  return Found == R.m_Sessions.end() ? nullptr : Found->second;
}

/// The session that an owner's message belongs to; empty when the message is
/// late, of an earlier attempt or from another node than the one asked.
std::shared_ptr<Session> findAsked(Router &R, const NodeId &From,
                                   const RequestId &Request, Attempt Try) {
  std::shared_ptr<Session> S = findSession(R, Request);
  if (S && S->m_Asked.m_Owner == From && S->m_Order.m_Attempt == Try &&
      (S->m_Step == SessionStep::Asking || S->m_Step == SessionStep::Running))
    return S;
  addCounter(R.m_Metrics, "vanillaferry_late_messages_total");
  return nullptr;
}

void giveCredit(Session &S, std::int64_t Size) {
  S.m_OwedCredit += Size;
  if (S.m_OwedCredit < CreditStep || S.m_Caller->waiting() > CallerHighWater)
    return;
  ForwardCredit Credit;
  Credit.m_Request = S.m_Order.m_Request;
  Credit.m_Attempt = S.m_Order.m_Attempt;
  Credit.m_Bytes = Bytes(S.m_OwedCredit);
  S.m_OwedCredit = 0;
  sendToNode(S.m_Router, S.m_Asked.m_Owner, std::move(Credit));
}

void cancelAtOwner(Session &S) {
  sendToNode(S.m_Router, S.m_Asked.m_Owner,
             ForwardCancel{S.m_Order.m_Request, S.m_Order.m_Attempt});
}

void notifyHomeOwner(Session &S) {
  if (S.m_Kind != ServiceKind::Engine || S.m_Walk.m_Home.empty())
    return;
  auto Pool = S.m_Router.m_Pools.find(S.m_Order.m_Pool);
  if (Pool == S.m_Router.m_Pools.end())
    return;
  std::size_t Home = findTarget(Pool->second.m_View, S.m_Walk.m_Home);
  if (Home >= Pool->second.m_Owners.size())
    return;
  // The owner of the home target has placed the chat there itself.
  if (S.m_RanAt == S.m_Walk.m_Home && !S.m_Asked.m_IgnoreRedirect)
    return;
  sendToNode(S.m_Router, Pool->second.m_Owners[Home],
             PlacementUpdate{S.m_Order.m_Chat, S.m_Order.m_Pool,
                             S.m_Walk.m_Home, S.m_RanAt});
}

void startCallerStream(Session &S) {
  if (S.m_Caller->streaming())
    return;
  S.m_FirstEventAt = monotonicNow();
  observe(S.m_Router.m_Metrics, "vanillaferry_first_event_seconds",
          static_cast<double>((S.m_FirstEventAt - S.m_ArrivedAt).m_Value) /
              1000.0);
  std::weak_ptr<Session> Weak = S.weak_from_this();
  S.m_Caller->startStream("text/event-stream", placementFields(S));
  S.m_Caller->m_OnDrained = [Weak] {
    if (std::shared_ptr<Session> Open = Weak.lock())
      if (Open->m_Step == SessionStep::Running)
        giveCredit(*Open, 0);
  };
}

bool streamsToCaller(const Session &S) {
  return S.m_Kind == ServiceKind::Engine && S.m_Order.m_Stream;
}

void respondBuffered(Session &S, int Status, const std::string &ContentType,
                     const std::string &Body) {
  S.m_Caller->respond(
      Status, ContentType.empty() ? "application/octet-stream" : ContentType,
      Body, placementFields(S));
}

void completeSession(const std::shared_ptr<Session> &S, const ForwardEnd &End) {
  Router &R = S->m_Router;
  noteSuccess(R.m_Retries, S->m_Order.m_Account, S->m_Order.m_Pool);
  addCounter(R.m_Metrics, "vanillaferry_completed_total");
  recordRequest(R, *S);
  if (S->m_Caller->streaming()) {
    S->m_Caller->finish();
    closeSession(S);
    return;
  }
  if (S->m_Journaled) {
    CallAnswer Answer{End.m_HttpStatus, End.m_ContentType, S->m_BufferedBody};
    endJournaledCall(S, CallOutcome::Answered, Answer, [S, Answer] {
      respondBuffered(*S, Answer.m_HttpStatus, Answer.m_ContentType,
                      Answer.m_Body);
      closeSession(S);
    });
    return;
  }
  respondBuffered(*S, End.m_HttpStatus, End.m_ContentType, S->m_BufferedBody);
  closeSession(S);
}

/// True for an answer without events to a streamed request, which is an error
/// response of the engine.
bool endsWithoutStream(const Session &S, const ForwardEnd &End) {
  return streamsToCaller(S) && !S.m_Caller->streaming() &&
         !End.m_Detail.empty();
}

} // namespace

HttpFields placementFields(const Session &S) {
  HttpFields Fields;
  if (!S.m_RanAt.empty())
    Fields.emplace_back("X-Placement",
                        S.m_RanAt.m_Value + "; " + S.m_PlacementReason +
                            (S.m_Continued ? "; continued" : ""));
  return Fields;
}

void startWalk(const std::shared_ptr<Session> &S) {
  Router &R = S->m_Router;
  auto Pool = R.m_Pools.find(S->m_Order.m_Pool);
  if (Pool == R.m_Pools.end()) {
    S->m_Walk = OwnerSearch();
    waitOrRefuse(S);
    return;
  }
  S->m_Walk = beginOwnerSearch(Pool->second, S->m_Order.m_Chat);
  askNextOwner(S);
}

void askNextOwner(const std::shared_ptr<Session> &S) {
  Router &R = S->m_Router;
  auto Pool = R.m_Pools.find(S->m_Order.m_Pool);
  if (Pool == R.m_Pools.end()) {
    waitOrRefuse(S);
    return;
  }
  for (;;) {
    S->m_Asked = nextOwnerSearchStep(S->m_Walk, Pool->second);
    if (!S->m_Asked.m_Ask) {
      waitOrRefuse(S);
      return;
    }
    bool Reachable = S->m_Asked.m_Owner == R.m_Settings.m_Node ||
                     R.m_Links.count(S->m_Asked.m_Owner) != 0;
    if (Reachable)
      break;
    dialBack(R, S->m_Asked.m_Owner);
    // Nothing was sent, so the next owner may be asked.
    countRetry(R.m_Metrics, RetryReason::PeerLinkLost);
    handleDecline(S->m_Walk, S->m_Asked);
  }
  askOwner(S);
}

void sessionAccept(Router &R, const NodeId &From, const ForwardAccept &Accept) {
  std::shared_ptr<Session> S =
      findAsked(R, From, Accept.m_Request, Accept.m_Attempt);
  if (!S)
    return;
  S->m_Step = SessionStep::Running;
  ++S->m_Tries;
  S->m_RanAt = Accept.m_Target;
  S->m_PlacementReason = Accept.m_Why;
  S->m_Asked.m_Target = Accept.m_Target;
  S->m_ResumeDeadline = Millis();
  addCounter(R.m_Metrics,
             "vanillaferry_placements_total{why=\"" + Accept.m_Why + "\"}");
  notifyHomeOwner(*S);
  noteWalkEnded(R, S->m_Order.m_Pool, S->m_Order.m_Request, true);
}

void sessionDecline(Router &R, const NodeId &From,
                    const ForwardDecline &Decline) {
  std::shared_ptr<Session> S =
      findAsked(R, From, Decline.m_Request, Decline.m_Attempt);
  if (!S)
    return;
  countRetry(R.m_Metrics, Decline.m_Reason);
  // Only the stream's own engine can resume by offset.
  if (S->m_Progress.m_Next > 0 && !S->m_Continued) {
    resumeLater(*S);
    return;
  }
  nextAttempt(S->m_Progress, monotonicNow());
  // The owner may no longer own this target or have paused it, but may have
  // others.
  if (Decline.m_Reason == RetryReason::OwnerMoved && !S->m_Asked.m_AnyTarget) {
    askAnyTarget(S);
    return;
  }
  handleDecline(S->m_Walk, S->m_Asked, Decline.m_Holder);
  askNextOwner(S);
}

void sessionChunk(Router &R, const NodeId &From, const ForwardChunk &Chunk) {
  std::shared_ptr<Session> S =
      findAsked(R, From, Chunk.m_Request, Chunk.m_Attempt);
  if (!S) {
    // The session is gone, for example after a restart of this node.
    if (!findSession(R, Chunk.m_Request))
      sendToNode(R, From, ForwardCancel{Chunk.m_Request, Chunk.m_Attempt});
    return;
  }
  ChunkDecision Decision =
      handleChunk(S->m_Progress, Chunk.m_Request, Chunk.m_Attempt,
                  Chunk.m_Offset, Chunk.m_Count, monotonicNow());
  if (Decision.m_Verdict == ChunkVerdict::Gap) {
    // Chunks were lost with a broken link; the new attempt requests them again.
    countRetry(R.m_Metrics, RetryReason::StreamBroken);
    nextAttempt(S->m_Progress, monotonicNow());
    askOwner(S);
    return;
  }
  if (Decision.m_Verdict != ChunkVerdict::Accept)
    return;
  std::int64_t Size = static_cast<std::int64_t>(Chunk.m_Data.size());
  S->m_Bytes += Size;
  if (S->m_Bytes > R.m_Document.m_Settings.m_Limits.m_MaxStream.m_Value) {
    refuseSession(S, RefusalReason::StreamTooLarge, NotRun::False,
                  "the answer is larger than the configured limit");
    cancelAtOwner(*S);
    return;
  }
  bool Events = streamsToCaller(*S);
  std::string Remainder;
  if (Events && Decision.m_Skip > 0)
    Remainder = skipEvents(Chunk.m_Data, Decision.m_Skip);
  const std::string &Data = Remainder.empty() ? Chunk.m_Data : Remainder;
  if (!Events) {
    S->m_BufferedBody += Data;
    giveCredit(*S, Size);
    return;
  }
  if (S->m_KeptAllEvents &&
      S->m_KeptEvents.size() + Data.size() <= MaxKeptEvents)
    S->m_KeptEvents += Data;
  else
    S->m_KeptAllEvents = false;
  startCallerStream(*S);
  S->m_Caller->append(Data);
  if (S->m_Step == SessionStep::Running)
    giveCredit(*S, Size);
}

namespace {

/// Excludes a broken target of another owner from the pool's mean load.
void noteBroken(Session &S) {
  auto Pool = S.m_Router.m_OwnerPools.find(S.m_Order.m_Pool);
  if (Pool != S.m_Router.m_OwnerPools.end() && !S.m_RanAt.empty())
    noteBrokenElsewhere(Pool->second, S.m_RanAt, monotonicNow());
}

} // namespace

void sessionEnd(Router &R, const NodeId &From, const ForwardEnd &End) {
  std::shared_ptr<Session> S = findAsked(R, From, End.m_Request, End.m_Attempt);
  if (!S)
    return;
  switch (End.m_End) {
  case StreamEnd::Complete: {
    if (endsWithoutStream(*S, End)) {
      respondBuffered(*S, End.m_HttpStatus, End.m_ContentType, End.m_Detail);
      closeSession(S);
      return;
    }
    EndVerdict Verdict =
        handleStreamEnd(S->m_Progress, End.m_Request, End.m_Attempt,
                        End.m_Events, monotonicNow());
    if (Verdict == EndVerdict::Complete)
      completeSession(S, End);
    else if (Verdict == EndVerdict::Incomplete)
      retryBroken(S, RetryReason::StreamBroken,
                  "events are missing at the answer's end");
    return;
  }
  case StreamEnd::NotSent:
    retryUnsent(S, RetryReason::ConnectFailed, End.m_Detail);
    return;
  case StreamEnd::TargetRefused:
    retryUnsent(S, RetryReason::TargetRefused,
                "the target refused the request");
    return;
  case StreamEnd::Broken:
    noteBroken(*S);
    if (End.m_Detail == "stream_too_large")
      refuseSession(S, RefusalReason::StreamTooLarge, NotRun::False,
                    "the answer is larger than the configured limit");
    else
      retryBroken(S, RetryReason::StreamBroken, End.m_Detail);
    return;
  case StreamEnd::Cancelled:
    refuseSession(S, RefusalReason::StreamBroken, NotRun::Unknown,
                  "the owner cancelled the request");
    return;
  }
}

void closeSession(const std::shared_ptr<Session> &S) {
  if (S->m_Step == SessionStep::Done)
    return;
  S->m_Step = SessionStep::Done;
  Router &R = S->m_Router;
  R.m_Sessions.erase(S->m_Order.m_Request);
  if (S->m_CountedAsRunning)
    endForAccount(R.m_Accounts, S->m_Order.m_Account);
  S->m_CountedAsRunning = false;
  endPromptTrial(*S);
  noteWalkEnded(R, S->m_Order.m_Pool, S->m_Order.m_Request,
                !S->m_RanAt.empty());
}

void refuseSession(const std::shared_ptr<Session> &S, RefusalReason Reason,
                   NotRun Ran, const std::string &Message) {
  if (S->m_Step == SessionStep::Done)
    return;
  countRefusal(S->m_Router.m_Metrics, Reason);
  recordRequest(S->m_Router, *S);
  if (S->m_Journaled)
    endRefusedCall(*S, Ran);
  Refusal Why{Reason, Ran, Message};
  if (S->m_Caller->streaming()) {
    logEvent(Event::StreamFailed, {{"request", S->m_Order.m_Request.m_Value},
                                   {"reason", refusalName(Reason)},
                                   {"detail", Message}});
    S->m_Caller->append(errorEvent(refusalJson(Why, S->m_Caller->m_Id)));
    S->m_Caller->finish();
  } else {
    S->m_Caller->refuse(Why, placementFields(*S));
  }
  closeSession(S);
}

void abandonSession(const std::shared_ptr<Session> &S) {
  if (S->m_Step == SessionStep::Done)
    return;
  addCounter(S->m_Router.m_Metrics, "vanillaferry_callers_left_total");
  logEvent(Event::CallerLeft, {{"request", S->m_Order.m_Request.m_Value}});
  if (S->m_Journaled && S->m_Step != SessionStep::Queued) {
    // The call continues, so that a resend finds its outcome in the journal.
    S->m_CallerGone = true;
    return;
  }
  if (S->m_Step == SessionStep::Queued)
    dropQueued(*S);
  recordRequest(S->m_Router, *S);
  bool Asked =
      S->m_Step == SessionStep::Asking || S->m_Step == SessionStep::Running;
  // Closed first, so that the cancelled run's end message finds no session.
  closeSession(S);
  if (Asked)
    cancelAtOwner(*S);
}

} // namespace vanillaferry
