#include "gateway/exchange.hpp"

#include "process/clock.hpp"
#include "process/log.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// Time from the first report of a service as out of reach to the keepers'
/// answer, which names other gateways.
constexpr Millis RelayOfferTime{600};
constexpr Millis RelayOfferPoll{50};
constexpr Millis RetryWithoutRelay{700};
/// The other gateway gives up a silent target after twice the latency objective
/// and needs as long for the next one.
constexpr std::int64_t RelayResponseFactor = 4;
constexpr Millis MinRelayResponseTimeout{700};
/// Other gateways to which one request is passed on.
constexpr std::size_t MaxRelayTries = 3;

/// True when the gateway that refuses for this reason refuses others as well.
bool servesNothing(RefusalReason Reason) {
  return Reason == RefusalReason::NoLease ||
         Reason == RefusalReason::Draining ||
         Reason == RefusalReason::NoTargetInService;
}

} // namespace

bool Exchange::readRelayed() {
  std::optional<RelayedRequest> Stated = readRelayedRequest(m_Raw);
  if (!Stated) {
    refuse(RefusalReason::MalformedRequest, Millis(0),
           "the fields of a request that was passed on are missing");
    return false;
  }
  m_Request.m_TimeLeft = Stated->m_TimeLeft;
  if (Stated->m_LastEvent)
    m_Request.m_LastEvent = Stated->m_LastEvent;
  m_Need.m_Software = Stated->m_Software;
  m_MaxTargets = Stated->m_MaxTargets;
  return true;
}

bool Exchange::outOfReach() const {
  const GatewayPool *Pool = findPool(m_Gateway, m_Service);
  return Pool && Pool->m_Reach.m_OutOfReach;
}

std::optional<std::string> Exchange::nextRelay() const {
  std::set<std::string> Excluded = m_ExcludedRelays;
  if (m_Try && !m_Try->m_Relay.empty())
    Excluded.insert(m_Try->m_Relay);
  // A request is passed on once, so that it cannot circle between gateways.
  if (isRelayedHere() || Excluded.size() >= MaxRelayTries)
    return std::nullopt;
  return chooseRelay(m_Gateway.m_Relays, m_Service, Excluded, m_Need.m_Random,
                     monotonicNow());
}

void Exchange::relay() {
  std::optional<std::string> Address = nextRelay();
  if (!Address && m_RelayRefusal)
    return refuseAsRelayed();
  if (!Address) {
    if (!awaitRelays())
      refuseChoice(
          refuseDispatch(DispatchRefusal::NoneInService, RetryWithoutRelay));
    return;
  }
  // The other gateway chooses the version.
  if (isNewStream())
    dropHeld();
  noteRelayStarted(m_Gateway.m_Relays, *Address);
  beginTry(TargetId(), *Address);
  addCounter(m_Gateway.m_Metrics, "vanillaferry_requests_relayed_total");
  logEvent(
      Event::RequestRelayed,
      {{"request", m_Request.m_Id.m_Value},
       {"route", m_Route.m_Name},
       {"relay", *Address},
       {"last_event", static_cast<std::int64_t>(m_Events.m_LastId.value_or(0))},
       {"try", m_Tries},
       {"left_ms", timeLeft().m_Value}});
  startCall(
      relayRequest(*Address),
      std::max(MinRelayResponseTimeout,
               Millis(RelayResponseFactor * m_Route.m_Objective.m_Value)));
}

bool Exchange::awaitRelays() {
  const GatewayPool *Pool = findPool(m_Gateway, m_Service);
  bool Offered = m_Gateway.m_Relays.m_ByService.count(m_Service) != 0;
  if (isRelayedHere() || Offered || !Pool ||
      monotonicNow() > Pool->m_Reach.m_OutOfReachSince + RelayOfferTime)
    return false;
  m_RoomTimer.start(RelayOfferPoll.m_Value, [Weak = weak_from_this()] {
    std::shared_ptr<Exchange> Self = Weak.lock();
    if (Self && !Self->m_Done)
      Self->dispatch();
    return false;
  });
  return true;
}

TargetRequest Exchange::relayRequest(const std::string &Address) const {
  RelayedRequest Stated;
  Stated.m_TimeLeft = timeLeft();
  Stated.m_MaxTargets = std::max(m_Route.m_MaxTargets - m_PossibleRuns, 1);
  Stated.m_LastEvent = m_Events.m_LastId;
  Stated.m_Software = m_Need.m_Software;
  TargetRequest Request;
  Request.m_Method = m_Raw.m_Method;
  Request.m_Url = "http://" + Address + targetOf(m_Raw);
  Request.m_Fields = fieldsToRelay(m_Raw);
  for (std::pair<std::string, std::string> &Field : relayRequestFields(Stated))
    Request.m_Fields.push_back(std::move(Field));
  Request.m_ContentType = m_Request.m_ContentType;
  Request.m_Body = m_Raw.m_Body;
  return Request;
}

bool Exchange::onRelayHead(const TargetHead &Head) {
  RelayedAnswer Stated = readRelayedAnswer(Head.m_Fields);
  removeRelayFields(m_Try->m_Answer->m_Fields);
  m_Try->m_Target = Stated.m_Target;
  m_Try->m_Software = Stated.m_Software;
  if (Stated.m_Refusal != RefusalReason::None) {
    onRelayRefusal(Stated);
    return false;
  }
  if (m_Try->m_Answer->m_Signed &&
      m_Try->m_Answer->m_Request != m_Request.m_Id) {
    abandonTry(RetryReason::StreamBroken, "the answer names no request");
    return false;
  }
  // One run was counted when the request was sent.
  m_PossibleRuns += std::max(Stated.m_Runs, 1) - 1;
  return true;
}

void Exchange::onRelayRefusal(const RelayedAnswer &Stated) {
  --m_PossibleRuns;
  m_RelayRefusal = Stated;
  m_Try->m_Call->cancel();
  if (servesNothing(Stated.m_Refusal))
    pauseRelay(m_Gateway.m_Relays, m_Try->m_Relay, monotonicNow());
  closeTry(TargetOutcome::Refused);
  if (!mayServeElsewhere(Stated.m_Refusal))
    return refuseAsRelayed();
  retryOrFail(RetryReason::RelayFailed,
              std::string("another gateway refused the request: ") +
                  refusalName(Stated.m_Refusal));
}

void Exchange::refuseAsRelayed() {
  if (returnToHeld())
    return;
  if (m_FallbackAnswer || m_PossibleRuns > 0)
    return fail(RefusalReason::TargetFailed,
                "no other gateway accepted the request");
  RefusalReason Reason = m_RelayRefusal->m_Refusal;
  // What the other gateway's manifest lacks, this one's allows.
  if (Reason == RefusalReason::UnknownRoute ||
      Reason == RefusalReason::UnknownApiKey)
    Reason = RefusalReason::NoTargetInService;
  refuse(Reason, m_RelayRefusal->m_RetryAfter,
         "the gateway to which the request was passed on refused it");
}

HttpFields Exchange::fieldsForRelay(RefusalReason Refusal,
                                    Millis RetryAfter) const {
  if (!isRelayedHere())
    return {};
  RelayedAnswer Stated;
  if (m_Try) {
    Stated.m_Target = m_Try->m_Target;
    Stated.m_Software = m_Try->m_Software;
  }
  Stated.m_Runs = m_PossibleRuns;
  Stated.m_Refusal = Refusal;
  Stated.m_RetryAfter = RetryAfter;
  return relayAnswerFields(Stated);
}

} // namespace vanillaferry
