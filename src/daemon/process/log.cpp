#include "process/log.hpp"

#include "process/clock.hpp"

#include <cctype>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

struct LogState {
  log4cplus::Initializer m_Initializer;
  log4cplus::Logger m_Logger;
  bool m_Json = false;
  std::string m_Process;

  LogState() : m_Logger(log4cplus::Logger::getInstance("vanillaferry")) {
    m_Logger.setAdditivity(false);
    attach(log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(true, true)));
  }

  void attach(log4cplus::SharedAppenderPtr Appender) {
    Appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    m_Logger.removeAllAppenders();
    m_Logger.addAppender(Appender);
  }
};

LogState &logState() {
  static LogState State;
  return State;
}

const EventRow &rowOf(Event What) {
  for (const EventRow &Row : eventCatalogue())
    if (Row.m_Event == What)
      return Row;
  return eventCatalogue().front();
}

int levelOf(const std::string &Name) {
  return log4cplus::getLogLevelManager().fromString(Name);
}

std::string upperCase(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  return Text;
}

std::string jsonLine(const EventRow &Row, const std::string &Process,
                     const std::vector<LogField> &Fields) {
  nlohmann::ordered_json Line;
  Line["time_ms"] = wallNow().m_Value;
  Line["level"] = Row.m_Level;
  Line["event"] = static_cast<int>(Row.m_Event);
  Line["name"] = Row.m_Name;
  Line["process"] = Process;
  Line["text"] = Row.m_Text;
  for (const LogField &Field : Fields)
    Line[Field.m_Name] = Field.m_Value;
  return Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string textLine(const EventRow &Row, const std::string &Process,
                     const std::vector<LogField> &Fields) {
  std::string Line = std::to_string(wallNow().m_Value) + " " + Row.m_Level +
                     " " + std::to_string(static_cast<int>(Row.m_Event)) + " ";
  if (!Process.empty())
    Line += Process + ": ";
  Line += Row.m_Text;
  for (const LogField &Field : Fields)
    Line += std::string(" ") + Field.m_Name + "=" + Field.m_Value;
  return Line;
}

} // namespace

Status startLog(const LogOptions &Options) {
  LogState &State = logState();
  int Level = levelOf(upperCase(Options.m_Level));
  if (Level == log4cplus::NOT_SET_LOG_LEVEL)
    return makeError(ErrorCode::InvalidSettings,
                     "log level '" + Options.m_Level +
                         "' is not debug, info, warn or error");
  State.m_Json = Options.m_Format == "json";
  State.m_Process = Options.m_Process;
  State.m_Logger.setLogLevel(Level);
  if (!Options.m_File.empty())
    State.attach(log4cplus::SharedAppenderPtr(
        new log4cplus::FileAppender(Options.m_File, std::ios_base::app, true)));
  return boost::outcome_v2::success();
}

void logEvent(Event What, const std::vector<LogField> &Fields) {
  LogState &State = logState();
  const EventRow &Row = rowOf(What);
  int Level = levelOf(Row.m_Level);
  if (!State.m_Logger.isEnabledFor(Level))
    return;
  State.m_Logger.log(Level, State.m_Json
                                ? jsonLine(Row, State.m_Process, Fields)
                                : textLine(Row, State.m_Process, Fields));
}

const std::vector<EventRow> &eventCatalogue() {
  static const std::vector<EventRow> Rows = {
#define EVENT(Name, Number, Level, Text) {Event::Name, #Name, #Level, Text},
#include "process/events.def"
#undef EVENT
  };
  return Rows;
}

} // namespace vanillaferry
