#include "vanillaferry/request/stream_progress.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// Half of the pauses after which callers leave: 2 s, four times the latency
/// objective or eight times the longest pause, whichever is longest.
constexpr Millis MinPauseLimit{1000};
constexpr std::int64_t ObjectiveFactor = 2;
constexpr std::int64_t PauseFactor = 4;

bool isLate(const StreamProgress &Progress, const RequestId &Request,
            Attempt Try) {
  return Request != Progress.m_Request || Try != Progress.m_Attempt;
}

} // namespace

Millis streamPauseLimit(Millis Objective, Millis LongestPause) {
  return std::max({MinPauseLimit, Millis(Objective.m_Value * ObjectiveFactor),
                   Millis(LongestPause.m_Value * PauseFactor)});
}

ChunkDecision handleChunk(StreamProgress &Progress, const RequestId &Request,
                          Attempt Try, std::uint64_t Offset,
                          std::uint32_t Count, Millis Now) {
  ChunkDecision Decision;
  Decision.m_ResumeAt = Progress.m_Next;
  if (isLate(Progress, Request, Try)) {
    Decision.m_Verdict = ChunkVerdict::Late;
    return Decision;
  }
  Progress.m_LastProgress = Now;
  std::uint64_t End = Offset + Count;
  if (Progress.m_Total && End > *Progress.m_Total) {
    Decision.m_Verdict = ChunkVerdict::BeyondEnd;
    return Decision;
  }
  if (Offset > Progress.m_Next) {
    Decision.m_Verdict = ChunkVerdict::Gap;
    return Decision;
  }
  if (End <= Progress.m_Next) {
    Decision.m_Verdict = ChunkVerdict::Duplicate;
    return Decision;
  }
  Decision.m_Skip = static_cast<std::uint32_t>(Progress.m_Next - Offset);
  Progress.m_Next = End;
  Decision.m_ResumeAt = End;
  return Decision;
}

EndVerdict handleStreamEnd(StreamProgress &Progress, const RequestId &Request,
                           Attempt Try, std::uint64_t Events, Millis Now) {
  if (isLate(Progress, Request, Try))
    return EndVerdict::Late;
  Progress.m_LastProgress = Now;
  Progress.m_Total = Events;
  return Progress.m_Next == Events ? EndVerdict::Complete
                                   : EndVerdict::Incomplete;
}

std::uint64_t nextAttempt(StreamProgress &Progress, Millis Now) {
  ++Progress.m_Attempt.m_Value;
  Progress.m_Total.reset();
  Progress.m_LastProgress = Now;
  return Progress.m_Next;
}

bool streamSilent(const StreamProgress &Progress, Millis Silence, Millis Now) {
  return Now - Progress.m_LastProgress >= Silence;
}

} // namespace vanillaferry
