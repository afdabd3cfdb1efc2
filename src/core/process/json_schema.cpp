#include "process/json_schema.hpp"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace vanillaferry {

namespace {

using nlohmann::json;

constexpr std::size_t ShownValueLength = 80;

/// A value and the part of the schema that describes it.
struct Located {
  std::string m_Path;
  const json *m_Value = nullptr;
  const json *m_Schema = nullptr;
};

/// Resolves valijson's error context, such as "<root>", "[name]", "[0]".
Located locate(const std::vector<std::string> &Context, const json &Value,
               const json &Schema) {
  Located At{std::string(), &Value, &Schema};
  for (const std::string &Part : Context) {
    if (Part == "<root>")
      continue;
    std::string Step = Part;
    if (Step.size() >= 2 && Step.front() == '[' && Step.back() == ']')
      Step = Step.substr(1, Step.size() - 2);
    At.m_Path += pointerStep(Step);
    bool IsArray = At.m_Value && At.m_Value->is_array();
    if (IsArray) {
      std::size_t Index = std::strtoul(Step.c_str(), nullptr, 10);
      At.m_Value = Index < At.m_Value->size() ? &(*At.m_Value)[Index] : nullptr;
    } else if (At.m_Value) {
      json::const_iterator Found = At.m_Value->find(Step);
      At.m_Value = Found == At.m_Value->end() ? nullptr : &*Found;
    }
    const json *Next = nullptr;
    if (At.m_Schema && IsArray && At.m_Schema->contains("items"))
      Next = &(*At.m_Schema)["items"];
    if (At.m_Schema && !IsArray && At.m_Schema->contains("properties") &&
        (*At.m_Schema)["properties"].contains(Step))
      Next = &(*At.m_Schema)["properties"][Step];
    At.m_Schema = Next;
  }
  return At;
}

std::string joinKeys(const json &Object) {
  std::string Text;
  for (json::const_iterator Row = Object.begin(); Row != Object.end(); ++Row)
    Text += (Text.empty() ? "" : ", ") + Row.key();
  return Text;
}

/// Describes in words what a part of a schema requires.
std::string expectedBy(const json &Schema) {
  std::string Text;
  if (Schema.contains("enum")) {
    for (const json &Choice : Schema["enum"])
      Text += (Text.empty() ? "" : " or ") + Choice.dump();
    return Text;
  }
  if (Schema.contains("type") && Schema["type"].is_array())
    for (const json &Type : Schema["type"])
      Text += (Text.empty() ? "" : " or ") + Type.get<std::string>();
  else
    Text = Schema.value("type", std::string("a value"));
  if (Schema.contains("minimum"))
    Text += " from " + Schema["minimum"].dump();
  if (Schema.contains("maximum"))
    Text += " up to " + Schema["maximum"].dump();
  if (Schema.contains("minLength"))
    Text += " of at least " + Schema["minLength"].dump() + " characters";
  if (Schema.contains("maxLength"))
    Text += " of at most " + Schema["maxLength"].dump() + " characters";
  if (Schema.contains("minItems"))
    Text += " of at least " + Schema["minItems"].dump() + " items";
  if (Schema.contains("pattern"))
    Text += " matching " + Schema["pattern"].get<std::string>();
  return Text;
}

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

void addUnknownFields(const Located &At,
                      std::vector<SchemaViolation> &Violations) {
  const json &Known = (*At.m_Schema)["properties"];
  for (json::const_iterator Row = At.m_Value->begin(); Row != At.m_Value->end();
       ++Row)
    if (!Known.contains(Row.key()))
      Violations.push_back({At.m_Path + pointerStep(Row.key()),
                            "only the fields " + joinKeys(Known),
                            abbreviatedJson(Row.value())});
}

void addMissingFields(const Located &At, const std::string &Description,
                      std::vector<SchemaViolation> &Violations) {
  for (const json &Name : (*At.m_Schema)["required"]) {
    std::string Field = Name.get<std::string>();
    if (Description.find("'" + Field + "'") == std::string::npos)
      continue;
    json Properties = At.m_Schema->value("properties", json::object());
    Violations.push_back({At.m_Path + pointerStep(Field),
                          Properties.contains(Field)
                              ? expectedBy(Properties[Field])
                              : std::string("a value"),
                          "nothing"});
  }
}

} // namespace

std::string abbreviatedJson(const json &Value) {
  std::string Text = Value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (Text.size() > ShownValueLength)
    Text = Text.substr(0, ShownValueLength) + "...";
  return Text;
}

std::string pointerStep(const std::string &Name) {
  std::string Step = "/";
  for (char Letter : Name) {
    if (Letter == '~')
      Step += "~0";
    else if (Letter == '/')
      Step += "~1";
    else
      Step.push_back(Letter);
  }
  return Step;
}

std::vector<SchemaViolation> findSchemaViolations(const json &SchemaJson,
                                                  const json &Value) {
  valijson::Schema Schema;
  valijson::SchemaParser Parser;
  valijson::adapters::NlohmannJsonAdapter SchemaAdapter(SchemaJson);
  Parser.populateSchema(SchemaAdapter, Schema);
  valijson::Validator Validator;
  valijson::adapters::NlohmannJsonAdapter Target(Value);
  valijson::ValidationResults Results;
  std::vector<SchemaViolation> Violations;
  if (Validator.validate(Schema, Target, &Results))
    return Violations;
  valijson::ValidationResults::Error Failure;
  while (Results.popError(Failure)) {
    Located At = locate(Failure.context, Value, SchemaJson);
    const std::string &Text = Failure.description;
    // valijson adds these for each value that encloses a reported violation.
    if (startsWith(Text, "Failed to validate"))
      continue;
    if (!At.m_Schema)
      Violations.push_back(
          {At.m_Path, Text,
           At.m_Value ? abbreviatedJson(*At.m_Value) : "nothing"});
    else if (startsWith(Text, "Object contains a property"))
      addUnknownFields(At, Violations);
    else if (startsWith(Text, "Missing required property"))
      addMissingFields(At, Text, Violations);
    else
      Violations.push_back(
          {At.m_Path, expectedBy(*At.m_Schema),
           At.m_Value ? abbreviatedJson(*At.m_Value) : "nothing"});
  }
  // An invalid value must never appear valid, even if valijson's messages
  // change.
  if (Violations.empty())
    Violations.push_back(
        {std::string(), expectedBy(SchemaJson), abbreviatedJson(Value)});
  return Violations;
}

std::vector<std::string> describeSchemaViolations(const json &Schema,
                                                  const json &Value) {
  std::vector<std::string> Texts;
  for (const SchemaViolation &Violation : findSchemaViolations(Schema, Value))
    Texts.push_back(
        (Violation.m_Path.empty() ? std::string("/") : Violation.m_Path) +
        ": expected " + Violation.m_Expected + ", got " + Violation.m_Value +
        ".");
  return Texts;
}

} // namespace vanillaferry
