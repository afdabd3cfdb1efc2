#include "process/log.hpp"

#include "process/clock.hpp"

#include <algorithm>
#include <cctype>
#include <climits>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace vanillaferry {

namespace {

/// Bounds of what one process writes to standard output.
constexpr std::int64_t LinesPerSecond = 600;
constexpr std::int64_t LineBurst = 1200;
constexpr std::int64_t MillisPerSecond = 1000;

/// Writes lines to standard output within a budget and never waits: a line is
/// dropped and counted when the budget is spent or the reader is behind.
class OutputAppender : public log4cplus::Appender {
public:
  ~OutputAppender() override { destructorImpl(); }
  void close() override {}

  /// Lines dropped since the last call.
  std::uint64_t takeDropped() { return std::exchange(m_Dropped, 0); }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Line) override {
    refill();
    std::string Text = Line.getMessage() + "\n";
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    // A pipe that is writable takes PIPE_BUF bytes without waiting.
    bool Fits = m_Budget > 0 && Text.size() <= PIPE_BUF &&
                ::poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT);
    if (!Fits || ::write(STDOUT_FILENO, Text.data(), Text.size()) < 0) {
      ++m_Dropped;
      return;
    }
    --m_Budget;
  }

private:
  void refill() {
    Millis Now = monotonicNow();
    std::int64_t New =
        (Now - m_Filled).m_Value * LinesPerSecond / MillisPerSecond;
    if (New <= 0)
      return;
    m_Budget = std::min(LineBurst, m_Budget + New);
    m_Filled = Now;
  }

  std::int64_t m_Budget = LineBurst;
  Millis m_Filled = monotonicNow();
  std::uint64_t m_Dropped = 0;
};

struct LogState {
  log4cplus::Initializer m_Initializer;
  log4cplus::Logger m_Logger;
  bool m_Json = false;
  /// Present while lines go to standard output.
  OutputAppender *m_Output = nullptr;
  std::string m_Process;

  LogState() : m_Logger(log4cplus::Logger::getInstance("vanillaferry")) {
    m_Logger.setAdditivity(false);
    attach(log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(true, true)));
  }

  void attach(log4cplus::SharedAppenderPtr Appender) {
    Appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    m_Logger.removeAllAppenders();
    m_Output = nullptr;
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

std::string lineOf(const LogState &State, const EventRow &Row,
                   const std::vector<LogField> &Fields) {
  return State.m_Json ? jsonLine(Row, State.m_Process, Fields)
                      : textLine(Row, State.m_Process, Fields);
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
  if (Options.m_File == "-") {
    OutputAppender *Output = new OutputAppender;
    State.attach(log4cplus::SharedAppenderPtr(Output));
    State.m_Output = Output;
  } else if (!Options.m_File.empty())
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
  State.m_Logger.log(Level, lineOf(State, Row, Fields));
  std::uint64_t Dropped = State.m_Output ? State.m_Output->takeDropped() : 0;
  if (Dropped > 0)
    State.m_Logger.log(Level, lineOf(State, rowOf(Event::LogLinesDropped),
                                     {{"lines", Dropped}}));
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
