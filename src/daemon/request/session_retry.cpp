#include "request/internal/session_steps.hpp"

#include "connection/engine_adapter.hpp"
#include "process/clock.hpp"
#include "process/lease_client.hpp"
#include "process/router.hpp"
#include "request/entry.hpp"
#include "request/prompt_refusal.hpp"

#include <optional>

namespace vanillaferry {

namespace {

/// Checks the retry rules and budget; refuses the session when they forbid a
/// retry.
bool mayRetry(const std::shared_ptr<Session> &S, RetryReason Why,
              bool NothingSent, const std::string &Detail) {
  Router &R = S->m_Router;
  FailedAttempt Failed;
  Failed.m_Account = S->m_Order.m_Account;
  Failed.m_Pool = S->m_Order.m_Pool;
  Failed.m_Reason = Why;
  Failed.m_Attempt = Attempt(S->m_Tries);
  Failed.m_NothingSent = NothingSent;
  Failed.m_Idempotent = S->m_Idempotent;
  Failed.m_Journaled = S->m_Journaled;
  Failed.m_FirstContinuation = S->m_Caller->streaming() && !S->m_Continued;
  // A stream that has begun is not ended by its deadline.
  Failed.m_TimeLeft = S->m_Caller->streaming()
                          ? R.m_Document.m_Settings.m_Limits.m_DefaultDeadline
                          : S->m_Deadline - monotonicNow();
  NotRun Ran =
      NothingSent && S->m_MayHaveRun == false ? NotRun::True : NotRun::Unknown;
  RefusalReason Reason = RefusalReason::None;
  switch (decideRetry(R.m_Retries, Failed, monotonicNow())) {
  case RetryVerdict::Retry:
    countRetry(R.m_Metrics, Why);
    return true;
  case RetryVerdict::Forbidden:
    Reason = NothingSent ? RefusalReason::TargetFailed
                         : RefusalReason::OutcomeUnknown;
    break;
  case RetryVerdict::BudgetSpent:
    Reason = RefusalReason::RetryBudgetSpent;
    break;
  case RetryVerdict::DeadlinePassed:
    Reason = RefusalReason::DeadlinePassed;
    break;
  }
  refuseSession(S, Reason, Ran, Detail);
  return false;
}

} // namespace

void resumeLater(Session &S) {
  Millis Now = monotonicNow();
  S.m_Step = SessionStep::Resuming;
  S.m_NextTry = Now + ResumeRetryDelay;
  if (S.m_ResumeDeadline < Now)
    S.m_ResumeDeadline = Now + ResumeTimeLimit;
}

void askOwner(const std::shared_ptr<Session> &S) {
  if (!admitPrompt(S))
    return;
  S->m_Step = SessionStep::Asking;
  S->m_Order.m_Attempt = S->m_Progress.m_Attempt;
  S->m_Order.m_Target = S->m_Asked.m_Target;
  S->m_Order.m_IgnoreRedirect = S->m_Asked.m_IgnoreRedirect;
  S->m_Order.m_AnyTarget = S->m_Asked.m_AnyTarget;
  S->m_Order.m_ResumeOffset = S->m_Progress.m_Next;
  S->m_Order.m_TimeLeft = S->m_Deadline - monotonicNow();
  S->m_OwedCredit = 0;
  S->m_AskedAt = monotonicNow();
  sendToNode(S->m_Router, S->m_Asked.m_Owner, S->m_Order);
}

void waitOrRefuse(const std::shared_ptr<Session> &S) {
  Router &R = S->m_Router;
  auto Pool = R.m_Pools.find(S->m_Order.m_Pool);
  bool Empty = Pool == R.m_Pools.end() || Pool->second.m_View.m_Targets.empty();
  if (Empty && !S->m_Caller->streaming()) {
    refuseSession(S, RefusalReason::NoTargetInService,
                  S->m_Tries == 0 ? NotRun::True : NotRun::Unknown,
                  "the service has no target in service");
    return;
  }
  if (S->m_Caller->streaming())
    resumeLater(*S);
  else
    requeueSession(S);
}

void askAnyTarget(const std::shared_ptr<Session> &S) {
  S->m_Asked.m_AnyTarget = true;
  S->m_Asked.m_IgnoreRedirect = true;
  askOwner(S);
}

void retryUnsent(const std::shared_ptr<Session> &S, RetryReason Why,
                 const std::string &Detail) {
  if (!mayRetry(S, Why, true, Detail))
    return;
  nextAttempt(S->m_Progress, monotonicNow());
  // The owner knows by now which of its targets failed.
  if (!S->m_Asked.m_AnyTarget) {
    askAnyTarget(S);
    return;
  }
  handleDecline(S->m_Walk, S->m_Asked);
  askNextOwner(S);
}

void retryBroken(const std::shared_ptr<Session> &S, RetryReason Why,
                 const std::string &Detail) {
  S->m_MayHaveRun = true;
  // The next target may end as well.
  std::optional<PromptPartId> Suspect = suspectOf(*S);
  if (Why == RetryReason::StreamBroken && Suspect) {
    refuseSession(S, refusalReason(*Suspect), NotRun::Unknown,
                  refusalText(*Suspect));
    return;
  }
  if (!S->m_Caller->streaming()) {
    S->m_BufferedBody.clear();
    S->m_Bytes = 0;
    S->m_Progress.m_Next = 0;
    if (mayRetry(S, Why, false, Detail)) {
      nextAttempt(S->m_Progress, monotonicNow());
      startWalk(S);
    }
    return;
  }
  std::string Text = S->m_KeptAllEvents ? textOfEvents(S->m_KeptEvents) : "";
  if (Text.empty()) {
    refuseSession(S, RefusalReason::StreamBroken, NotRun::False, Detail);
    return;
  }
  if (!mayRetry(S, RetryReason::StreamContinued, false, Detail))
    return;
  S->m_Order.m_ResumeText = std::move(Text);
  S->m_Continued = true;
  nextAttempt(S->m_Progress, monotonicNow());
  startWalk(S);
}

void sessionLinkLost(Router &R, const NodeId &Node, Millis Since) {
  std::vector<std::shared_ptr<Session>> Affected;
  for (const std::pair<const RequestId, std::shared_ptr<Session>> &Row :
       R.m_Sessions)
    if (Row.second->m_Asked.m_Owner == Node && Row.second->m_AskedAt <= Since &&
        (Row.second->m_Step == SessionStep::Asking ||
         Row.second->m_Step == SessionStep::Running))
      Affected.push_back(Row.second);
  for (const std::shared_ptr<Session> &S : Affected) {
    // An order that was never accepted may still have reached its target.
    if (S->m_Step == SessionStep::Asking)
      ++S->m_Tries;
    bool Began = S->m_Caller->streaming() && S->m_Progress.m_Next > 0;
    if (!Began || S->m_Continued) {
      retryBroken(S, RetryReason::PeerLinkLost,
                  "the link to the target's owner broke");
      continue;
    }
    countRetry(R.m_Metrics, RetryReason::PeerLinkLost);
    S->m_MayHaveRun = true;
    resumeLater(*S);
  }
}

void sessionUnsent(Router &R, const NodeId &To, const Forward &Order) {
  auto Found = R.m_Sessions.find(Order.m_Request);
  if (Found == R.m_Sessions.end())
    return;
  std::shared_ptr<Session> S = Found->second;
  if (S->m_Step != SessionStep::Asking || S->m_Asked.m_Owner != To ||
      S->m_Order.m_Attempt != Order.m_Attempt)
    return;
  countRetry(R.m_Metrics, RetryReason::PeerLinkLost);
  S->m_Step = SessionStep::AwaitingLink;
  S->m_NextTry = monotonicNow() + LinkWait;
}

void checkAwaitedLinks(Router &R) {
  Millis Now = monotonicNow();
  std::vector<std::shared_ptr<Session>> Waiting;
  for (const std::pair<const RequestId, std::shared_ptr<Session>> &Row :
       R.m_Sessions)
    if (Row.second->m_Step == SessionStep::AwaitingLink)
      Waiting.push_back(Row.second);
  for (const std::shared_ptr<Session> &S : Waiting) {
    if (R.m_Links.count(S->m_Asked.m_Owner) != 0) {
      // The same id and attempt: the owner has not seen it.
      askOwner(S);
      continue;
    }
    dialBack(R, S->m_Asked.m_Owner);
    if (Now < S->m_NextTry)
      continue;
    // Only the stream's own engine can resume by offset.
    if (S->m_Progress.m_Next > 0 && !S->m_Continued) {
      resumeLater(*S);
      continue;
    }
    handleDecline(S->m_Walk, S->m_Asked);
    askNextOwner(S);
  }
}

void tryResumeStream(const std::shared_ptr<Session> &S) {
  Router &R = S->m_Router;
  Millis Now = monotonicNow();
  if (S->m_ResumeDeadline <= Now) {
    refuseSession(S, RefusalReason::StreamBroken, NotRun::False,
                  "no target could continue the stream");
    return;
  }
  if (S->m_Continued) {
    nextAttempt(S->m_Progress, Now);
    startWalk(S);
    return;
  }
  if (S->m_ResumeDeadline - Now < MinTimeForOwnEngine) {
    retryBroken(S, RetryReason::StreamBroken,
                "the stream's own engine cannot be reached");
    return;
  }
  std::optional<NodeId> Owner = ownerOf(R.m_Members, S->m_RanAt);
  bool Reachable =
      Owner && (*Owner == R.m_Settings.m_Node || R.m_Links.count(*Owner) != 0);
  if (!Reachable) {
    if (Owner)
      dialBack(R, *Owner);
    resumeLater(*S);
    return;
  }
  S->m_Asked = OwnerSearchStep();
  S->m_Asked.m_Ask = true;
  S->m_Asked.m_Owner = *Owner;
  S->m_Asked.m_Target = S->m_RanAt;
  S->m_Asked.m_IgnoreRedirect = true;
  nextAttempt(S->m_Progress, Now);
  askOwner(S);
}

} // namespace vanillaferry
