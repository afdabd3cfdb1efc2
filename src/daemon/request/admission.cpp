#include "process/clock.hpp"
#include "process/router.hpp"
#include "request/entry.hpp"
#include "request/journal_client.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// Pause of a pool's queue after every owner has declined a request. It doubles
/// from the first to the last value while owners keep declining. A request that
/// ends at this router starts the next one at once, so the pause matters only
/// for slots that requests of other routers free.
constexpr Millis FirstPause{25};
constexpr Millis LastPause{200};
/// Prompt tokens for one unit of a request's cost in the queue.
constexpr std::int64_t TokensPerCost = 1024;

std::uint32_t weightOf(const Router &R, const AccountId &Account) {
  auto Found = R.m_Accounts.m_Accounts.find(Account);
  return Found == R.m_Accounts.m_Accounts.end()
             ? 1
             : Found->second.m_Settings.m_Weight;
}

void countWaiting(Router &R, const AccountId &Account, int Step) {
  auto Found = R.m_Accounts.m_Accounts.find(Account);
  if (Found == R.m_Accounts.m_Accounts.end())
    return;
  std::uint32_t &Waiting = Found->second.m_Waiting;
  if (Step > 0)
    ++Waiting;
  else if (Waiting > 0)
    --Waiting;
}

PoolQueue &queueOf(Router &R, const PoolId &Pool) {
  PoolQueue &Queue = R.m_Queues[Pool];
  Queue.m_Queue.m_Options.m_Limit =
      R.m_Document.m_Settings.m_Limits.m_QueueLength;
  return Queue;
}

WaitingRequest waitingOf(const Session &S) {
  WaitingRequest Waiting;
  Waiting.m_Request = S.m_Order.m_Request;
  Waiting.m_Account = S.m_Order.m_Account;
  Waiting.m_Priority = S.m_Order.m_Priority;
  Waiting.m_Cost = static_cast<std::uint32_t>(
      1 + S.m_Order.m_PromptTokens.m_Value / TokensPerCost);
  Waiting.m_EnteredAt = S.m_ArrivedAt;
  Waiting.m_Deadline = S.m_Deadline;
  Waiting.m_CountedServed = S.m_CountedServed;
  return Waiting;
}

void noteQueued(Session &S) {
  S.m_Step = SessionStep::Queued;
  countWaiting(S.m_Router, S.m_Order.m_Account, 1);
}

/// Puts a new request into its pool's queue, or refuses it.
void enqueueSession(const std::shared_ptr<Session> &S) {
  Router &R = S->m_Router;
  RefusalReason Reason =
      enqueue(queueOf(R, S->m_Order.m_Pool).m_Queue, waitingOf(*S),
              weightOf(R, S->m_Order.m_Account), monotonicNow());
  if (Reason == RefusalReason::None)
    noteQueued(*S);
  else
    refuseSession(S, Reason, NotRun::True,
                  Reason == RefusalReason::QueueFull
                      ? "the queue of waiting requests is full"
                      : "the shortest likely wait is longer than the time "
                        "left");
}

/// Pauses the queue after every owner has declined a request.
void blockQueue(PoolQueue &Queue, const RequestId &Request, Millis Now) {
  bool WasProbe = Queue.m_Probe == Request;
  if (WasProbe || !Queue.m_Congested)
    Queue.m_Pause =
        std::clamp(Queue.m_Pause + Queue.m_Pause, FirstPause, LastPause);
  if (WasProbe)
    Queue.m_Probe = RequestId();
  Queue.m_Congested = true;
  Queue.m_BlockedUntil = Now + Queue.m_Pause;
}

/// True when the next request may be offered to the owners.
bool mayWalk(PoolQueue &Queue, Millis Now) {
  if (Queue.m_Queue.m_Size == 0) {
    Queue.m_Congested = false;
    Queue.m_Pause = Millis();
    return false;
  }
  return Queue.m_BlockedUntil <= Now &&
         (!Queue.m_Congested || Queue.m_Probe.empty());
}

void startSession(const std::shared_ptr<Session> &S) {
  startForAccount(S->m_Router.m_Accounts, S->m_Order.m_Account);
  S->m_CountedAsRunning = true;
  if (S->m_Journaled && !S->m_JournalGranted)
    beginJournaledCall(S);
  else
    startWalk(S);
}

} // namespace

void admitSession(const std::shared_ptr<Session> &S) {
  Router &R = S->m_Router;
  Millis Now = monotonicNow();
  RefusalReason Reason = checkAccount(R.m_Accounts, S->m_Order.m_Account, Now);
  if (Reason != RefusalReason::None &&
      Reason != RefusalReason::AccountConcurrency) {
    refuseSession(S, Reason, NotRun::True,
                  Reason == RefusalReason::AccountRate
                      ? "the account's request rate limit is reached"
                      : "the account is disabled");
    return;
  }
  takeRateToken(R.m_Accounts, S->m_Order.m_Account, Now);
  PoolQueue &Queue = queueOf(R, S->m_Order.m_Pool);
  bool StartNow = Reason == RefusalReason::None && Queue.m_Queue.m_Size == 0 &&
                  Queue.m_BlockedUntil <= Now;
  if (StartNow)
    startSession(S);
  else
    enqueueSession(S);
}

void requeueSession(const std::shared_ptr<Session> &S) {
  Router &R = S->m_Router;
  if (S->m_CountedAsRunning)
    endForAccount(R.m_Accounts, S->m_Order.m_Account);
  S->m_CountedAsRunning = false;
  Millis Now = monotonicNow();
  blockQueue(queueOf(R, S->m_Order.m_Pool), S->m_Order.m_Request, Now);
  addCounter(R.m_Metrics, "vanillaferry_walks_exhausted_total");
  if (S->m_Deadline <= Now) {
    refuseSession(S, RefusalReason::DeadlinePassed,
                  S->m_Tries == 0 ? NotRun::True : NotRun::Unknown,
                  "no target was free before the deadline");
    return;
  }
  // The request was accepted before: it keeps its position and is not refused
  // because the queue is full.
  requeue(queueOf(R, S->m_Order.m_Pool).m_Queue, waitingOf(*S),
          weightOf(R, S->m_Order.m_Account), Now);
  noteQueued(*S);
}

void pumpQueue(Router &R, const PoolId &Pool) {
  auto Found = R.m_Queues.find(Pool);
  if (Found == R.m_Queues.end())
    return;
  while (holdsLease(R) && mayWalk(Found->second, monotonicNow())) {
    Millis Now = monotonicNow();
    std::optional<WaitingRequest> Next = dequeue(
        Found->second.m_Queue,
        [&R](const AccountId &Account) {
          return mayStart(R.m_Accounts, Account);
        },
        Now);
    if (!Next)
      return;
    countWaiting(R, Next->m_Account, -1);
    auto Open = R.m_Sessions.find(Next->m_Request);
    if (Open == R.m_Sessions.end())
      continue;
    std::shared_ptr<Session> S = Open->second;
    S->m_CountedServed = true;
    if (Found->second.m_Congested)
      Found->second.m_Probe = Next->m_Request;
    startSession(S);
  }
}

void noteWalkEnded(Router &R, const PoolId &Pool, const RequestId &Request,
                   bool Ran) {
  auto Found = R.m_Queues.find(Pool);
  if (Found == R.m_Queues.end())
    return;
  PoolQueue &Queue = Found->second;
  if (Queue.m_Probe == Request) {
    Queue.m_Probe = RequestId();
    Queue.m_Pause = Millis();
  }
  // A slot at a target is free or becomes free.
  if (Ran)
    Queue.m_BlockedUntil = Millis();
  pumpQueue(R, Pool);
}

void checkQueues(Router &R) {
  Millis Now = monotonicNow();
  std::vector<PoolId> Pools;
  for (std::pair<const PoolId, PoolQueue> &Row : R.m_Queues)
    Pools.push_back(Row.first);
  for (const PoolId &Pool : Pools) {
    for (const WaitingRequest &Expired :
         expireWaiting(R.m_Queues[Pool].m_Queue, Now)) {
      countWaiting(R, Expired.m_Account, -1);
      auto Open = R.m_Sessions.find(Expired.m_Request);
      if (Open == R.m_Sessions.end())
        continue;
      std::shared_ptr<Session> S = Open->second;
      refuseSession(S, RefusalReason::DeadlineUnreachable,
                    S->m_Tries == 0 ? NotRun::True : NotRun::Unknown,
                    "the request waited until its deadline");
    }
    pumpQueue(R, Pool);
  }
}

void dropQueued(Session &S) {
  auto Found = S.m_Router.m_Queues.find(S.m_Order.m_Pool);
  if (Found != S.m_Router.m_Queues.end() &&
      removeWaiting(Found->second.m_Queue, S.m_Order.m_Request))
    countWaiting(S.m_Router, S.m_Order.m_Account, -1);
}

} // namespace vanillaferry
