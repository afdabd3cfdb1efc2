#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaferry {

/// What may be repeated of a request.
enum class RequestKind : std::uint8_t { Idempotent, NonIdempotent, Stream };

/// One service of a route's traffic split.
struct WeightedService {
  PoolId m_Service;
  double m_Weight = 0;
};

/// Where requests of one host and path prefix go, and what they may cost.
struct ManifestRoute {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_PathPrefix;
  RequestKind m_Kind = RequestKind::Idempotent;
  /// Longest time that a request of this route may take.
  Millis m_Timeout;
  /// Time to the answer (streams: to the first event) that callers expect.
  Millis m_Objective;
  /// Rank among requests; 0 is the most urgent.
  int m_Priority = 0;
  std::vector<WeightedService> m_Services;
  /// Targets that may run one request.
  int m_MaxTargets = 1;
  /// Needs no API key.
  bool m_Public = false;
  /// A broken stream may go on at another target.
  bool m_Resumable = false;
};

/// A service of the manifest, with what its targets bear.
struct ManifestService {
  PoolId m_Id;
  /// Requests a second that a target in cold start bears; 0 when it has none.
  double m_ColdPerSecond = 0;
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
  /// Goes before the route's priority when set.
  std::optional<int> m_Priority;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
  Bytes m_MaxHeader{16 * 1024};
  Bytes m_MaxBody{4 * 1024 * 1024};
  Millis m_HeaderTimeout{3000};
};

/// Routes, services and client accounts of one version, replaced as a whole.
struct Manifest {
  std::uint64_t m_Version = 0;
  std::vector<ManifestRoute> m_Routes;
  std::vector<ManifestService> m_Services;
  std::vector<ManifestAccount> m_Accounts;
  CallerLimits m_Limits;
};

/// A manifest with its look-up tables. An API key or a route is found without
/// a walk over all of them.
struct RouteTable {
  Manifest m_Manifest;
  /// Routes by host and prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      m_RoutesByHost;
  std::unordered_map<std::string, std::size_t> m_AccountsByKey;
  std::unordered_map<std::string, std::size_t> m_ServicesById;
};

/// All contradictions of a manifest, one sentence each; empty when valid.
std::vector<std::string> validateManifest(const Manifest &Content);

RouteTable makeRouteTable(Manifest Content);

/// The route of the host with the longest prefix that begins the path; null
/// when none matches.
const ManifestRoute *findRoute(const RouteTable &Table, const std::string &Host,
                               const std::string &Path);

/// The client account that holds the key; null when none does.
const ManifestAccount *findAccount(const RouteTable &Table,
                                   const std::string &ApiKey);

const ManifestService *findService(const RouteTable &Table,
                                   const PoolId &Service);

/// Draws a service of the route's traffic split. Equal hashes draw equal ones.
PoolId chooseService(const ManifestRoute &Route, std::uint64_t Hash);

} // namespace vanillaferry
