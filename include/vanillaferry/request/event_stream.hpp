#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace vanillaferry {

/// Splits a text/event-stream into whole events, so that a stream that breaks
/// inside an event can go on after the last whole one.
struct EventSplitter {
  std::string m_Rest;
  /// Id of the last whole event that had one.
  std::optional<std::uint64_t> m_LastId;
};

/// Takes bytes of the stream and returns the whole events up to now. Events end
/// with an empty line.
std::string extractEvents(EventSplitter &Splitter, const char *Data,
                          std::size_t Size);

} // namespace vanillaferry
