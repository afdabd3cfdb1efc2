#include "vanillaferry/process/history.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace vanillaferry {

namespace {

using nlohmann::json;

/// Reads the fields of one line and keeps the first error.
struct LineReader {
  const json &m_Object;
  std::string m_Fault;

  void fault(const char *Field, const char *Expected) {
    if (m_Fault.empty())
      m_Fault = std::string("field \"") + Field + "\": expected " + Expected;
  }
  const json *find(const char *Field) const {
    json::const_iterator Found = m_Object.find(Field);
    return Found == m_Object.end() || Found->is_null() ? nullptr : &*Found;
  }
  std::string optionalText(const char *Field) {
    const json *Value = find(Field);
    if (!Value)
      return std::string();
    if (!Value->is_string()) {
      fault(Field, "a text");
      return std::string();
    }
    return Value->get<std::string>();
  }
  std::string text(const char *Field) {
    std::string Value = optionalText(Field);
    if (Value.empty())
      fault(Field, "a text that is not empty");
    return Value;
  }
  std::uint64_t number(const char *Field) {
    const json *Value = find(Field);
    if (!Value || !Value->is_number_unsigned()) {
      fault(Field, "a whole number from 0");
      return 0;
    }
    return Value->get<std::uint64_t>();
  }
  HistoryTime time(const char *Field) {
    const json *Value = find(Field);
    if (!Value || !Value->is_number() || !std::isfinite(Value->get<double>())) {
      fault(Field, "a time in milliseconds");
      return 0;
    }
    return Value->get<double>();
  }
  bool flag(const char *Field) {
    const json *Value = find(Field);
    if (Value && !Value->is_boolean())
      fault(Field, "true or false");
    return Value && Value->is_boolean() && Value->get<bool>();
  }
  void span(HistoryTime &Start, HistoryTime &End) {
    Start = time("start");
    End = time("end");
    if (End < Start)
      fault("end", "a time that is not before \"start\"");
  }
};

HistoryEvent readEdit(LineReader &Line) {
  HistoryEdit Edit;
  Edit.m_Section = Line.text("section");
  Edit.m_EditId = Line.text("edit_id");
  Edit.m_Expected = Line.number("expected");
  Edit.m_Content = Line.optionalText("content");
  std::string Result = Line.text("result");
  if (Result == "unknown") {
    Edit.m_Start = Line.time("start");
    return Edit;
  }
  Line.span(Edit.m_Start, Edit.m_End);
  if (Result == "edit_id_reused") {
    Edit.m_Outcome = EditOutcome::IdReused;
    return Edit;
  }
  Edit.m_Version = Line.number("version");
  if (Result == "accepted")
    Edit.m_Outcome = EditOutcome::Accepted;
  else if (Result == "conflict")
    Edit.m_Outcome = EditOutcome::Conflict;
  else
    Line.fault("result", "accepted, conflict, edit_id_reused or unknown");
  return Edit;
}

HistoryEvent readRead(LineReader &Line) {
  HistoryRead Read;
  Read.m_Section = Line.text("section");
  Line.span(Read.m_Start, Read.m_End);
  Read.m_Version = Line.number("version");
  Read.m_Content = Line.optionalText("content");
  return Read;
}

HistoryEvent readRouterVersion(LineReader &Line) {
  HistoryRouterVersion Seen;
  Seen.m_Router = Line.text("router");
  Seen.m_Incarnation = Line.text("incarnation");
  Seen.m_Time = Line.time("time");
  Seen.m_Version = Line.number("version");
  Seen.m_Ready = Line.flag("ready");
  return Seen;
}

HistoryEvent readCall(LineReader &Line) {
  HistoryCall Call;
  Call.m_Request = Line.text("request");
  Call.m_Key = Line.optionalText("key");
  Call.m_Sent = Line.optionalText("sent");
  Call.m_Received = Line.optionalText("received");
  Line.span(Call.m_Start, Call.m_End);
  Call.m_Complete = Line.flag("complete");
  Call.m_NotRun = Line.flag("not_run");
  std::string Outcome = Line.text("outcome");
  if (Outcome == "answer")
    Call.m_Outcome = HistoryCallEnd::Answer;
  else if (Outcome == "refused")
    Call.m_Outcome = HistoryCallEnd::Refused;
  else if (Outcome != "nothing")
    Line.fault("outcome", "answer, refused or nothing");
  return Call;
}

HistoryEvent readRun(LineReader &Line) {
  HistoryRun Run;
  Run.m_Target = Line.text("target");
  Run.m_Request = Line.text("request");
  Run.m_Key = Line.optionalText("key");
  Run.m_Time = Line.time("time");
  return Run;
}

HistoryEvent readService(LineReader &Line, bool In) {
  HistoryServiceChange Change;
  Change.m_InService = In;
  Change.m_IsZone = Line.find("zone") != nullptr;
  Change.m_Id = Line.text(Change.m_IsZone ? "zone" : "vm");
  Change.m_Time = Line.time("time");
  return Change;
}

HistoryEvent readEvent(LineReader &Line) {
  std::string Kind = Line.text("op");
  if (Kind == "edit")
    return readEdit(Line);
  if (Kind == "read")
    return readRead(Line);
  if (Kind == "router_version")
    return readRouterVersion(Line);
  if (Kind == "in_force")
    return HistoryInForce{Line.time("time"), Line.number("version")};
  if (Kind == "call")
    return readCall(Line);
  if (Kind == "run")
    return readRun(Line);
  if (Kind == "target")
    return HistoryTarget{Line.text("target"), Line.text("zone"),
                         Line.text("vm")};
  if (Kind == "out" || Kind == "in")
    return readService(Line, Kind == "in");
  Line.fault("op", "edit, read, router_version, in_force, call, run, target, "
                   "out or in");
  return HistoryInForce();
}

} // namespace

Result<History> parseHistory(const std::string &Text) {
  History Lines;
  std::istringstream Input(Text);
  std::string Line;
  std::size_t Number = 0;
  while (std::getline(Input, Line)) {
    ++Number;
    if (Line.empty())
      continue;
    json Value = json::parse(Line, nullptr, false);
    LineReader Reader{Value, std::string()};
    if (Value.is_object()) {
      HistoryEvent Event = readEvent(Reader);
      Lines.push_back({Number, Line, std::move(Event)});
    } else {
      Reader.m_Fault = "expected a JSON object";
    }
    if (!Reader.m_Fault.empty())
      return makeError(ErrorCode::Malformed, "line " + std::to_string(Number) +
                                                 ": " + Reader.m_Fault);
  }
  return Lines;
}

const char *historyRuleName(HistoryRule Rule) {
  switch (Rule) {
  case HistoryRule::SectionRegister:
    return "section_register";
  case HistoryRule::RouterVersion:
    return "router_version";
  case HistoryRule::InForce:
    return "in_force";
  case HistoryRule::OneRunPerKey:
    return "one_run_per_key";
  case HistoryRule::NotRunIsTrue:
    return "not_run_is_true";
  case HistoryRule::OutOfService:
    return "out_of_service";
  case HistoryRule::AnswerMissing:
    return "answer_missing";
  case HistoryRule::AnswerMixedUp:
    return "answer_mixed_up";
  }
  return "unknown";
}

} // namespace vanillaferry
