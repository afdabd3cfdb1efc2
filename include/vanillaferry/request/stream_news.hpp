#pragma once

#include "vanillaferry/request/stream_origin.hpp"

#include <deque>

namespace vanillaferry {

// A router tells one keeper where its streams begin, and that keeper the
// others. Keepers hold it in memory only, so a keeper that started later is
// told again what its former run knew.

/// A stream that a keeper was told of.
struct ToldStream {
  StreamOrigin m_Origin;
  Millis m_At;
};

struct StreamNews {
  /// Not told yet, in order.
  std::vector<StreamOrigin> m_New;
  /// Told within RetellTime.
  std::deque<ToldStream> m_Told;
  /// Told to a former run of the keeper.
  std::vector<StreamOrigin> m_Again;
};

/// What is told at once.
struct StreamNewsBatch {
  std::vector<StreamOrigin> m_New;
  std::vector<StreamOrigin> m_Again;
};

/// Bounds one report; streams beyond it are known to this router only.
constexpr std::size_t MaxStreamNews = 4096;
/// Streams told again in one batch. After all keepers have ended, all routers
/// tell theirs at once over links that heartbeats share.
constexpr std::size_t MaxToldAgain = 16;
/// A keeper that ended or was silent may not have passed on what it was told
/// within this time.
constexpr Millis RetellTime{3000};

void addStreamNews(StreamNews &News, const StreamOrigin &Origin);

/// Another keeper, or a new run of it, takes the news from now on. Forgotten
/// holds the streams that it was told of before it started.
void beginTelling(StreamNews &News, std::vector<StreamOrigin> Forgotten);

StreamNewsBatch takeStreamNews(StreamNews &News, Millis Now);

/// True when a keeper that has run since this time may lack streams that are
/// recorded elsewhere. Earlier builds state no time.
bool mayLackStreams(std::optional<Millis> RunsSince, Millis Now);

} // namespace vanillaferry
