#include "process/clock.hpp"
#include "process/internal/keeper_api.hpp"
#include "process/log.hpp"
#include "vanillaferry/version/section.hpp"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace vanillaferry::internal {

namespace {

using nlohmann::json;

/// How long an edit's answer waits for all routers. It is above the lease time,
/// so that edits are answered 200 and not 202 after a router has failed.
constexpr Millis InForceLimit{6000};
constexpr Millis MaxInForceWait{60000};
constexpr std::size_t MaxEditIdLength = 128;
/// Sections nest at most 6 levels.
constexpr std::size_t MaxNesting = 32;

json contentOf(const std::string &Text) {
  return json::parse(Text, nullptr, false);
}

json sectionJson(const SectionName &Name, const Section &Content) {
  return {{"section", Name.m_Value},
          {"version", Content.m_Version.m_Value},
          {"document_version", Content.m_Changed.m_Value},
          {"content", contentOf(Content.m_Json)}};
}

json documentJson(const Keeper &Self, bool Confirmed) {
  const Document &Doc = Self.m_State.m_Document;
  json Sections = json::object();
  for (const std::pair<const SectionName, Section> &Row : Doc.m_Sections)
    Sections[Row.first.m_Value] = sectionJson(Row.first, Row.second);
  return {{"version", Doc.m_Version.m_Value},
          {"confirmed", Confirmed},
          {"sections", Sections}};
}

/// Version of an If-Match field, with or without quotes.
std::optional<std::uint64_t> readVersion(std::string Text) {
  if (Text.size() >= 2 && Text.front() == '"' && Text.back() == '"')
    Text = Text.substr(1, Text.size() - 2);
  if (Text.empty() || Text.size() > 19 ||
      Text.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return std::strtoull(Text.c_str(), nullptr, 10);
}

json editJson(const EditAnswer &Answer) {
  return {{"section", Answer.m_Section.m_Value},
          {"version", Answer.m_Version.m_Value},
          {"document_version", Answer.m_Document.m_Value},
          {"edit_id", Answer.m_Edit.m_Value}};
}

Millis waitLimit(const HttpExchange &Exchange) {
  std::optional<std::uint64_t> Wait = readVersion(Exchange.query("wait_ms"));
  if (!Wait)
    return InForceLimit;
  return std::min(Millis(static_cast<std::int64_t>(*Wait)), MaxInForceWait);
}

void answerAccepted(Keeper &Self, const ExchangePtr &Exchange,
                    const EditAnswer &Answer, Millis AcceptedAt) {
  Keeper *Raw = &Self;
  auto OnDone = [Raw, Exchange, Answer, AcceptedAt](bool InForce) {
    Millis Took = monotonicNow() - AcceptedAt;
    json Body = editJson(Answer);
    Body["accepted"] = true;
    Body["in_force"] = InForce;
    if (InForce) {
      Body["in_force_ms"] = Took.m_Value;
      observe(Raw->m_Metrics, "vanillaferry_edit_in_force_seconds",
              static_cast<double>(Took.m_Value) / 1000);
      Exchange->answer(200, Body);
      return;
    }
    Exchange->setHeader(
        "Location", "/in-force/" + std::to_string(Answer.m_Document.m_Value));
    Exchange->answer(202, Body);
  };
  Self.m_InForceWaits.push_back({Answer.m_Document, AcceptedAt,
                                 AcceptedAt + waitLimit(*Exchange), OnDone});
}

void answerConflict(HttpExchange &Exchange, const EditAnswer &Answer) {
  json Body = editJson(Answer);
  bool Reused = Answer.m_Status == EditStatus::EditIdReused;
  Body["accepted"] = false;
  Body["error"] = Reused ? "edit_id_reused" : "conflict";
  Body["message"] = Reused ? "the edit id was used for another edit"
                           : "the section is not at the expected version";
  if (!Reused)
    Body["content"] =
        Answer.m_CurrentJson.empty() ? json() : contentOf(Answer.m_CurrentJson);
  Exchange.answer(409, Body);
}

void onEditApplied(Keeper &Self, const ExchangePtr &Exchange,
                   const EditSection &Edit, const CommandAnswer *Applied) {
  const EditAnswer *Answer =
      Applied ? std::get_if<EditAnswer>(Applied) : nullptr;
  if (!Answer)
    return answerLeaderLost(Self, *Exchange);
  bool Accepted = Answer->m_Status == EditStatus::Accepted;
  addCounter(Self.m_Metrics, std::string("vanillaferry_edits_total{result=\"") +
                                 (Accepted ? "accepted" : "conflict") + "\"}");
  logEvent(Accepted ? Event::KeeperEditAccepted : Event::KeeperEditRefused,
           {{"operator", Edit.m_Operator.m_Value},
            {"section", Edit.m_Section.m_Value},
            {"version", Answer->m_Version.m_Value},
            {"edit", Edit.m_Edit.m_Value}});
  if (Accepted)
    answerAccepted(Self, Exchange, *Answer, monotonicNow());
  else
    answerConflict(*Exchange, *Answer);
}

bool isSection(const std::string &Name) {
  std::vector<SectionName> Names = sectionNames();
  return std::find(Names.begin(), Names.end(), SectionName(Name)) !=
         Names.end();
}

/// Deepest nesting of arrays and objects in a JSON text.
std::size_t nestingDepth(const std::string &Text) {
  std::size_t Depth = 0;
  std::size_t Deepest = 0;
  bool InString = false;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    char C = Text[At];
    if (InString && C == '\\')
      ++At;
    else if (C == '"')
      InString = !InString;
    else if (!InString && (C == '[' || C == '{'))
      Deepest = std::max(Deepest, ++Depth);
    else if (!InString && (C == ']' || C == '}') && Depth > 0)
      --Depth;
  }
  return Deepest;
}

/// Checks an edit against the document as it is now; the log may still hold
/// edits of other sections that are applied first.
std::vector<std::string> editFaults(const Keeper &Self, const std::string &Name,
                                    const std::string &Text) {
  // Copying and printing deeper JSON would exhaust the stack.
  if (nestingDepth(Text) > MaxNesting)
    return {"/: expected at most " + std::to_string(MaxNesting) +
            " levels of arrays and objects"};
  std::map<SectionName, std::string> Current;
  for (const std::pair<const SectionName, Section> &Row :
       Self.m_State.m_Document.m_Sections)
    Current[Row.first] = Row.second.m_Json;
  std::vector<std::string> Faults;
  for (const SectionIssue &Fault :
       checkEdit(Current, SectionName(Name), Text).m_Errors)
    Faults.push_back(issueText(Fault));
  return Faults;
}

/// Reads and checks an edit; answers the operator when it is invalid.
std::optional<EditSection> readEdit(const Keeper &Self, HttpExchange &Exchange,
                                    const std::string &Name) {
  if (!isSection(Name)) {
    answerError(Exchange, 404, "unknown_section",
                "there is no section \"" + Name + "\"");
    return std::nullopt;
  }
  std::optional<std::uint64_t> Expected =
      readVersion(Exchange.header("If-Match"));
  EditId Edit(Exchange.header("X-Edit-Id"));
  if (!Expected || Edit.empty() || Edit.m_Value.size() > MaxEditIdLength) {
    answerError(Exchange, 400, "missing_field",
                "If-Match (the section's version, 0 for a new section) and "
                "X-Edit-Id (at most 128 characters) are needed");
    return std::nullopt;
  }
  std::string Text = Exchange.body();
  // A resent edit gets the first answer, even if it would be invalid together
  // with the present content of the other sections.
  bool Resent = Self.m_State.m_Document.m_Answers.count(Edit) != 0 &&
                nestingDepth(Text) <= MaxNesting && json::accept(Text);
  std::vector<std::string> Faults =
      Resent ? std::vector<std::string>() : editFaults(Self, Name, Text);
  if (!Faults.empty()) {
    Exchange.answer(422, {{"error", "invalid_section"},
                          {"message", "the section's content is invalid"},
                          {"faults", Faults}});
    return std::nullopt;
  }
  EditSection Input;
  Input.m_Edit = Edit;
  Input.m_Section = SectionName(Name);
  Input.m_Expected = SectionVersion(*Expected);
  // Equal contents get the same text, so that a resend that is formatted
  // differently is recognized.
  Input.m_Json = json::parse(Text).dump();
  Input.m_At = wallNow();
  return Input;
}

} // namespace

void getDocument(Keeper &Self, const ExchangePtr &Exchange) {
  Keeper *Raw = &Self;
  // Can be read without a quorum, and may be older than the document in force.
  if (Exchange->query("local") == "1") {
    Exchange->answer(200, documentJson(Self, false));
    return;
  }
  afterConfirmedRead(Self, Exchange, [Raw, Exchange] {
    Exchange->answer(200, documentJson(*Raw, true));
  });
}

void getSection(Keeper &Self, const ExchangePtr &Exchange,
                const std::string &Name) {
  Keeper *Raw = &Self;
  afterConfirmedRead(Self, Exchange, [Raw, Exchange, Name] {
    auto Found = Raw->m_State.m_Document.m_Sections.find(SectionName(Name));
    if (Found == Raw->m_State.m_Document.m_Sections.end()) {
      answerError(*Exchange, 404, "no_content",
                  "section \"" + Name + "\" has no content yet");
      return;
    }
    Exchange->setHeader(
        "ETag", "\"" + std::to_string(Found->second.m_Version.m_Value) + "\"");
    Exchange->answer(200, sectionJson(Found->first, Found->second));
  });
}

void getHistory(Keeper &Self, const ExchangePtr &Exchange,
                const std::string &Name) {
  Keeper *Raw = &Self;
  afterConfirmedRead(Self, Exchange, [Raw, Exchange, Name] {
    json Rows = json::array();
    auto Found = Raw->m_State.m_Document.m_Sections.find(SectionName(Name));
    if (Found != Raw->m_State.m_Document.m_Sections.end())
      for (const SectionRevision &Past : Found->second.m_History)
        Rows.push_back({{"version", Past.m_Version.m_Value},
                        {"document_version", Past.m_Document.m_Value},
                        {"operator", Past.m_Operator.m_Value},
                        {"at_unix_ms", Past.m_At.m_Value},
                        {"content", contentOf(Past.m_Json)}});
    Exchange->answer(200, {{"section", Name}, {"history", Rows}});
  });
}

void putSection(Keeper &Self, const ExchangePtr &Exchange,
                const std::string &Name, const OperatorId &Operator) {
  if (!leads(Self))
    return answerNotLeader(Self, *Exchange);
  std::optional<EditSection> Input = readEdit(Self, *Exchange, Name);
  if (!Input)
    return;
  Input->m_Operator = Operator;
  Keeper *Raw = &Self;
  EditSection Edit = *Input;
  proposeCommand(Self, *Input,
                 [Raw, Exchange, Edit](const CommandAnswer *Applied) {
                   onEditApplied(*Raw, Exchange, Edit, Applied);
                 });
}

void getInForce(Keeper &Self, const ExchangePtr &Exchange,
                const std::string &Version) {
  std::optional<std::uint64_t> Wanted = readVersion(Version);
  if (!Wanted)
    return answerError(*Exchange, 400, "malformed_version",
                       "a document version is needed");
  Keeper *Raw = &Self;
  DocumentVersion Document(*Wanted);
  afterConfirmedRead(Self, Exchange, [Raw, Exchange, Document] {
    bool InForce =
        Raw->m_Leases && inForceEverywhere(*Raw->m_Leases, Raw->m_State,
                                           Document, monotonicNow());
    Exchange->answer(
        200, {{"document_version", Document.m_Value}, {"in_force", InForce}});
  });
}

} // namespace vanillaferry::internal
