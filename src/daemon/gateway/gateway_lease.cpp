#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"

#include "process/clock.hpp"
#include "process/log.hpp"
#include "vanillaferry/version/text_compression.hpp"
#include "vanillaferry/version/text_delta.hpp"
#include "vanillaferry/version/text_history.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// Delay before the next keeper is asked when the last one knew no leader.
constexpr Millis UnknownLeaderDelay{150};
/// Delay before a manifest that did not come with the grant is requested again.
constexpr Millis ManifestRetryDelay{400};
/// Gateways that lack the same list ask for it within this time.
constexpr Millis ListRequestSpread{200};
/// What a gateway that passes a request on adds to its header.
constexpr Bytes RelayFieldBytes{1024};

/// Keeps links to the wanted keepers only.
void dialKeepers(Gateway &G) {
  std::vector<std::string> List = wantedKeepers(G.m_Keeper, monotonicNow());
  std::set<std::string> Wanted(List.begin(), List.end());
  if (Wanted == G.m_Dialled)
    return;
  for (const std::string &Url : Wanted)
    if (G.m_Dialled.count(Url) == 0)
      G.m_Peers->connect(Url);
  for (const std::string &Url : G.m_Dialled)
    if (Wanted.count(Url) == 0) {
      G.m_Peers->disconnect(Url);
      recordKeeperLink(G.m_Keeper, Url, false);
    }
  G.m_Dialled = std::move(Wanted);
}

void onKeeperChanged(Gateway &G, Millis NextRenewal) {
  G.m_Lease.m_NextRenewal = NextRenewal;
  dialKeepers(G);
  logEvent(Event::KeeperChanged, {{"url", G.m_Keeper.m_Current}});
}

void switchToNextKeeper(Gateway &G, Millis When) {
  selectNextKeeper(G.m_Keeper, monotonicNow(), randomSeed());
  onKeeperChanged(G, When);
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
  Renewal.m_TakesPacked = true;
  Renewal.m_Level = NewestFeatureLevel;
  std::vector<KeyedLoad> Running;
  for (const std::pair<const PoolId, GatewayPool> &Row : G.m_Pools)
    addRunning(Row.second.m_Dispatch, Running);
  Renewal.m_Loads = encodeLoads(Running);
  Renewal.m_KeeperSetHeld = G.m_Keeper.m_SetVersion;
  Renewal.m_QuarantineHeld = G.m_Prompts.m_Version;
  if (G.m_Settings.m_Relay)
    Renewal.m_RelayAddress = G.m_Settings.m_Relay->m_Address + ":" +
                             std::to_string(G.m_Settings.m_Relay->m_Port);
  for (const std::pair<const PoolId, GatewayPool> &Row : G.m_Pools)
    if (Row.second.m_Reach.m_OutOfReach)
      Renewal.m_OutOfReach.push_back({Row.first});
  recordRenewalSent(G.m_Keeper, Now);
  G.m_Peers->sendToUrl(G.m_Keeper.m_Current, std::move(Renewal));
  // Answered by the keeper's peer task at once, however busy the keeper is.
  G.m_Peers->sendToUrl(G.m_Keeper.m_Current, Heartbeat{Millis(), true});
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

/// Applies the manifest of a grant or of a keeper's update.
ManifestOutcome applyManifest(Gateway &G, const ControlUpdate &Update) {
  ControlState &Control = G.m_Control;
  std::uint64_t HeldVersion = Control.m_Routes.m_Manifest.m_Version;
  if (Update.m_ManifestVersion <= HeldVersion)
    return ManifestOutcome::UpToDate;
  if (Update.m_ManifestDelta.empty())
    return ManifestOutcome::Pending;
  if (Update.m_ManifestBase != 0 && Update.m_ManifestBase != HeldVersion)
    return ManifestOutcome::Failed;
  Result<std::string> Delta = decompressText(Update.m_ManifestDelta);
  Result<std::string> Text =
      Delta
          ? applyTextDelta(Update.m_ManifestBase == 0 ? std::string()
                                                      : Control.m_ManifestText,
                           Delta.value())
          : Delta;
  Result<Manifest> Content = Text ? G.m_Protocol->m_ReadManifest(Text.value())
                                  : Result<Manifest>(Text.error());
  if (!Content) {
    logEvent(Event::SectionRefused, {{"section", "manifest"},
                                     {"version", Update.m_ManifestVersion},
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
  FrontLimits.m_Idle = Limits.m_IdleTimeout;
  G.m_Front->setLimits(FrontLimits);
  if (G.m_RelayFront) {
    FrontLimits.m_MaxHeader =
        Bytes(FrontLimits.m_MaxHeader.m_Value + RelayFieldBytes.m_Value);
    G.m_RelayFront->setLimits(FrontLimits);
  }
  applyStreamTimes(G);
  rebuildPools(G);
  logEvent(Event::ManifestApplied,
           {{"version", Update.m_ManifestVersion},
            {"routes", static_cast<std::uint64_t>(
                           Control.m_Routes.m_Manifest.m_Routes.size())}});
  return ManifestOutcome::UpToDate;
}

void applyZones(Gateway &G, const ControlUpdate &Update) {
  // A grant that the leader sent before the change may arrive after it.
  if (Update.m_Version < G.m_Control.m_ZonesVersion)
    return;
  G.m_Control.m_ZonesVersion = Update.m_Version;
  std::set<ZoneId> Out;
  std::string Names;
  for (const ZoneOut &Each : Update.m_ZonesOut) {
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
  bool Changed = !Granted.m_IdsDelta.empty() || !Granted.m_IdsPacked.empty();
  if (!Changed ||
      (Granted.m_IdsBase != Epoch(0) && Granted.m_IdsBase != Control.m_Epoch))
    return;
  Result<std::string> Text = applyTextUpdate(
      Granted.m_IdsBase == Epoch(0) ? std::string() : Control.m_RouterIds,
      Granted.m_IdsDelta, Granted.m_IdsPacked);
  if (!Text) {
    logEvent(Event::SectionRefused,
             {{"section", "members"}, {"fault", Text.error().m_Text}});
    Control.m_Epoch = Epoch(0);
    return;
  }
  Control.m_Epoch = Granted.m_IdsEpoch;
  Control.m_RouterIds = std::move(Text.value());
  Control.m_Routers = decodeMemberIds(Control.m_RouterIds);
  std::uint64_t Count = Control.m_Routers.size();
  G.m_Lease.m_RenewInterval = gatewayRenewInterval(Count);
  logEvent(Event::MembersChanged,
           {{"epoch", Granted.m_IdsEpoch.m_Value}, {"members", Count}});
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

void applyKeeperSet(Gateway &G, const Grant &Granted, Millis Now) {
  if (Granted.m_Keepers.empty())
    return;
  std::vector<std::string> Urls;
  for (const KeeperUrl &Each : Granted.m_Keepers)
    Urls.push_back(Each.m_PeerUrl);
  replaceKeeperUrls(G.m_Keeper, Urls, Granted.m_KeeperSet, Now, randomSeed());
}

/// Lets the requests that wait for a grant begin anew.
void resumeWaiting(Gateway &G) {
  std::vector<std::weak_ptr<Exchange>> Waiting;
  Waiting.swap(G.m_AwaitingGrant);
  for (const std::weak_ptr<Exchange> &Each : Waiting)
    if (std::shared_ptr<Exchange> Request = Each.lock())
      Request->resume();
  // Zones, members and sums of loads may have changed.
  wakeAllRooms(G);
}

/// A manifest that could not be applied is requested as a whole.
void recordManifestOutcome(Gateway &G, ManifestOutcome Outcome,
                           DocumentVersion Version) {
  ControlState &Control = G.m_Control;
  if (Outcome == ManifestOutcome::UpToDate)
    Control.m_Version = std::max(Control.m_Version, Version);
  else if (Outcome == ManifestOutcome::Failed)
    Control.m_Routes.m_Manifest.m_Version = 0;
}

void handleControlUpdate(Gateway &G, const ControlUpdate &Update) {
  if (!acceptsUpdate(G.m_Control.m_ZonesVersion, Update.m_Version))
    return;
  applyZones(G, Update);
  applyRollouts(G, Update.m_Version, Update.m_Rollouts);
  applyRefusedParts(G, Update.m_QuarantineVersion, Update.m_Quarantine);
  ManifestOutcome Outcome = applyManifest(G, Update);
  if (Outcome == ManifestOutcome::UpToDate)
    noteManifestReceived(G.m_Control.m_ManifestKnowledge,
                         G.m_Control.m_Routes.m_Manifest.m_Version);
  recordManifestOutcome(G, Outcome, Update.m_Version);
  if (Outcome == ManifestOutcome::Failed ||
      renewsAfterChange(G.m_Control.m_Routers.size()))
    G.m_Lease.m_NextRenewal = monotonicNow();
  resumeWaiting(G);
}

/// The leader has stated a newer manifest than this router holds.
void recordOutdated(Gateway &G, const Grant &Granted, Millis Now) {
  ManifestKnowledge &Known = G.m_Control.m_ManifestKnowledge;
  if (Known.m_NewestSeen < Granted.m_ManifestVersion)
    logEvent(Event::ManifestOutdated,
             {{"held", G.m_Control.m_Routes.m_Manifest.m_Version},
              {"newest", Granted.m_ManifestVersion},
              {"acked_ms_ago", -Granted.m_ManifestAckedIn.m_Value}});
  noteManifestOutdated(Known, Granted.m_ManifestVersion,
                       Now + Granted.m_ManifestAckedIn);
}

void handleGrant(Gateway &G, const Grant &Granted) {
  Millis Now = monotonicNow();
  bool HeldLease = leaseHolds(G.m_Lease, Now);
  std::map<std::uint64_t, Millis>::const_iterator Sent =
      G.m_Lease.m_Sent.find(Granted.m_Sequence);
  Millis SentAt = Sent == G.m_Lease.m_Sent.end() ? Millis() : Sent->second;
  recordKeeperAnswer(G.m_Keeper, Now);
  if (!acceptGrant(G.m_Lease, Granted, Now))
    return;
  applyKeeperSet(G, Granted, Now);
  DocumentVersion Before = G.m_Control.m_Version;
  ControlUpdate Update;
  Update.m_Version = Granted.m_Version;
  Update.m_ZonesOut = Granted.m_ZonesOut;
  Update.m_ManifestVersion = Granted.m_ManifestVersion;
  Update.m_ManifestBase = Granted.m_ManifestBase;
  Update.m_ManifestDelta = Granted.m_ManifestDelta;
  ManifestOutcome Outcome = applyManifest(G, Update);
  if (Outcome == ManifestOutcome::UpToDate)
    noteManifestCurrent(G.m_Control.m_ManifestKnowledge, SentAt);
  else
    recordOutdated(G, Granted, Now);
  applyZones(G, Update);
  applyRefusedParts(G, Granted.m_QuarantineVersion, Granted.m_Quarantine);
  applyMembers(G, Granted);
  applyKeepersTargets(G, {Granted.m_TargetsDigest, Granted.m_TargetsBase,
                          Granted.m_TargetsDelta, Granted.m_TargetsAge,
                          Granted.m_TargetsPacked});
  applyLoads(G, Granted, Now);
  applyRelayOffers(G.m_Relays, Granted.m_Relays);
  applyRollouts(G, Granted.m_Version, Granted.m_Rollouts);
  confirmRollouts(G, SentAt);
  recordManifestOutcome(G, Outcome, Granted.m_Version);
  // Renews at once, so that the leader learns of the applied change.
  if (Before != G.m_Control.m_Version &&
      renewsAfterChange(G.m_Control.m_Routers.size()))
    G.m_Lease.m_NextRenewal = Now;
  else if (Outcome != ManifestOutcome::UpToDate)
    G.m_Lease.m_NextRenewal = Now + ManifestRetryDelay;
  if (!HeldLease && leaseHolds(G.m_Lease, Now))
    logEvent(Event::LeaseHeld, {{"epoch", Granted.m_Epoch.m_Value}});
  resumeWaiting(G);
}

/// A list that does not apply is asked for with a renewal; the keeper takes it
/// for held and would send the next change only.
void handleTargetListUpdate(Gateway &G, const TargetListUpdate &Update) {
  if (applyKeepersTargets(G, Update))
    return;
  Millis Soon = monotonicNow() +
                Millis(static_cast<std::int64_t>(
                    randomSeed() %
                    static_cast<std::uint64_t>(ListRequestSpread.m_Value)));
  G.m_Lease.m_NextRenewal = std::min(G.m_Lease.m_NextRenewal, Soon);
}

void handleRedirect(Gateway &G, const RedirectLeader &Redirect) {
  Millis Now = monotonicNow();
  if (Redirect.m_PeerUrl.empty())
    return switchToNextKeeper(G, Now + UnknownLeaderDelay);
  if (Redirect.m_PeerUrl == G.m_Keeper.m_Current)
    return recordKeeperHolds(G.m_Keeper);
  addKeeperUrls(G.m_Keeper, {Redirect.m_PeerUrl});
  selectKeeper(G.m_Keeper, Redirect.m_PeerUrl);
  onKeeperChanged(G, Now);
}

void handleControlMessage(Gateway &G, const PeerMessage &Message) {
  if (const Grant *Granted = std::get_if<Grant>(&Message))
    handleGrant(G, *Granted);
  else if (const RedirectLeader *Leader = std::get_if<RedirectLeader>(&Message))
    handleRedirect(G, *Leader);
  else if (const TargetListUpdate *Update =
               std::get_if<TargetListUpdate>(&Message))
    handleTargetListUpdate(G, *Update);
  else if (const ControlUpdate *Change = std::get_if<ControlUpdate>(&Message))
    handleControlUpdate(G, *Change);
  else if (const PromptWatch *Watch = std::get_if<PromptWatch>(&Message))
    handlePromptWatch(G, *Watch);
  else if (const StreamAnswer *Answer = std::get_if<StreamAnswer>(&Message))
    handleStreamAnswer(G, *Answer);
  else if (std::get_if<RenewRequest>(&Message))
    sendRenewal(G, monotonicNow());
  else
    addCounter(G.m_Metrics, "vanillaferry_unexpected_messages_total");
}

/// A link that comes up carries the renewal that was lost without it; one that
/// ends makes way for the next keeper at once.
void handleLinkChange(Gateway &G, const std::string &Url, bool Up) {
  Millis Now = monotonicNow();
  recordKeeperLink(G.m_Keeper, Url, Up);
  if (Url != G.m_Keeper.m_Current)
    return;
  if (Up)
    sendRenewal(G, Now);
  else
    switchToNextKeeper(G, Now);
}

} // namespace

bool mayServe(const Gateway &G, Millis Now) {
  return G.m_Control.m_Routes.m_Manifest.m_Version > 0 &&
         leaseHolds(G.m_Lease, Now) &&
         mayUseManifest(G.m_Control.m_ManifestKnowledge, Now);
}

void renewWhenDue(Gateway &G) {
  Millis Now = monotonicNow();
  if (keeperOverdue(G.m_Keeper, Now))
    switchToNextKeeper(G, Now);
  else if (returnHome(G.m_Keeper, Now))
    // A keeper sends changes only to gateways that renewed through it.
    onKeeperChanged(G, Now);
  dialKeepers(G);
  // An unanswered renewal is repeated only to a keeper that is heard of, which
  // keeps one renewal of each gateway.
  bool Due = renewalDue(G.m_Lease, Now) && !G.m_Keeper.m_WaitingSince;
  if (Due || renewalRepeatDue(G.m_Keeper, Now))
    sendRenewal(G, Now);
}

void handlePeerEvent(Gateway &G, PeerEvent Event) {
  switch (Event.m_Kind) {
  case PeerEvent::Kind::Heard:
    recordKeeperHeard(G.m_Keeper, Event.m_Url, monotonicNow());
    return;
  case PeerEvent::Kind::Message:
    recordKeeperHeard(G.m_Keeper, Event.m_Url, monotonicNow());
    return handleControlMessage(G, Event.m_Message);
  case PeerEvent::Kind::Up:
    recordKeeperRun(G, Event);
    return handleLinkChange(G, Event.m_Url, true);
  case PeerEvent::Kind::Down:
    recordKeeperRun(G, Event);
    return handleLinkChange(G, Event.m_Url, false);
  case PeerEvent::Kind::Unsent:
    return;
  }
}

} // namespace vanillaferry
