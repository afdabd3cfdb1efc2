#include "process/poller.hpp"

#include "connection/engine_adapter.hpp"
#include "connection/platform_adapter.hpp"
#include "connection/text_fetch.hpp"
#include "process/clock.hpp"
#include "process/lease_client.hpp"
#include "process/router.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

constexpr std::int64_t PollTimeoutMs = 2000;
/// Time between two polls of a busy target without a sign of a fault. A poll
/// takes about 300 bytes; at one poll a second, 28 targets would use most of a
/// router's budget for control traffic.
constexpr Millis RarePollInterval{10000};
/// Pauses of a target that cannot be reached: doubled from the shortest to the
/// longest.
constexpr std::int64_t MinPauseMs = 250;
constexpr std::int64_t MaxPauseMs = 4000;

/// Null when the target went to another owner meanwhile.
OwnedTarget *findOwned(Router &R, const PoolId &Pool, const TargetId &Target) {
  auto Own = R.m_OwnerPools.find(Pool);
  if (Own == R.m_OwnerPools.end())
    return nullptr;
  auto Found = Own->second.m_Targets.find(Target);
  return Found == Own->second.m_Targets.end() ? nullptr : &Found->second;
}

void onVmList(Router &R, const std::string &Text) {
  std::optional<std::vector<ListedVm>> Listed = parseVmList(Text);
  if (!Listed) {
    addCounter(R.m_Metrics, "vanillaferry_vm_list_failures_total");
    return;
  }
  Millis Now = monotonicNow();
  // A leaving VM is reported at once, because the lists that other routers read
  // may lag more.
  if (updateVms(R.m_Vms, *Listed, Now))
    R.m_Lease.m_NextRenewal = Now;
  rebuildPools(R, false);
}

void pollVmList(Router &R, Millis Now) {
  if (R.m_Settings.m_VmListUrl.empty() || R.m_VmListNext > Now)
    return;
  R.m_VmListNext = Now + R.m_Settings.m_VmListInterval;
  fetchText(
      R.m_PollSession.get(), R.m_Settings.m_VmListUrl, PollTimeoutMs,
      [&R, Alive = std::weak_ptr<bool>(R.m_Alive)](const std::string &Text) {
        if (!Alive.expired())
          onVmList(R, Text);
      });
}

/// True while a restart would be noticed without a poll: a busy target breaks
/// its streams when it restarts. An idle one would restart unnoticed and then
/// get a full share of requests although it is cold, so it is polled often.
bool mayPollRarely(const OwnedTarget &Own, const TargetPoll &Poll) {
  const TargetState &State = Own.m_State;
  return State.m_Running > 0 && State.m_ConsecutiveSlow == 0 &&
         !State.m_AwaitReport && !isCold(State) && Poll.m_Failures == 0;
}

void onLoadReport(Router &R, const PoolId &Pool, const TargetId &Target,
                  std::uint32_t OwnThen, const std::string &Text) {
  R.m_Polls[Target].m_Running = false;
  std::optional<LoadReport> Report = parseLoadReport(Text);
  OwnedTarget *Own = findOwned(R, Pool, Target);
  // A target that answers, but not with a report, is not waited for.
  if (Own && !Report && !Text.empty())
    Own->m_State.m_AwaitReport = false;
  if (!Report || !Own) {
    addCounter(R.m_Metrics, "vanillaferry_load_report_failures_total");
    return;
  }
  Millis Now = monotonicNow();
  Report->m_ReadAt = Now;
  Report->m_OwnRunningThen = OwnThen;
  TargetPoll &Poll = R.m_Polls[Target];
  // A sign of a fault during the poll has already made the next one due.
  if (mayPollRarely(*Own, Poll) && Poll.m_Next > Now)
    Poll.m_Next = Now + RarePollInterval;
  std::string Before = Own->m_State.m_Instance;
  applyTargetReport(R.m_OwnerPools[Pool], Target, *Report, Now);
  if (!Before.empty() && Before != Report->m_Instance)
    logEvent(Event::TargetRestarted,
             {{"target", Target.m_Value}, {"instance", Report->m_Instance}});
}

void pollTarget(Router &R, const PoolId &Pool, const TargetSettings &Target,
                Millis Now) {
  OwnedTarget *Own = findOwned(R, Pool, Target.m_Id);
  TargetPoll &Poll = R.m_Polls[Target.m_Id];
  if (!Own || Poll.m_Running)
    return;
  if (!mayPollRarely(*Own, Poll))
    Poll.m_Next = std::min(Poll.m_Next, Now + Millis(LoadPollMs));
  if (Poll.m_Next > Now)
    return;
  Poll.m_Next = Now + Millis(LoadPollMs);
  Poll.m_Running = true;
  TargetId Id = Target.m_Id;
  std::uint32_t OwnThen = Own->m_State.m_Running;
  fetchText(R.m_PollSession.get(), Target.m_Url + "/load", PollTimeoutMs,
            [&R, Pool, Id, OwnThen,
             Alive = std::weak_ptr<bool>(R.m_Alive)](const std::string &Text) {
              if (!Alive.expired())
                onLoadReport(R, Pool, Id, OwnThen, Text);
            });
}

void onCacheEvents(Router &R, const PoolId &Pool, const TargetId &Target,
                   const std::string &Text) {
  TargetPoll &Poll = R.m_Polls[Target];
  Poll.m_CacheRunning = false;
  OwnedTarget *Own = findOwned(R, Pool, Target);
  std::optional<CacheAnswer> Answer = parseCacheEvents(Text);
  if (!Answer || !Own) {
    addCounter(R.m_Metrics, "vanillaferry_cache_poll_failures_total");
    return;
  }
  addCounter(R.m_Metrics, "vanillaferry_cache_event_bytes_total", Text.size());
  CacheCorrection Done = takeCacheAnswer(Own->m_Prefixes, *Answer);
  addCounter(R.m_Metrics, "vanillaferry_cache_evictions_total", Done.m_Evicted);
  addCounter(R.m_Metrics, "vanillaferry_cache_doubtful_total", Done.m_Doubtful);
  if (Answer->m_Lost > 0)
    addCounter(R.m_Metrics, "vanillaferry_cache_lost_events_total",
               Answer->m_Lost);
  if (Done.m_NewInstance) {
    // The load report, requested at once, starts the ramp of a cold target.
    Poll.m_Next = Millis();
    Poll.m_CacheNext = Millis();
    logEvent(Event::CacheRestarted, {{"target", Target.m_Value},
                                     {"instance", Answer->m_Instance},
                                     {"dropped", Done.m_Doubtful}});
  }
}

void pollCache(Router &R, const PoolId &Pool, const TargetSettings &Target,
               Millis Now) {
  OwnedTarget *Own = findOwned(R, Pool, Target.m_Id);
  TargetPoll &Poll = R.m_Polls[Target.m_Id];
  if (!Own || Target.m_CacheTokens.m_Value <= 0 || Poll.m_CacheRunning ||
      Poll.m_CacheNext > Now)
    return;
  Poll.m_CacheNext = Now + Millis(CachePollMs);
  Poll.m_CacheRunning = true;
  std::uint64_t After = beginCachePoll(Own->m_Prefixes);
  addCounter(R.m_Metrics, "vanillaferry_cache_polls_total");
  fetchText(R.m_PollSession.get(), Target.m_Url + cacheEventsPath(After),
            PollTimeoutMs,
            [&R, Pool, Id = Target.m_Id,
             Alive = std::weak_ptr<bool>(R.m_Alive)](const std::string &Text) {
              if (!Alive.expired())
                onCacheEvents(R, Pool, Id, Text);
            });
}

} // namespace

void checkPolls(Router &R) {
  Millis Now = monotonicNow();
  pollVmList(R, Now);
  if (!holdsLease(R))
    return;
  for (const std::pair<const PoolId, PoolSettings> &Row :
       R.m_Document.m_Services) {
    if (Row.second.m_Kind != ServiceKind::Engine)
      continue;
    for (const TargetSettings &Target : Row.second.m_Targets) {
      pollTarget(R, Row.first, Target, Now);
      pollCache(R, Row.first, Target, Now);
    }
  }
}

void noteTargetFailed(Router &R, const TargetId &Target) {
  TargetPoll &Poll = R.m_Polls[Target];
  std::int64_t Pause =
      std::min(MaxPauseMs, MinPauseMs << std::min(Poll.m_Failures, 8U));
  ++Poll.m_Failures;
  Poll.m_FailedUntil = monotonicNow() + Millis(Pause);
  logEvent(Event::TargetUnreachable,
           {{"target", Target.m_Value}, {"pause_ms", Pause}});
  updateDispatchable(R);
}

void noteStreamSilent(Router &R, const TargetId &Target) {
  R.m_Polls[Target].m_Next = monotonicNow();
}

void noteStreamBroken(Router &R, const TargetId &Target) {
  TargetPoll &Poll = R.m_Polls[Target];
  Millis Now = monotonicNow();
  Poll.m_Next = Now;
  Poll.m_FailedUntil = std::max(Poll.m_FailedUntil, Now + Millis(MinPauseMs));
  updateDispatchable(R);
}

void noteTargetReached(Router &R, const TargetId &Target) {
  auto Poll = R.m_Polls.find(Target);
  if (Poll != R.m_Polls.end())
    Poll->second.m_Failures = 0;
}

} // namespace vanillaferry
