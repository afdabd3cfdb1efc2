#include "version/router_document.hpp"

#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

using nlohmann::json;

void readAccounts(RouterDocument &Document, const json &Value) {
  Document.m_Accounts.clear();
  Document.m_Keys.clear();
  for (const json &Item : Value.at("accounts")) {
    AccountSettings Account;
    Account.m_Id = AccountId(Item.at("id").get<std::string>());
    Account.m_MaxConcurrent = Item.value("max_concurrent", 1U);
    Account.m_RequestsPerSecond = Item.value("requests_per_second", 1.0);
    Account.m_Weight = Item.value("weight", 1U);
    Account.m_Enabled = Item.value("enabled", true);
    for (const json &Key : Item.at("api_key_sha256"))
      Document.m_Keys.push_back({Account.m_Id, Key.get<std::string>()});
    Document.m_Accounts.push_back(std::move(Account));
  }
}

TargetSettings readTarget(const json &Item) {
  TargetSettings Target;
  Target.m_Id = TargetId(Item.at("id").get<std::string>());
  Target.m_Vm = VmId(Item.at("vm").get<std::string>());
  Target.m_Zone = ZoneId(Item.at("zone").get<std::string>());
  Target.m_Url = Item.at("url").get<std::string>();
  while (!Target.m_Url.empty() && Target.m_Url.back() == '/')
    Target.m_Url.pop_back();
  Target.m_MaxConcurrent = Item.value("max_concurrent", Target.m_MaxConcurrent);
  Target.m_ColdLimit = Item.value("cold_limit", Target.m_ColdLimit);
  Target.m_CacheTokens = Tokens(Item.value("cache_tokens", std::int64_t(0)));
  Target.m_ChecksFencing = Item.value("checks_fencing", false);
  Target.m_Resumes = Item.value("resumes", false);
  Target.m_ExportsKv = Item.value("exports_kv", false);
  return Target;
}

void readServices(RouterDocument &Document, const json &Value) {
  Document.m_Services.clear();
  for (const json &Item : Value.at("services")) {
    PoolSettings Pool;
    Pool.m_Id = PoolId(Item.at("name").get<std::string>());
    Pool.m_Kind =
        Item.at("kind") == "plain" ? ServiceKind::Plain : ServiceKind::Engine;
    Pool.m_Bound = Item.value("bound", Pool.m_Bound);
    Pool.m_InnerMargin = Item.value("inner_margin", Pool.m_InnerMargin);
    Pool.m_Allowance = Item.value("allowance", Pool.m_Allowance);
    Pool.m_IdempotentMethods =
        Item.value("idempotent_methods", Pool.m_IdempotentMethods);
    for (const json &Target : Item.at("targets"))
      Pool.m_Targets.push_back(readTarget(Target));
    Document.m_Services[Pool.m_Id] = std::move(Pool);
  }
}

void readModels(RouterDocument &Document, const json &Value) {
  Document.m_Models.clear();
  for (const json &Item : Value.at("models"))
    Document.m_Models[Item.at("name").get<std::string>()] =
        PoolId(Item.at("service").get<std::string>());
}

void readZones(RouterDocument &Document, const json &Value) {
  Document.m_Zones.clear();
  for (const json &Item : Value.at("zones"))
    Document.m_Zones.push_back({ZoneId(Item.at("id").get<std::string>()),
                                Item.value("in_service", true)});
}

template <typename Unit>
void readUnit(const json &Value, const char *Name, Unit &Field) {
  Field = Unit(Value.value(Name, Field.m_Value));
}

void readLimits(RouterDocument &Document, const json &Value) {
  RouterLimits Limits;
  Limits.m_QueueLength = Value.value("queue_length", Limits.m_QueueLength);
  readUnit(Value, "default_deadline_ms", Limits.m_DefaultDeadline);
  Limits.m_RetryShare = Value.value("retry_share", Limits.m_RetryShare);
  Limits.m_RetryFloor = Value.value("retry_floor", Limits.m_RetryFloor);
  readUnit(Value, "max_header_bytes", Limits.m_MaxHeader);
  readUnit(Value, "max_body_bytes", Limits.m_MaxBody);
  readUnit(Value, "max_stream_bytes", Limits.m_MaxStream);
  readUnit(Value, "slow_sender_ms", Limits.m_SlowSender);
  readUnit(Value, "stream_silence_ms", Limits.m_StreamSilence);
  Document.m_Limits = Limits;
}

void readSection(RouterDocument &Document, const std::string &Name,
                 const json &Value) {
  if (Name == "accounts")
    readAccounts(Document, Value);
  else if (Name == "services")
    readServices(Document, Value);
  else if (Name == "model_versions")
    readModels(Document, Value);
  else if (Name == "zones")
    readZones(Document, Value);
  else if (Name == "limits")
    readLimits(Document, Value);
}

} // namespace

Status applySection(RouterDocument &Document, const SectionContent &Section) {
  RouterDocument Next = Document;
  try {
    readSection(Next, Section.m_Name.m_Value, json::parse(Section.m_Json));
  } catch (const json::exception &Fault) {
    return makeError(ErrorCode::InvalidDocument,
                     "section " + Section.m_Name.m_Value + ": " + Fault.what());
  }
  Next.m_Versions[Section.m_Name] = Section.m_Version;
  Document = std::move(Next);
  return boost::outcome_v2::success();
}

} // namespace vanillaferry
