#include "connection/connect_probe.hpp"
#include "connection/target_connections.hpp"
#include "gateway/gateway.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

#include <unistd.h>

namespace vanillaferry {

namespace {

/// A connection of a probe is kept for this long for a request.
constexpr Millis ProbeIdle{2000};

/// Targets that may get requests now or once a pause is over.
std::vector<TargetId> servingTargets(const Gateway &G,
                                     const GatewayPool &Pool) {
  DispatchCriteria Need;
  Need.m_ZonesOut = G.m_Control.m_ZonesOut;
  std::vector<TargetId> Serving;
  for (const std::pair<const TargetId, DispatchTarget> &Row :
       Pool.m_Dispatch.m_Targets)
    if (isServing(Row.second, Need))
      Serving.push_back(Row.first);
  return Serving;
}

void onOutOfReach(Gateway &G, const PoolId &Service, GatewayPool &Pool) {
  addCounter(G.m_Metrics, "vanillaferry_services_out_of_reach_total");
  logEvent(
      Event::TargetsOutOfReach,
      {{"service", Service.m_Value},
       {"failed", static_cast<std::uint64_t>(Pool.m_Reach.m_Failed.size())}});
  forgiveUnreachable(Pool.m_Dispatch);
  for (const std::pair<const TargetId, DispatchTarget> &Row :
       Pool.m_Dispatch.m_Targets)
    G.m_Connections->closeIdle(Row.second.m_Listed.m_Address);
  // The links of this router may be cut as a whole.
  for (std::pair<const PoolId, GatewayPool> &Row : G.m_Pools)
    suspectReach(Row.second.m_Reach);
  // The keepers answer with gateways that reach the service.
  if (!G.m_Keeper.m_WaitingSince)
    G.m_Lease.m_NextRenewal = monotonicNow();
}

void onInReach(const PoolId &Service, const GatewayPool &Pool) {
  logEvent(Event::TargetsInReach,
           {{"service", Service.m_Value},
            {"after_ms",
             (monotonicNow() - Pool.m_Reach.m_OutOfReachSince).m_Value}});
}

/// Keeps the probe's connection for a request.
void onProbed(Gateway &G, const PoolId &Service, const FailedConnect &Probed,
              int Fd) {
  if (Fd < 0)
    return recordNotConnected(G, Service, Probed);
  if (const DispatchTarget *Target = findTarget(G, Service, Probed.m_Target))
    G.m_Connections->keep(Target->m_Listed.m_Address, Fd, ProbeIdle,
                          monotonicNow());
  else
    ::close(Fd);
  recordConnected(G, Service);
}

void probe(Gateway &G, const PoolId &Service, const DispatchTarget &Target) {
  addCounter(G.m_Metrics, "vanillaferry_connect_probes_total");
  Gateway *Raw = &G;
  FailedConnect Probed{Target.m_Listed.m_Id, monotonicNow()};
  ConnectProbe::start(
      *G.m_Watcher, Target.m_Listed.m_Address, ConnectTimeout,
      [Raw, Service, Probed](int Fd) { onProbed(*Raw, Service, Probed, Fd); });
}

} // namespace

void recordConnected(Gateway &G, const PoolId &Service) {
  GatewayPool *Pool = findPool(G, Service);
  if (Pool &&
      noteConnected(Pool->m_Reach, monotonicNow()) == ReachChange::Regained)
    onInReach(Service, *Pool);
}

void recordNotConnected(Gateway &G, const PoolId &Service,
                        const FailedConnect &Failed) {
  GatewayPool *Pool = findPool(G, Service);
  if (Pool &&
      noteNotConnected(Pool->m_Reach, Failed, servingTargets(G, *Pool).size(),
                       monotonicNow()) == ReachChange::Lost)
    onOutOfReach(G, Service, *Pool);
}

void probeTargets(Gateway &G) {
  Millis Now = monotonicNow();
  for (std::pair<const PoolId, GatewayPool> &Row : G.m_Pools) {
    const TargetReach &Reach = Row.second.m_Reach;
    if (!Reach.m_Suspected && Reach.m_Failed.empty())
      continue;
    for (const TargetId &Id :
         targetsToProbe(Row.second.m_Reach, servingTargets(G, Row.second), Now))
      probe(G, Row.first, Row.second.m_Dispatch.m_Targets.at(Id));
  }
}

} // namespace vanillaferry
