#pragma once

#include "process/metrics.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace vanillaferry {

/// What the messages of one kind took, since the last report and in all.
struct KindLoad {
  std::uint64_t m_Count = 0;
  std::uint64_t m_Micros = 0;
  std::uint64_t m_TotalCount = 0;
  std::uint64_t m_TotalMicros = 0;
};

/// How long messages wait for a task and what their handling takes, by kind.
struct MessageLoad {
  /// By the name of the message's type.
  std::map<std::string, KindLoad, std::less<>> m_Kinds;
  Millis m_LastWait;
  Millis m_LongestWait;
  /// Messages dropped since the last report because too many waited.
  std::uint64_t m_Dropped = 0;
  Millis m_NextReport;
};

/// Records a handled message.
void recordMessage(MessageLoad &Load, const char *Kind, Millis Waited,
                   std::uint64_t Micros);

/// Logs once a second what took the time while messages wait for long or are
/// dropped.
void reportMessageLoad(MessageLoad &Load, Millis Now);

/// Writes the totals into the metrics, before they are rendered.
void setMessageCounters(Metrics &M, const MessageLoad &Load);

} // namespace vanillaferry
