#include "vanillaferry/version/section.hpp"

#include "process/json_schema.hpp"
#include "version/section_schema.hpp"
#include "version/section_values.hpp"

#include <nlohmann/json.hpp>
#include <set>

namespace vanillaferry {

namespace {

using nlohmann::json;

struct ParsedJson {
  json m_Value;
  /// Names of fields that occur twice in one object. They are refused, because
  /// JSON parsers differ on which value counts.
  std::vector<std::string> m_Repeated;
  std::string m_Error;
};

ParsedJson parseStrict(const std::string &Text) {
  ParsedJson Parsed;
  std::vector<std::set<std::string>> Open;
  json::parser_callback_t OnEvent = [&](int, json::parse_event_t Event,
                                        json &Value) {
    if (Event == json::parse_event_t::object_start)
      Open.emplace_back();
    else if (Event == json::parse_event_t::object_end)
      Open.pop_back();
    else if (Event == json::parse_event_t::key &&
             !Open.back().insert(Value.get<std::string>()).second)
      Parsed.m_Repeated.push_back(Value.get<std::string>());
    return true;
  };
  try {
    Parsed.m_Value = json::parse(Text, OnEvent);
  } catch (const json::exception &E) {
    Parsed.m_Error = E.what();
  }
  return Parsed;
}

void readValues(const SectionName &Name, const json &Value,
                DocumentSettings &Settings) {
  if (Name.m_Value == AccountsSectionName)
    Settings.m_Accounts = readAccounts(Value);
  else if (Name.m_Value == ServicesSectionName)
    Settings.m_Services = readServices(Value);
  else if (Name.m_Value == ModelVersionsSectionName)
    Settings.m_Models = readModels(Value);
  else if (Name.m_Value == ZonesSectionName)
    Settings.m_Zones = readZones(Value);
  else
    Settings.m_Limits = readLimits(Value);
}

void append(SectionCheck &Into, SectionCheck From) {
  for (SectionIssue &Issue : From.m_Errors)
    Into.m_Errors.push_back(std::move(Issue));
  for (SectionIssue &Issue : From.m_Warnings)
    Into.m_Warnings.push_back(std::move(Issue));
}

} // namespace

std::string issueText(const SectionIssue &Issue) {
  return Issue.m_Section.m_Value + " " +
         (Issue.m_Path.empty() ? std::string("/") : Issue.m_Path) +
         ": expected " + Issue.m_Expected + ", got " + Issue.m_Value;
}

std::vector<SectionName> sectionNames() {
  std::vector<SectionName> Names;
  for (const char *Name :
       {ZonesSectionName, ServicesSectionName, ModelVersionsSectionName,
        AccountsSectionName, LimitsSectionName})
    Names.emplace_back(Name);
  return Names;
}

SectionCheck readSection(const SectionName &Name, const std::string &Json,
                         DocumentSettings &Settings) {
  SectionCheck Check;
  const char *Schema = sectionSchema(Name);
  if (!Schema) {
    std::string Known;
    for (const SectionName &Other : sectionNames())
      Known += (Known.empty() ? "" : ", ") + Other.m_Value;
    Check.m_Errors.push_back({Name, std::string(),
                              abbreviatedJson(json(Name.m_Value)),
                              "one of the sections " + Known});
    return Check;
  }
  ParsedJson Parsed = parseStrict(Json);
  if (!Parsed.m_Error.empty()) {
    Check.m_Errors.push_back({Name, std::string(), abbreviatedJson(json(Json)),
                              "JSON text (" + Parsed.m_Error + ")"});
    return Check;
  }
  for (const std::string &Field : Parsed.m_Repeated)
    Check.m_Errors.push_back({Name, std::string(), abbreviatedJson(json(Field)),
                              "each field of an object once"});
  for (const SchemaViolation &Violation :
       findSchemaViolations(json::parse(Schema), Parsed.m_Value))
    Check.m_Errors.push_back(
        {Name, Violation.m_Path, Violation.m_Value, Violation.m_Expected});
  // Values are checked even when the schema is violated, so that one attempt
  // reports all errors.
  append(Check, checkValues(Name, Parsed.m_Value));
  if (Check.m_Errors.empty())
    readValues(Name, Parsed.m_Value, Settings);
  return Check;
}

SectionCheck checkEdit(const std::map<SectionName, std::string> &Document,
                       const SectionName &Name, const std::string &Json) {
  DocumentSettings Settings;
  SectionCheck Check = readSection(Name, Json, Settings);
  if (!Check.m_Errors.empty())
    return Check;
  // Errors in other stored sections do not count against this edit.
  for (const std::pair<const SectionName, std::string> &Row : Document)
    if (Row.first != Name)
      readSection(Row.first, Row.second, Settings);
  append(Check, checkReferences(Settings));
  return Check;
}

} // namespace vanillaferry
