#include "connection/target_list_reader.hpp"
#include "process/clock.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"
#include "vanillaferry/process/node_lease.hpp"
#include "vanillaferry/version/target_listing.hpp"

namespace vanillaferry::internal {

namespace {

constexpr Millis ReadInterval{700};
/// Routers that renew at least this often learn of leaving targets in time
/// without being asked to renew; asking all of them at once costs the leader as
/// much as all their ordinary renewals.
constexpr Millis FrequentRenewal{1000};

/// Asks routers to renew at once, so that they learn of leaving targets before
/// their next ordinary renewal.
void announceTargets(Keeper &Self) {
  if (!leads(Self) || !Self.m_Leases)
    return;
  const std::map<NodeId, NodeLease> &Leases = Self.m_Leases->m_Leases;
  if (gatewayRenewInterval(Leases.size()) <= FrequentRenewal)
    return;
  for (const std::pair<const NodeId, NodeLease> &Row : Leases)
    Self.m_Peers->send(
        Row.first,
        RenewRequest{Self.m_State.m_Epoch, Self.m_State.m_Document.m_Version});
}

/// The update from the list with this digest, computed once for all routers
/// that hold it.
const TextUpdate &targetUpdate(SharedTargetList &Shared, std::uint64_t Held) {
  std::uint64_t Base = hasTextVersion(Shared.m_History, Held) ? Held : 0;
  std::map<std::uint64_t, TextUpdate>::iterator Known =
      Shared.m_Updates.find(Base);
  if (Known == Shared.m_Updates.end())
    Known = Shared.m_Updates
                .emplace(Base,
                         makeTextUpdate(Shared.m_History, Base, Shared.m_Text))
                .first;
  return Known->second;
}

void onTargetListRead(Keeper &Self, Result<std::vector<ListedTarget>> Read) {
  SharedTargetList &Shared = Self.m_SharedTargets;
  if (!Read) {
    logEvent(Event::TargetListFailed,
             {{"why", Read.error().m_Text},
              {"age_ms", (monotonicNow() - Shared.m_LastRead).m_Value}});
    addCounter(Self.m_Metrics, "vanillaferry_target_list_failures_total");
    return;
  }
  retainColdTimes(Read.value(), Shared.m_Last);
  Shared.m_Last = std::move(Read.value());
  Shared.m_LastRead = monotonicNow();
  std::string Text = encodeTargets(Shared.m_Last);
  std::uint64_t Digest = textDigest(Text);
  if (Digest == Shared.m_Digest)
    return;
  Shared.m_Digest = Digest;
  Shared.m_Text = std::move(Text);
  addTextVersion(Shared.m_History, Digest, Shared.m_Text);
  logEvent(Event::TargetListRead,
           {{"targets", static_cast<std::uint64_t>(Shared.m_Last.size())},
            {"digest", Digest}});
  Shared.m_Updates.clear();
  announceTargets(Self);
}

} // namespace

void readTargetsWhenDue(Keeper &Self, Millis Now) {
  SharedTargetList &Shared = Self.m_SharedTargets;
  if (Self.m_Settings.m_TargetList.empty() || !Self.m_Protocol ||
      Now < Shared.m_NextRead)
    return;
  Shared.m_NextRead = Now + ReadInterval;
  if (!Shared.m_Reader) {
    Keeper *Raw = &Self;
    Shared.m_Reader = std::make_shared<TargetListReader>(
        *Self.m_Protocol, Self.m_Settings.m_TargetList,
        [Raw](Result<std::vector<ListedTarget>> Read) {
          onTargetListRead(*Raw, std::move(Read));
        });
  }
  Shared.m_Reader->read();
}

void attachTargets(Keeper &Self, const Renew &Request, Grant &Granted) {
  SharedTargetList &Shared = Self.m_SharedTargets;
  if (Shared.m_Digest == 0)
    return;
  Granted.m_TargetsDigest = Shared.m_Digest;
  Granted.m_TargetsAge = monotonicNow() - Shared.m_LastRead;
  if (Request.m_TargetsHeld == Shared.m_Digest)
    return;
  const TextUpdate &Update = targetUpdate(Shared, Request.m_TargetsHeld);
  Granted.m_TargetsBase = Update.m_Base;
  Granted.m_TargetsDelta = Update.m_Delta;
}

} // namespace vanillaferry::internal
