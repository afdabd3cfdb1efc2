#include "vanillaferry/request/stream_origin.hpp"

#include "vanillaferry/request/dispatch.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// Versions that were listed last before this are dropped.
constexpr Millis VersionLifetime{3600000};

void dropOldVersions(VersionHistory &History, Millis Now) {
  Millis Lifetime = std::max(VersionLifetime, History.m_MixedTime);
  for (std::pair<const PoolId, std::map<SoftwareVersion, Millis>> &Row :
       History.m_LastListed)
    for (std::map<SoftwareVersion, Millis>::iterator Each = Row.second.begin();
         Each != Row.second.end();)
      Each = Each->second + Lifetime < Now ? Row.second.erase(Each)
                                           : std::next(Each);
}

std::optional<SoftwareVersion> fromEvidence(const OriginEvidence &Evidence,
                                            Millis LongestStream) {
  if (Evidence.m_Recorded)
    return Evidence.m_Recorded;
  if (Evidence.m_Sole && Evidence.m_Sole->m_For >= LongestStream)
    return Evidence.m_Sole->m_Software;
  return std::nullopt;
}

} // namespace

void recordOrigin(StreamOrigins &Origins, const StreamOrigin &Origin,
                  Millis Now) {
  if (Origin.m_Request.m_Value.size() > MaxOriginIdLength)
    return;
  if (Now >= Origins.m_CurrentSince + Origins.m_Lifetime ||
      Origins.m_Current.size() >= MaxOrigins) {
    Origins.m_Former = std::move(Origins.m_Current);
    Origins.m_Current.clear();
    Origins.m_CurrentSince = Now;
  }
  Origins.m_Current[Origin.m_Request] = Origin;
}

std::optional<SoftwareVersion> findOrigin(const StreamOrigins &Origins,
                                          const RequestId &Request) {
  for (const std::unordered_map<RequestId, StreamOrigin> *Each :
       {&Origins.m_Current, &Origins.m_Former}) {
    std::unordered_map<RequestId, StreamOrigin>::const_iterator Found =
        Each->find(Request);
    if (Found != Each->end())
      return Found->second.m_Software;
  }
  return std::nullopt;
}

std::vector<StreamOrigin> originsOf(const StreamOrigins &Origins,
                                    const PoolId &Service) {
  std::vector<StreamOrigin> Found;
  // A later entry replaces an earlier one where it is recorded again.
  for (const std::unordered_map<RequestId, StreamOrigin> *Each :
       {&Origins.m_Former, &Origins.m_Current})
    for (const std::pair<const RequestId, StreamOrigin> &Row : *Each)
      if (Row.second.m_Service == Service)
        Found.push_back(Row.second);
  return Found;
}

std::set<PoolId> recordVersions(VersionHistory &History,
                                const std::vector<ListedTarget> &Listed,
                                Millis Now) {
  std::set<PoolId> MixedBefore;
  for (const std::pair<const PoolId, std::set<SoftwareVersion>> &Row :
       History.m_Listed)
    if (isMixed(History, Row.first, Now))
      MixedBefore.insert(Row.first);
  History.m_Listed.clear();
  for (const ListedTarget &Each : Listed)
    History.m_Listed[Each.m_Service].insert(Each.m_Software);
  confirmVersions(History, Now);
  std::set<PoolId> NewlyMixed;
  for (const std::pair<const PoolId, std::set<SoftwareVersion>> &Row :
       History.m_Listed)
    if (MixedBefore.count(Row.first) == 0 && isMixed(History, Row.first, Now))
      NewlyMixed.insert(Row.first);
  return NewlyMixed;
}

void confirmVersions(VersionHistory &History, Millis Now) {
  if (!History.m_Since)
    History.m_Since = Now;
  for (const std::pair<const PoolId, std::set<SoftwareVersion>> &Row :
       History.m_Listed)
    for (const SoftwareVersion &Each : Row.second)
      History.m_LastListed[Row.first][Each] = Now;
  dropOldVersions(History, Now);
}

bool isMixed(const VersionHistory &History, const PoolId &Service, Millis Now) {
  std::map<PoolId, std::map<SoftwareVersion, Millis>>::const_iterator Found =
      History.m_LastListed.find(Service);
  if (Found == History.m_LastListed.end())
    return false;
  return std::count_if(
             Found->second.begin(), Found->second.end(),
             [&History,
              Now](const std::pair<const SoftwareVersion, Millis> &Row) {
               return Row.second + History.m_MixedTime >= Now;
             }) > 1;
}

std::optional<SoleVersion> soleVersion(const VersionHistory &History,
                                       const PoolId &Service, Millis Now) {
  std::map<PoolId, std::map<SoftwareVersion, Millis>>::const_iterator Found =
      History.m_LastListed.find(Service);
  if (Found == History.m_LastListed.end() || Found->second.empty() ||
      !History.m_Since)
    return std::nullopt;
  const std::map<SoftwareVersion, Millis> &Versions = Found->second;
  auto Earlier = [](const std::pair<const SoftwareVersion, Millis> &A,
                    const std::pair<const SoftwareVersion, Millis> &B) {
    return A.second < B.second;
  };
  std::map<SoftwareVersion, Millis>::const_iterator Last =
      std::max_element(Versions.begin(), Versions.end(), Earlier);
  Millis AloneSince = *History.m_Since;
  for (const std::pair<const SoftwareVersion, Millis> &Row : Versions) {
    if (Row.first == Last->first)
      continue;
    if (Row.second == Last->second)
      return std::nullopt;
    AloneSince = std::max(AloneSince, Row.second);
  }
  SoleVersion Sole{Last->first, Now - AloneSince, Versions.size() == 1};
  std::map<PoolId, StatedVersion>::const_iterator Stated =
      History.m_Stated.find(Service);
  if (Sole.m_SinceFirstList && Stated != History.m_Stated.end() &&
      Stated->second.m_Software == Sole.m_Software)
    Sole.m_For = std::max(Sole.m_For, Now - Stated->second.m_Since);
  return Sole;
}

void noteStatedVersion(VersionHistory &History, const PoolId &Service,
                       const SoleVersion &Stated, Millis Now) {
  History.m_Stated[Service] = {Stated.m_Software, Now - Stated.m_For};
}

bool needsRecord(const VersionHistory &History, const PoolId &Service,
                 Millis LongestStream, Millis Now) {
  std::optional<SoleVersion> Sole = soleVersion(History, Service, Now);
  return isMixed(History, Service, Now) || !Sole || Sole->m_For < LongestStream;
}

std::optional<SoftwareVersion>
versionOfStream(const OriginEvidence &Own,
                const std::optional<OriginEvidence> &Keepers,
                Millis LongestStream) {
  if (Own.m_Recorded)
    return Own.m_Recorded;
  if (Keepers)
    if (std::optional<SoftwareVersion> Known =
            fromEvidence(*Keepers, LongestStream))
      return Known;
  return fromEvidence(Own, LongestStream);
}

} // namespace vanillaferry
