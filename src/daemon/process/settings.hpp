#pragma once

#include "process/log.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/result.hpp"
#include "vanillaferry/process/rollout.hpp"
#include "vanillaferry/process/units.hpp"
#include "vanillaferry/request/waiting_room.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillaferry {

/// An address to listen on, by IP number.
struct ListenAddress {
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 0;
  /// Peer addresses only: the websocket URL that other processes use, when it
  /// differs from address and port (a forwarded port).
  std::string m_Url;
};

/// The websocket URL under which other processes reach a peer address.
std::string peerUrlOf(const ListenAddress &Listen);

/// Memory of a process.
struct MemorySettings {
  /// Memory of the VM; 0 when the settings do not state it.
  Bytes m_Vm{0};
  /// Limit on the bytes held for callers; 0 for a quarter of the VM's memory.
  Bytes m_Callers{0};
};

/// Settings of a router process.
struct RouterSettings {
  NodeId m_Node;
  VmId m_Vm;
  ZoneId m_Zone;
  ListenAddress m_Http;
  ListenAddress m_Peer;
  /// Websocket URLs of the keepers.
  std::vector<std::string> m_Keepers;
  /// Empty when the platform offers no VM list.
  std::string m_VmListUrl;
  Millis m_VmListInterval{1000};
  /// A graceful shutdown ends after this time at the latest; 0 is no limit.
  Millis m_DrainLimit{0};
  /// File for the recorded trace; empty for none.
  std::string m_Record;
  MemorySettings m_Memory;
  LogOptions m_Log;
};

/// A keeper of the first keeper set.
struct InitialKeeper {
  KeeperId m_Keeper;
  std::string m_PeerUrl;
};

/// An operator's credentials and the sections that its roles own.
struct OperatorSettings {
  OperatorId m_Operator;
  std::string m_TokenSha256;
  /// Section names, or "*" for all sections and the keeper set.
  std::vector<std::string> m_Sections;
};

/// Settings of a keeper process.
struct KeeperSettings {
  KeeperId m_Keeper;
  VmId m_Vm;
  ZoneId m_Zone;
  ListenAddress m_Http;
  ListenAddress m_Peer;
  std::string m_DataFolder;
  std::vector<InitialKeeper> m_InitialKeepers;
  std::vector<OperatorSettings> m_Operators;
  /// Forms the first keeper set on an empty data folder, as --initialize does.
  bool m_Initialize = false;
  /// Keepers join, regain and lose their votes without an operator.
  bool m_SelfRepair = false;
  /// Keepers that may be lost at the same time; the repair keeps votes for it.
  std::size_t m_ToleratedLosses = 1;
  /// Manifests and changes of zones are accepted without an operator's token.
  bool m_OpenManifest = false;
  /// IP:PORT of the platform's list of targets, which the keepers read for all
  /// routers; empty for none.
  std::string m_TargetList;
  /// Time between the leader's heartbeats, from which the election times
  /// follow; 0 for the default.
  Millis m_Heartbeat{0};
  /// Routers' leases; 0 for the default.
  Millis m_LeaseTime{0};
  /// A snapshot replaces the log after this many entries.
  std::uint64_t m_SnapshotEntries = 10000;
  RolloutBounds m_Rollouts;
  MemorySettings m_Memory;
  LogOptions m_Log;
};

/// Bounds that a gateway keeps to, as its deployment states them.
struct GatewayBounds {
  /// Retries for each request over m_RetryWindow, of all gateways together.
  double m_RetryRatio = 0.1;
  /// Retries in each m_RetryWindow beyond that, of all gateways together.
  double m_RetryExtra = 10;
  Millis m_RetryWindow{10000};
  /// A target in cold start may get its stated rate times this factor, and
  /// m_ColdExtra requests more, within a second.
  double m_ColdFactor = 1;
  double m_ColdExtra = 0;
  /// Time from SIGTERM to SIGKILL.
  Millis m_Grace{8000};
};

/// Settings of a gateway process: a router that sends requests to the
/// platform's targets itself.
struct GatewaySettings {
  NodeId m_Node;
  ZoneId m_Zone;
  ListenAddress m_Front;
  ListenAddress m_Ready;
  ListenAddress m_Peer;
  /// For requests of other gateways; absent when it takes none.
  std::optional<ListenAddress> m_Relay;
  /// Websocket URLs of some keepers.
  std::vector<std::string> m_Keepers;
  /// IP:PORT of the platform's list of targets.
  std::string m_TargetList;
  /// Calls per second that all gateways together may make there.
  double m_TargetListRate = 1;
  GatewayBounds m_Bounds;
  RolloutBounds m_Rollouts;
  /// Requests of one service that may wait for room at its targets.
  RoomLimits m_RoomLimits;
  MemorySettings m_Memory;
  LogOptions m_Log;
};

/// Settings of the operator's command line.
struct OperatorCliSettings {
  /// HTTP URLs of the keepers; the one that leads answers.
  std::vector<std::string> m_Keepers;
  std::string m_Token;
};

/// Reads and checks a settings file; the error lists every fault with its
/// path, value and what was expected.
Result<RouterSettings> loadRouterSettings(const std::string &Path);
Result<KeeperSettings> loadKeeperSettings(const std::string &Path);
Result<GatewaySettings> loadGatewaySettings(const std::string &Path);
Result<OperatorCliSettings> loadOperatorCliSettings(const std::string &Path);

/// All faults of a settings file of any kind, one per line; empty when valid.
std::vector<std::string> checkSettingsFile(const std::string &Path);

} // namespace vanillaferry
