#pragma once

#include "LinkProxy.hpp"
#include "PlatformFakes.hpp"
#include "ProcessFleet.hpp"

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace vanillaferry::tests {

/// Kinds of requests that the fleet's manifest routes.
enum class CallKind { Stream, ResumableStream, Order, Lookup };

/// Path of a kind's route.
const char *pathOf(CallKind Kind);

/// How gateways reach targets.
enum class TargetLinks {
  Shared,
  /// Each gateway reads a list of its own and has a proxy to each target.
  Own,
  /// Gateways cannot read the list, as in a fleet so large that their turn to
  /// do so comes too late; they depend on the keepers.
  KeepersList,
};

/// Gateways, keepers and emulated targets with the settings of the users'
/// deployment, on addresses of 127.0.0.0/8. Connections to keepers and from
/// callers to gateways pass through proxies.
class GatewayFleet {
public:
  GatewayFleet(std::size_t Keepers, std::size_t Gateways, std::size_t Targets,
               std::uint64_t Seed, TargetLinks Links = TargetLinks::Shared);

  PlatformFakes &targets() { return *m_Targets; }
  std::size_t keepers() const { return m_Keepers.size(); }
  std::size_t gateways() const { return m_Gateways.size(); }
  ChildProcess &keeper(std::size_t Index) { return m_Keepers[Index].m_Process; }
  ChildProcess &gateway(std::size_t Index) {
    return m_Gateways[Index].m_Process;
  }
  LinkProxy &keeperLink(std::size_t Index) { return *m_Keepers[Index].m_Link; }
  LinkProxy &frontLink(std::size_t Index) { return *m_Gateways[Index].m_Link; }
  /// Cuts a gateway off from all targets; only with TargetLinks::Own.
  void closeTargetLinks(std::size_t Gateway, NewConnections How);
  void healTargetLinks(std::size_t Gateway);
  /// Address to which callers connect.
  LoopbackAddress front(std::size_t Index) const;
  /// The gateway's own addresses, past the proxy.
  LoopbackAddress realFront(std::size_t Index) const {
    return m_Gateways[Index].m_Real;
  }
  LoopbackAddress readyAddress(std::size_t Index) const {
    return {m_Gateways[Index].m_Real.m_Ip, m_ReadyPort};
  }
  /// Address at which other gateways pass requests on.
  LoopbackAddress relayAddress(std::size_t Index) const {
    return {m_Gateways[Index].m_Real.m_Ip, m_RelayPort};
  }
  const std::string &folder() const { return m_Folder.path(); }

  /// With a limit, the keeper's disk is full once a file has that many bytes.
  void startKeeper(std::size_t Index, bool First = false,
                   std::int64_t FileSizeLimit = 0);
  void wipeKeeper(std::size_t Index);
  /// Extra is merged into the gateway's settings.
  void startGateway(std::size_t Index,
                    const nlohmann::json &Extra = nlohmann::json::object(),
                    std::int64_t DescriptorLimit = 0);
  bool isReady(std::size_t Index) const;
  bool waitReady(std::size_t Index, int LimitMs) const;
  /// Waits for each gateway in turn, up to the limit for each.
  bool waitAllReady(int LimitMs) const;

  /// A manifest of this version without the API keys in Revoked.
  nlohmann::json manifest(std::uint64_t Version,
                          const std::set<std::string> &Revoked) const;
  /// Sends an operator's order to the keepers in turn until one answers.
  OperatorReply order(const std::string &Method, const std::string &Path,
                      const std::string &Body, int LimitMs);
  /// Sends it once to one keeper.
  OperatorReply orderAt(std::size_t Keeper, const std::string &Method,
                        const std::string &Path, const std::string &Body,
                        int LimitMs) const;

private:
  struct Part {
    LoopbackAddress m_Real;
    std::string m_Name;
    std::unique_ptr<LinkProxy> m_Link;
    ChildProcess m_Process;
    /// Empty with TargetLinks::Shared.
    std::vector<std::unique_ptr<LinkProxy>> m_TargetLinks;
    LoopbackAddress m_List;
    std::unique_ptr<FakeListener> m_OwnList;
  };

  void linkToTargets(std::size_t Gateway);
  std::string keeperUrl(std::size_t Index) const;
  nlohmann::json seeds() const;
  void start(Part &Started, const char *Program, const nlohmann::json &Settings,
             std::int64_t FileSizeLimit, std::int64_t DescriptorLimit = 0);

  TargetLinks m_Links;
  TemporaryFolder m_Folder;
  std::string m_Network;
  std::uint16_t m_HttpPort;
  std::uint16_t m_PeerPort;
  std::uint16_t m_ReadyPort;
  std::uint16_t m_RelayPort;
  std::unique_ptr<PlatformFakes> m_Targets;
  std::vector<Part> m_Keepers;
  std::vector<Part> m_Gateways;
};

} // namespace vanillaferry::tests
