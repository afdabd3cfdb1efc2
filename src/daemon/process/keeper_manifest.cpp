#include "process/clock.hpp"
#include "process/internal/keeper_api.hpp"
#include "process/log.hpp"
#include "vanillaferry/version/text_compression.hpp"
#include "vanillaferry/version/text_delta.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaferry::internal {

namespace {

constexpr std::size_t SmallUpdateBytes = 4096;
/// Two thirds of a keeper's link of 6 Mbit/s; the rest is for replication and
/// heartbeats.
constexpr std::int64_t UpdateBytesPerMilli = 500;
/// Operators try another keeper after a second without an answer.
constexpr Millis AckTimeLimit{250};
/// Operators wait longer for manifests with more routes than this, whose
/// updates take longer to send over the leader's link.
constexpr std::size_t RoutesWithinAckTime = 500;
constexpr Millis AckTimePerThousandRoutes{2500};
/// Stated for a manifest that was acknowledged too long ago to be known.
constexpr Millis LongAgo{-60000};

/// Keeps the manifest in force as a base for later updates.
void rememberManifest(Keeper &Self) {
  const StoredManifest &Held = Self.m_State.m_Manifest;
  if (Held.m_Version != 0)
    addTextVersion(Self.m_Manifests, Held.m_Version, Held.m_Text);
}

/// Drops the updates to an older manifest than the one in force.
void refreshManifestUpdates(Keeper &Self) {
  std::uint64_t Version = Self.m_State.m_Manifest.m_Version;
  if (Self.m_UpdatesTo == Version)
    return;
  rememberManifest(Self);
  Self.m_ManifestUpdates.clear();
  Self.m_UpdatesTo = Version;
}

/// The update from a version, made once for all routers that hold it.
const ManifestUpdate &manifestUpdate(Keeper &Self, std::uint64_t From) {
  const StoredManifest &Held = Self.m_State.m_Manifest;
  refreshManifestUpdates(Self);
  // Routers with an unknown version share the update with the whole text.
  std::uint64_t Base = hasTextVersion(Self.m_Manifests, From) ? From : 0;
  std::map<std::uint64_t, ManifestUpdate>::iterator Known =
      Self.m_ManifestUpdates.find(Base);
  if (Known != Self.m_ManifestUpdates.end())
    return Known->second;
  TextUpdate Update = makeTextUpdate(Self.m_Manifests, Base, Held.m_Text);
  ManifestUpdate Made{Update.m_Base, compressText(Update.m_Delta)};
  return Self.m_ManifestUpdates.emplace(Base, std::move(Made)).first->second;
}

/// Reserves the link for an update; false while an earlier large one is still
/// being sent. Small updates are always allowed.
bool reserveLink(LinkBudget &Link, std::size_t Bytes, Millis Now) {
  if (Bytes <= SmallUpdateBytes)
    return true;
  if (Now < Link.m_BusyUntil)
    return false;
  Link.m_BusyUntil =
      Now + Millis(static_cast<std::int64_t>(Bytes) / UpdateBytesPerMilli);
  return true;
}

void answerVersion(HttpExchange &Exchange, std::uint64_t Version) {
  Exchange.answer(200, {{"version", Version}});
}

Millis ackTimeLimit(std::size_t Routes) {
  std::int64_t Beyond =
      static_cast<std::int64_t>(Routes - std::min(Routes, RoutesWithinAckTime));
  return AckTimeLimit +
         Millis(Beyond * AckTimePerThousandRoutes.m_Value / 1000);
}

/// Answers once every router acts on the manifest held, or at the deadline of
/// its acknowledgement: a router that was not reached by then refuses requests
/// once its bound for acting on the former manifest has passed. An upload that
/// is repeated waits for the same deadline.
void answerInForce(Keeper &Self, const ExchangePtr &Exchange,
                   std::uint64_t Version, std::size_t Routes) {
  Millis Now = monotonicNow();
  if (Self.m_ManifestAck.m_Version != Version)
    Self.m_ManifestAck = {Version, Now + ackTimeLimit(Routes)};
  Self.m_InForceWaits.push_back(
      {Self.m_State.m_Document.m_Version, Now, Self.m_ManifestAck.m_At,
       [&Self, Exchange, Version](bool) {
         noteManifestAcked(Self.m_ManifestAcks, {Version, monotonicNow()});
         answerVersion(*Exchange, Version);
       }});
}

/// Answers the upload that has put the manifest in force. Only its leader
/// knows that it was not acknowledged before.
void answerAccepted(Keeper &Self, const ExchangePtr &Exchange,
                    std::uint64_t Version, std::size_t Routes) {
  answerInForce(Self, Exchange, Version, Routes);
  setManifestDeadline(Self.m_ManifestAcks, Self.m_ManifestAck);
}

void refuseManifest(Keeper &Self, HttpExchange &Exchange,
                    const std::string &Why) {
  logEvent(Event::ManifestRefused, {{"why", Why}});
  addCounter(Self.m_Metrics, "vanillaferry_manifests_refused_total");
  answerError(Exchange, 400, "invalid_manifest", Why);
}

std::string joined(const std::vector<std::string> &Faults) {
  std::string All;
  for (const std::string &Fault : Faults)
    All += (All.empty() ? "" : "; ") + Fault;
  return All;
}

void proposeManifest(Keeper &Self, const ExchangePtr &Exchange,
                     std::uint64_t Version, const std::string &Text,
                     std::size_t Routes) {
  rememberManifest(Self);
  const StoredManifest &Held = Self.m_State.m_Manifest;
  ReplaceManifest Change;
  Change.m_Version = Version;
  Change.m_BaseVersion = Held.m_Version;
  Change.m_Delta = compressText(makeTextDelta(Held.m_Text, Text));
  Change.m_At = wallNow();
  std::uint64_t Bytes = Change.m_Delta.size();
  proposeCommand(
      Self, Change,
      [&Self, Exchange, Version, Text, Bytes,
       Routes](const CommandAnswer *Answer) {
        const ManifestAnswer *Known =
            Answer ? std::get_if<ManifestAnswer>(Answer) : nullptr;
        if (!Known)
          return answerLeaderLost(Self, *Exchange);
        if (Known->m_Outcome == ManifestOutcome::BaseChanged)
          return proposeManifest(Self, Exchange, Version, Text, Routes);
        bool Applied = Known->m_Outcome == ManifestOutcome::InForce;
        logEvent(Applied ? Event::ManifestAccepted : Event::ManifestSuperseded,
                 {{"version", Version},
                  {"held", Known->m_Version},
                  {"bytes", Bytes}});
        if (Applied)
          answerAccepted(Self, Exchange, Version, Routes);
        else
          answerInForce(Self, Exchange, Known->m_Version, Routes);
      });
}

} // namespace

void putManifest(Keeper &Self, const ExchangePtr &Exchange) {
  // Checked first: parsing a large manifest takes a second of a follower's CPU
  // time.
  if (!leads(Self))
    return answerNotLeader(Self, *Exchange);
  std::string Text = Exchange->body();
  Result<Manifest> Content = Self.m_Protocol->m_ReadManifest(Text);
  if (!Content)
    return refuseManifest(Self, *Exchange, Content.error().m_Text);
  std::vector<std::string> Faults = validateManifest(Content.value());
  if (!Faults.empty())
    return refuseManifest(Self, *Exchange, joined(Faults));
  std::uint64_t Version = Content.value().m_Version;
  std::size_t Routes = Content.value().m_Routes.size();
  // The version is compared after a confirmed read, when everything that was
  // accepted before has been applied.
  afterConfirmedRead(Self, Exchange, [&Self, Exchange, Version, Text, Routes] {
    if (Version > Self.m_State.m_Manifest.m_Version)
      return proposeManifest(Self, Exchange, Version, Text, Routes);
    logEvent(
        Event::ManifestSuperseded,
        {{"version", Version}, {"held", Self.m_State.m_Manifest.m_Version}});
    answerInForce(Self, Exchange, Self.m_State.m_Manifest.m_Version, Routes);
  });
}

void getManifest(Keeper &Self, const ExchangePtr &Exchange) {
  afterConfirmedRead(Self, Exchange, [&Self, Exchange] {
    const StoredManifest &Held = Self.m_State.m_Manifest;
    if (Held.m_Version == 0)
      answerError(*Exchange, 503, "no_manifest",
                  "no manifest was accepted yet");
    // Several large answers at once would delay heartbeats for longer than the
    // election timeout, so that this keeper would lose its leadership.
    else if (!reserveLink(Self.m_ManifestLink, Held.m_Text.size(),
                          monotonicNow()))
      answerError(*Exchange, 503, "link_busy",
                  "the leader's link is busy with manifests; try again");
    else
      Exchange->answerJsonText(200, Held.m_Text);
  });
}

void postZone(Keeper &Self, const ExchangePtr &Exchange,
              const std::string &Zone, bool Out) {
  if (!leads(Self))
    return answerNotLeader(Self, *Exchange);
  proposeCommand(Self, SetZoneOut{ZoneId(Zone), Out},
                 [&Self, Exchange, Zone, Out](const CommandAnswer *Answer) {
                   if (!Answer)
                     return answerLeaderLost(Self, *Exchange);
                   logEvent(Event::ZoneChanged,
                            {{"zone", Zone}, {"out", Out ? "yes" : "no"}});
                   Exchange->answer(200, {{"zone", Zone}, {"out", Out}});
                 });
}

void attachMemberIds(Keeper &Self, const Renew &Request, Grant &Granted) {
  SharedMemberIds &Shared = Self.m_MemberIds;
  Epoch Known = Self.m_State.m_Epoch;
  if (!Request.m_IdsOnly || Request.m_AckedEpoch >= Known)
    return;
  if (Shared.m_Epoch != Known) {
    std::vector<NodeId> Nodes;
    for (const std::pair<const NodeId, Member> &Row : Self.m_State.m_Members)
      Nodes.push_back(Row.first);
    Shared.m_Epoch = Known;
    Shared.m_Text = encodeMemberIds(Nodes);
    Shared.m_Updates.clear();
    addTextVersion(Shared.m_History, Known.m_Value, Shared.m_Text);
  }
  const TextUpdate &Update =
      sharedTextUpdate(Shared.m_Updates, Shared.m_History,
                       Request.m_AckedEpoch.m_Value, Shared.m_Text);
  Granted.m_IdsEpoch = Known;
  Granted.m_IdsBase = Epoch(Update.m_Base);
  copyScript(Update, Request.m_TakesPacked, Granted.m_IdsDelta,
             Granted.m_IdsPacked);
}

void stateManifestDeadline(const Keeper &Self, const Renew &Request,
                           Grant &Granted) {
  if (Request.m_ManifestHeld >= Self.m_State.m_Manifest.m_Version)
    return;
  // The router's manifest was outdated by the one after it, not by the newest.
  std::optional<Millis> Since =
      outdatedSince(Self.m_ManifestAcks, Request.m_ManifestHeld);
  Granted.m_ManifestAckedIn = Since ? *Since - monotonicNow() : LongAgo;
}

const ManifestUpdate *reserveManifestUpdate(Keeper &Self, std::uint64_t Held,
                                            Millis Now) {
  const ManifestUpdate &Update = manifestUpdate(Self, Held);
  return reserveLink(Self.m_ManifestLink, Update.m_Delta.size(), Now) ? &Update
                                                                      : nullptr;
}

void attachManifest(Keeper &Self, const Renew &Request, Grant &Granted) {
  const StoredManifest &Held = Self.m_State.m_Manifest;
  // A follower that relays the grant may be behind the leader or, after a
  // change of the leader, ahead of it.
  if (Request.m_ManifestHeld >= Held.m_Version ||
      Held.m_Version < Granted.m_ManifestVersion)
    return;
  Granted.m_ManifestVersion = Held.m_Version;
  if (leads(Self))
    stateManifestDeadline(Self, Request, Granted);
  const ManifestUpdate *Update =
      reserveManifestUpdate(Self, Request.m_ManifestHeld, monotonicNow());
  if (!Update)
    return;
  Granted.m_ManifestBase = Update->m_Base;
  Granted.m_ManifestDelta = Update->m_Delta;
}

void rememberManifestChange(Keeper &Self, const ReplaceManifest &Change) {
  refreshManifestUpdates(Self);
  Self.m_ManifestUpdates[Change.m_BaseVersion] = {Change.m_BaseVersion,
                                                  Change.m_Delta};
  // This keeper may apply the entry late, and its clock may be behind that of
  // the leader. A manifest that counts as acknowledged too early only makes
  // routers without it wait.
  Millis Now = monotonicNow();
  Millis Age(wallNow().m_Value - Change.m_At.m_Value);
  bool Known = Change.m_At > UnixMillis(0) && Age > Millis(0);
  noteManifestReplaced(Self.m_ManifestAcks, Change.m_BaseVersion,
                       {Change.m_Version, Known ? Now - Age : Now});
}

} // namespace vanillaferry::internal
