#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaferry::standin {

/// A load generator that checks every answer.
struct LoadOptions {
  /// HTTP URLs of routers, used in turn as a balancer would.
  std::vector<std::string> m_Routers;
  std::string m_ApiKey;
  std::string m_Model;
  std::uint32_t m_Chats = 100;
  double m_RequestsPerSecond = 20;
  double m_Seconds = 10;
  std::uint32_t m_MaxTokens = 32;
  /// Turns after which a chat starts anew.
  std::uint32_t m_Turns = 6;
  std::uint64_t m_Seed = 1;
  /// History file (docs/history.md); empty for none.
  std::string m_History;
  /// Share of requests sent with batch priority.
  double m_BatchShare = 0.2;
  /// Seconds at the start whose requests are checked but not counted in reuse
  /// and first-event times.
  double m_WarmUpSeconds = 0;
  /// Seconds that a chat rests at least between two turns.
  double m_MinPauseSeconds = 0;
  /// Engines whose load is sampled for the skew; empty for none.
  std::vector<std::string> m_Engines;
  /// Router answers 503 with not_run: try the next router this often.
  std::uint32_t m_Retries = 0;
};

/// Prints one JSON object; exit code 1 when an answer was lost or wrong.
int runLoad(const LoadOptions &Options);

} // namespace vanillaferry::standin
