#include "gateway/relay_fields.hpp"

#include "connection/hop_by_hop.hpp"

#include <algorithm>
#include <charconv>
#include <set>
#include <string>
#include <strings.h>

namespace vanillaferry {

namespace {

const std::string FieldPrefix = "relay-";
constexpr const char *TimeLeft = "relay-time-left-ms";
constexpr const char *MaxTargets = "relay-max-targets";
constexpr const char *LastEvent = "relay-last-event";
constexpr const char *Software = "relay-software";
constexpr const char *Target = "relay-target";
constexpr const char *Runs = "relay-runs";
constexpr const char *RefusedFor = "relay-refusal";
constexpr const char *RetryAfter = "relay-retry-after-ms";

/// Added by the HTTP server of the gateway that answers.
const std::set<std::string> ServerFields = {"x-request-id", "cache-control",
                                            "date", "server"};

std::optional<std::int64_t> parseNumber(const std::string &Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  std::from_chars_result Read = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Read.ec != std::errc() || Read.ptr != End || Value < 0)
    return std::nullopt;
  return Value;
}

/// The last value of a field; targets cannot overwrite what the gateway adds
/// behind their fields.
std::optional<std::string> findField(const HttpFields &Fields,
                                     const char *Name) {
  for (HttpFields::const_reverse_iterator Each = Fields.rbegin();
       Each != Fields.rend(); ++Each)
    if (::strcasecmp(Each->first.c_str(), Name) == 0)
      return Each->second;
  return std::nullopt;
}

bool isRelayField(const std::string &Name) {
  return ::strncasecmp(Name.c_str(), FieldPrefix.c_str(), FieldPrefix.size()) ==
         0;
}

} // namespace

HttpFields relayRequestFields(const RelayedRequest &Stated) {
  HttpFields Fields = {{TimeLeft, std::to_string(Stated.m_TimeLeft.m_Value)},
                       {MaxTargets, std::to_string(Stated.m_MaxTargets)}};
  if (Stated.m_LastEvent)
    Fields.emplace_back(LastEvent, std::to_string(*Stated.m_LastEvent));
  if (Stated.m_Software)
    Fields.emplace_back(Software, Stated.m_Software->m_Value);
  return Fields;
}

std::optional<RelayedRequest> readRelayedRequest(const CallerRequest &Request) {
  HttpFields Fields(Request.m_Fields.begin(), Request.m_Fields.end());
  std::optional<std::int64_t> Left =
      parseNumber(findField(Fields, TimeLeft).value_or(""));
  std::optional<std::int64_t> Targets =
      parseNumber(findField(Fields, MaxTargets).value_or(""));
  if (!Left || !Targets)
    return std::nullopt;
  RelayedRequest Stated;
  Stated.m_TimeLeft = Millis(*Left);
  Stated.m_MaxTargets = static_cast<int>(*Targets);
  if (std::optional<std::int64_t> Last =
          parseNumber(findField(Fields, LastEvent).value_or("")))
    Stated.m_LastEvent = static_cast<std::uint64_t>(*Last);
  if (std::optional<std::string> Version = findField(Fields, Software))
    Stated.m_Software = SoftwareVersion(*Version);
  return Stated;
}

HttpFields relayAnswerFields(const RelayedAnswer &Stated) {
  HttpFields Fields = {
      {Target, Stated.m_Target.m_Value},
      {Software, Stated.m_Software.m_Value},
      {Runs, std::to_string(Stated.m_Runs)},
      {RefusedFor, std::to_string(static_cast<int>(Stated.m_Refusal))},
      {RetryAfter, std::to_string(Stated.m_RetryAfter.m_Value)}};
  return Fields;
}

RelayedAnswer readRelayedAnswer(const HttpFields &Fields) {
  RelayedAnswer Stated;
  Stated.m_Target = TargetId(findField(Fields, Target).value_or(""));
  Stated.m_Software = SoftwareVersion(findField(Fields, Software).value_or(""));
  Stated.m_Runs = static_cast<int>(
      parseNumber(findField(Fields, Runs).value_or("")).value_or(1));
  Stated.m_Refusal = static_cast<RefusalReason>(
      parseNumber(findField(Fields, RefusedFor).value_or("")).value_or(0));
  Stated.m_RetryAfter = Millis(
      parseNumber(findField(Fields, RetryAfter).value_or("")).value_or(0));
  return Stated;
}

bool mayServeElsewhere(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::QueueFull:
  case RefusalReason::ColdTargets:
  case RefusalReason::TargetRateLimit:
  case RefusalReason::NoLease:
  case RefusalReason::Draining:
  case RefusalReason::NoTargetInService:
  // The other gateway may act on an older manifest than this one, which has
  // admitted the request.
  case RefusalReason::UnknownRoute:
  case RefusalReason::UnknownApiKey:
    return true;
  default:
    return false;
  }
}

HttpFields fieldsToRelay(const CallerRequest &Request) {
  std::set<std::string> Dropped = hopByHopFields(Request);
  HttpFields Fields;
  for (const std::pair<const std::string, std::string> &Field :
       Request.m_Fields)
    if (Dropped.count(Field.first) == 0 && !isRelayField(Field.first) &&
        Field.first != "content-type")
      Fields.push_back(Field);
  return Fields;
}

void removeRelayFields(HttpFields &Fields) {
  Fields.erase(
      std::remove_if(Fields.begin(), Fields.end(),
                     [](const std::pair<std::string, std::string> &Field) {
                       return isRelayField(Field.first) ||
                              ServerFields.count(lowerCase(Field.first)) != 0;
                     }),
      Fields.end());
}

} // namespace vanillaferry
