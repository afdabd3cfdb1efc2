#include "request/run.hpp"

#include "connection/service_adapter.hpp"
#include "process/clock.hpp"
#include "process/lease_client.hpp"
#include "process/poller.hpp"
#include "process/router.hpp"
#include "request/internal/run_steps.hpp"
#include "request/prompt_refusal.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

constexpr std::size_t MedianWindow = 64;
constexpr int HttpOk = 200;
/// Longer than a session tries to reach its owner (ResumeTimeLimit).
constexpr Millis OrphanLimit{15000};
constexpr int HttpServerError = 500;

Millis medianFirstToken(const FirstTokenWindow &Window) {
  if (Window.m_Times.empty())
    return Millis();
  std::vector<Millis> Sorted(Window.m_Times.begin(), Window.m_Times.end());
  auto Middle = Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() / 2);
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  return *Middle;
}

void noteFirstToken(Run &Work) {
  if (Work.m_FirstToken || Work.m_Order.m_ResumeOffset > 0)
    return;
  Work.m_FirstToken = monotonicNow() - Work.m_StartedAt;
  FirstTokenWindow &Window = Work.m_Router.m_FirstTokens[Work.m_Order.m_Pool];
  auto Pool = Work.m_Router.m_OwnerPools.find(Work.m_Order.m_Pool);
  if (Pool != Work.m_Router.m_OwnerPools.end())
    noteTargetFirstToken(Pool->second, Work.m_Target.m_Id, Work.m_Stage,
                         *Work.m_FirstToken, medianFirstToken(Window));
  Window.m_Times.push_back(*Work.m_FirstToken);
  if (Window.m_Times.size() > MedianWindow)
    Window.m_Times.pop_front();
}

void relay(Run &Work, std::uint32_t Count, std::string Data) {
  ForwardChunk Chunk;
  Chunk.m_Request = Work.m_Order.m_Request;
  Chunk.m_Attempt = Work.m_Order.m_Attempt;
  Chunk.m_Offset = Work.m_Next;
  Chunk.m_Count = Count;
  Work.m_Next += Count;
  Work.m_Credit -= static_cast<std::int64_t>(Data.size());
  Work.m_RelayedBytes += static_cast<std::int64_t>(Data.size());
  Chunk.m_Data = std::move(Data);
  if (Work.m_Credit <= 0 && Work.m_Call)
    Work.m_Call->pause();
  sendToNode(Work.m_Router, Work.m_From, std::move(Chunk));
}

/// Asks the engine to cancel a request whose answer is no longer needed.
void cancelAtTarget(Run &Work) {
  if (Work.m_Kind != ServiceKind::Engine || !Work.m_EverSent)
    return;
  TargetCall::start(nullptr, Work.m_Router.m_Watcher,
                    engineCancel(Work.m_Target.m_Url, Work.m_Order.m_Request),
                    {nullptr, [](const TargetHead &) {},
                     [](const char *, std::size_t) {},
                     [](CallEnd, const std::string &) {}});
}

/// The check directly before a dispatch. A resume is no new work, so its target
/// may have left service.
bool mayDispatchOrResume(const Run &Work, bool Resume) {
#ifdef VANILLAFERRY_BREAK_LEASE
  return true;
#endif
  const Router &R = Work.m_Router;
  return Resume ? mayDispatchNow(R.m_Lease, R.m_Owned, Work.m_Target.m_Id,
                                 monotonicNow())
                : mayDispatchNow(R, Work.m_Order.m_Pool, Work.m_Target.m_Id);
}

void tryResume(const std::shared_ptr<Run> &Work, RetryReason Why,
               const std::string &Detail) {
  Run &W = *Work;
  bool Possible = W.m_Kind == ServiceKind::Engine && W.m_Target.m_Resumes &&
                  W.m_Resumes < MaxResumes && mayDispatchOrResume(W, true);
  if (!Possible) {
    finishRun(W, StreamEnd::Broken, Detail);
    return;
  }
  ++W.m_Resumes;
  countRetry(W.m_Router.m_Metrics, Why);
  logEvent(Event::StreamResumed, {{"request", W.m_Order.m_Request.m_Value},
                                  {"target", W.m_Target.m_Id.m_Value},
                                  {"offset", W.m_Next - W.m_Base},
                                  {"why", retryName(Why)},
                                  {"detail", Detail}});
  dispatch(Work, true);
}

void onHead(Run &Work, const TargetHead &Head) {
  noteTargetReached(Work.m_Router, Work.m_Target.m_Id);
  noteProgress(Work.m_Progress, monotonicNow());
  Work.m_Status = Head.m_Status;
  Work.m_ContentType = Head.m_ContentType;
  Work.m_Body.clear();
  Work.m_IsEventStream =
      Work.m_Kind == ServiceKind::Engine && Work.m_Order.m_Stream &&
      Head.m_Status == HttpOk &&
      Head.m_ContentType.compare(0, 17, "text/event-stream") == 0;
  // An answer to another request must not reach this caller.
  if (!Head.m_RequestId.empty() &&
      Head.m_RequestId != Work.m_Order.m_Request.m_Value)
    finishRun(Work, StreamEnd::Broken,
              "the target's answer belongs to another request");
}

void onData(Run &Work, const char *Data, std::size_t Size) {
  if (Work.m_Done)
    return;
  noteProgress(Work.m_Progress, monotonicNow());
  if (!Work.m_IsEventStream) {
    Work.m_Body.append(Data, Size);
    if (Work.m_Body.size() >
        static_cast<std::size_t>(
            Work.m_Router.m_Document.m_Settings.m_Limits.m_MaxStream.m_Value))
      finishRun(Work, StreamEnd::Broken, "stream_too_large");
    return;
  }
  EventBatch Batch = takeBytes(Work.m_Splitter, Data, Size);
  if (Work.m_Splitter.m_Partial.size() >
      static_cast<std::size_t>(
          Work.m_Router.m_Document.m_Settings.m_Limits.m_MaxStream.m_Value)) {
    finishRun(Work, StreamEnd::Broken, "stream_too_large");
    return;
  }
  if (Batch.m_Count == 0)
    return;
  Work.m_Resumes = 0;
  Work.m_SawDone = Batch.m_Done;
  noteFirstToken(Work);
  relay(Work, Batch.m_Count, std::move(Batch.m_Data));
}

/// Ends a run whose target states that it did not run the request.
void endRefusedRun(Run &Work) {
  noteTargetFailed(Work.m_Router, Work.m_Target.m_Id);
  finishRun(Work, StreamEnd::TargetRefused, Work.m_Body);
}

void endBufferedAnswer(const std::shared_ptr<Run> &Work, bool Resumed) {
  Run &W = *Work;
  if (W.m_Status != HttpOk && statesNotRun(W.m_Body)) {
    // A refused resume says nothing about the stream's earlier part.
    if (Resumed)
      finishRun(W, StreamEnd::Broken, "the target knows no such stream");
    else
      endRefusedRun(W);
    return;
  }
  if (W.m_Kind == ServiceKind::Engine && W.m_Status >= HttpServerError) {
    finishRun(W, StreamEnd::Broken,
              "the engine answered " + std::to_string(W.m_Status));
    return;
  }
  if (W.m_Kind == ServiceKind::Engine && W.m_Status == HttpOk &&
      !W.m_Order.m_Stream && !isWholeJson(W.m_Body)) {
    tryResume(Work, RetryReason::StreamBroken, "the answer is cut off");
    return;
  }
  if (W.m_Kind == ServiceKind::Engine && W.m_Status == HttpOk)
    noteFirstToken(W);
  if (W.m_Kind == ServiceKind::Engine && W.m_Order.m_Stream) {
    // The entry router has no stream to put this body into.
    finishRun(W, StreamEnd::Complete, W.m_Body);
    return;
  }
  if (!W.m_Body.empty())
    relay(W, 1, std::move(W.m_Body));
  finishRun(W, StreamEnd::Complete, "");
}

void onEnd(const std::shared_ptr<Run> &Work, CallEnd How, bool Resumed,
           const std::string &Detail) {
  Run &W = *Work;
  bool Ended = W.m_Call && W.m_Call->connectionEnded();
  W.m_Call.reset();
  if (W.m_Done)
    return;
  if (How == CallEnd::NotSent)
    noteTargetFailed(W.m_Router, W.m_Target.m_Id);
  bool NothingSent = How == CallEnd::NotSent || How == CallEnd::Forbidden;
  if (NothingSent && !W.m_EverSent) {
    finishRun(W, StreamEnd::NotSent, Detail);
    return;
  }
  if (How == CallEnd::Complete && !W.m_IsEventStream) {
    endBufferedAnswer(Work, Resumed);
    return;
  }
  if (How == CallEnd::Complete && W.m_SawDone) {
    finishRun(W, StreamEnd::Complete, "");
    return;
  }
  noteStreamBroken(W.m_Router, W.m_Target.m_Id);
  // Bytes that are no answer come from a target that has not ended.
  if (Ended && !NothingSent)
    recordRunCut(W);
  tryResume(Work, RetryReason::StreamBroken,
            Detail.empty() ? "the connection closed" : Detail);
}

} // namespace

void dispatch(const std::shared_ptr<Run> &Work, bool Resume) {
  Run &W = *Work;
  if (W.m_Call)
    W.m_Call->cancel();
  W.m_Splitter.m_Partial.clear();
  W.m_SawDone = false;
  W.m_IsEventStream = false;
  noteProgress(W.m_Progress, monotonicNow());
  std::optional<std::uint64_t> ResumeAt;
  if (Resume)
    ResumeAt = W.m_Next - W.m_Base;
  TargetRequest Request =
      W.m_Kind == ServiceKind::Engine
          ? engineRequest(W.m_Target.m_Url, W.m_Order, ResumeAt)
          : serviceRequest(W.m_Target.m_Url, W.m_Order, !W.m_Idempotent);
  CallHandlers Handlers;
  Handlers.m_MayDispatch = [Work, Resume] {
    Run &Self = *Work;
    bool May = !Self.m_Done && mayDispatchOrResume(Self, Resume) &&
               mayPromptTarget(Self);
    Self.m_EverSent = Self.m_EverSent || May;
    return May;
  };
  Handlers.m_OnHead = [Work](const TargetHead &Head) { onHead(*Work, Head); };
  Handlers.m_OnData = [Work](const char *Data, std::size_t Size) {
    onData(*Work, Data, Size);
  };
  Handlers.m_OnEnd = [Work, Resume](CallEnd How, const std::string &Detail) {
    onEnd(Work, How, Resume, Detail);
  };
  addCounter(W.m_Router.m_Metrics, "vanillaferry_dispatches_total");
  W.m_Call = TargetCall::start(nullptr, W.m_Router.m_Watcher, Request,
                               std::move(Handlers));
  if (W.m_Credit <= 0)
    W.m_Call->pause();
}

void releaseSlot(Run &Work, bool Complete) {
  auto Pool = Work.m_Router.m_OwnerPools.find(Work.m_Order.m_Pool);
  if (Pool == Work.m_Router.m_OwnerPools.end())
    return;
  EndedRequest Ended;
  Ended.m_Target = Work.m_Target.m_Id;
  Ended.m_Chat = Work.m_ChatHash;
  Ended.m_Stage = Work.m_Stage;
  Ended.m_Complete = Complete;
  // An event carries about one token.
  Ended.m_Tokens = Work.m_Order.m_PromptTokens +
                   Tokens(static_cast<std::int64_t>(Work.m_Next));
  endOnTarget(Pool->second, Ended, monotonicNow());
}

void finishRun(Run &Work, StreamEnd How, const std::string &Detail) {
  if (Work.m_Done)
    return;
  Work.m_Done = true;
  if (Work.m_Call)
    Work.m_Call->cancel();
  if (How == StreamEnd::Complete && Work.m_Status == HttpOk)
    recordRunServed(Work);
  releaseSlot(Work, How == StreamEnd::Complete);
  if (How == StreamEnd::Cancelled || How == StreamEnd::Broken)
    cancelAtTarget(Work);
  ForwardEnd End;
  End.m_Request = Work.m_Order.m_Request;
  End.m_Attempt = Work.m_Order.m_Attempt;
  End.m_End = How;
  End.m_HttpStatus = Work.m_Status;
  End.m_ContentType = Work.m_ContentType;
  End.m_Events = Work.m_Next;
  End.m_Detail = Detail;
  Router &R = Work.m_Router;
  NodeId From = Work.m_From;
  PoolId Pool = Work.m_Order.m_Pool;
  auto Found = R.m_Runs.find(Work.m_Order.m_Request);
  std::shared_ptr<Run> Keep;
  if (Found != R.m_Runs.end() && Found->second.get() == &Work) {
    Keep = Found->second;
    R.m_Runs.erase(Found);
  }
  // Parked requests get the freed slot before later arrivals. If this were
  // done only in checkRuns(), batch requests would wait for their full 10 s.
  decideParked(R, Pool);
  sendToNode(R, From, std::move(End));
}

namespace {

/// True when another target may take the request over, by what is known here.
bool isServedElsewhere(const Run &Work) {
  const Router &R = Work.m_Router;
  std::map<PoolId, RoutedPool>::const_iterator Routed =
      R.m_Pools.find(Work.m_Order.m_Pool);
  std::map<PoolId, OwnerPool>::const_iterator Own =
      R.m_OwnerPools.find(Work.m_Order.m_Pool);
  if (Routed == R.m_Pools.end() || Own == R.m_OwnerPools.end())
    return false;
  const std::vector<PoolTarget> &Targets = Routed->second.m_View.m_Targets;
  return std::any_of(Targets.begin(), Targets.end(),
                     [&Work, &Own](const PoolTarget &Each) {
                       const TargetId &Id = Each.m_Settings.m_Id;
                       std::map<TargetId, OwnedTarget>::const_iterator Owned =
                           Own->second.m_Targets.find(Id);
                       bool Serves = Owned == Own->second.m_Targets.end() ||
                                     Owned->second.m_Dispatchable;
                       return Id != Work.m_Target.m_Id && Serves;
                     });
}

/// True for a run that would be lost with its connection, while its silent
/// target may be sound and no other one could go on. It waits for as long as
/// one that is resumed at its target in vain.
bool outwaitsSilence(const Run &Work, Millis Now) {
  Millis Longest(Work.m_Progress.m_Limit.m_Value *
                 static_cast<std::int64_t>(MaxResumes + 1));
  return Work.m_Kind == ServiceKind::Engine && !Work.m_Target.m_Resumes &&
         Now - Work.m_Progress.m_LastProgress < Longest &&
         !isServedElsewhere(Work);
}

/// Cancels runs whose entry router has been unreachable for so long that its
/// session has given up; a call that must run at most once is finished.
void endOrphans(Router &R, Millis Now) {
  std::vector<std::shared_ptr<Run>> Orphans;
  for (const std::pair<const RequestId, std::shared_ptr<Run>> &Row : R.m_Runs) {
    auto Lost = R.m_LinkLostAt.find(Row.second->m_From);
    if (Lost != R.m_LinkLostAt.end() && Lost->second + OrphanLimit < Now &&
        Row.second->m_Idempotent)
      Orphans.push_back(Row.second);
  }
  for (const std::shared_ptr<Run> &Work : Orphans)
    finishRun(*Work, StreamEnd::Cancelled,
              "the entry router has been unreachable for too long");
}

} // namespace

void cancelRun(Router &R, const NodeId &From, const ForwardCancel &Cancel) {
  auto Parked = R.m_ParkedForwards.find(Cancel.m_Request);
  if (Parked != R.m_ParkedForwards.end() && Parked->second.m_From == From) {
    auto Pool = R.m_OwnerPools.find(Parked->second.m_Order.m_Pool);
    if (Pool != R.m_OwnerPools.end())
      unparkRequest(Pool->second, Cancel.m_Request);
    R.m_ParkedForwards.erase(Parked);
    return;
  }
  auto Found = R.m_Runs.find(Cancel.m_Request);
  if (Found == R.m_Runs.end() || Found->second->m_From != From ||
      Found->second->m_Order.m_Attempt != Cancel.m_Attempt)
    return;
  // A call that must run at most once is not cancelled: its outcome is needed
  // for the journal.
  if (!Found->second->m_Idempotent)
    return;
  std::shared_ptr<Run> Work = Found->second;
  finishRun(*Work, StreamEnd::Cancelled, "the caller left");
}

void creditRun(Router &R, const NodeId &From, const ForwardCredit &Credit) {
  auto Found = R.m_Runs.find(Credit.m_Request);
  if (Found == R.m_Runs.end() || Found->second->m_From != From ||
      Found->second->m_Order.m_Attempt != Credit.m_Attempt)
    return;
  Run &Work = *Found->second;
  Work.m_Credit += Credit.m_Bytes.m_Value;
  if (Work.m_Credit > 0 && Work.m_Call)
    Work.m_Call->resume();
}

void checkRuns(Router &R) {
  Millis Now = monotonicNow();
  endOrphans(R, Now);
  for (const std::pair<const PoolId, OwnerPool> &Row : R.m_OwnerPools)
    decideParked(R, Row.first);
  std::vector<std::shared_ptr<Run>> Overdue;
  for (const std::pair<const RequestId, std::shared_ptr<Run>> &Row : R.m_Runs) {
    Run &Work = *Row.second;
    if (Work.m_Credit <= 0)
      noteProgress(Work.m_Progress, Now);
    bool Silent = progressOverdue(Work.m_Progress, Now);
    if (Work.m_Kind == ServiceKind::Plain)
      Silent = Now > Work.m_StartedAt + Work.m_Order.m_TimeLeft &&
               progressOverdue(Work.m_Progress, Now);
    if (Silent)
      Overdue.push_back(Row.second);
  }
  for (const std::shared_ptr<Run> &Work : Overdue) {
    if (Work->m_Done)
      continue;
    if (Work->m_Kind == ServiceKind::Plain && !Work->m_EverSent) {
      finishRun(*Work, StreamEnd::NotSent,
                "no connection within the time limit");
      continue;
    }
    noteStreamSilent(R, Work->m_Target.m_Id);
    if (outwaitsSilence(*Work, Now))
      continue;
    tryResume(Work, RetryReason::StreamSilent,
              "the target sent nothing within the time limit");
  }
}

} // namespace vanillaferry
