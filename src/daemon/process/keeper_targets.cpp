#include "connection/target_list_reader.hpp"
#include "process/clock.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"
#include "vanillaferry/version/target_listing.hpp"

namespace vanillaferry::internal {

namespace {

constexpr Millis ReadInterval{700};

void takeReading(Keeper &Self, Result<std::vector<ListedTarget>> Read) {
  TargetShare &Share = Self.m_TargetShare;
  if (!Read) {
    logEvent(Event::TargetListFailed,
             {{"why", Read.error().m_Text},
              {"age_ms", (monotonicNow() - Share.m_LastRead).m_Value}});
    addCounter(Self.m_Metrics, "vanillaferry_target_list_failures_total");
    return;
  }
  steadyColdTimes(Read.value(), Share.m_Last);
  Share.m_Last = std::move(Read.value());
  Share.m_LastRead = monotonicNow();
  std::string Text = encodeTargets(Share.m_Last);
  std::uint64_t Digest = digestOf(Text);
  if (Digest == Share.m_Digest)
    return;
  Share.m_Digest = Digest;
  Share.m_Text = std::move(Text);
  rememberText(Share.m_History, Digest, Share.m_Text);
  logEvent(Event::TargetListRead,
           {{"targets", static_cast<std::uint64_t>(Share.m_Last.size())},
            {"digest", Digest}});
  // Routers learn of leaving targets before their next ordinary renewal.
  if (leads(Self) && Self.m_Leases)
    for (const std::pair<const NodeId, NodeLease> &Row :
         Self.m_Leases->m_Leases)
      Self.m_Peers->send(Row.first,
                         RenewRequest{Self.m_State.m_Epoch,
                                      Self.m_State.m_Document.m_Version});
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
  const TargetShare &Share = Self.m_TargetShare;
  if (Share.m_Digest == 0)
    return;
  Granted.m_TargetsDigest = Share.m_Digest;
  Granted.m_TargetsAge = monotonicNow() - Share.m_LastRead;
  if (Request.m_TargetsHeld == Share.m_Digest)
    return;
  TextUpdate Update =
      makeUpdate(Share.m_History, Request.m_TargetsHeld, Share.m_Text);
  Granted.m_TargetsBase = Update.m_Base;
  Granted.m_TargetsDelta = std::move(Update.m_Delta);
}

} // namespace vanillaferry::internal
