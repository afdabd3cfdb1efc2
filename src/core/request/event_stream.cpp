#include "vanillaferry/request/event_stream.hpp"

#include <charconv>
#include <string_view>

namespace vanillaferry {

namespace {

constexpr std::string_view IdField = "id:";

/// Length of the first event with its empty line; 0 when it is incomplete.
std::size_t eventLength(std::string_view Text) {
  std::size_t LineStart = 0;
  while (true) {
    std::size_t End = Text.find('\n', LineStart);
    if (End == std::string_view::npos)
      return 0;
    std::size_t Length = End - LineStart;
    if (Length == 0 || (Length == 1 && Text[LineStart] == '\r'))
      return End + 1;
    LineStart = End + 1;
  }
}

void updateLastId(EventSplitter &Splitter, std::string_view Event) {
  while (!Event.empty()) {
    std::size_t End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(End == std::string_view::npos ? Event.size() : End + 1);
    if (Line.substr(0, IdField.size()) != IdField)
      continue;
    Line.remove_prefix(IdField.size());
    while (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    std::uint64_t Id = 0;
    std::from_chars_result Read =
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    if (Read.ec == std::errc())
      Splitter.m_LastId = Id;
  }
}

} // namespace

std::string extractEvents(EventSplitter &Splitter, const char *Data,
                          std::size_t Size) {
  Splitter.m_Rest.append(Data, Size);
  std::string_view Rest = Splitter.m_Rest;
  std::size_t CompleteSize = 0;
  while (std::size_t Length = eventLength(Rest.substr(CompleteSize))) {
    updateLastId(Splitter, Rest.substr(CompleteSize, Length));
    CompleteSize += Length;
  }
  std::string Events = Splitter.m_Rest.substr(0, CompleteSize);
  Splitter.m_Rest.erase(0, CompleteSize);
  return Events;
}

} // namespace vanillaferry
