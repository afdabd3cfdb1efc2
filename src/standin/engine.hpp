#pragma once

#include <cstdint>
#include <string>

namespace vanillaferry::standin {

/// Options of an emulated model engine.
struct EngineOptions {
  std::string m_Name = "engine";
  std::uint16_t m_Port = 0;
  std::uint32_t m_TokenIntervalMs = 5;
  std::uint32_t m_FirstTokenMs = 20;
  /// Extra first-token time for each prompt token that is not cached, in
  /// microseconds.
  std::uint32_t m_PrefillUsPerToken = 100;
  std::uint64_t m_CacheTokens = 200000;
  /// Concurrent requests that the engine sustains while cold; one more makes it
  /// restart and drop all requests and its cache. 0 for no cold start.
  std::uint32_t m_ColdLimit = 0;
  /// Completed requests after which the engine is warm.
  std::uint32_t m_WarmAfter = 10;
  /// Factor of the first-token time while cold.
  std::uint32_t m_ColdSlowdown = 6;
  /// Refuse orders with a lower fencing token than an earlier one.
  bool m_ChecksFencing = true;
  /// Age of the load that /load reports.
  std::uint32_t m_ReportLagMs = 0;
  /// Delay until a cache event is reported.
  std::uint32_t m_EventLagMs = 0;
  /// Every Nth cache event is dropped; 0 for none.
  std::uint32_t m_EventLoss = 0;
  /// Time to copy a prefix from another engine.
  std::uint32_t m_CopyMs = 20;
  /// File to which "run" lines of a history are appended; empty for none.
  std::string m_Record;
  /// The process ends as it begins to write an answer to messages of which one
  /// before the last contains this text; empty for never.
  std::string m_CrashOn;
  /// Likewise, for a text in the last message.
  std::string m_CrashOnLast;
  /// A stream without a connection is cancelled after this time.
  std::uint32_t m_ResumeWindowMs = 10000;
};

int runEngine(const EngineOptions &Options);

} // namespace vanillaferry::standin
