#pragma once

#include "vanillaferry/process/result.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace vanillaferry {

/// Numbered log events; docs/events.md describes each.
enum class Event : std::uint16_t {
#define EVENT(Name, Number, Level, Text) Name = Number,
#include "process/events.def"
#undef EVENT
};

/// A field of a log line.
struct LogField {
  const char *m_Name;
  std::string m_Value;

  LogField(const char *Name, std::string Value)
      : m_Name(Name), m_Value(std::move(Value)) {}
  LogField(const char *Name, const char *Value)
      : m_Name(Name), m_Value(Value) {}
  LogField(const char *Name, std::int64_t Value)
      : m_Name(Name), m_Value(std::to_string(Value)) {}
  LogField(const char *Name, std::uint64_t Value)
      : m_Name(Name), m_Value(std::to_string(Value)) {}
  LogField(const char *Name, int Value)
      : m_Name(Name), m_Value(std::to_string(Value)) {}
  LogField(const char *Name, std::uint32_t Value)
      : m_Name(Name), m_Value(std::to_string(Value)) {}
};

struct LogOptions {
  /// "json" (one object a line) or "text".
  std::string m_Format = "text";
  /// "debug", "info", "warn" or "error".
  std::string m_Level = "info";
  /// Empty for standard error; "-" for standard output, bounded in volume and
  /// never waiting for its reader.
  std::string m_File;
  /// Written into every line.
  std::string m_Process;
};

/// Sets up log4cplus; before this call events go to standard error as text.
Status startLog(const LogOptions &Options);

/// Writes one event with its number, name, level, text and fields.
void logEvent(Event What, const std::vector<LogField> &Fields = {});

/// One row of the event catalogue.
struct EventRow {
  Event m_Event;
  const char *m_Name;
  const char *m_Level;
  const char *m_Text;
};
const std::vector<EventRow> &eventCatalogue();

} // namespace vanillaferry
