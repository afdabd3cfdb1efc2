#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// Between the last target of a version and the list that lacks it.
constexpr Millis ListDelay{5000};
/// Between two questions for how long services have had one version.
constexpr Millis AskInterval{1000};

/// The streams that a keeper which has started lately does not know any more.
std::vector<StreamOrigin> streamsToTellAgain(const Gateway &G, Millis Now) {
  const StreamVersions &Streams = G.m_Streams;
  std::vector<StreamOrigin> All;
  for (const std::pair<const PoolId, std::set<SoftwareVersion>> &Row :
       Streams.m_History.m_Listed) {
    if (!needsRecord(Streams.m_History, Row.first, Streams.m_LongestStream,
                     Now))
      continue;
    std::vector<StreamOrigin> Known = originsOf(Streams.m_Origins, Row.first);
    All.insert(All.end(), Known.begin(), Known.end());
  }
  return All;
}

/// Begins to send the news over this link.
void turnTo(Gateway &G, const KeeperLink &Link, Millis Now) {
  G.m_Streams.m_ToldOver = Link.m_Connection;
  std::vector<StreamOrigin> Forgotten;
  if (mayLackStreams(Link.m_RunsSince, Now))
    Forgotten = streamsToTellAgain(G, Now);
  if (!Forgotten.empty())
    logEvent(Event::StreamsToldAgain,
             {{"url", G.m_Keeper.m_Current},
              {"streams", static_cast<std::uint64_t>(Forgotten.size())}});
  beginTelling(G.m_Streams.m_News, std::move(Forgotten));
}

void sendReports(Gateway &G, const std::vector<StreamOrigin> &Origins,
                 bool Again) {
  std::map<PoolId, StreamReport> Reports;
  for (const StreamOrigin &Each : Origins) {
    StreamReport &Report = Reports[Each.m_Service];
    Report.m_Service = Each.m_Service;
    Report.m_Again = Again;
    Report.m_LongestStream = G.m_Streams.m_LongestStream;
    Report.m_Streams.push_back({Each.m_Request, Each.m_Software});
  }
  for (std::pair<const PoolId, StreamReport> &Row : Reports) {
    addCounter(G.m_Metrics, "vanillaferry_stream_reports_total");
    G.m_Peers->sendToUrl(G.m_Keeper.m_Current, std::move(Row.second));
  }
}

/// The sooner a keeper's answer states the time, the fewer records it gets.
void askForVersions(Gateway &G, Millis Now) {
  StreamVersions &Streams = G.m_Streams;
  if (Streams.m_ToAsk.empty() || Now < Streams.m_NextAsk)
    return;
  Streams.m_NextAsk = Now + AskInterval;
  for (const PoolId &Service : Streams.m_ToAsk)
    askForOrigin(G, {RequestId(), Service, Streams.m_LongestStream});
  Streams.m_ToAsk.clear();
}

} // namespace

Millis longestStream(const ManifestRoute &Route) {
  return Route.m_Timeout + ListDelay;
}

void applyStreamTimes(Gateway &G) {
  Millis Longest;
  for (const ManifestRoute &Each : G.m_Control.m_Routes.m_Manifest.m_Routes)
    if (Each.m_Kind == RequestKind::Stream && Each.m_Resumable)
      Longest = std::max(Longest, longestStream(Each));
  StreamVersions &Streams = G.m_Streams;
  Streams.m_LongestStream = Longest;
  Streams.m_Origins.m_Lifetime = std::max(OriginLifetime, Longest);
  Streams.m_History.m_MixedTime = std::max(MinMixedTime, Longest);
}

void recordStream(Gateway &G, const StreamOrigin &Origin,
                  Millis LongestStream) {
  Millis Now = monotonicNow();
  StreamVersions &Streams = G.m_Streams;
  recordOrigin(Streams.m_Origins, Origin, Now);
  if (!needsRecord(Streams.m_History, Origin.m_Service, LongestStream, Now))
    return;
  addStreamNews(Streams.m_News, Origin);
  if (!isMixed(Streams.m_History, Origin.m_Service, Now))
    Streams.m_ToAsk.insert(Origin.m_Service);
}

void recordListedVersions(Gateway &G) {
  StreamVersions &Streams = G.m_Streams;
  for (const PoolId &Service : recordVersions(
           Streams.m_History, G.m_TargetList.m_Targets, monotonicNow())) {
    std::vector<StreamOrigin> Known = originsOf(Streams.m_Origins, Service);
    logEvent(Event::SoftwareVersionsMixed,
             {{"service", Service.m_Value},
              {"streams", static_cast<std::uint64_t>(Known.size())}});
    for (const StreamOrigin &Each : Known)
      addStreamNews(Streams.m_News, Each);
  }
}

void askForOrigin(Gateway &G, const StreamQuery &Query) {
  addCounter(G.m_Metrics, "vanillaferry_stream_queries_total");
  G.m_Peers->sendToUrl(G.m_Keeper.m_Current, Query);
}

void handleStreamAnswer(Gateway &G, const StreamAnswer &Answer) {
  OriginEvidence Evidence;
  Evidence.m_Incomplete = Answer.m_Incomplete;
  if (Answer.m_Recorded)
    Evidence.m_Recorded = Answer.m_Software;
  if (Answer.m_SoleFor > Millis(0))
    Evidence.m_Sole = SoleVersion{Answer.m_Sole, Answer.m_SoleFor};
  if (Evidence.m_Sole && !Answer.m_Service.empty())
    noteStatedVersion(G.m_Streams.m_History, Answer.m_Service, *Evidence.m_Sole,
                      monotonicNow());
  if (Answer.m_Request.empty())
    return;
  std::vector<std::shared_ptr<Exchange>> Waiting;
  for (const std::shared_ptr<Exchange> &Each : G.m_Exchanges)
    if (Each->awaitsOrigin(Answer.m_Request))
      Waiting.push_back(Each);
  for (const std::shared_ptr<Exchange> &Each : Waiting)
    Each->goOnWith(Evidence);
}

void recordKeeperRun(Gateway &G, const PeerEvent &Event) {
  std::map<std::string, KeeperLink> &Links = G.m_Streams.m_KeeperLinks;
  if (Event.m_Kind == PeerEvent::Kind::Down) {
    Links.erase(Event.m_Url);
    return;
  }
  KeeperLink Link{Event.m_Connection, std::nullopt};
  const Hello *Greeting = std::get_if<Hello>(&Event.m_Message);
  if (Greeting && Greeting->m_RunningFor > Millis(0))
    Link.m_RunsSince = monotonicNow() - Greeting->m_RunningFor;
  Links[Event.m_Url] = Link;
}

void sendStreamReports(Gateway &G) {
  StreamVersions &Streams = G.m_Streams;
  std::map<std::string, KeeperLink>::const_iterator Link =
      Streams.m_KeeperLinks.find(G.m_Keeper.m_Current);
  // The news wait for a keeper.
  if (Link == Streams.m_KeeperLinks.end())
    return;
  Millis Now = monotonicNow();
  if (Link->second.m_Connection != Streams.m_ToldOver)
    turnTo(G, Link->second, Now);
  StreamNewsBatch Batch = takeStreamNews(Streams.m_News, Now);
  sendReports(G, Batch.m_New, false);
  sendReports(G, Batch.m_Again, true);
  askForVersions(G, Now);
}

} // namespace vanillaferry
