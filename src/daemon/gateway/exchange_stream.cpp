#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

namespace vanillaferry {

namespace {

/// A keeper answers within some milliseconds; one that is busy or out of reach
/// must not cost the caller more of its time.
constexpr Millis OriginQueryTimeout{300};
/// Between the last target of a version and the list that lacks it.
constexpr Millis ListDelay{5000};

} // namespace

bool Exchange::takesUpStream() const {
  return isStream() && m_Request.m_LastEvent.value_or(0) > 0;
}

Millis Exchange::longestStream() const { return m_Route.m_Timeout + ListDelay; }

bool Exchange::resolveOrigin() {
  // A gateway that passes a stream on states its version.
  if (!takesUpStream() || m_Need.m_Software)
    return true;
  m_Need.m_Software =
      findOrigin(m_Gateway.m_Streams.m_Origins, m_Request.m_Resumes);
  if (m_Need.m_Software)
    return true;
  std::weak_ptr<Exchange> Weak = weak_from_this();
  m_OriginTimer.start(OriginQueryTimeout.m_Value, [Weak] {
    if (std::shared_ptr<Exchange> Self = Weak.lock())
      Self->goOnWith(std::nullopt);
    return false;
  });
  m_AwaitsOrigin = true;
  askForOrigin(m_Gateway, {m_Request.m_Resumes, m_Service, longestStream()});
  return false;
}

bool Exchange::awaitsOrigin(const RequestId &Stream) const {
  return m_AwaitsOrigin && m_Request.m_Resumes == Stream;
}

void Exchange::goOnWith(const std::optional<OriginEvidence> &Keepers) {
  if (m_Done || !m_AwaitsOrigin)
    return;
  m_AwaitsOrigin = false;
  m_OriginTimer.stop();
  OriginEvidence Own;
  Own.m_Sole =
      soleVersion(m_Gateway.m_Streams.m_History, m_Service, monotonicNow());
  m_Need.m_Software = versionOfStream(Own, Keepers, longestStream());
  logEvent(Event::StreamTakenUp,
           {{"request", m_Request.m_Id.m_Value},
            {"resumes", m_Request.m_Resumes.m_Value},
            {"software", m_Need.m_Software.value_or(SoftwareVersion()).m_Value},
            {"known", m_Need.m_Software.has_value()},
            {"keeper_answered", Keepers.has_value()}});
  if (m_Need.m_Software)
    return dispatch();
  // The keepers may know it when they answer again, or have been told again;
  // else nothing changes while the caller waits.
  bool MayChange = !Keepers || Keepers->m_Incomplete;
  Millis RetryAfter = MayChange ? OriginQueryTimeout : m_Route.m_Timeout;
  refuse(RefusalReason::StreamOriginUnknown, RetryAfter,
         "it is not known at which software version the stream began");
}

void Exchange::recordBeginning(const SoftwareVersion &Software) {
  if (isStream() && m_Route.m_Resumable && !takesUpStream() && !m_StreamStarted)
    recordStream(m_Gateway, {m_Request.m_Id, m_Service, Software});
}

} // namespace vanillaferry
