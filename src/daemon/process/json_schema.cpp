#include "process/json_schema.hpp"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace vanillaferry {

namespace {

constexpr std::size_t ShownValueLength = 80;

/// Turns valijson's "<root>[a][0]" context into a JSON pointer.
std::string pointerOf(const std::vector<std::string> &Context) {
  std::string Pointer;
  for (const std::string &Part : Context) {
    if (Part == "<root>")
      continue;
    std::string Step = Part;
    if (Step.size() >= 2 && Step.front() == '[' && Step.back() == ']')
      Step = Step.substr(1, Step.size() - 2);
    Pointer += "/" + Step;
  }
  return Pointer;
}

std::string shownValue(const nlohmann::json &Value,
                       const std::string &Pointer) {
  nlohmann::json::json_pointer Path(Pointer);
  if (!Value.contains(Path))
    return "nothing";
  std::string Text = Value.at(Path).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (Text.size() > ShownValueLength)
    Text = Text.substr(0, ShownValueLength) + "...";
  return Text;
}

} // namespace

std::vector<std::string> schemaFaults(const nlohmann::json &SchemaJson,
                                      const nlohmann::json &Value) {
  valijson::Schema Schema;
  valijson::SchemaParser Parser;
  valijson::adapters::NlohmannJsonAdapter SchemaAdapter(SchemaJson);
  Parser.populateSchema(SchemaAdapter, Schema);
  valijson::Validator Validator;
  valijson::adapters::NlohmannJsonAdapter Target(Value);
  valijson::ValidationResults Results;
  std::vector<std::string> Faults;
  if (Validator.validate(Schema, Target, &Results))
    return Faults;
  valijson::ValidationResults::Error Fault;
  while (Results.popError(Fault)) {
    std::string Pointer = pointerOf(Fault.context);
    Faults.push_back((Pointer.empty() ? std::string("/") : Pointer) + ": " +
                     Fault.description + " Got " + shownValue(Value, Pointer) +
                     ".");
  }
  return Faults;
}

} // namespace vanillaferry
