#pragma once

#include "connection/http_front.hpp"
#include "connection/operator_http.hpp"
#include "connection/peer_task.hpp"
#include "connection/platform_protocol.hpp"
#include "connection/target_list_reader.hpp"
#include "process/mailbox.hpp"
#include "process/metrics.hpp"
#include "process/settings.hpp"
#include "vanillaferry/connection/target_reach.hpp"
#include "vanillaferry/process/keeper_choice.hpp"
#include "vanillaferry/process/node_lease.hpp"
#include "vanillaferry/request/prompt_guard.hpp"
#include "vanillaferry/request/relay_choice.hpp"
#include "vanillaferry/request/rollout_answers.hpp"
#include "vanillaferry/request/stream_news.hpp"
#include "vanillaferry/request/waiting_room.hpp"
#include "vanillaferry/version/manifest_knowledge.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaferry {

class Exchange;
class TargetConnections;

/// The control state that this gateway last received from the keepers.
struct ControlState {
  Epoch m_Epoch;
  DocumentVersion m_Version;
  /// Version at which m_ZonesOut was true.
  DocumentVersion m_ZonesVersion;
  std::vector<NodeId> m_Routers;
  std::string m_RouterIds;
  ManifestKnowledge m_ManifestKnowledge;
  std::string m_ManifestText;
  RouteTable m_Routes;
  std::set<ZoneId> m_ZonesOut;
};

/// The platform's list of targets, read by the keepers' leader or by this
/// gateway.
struct TargetListState {
  std::vector<ListedTarget> m_Targets;
  Millis m_ReadAt;
  bool m_Received = false;
  /// The list as the keepers sent it, and its digest; the digest is 0 after
  /// this gateway has read the list itself.
  std::string m_Text;
  std::uint64_t m_Digest = 0;
  /// Reads the list directly while the one from the keepers is too old.
  std::unique_ptr<TargetListReader> m_Reader;
  /// Set while the keepers' list is too old.
  std::optional<Millis> m_NextPoll;
};

/// One service's targets, the way to them and its retry budget.
struct GatewayPool {
  DispatchPool m_Dispatch;
  TargetReach m_Reach;
  RepeatBudget m_Repeats;
};

/// A link to a keeper, and since when its process runs; earlier builds do not
/// state that.
struct KeeperLink {
  std::uint64_t m_Connection = 0;
  std::optional<Millis> m_RunsSince;
};

/// What this gateway knows of the software versions at which streams began.
struct StreamVersions {
  StreamOrigins m_Origins;
  VersionHistory m_History;
  StreamNews m_News;
  /// By the keeper's URL.
  std::map<std::string, KeeperLink> m_KeeperLinks;
  /// The connection over which the last news went.
  std::uint64_t m_ToldOver = 0;
  /// Of all routes of the manifest.
  Millis m_LongestStream;
  /// Services with new records; the keepers may know an older time since which
  /// they have had one version.
  std::set<PoolId> m_ToAsk;
  Millis m_NextAsk;
};

/// One service's rollout, as this gateway applies it.
struct GatewayRollout {
  RolloutShare m_Share;
  /// Version of the control state that last stated it.
  DocumentVersion m_StatedAt;
  RolloutAnswers m_Answers;
  std::uint64_t m_Reports = 0;
  Millis m_NextReport;
  /// When the local stop was reported; absent while it is not.
  std::optional<Millis> m_StopReportedAt;
  /// Requests at former versions when last counted.
  std::uint32_t m_FormerStreams = 0;
  std::uint32_t m_FormerRunning = 0;
};

/// The requests that wait for room at the targets of one service.
struct ServiceRoom {
  WaitingRoom m_Room;
  std::map<std::uint64_t, std::weak_ptr<Exchange>> m_Waiting;
  /// Not before this time a target that is full by old figures is asked.
  Millis m_NextProbe;
  /// When a request waited last, for the log.
  Millis m_LastUsed{-1000000};
};

/// The waiting rooms of all services.
struct ServiceRooms {
  std::map<PoolId, ServiceRoom> m_ByService;
  std::uint64_t m_LastId = 0;
  /// Services at whose targets room may have appeared.
  std::set<PoolId> m_Woken;
  /// Offers room once the present event has been handled.
  Timer m_Wake;
  /// Runs while requests wait.
  Timer m_Check;
};

/// State of a gateway's main task; accessed on the GLib main loop only.
struct Gateway {
  GatewaySettings m_Settings;
  const PlatformProtocol *m_Protocol = nullptr;
  Incarnation m_Incarnation;
  RouterLease m_Lease;
  KeeperChoice m_Keeper;
  /// Keepers to which links are kept.
  std::set<std::string> m_Dialled;
  ControlState m_Control;
  TargetListState m_TargetList;
  std::map<PoolId, GatewayPool> m_Pools;
  ServiceRooms m_Rooms;
  Relays m_Relays;
  PromptGuard m_Prompts;
  StreamVersions m_Streams;
  std::map<PoolId, GatewayRollout> m_Rollouts;
  std::set<std::shared_ptr<Exchange>> m_Exchanges;
  /// Bytes of answers that are held until they are whole.
  std::size_t m_BufferedAnswers = 0;
  /// Requests that wait for a grant, in order of arrival.
  std::vector<std::weak_ptr<Exchange>> m_AwaitingGrant;
  /// Last time at which requests could be sent, or the start.
  Millis m_UsableAt;
  Metrics m_Metrics;

  std::shared_ptr<FdWatcher> m_Watcher = std::make_shared<FdWatcher>();
  std::unique_ptr<HttpFront> m_Front;
  /// Takes requests of other gateways; absent without an address for it.
  std::unique_ptr<HttpFront> m_RelayFront;
  std::unique_ptr<OperatorHttp> m_Ready;
  std::unique_ptr<Mailbox<PeerEvent>> m_Mailbox;
  std::unique_ptr<PeerTask> m_Peers;
  Millis m_StartedAt;
  std::shared_ptr<TargetConnections> m_Connections;
  Timer m_Tick;
  bool m_LoggedReady = false;
  /// Set by SIGTERM.
  std::optional<Millis> m_DrainingSince;
  std::function<void()> m_OnDrained;
};

Status startGateway(Gateway &G, GatewaySettings Settings,
                    const PlatformProtocol *Protocol);
/// Begins a graceful shutdown; m_OnDrained is called at its end.
void drainGateway(Gateway &G);
/// True while new connections should be routed to this gateway.
bool isReady(const Gateway &G);

// gateway_lease.cpp
void renewWhenDue(Gateway &G);
void handlePeerEvent(Gateway &G, PeerEvent Event);
/// True while requests may be sent to targets.
bool mayServe(const Gateway &G, Millis Now);

// gateway_reach.cpp
/// A target accepts a connection within this time, or a packet was lost, the
/// target is gone or the way to it is cut.
constexpr Millis ConnectTimeout{400};
/// A new connection to a target of the service was established.
void recordConnected(Gateway &G, const PoolId &Service);
/// One was refused or not established in time.
void recordNotConnected(Gateway &G, const PoolId &Service,
                        const FailedConnect &Failed);
/// Connects to targets without a request where it is open whether they or the
/// own links fail.
void probeTargets(Gateway &G);

// gateway_prompts.cpp
/// Applies the refused prompt parts that a grant or an update states.
void applyRefusedParts(Gateway &G, std::uint64_t Version,
                       const std::vector<RefusedPart> &Parts);
void handlePromptWatch(Gateway &G, const PromptWatch &Watch);
void sendPromptReportWhenDue(Gateway &G);

// gateway_room.cpp
ServiceRoom &roomOf(Gateway &G, const PoolId &Service);
/// Adds a request, which is refused when it may not wait, and refuses the ones
/// that make way for it.
RoomVerdict enterRoom(Gateway &G, const PoolId &Service, RoomEntry Entry,
                      const std::shared_ptr<Exchange> &Request);
/// Room may have appeared at the service's targets.
void wakeRoom(Gateway &G, const PoolId &Service);
void wakeAllRooms(Gateway &G);

// gateway_streams.cpp
/// After this time no stream of the route is left.
Millis longestStream(const ManifestRoute &Route);
/// Keeps records for as long as the streams of the present manifest may last.
void applyStreamTimes(Gateway &G);
/// Records where a stream begins; the keepers learn of it while nothing else
/// tells at which software version it did.
void recordStream(Gateway &G, const StreamOrigin &Origin, Millis LongestStream);
/// Records the versions of a new target list.
void recordListedVersions(Gateway &G);
/// A link to a keeper is up, or ended.
void recordKeeperRun(Gateway &G, const PeerEvent &Event);
/// Asks a keeper where the stream began.
void askForOrigin(Gateway &G, const StreamQuery &Query);
void handleStreamAnswer(Gateway &G, const StreamAnswer &Answer);
void sendStreamReports(Gateway &G);

// gateway_rollouts.cpp
/// Applies the rollouts that a grant or an update states.
void applyRollouts(Gateway &G, DocumentVersion Version,
                   const std::vector<RolloutOrder> &Orders);
/// The leader has granted a renewal that was sent at this time; ends local
/// stops that it knew of when it kept the stage.
void confirmRollouts(Gateway &G, Millis RenewalSentAt);
/// Null when the service has no rollout in force.
GatewayRollout *findRollout(Gateway &G, const PoolId &Service);
/// True when a target of the new version may get requests.
bool listsNewVersion(Gateway &G, const PoolId &Service);
/// Adds an answer to the evidence, and to the local stop for one of the new
/// version's.
void recordRolloutAnswer(Gateway &G, const PoolId &Service,
                         const SeenAnswer &Seen);
void sendRolloutReports(Gateway &G);

// target_list.cpp
void pollTargetList(Gateway &G);
/// Applies the keepers' target list; false when it does not apply to the one
/// held here.
bool applyKeepersTargets(Gateway &G, const TargetListUpdate &Update);
/// Rebuilds the pools from the current target list, after a change of the
/// manifest, the list or the routers.
void rebuildPools(Gateway &G);
/// Records what a target's answer says of the requests that it takes and of the
/// refusals that it bears.
void noteTargetLimits(Gateway &G, const PoolId &Service, DispatchTarget &Target,
                      const TargetAnswer &Answer);
GatewayPool *findPool(Gateway &G, const PoolId &Service);
DispatchTarget *findTarget(Gateway &G, const PoolId &Service,
                           const TargetId &Target);

} // namespace vanillaferry
