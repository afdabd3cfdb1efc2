#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaferry {

struct ListedTarget;

// What two software versions of a target write does not fit together, so a
// stream goes on only at the version that began it. Targets do not check this.

/// Where a stream began.
struct StreamOrigin {
  RequestId m_Request;
  PoolId m_Service;
  SoftwareVersion m_Software;
};

constexpr Millis OriginLifetime{30000};

/// Where the streams of the last m_Lifetime, and of at most twice that, began.
struct StreamOrigins {
  std::unordered_map<RequestId, StreamOrigin> m_Current;
  std::unordered_map<RequestId, StreamOrigin> m_Former;
  Millis m_CurrentSince;
  /// OriginLifetime, or as long as the longest stream lasts.
  Millis m_Lifetime = OriginLifetime;
};

/// An entry takes about 200 bytes.
constexpr std::size_t MaxOrigins = 100000;

/// Callers choose the ids; longer ones are not recorded, so that memory is
/// bounded.
constexpr std::size_t MaxOriginIdLength = 128;

void recordOrigin(StreamOrigins &Origins, const StreamOrigin &Origin,
                  Millis Now);
std::optional<SoftwareVersion> findOrigin(const StreamOrigins &Origins,
                                          const RequestId &Request);
/// All that are known of one service.
std::vector<StreamOrigin> originsOf(const StreamOrigins &Origins,
                                    const PoolId &Service);

constexpr Millis MinMixedTime{60000};

/// A version that a service has had alone, by the word of a keeper.
struct StatedVersion {
  SoftwareVersion m_Software;
  Millis m_Since;
};

/// When each software version of a service was last listed.
struct VersionHistory {
  std::map<PoolId, std::map<SoftwareVersion, Millis>> m_LastListed;
  /// Versions of the list in force.
  std::map<PoolId, std::set<SoftwareVersion>> m_Listed;
  /// Time of the first list; absent before it.
  std::optional<Millis> m_Since;
  /// What keepers state of the time before.
  std::map<PoolId, StatedVersion> m_Stated;
  /// Time for which a version that is not listed any more may have streams
  /// under way.
  Millis m_MixedTime = MinMixedTime;
};

/// Records a list that has changed; returns the services of which streams of
/// several versions may be under way since.
std::set<PoolId> recordVersions(VersionHistory &History,
                                const std::vector<ListedTarget> &Listed,
                                Millis Now);
/// Records that the list is still the same.
void confirmVersions(VersionHistory &History, Millis Now);

/// True when streams of several versions may be under way.
bool isMixed(const VersionHistory &History, const PoolId &Service, Millis Now);

/// A version that a service has had alone.
struct SoleVersion {
  SoftwareVersion m_Software;
  /// For how long, as far as is known.
  Millis m_For;
  /// No list that this process has read shows another version, so the version
  /// may have been alone for longer.
  bool m_SinceFirstList = false;
};

/// Records what a keeper states; counts while the own lists agree with it.
void noteStatedVersion(VersionHistory &History, const PoolId &Service,
                       const SoleVersion &Stated, Millis Now);

/// Absent while there are several, or none.
std::optional<SoleVersion> soleVersion(const VersionHistory &History,
                                       const PoolId &Service, Millis Now);

/// True while nothing but a record tells where a stream of the service began:
/// it has several versions, or one that is not known to have been alone for
/// longer than a stream lasts. So it is for a time after the first start.
bool needsRecord(const VersionHistory &History, const PoolId &Service,
                 Millis LongestStream, Millis Now);

/// What a router or a keeper knows of the origin of a stream.
struct OriginEvidence {
  std::optional<SoftwareVersion> m_Recorded;
  std::optional<SoleVersion> m_Sole;
  /// More may become known within seconds.
  bool m_Incomplete = false;
};

/// The version at which a stream may go on, with the evidence of this router
/// and that of a keeper, which knows what other routers recorded; absent when
/// nobody knows, which never means any. A version that the service has had
/// alone for longer than a stream lasts began each stream that is left.
std::optional<SoftwareVersion>
versionOfStream(const OriginEvidence &Own,
                const std::optional<OriginEvidence> &Keepers,
                Millis LongestStream);

} // namespace vanillaferry
