#pragma once

#include "vanillaferry/process/units.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace vanillaferry {

/// Bounds of the copies from one leaving target.
struct ExportOptions {
  std::size_t m_MaxChats = 256;
  /// Time between two starts of copies.
  Millis m_Spacing{50};
  std::uint32_t m_MaxRunning = 4;
  /// No copy starts later than this after the target left the view; a VM that
  /// leaves may be gone after about that time.
  Millis m_Limit{20000};
  /// Failures in a row after which the rest is given up.
  std::uint32_t m_MaxFailures = 3;
};

/// Copies of the chats of one target that has left the view.
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

/// The chat to copy now; empty when none may start yet or any more. The caller
/// calls noteCopied or noteAbsent once for each.
std::optional<std::uint64_t> nextCopy(PrefixExport &Export, Millis Now);

void noteCopied(PrefixExport &Export, bool Copied);

/// The source does not hold the chat, for example because its first turn still
/// runs. This is no sign of a target that has stopped exporting.
void noteAbsent(PrefixExport &Export);

/// True when no copy runs and none will start.
bool exportEnded(const PrefixExport &Export, Millis Now);

} // namespace vanillaferry
