#include "version/section_values.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

using nlohmann::json;

std::string textOf(const json &Row, const char *Field) {
  return Row[Field].get<std::string>();
}

TargetSettings readTarget(const json &Row) {
  TargetSettings Target;
  Target.m_Id = TargetId(textOf(Row, "id"));
  Target.m_Vm = VmId(textOf(Row, "vm"));
  Target.m_Zone = ZoneId(textOf(Row, "zone"));
  Target.m_Url = textOf(Row, "url");
  Target.m_MaxConcurrent = Row["max_concurrent"].get<std::uint32_t>();
  Target.m_ColdLimit = std::min(Row.value("cold_limit", Target.m_ColdLimit),
                                Target.m_MaxConcurrent);
  Target.m_CacheTokens = Tokens(Row.value("cache_tokens", std::int64_t(0)));
  Target.m_ChecksFencing = Row.value("checks_fencing", false);
  Target.m_Resumes = Row.value("resumes", false);
  Target.m_ExportsKv = Row.value("exports_kv", false);
  return Target;
}

} // namespace

std::vector<AccountEntry> readAccounts(const json &Value) {
  std::vector<AccountEntry> Accounts;
  for (const json &Row : Value["accounts"]) {
    AccountEntry Entry;
    AccountSettings &Settings = Entry.m_Settings;
    Settings.m_Id = AccountId(textOf(Row, "id"));
    Settings.m_MaxConcurrent = Row["max_concurrent"].get<std::uint32_t>();
    Settings.m_RequestsPerSecond = Row["requests_per_second"].get<double>();
    Settings.m_Weight = Row.value("weight", Settings.m_Weight);
    Settings.m_Enabled = Row.value("enabled", Settings.m_Enabled);
    Entry.m_ApiKeyHashes =
        Row["api_key_sha256"].get<std::vector<std::string>>();
    Accounts.push_back(std::move(Entry));
  }
  return Accounts;
}

std::vector<PoolSettings> readServices(const json &Value) {
  std::vector<PoolSettings> Services;
  for (const json &Row : Value["services"]) {
    PoolSettings Pool;
    Pool.m_Id = PoolId(textOf(Row, "name"));
    Pool.m_Kind =
        Row["kind"] == "engine" ? ServiceKind::Engine : ServiceKind::Plain;
    Pool.m_Bound = Row.value("bound", Pool.m_Bound);
    Pool.m_InnerMargin = Row.value("inner_margin", Pool.m_InnerMargin);
    Pool.m_Allowance = Row.value("allowance", Pool.m_Allowance);
    Pool.m_IdempotentMethods =
        Row.value("idempotent_methods", Pool.m_IdempotentMethods);
    for (const json &Target : Row["targets"])
      Pool.m_Targets.push_back(readTarget(Target));
    Services.push_back(std::move(Pool));
  }
  return Services;
}

std::vector<ModelVersion> readModels(const json &Value) {
  std::vector<ModelVersion> Models;
  for (const json &Row : Value["models"])
    Models.push_back({textOf(Row, "name"), textOf(Row, "version"),
                      PoolId(textOf(Row, "service"))});
  return Models;
}

std::vector<ZoneSettings> readZones(const json &Value) {
  std::vector<ZoneSettings> Zones;
  for (const json &Row : Value["zones"])
    Zones.push_back({ZoneId(textOf(Row, "id")), Row["in_service"].get<bool>()});
  return Zones;
}

LimitSettings readLimits(const json &Value) {
  LimitSettings Limits;
  Limits.m_QueueLength = Value.value("queue_length", Limits.m_QueueLength);
  Limits.m_DefaultDeadline = Millis(
      Value.value("default_deadline_ms", Limits.m_DefaultDeadline.m_Value));
  Limits.m_RetryShare = Value.value("retry_share", Limits.m_RetryShare);
  Limits.m_RetryFloor = Value.value("retry_floor", Limits.m_RetryFloor);
  Limits.m_MaxHeader =
      Bytes(Value.value("max_header_bytes", Limits.m_MaxHeader.m_Value));
  Limits.m_MaxBody =
      Bytes(Value.value("max_body_bytes", Limits.m_MaxBody.m_Value));
  Limits.m_MaxStream =
      Bytes(Value.value("max_stream_bytes", Limits.m_MaxStream.m_Value));
  Limits.m_SlowSender =
      Millis(Value.value("slow_sender_ms", Limits.m_SlowSender.m_Value));
  Limits.m_SlowReader =
      Millis(Value.value("slow_reader_ms", Limits.m_SlowReader.m_Value));
  Limits.m_StreamSilence =
      Millis(Value.value("stream_silence_ms", Limits.m_StreamSilence.m_Value));
  Limits.m_WeightStoreLoadsPerMinute = Value.value(
      "weight_store_loads_per_minute", Limits.m_WeightStoreLoadsPerMinute);
  return Limits;
}

} // namespace vanillaferry
