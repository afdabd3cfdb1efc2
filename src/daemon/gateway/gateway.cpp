#include "gateway/gateway.hpp"

#include "connection/target_client.hpp"
#include "connection/target_connections.hpp"
#include "gateway/exchange.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

namespace vanillaferry {

namespace {

constexpr std::int64_t TickMs = 50;
/// The platform takes a node out of rotation after two missed questions, a
/// second apart; connections keep coming until then.
constexpr Millis RotationTime{3000};
/// Left of the grace period for the process to end.
constexpr Millis ExitReserve{600};
constexpr Bytes MaxReadyBody{1024};

void answerReady(Gateway &G, const ExchangePtr &Question) {
  if (Question->path() == "/metrics")
    return Question->answerText(200, renderMetrics(G.m_Metrics));
  if (Question->path() != "/readyz")
    return Question->answerText(404, "not found\n");
  bool Ready = isReady(G);
  Question->answerText(Ready ? 200 : 503, Ready ? "ready\n" : "not ready\n");
}

void noteReadiness(Gateway &G) {
  bool Ready = isReady(G);
  if (Ready == G.m_SaidReady)
    return;
  G.m_SaidReady = Ready;
  const char *Why = "all dependencies are there";
  if (G.m_DrainingSince)
    Why = "shutting down";
  else if (!leaseHolds(G.m_Lease, monotonicNow()))
    Why = "no lease";
  else if (!G.m_TargetList.m_Known)
    Why = "the list of targets was not read yet";
  else if (!Ready)
    Why = "no manifest";
  logEvent(Event::ReadinessChanged,
           {{"ready", Ready ? "yes" : "no"}, {"why", Why}});
}

void finishDrain(Gateway &G) {
  if (!G.m_DrainingSince || !G.m_OnDrained)
    return;
  Millis Since = monotonicNow() - *G.m_DrainingSince;
  bool Idle = G.m_Exchanges.empty() && Since >= RotationTime;
  if (!Idle && Since + ExitReserve < G.m_Settings.m_Bounds.m_Grace)
    return;
  std::function<void()> OnDrained = std::move(G.m_OnDrained);
  G.m_OnDrained = nullptr;
  OnDrained();
}

void tickGateway(Gateway &G) {
  renewWhenDue(G);
  pollTargetList(G);
  G.m_Connections->closeExpired(monotonicNow());
  noteReadiness(G);
  finishDrain(G);
}

Status startPeers(Gateway &G) {
  Gateway *Raw = &G;
  G.m_Mailbox = std::make_unique<Mailbox<PeerEvent>>(
      g_main_context_get_thread_default(), [Raw](PeerEvent Event) {
        if (Event.m_Kind == PeerEvent::Kind::Message)
          takeControlMessage(*Raw, std::move(Event.m_Message));
      });
  PeerOptions Options;
  Options.m_Self = G.m_Settings.m_Node;
  Options.m_Incarnation = G.m_Incarnation;
  Options.m_Role = NodeRole::Router;
  Options.m_ListenAddress = G.m_Settings.m_Peer.m_Address;
  Options.m_ListenPort = G.m_Settings.m_Peer.m_Port;
  Mailbox<PeerEvent> *Box = G.m_Mailbox.get();
  Result<std::unique_ptr<PeerTask>> Peers = PeerTask::start(
      Options, [Box](PeerEvent Event) { Box->post(std::move(Event)); });
  if (!Peers)
    return Peers.error();
  G.m_Peers = std::move(Peers.value());
  learnKeepers(G, G.m_Settings.m_Keepers);
  G.m_Keeper.m_Url = G.m_Keeper.m_Known.front();
  G.m_Keeper.m_LastAnswer = monotonicNow();
  return boost::outcome_v2::success();
}

} // namespace

bool isReady(const Gateway &G) {
  return !G.m_DrainingSince && G.m_TargetList.m_Known &&
         G.m_Control.m_Routes.m_Manifest.m_Version > 0 &&
         leaseHolds(G.m_Lease, monotonicNow());
}

Status startGateway(Gateway &G, GatewaySettings Settings,
                    const PlatformProtocol *Protocol) {
  G.m_Settings = std::move(Settings);
  G.m_Protocol = Protocol;
  G.m_Incarnation = Incarnation(randomSeed());
  G.m_Metrics = makeMetrics();
  G.m_Lease.m_Node = G.m_Settings.m_Node;
  G.m_Lease.m_Incarnation = G.m_Incarnation;
  G.m_StartedAt = monotonicNow();
  G.m_Connections = std::make_shared<TargetConnections>(*G.m_Watcher);
  Gateway *Raw = &G;
  Result<std::unique_ptr<HttpFront>> Front = HttpFront::start(
      G.m_Settings.m_Front, *G.m_Watcher,
      [Raw](std::shared_ptr<Caller> Sender, CallerRequest Request) {
        Exchange::start(*Raw, std::move(Sender), std::move(Request));
      },
      [Raw](RefusalReason Reason) { countRefusal(Raw->m_Metrics, Reason); });
  if (!Front)
    return Front.error();
  G.m_Front = std::move(Front.value());
  Result<std::unique_ptr<OperatorHttp>> Ready = OperatorHttp::listen(
      G.m_Settings.m_Ready, MaxReadyBody,
      [Raw](ExchangePtr Question) { answerReady(*Raw, Question); });
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
  noteReadiness(G);
}

} // namespace vanillaferry
