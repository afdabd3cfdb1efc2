#include "process/clock.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"

#include <algorithm>

namespace vanillaferry::internal {

namespace {

/// Reports of many routers travel in one message.
constexpr Millis RelayInterval{100};
/// An older list may lack a version.
constexpr Millis ListLifetime{10000};
/// Within this time after its start, routers tell a keeper of their streams
/// again.
constexpr Millis ToldAgainTime{5000};
/// Routers wait for their answer a little longer.
constexpr Millis SearchTimeLimit{150};

/// The version that the service has had alone, by the lists that this process
/// has seen and by the replicated state, which outlives it.
std::optional<SoleVersion> soleVersionOf(const Keeper &Self,
                                         const PoolId &Service) {
  Millis Now = monotonicNow();
  if (Now - Self.m_SharedTargets.m_Turn.m_NewestAt >= ListLifetime)
    return std::nullopt;
  std::optional<SoleVersion> Sole =
      soleVersion(Self.m_Streams.m_Versions, Service, Now);
  std::map<PoolId, ListedVersions>::const_iterator Held =
      Self.m_State.m_Software.find(Service);
  // Lists that this process has read are nearer than the replicated state,
  // which may lack a change that no leader has seen.
  if (!Sole || !Sole->m_SinceFirstList || Self.m_HeldBack ||
      Held == Self.m_State.m_Software.end() ||
      Held->second.m_Listed != std::vector<SoftwareVersion>{Sole->m_Software})
    return Sole;
  Millis Replicated(wallNow().m_Value - Held->second.m_Since.m_Value);
  Sole->m_For = std::max(Sole->m_For, Replicated);
  return Sole;
}

bool isToldAgain(const Keeper &Self, Millis Now) {
  return Now < Self.m_StartedAt + ToldAgainTime;
}

StreamAnswer answerTo(const Keeper &Self, const StreamQuery &Query) {
  StreamAnswer Answer;
  Answer.m_Request = Query.m_Request;
  Answer.m_Service = Query.m_Service;
  if (std::optional<SoftwareVersion> Known =
          findOrigin(Self.m_Streams.m_Origins, Query.m_Request)) {
    Answer.m_Recorded = true;
    Answer.m_Software = *Known;
  }
  if (std::optional<SoleVersion> Sole = soleVersionOf(Self, Query.m_Service)) {
    Answer.m_Sole = Sole->m_Software;
    Answer.m_SoleFor = Sole->m_For;
  }
  Answer.m_Incomplete = isToldAgain(Self, monotonicNow());
  return Answer;
}

/// True when the answers of other keepers would change nothing.
bool isFinal(const StreamAnswer &Answer, const StreamQuery &Query) {
  // It asks for the version only, or for an id that is too long to be recorded.
  if (Answer.m_Recorded || Query.m_Request.empty() ||
      Query.m_Request.m_Value.size() > MaxOriginIdLength)
    return true;
  Millis Longest = Query.m_LongestStream > Millis(0)
                       ? Query.m_LongestStream
                       : OriginLifetime + OriginLifetime;
  return Answer.m_SoleFor >= Longest;
}

/// Asks the other keepers for a router; false when there is nobody to ask.
bool search(Keeper &Self, const NodeId &Asker, const StreamQuery &Query) {
  std::map<RequestId, OriginSearch> &Searches = Self.m_Streams.m_Searches;
  std::map<RequestId, OriginSearch>::iterator Known =
      Searches.find(Query.m_Request);
  if (Known != Searches.end()) {
    Known->second.m_Askers.insert(Asker);
    return true;
  }
  Millis Now = monotonicNow();
  if (eventsWithin(Self.m_Streams.m_SearchesBegun, Now) >= MaxSearches)
    return false;
  OriginSearch Search;
  Search.m_Service = Query.m_Service;
  Search.m_Askers.insert(Asker);
  Search.m_Deadline = Now + SearchTimeLimit;
  for (const std::pair<const NodeId, ConnectedPeer> &Row : Self.m_Connected) {
    if (Row.second.m_Role != NodeRole::Keeper)
      continue;
    ++Search.m_Awaited;
    Self.m_Peers->send(Row.first, Query);
  }
  if (Search.m_Awaited == 0)
    return false;
  addCounter(Self.m_Metrics, "vanillaferry_stream_searches_total");
  noteEvent(Self.m_Streams.m_SearchesBegun, Now);
  Searches.emplace(Query.m_Request, std::move(Search));
  return true;
}

/// Answers the routers that wait for this search, with what is known now.
void endSearch(Keeper &Self, const RequestId &Request) {
  std::map<RequestId, OriginSearch> &Searches = Self.m_Streams.m_Searches;
  std::map<RequestId, OriginSearch>::iterator Found = Searches.find(Request);
  if (Found == Searches.end())
    return;
  OriginSearch Search = std::move(Found->second);
  Searches.erase(Found);
  // What a router has told meanwhile is newer. Keepers that differ were not all
  // told of the stream's last try.
  if (Search.m_Found.size() == 1 &&
      !findOrigin(Self.m_Streams.m_Origins, Request))
    recordOrigin(Self.m_Streams.m_Origins,
                 {Request, Search.m_Service, *Search.m_Found.begin()},
                 monotonicNow());
  StreamAnswer Answer = answerTo(Self, {Request, Search.m_Service, Millis(0)});
  if (Answer.m_Recorded)
    addCounter(Self.m_Metrics, "vanillaferry_stream_searches_found_total");
  for (const NodeId &Asker : Search.m_Askers)
    Self.m_Peers->send(Asker, Answer);
}

} // namespace

void onStreamReport(Keeper &Self, const NodeId &From,
                    const StreamReport &Report) {
  KeeperStreams &Streams = Self.m_Streams;
  Millis Now = monotonicNow();
  Streams.m_Origins.m_Lifetime =
      std::max(Streams.m_Origins.m_Lifetime, Report.m_LongestStream);
  for (const BegunStream &Each : Report.m_Streams) {
    recordOrigin(Streams.m_Origins,
                 {Each.m_Request, Report.m_Service, Each.m_Software}, Now);
    endSearch(Self, Each.m_Request);
  }
  if (isKeeper(Self, From) || Report.m_Again)
    return;
  StreamReport &Relayed = Streams.m_ToRelay[Report.m_Service];
  Relayed.m_Service = Report.m_Service;
  Relayed.m_LongestStream = Report.m_LongestStream;
  Relayed.m_Streams.insert(Relayed.m_Streams.end(), Report.m_Streams.begin(),
                           Report.m_Streams.end());
}

void onStreamQuery(Keeper &Self, const NodeId &From, const StreamQuery &Query) {
  addCounter(Self.m_Metrics, "vanillaferry_stream_queries_total");
  StreamAnswer Answer = answerTo(Self, Query);
  if (isFinal(Answer, Query) || isKeeper(Self, From) ||
      !search(Self, From, Query))
    Self.m_Peers->send(From, Answer);
}

void onStreamAnswer(Keeper &Self, const NodeId &From,
                    const StreamAnswer &Answer) {
  KeeperStreams &Streams = Self.m_Streams;
  std::map<RequestId, OriginSearch>::iterator Found =
      Streams.m_Searches.find(Answer.m_Request);
  if (!isKeeper(Self, From) || Found == Streams.m_Searches.end())
    return;
  OriginSearch &Search = Found->second;
  if (Search.m_Awaited > 0)
    --Search.m_Awaited;
  if (Answer.m_Recorded)
    Search.m_Found.insert(Answer.m_Software);
  // While routers tell of their streams again, their report may still come.
  bool MayBeTold = Search.m_Found.empty() && isToldAgain(Self, monotonicNow());
  if (Search.m_Awaited == 0 && !MayBeTold)
    endSearch(Self, Answer.m_Request);
}

void endOldSearches(Keeper &Self, Millis Now) {
  std::vector<RequestId> Old;
  for (const std::pair<const RequestId, OriginSearch> &Row :
       Self.m_Streams.m_Searches)
    if (Now >= Row.second.m_Deadline)
      Old.push_back(Row.first);
  for (const RequestId &Each : Old)
    endSearch(Self, Each);
}

void recordKeeperVersions(Keeper &Self,
                          const Result<std::vector<ListedTarget>> &Listed) {
  if (Listed)
    recordVersions(Self.m_Streams.m_Versions, Listed.value(), monotonicNow());
  else
    logEvent(Event::TargetListFailed, {{"why", Listed.error().m_Text}});
}

void confirmKeeperVersions(Keeper &Self) {
  confirmVersions(Self.m_Streams.m_Versions, monotonicNow());
}

void proposeListedVersions(Keeper &Self) {
  KeeperStreams &Streams = Self.m_Streams;
  for (const std::pair<const PoolId, std::set<SoftwareVersion>> &Row :
       Streams.m_Versions.m_Listed) {
    SetSoftwareVersions Change;
    Change.m_Service = Row.first;
    Change.m_Listed.assign(Row.second.begin(), Row.second.end());
    Change.m_At = wallNow();
    std::map<PoolId, ListedVersions>::const_iterator Held =
        Self.m_State.m_Software.find(Row.first);
    bool Known = Held != Self.m_State.m_Software.end() &&
                 Held->second.m_Listed == Change.m_Listed;
    if (Known || !mayPropose(Self, Change) ||
        !Streams.m_Proposed.insert(Row.first).second)
      continue;
    proposeCommand(Self, std::move(Change),
                   [&Self, Service = Row.first](const CommandAnswer *) {
                     Self.m_Streams.m_Proposed.erase(Service);
                   });
  }
}

void relayStreams(Keeper &Self, Millis Now) {
  KeeperStreams &Streams = Self.m_Streams;
  if (Streams.m_ToRelay.empty() || Now < Streams.m_NextRelay)
    return;
  Streams.m_NextRelay = Now + RelayInterval;
  for (const std::pair<const NodeId, ConnectedPeer> &Row : Self.m_Connected)
    if (Row.second.m_Role == NodeRole::Keeper)
      for (const std::pair<const PoolId, StreamReport> &Report :
           Streams.m_ToRelay)
        Self.m_Peers->send(Row.first, Report.second);
  Streams.m_ToRelay.clear();
}

} // namespace vanillaferry::internal
