#include "vanillaferry/connection/liveness.hpp"
#include "vanillaferry/request/account_limit.hpp"
#include "vanillaferry/request/admission_queue.hpp"
#include "vanillaferry/request/retry.hpp"
#include "vanillaferry/request/stream_progress.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace vanillaferry;

namespace {

WaitingRequest makeWaiting(const std::string &Account, int Number,
                           Priority Kind = Priority::Latency) {
  WaitingRequest Request;
  Request.m_Request = RequestId(Account + "-" + std::to_string(Number));
  Request.m_Account = AccountId(Account);
  Request.m_Priority = Kind;
  Request.m_Deadline = Millis(60000);
  return Request;
}

bool anyAccount(const AccountId &) { return true; }

FailedAttempt makeFailed(RetryReason Reason) {
  FailedAttempt Failed;
  Failed.m_Account = AccountId("a");
  Failed.m_Pool = PoolId("p");
  Failed.m_Reason = Reason;
  Failed.m_Idempotent = true;
  Failed.m_TimeLeft = Millis(1000);
  return Failed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Admission)

// Guards against one account's surge delaying the others.
BOOST_AUTO_TEST_CASE(ASurgeDoesNotDelayOtherAccounts) {
  AdmissionQueue Queue;
  for (int I = 0; I < 400; ++I)
    enqueue(Queue, makeWaiting("surge", I), 1, Millis());
  for (int I = 0; I < 5; ++I)
    enqueue(Queue, makeWaiting("other", I), 1, Millis());
  int OthersServed = 0;
  for (int I = 0; I < 16; ++I) {
    std::optional<WaitingRequest> Next = dequeue(Queue, anyAccount, Millis());
    BOOST_REQUIRE(Next.has_value());
    OthersServed += Next->m_Account == AccountId("other") ? 1 : 0;
  }
  BOOST_TEST(OthersServed == 5);
}

// Guards against one account filling the whole queue.
BOOST_AUTO_TEST_CASE(NoAccountFillsTheQueue) {
  AdmissionQueue Queue;
  Queue.m_Options.m_Limit = 10;
  for (int I = 0; I < 5; ++I)
    BOOST_TEST((enqueue(Queue, makeWaiting("surge", I), 1, Millis()) ==
                RefusalReason::None));
  BOOST_TEST((enqueue(Queue, makeWaiting("surge", 5), 1, Millis()) ==
              RefusalReason::QueueFull));
  BOOST_TEST((enqueue(Queue, makeWaiting("other", 0), 1, Millis()) ==
              RefusalReason::None));
}

// Guards against batch requests delaying latency-critical ones.
BOOST_AUTO_TEST_CASE(LatencyCriticalRequestsGoBeforeBatchOnes) {
  AdmissionQueue Queue;
  enqueue(Queue, makeWaiting("a", 0, Priority::Batch), 1, Millis());
  enqueue(Queue, makeWaiting("a", 1), 1, Millis());
  BOOST_TEST(
      (dequeue(Queue, anyAccount, Millis())->m_Priority == Priority::Latency));
}

// Guards against queueing requests that cannot meet their deadline, and against
// refusing while the service rate is unknown.
BOOST_AUTO_TEST_CASE(ARequestThatCannotMeetItsDeadlineIsRefusedAtOnce) {
  AdmissionQueue Queue;
  for (int I = 0; I < 100; ++I)
    enqueue(Queue, makeWaiting("a", I), 1, Millis());
  for (int I = 1; I <= 10; ++I)
    dequeue(Queue, anyAccount, Millis(I * 100));
  WaitingRequest Hurried = makeWaiting("a", 200);
  Hurried.m_Deadline = Millis(2000);
  BOOST_TEST((enqueue(Queue, Hurried, 1, Millis(1000)) ==
              RefusalReason::DeadlineUnreachable));
  BOOST_TEST(expireWaiting(Queue, Millis(60000)).size() == 90U);
  BOOST_TEST(Queue.m_Size == 0U);
}

// Guards against refusals after a short stall of the whole pool: one request
// served in two seconds does not show that a deadline in 30 s cannot be met.
BOOST_AUTO_TEST_CASE(AStallBeforeTheFirstServedRequestRefusesNobody) {
  AdmissionQueue Queue;
  for (int I = 0; I < 40; ++I)
    BOOST_TEST((enqueue(Queue, makeWaiting("a", I), 1, Millis(I * 50)) ==
                RefusalReason::None));
  dequeue(Queue, anyAccount, Millis(2000));
  WaitingRequest Next = makeWaiting("a", 100);
  Next.m_Deadline = Millis(32000);
  BOOST_TEST((enqueue(Queue, Next, 1, Millis(2000)) == RefusalReason::None));
}

// Guards against a waiting request that loses its position when every owner
// declines it.
BOOST_AUTO_TEST_CASE(ADeclinedRequestKeepsItsTurn) {
  AdmissionQueue Queue;
  for (int I = 0; I < 4; ++I) {
    WaitingRequest Request = makeWaiting("a", I);
    Request.m_EnteredAt = Millis(I);
    enqueue(Queue, Request, 1, Millis(I));
  }
  std::optional<WaitingRequest> First = dequeue(Queue, anyAccount, Millis(10));
  std::optional<WaitingRequest> Second = dequeue(Queue, anyAccount, Millis(10));
  BOOST_REQUIRE(First.has_value() && Second.has_value());
  // Both searched for an owner at the same time; the first is declined first.
  requeue(Queue, *First, 1, Millis(20));
  requeue(Queue, *Second, 1, Millis(20));
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(dequeue(Queue, anyAccount, Millis(20))->m_Request.m_Value ==
               "a-" + std::to_string(I));
}

// Guards against an outdated service rate that refuses requests after the pool
// has recovered.
BOOST_AUTO_TEST_CASE(ARateIsForgottenOnceTheQueueMovesFaster) {
  AdmissionQueue Queue;
  for (int I = 0; I < 400; ++I)
    enqueue(Queue, makeWaiting("a", I), 1, Millis());
  // One request a second for 30 s, then 20 a second for 5 s.
  for (int I = 1; I <= 30; ++I)
    dequeue(Queue, anyAccount, Millis(I * 1000));
  for (int I = 1; I <= 100; ++I)
    dequeue(Queue, anyAccount, Millis(30000 + I * 50));
  BOOST_TEST(shortestWait(Queue, AccountId("a"), Priority::Latency).m_Value <
             30000);
  // The true wait is 13.5 s.
  BOOST_TEST(shortestWait(Queue, AccountId("a"), Priority::Latency).m_Value >
             5000);
}

// Guards against requests that are lost or duplicated in the queue.
BOOST_AUTO_TEST_CASE(EveryQueuedRequestLeavesOnce) {
  BOOST_TEST(
      rc::check("queue keeps count", [](std::vector<std::uint8_t> Steps) {
        AdmissionQueue Queue;
        Queue.m_Options.m_Limit = 20;
        std::set<RequestId> Inside;
        int Number = 0;
        for (std::uint8_t Step : Steps) {
          std::string Account(1, static_cast<char>('a' + Step % 3));
          if (Step < 140) {
            WaitingRequest Request = makeWaiting(
                Account, ++Number,
                Step % 2 == 0 ? Priority::Latency : Priority::Batch);
            Request.m_Cost = 1 + Step % 7;
            if (enqueue(Queue, Request, 1, Millis()) == RefusalReason::None)
              Inside.insert(Request.m_Request);
            continue;
          }
          AccountId Barred("a");
          std::optional<WaitingRequest> Next = dequeue(
              Queue, [&Barred](const AccountId &Id) { return Id != Barred; },
              Millis());
          if (!Next)
            continue;
          RC_ASSERT(Next->m_Account != Barred);
          if (Step > 230)
            requeue(Queue, *Next, 1, Millis());
          else
            RC_ASSERT(Inside.erase(Next->m_Request) == 1U);
        }
        RC_ASSERT(Queue.m_Size == Inside.size());
        while (std::optional<WaitingRequest> Next =
                   dequeue(Queue, anyAccount, Millis()))
          RC_ASSERT(Inside.erase(Next->m_Request) == 1U);
        RC_ASSERT(Inside.empty());
      }));
}

// Guards against an account that starts more than its share of the limit.
BOOST_AUTO_TEST_CASE(AnAccountStartsNoMoreThanItsShare) {
  AccountTable Table;
  AccountId Id("a");
  setAccounts(Table, {{Id, 10, 100, 1, true}}, 4, Millis());
  BOOST_TEST(!mayStart(Table, Id));
  applyShares(Table, {{Id, 2}});
  startForAccount(Table, Id);
  startForAccount(Table, Id);
  BOOST_TEST(!mayStart(Table, Id));
  Table.m_Accounts[Id].m_Waiting = 1;
  BOOST_TEST(demandUnmet(Table));
  applyShares(Table, {});
  endForAccount(Table, Id);
  BOOST_TEST(!mayStart(Table, Id));
}

// Guards against a retry storm when a zone fails: each of 10,000 requests fails
// and is retried until a retry is refused.
BOOST_AUTO_TEST_CASE(RetryBudgetsHoldWhenAZoneFails) {
  RetryTable Table;
  for (int I = 0; I < 1000; ++I)
    noteSuccess(Table, AccountId("a"), PoolId("p"));
  std::uint32_t Retries = 0;
  for (int I = 0; I < 10000; ++I) {
    FailedAttempt Failed = makeFailed(RetryReason::TargetUnavailable);
    while (decideRetry(Table, Failed, Millis(I)) == RetryVerdict::Retry) {
      ++Retries;
      ++Failed.m_Attempt.m_Value;
    }
  }
  // The saved budget, and the floor for ten seconds.
  BOOST_TEST(Retries <= 27U);
  BOOST_TEST(Retries >= 20U);
}

// Guards against retrying a call that must run at most once.
BOOST_AUTO_TEST_CASE(OnlyWhatCannotHaveRunOrMayRunTwiceIsRetried) {
  RetryTable Table;
  FailedAttempt Failed = makeFailed(RetryReason::ConnectFailed);
  Failed.m_Journaled = true;
  Failed.m_NothingSent = true;
  BOOST_TEST((decideRetry(Table, Failed, Millis()) == RetryVerdict::Forbidden));
  Failed.m_Journaled = false;
  Failed.m_Idempotent = false;
  BOOST_TEST((decideRetry(Table, Failed, Millis()) == RetryVerdict::Retry));
  Failed.m_NothingSent = false;
  BOOST_TEST((decideRetry(Table, Failed, Millis()) == RetryVerdict::Forbidden));
  Failed.m_Idempotent = true;
  Failed.m_TimeLeft = Millis();
  BOOST_TEST(
      (decideRetry(Table, Failed, Millis()) == RetryVerdict::DeadlinePassed));
}

// Guards against mixed or repeated text: with duplicates, late attempts,
// answers of other requests and gaps in any order, the caller must get each
// event once and in order.
BOOST_AUTO_TEST_CASE(TheCallerGetsEachEventOnceAndInOrder) {
  BOOST_TEST(
      rc::check("stream in order", [](std::vector<std::uint16_t> Chunks) {
        StreamProgress Progress;
        Progress.m_Request = RequestId("r");
        std::uint64_t Got = 0;
        for (std::uint16_t Chunk : Chunks) {
          std::uint64_t Offset = Chunk % 32;
          std::uint32_t Count = 1 + Chunk / 32 % 4;
          bool Crossed = Chunk / 128 % 8 == 0;
          bool Old = Chunk / 1024 % 8 == 0;
          if (Chunk / 8192 == 7)
            RC_ASSERT(nextAttempt(Progress, Millis()) == Got);
          Attempt Try(Progress.m_Attempt.m_Value - (Old ? 1 : 0));
          ChunkDecision Decision =
              handleChunk(Progress, RequestId(Crossed ? "other" : "r"), Try,
                          Offset, Count, Millis());
          if (Decision.m_Verdict != ChunkVerdict::Accept)
            continue;
          RC_ASSERT(!Crossed && !Old);
          RC_ASSERT(Offset + Decision.m_Skip == Got);
          Got += Count - Decision.m_Skip;
        }
        RC_ASSERT(Progress.m_Next == Got);
        RC_ASSERT((handleStreamEnd(Progress, RequestId("r"), Progress.m_Attempt,
                                   Got, Millis()) == EndVerdict::Complete));
      }));
}

// Guards against an answer that ends early being passed on as complete.
BOOST_AUTO_TEST_CASE(AnEndBeforeAllEventsIsIncomplete) {
  StreamProgress Progress;
  Progress.m_Request = RequestId("r");
  handleChunk(Progress, RequestId("r"), Attempt(1), 0, 3, Millis());
  BOOST_TEST((handleChunk(Progress, RequestId("r"), Attempt(1), 5, 1, Millis())
                  .m_Verdict == ChunkVerdict::Gap));
  BOOST_TEST((handleStreamEnd(Progress, RequestId("r"), Attempt(1), 6,
                              Millis()) == EndVerdict::Incomplete));
  BOOST_TEST(nextAttempt(Progress, Millis()) == 3U);
  BOOST_TEST((handleStreamEnd(Progress, RequestId("r"), Attempt(1), 3,
                              Millis()) == EndVerdict::Late));
}

// Guards against not detecting links and streams that have gone silent.
BOOST_AUTO_TEST_CASE(SilentLinksAndStreamsAreFound) {
  Liveness Link = makeLiveness(LivenessOptions(), Millis(0));
  BOOST_TEST(heartbeatDue(Link, Millis(1000)));
  noteSent(Link, Millis(1000));
  BOOST_TEST(!heartbeatDue(Link, Millis(1999)));
  // Sending alone does not show that the peer is alive.
  BOOST_TEST(linkSilent(Link, Millis(3000)));
  noteReceived(Link, Millis(2500));
  BOOST_TEST(!linkSilent(Link, Millis(5499)));
  Liveness Quiet = makeLiveness(LivenessOptions(), Millis(0));
  Quiet.m_Quiet = true;
  BOOST_TEST(!heartbeatDue(Quiet, Millis(29999)));
  BOOST_TEST(!linkSilent(Quiet, Millis(89999)));
  BOOST_TEST(linkSilent(Quiet, Millis(90000)));
  // A watched quiet link detects a silent peer as fast as an ordinary link, and
  // does not count the silence before the watch began.
  watchLink(Quiet, Millis(50000));
  BOOST_TEST(probeDue(Quiet, Millis(50000)));
  noteProbe(Quiet, Millis(50000));
  BOOST_TEST(!probeDue(Quiet, Millis(51499)));
  watchLink(Quiet, Millis(51900));
  BOOST_TEST(!linkSilent(Quiet, Millis(52999)));
  BOOST_TEST(linkSilent(Quiet, Millis(53000)));
  BOOST_TEST(!linkSilent(Quiet, Millis(54000)));
  BOOST_TEST(!linkRecentlyActive(Quiet, Millis(53000)));
  noteReceived(Quiet, Millis(53000));
  BOOST_TEST(linkRecentlyActive(Quiet, Millis(55999)));
  ProgressTimer Timer;
  noteProgress(Timer, Millis(100));
  BOOST_TEST(!progressOverdue(Timer, Millis(5099)));
  BOOST_TEST(progressOverdue(Timer, Millis(5100)));
}

BOOST_AUTO_TEST_SUITE_END()
