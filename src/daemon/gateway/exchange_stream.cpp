#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// A keeper answers within some milliseconds; one that is busy or out of reach
/// must not cost the caller more of its time.
constexpr Millis OriginQueryTimeout{300};

Millis timeAlone(const std::optional<OriginEvidence> &Evidence) {
  return Evidence && Evidence->m_Sole ? Evidence->m_Sole->m_For : Millis(0);
}

/// What tells at which version the stream goes on, for the counter.
const char *howKnown(const std::optional<SoftwareVersion> &Software,
                     const std::optional<OriginEvidence> &Keepers) {
  if (!Software)
    return "unknown";
  return Keepers && Keepers->m_Recorded ? "keeper_record" : "one_version";
}

void countTakenUp(Gateway &G, const char *How) {
  addCounter(G.m_Metrics,
             std::string("vanillaferry_streams_taken_up_total{origin=\"") +
                 How + "\"}");
}

} // namespace

bool Exchange::takesUpStream() const {
  return isStream() && m_Request.m_LastEvent.value_or(0) > 0;
}

Millis Exchange::longestStream() const {
  return vanillaferry::longestStream(m_Route);
}

bool Exchange::resolveOrigin() {
  // A gateway that passes a stream on states its version.
  if (!takesUpStream() || m_Need.m_Software)
    return true;
  m_Need.m_Software =
      findOrigin(m_Gateway.m_Streams.m_Origins, m_Request.m_Resumes);
  if (m_Need.m_Software) {
    countTakenUp(m_Gateway, "own_record");
    return true;
  }
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
            {"keeper_answered", Keepers.has_value()},
            {"alone_ms", timeAlone(Own).m_Value},
            {"alone_by_keeper_ms", timeAlone(Keepers).m_Value},
            {"needed_ms", longestStream().m_Value}});
  countTakenUp(m_Gateway, howKnown(m_Need.m_Software, Keepers));
  if (m_Need.m_Software)
    return dispatch();
  // The keepers may know it when they answer again, or have been told again;
  // else it helps only that a version has been alone for long enough.
  bool MayChange = !Keepers || Keepers->m_Incomplete;
  Millis Alone = std::max(timeAlone(Own), timeAlone(Keepers));
  Millis RetryAfter =
      MayChange ? OriginQueryTimeout
                : std::min(m_Route.m_Timeout, longestStream() - Alone);
  refuse(RefusalReason::StreamOriginUnknown, RetryAfter,
         "it is not known at which software version the stream began");
}

void Exchange::recordBeginning(const SoftwareVersion &Software) {
  if (isStream() && m_Route.m_Resumable && !takesUpStream() && !m_StreamStarted)
    recordStream(m_Gateway, {m_Request.m_Id, m_Service, Software},
                 longestStream());
}

} // namespace vanillaferry
