#include "connection/target_list_reader.hpp"
#include "process/clock.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"
#include "vanillaferry/process/node_lease.hpp"
#include "vanillaferry/version/target_listing.hpp"

namespace vanillaferry::internal {

namespace {

constexpr Millis ReadInterval{700};
/// Routers that renew at least this often learn of leaving targets in time by
/// themselves; asking all of them at once costs the leader as much as all their
/// ordinary renewals.
constexpr Millis FrequentRenewal{1000};

/// Routers learn of leaving targets before their next ordinary renewal.
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

/// The update from the list with this digest, made once for all routers that
/// hold it.
const TextUpdate &targetUpdate(TargetShare &Share, std::uint64_t Held) {
  std::uint64_t Base = hasTextVersion(Share.m_History, Held) ? Held : 0;
  std::map<std::uint64_t, TextUpdate>::iterator Known =
      Share.m_Updates.find(Base);
  if (Known == Share.m_Updates.end())
    Known =
        Share.m_Updates
            .emplace(Base, makeTextUpdate(Share.m_History, Base, Share.m_Text))
            .first;
  return Known->second;
}

void takeReading(Keeper &Self, Result<std::vector<ListedTarget>> Read) {
  TargetShare &Share = Self.m_TargetShare;
  if (!Read) {
    logEvent(Event::TargetListFailed,
             {{"why", Read.error().m_Text},
              {"age_ms", (monotonicNow() - Share.m_LastRead).m_Value}});
    addCounter(Self.m_Metrics, "vanillaferry_target_list_failures_total");
    return;
  }
  retainColdTimes(Read.value(), Share.m_Last);
  Share.m_Last = std::move(Read.value());
  Share.m_LastRead = monotonicNow();
  std::string Text = encodeTargets(Share.m_Last);
  std::uint64_t Digest = textDigest(Text);
  if (Digest == Share.m_Digest)
    return;
  Share.m_Digest = Digest;
  Share.m_Text = std::move(Text);
  addTextVersion(Share.m_History, Digest, Share.m_Text);
  logEvent(Event::TargetListRead,
           {{"targets", static_cast<std::uint64_t>(Share.m_Last.size())},
            {"digest", Digest}});
  Share.m_Updates.clear();
  announceTargets(Self);
}

} // namespace

void readTargetsWhenDue(Keeper &Self, Millis Now) {
  TargetShare &Share = Self.m_TargetShare;
  if (Self.m_Settings.m_TargetList.empty() || !Self.m_Protocol ||
      Now < Share.m_NextRead)
    return;
  Share.m_NextRead = Now + ReadInterval;
  if (!Share.m_Reader) {
    Keeper *Raw = &Self;
    Share.m_Reader = std::make_shared<TargetListReader>(
        *Self.m_Protocol, Self.m_Settings.m_TargetList,
        [Raw](Result<std::vector<ListedTarget>> Read) {
          takeReading(*Raw, std::move(Read));
        });
  }
  Share.m_Reader->read();
}

void attachTargets(Keeper &Self, const Renew &Request, Grant &Granted) {
  TargetShare &Share = Self.m_TargetShare;
  if (Share.m_Digest == 0)
    return;
  Granted.m_TargetsDigest = Share.m_Digest;
  Granted.m_TargetsAge = monotonicNow() - Share.m_LastRead;
  if (Request.m_TargetsHeld == Share.m_Digest)
    return;
  const TextUpdate &Update = targetUpdate(Share, Request.m_TargetsHeld);
  Granted.m_TargetsBase = Update.m_Base;
  Granted.m_TargetsDelta = Update.m_Delta;
}

} // namespace vanillaferry::internal
