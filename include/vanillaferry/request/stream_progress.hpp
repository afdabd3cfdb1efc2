#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <optional>

namespace vanillaferry {

/// What has arrived of one answer. Offsets count events from 0.
struct StreamProgress {
  RequestId m_Request;
  Attempt m_Attempt{1};
  /// Next offset to pass on to the caller.
  std::uint64_t m_Next = 0;
  std::optional<std::uint64_t> m_Total;
  Millis m_LastProgress;
};

enum class ChunkVerdict : std::uint8_t {
  /// Pass on the events from m_Skip on.
  Accept,
  /// The caller has all of these events.
  Duplicate,
  /// From an earlier attempt or another request.
  Late,
  /// Events are missing before this chunk; resume at m_ResumeAt.
  Gap,
  /// Behind the stated end of the answer.
  BeyondEnd,
};

struct ChunkDecision {
  ChunkVerdict m_Verdict = ChunkVerdict::Accept;
  /// Events at the chunk's start that the caller already has.
  std::uint32_t m_Skip = 0;
  std::uint64_t m_ResumeAt = 0;
};

/// Decides on a chunk of Count events at Offset and advances on Accept.
ChunkDecision handleChunk(StreamProgress &Progress, const RequestId &Request,
                          Attempt Try, std::uint64_t Offset,
                          std::uint32_t Count, Millis Now);

enum class EndVerdict : std::uint8_t { Complete, Late, Incomplete };

/// Takes the end of an answer that has this many events in total.
EndVerdict handleStreamEnd(StreamProgress &Progress, const RequestId &Request,
                           Attempt Try, std::uint64_t Events, Millis Now);

/// Starts the next attempt; chunks of earlier ones are late from now on.
/// Returns the offset to resume at.
std::uint64_t nextAttempt(StreamProgress &Progress, Millis Now);

/// True when nothing arrived for the silence limit.
bool streamSilent(const StreamProgress &Progress, Millis Silence, Millis Now);

} // namespace vanillaferry
