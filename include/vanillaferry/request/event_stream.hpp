#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace vanillaferry {

/// Splits a text/event-stream into complete events, so that a stream that
/// breaks inside an event can be resumed after the last complete one.
struct EventSplitter {
  /// Received bytes of an incomplete event.
  std::string m_Rest;
  /// Id of the last complete event that had one.
  std::optional<std::uint64_t> m_LastId;
};

/// Appends bytes of the stream and returns the events that are complete. Events
/// end with an empty line.
std::string extractEvents(EventSplitter &Splitter, const char *Data,
                          std::size_t Size);

} // namespace vanillaferry
