#pragma once

#include "connection/http_front.hpp"
#include "connection/operator_http.hpp"
#include "connection/peer_task.hpp"
#include "connection/platform_protocol.hpp"
#include "process/mailbox.hpp"
#include "process/metrics.hpp"
#include "process/settings.hpp"
#include "vanillaferry/process/node_lease.hpp"
#include "vanillaferry/version/manifest_knowledge.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace vanillaferry {

class Exchange;
class TargetConnections;
class TargetListReader;

/// The link to the leading keeper.
struct KeeperLink {
  std::string m_Url;
  /// Every keeper that is known, from the settings or named as a leader.
  std::vector<std::string> m_Known;
  std::size_t m_Next = 0;
  Millis m_LastAnswer;
  Millis m_LastRenewal;
};

/// What the keepers decide, as this gateway acts on it.
struct ControlState {
  Epoch m_Epoch;
  DocumentVersion m_Version;
  std::vector<NodeId> m_Routers;
  std::string m_RouterIds;
  ManifestKnowledge m_Known;
  std::string m_ManifestText;
  RouteTable m_Routes;
  std::set<ZoneId> m_ZonesOut;
};

/// The platform's targets, as the keepers' leader or this gateway read them.
struct TargetListPoll {
  std::vector<ListedTarget> m_Last;
  Millis m_LastRead;
  bool m_Known = false;
  /// The keepers' text and its digest; 0 after an own reading.
  std::string m_Text;
  std::uint64_t m_Digest = 0;
  /// For own readings while the keepers' one is too old.
  std::shared_ptr<TargetListReader> m_Reader;
  Millis m_NextPoll;
};

/// One service's targets and its budget of repeats.
struct GatewayPool {
  DispatchPool m_Dispatch;
  RepeatBudget m_Repeats;
};

/// State of a gateway's main task; touched on the GLib main loop only.
struct Gateway {
  GatewaySettings m_Settings;
  const PlatformProtocol *m_Protocol = nullptr;
  Incarnation m_Incarnation;
  RouterLease m_Lease;
  KeeperLink m_Keeper;
  ControlState m_Control;
  TargetListPoll m_TargetList;
  std::map<PoolId, GatewayPool> m_Pools;
  std::set<std::shared_ptr<Exchange>> m_Exchanges;
  Metrics m_Metrics;

  std::shared_ptr<FdWatcher> m_Watcher = std::make_shared<FdWatcher>();
  std::unique_ptr<HttpFront> m_Front;
  std::unique_ptr<OperatorHttp> m_Ready;
  std::unique_ptr<Mailbox<PeerEvent>> m_Mailbox;
  std::unique_ptr<PeerTask> m_Peers;
  Millis m_StartedAt;
  std::shared_ptr<TargetConnections> m_Connections;
  Timer m_Tick;
  bool m_SaidReady = false;
  /// Set by SIGTERM.
  std::optional<Millis> m_DrainingSince;
  std::function<void()> m_OnDrained;
};

Status startGateway(Gateway &G, GatewaySettings Settings,
                    const PlatformProtocol *Protocol);
/// Begins a graceful shutdown; m_OnDrained is called at its end.
void drainGateway(Gateway &G);
/// True while new connections should come here.
bool isReady(const Gateway &G);

// gateway_lease.cpp
void renewWhenDue(Gateway &G);
void takeControlMessage(Gateway &G, PeerMessage Message);
/// Connects to keepers that the settings name and that are not known yet.
void learnKeepers(Gateway &G, const std::vector<std::string> &Urls);

// target_list.cpp
void pollTargetList(Gateway &G);
/// Takes the keepers' reading of a grant.
void takeGrantedTargets(Gateway &G, const Grant &Granted);
/// Gives the pools the targets last read, after a change of manifest or list.
void rebuildPools(Gateway &G);
GatewayPool *findPool(Gateway &G, const PoolId &Service);
DispatchTarget *findTarget(Gateway &G, const PoolId &Service,
                           const TargetId &Target);

} // namespace vanillaferry
