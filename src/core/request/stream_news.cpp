#include "vanillaferry/request/stream_news.hpp"

#include <algorithm>
#include <iterator>

namespace vanillaferry {

void addStreamNews(StreamNews &News, const StreamOrigin &Origin) {
  bool Fits = News.m_New.size() < MaxStreamNews &&
              Origin.m_Request.m_Value.size() <= MaxOriginIdLength;
  if (Fits)
    News.m_New.push_back(Origin);
}

void beginTelling(StreamNews &News, std::vector<StreamOrigin> Forgotten) {
  std::vector<StreamOrigin> First;
  for (ToldStream &Each : News.m_Told)
    First.push_back(std::move(Each.m_Origin));
  News.m_Told.clear();
  News.m_New.insert(News.m_New.begin(), First.begin(), First.end());
  News.m_Again = std::move(Forgotten);
}

StreamNewsBatch takeStreamNews(StreamNews &News, Millis Now) {
  StreamNewsBatch Batch;
  Batch.m_New.swap(News.m_New);
  std::size_t Count = std::min(News.m_Again.size(), MaxToldAgain);
  std::vector<StreamOrigin>::iterator First =
      News.m_Again.end() - static_cast<std::ptrdiff_t>(Count);
  std::move(First, News.m_Again.end(), std::back_inserter(Batch.m_Again));
  News.m_Again.erase(First, News.m_Again.end());
  for (const StreamOrigin &Each : Batch.m_New)
    News.m_Told.push_back({Each, Now});
  while (!News.m_Told.empty() && (News.m_Told.front().m_At + RetellTime < Now ||
                                  News.m_Told.size() > MaxStreamNews))
    News.m_Told.pop_front();
  return Batch;
}

bool mayLackStreams(std::optional<Millis> RunsSince, Millis Now) {
  return RunsSince && Now < *RunsSince + OriginLifetime + OriginLifetime;
}

} // namespace vanillaferry
