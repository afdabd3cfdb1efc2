#include "vanillaferry/version/section.hpp"
#include "Property.hpp"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace vanillaferry;

namespace {

const std::string HashA(64, 'a');
const std::string HashB(64, 'b');

std::vector<std::string> errorsOf(const std::string &Name,
                                  const std::string &Json) {
  DocumentSettings Settings;
  std::vector<std::string> Texts;
  for (const SectionIssue &Issue :
       readSection(SectionName(Name), Json, Settings).m_Errors)
    Texts.push_back(issueText(Issue));
  return Texts;
}

bool contains(const std::vector<std::string> &Texts, const std::string &Part) {
  for (const std::string &Text : Texts)
    if (Text.find(Part) != std::string::npos)
      return true;
  std::ostringstream All;
  for (const std::string &Text : Texts)
    All << "  " << Text << "\n";
  BOOST_TEST_MESSAGE("no \"" << Part << "\" in\n" << All.str());
  return false;
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Sections)

// Guards against an example document that the keepers refuse.
BOOST_AUTO_TEST_CASE(ExampleDocumentIsValid) {
  std::map<SectionName, std::string> Document;
  for (const SectionName &Name : sectionNames()) {
    std::string Text = readFile(std::string(VANILLAFERRY_SOURCE_DIR) +
                                "/examples/document/" + Name.m_Value + ".json");
    SectionCheck Check = checkEdit(Document, Name, Text);
    for (const SectionIssue &Issue : Check.m_Errors)
      BOOST_ERROR(issueText(Issue));
    for (const SectionIssue &Issue : Check.m_Warnings)
      BOOST_ERROR(issueText(Issue));
    Document[Name] = Text;
  }
}

// Guards against reporting only the first error, or an error without its path,
// value and expectation.
BOOST_AUTO_TEST_CASE(EveryErrorIsReportedWithPathValueAndExpectation) {
  std::vector<std::string> Errors = errorsOf("services",
                                             R"({"services":[
        {"name":"a b","kind":"x","bound":0.5,"foo":1,"targets":[
          {"id":"t","vm":3,"zone":"z","url":"ftp://h"},
          {"id":"t","vm":"v","zone":"z","url":"http://h","max_concurrent":1.5,
           "idle/x":true}]},
        {"name":"a","kind":"plain","idempotent_methods":["get"],"targets":[
          {"id":"u","vm":"v","zone":"z","url":"http://h","max_concurrent":2,
           "cold_limit":3}]}]})");
  BOOST_TEST(contains(Errors, "services /services/0/name: expected only "
                              "letters, digits"));
  BOOST_TEST(contains(Errors, "services /services/0/kind: expected \"engine\" "
                              "or \"plain\", got \"x\""));
  BOOST_TEST(contains(Errors, "services /services/0/bound: expected number "
                              "from 1 up to 1000, got 0.5"));
  BOOST_TEST(contains(Errors, "services /services/0/foo: expected only the "
                              "fields"));
  BOOST_TEST(contains(Errors, "/services/0/targets/0/vm: expected string"));
  BOOST_TEST(contains(Errors, "/services/0/targets/0/max_concurrent: expected "
                              "integer from 1 up to 1000000, got nothing"));
  BOOST_TEST(contains(Errors, "/services/0/targets/0/url: expected a URL that "
                              "starts with http://, got \"ftp://h\""));
  BOOST_TEST(contains(Errors, "/services/0/targets/1/id: expected a target "
                              "that appears once, got \"t\""));
  BOOST_TEST(contains(Errors, "/services/0/targets/1/max_concurrent"));
  BOOST_TEST(contains(Errors, "/services/0/targets/1/idle~1x"));
  BOOST_TEST(contains(Errors, "/services/1/idempotent_methods/0: expected an "
                              "HTTP method in upper case, got \"get\""));
  BOOST_TEST(contains(Errors, "/services/1/targets/0/cold_limit: expected at "
                              "most max_concurrent, got 3"));
}

// Guards against an API key that belongs to two accounts, or never matches.
BOOST_AUTO_TEST_CASE(ApiKeyHashesAreWellFormedAndBelongToOneAccount) {
  std::string Row = R"(","max_concurrent":1,"requests_per_second":1)";
  std::vector<std::string> Errors = errorsOf(
      "accounts", R"({"accounts":[{"id":"a)" + Row + R"(,"api_key_sha256":[")" +
                      HashA + R"(","AB"]},)" + R"({"id":"a)" + Row +
                      R"(,"api_key_sha256":[")" + HashA + R"("]}]})");
  BOOST_TEST(Errors.size() == 3U);
  BOOST_TEST(contains(Errors, "/accounts/0/api_key_sha256/1: expected 64 "
                              "hexadecimal digits"));
  BOOST_TEST(contains(Errors, "/accounts/1/id: expected a client account that "
                              "appears once"));
  BOOST_TEST(contains(Errors, "/accounts/1/api_key_sha256/0: expected an API "
                              "key that belongs to one account"));
}

// Guards against fields that are not copied into the structs.
BOOST_AUTO_TEST_CASE(ValuesAreCopiedIntoTheStructs) {
  DocumentSettings Settings;
  SectionCheck Check = readSection(
      SectionName("services"),
      R"({"services":[{"name":"p","kind":"plain","bound":2,"inner_margin":0.1,
        "allowance":3,"idempotent_methods":["PUT"],"targets":[{"id":"t",
        "vm":"v","zone":"z","url":"http://127.0.0.1:1","max_concurrent":9,
        "cold_limit":4,"cache_tokens":77,"checks_fencing":true,"resumes":true,
        "exports_kv":true}]}]})",
      Settings);
  BOOST_TEST(Check.m_Errors.empty());
  BOOST_REQUIRE(Settings.m_Services.size() == 1U);
  const PoolSettings &Pool = Settings.m_Services[0];
  BOOST_TEST((Pool.m_Kind == ServiceKind::Plain));
  BOOST_TEST(Pool.m_Bound == 2);
  BOOST_TEST(Pool.m_Allowance == 3U);
  BOOST_TEST(Pool.m_IdempotentMethods.at(0) == "PUT");
  const TargetSettings &Target = Pool.m_Targets.at(0);
  BOOST_TEST(Target.m_MaxConcurrent == 9U);
  BOOST_TEST(Target.m_ColdLimit == 4U);
  BOOST_TEST(Target.m_CacheTokens == Tokens(77));
  BOOST_TEST(Target.m_ChecksFencing);
  BOOST_TEST(Target.m_Resumes);
  BOOST_TEST(Target.m_ExportsKv);
  readSection(SectionName("limits"),
              R"({"queue_length":5,"stream_silence_ms":6,
                  "weight_store_loads_per_minute":0.5})",
              Settings);
  BOOST_TEST(Settings.m_Limits.m_QueueLength == 5U);
  BOOST_TEST(Settings.m_Limits.m_StreamSilence == Millis(6));
  BOOST_TEST(Settings.m_Limits.m_WeightStoreLoadsPerMinute == 0.5);
  readSection(SectionName("accounts"),
              R"({"accounts":[{"id":"a","api_key_sha256":[")" + HashB +
                  R"("],"max_concurrent":8,"requests_per_second":2.5,
                  "weight":3,"enabled":false}]})",
              Settings);
  BOOST_REQUIRE(Settings.m_Accounts.size() == 1U);
  BOOST_TEST(Settings.m_Accounts[0].m_ApiKeyHashes.at(0) == HashB);
  BOOST_TEST(Settings.m_Accounts[0].m_Settings.m_MaxConcurrent == 8U);
  BOOST_TEST(!Settings.m_Accounts[0].m_Settings.m_Enabled);
}

// Guards against models that refer to no engine service, whichever section is
// edited first.
BOOST_AUTO_TEST_CASE(ReferencesBetweenSectionsAreChecked) {
  std::string Services =
      R"({"services":[{"name":"p","kind":"engine","targets":[{"id":"t",
        "vm":"v","zone":"far","url":"http://h","max_concurrent":1}]}]})";
  std::string Models =
      R"({"models":[{"name":"m","version":"1","service":"p"}]})";
  std::map<SectionName, std::string> Document;
  SectionName ModelName("model_versions");
  SectionName ServiceName("services");
  BOOST_TEST(checkEdit(Document, ModelName, Models).m_Errors.size() == 1U);
  SectionCheck Check = checkEdit(Document, ServiceName, Services);
  BOOST_TEST(Check.m_Errors.empty());
  BOOST_REQUIRE(Check.m_Warnings.size() == 1U);
  BOOST_TEST(Check.m_Warnings[0].m_Path == "/services/0/targets/0/zone");
  BOOST_TEST(Check.m_Warnings[0].m_Value == "\"far\"");
  Document[ServiceName] = Services;
  BOOST_TEST(checkEdit(Document, ModelName, Models).m_Errors.empty());
  Document[ModelName] = Models;
  SectionCheck Removal = checkEdit(Document, ServiceName, R"({"services":[]})");
  BOOST_REQUIRE(Removal.m_Errors.size() == 1U);
  BOOST_TEST(Removal.m_Errors[0].m_Section == ModelName);
  BOOST_TEST(Removal.m_Errors[0].m_Path == "/models/0/service");
}

// Guards against accepting invalid JSON, an unknown section, or an object with
// a repeated field, whose value JSON parsers differ on.
BOOST_AUTO_TEST_CASE(InvalidSectionsAreRefused) {
  BOOST_TEST(contains(errorsOf("zones", "{"), "zones /: expected JSON text"));
  BOOST_TEST(contains(errorsOf("zone", "{}"), "one of the sections"));
  BOOST_TEST(contains(errorsOf("zones", "[]"), "zones /: expected object"));
  BOOST_TEST(contains(
      errorsOf(
          "zones",
          R"({"zones":[{"id":"a","in_service":true,"in_service":false}]})"),
      "expected each field of an object once, got \"in_service\""));
}

// Guards against a crash or an exception on invalid input from an operator.
BOOST_AUTO_TEST_CASE(RandomTextsNeverCrash) {
  requireProperty("section texts", 3000, [] {
    std::string Text = *rc::gen::arbitrary<std::string>();
    std::vector<std::string> Parts{"{\"services\":[",
                                   "{\"accounts\":[",
                                   "{",
                                   "}",
                                   "[",
                                   "]",
                                   "\"id\":",
                                   "\"a~b/c\":",
                                   "1e999",
                                   "-1",
                                   "null",
                                   ",",
                                   "\"\\ud800\"",
                                   "\xff",
                                   "\"targets\":[",
                                   "{\"zones\":[{",
                                   "true",
                                   "\"in_service\":"};
    for (std::size_t Which : *rc::gen::container<std::vector<std::size_t>>(
             rc::gen::inRange<std::size_t>(0, Parts.size())))
      Text += Parts[Which];
    DocumentSettings Settings;
    for (const SectionName &Name : sectionNames())
      for (const SectionIssue &Issue :
           readSection(Name, Text, Settings).m_Errors)
        RC_ASSERT(!issueText(Issue).empty());
  });
  std::string Deep(1000000, '[');
  BOOST_TEST(!errorsOf("zones", Deep).empty());
}

BOOST_AUTO_TEST_SUITE_END()
