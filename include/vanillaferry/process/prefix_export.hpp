#pragma once

#include "vanillaferry/process/units.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace vanillaferry {

/// Limits for copying chats from one leaving target.
struct ExportOptions {
  std::size_t m_MaxChats = 256;
  /// Least time between the starts of two copies.
  Millis m_Spacing{50};
  std::uint32_t m_MaxRunning = 4;
  /// No copy starts later than this after the target left the pool's view; its
  /// VM may be gone after about that time.
  Millis m_Limit{20000};
  /// Consecutive failures after which the export is abandoned.
  std::uint32_t m_MaxFailures = 3;
};

/// Export of the chats of one target that has left the pool's view.
struct PrefixExport {
  ExportOptions m_Options;
  /// Most recently used first.
  std::vector<std::uint64_t> m_Chats;
  std::size_t m_Next = 0;
  Millis m_Until;
  Millis m_NextStart;
  std::uint32_t m_Running = 0;
  std::uint32_t m_FailuresInRow = 0;
  std::uint32_t m_Copied = 0;
  std::uint32_t m_Failed = 0;
};

PrefixExport beginExport(std::vector<std::uint64_t> Chats,
                         const ExportOptions &Options, Millis Now);

/// The chat to copy now; empty when no copy may start now. The caller calls
/// noteCopied or noteAbsent once for each.
std::optional<std::uint64_t> nextCopy(PrefixExport &Export, Millis Now);

void noteCopied(PrefixExport &Export, bool Copied);

/// The source does not hold the chat, for example because its first turn still
/// runs. This does not count as a failure of the target.
void noteAbsent(PrefixExport &Export);

/// True when no copy is running and none will start.
bool exportEnded(const PrefixExport &Export, Millis Now);

} // namespace vanillaferry
