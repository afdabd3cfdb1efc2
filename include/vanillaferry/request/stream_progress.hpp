#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <optional>

namespace vanillaferry {

/// Pause between two events after which a stream that may be resumed is
/// continued at another target. Callers leave after twice this time. Only whole
/// events count: a target that sends single bytes makes no progress.
Millis streamPauseLimit(Millis Objective, Millis LongestPause);

/// Progress of one streamed answer at the receiver. Offsets count events from
/// 0.
struct StreamProgress {
  RequestId m_Request;
  Attempt m_Attempt{1};
  /// Offset of the next event to pass on to the caller.
  std::uint64_t m_Next = 0;
  /// Number of events in the answer, once its end was received.
  std::optional<std::uint64_t> m_Total;
  Millis m_LastProgress;
};

enum class ChunkVerdict : std::uint8_t {
  /// Pass on the events from m_Skip on.
  Accept,
  /// The caller already has all of these events.
  Duplicate,
  /// From an earlier attempt or another request.
  Late,
  /// Events are missing before this chunk; resume at m_ResumeAt.
  Gap,
  /// Extends beyond the stated end of the answer.
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

/// Handles the end of an answer that has this many events in total.
EndVerdict handleStreamEnd(StreamProgress &Progress, const RequestId &Request,
                           Attempt Try, std::uint64_t Events, Millis Now);

/// Starts the next attempt; chunks of earlier ones are Late from now on.
/// Returns the offset to resume at.
std::uint64_t nextAttempt(StreamProgress &Progress, Millis Now);

/// True when nothing has arrived for the time Silence.
bool streamSilent(const StreamProgress &Progress, Millis Silence, Millis Now);

} // namespace vanillaferry
