#include "process/message_load.hpp"

#include "process/log.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace vanillaferry {

namespace {

constexpr Millis ReportInterval{1000};
/// A shorter wait delays no lease and no change.
constexpr Millis LongWait{250};
constexpr std::size_t MaxKindsReported = 4;
constexpr std::uint64_t MicrosPerMilli = 1000;

/// The kinds that took most of the time, as "Kind COUNT in MS ms".
std::string busiestKinds(const MessageLoad &Load) {
  std::vector<std::pair<std::string, KindLoad>> Rows;
  for (const std::pair<const std::string, KindLoad> &Row : Load.m_Kinds)
    if (Row.second.m_Count > 0)
      Rows.push_back(Row);
  std::sort(Rows.begin(), Rows.end(),
            [](const std::pair<std::string, KindLoad> &A,
               const std::pair<std::string, KindLoad> &B) {
              return A.second.m_Micros > B.second.m_Micros;
            });
  Rows.resize(std::min(Rows.size(), MaxKindsReported));
  std::string Text;
  for (const std::pair<std::string, KindLoad> &Row : Rows)
    Text += (Text.empty() ? "" : ", ") + Row.first + " " +
            std::to_string(Row.second.m_Count) + " in " +
            std::to_string(Row.second.m_Micros / MicrosPerMilli) + " ms";
  return Text;
}

void resetReported(MessageLoad &Load) {
  for (std::pair<const std::string, KindLoad> &Row : Load.m_Kinds) {
    Row.second.m_Count = 0;
    Row.second.m_Micros = 0;
  }
  Load.m_LongestWait = Millis(0);
  Load.m_Dropped = 0;
}

} // namespace

void recordMessage(MessageLoad &Load, const char *Kind, Millis Waited,
                   std::uint64_t Micros) {
  std::map<std::string, KindLoad, std::less<>>::iterator Found =
      Load.m_Kinds.find(Kind);
  if (Found == Load.m_Kinds.end())
    Found = Load.m_Kinds.emplace(Kind, KindLoad()).first;
  KindLoad &Row = Found->second;
  ++Row.m_Count;
  ++Row.m_TotalCount;
  Row.m_Micros += Micros;
  Row.m_TotalMicros += Micros;
  Load.m_LastWait = Waited;
  Load.m_LongestWait = std::max(Load.m_LongestWait, Waited);
}

void reportMessageLoad(MessageLoad &Load, Millis Now) {
  if (Now < Load.m_NextReport)
    return;
  Load.m_NextReport = Now + ReportInterval;
  if (Load.m_LongestWait >= LongWait || Load.m_Dropped > 0)
    logEvent(Event::MessagesWait,
             {{"longest_wait_ms", Load.m_LongestWait.m_Value},
              {"dropped", Load.m_Dropped},
              {"busiest", busiestKinds(Load)}});
  resetReported(Load);
}

void setMessageCounters(Metrics &M, const MessageLoad &Load) {
  for (const std::pair<const std::string, KindLoad> &Row : Load.m_Kinds) {
    std::string Label = "{kind=\"" + Row.first + "\"}";
    M.m_Counters["vanillaferry_messages_handled_total" + Label] =
        Row.second.m_TotalCount;
    M.m_Counters["vanillaferry_message_handling_us_total" + Label] =
        Row.second.m_TotalMicros;
  }
  setGauge(M, "vanillaferry_message_wait_ms",
           static_cast<double>(Load.m_LastWait.m_Value));
}

} // namespace vanillaferry
