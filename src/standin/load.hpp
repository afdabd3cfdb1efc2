#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaferry::standin {

/// Options of a load generator that checks every answer.
struct LoadOptions {
  /// HTTP URLs of routers, used round-robin like behind a load balancer.
  std::vector<std::string> m_Routers;
  std::string m_ApiKey;
  std::string m_Model;
  std::uint32_t m_Chats = 100;
  double m_RequestsPerSecond = 20;
  double m_Seconds = 10;
  std::uint32_t m_MaxTokens = 32;
  /// Turns after which a chat is replaced by a new one.
  std::uint32_t m_Turns = 6;
  std::uint64_t m_Seed = 1;
  /// History file (docs/history.md); empty for none.
  std::string m_History;
  /// Share of requests sent with batch priority.
  double m_BatchShare = 0.2;
  /// Requests of this many seconds at the start are checked, but not counted in
  /// cache reuse and first-event times.
  double m_WarmUpSeconds = 0;
  /// Minimum time between two turns of a chat.
  double m_MinPauseSeconds = 0;
  /// URLs of engines whose load is sampled for the skew (highest load over mean
  /// load); empty for none.
  std::vector<std::string> m_Engines;
  /// Retries of a request at the next router, when a router refuses it with
  /// not_run or cannot be reached.
  std::uint32_t m_Retries = 0;
};

/// Prints the result as one JSON object. Returns the exit code: 1 when an
/// answer was lost or wrong.
int runLoad(const LoadOptions &Options);

} // namespace vanillaferry::standin
