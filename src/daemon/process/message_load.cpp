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

} // namespace

void recordMessage(MessageLoad &Load, Metrics &M, const char *Kind,
                   Millis Waited, std::uint64_t Micros) {
  KindLoad &Row = Load.m_Kinds[Kind];
  ++Row.m_Count;
  Row.m_Micros += Micros;
  Load.m_LongestWait = std::max(Load.m_LongestWait, Waited);
  std::string Label = std::string("{kind=\"") + Kind + "\"}";
  addCounter(M, "vanillaferry_messages_handled_total" + Label);
  addCounter(M, "vanillaferry_message_handling_us_total" + Label, Micros);
  setGauge(M, "vanillaferry_message_wait_ms",
           static_cast<double>(Waited.m_Value));
}

std::string busiestKinds(const MessageLoad &Load) {
  std::vector<std::pair<std::string, KindLoad>> Rows(Load.m_Kinds.begin(),
                                                     Load.m_Kinds.end());
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

void reportMessageLoad(MessageLoad &Load, Millis Now) {
  if (Now < Load.m_NextReport)
    return;
  Load.m_NextReport = Now + ReportInterval;
  if (Load.m_LongestWait >= LongWait || Load.m_Dropped > 0)
    logEvent(Event::MessagesWait,
             {{"longest_wait_ms", Load.m_LongestWait.m_Value},
              {"dropped", Load.m_Dropped},
              {"busiest", busiestKinds(Load)}});
  Load.m_Kinds.clear();
  Load.m_LongestWait = Millis(0);
  Load.m_Dropped = 0;
}

} // namespace vanillaferry
