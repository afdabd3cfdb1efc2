#include "process/clock.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"
#include "vanillaferry/version/target_listing.hpp"
#include "vanillaferry/version/text_delta.hpp"

#include <algorithm>

namespace vanillaferry::internal {

namespace {

/// The update for a receiver that holds this list.
TargetListUpdate updateFrom(SharedTargetList &Shared, std::uint64_t Held,
                            bool TakesPacked) {
  TargetListUpdate Message;
  Message.m_Digest = Shared.m_Digest;
  Message.m_Age = monotonicNow() - Shared.m_Turn.m_NewestAt;
  if (Held == Shared.m_Digest)
    return Message;
  const TextUpdate &Update =
      sharedTextUpdate(Shared.m_Updates, Shared.m_History, Held, Shared.m_Text);
  Message.m_Base = Update.m_Base;
  copyScript(Update, TakesPacked, Message.m_Delta, Message.m_Packed);
  return Message;
}

/// Replaces the list and sends the change to the gateways connected here, so
/// that they know of leaving targets before their next renewal.
void replaceSharedList(Keeper &Self, std::string Text, std::uint64_t Digest) {
  SharedTargetList &Shared = Self.m_SharedTargets;
  Shared.m_Digest = Digest;
  Shared.m_Text = std::move(Text);
  addTextVersion(Shared.m_History, Digest, Shared.m_Text);
  Shared.m_Updates.clear();
  for (std::pair<const NodeId, ServedGateway> &Row : Self.m_Served) {
    Renew &Last = Row.second.m_Last;
    if (Last.m_TargetsHeld == 0)
      continue;
    Self.m_Peers->send(
        Row.first, updateFrom(Shared, Last.m_TargetsHeld, Last.m_TakesPacked));
    Last.m_TargetsHeld = Digest;
  }
}

/// Sends the list to the other keepers, as a change from the list that they
/// were sent before.
void sendToKeepers(Keeper &Self, std::uint64_t Before) {
  TargetListUpdate Update = updateFrom(Self.m_SharedTargets, Before, false);
  for (const std::pair<const NodeId, ConnectedPeer> &Row : Self.m_Connected)
    if (Row.second.m_Role == NodeRole::Keeper)
      Self.m_Peers->send(Row.first, Update);
}

/// A reader continues from the list of the reader before it.
void restoreColdTimes(SharedTargetList &Shared) {
  if (!Shared.m_Last.empty() || Shared.m_Text.empty())
    return;
  Result<std::vector<ListedTarget>> Known = decodeTargets(Shared.m_Text);
  if (Known)
    Shared.m_Last = std::move(Known.value());
  else
    logEvent(Event::TargetListFailed, {{"why", Known.error().m_Text}});
}

/// Only the leader replicates which software versions the list shows.
void proposeVersionsAsLeader(Keeper &Self) {
  if (leads(Self))
    proposeListedVersions(Self);
}

void onTargetListRead(Keeper &Self, TargetListReading Reading) {
  SharedTargetList &Shared = Self.m_SharedTargets;
  Result<std::vector<ListedTarget>> &Read = Reading.m_Targets;
  if (!Read) {
    logEvent(Event::TargetListFailed,
             {{"why", Read.error().m_Text},
              {"age_ms", (monotonicNow() - Shared.m_Turn.m_NewestAt).m_Value}});
    addCounter(Self.m_Metrics, "vanillaferry_target_list_failures_total");
    return;
  }
  // Another keeper's newer reading may have ended first.
  if (Reading.m_BeganAt <= Shared.m_Turn.m_NewestAt)
    return addCounter(Self.m_Metrics, "vanillaferry_target_lists_late_total");
  restoreColdTimes(Shared);
  retainColdTimes(Read.value(), Shared.m_Last);
  Shared.m_Last = std::move(Read.value());
  Shared.m_Turn.m_NewestAt = Reading.m_BeganAt;
  Shared.m_Turn.m_LastReader = Self.m_Formation.m_Keeper;
  std::string Text = encodeTargets(Shared.m_Last);
  std::uint64_t Digest = textDigest(Text);
  std::uint64_t Before = Shared.m_Digest;
  if (Digest != Before) {
    logEvent(Event::TargetListRead,
             {{"targets", static_cast<std::uint64_t>(Shared.m_Last.size())},
              {"digest", Digest},
              {"from", "platform"},
              {"took_ms", (monotonicNow() - Reading.m_BeganAt).m_Value}});
    recordKeeperVersions(Self, Shared.m_Last);
    replaceSharedList(Self, std::move(Text), Digest);
  } else {
    confirmKeeperVersions(Self);
  }
  sendToKeepers(Self, Before);
  proposeVersionsAsLeader(Self);
}

std::vector<KeeperId> votersOf(const Keeper &Self) {
  std::vector<KeeperId> Voters;
  for (const KeeperAddress &Voter : Self.m_Replica.m_Set.m_Voters)
    Voters.push_back(Voter.m_Keeper);
  return Voters;
}

} // namespace

void readTargetsWhenDue(Keeper &Self, Millis Now) {
  SharedTargetList &Shared = Self.m_SharedTargets;
  if (Self.m_Settings.m_TargetList.empty() || !Self.m_Protocol ||
      !Self.m_Running || Now < Shared.m_Turn.m_NewestAt + ListReadInterval)
    return;
  std::vector<KeeperId> Voters = votersOf(Self);
  const KeeperId &Own = Self.m_Formation.m_Keeper;
  if (std::find(Voters.begin(), Voters.end(), Own) == Voters.end())
    return;
  std::size_t Rank = readerRank(Voters, Own, Self.m_Replica.m_Leader,
                                Shared.m_Turn.m_LastReader);
  if (!listReadingDue(Shared.m_Turn, Rank, Now))
    return;
  Shared.m_Turn.m_OwnAt = Now;
  if (!Shared.m_Reader) {
    Keeper *Raw = &Self;
    Shared.m_Reader = std::make_unique<TargetListReader>(
        *Self.m_Protocol, Self.m_Settings.m_TargetList,
        [Raw](TargetListReading Read) {
          onTargetListRead(*Raw, std::move(Read));
        });
  }
  Shared.m_Reader->read();
}

void attachTargets(Keeper &Self, const Renew &Request, Grant &Granted) {
  SharedTargetList &Shared = Self.m_SharedTargets;
  if (Shared.m_Digest == 0)
    return;
  TargetListUpdate Update =
      updateFrom(Shared, Request.m_TargetsHeld, Request.m_TakesPacked);
  Granted.m_TargetsDigest = Update.m_Digest;
  Granted.m_TargetsAge = Update.m_Age;
  Granted.m_TargetsBase = Update.m_Base;
  Granted.m_TargetsDelta = std::move(Update.m_Delta);
  Granted.m_TargetsPacked = std::move(Update.m_Packed);
}

void onTargetListUpdate(Keeper &Self, const NodeId &From,
                        const TargetListUpdate &Update) {
  SharedTargetList &Shared = Self.m_SharedTargets;
  if (!isKeeper(Self, From) || Update.m_Digest == 0)
    return;
  Millis ReadAt = monotonicNow() - Update.m_Age;
  if (ReadAt < Shared.m_Turn.m_NewestAt &&
      !succeedsList(Update.m_Base, Shared.m_Digest))
    return;
  ReadAt = std::max(ReadAt, Shared.m_Turn.m_NewestAt);
  if (Update.m_Digest != Shared.m_Digest) {
    bool Applies = Update.m_Base == 0 || Update.m_Base == Shared.m_Digest;
    if (Update.m_Delta.empty() || !Applies)
      return Self.m_Peers->send(From, TargetListRequest{Shared.m_Digest});
    Result<std::string> Text = applyTextDelta(
        Update.m_Base == 0 ? std::string() : Shared.m_Text, Update.m_Delta);
    if (!Text || textDigest(Text.value()) != Update.m_Digest) {
      logEvent(Event::TargetListFailed,
               {{"why", Text ? "the list has another digest than stated"
                             : Text.error().m_Text}});
      return Self.m_Peers->send(From, TargetListRequest{0});
    }
    logEvent(Event::TargetListRead, {{"digest", Update.m_Digest},
                                     {"from", From.m_Value},
                                     {"age_ms", Update.m_Age.m_Value}});
    Shared.m_Last.clear();
    Shared.m_Turn.m_NewestAt = ReadAt;
    recordKeeperVersions(Self, decodeTargets(Text.value()));
    replaceSharedList(Self, std::move(Text.value()), Update.m_Digest);
  } else {
    confirmKeeperVersions(Self);
  }
  Shared.m_Turn.m_NewestAt = ReadAt;
  Shared.m_Turn.m_LastReader = KeeperId(From.m_Value);
  proposeVersionsAsLeader(Self);
}

void onTargetListRequest(Keeper &Self, const NodeId &From,
                         const TargetListRequest &Request) {
  if (isKeeper(Self, From) && Self.m_SharedTargets.m_Digest != 0)
    Self.m_Peers->send(From,
                       updateFrom(Self.m_SharedTargets, Request.m_Held, false));
}

} // namespace vanillaferry::internal
