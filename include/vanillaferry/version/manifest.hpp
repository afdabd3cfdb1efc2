#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaferry {

/// Whether, and how, a request may be retried.
enum class RequestKind : std::uint8_t { Idempotent, NonIdempotent, Stream };

/// One service of a route's traffic split.
struct WeightedService {
  PoolId m_Service;
  double m_Weight = 0;
};

/// Services, limits and priority for requests of one host and path prefix.
struct ManifestRoute {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_PathPrefix;
  RequestKind m_Kind = RequestKind::Idempotent;
  /// Longest time that a request of this route may take.
  Millis m_Timeout;
  /// Latency objective: time to the answer, or to the first event of a stream.
  Millis m_Objective;
  /// Longest pause between two events of a stream that is still on time; 0 when
  /// the route states none.
  Millis m_LongestPause;
  /// 0 is the most urgent.
  int m_Priority = 0;
  std::vector<WeightedService> m_Services;
  /// Most targets to which one request may be sent, including retries.
  int m_MaxTargets = 1;
  /// Needs no API key.
  bool m_Public = false;
  /// A broken stream may be resumed at another target.
  bool m_Resumable = false;
};

/// A service of the manifest, with the limits of its targets.
struct ManifestService {
  PoolId m_Id;
  /// Requests per second that a target can handle during its cold start; 0 when
  /// its targets have no cold start.
  double m_ColdPerSecond = 0;
  /// Duration of a cold start.
  Millis m_ColdTime;
  /// Connections that one target accepts from all callers.
  std::uint32_t m_MaxConnections = 0;
  /// True when the targets run a model.
  bool m_Engine = false;
};

/// A client account with the API keys that belong to it.
struct ManifestAccount {
  AccountId m_Id;
  std::vector<std::string> m_ApiKeys;
  /// Overrides the route's priority when set.
  std::optional<int> m_Priority;
};

/// Limits for requests that callers send.
struct CallerLimits {
  Bytes m_MaxHeader{16 * 1024};
  Bytes m_MaxBody{4 * 1024 * 1024};
  Millis m_HeaderTimeout{3000};
  Millis m_IdleTimeout{15000};
};

/// Routes, services and client accounts of one version, replaced as a whole.
struct Manifest {
  std::uint64_t m_Version = 0;
  std::vector<ManifestRoute> m_Routes;
  std::vector<ManifestService> m_Services;
  std::vector<ManifestAccount> m_Accounts;
  CallerLimits m_Limits;
};

/// A manifest with hash indexes, so that look-ups of API keys and routes need
/// no linear search.
struct RouteTable {
  Manifest m_Manifest;
  /// Routes by host and prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      m_RoutesByHost;
  std::unordered_map<std::string, std::size_t> m_AccountsByKey;
  std::unordered_map<std::string, std::size_t> m_ServicesById;
};

/// Checks a manifest for inconsistencies. Returns one sentence for each error;
/// empty when the manifest is valid.
std::vector<std::string> validateManifest(const Manifest &Content);

RouteTable makeRouteTable(Manifest Content);

/// The route of the host with the longest prefix that begins the path; null
/// when none matches.
const ManifestRoute *findRoute(const RouteTable &Table, const std::string &Host,
                               const std::string &Path);

/// The client account that the key belongs to; null when there is none.
const ManifestAccount *findAccount(const RouteTable &Table,
                                   const std::string &ApiKey);

const ManifestService *findService(const RouteTable &Table,
                                   const PoolId &Service);

/// Chooses a service of the route's traffic split by weight; deterministic for
/// a given hash.
PoolId chooseService(const ManifestRoute &Route, std::uint64_t Hash);

} // namespace vanillaferry
