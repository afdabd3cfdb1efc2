#include "gateway/gateway.hpp"

#include "process/clock.hpp"
#include "process/log.hpp"
#include "vanillaferry/version/text_compression.hpp"
#include "vanillaferry/version/text_delta.hpp"
#include "vanillaferry/version/text_history.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// A leader that leaves a renewal unanswered for this long is left for the
/// next keeper; a keeper with a twentieth of a core may need half of it.
constexpr Millis KeeperSilence{600};
/// Pause before another keeper is asked when the last one knew no leader.
constexpr Millis UnknownLeaderPause{150};
/// Pause before a manifest that the leader could not send is asked for again.
constexpr Millis ManifestRetry{150};

void askKeeper(Gateway &G, const std::string &Url, Millis When) {
  G.m_Keeper.m_Url = Url;
  G.m_Keeper.m_LastAnswer = monotonicNow();
  G.m_Lease.m_NextRenewal = When;
}

void askNextKeeper(Gateway &G, Millis When) {
  const std::vector<std::string> &Known = G.m_Keeper.m_Known;
  G.m_Keeper.m_Next = (G.m_Keeper.m_Next + 1) % Known.size();
  askKeeper(G, Known[G.m_Keeper.m_Next], When);
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

/// What became of the manifest in a grant.
enum class ManifestStep {
  /// The newest one is in force here.
  Held,
  /// The leader sends it with a later grant.
  Waits,
  /// It cannot be read; the whole text is to be asked for.
  Failed,
};

/// Takes the manifest of a grant.
ManifestStep takeManifest(Gateway &G, const Grant &Granted) {
  ControlState &Control = G.m_Control;
  std::uint64_t Held = Control.m_Routes.m_Manifest.m_Version;
  if (Granted.m_ManifestVersion <= Held)
    return ManifestStep::Held;
  if (Granted.m_ManifestDelta.empty())
    return ManifestStep::Waits;
  if (Granted.m_ManifestBase != 0 && Granted.m_ManifestBase != Held)
    return ManifestStep::Failed;
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
    return ManifestStep::Failed;
  }
  Control.m_ManifestText = std::move(Text.value());
  Control.m_Routes = makeRouteTable(std::move(Content.value()));
  const CallerLimits &Limits = Control.m_Routes.m_Manifest.m_Limits;
  HttpLimits Front;
  Front.m_MaxHeader = Limits.m_MaxHeader;
  Front.m_MaxBody = Limits.m_MaxBody;
  Front.m_SlowSender = Limits.m_HeaderTimeout;
  G.m_Front->setLimits(Front);
  rebuildPools(G);
  logEvent(Event::ManifestApplied,
           {{"version", Granted.m_ManifestVersion},
            {"routes", static_cast<std::uint64_t>(
                           Control.m_Routes.m_Manifest.m_Routes.size())}});
  return ManifestStep::Held;
}

void takeZones(Gateway &G, const Grant &Granted) {
  std::set<ZoneId> Out;
  std::string Names;
  for (const ZoneOut &Each : Granted.m_ZonesOut) {
    Out.insert(Each.m_Zone);
    Names += (Names.empty() ? "" : ",") + Each.m_Zone.m_Value;
  }
  if (Out == G.m_Control.m_ZonesOut)
    return;
  // The targets of a zone that returns may be cold without the list saying so.
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

void takeMembers(Gateway &G, const Grant &Granted) {
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
  Control.m_Routers = readMemberIds(Control.m_RouterIds);
  std::uint64_t Count = Control.m_Routers.size();
  G.m_Lease.m_RenewInterval = gatewayRenewInterval(Count);
  logEvent(Event::MembersChanged,
           {{"epoch", Granted.m_Epoch.m_Value}, {"members", Count}});
  rebuildPools(G);
}

void takeLoads(Gateway &G, const Grant &Granted, Millis Now) {
  if (!Granted.m_LoadsSummed)
    return;
  Result<std::vector<KeyedLoad>> Others = decodeLoads(Granted.m_OthersLoads);
  if (!Others) {
    logEvent(Event::SectionRefused,
             {{"section", "loads"}, {"fault", Others.error().m_Text}});
    return;
  }
  // The reports in the sum are half a renewal old on average.
  Millis At = Now - Millis(G.m_Lease.m_RenewInterval.m_Value / 2);
  for (std::pair<const PoolId, GatewayPool> &Row : G.m_Pools)
    noteOthers(Row.second.m_Dispatch, Others.value(), At);
}

void takeGrantMessage(Gateway &G, const Grant &Granted) {
  Millis Now = monotonicNow();
  bool Held = leaseHolds(G.m_Lease, Now);
  std::map<std::uint64_t, Millis>::const_iterator Sent =
      G.m_Lease.m_Sent.find(Granted.m_Sequence);
  Millis SentAt = Sent == G.m_Lease.m_Sent.end() ? Millis() : Sent->second;
  if (!acceptGrant(G.m_Lease, Granted, Now))
    return;
  G.m_Keeper.m_LastAnswer = Now;
  std::uint64_t Before = G.m_Control.m_Version.m_Value;
  ManifestStep Step = takeManifest(G, Granted);
  if (Step == ManifestStep::Held)
    noteNewestHeld(G.m_Control.m_Known, SentAt);
  else
    noteNewerManifest(G.m_Control.m_Known, Now + Granted.m_ManifestAckedIn);
  takeZones(G, Granted);
  takeMembers(G, Granted);
  takeGrantedTargets(G, Granted);
  takeLoads(G, Granted, Now);
  if (Step == ManifestStep::Held)
    G.m_Control.m_Version = Granted.m_Version;
  else if (Step == ManifestStep::Failed)
    G.m_Control.m_Routes.m_Manifest.m_Version = 0;
  // The leader learns at once that the change is in force here.
  if (Before != G.m_Control.m_Version.m_Value)
    G.m_Lease.m_NextRenewal = Now;
  else if (Step != ManifestStep::Held)
    G.m_Lease.m_NextRenewal = Now + ManifestRetry;
  if (!Held && leaseHolds(G.m_Lease, Now))
    logEvent(Event::LeaseHeld, {{"epoch", Granted.m_Epoch.m_Value}});
}

void takeRedirect(Gateway &G, const RedirectLeader &Redirect) {
  Millis Now = monotonicNow();
  if (Redirect.m_PeerUrl.empty())
    return askNextKeeper(G, Now + UnknownLeaderPause);
  if (Redirect.m_PeerUrl == G.m_Keeper.m_Url)
    return;
  learnKeepers(G, {Redirect.m_PeerUrl});
  askKeeper(G, Redirect.m_PeerUrl, Now);
}

} // namespace

void learnKeepers(Gateway &G, const std::vector<std::string> &Urls) {
  std::vector<std::string> &Known = G.m_Keeper.m_Known;
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
  if (Unanswered &&
      Now - G.m_Keeper.m_LastAnswer > G.m_Lease.m_RenewInterval + KeeperSilence)
    askNextKeeper(G, Now);
  if (renewalDue(G.m_Lease, Now))
    sendRenewal(G, Now);
}

void takeControlMessage(Gateway &G, PeerMessage Message) {
  if (const Grant *Granted = std::get_if<Grant>(&Message))
    takeGrantMessage(G, *Granted);
  else if (const RedirectLeader *Leader = std::get_if<RedirectLeader>(&Message))
    takeRedirect(G, *Leader);
  else if (std::get_if<RenewRequest>(&Message))
    sendRenewal(G, monotonicNow());
  else
    addCounter(G.m_Metrics, "vanillaferry_unexpected_messages_total");
}

} // namespace vanillaferry
