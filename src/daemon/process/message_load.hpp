#pragma once

#include "process/metrics.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace vanillaferry {

/// What the messages of one kind took since the last report.
struct KindLoad {
  std::uint64_t m_Count = 0;
  std::uint64_t m_Micros = 0;
};

/// How long messages wait for a task and what their handling takes, by kind.
struct MessageLoad {
  /// By the name of the message's type.
  std::map<std::string, KindLoad> m_Kinds;
  Millis m_LongestWait;
  /// Messages dropped since the last report because too many waited.
  std::uint64_t m_Dropped = 0;
  Millis m_NextReport;
};

/// Records a handled message, also in the metrics.
void recordMessage(MessageLoad &Load, Metrics &M, const char *Kind,
                   Millis Waited, std::uint64_t Micros);

/// Logs once a second what took the time while messages wait for long or are
/// dropped.
void reportMessageLoad(MessageLoad &Load, Millis Now);

/// The kinds that took most of the time, as "Kind COUNT in MS ms".
std::string busiestKinds(const MessageLoad &Load);

} // namespace vanillaferry
