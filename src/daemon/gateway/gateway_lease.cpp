#include "gateway/gateway.hpp"

#include "process/clock.hpp"
#include "process/log.hpp"
#include "vanillaferry/version/text_compression.hpp"
#include "vanillaferry/version/text_delta.hpp"
#include "vanillaferry/version/text_history.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// When the leader leaves a renewal unanswered for this long, the gateway
/// switches to the next keeper; a keeper with a twentieth of a core may need
/// half of this time.
constexpr Millis KeeperAnswerTimeout{600};
/// Delay before the next keeper is asked when the last one knew no leader.
constexpr Millis UnknownLeaderDelay{150};
/// Delay before a manifest that did not come with the grant is requested again.
constexpr Millis ManifestRetryDelay{150};

void switchToKeeper(Gateway &G, const std::string &Url, Millis When) {
  G.m_Keeper.m_Url = Url;
  G.m_Keeper.m_LastAnswer = monotonicNow();
  G.m_Lease.m_NextRenewal = When;
}

void switchToNextKeeper(Gateway &G, Millis When) {
  const std::vector<std::string> &Known = G.m_Keeper.m_Urls;
  G.m_Keeper.m_Next = (G.m_Keeper.m_Next + 1) % Known.size();
  switchToKeeper(G, Known[G.m_Keeper.m_Next], When);
  logEvent(Event::KeeperChanged, {{"url", G.m_Keeper.m_Url}});
}

void sendRenewal(Gateway &G, Millis Now) {
  Renew Renewal;
  Renewal.m_Node = G.m_Settings.m_Node;
  Renewal.m_Incarnation = G.m_Incarnation;
  Renewal.m_AckedGrant = G.m_Lease.m_AcceptedSequence;
  Renewal.m_Sequence = beginRenewal(G.m_Lease, Now);
  Renewal.m_PeerUrl = peerUrlOf(G.m_Settings.m_Peer);
  Renewal.m_Zone = G.m_Settings.m_Zone;
  Renewal.m_AckedEpoch = G.m_Control.m_Epoch;
  Renewal.m_AckedVersion = G.m_Control.m_Version;
  Renewal.m_Leaving = G.m_DrainingSince.has_value();
  Renewal.m_ManifestHeld = G.m_Control.m_Routes.m_Manifest.m_Version;
  Renewal.m_TargetsHeld = G.m_TargetList.m_Digest;
  Renewal.m_IdsOnly = true;
  std::vector<KeyedLoad> Running;
  for (const std::pair<const PoolId, GatewayPool> &Row : G.m_Pools)
    addRunning(Row.second.m_Dispatch, Running);
  Renewal.m_Loads = encodeLoads(Running);
  G.m_Keeper.m_LastRenewal = Now;
  G.m_Peers->sendToUrl(G.m_Keeper.m_Url, std::move(Renewal));
}

/// Result of applying a grant's manifest.
enum class ManifestOutcome {
  /// This gateway uses the newest manifest.
  UpToDate,
  /// The leader sends the newest manifest with a later grant.
  Pending,
  /// The manifest cannot be read; its full text has to be requested.
  Failed,
};

/// Applies the manifest of a grant.
ManifestOutcome applyManifest(Gateway &G, const Grant &Granted) {
  ControlState &Control = G.m_Control;
  std::uint64_t HeldVersion = Control.m_Routes.m_Manifest.m_Version;
  if (Granted.m_ManifestVersion <= HeldVersion)
    return ManifestOutcome::UpToDate;
  if (Granted.m_ManifestDelta.empty())
    return ManifestOutcome::Pending;
  if (Granted.m_ManifestBase != 0 && Granted.m_ManifestBase != HeldVersion)
    return ManifestOutcome::Failed;
  Result<std::string> Delta = decompressText(Granted.m_ManifestDelta);
  Result<std::string> Text =
      Delta
          ? applyTextDelta(Granted.m_ManifestBase == 0 ? std::string()
                                                       : Control.m_ManifestText,
                           Delta.value())
          : Delta;
  Result<Manifest> Content = Text ? G.m_Protocol->m_ReadManifest(Text.value())
                                  : Result<Manifest>(Text.error());
  if (!Content) {
    logEvent(Event::SectionRefused, {{"section", "manifest"},
                                     {"version", Granted.m_ManifestVersion},
                                     {"fault", Content.error().m_Text}});
    return ManifestOutcome::Failed;
  }
  Control.m_ManifestText = std::move(Text.value());
  Control.m_Routes = makeRouteTable(std::move(Content.value()));
  const CallerLimits &Limits = Control.m_Routes.m_Manifest.m_Limits;
  HttpLimits FrontLimits;
  FrontLimits.m_MaxHeader = Limits.m_MaxHeader;
  FrontLimits.m_MaxBody = Limits.m_MaxBody;
  FrontLimits.m_SlowSender = Limits.m_HeaderTimeout;
  G.m_Front->setLimits(FrontLimits);
  rebuildPools(G);
  logEvent(Event::ManifestApplied,
           {{"version", Granted.m_ManifestVersion},
            {"routes", static_cast<std::uint64_t>(
                           Control.m_Routes.m_Manifest.m_Routes.size())}});
  return ManifestOutcome::UpToDate;
}

void applyZones(Gateway &G, const Grant &Granted) {
  std::set<ZoneId> Out;
  std::string Names;
  for (const ZoneOut &Each : Granted.m_ZonesOut) {
    Out.insert(Each.m_Zone);
    Names += (Names.empty() ? "" : ",") + Each.m_Zone.m_Value;
  }
  if (Out == G.m_Control.m_ZonesOut)
    return;
  // Targets of a zone that is back in service may be cold although the list
  // does not say so.
  for (std::pair<const PoolId, GatewayPool> &Row : G.m_Pools)
    for (std::pair<const TargetId, DispatchTarget> &Each :
         Row.second.m_Dispatch.m_Targets) {
      const ZoneId &Zone = Each.second.m_Listed.m_Zone;
      if (G.m_Control.m_ZonesOut.count(Zone) != 0 && Out.count(Zone) == 0)
        suspectCold(Each.second, Row.second.m_Dispatch.m_ColdTime,
                    monotonicNow());
    }
  G.m_Control.m_ZonesOut = std::move(Out);
  logEvent(Event::ZonesOutApplied, {{"zones", Names}});
}

void applyMembers(Gateway &G, const Grant &Granted) {
  ControlState &Control = G.m_Control;
  if (Granted.m_IdsDelta.empty() ||
      (Granted.m_IdsBase != Epoch(0) && Granted.m_IdsBase != Control.m_Epoch))
    return;
  Result<std::string> Text = applyTextDelta(
      Granted.m_IdsBase == Epoch(0) ? std::string() : Control.m_RouterIds,
      Granted.m_IdsDelta);
  if (!Text) {
    logEvent(Event::SectionRefused,
             {{"section", "members"}, {"fault", Text.error().m_Text}});
    Control.m_Epoch = Epoch(0);
    return;
  }
  Control.m_Epoch = Granted.m_Epoch;
  Control.m_RouterIds = std::move(Text.value());
  Control.m_Routers = decodeMemberIds(Control.m_RouterIds);
  std::uint64_t Count = Control.m_Routers.size();
  G.m_Lease.m_RenewInterval = gatewayRenewInterval(Count);
  logEvent(Event::MembersChanged,
           {{"epoch", Granted.m_Epoch.m_Value}, {"members", Count}});
  rebuildPools(G);
}

void applyLoads(Gateway &G, const Grant &Granted, Millis Now) {
  if (!Granted.m_LoadsSummed)
    return;
  Result<std::vector<KeyedLoad>> Others = decodeLoads(Granted.m_OthersLoads);
  if (!Others) {
    logEvent(Event::SectionRefused,
             {{"section", "loads"}, {"fault", Others.error().m_Text}});
    return;
  }
  // The reports in the sum are half a renewal interval old on average.
  Millis At = Now - Millis(G.m_Lease.m_RenewInterval.m_Value / 2);
  for (std::pair<const PoolId, GatewayPool> &Row : G.m_Pools)
    noteOtherLoads(Row.second.m_Dispatch, Others.value(), At);
}

void handleGrant(Gateway &G, const Grant &Granted) {
  Millis Now = monotonicNow();
  bool HeldLease = leaseHolds(G.m_Lease, Now);
  std::map<std::uint64_t, Millis>::const_iterator Sent =
      G.m_Lease.m_Sent.find(Granted.m_Sequence);
  Millis SentAt = Sent == G.m_Lease.m_Sent.end() ? Millis() : Sent->second;
  if (!acceptGrant(G.m_Lease, Granted, Now))
    return;
  G.m_Keeper.m_LastAnswer = Now;
  std::uint64_t Before = G.m_Control.m_Version.m_Value;
  ManifestOutcome Outcome = applyManifest(G, Granted);
  if (Outcome == ManifestOutcome::UpToDate)
    noteManifestCurrent(G.m_Control.m_ManifestKnowledge, SentAt);
  else
    noteManifestOutdated(G.m_Control.m_ManifestKnowledge,
                         Now + Granted.m_ManifestAckedIn);
  applyZones(G, Granted);
  applyMembers(G, Granted);
  applyGrantedTargets(G, Granted);
  applyLoads(G, Granted, Now);
  if (Outcome == ManifestOutcome::UpToDate)
    G.m_Control.m_Version = Granted.m_Version;
  else if (Outcome == ManifestOutcome::Failed)
    G.m_Control.m_Routes.m_Manifest.m_Version = 0;
  // Renews at once, so that the leader learns of the applied change.
  if (Before != G.m_Control.m_Version.m_Value)
    G.m_Lease.m_NextRenewal = Now;
  else if (Outcome != ManifestOutcome::UpToDate)
    G.m_Lease.m_NextRenewal = Now + ManifestRetryDelay;
  if (!HeldLease && leaseHolds(G.m_Lease, Now))
    logEvent(Event::LeaseHeld, {{"epoch", Granted.m_Epoch.m_Value}});
}

void handleRedirect(Gateway &G, const RedirectLeader &Redirect) {
  Millis Now = monotonicNow();
  if (Redirect.m_PeerUrl.empty())
    return switchToNextKeeper(G, Now + UnknownLeaderDelay);
  if (Redirect.m_PeerUrl == G.m_Keeper.m_Url)
    return;
  addKeepers(G, {Redirect.m_PeerUrl});
  switchToKeeper(G, Redirect.m_PeerUrl, Now);
}

} // namespace

void addKeepers(Gateway &G, const std::vector<std::string> &Urls) {
  std::vector<std::string> &Known = G.m_Keeper.m_Urls;
  for (const std::string &Url : Urls) {
    if (std::find(Known.begin(), Known.end(), Url) != Known.end())
      continue;
    Known.push_back(Url);
    G.m_Peers->connect(Url);
  }
}

void renewWhenDue(Gateway &G) {
  Millis Now = monotonicNow();
  bool Unanswered = G.m_Keeper.m_LastAnswer < G.m_Keeper.m_LastRenewal;
  if (Unanswered && Now - G.m_Keeper.m_LastAnswer >
                        G.m_Lease.m_RenewInterval + KeeperAnswerTimeout)
    switchToNextKeeper(G, Now);
  if (renewalDue(G.m_Lease, Now))
    sendRenewal(G, Now);
}

void handleControlMessage(Gateway &G, PeerMessage Message) {
  if (const Grant *Granted = std::get_if<Grant>(&Message))
    handleGrant(G, *Granted);
  else if (const RedirectLeader *Leader = std::get_if<RedirectLeader>(&Message))
    handleRedirect(G, *Leader);
  else if (std::get_if<RenewRequest>(&Message))
    sendRenewal(G, monotonicNow());
  else
    addCounter(G.m_Metrics, "vanillaferry_unexpected_messages_total");
}

} // namespace vanillaferry
