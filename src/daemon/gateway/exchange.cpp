#include "gateway/exchange.hpp"

#include "process/clock.hpp"
#include "process/log.hpp"
#include "vanillaferry/request/control_wait.hpp"
#include "vanillaferry/request/request_content.hpp"

#include <algorithm>
#include <cstdio>
#include <xxhash.h>

namespace vanillaferry {

namespace {

/// A try without a response is given up for another one after this multiple of
/// the route's latency objective.
constexpr std::int64_t FirstResponseFactor = 2;
constexpr Millis MinFirstResponseTimeout{350};
/// With less time left, no target can answer before the deadline.
constexpr Millis MinTimeLeft{15};
constexpr Millis RetryWithoutLease{700};
/// Taken for the time left of a request that states none.
constexpr Millis UnstatedTimeLeft{3000};
/// New connections arrive until the platform has taken a node out of rotation;
/// a request that begins later might not end before the process exits.
constexpr Millis AcceptWhileDraining{2500};
constexpr Millis RetryWhileDraining{50};
/// A request that may not be repeated is lost with its connection, so it reuses
/// only an idle connection that has worked recently.
constexpr Millis MaxIdleNonRepeatable{1500};
constexpr Millis MaxIdleRepeatable{30000};

std::string hostOf(const std::string &Field) {
  return Field.substr(0, Field.find(':'));
}

std::string seconds(Millis Time) {
  constexpr double MillisPerSecond = 1000;
  char Text[24];
  std::snprintf(Text, sizeof Text, "%.2f",
                static_cast<double>(Time.m_Value) / MillisPerSecond);
  return Text;
}

/// What the fields and the prompt's parts take up.
std::int64_t allocatedBy(const RoutedRequest &Request) {
  std::int64_t Sum = allocatedFor(Request.m_Fields);
  for (const PromptPart &Part : Request.m_PromptParts)
    Sum += static_cast<std::int64_t>(sizeof Part) +
           allocatedFor(Part.m_Id.m_Value);
  return Sum;
}

std::uint64_t hashText(const std::string &Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

void Exchange::start(Gateway &G, std::shared_ptr<Caller> Sender,
                     CallerRequest Request, RequestOrigin Origin) {
  std::shared_ptr<Exchange> Self = std::make_shared<Exchange>(
      G, std::move(Sender), std::move(Request), Origin);
  G.m_Exchanges.insert(Self);
  Self->begin();
}

Exchange::Exchange(Gateway &G, std::shared_ptr<Caller> Sender,
                   CallerRequest Request, RequestOrigin Origin)
    : m_Gateway(G), m_Caller(std::move(Sender)), m_Raw(std::move(Request)),
      m_ArrivedAt(monotonicNow()), m_Origin(Origin) {}

void Exchange::begin() {
  m_Caller->m_OnGone = [Weak = weak_from_this()] {
    if (std::shared_ptr<Exchange> Self = Weak.lock())
      Self->onCallerDisconnected();
  };
  m_Caller->m_OnDrained = [Weak = weak_from_this()] {
    std::shared_ptr<Exchange> Self = Weak.lock();
    if (Self && Self->m_Try)
      Self->m_Try->m_Call->resume();
  };
  addCounter(m_Gateway.m_Metrics, "vanillaferry_requests_total");
  if (decode())
    resume();
}

bool Exchange::decode() {
  Result<RoutedRequest> Decoded = m_Gateway.m_Protocol->m_ReadRequest(m_Raw);
  if (!Decoded) {
    refuse(RefusalReason::MalformedRequest, Millis(0), Decoded.error().m_Text);
    return false;
  }
  m_Request = std::move(Decoded.value());
  m_HeldRequest.set(static_cast<std::int64_t>(sizeof *this) +
                    allocatedBy(m_Request));
  return !isRelayedHere() || readRelayed();
}

void Exchange::resume() {
  if (m_Done)
    return;
  m_ControlTimer.stop();
  if (!awaitControl() || !admit())
    return;
  startTimers();
  if (resolveOrigin())
    dispatch();
}

bool Exchange::awaitControl() {
  Millis Now = monotonicNow();
  if (mayServe(m_Gateway, Now))
    return true;
  waitOrRefuse(leaseHolds(m_Gateway.m_Lease, Now)
                   ? "this router does not hold the newest manifest"
                   : "this router holds no valid lease");
  return false;
}

void Exchange::waitOrRefuse(const std::string &Why) {
  Millis Now = monotonicNow();
  Millis Waited = Now - m_ArrivedAt;
  ControlOutage Outage;
  Outage.m_Duration = Now - m_Gateway.m_UsableAt;
  Outage.m_TimeLeft = m_Request.m_TimeLeft.value_or(UnstatedTimeLeft);
  Millis Left = controlWait(Outage) - Waited;
  if (m_Gateway.m_DrainingSince || Left <= Millis(0))
    return refuse(RefusalReason::NoLease, RetryWithoutLease, Why);
  addCounter(m_Gateway.m_Metrics, "vanillaferry_waits_for_grant_total");
  if (!m_Gateway.m_Keeper.m_WaitingSince)
    m_Gateway.m_Lease.m_NextRenewal = Now;
  std::weak_ptr<Exchange> Weak = weak_from_this();
  m_Gateway.m_AwaitingGrant.push_back(Weak);
  m_ControlTimer.start(Left.m_Value, [Weak, Why] {
    if (std::shared_ptr<Exchange> Self = Weak.lock())
      Self->refuse(RefusalReason::NoLease, RetryWithoutLease, Why);
    return false;
  });
}

bool Exchange::admit() {
  const RouteTable &Routes = m_Gateway.m_Control.m_Routes;
  // Another gateway finds one that does not shut down.
  Millis Accept = isRelayedHere() ? Millis(0) : AcceptWhileDraining;
  if (m_Gateway.m_DrainingSince &&
      monotonicNow() - *m_Gateway.m_DrainingSince > Accept) {
    refuse(RefusalReason::Draining, RetryWhileDraining,
           "this router is shutting down; send the request to another one");
    return false;
  }
  const ManifestRoute *Route =
      findRoute(Routes, hostOf(m_Request.m_Host), m_Raw.m_Path);
  if (!Route) {
    if (!holdsNewestManifest())
      return awaitNewestManifest();
    refuse(RefusalReason::UnknownRoute, Millis(0),
           "no route has this host and path");
    return false;
  }
  m_Route = *Route;
  m_Route.m_MaxTargets = std::min(m_Route.m_MaxTargets,
                                  m_MaxTargets.value_or(m_Route.m_MaxTargets));
  const ManifestAccount *Account = findAccount(Routes, m_Request.m_ApiKey);
  if (Account)
    m_Account = Account->m_Id;
  else if (!m_Route.m_Public && !Routes.m_Manifest.m_Accounts.empty()) {
    if (!holdsNewestManifest())
      return awaitNewestManifest();
    refuse(RefusalReason::UnknownApiKey, Millis(0),
           "no client account has this API key");
    return false;
  }
  m_JudgedParts = judgedParts(wholeId(), m_Request.m_PromptParts);
  m_Service = chooseService(m_Route, hashText(m_Request.m_Id.m_Value));
  if (isStream())
    m_Priority = Account && Account->m_Priority ? *Account->m_Priority
                                                : m_Route.m_Priority;
  return true;
}

bool Exchange::holdsNewestManifest() const {
  return mayRejectPermanently(m_Gateway.m_Control.m_ManifestKnowledge,
                              monotonicNow());
}

bool Exchange::awaitNewestManifest() {
  waitOrRefuse("a newer manifest may allow the request");
  return false;
}

void Exchange::startTimers() {
  Millis Limit = m_Route.m_Timeout;
  if (m_Request.m_TimeLeft)
    Limit = std::min(Limit, *m_Request.m_TimeLeft);
  m_Deadline = m_ArrivedAt + Limit;
  m_DeadlineTimer.start(std::max(timeLeft(), Millis(0)).m_Value,
                        [Weak = weak_from_this()] {
                          if (std::shared_ptr<Exchange> Self = Weak.lock())
                            Self->onDeadline();
                          return false;
                        });
  m_Need.m_PrefixHash = hashSharedPrefix(m_Request.m_PromptParts);
  m_Need.m_Random = hashText(m_Request.m_Id.m_Value);
  m_Events.m_LastId = m_Request.m_LastEvent;
  // The gateway that passed a request on has counted it.
  GatewayPool *Pool = findPool(m_Gateway, m_Service);
  if (Pool && !isRelayedHere())
    noteEvent(Pool->m_Repeats.m_Requests, m_ArrivedAt);
  countForRollout();
  countOffered();
}

void Exchange::dispatch() {
  Millis Now = monotonicNow();
  GatewayPool *Pool = findPool(m_Gateway, m_Service);
  if (timeLeft() < MinTimeLeft)
    return onDeadline();
  if (!mayBePrompted())
    return refusePrompt();
  if (!Pool)
    return refuseChoice(
        refuseDispatch(DispatchRefusal::NoneInService, Millis()));
  if (outOfReach()) {
    leaveRoom();
    return relay();
  }
  m_Need.m_ZonesOut = m_Gateway.m_Control.m_ZonesOut;
  if (awaitsStage(Now) || (waitsBehindOthers() && awaitTurn(Pool->m_Dispatch)))
    return;
  DispatchChoice Choice = chooseByRollout(*Pool, m_Need, Now);
  if (Choice.m_Refusal != DispatchRefusal::None || m_Tries >= MaxTries) {
    if (!awaitRoom(Choice.m_Refusal))
      refuseChoice(Choice);
    return;
  }
  takeRoom(Choice);
  send(Pool->m_Dispatch.m_Targets[Choice.m_Target], Choice);
}

void Exchange::beginTry(const TargetId &Target, const std::string &Relay) {
  Millis Now = monotonicNow();
  ++m_Tries;
  m_Try.emplace();
  m_Try->m_Number = m_Tries;
  m_Try->m_Target = Target;
  m_Try->m_Relay = Relay;
  m_Try->m_StartedAt = Now;
  m_LastTarget = Target;
  m_LastProgress = Now;
  m_Events.m_Rest.clear();
}

void Exchange::send(DispatchTarget &Target, const DispatchChoice &Choice) {
  Millis Now = monotonicNow();
  // Keepers know the version of the last try only, so a stream must not begin
  // at a held one of another version.
  if (m_Held && isNewStream() &&
      m_Held->m_Try.m_Software != Target.m_Listed.m_Software)
    dropHeld();
  noteStarted(Target, Now);
  m_IsTrial = recordPromptSent(m_Gateway.m_Prompts, m_JudgedParts);
  beginTry(Target.m_Listed.m_Id, std::string());
  m_Try->m_Software = Target.m_Listed.m_Software;
  recordBeginning(m_Try->m_Software);
  recordRolloutSent(Target);
  logEvent(
      Event::RequestSent,
      {{"request", m_Request.m_Id.m_Value},
       {"route", m_Route.m_Name},
       {"target", m_Try->m_Target.m_Value},
       {"software", Target.m_Listed.m_Software.m_Value},
       {"resumes", m_Request.m_Resumes.m_Value},
       {"last_event", static_cast<std::int64_t>(m_Events.m_LastId.value_or(0))},
       {"try", m_Tries},
       {"relayed", isRelayedHere()},
       {"load", static_cast<std::int64_t>(Choice.m_Load)},
       {"mean", static_cast<std::int64_t>(Choice.m_Mean)},
       {"prefix_from", Choice.m_PrefixSource.m_Value},
       {"parts", joinPartIds(sharedParts(m_Request.m_PromptParts))},
       {"content", m_JudgedParts.front().m_Value},
       {"list_age_ms", (Now - m_Gateway.m_TargetList.m_ReadAt).m_Value},
       {"manifest", m_Gateway.m_Control.m_Routes.m_Manifest.m_Version},
       {"left_ms", timeLeft().m_Value}});
  startCall(
      targetRequest(Target, Choice),
      std::max(MinFirstResponseTimeout,
               Millis(FirstResponseFactor * m_Route.m_Objective.m_Value)));
}

bool Exchange::mayDispatch() {
  if (m_Done || !m_Try || !mayBePrompted() ||
      !leaseHolds(m_Gateway.m_Lease, monotonicNow()) || !mayRunAtVersion())
    return false;
  m_ConnectTimer.stop();
  if (m_Try->m_Relay.empty() && m_Try->m_Call->isNewConnection())
    recordConnected(m_Gateway, m_Service);
  ++m_PossibleRuns;
  return true;
}

CallHandlers Exchange::callHandlers() {
  CallHandlers Handlers;
  std::weak_ptr<Exchange> Weak = weak_from_this();
  int Number = m_Try->m_Number;
  // Null while the try is not the present one.
  auto Present = [Weak, Number] {
    std::shared_ptr<Exchange> Self = Weak.lock();
    bool IsPresent = Self && Self->m_Try && Self->m_Try->m_Number == Number;
    return IsPresent ? Self : nullptr;
  };
  Handlers.m_MayDispatch = [Present] {
    std::shared_ptr<Exchange> Self = Present();
    return Self && Self->mayDispatch();
  };
  Handlers.m_IsOwn = [Present](const TargetHead &Head) {
    std::shared_ptr<Exchange> Self = Present();
    return Self && Self->isOwnAnswer(Head);
  };
  Handlers.m_OnHead = [Present](const TargetHead &Head) {
    if (std::shared_ptr<Exchange> Self = Present())
      Self->onHead(Head);
  };
  Handlers.m_OnData = [Present](const char *Data, std::size_t Size) {
    if (std::shared_ptr<Exchange> Self = Present())
      Self->onData(Data, Size);
  };
  Handlers.m_OnEnd = [Weak, Present, Number](CallEnd How,
                                             const std::string &Detail) {
    if (std::shared_ptr<Exchange> Self = Present())
      return Self->onEnd(How, Detail);
    std::shared_ptr<Exchange> Self = Weak.lock();
    if (Self && Self->m_Held && Self->m_Held->m_Try.m_Number == Number)
      Self->m_Held->m_Ended = true;
  };
  return Handlers;
}

void Exchange::startCall(const TargetRequest &Request,
                         Millis FirstResponseLimit) {
  m_Try->m_Call =
      TargetCall::start(m_Gateway.m_Connections.get(), *m_Gateway.m_Watcher,
                        Request, callHandlers());
  m_ConnectTimer.start(ConnectTimeout.m_Value, [Weak = weak_from_this()] {
    if (std::shared_ptr<Exchange> Self = Weak.lock())
      Self->onConnectTimeout();
    return false;
  });
  startFirstResponseTimer(FirstResponseLimit);
}

void Exchange::onConnectTimeout() {
  if (m_Done || !m_Try || !m_Try->m_Call->isConnecting())
    return;
  m_Try->m_Call->cancel();
  onEnd(CallEnd::NotSent, "no connection within the time limit");
}

TargetRequest Exchange::targetRequest(const DispatchTarget &Target,
                                      const DispatchChoice &Choice) const {
  DispatchFields Added;
  Added.m_Target = Target.m_Listed.m_Id;
  Added.m_TimeLeft = timeLeft();
  Added.m_Account = m_Account;
  Added.m_LastEvent = m_Events.m_LastId;
  Added.m_Priority = m_Priority;
  if (const DispatchTarget *Source =
          findTarget(m_Gateway, m_Service, Choice.m_PrefixSource))
    Added.m_PrefixSource = Source->m_Listed.m_Address;
  TargetRequest Request;
  Request.m_Method = m_Raw.m_Method;
  Request.m_Url = "http://" + Target.m_Listed.m_Address + targetOf(m_Raw);
  Request.m_Fields = m_Gateway.m_Protocol->m_TargetFields(m_Request, Added);
  Request.m_ContentType = m_Request.m_ContentType;
  Request.m_Body = m_Raw.m_Body;
  Request.m_MaxIdle = repeatable() ? MaxIdleRepeatable : MaxIdleNonRepeatable;
  return Request;
}

void Exchange::refuseChoice(const DispatchChoice &Choice) {
  if (returnToHeld())
    return;
  if (m_FallbackAnswer || m_PossibleRuns > 0)
    return fail(RefusalReason::TargetFailed,
                "no other target accepted the request");
  switch (Choice.m_Refusal) {
  case DispatchRefusal::RateLimit:
    return refuse(RefusalReason::TargetRateLimit, Choice.m_RetryAfter,
                  "all targets get as many requests as they say they take");
  case DispatchRefusal::ColdLimit:
    return refuse(RefusalReason::ColdTargets, Choice.m_RetryAfter,
                  "all targets are at the request limit for cold targets");
  case DispatchRefusal::AllFull:
    return refuse(RefusalReason::QueueFull, Choice.m_RetryAfter,
                  "all targets are at their request limit");
  case DispatchRefusal::NoneInService:
  case DispatchRefusal::None:
    return refuse(RefusalReason::NoTargetInService,
                  std::max(Choice.m_RetryAfter, Millis(300)),
                  "no reachable target is in service");
  }
}

void Exchange::refuse(RefusalReason Reason, Millis RetryAfter,
                      const std::string &Why) {
  int Status = refusalHttpStatus(Reason);
  countRefusal(m_Gateway.m_Metrics, Reason);
  logEvent(Event::RequestRefused,
           {{"request", m_Request.m_Id.m_Value},
            {"reason", refusalName(Reason)},
            {"why", Why},
            {"retry_after_ms", RetryAfter.m_Value},
            {"manifest", m_Gateway.m_Control.m_Routes.m_Manifest.m_Version}});
  HttpFields Fields;
  if (RetryAfter > Millis(0))
    Fields.emplace_back("Retry-After", seconds(RetryAfter));
  if (m_Gateway.m_DrainingSince)
    Fields.emplace_back("Connection", "close");
  HttpFields ForRelay = fieldsForRelay(Reason, RetryAfter);
  Fields.insert(Fields.end(), ForRelay.begin(), ForRelay.end());
  m_Caller->respond(Status, "application/json",
                    refusalJson({Reason, NotRun::True, Why}, m_Caller->m_Id),
                    Fields);
  finish(refusalName(Reason), Status);
}

void Exchange::onDeadline() {
  if (m_Done)
    return;
  if (m_StreamStarted) {
    m_Caller->breakOff();
    return finish("deadline_in_stream", 200);
  }
  if (m_PossibleRuns == 0 && !m_FallbackAnswer)
    return refuse(RefusalReason::DeadlineUnreachable, Millis(0),
                  "no target could be reached in time");
  fail(RefusalReason::DeadlinePassed, "the request's deadline has passed");
}

void Exchange::onCallerDisconnected() {
  if (!m_Done)
    finish("caller_left", 0);
}

void Exchange::closeTry(TargetOutcome How) {
  if (!m_Try)
    return;
  settleTry(*m_Try, How);
  m_IsTrial = m_IsTrial && !m_Try->m_Relay.empty();
  m_ConnectTimer.stop();
  m_FirstResponseTimer.stop();
  m_Try.reset();
}

void Exchange::settleTry(TargetTry &Try, TargetOutcome How) {
  Millis Now = monotonicNow();
  recordRolloutEnd(Try, How);
  if (!Try.m_Relay.empty()) {
    // The other gateway records what the try says about the target.
    noteRelayEnded(m_Gateway.m_Relays, Try.m_Relay, Now);
    m_ExcludedRelays.insert(Try.m_Relay);
    return;
  }
  if (DispatchTarget *Target = findTarget(m_Gateway, m_Service, Try.m_Target))
    noteEnded(*Target, How, Now);
  noteSlotReturned(Try, How);
  recordPromptEnded(m_Gateway.m_Prompts, m_JudgedParts);
  m_Need.m_Excluded.insert(Try.m_Target);
}

void Exchange::finish(const char *Outcome, int Status) {
  if (m_Done)
    return;
  std::shared_ptr<Exchange> Self = shared_from_this();
  m_Done = true;
  Millis Now = monotonicNow();
  std::string Target = m_Try ? m_Try->m_Target.m_Value : "";
  if (m_Try) {
    if (m_Try->m_Call)
      m_Try->m_Call->cancel();
    closeTry(TargetOutcome::Abandoned);
  }
  dropHeld();
  m_DeadlineTimer.stop();
  m_ControlTimer.stop();
  m_OriginTimer.stop();
  m_RoomTimer.stop();
  leaveRoom();
  m_PauseTimer.stop();
  m_Gateway.m_BufferedAnswers -= m_Buffered;
  m_HeldAnswer.set(0);
  logEvent(
      Event::RequestEnded,
      {{"request", m_Request.m_Id.m_Value},
       {"outcome", Outcome},
       {"status", Status},
       {"target", Target},
       {"relayed", isRelayedHere()},
       {"tries", m_Tries},
       {"waited_ms", m_RoomTime.m_Value},
       {"first_ms", m_FirstEvent ? (*m_FirstEvent - m_ArrivedAt).m_Value : -1},
       {"total_ms", (Now - m_ArrivedAt).m_Value}});
  m_Gateway.m_Exchanges.erase(Self);
}

bool Exchange::repeatable() const {
  return m_Route.m_Kind == RequestKind::Idempotent ||
         (isStream() && m_Route.m_Resumable);
}

Millis Exchange::timeLeft() const { return m_Deadline - monotonicNow(); }

} // namespace vanillaferry
