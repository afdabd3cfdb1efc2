#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

namespace vanillaferry {

namespace {

/// Bounds one report; streams beyond it are known to this gateway only.
constexpr std::size_t MaxNews = 4096;

void addNews(StreamVersions &Streams, const StreamOrigin &Origin) {
  bool Fits = Streams.m_News.size() < MaxNews &&
              Origin.m_Request.m_Value.size() <= MaxOriginIdLength;
  if (Fits)
    Streams.m_News.push_back(Origin);
}

} // namespace

void recordStream(Gateway &G, const StreamOrigin &Origin) {
  Millis Now = monotonicNow();
  recordOrigin(G.m_Streams.m_Origins, Origin, Now);
  if (isMixed(G.m_Streams.m_History, Origin.m_Service, Now))
    addNews(G.m_Streams, Origin);
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
      addNews(Streams, Each);
  }
}

void askForOrigin(Gateway &G, const StreamQuery &Query) {
  addCounter(G.m_Metrics, "vanillaferry_stream_queries_total");
  G.m_Peers->sendToUrl(G.m_Keeper.m_Current, Query);
}

void handleStreamAnswer(Gateway &G, const StreamAnswer &Answer) {
  OriginEvidence Evidence;
  if (Answer.m_Recorded)
    Evidence.m_Recorded = Answer.m_Software;
  if (Answer.m_SoleFor > Millis(0))
    Evidence.m_Sole = SoleVersion{Answer.m_Sole, Answer.m_SoleFor};
  std::vector<std::shared_ptr<Exchange>> Waiting;
  for (const std::shared_ptr<Exchange> &Each : G.m_Exchanges)
    if (Each->awaitsOrigin(Answer.m_Request))
      Waiting.push_back(Each);
  for (const std::shared_ptr<Exchange> &Each : Waiting)
    Each->goOnWith(Evidence);
}

void sendStreamReports(Gateway &G) {
  std::vector<StreamOrigin> &News = G.m_Streams.m_News;
  if (News.empty())
    return;
  std::map<PoolId, StreamReport> Reports;
  for (const StreamOrigin &Each : News) {
    StreamReport &Report = Reports[Each.m_Service];
    Report.m_Service = Each.m_Service;
    Report.m_Streams.push_back({Each.m_Request, Each.m_Software});
  }
  News.clear();
  for (std::pair<const PoolId, StreamReport> &Row : Reports) {
    addCounter(G.m_Metrics, "vanillaferry_stream_reports_total");
    G.m_Peers->sendToUrl(G.m_Keeper.m_Current, std::move(Row.second));
  }
}

} // namespace vanillaferry
