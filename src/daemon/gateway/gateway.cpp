#include "gateway/gateway.hpp"

#include "connection/target_client.hpp"
#include "connection/target_connections.hpp"
#include "gateway/exchange.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

namespace vanillaferry {

namespace {

constexpr std::int64_t TickMs = 50;
/// The platform takes a node out of rotation after two failed readiness probes,
/// a second apart; new connections arrive until then.
constexpr Millis RemovalFromRotation{3000};
/// Part of the grace period that is left for the process to exit.
constexpr Millis ExitReserve{600};
constexpr Bytes MaxReadyBody{1024};

void answerOperator(Gateway &G, const ExchangePtr &Request) {
  if (Request->path() == "/metrics") {
    setCallerMetrics(G.m_Metrics);
    return Request->answerText(200, renderMetrics(G.m_Metrics));
  }
  if (Request->path() != "/readyz")
    return Request->answerText(404, "not found\n");
  bool Ready = isReady(G);
  Request->answerText(Ready ? 200 : 503, Ready ? "ready\n" : "not ready\n");
}

void logReadinessChange(Gateway &G) {
  bool Ready = isReady(G);
  if (Ready == G.m_LoggedReady)
    return;
  G.m_LoggedReady = Ready;
  const char *Why = "all dependencies are available";
  if (G.m_DrainingSince)
    Why = "shutting down";
  else if (!leaseHolds(G.m_Lease, monotonicNow()))
    Why = "no lease";
  else if (!G.m_TargetList.m_Received)
    Why = "the list of targets has not been received yet";
  else if (G.m_Control.m_Routers.empty())
    Why = "the members' ids have not been received yet";
  else if (!Ready)
    Why = "no manifest";
  logEvent(Event::ReadinessChanged,
           {{"ready", Ready ? "yes" : "no"}, {"why", Why}});
}

void finishDrain(Gateway &G) {
  if (!G.m_DrainingSince || !G.m_OnDrained)
    return;
  Millis Since = monotonicNow() - *G.m_DrainingSince;
  // An exchange ends when its answer is written; its caller may still read.
  bool Read = !G.m_Front->hasUnread() &&
              (!G.m_RelayFront || !G.m_RelayFront->hasUnread());
  bool Idle = G.m_Exchanges.empty() && Read && Since >= RemovalFromRotation;
  if (!Idle && Since + ExitReserve < G.m_Settings.m_Bounds.m_Grace)
    return;
  std::function<void()> OnDrained = std::move(G.m_OnDrained);
  G.m_OnDrained = nullptr;
  OnDrained();
}

void tickGateway(Gateway &G) {
  Millis Now = monotonicNow();
  if (mayServe(G, Now))
    G.m_UsableAt = Now;
  renewWhenDue(G);
  pollTargetList(G);
  probeTargets(G);
  sendPromptReportWhenDue(G);
  sendStreamReports(G);
  sendRolloutReports(G);
  G.m_Connections->closeExpired(Now);
  logReadinessChange(G);
  finishDrain(G);
}

Status startRelayFront(Gateway &G) {
  if (!G.m_Settings.m_Relay)
    return boost::outcome_v2::success();
  Gateway *Raw = &G;
  Result<std::unique_ptr<HttpFront>> Front = HttpFront::start(
      *G.m_Settings.m_Relay, *G.m_Watcher,
      [Raw](std::shared_ptr<Caller> Sender, CallerRequest Request) {
        Exchange::start(*Raw, std::move(Sender), std::move(Request),
                        RequestOrigin::Gateway);
      },
      [Raw](RefusalReason Reason) { countRefusal(Raw->m_Metrics, Reason); });
  if (!Front)
    return Front.error();
  G.m_RelayFront = std::move(Front.value());
  return boost::outcome_v2::success();
}

Status startPeers(Gateway &G) {
  Gateway *Raw = &G;
  G.m_Mailbox = std::make_unique<Mailbox<PeerEvent>>(
      g_main_context_get_thread_default(),
      [Raw](PeerEvent Event) { handlePeerEvent(*Raw, std::move(Event)); });
  PeerOptions Options;
  Options.m_Self = G.m_Settings.m_Node;
  Options.m_Incarnation = G.m_Incarnation;
  Options.m_Role = NodeRole::Router;
  Options.m_ListenAddress = G.m_Settings.m_Peer.m_Address;
  Options.m_ListenPort = G.m_Settings.m_Peer.m_Port;
  Options.m_ReportsHeartbeats = true;
  Mailbox<PeerEvent> *Box = G.m_Mailbox.get();
  Result<std::unique_ptr<PeerTask>> Peers = PeerTask::start(
      Options, [Box](PeerEvent Event) { Box->post(std::move(Event)); });
  if (!Peers)
    return Peers.error();
  G.m_Peers = std::move(Peers.value());
  G.m_Keeper = makeKeeperChoice(G.m_Settings.m_Node, G.m_Settings.m_Keepers);
  return boost::outcome_v2::success();
}

} // namespace

bool isReady(const Gateway &G) {
  return !G.m_DrainingSince && G.m_TargetList.m_Received &&
         G.m_Control.m_Routes.m_Manifest.m_Version > 0 &&
         !G.m_Control.m_Routers.empty() &&
         leaseHolds(G.m_Lease, monotonicNow());
}

Status startGateway(Gateway &G, GatewaySettings Settings,
                    const PlatformProtocol *Protocol) {
  G.m_Settings = std::move(Settings);
  CallerPool::instance().configure(G.m_Settings.m_Memory);
  G.m_Protocol = Protocol;
  G.m_Incarnation = Incarnation(randomSeed());
  G.m_Metrics = makeMetrics();
  G.m_Lease.m_Node = G.m_Settings.m_Node;
  G.m_Lease.m_Incarnation = G.m_Incarnation;
  G.m_StartedAt = monotonicNow();
  G.m_UsableAt = G.m_StartedAt;
  G.m_Connections = std::make_shared<TargetConnections>(*G.m_Watcher);
  Gateway *Raw = &G;
  Result<std::unique_ptr<HttpFront>> Front = HttpFront::start(
      G.m_Settings.m_Front, *G.m_Watcher,
      [Raw](std::shared_ptr<Caller> Sender, CallerRequest Request) {
        Exchange::start(*Raw, std::move(Sender), std::move(Request),
                        RequestOrigin::Caller);
      },
      [Raw](RefusalReason Reason) { countRefusal(Raw->m_Metrics, Reason); });
  if (!Front)
    return Front.error();
  G.m_Front = std::move(Front.value());
  Status Relay = startRelayFront(G);
  if (!Relay)
    return Relay;
  Result<std::unique_ptr<OperatorHttp>> Ready = OperatorHttp::listen(
      G.m_Settings.m_Ready, MaxReadyBody,
      [Raw](ExchangePtr Request) { answerOperator(*Raw, Request); });
  if (!Ready)
    return Ready.error();
  G.m_Ready = std::move(Ready.value());
  Status Peers = startPeers(G);
  if (!Peers)
    return Peers;
  G.m_Tick.start(TickMs, [Raw] {
    tickGateway(*Raw);
    return true;
  });
  return boost::outcome_v2::success();
}

void drainGateway(Gateway &G) {
  if (G.m_DrainingSince)
    return;
  G.m_DrainingSince = monotonicNow();
  logEvent(Event::ShutdownRequested,
           {{"sessions", static_cast<std::uint64_t>(G.m_Exchanges.size())}});
  logReadinessChange(G);
}

} // namespace vanillaferry
