#pragma once

#include <cstdint>
#include <string>

namespace vanillaferry::standin {

/// An emulated model engine.
struct EngineOptions {
  std::string m_Name = "engine";
  std::uint16_t m_Port = 0;
  std::uint32_t m_TokenIntervalMs = 5;
  std::uint32_t m_FirstTokenMs = 20;
  /// Extra first-token time for each prompt token that is not cached, in
  /// microseconds.
  std::uint32_t m_PrefillUsPerToken = 100;
  std::uint64_t m_CacheTokens = 200000;
  /// Concurrent requests that the engine bears while cold; more make it
  /// restart and drop everything. 0 for no cold start.
  std::uint32_t m_ColdLimit = 0;
  /// Completed requests after which the engine is warm.
  std::uint32_t m_WarmAfter = 10;
  /// First tokens take this many times longer while cold.
  std::uint32_t m_ColdSlowdown = 6;
  bool m_ChecksFencing = true;
  /// Reports by /load are this old.
  std::uint32_t m_ReportLagMs = 0;
  /// Cache events are told this late.
  std::uint32_t m_EventLagMs = 0;
  /// Every Nth cache event is dropped; 0 for none.
  std::uint32_t m_EventLoss = 0;
  /// Time that the copy of a prefix from another engine takes.
  std::uint32_t m_CopyMs = 20;
  /// File for "run" lines of a history; empty for none.
  std::string m_Record;
  /// A stream without a connection is cancelled after this time.
  std::uint32_t m_ResumeWindowMs = 10000;
};

int runEngine(const EngineOptions &Options);

} // namespace vanillaferry::standin
