#include "process/recorder.hpp"

#include "process/clock.hpp"
#include "process/router.hpp"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace vanillaferry {

/// A trace that is being written.
struct Recording {
  std::ofstream m_File;
  Millis m_Start;
  std::map<AccountId, std::uint32_t> m_Accounts;
  /// Tokens of each chat after its last answer, by the hash in the trace.
  std::map<std::uint32_t, std::int64_t> m_ChatTokens;
};

namespace {

using nlohmann::json;

/// Most chats whose number of tokens is remembered.
constexpr std::size_t MaxChats = 200000;

json accountsOf(const Router &R, const Recording &Open) {
  std::vector<json> Rows(Open.m_Accounts.size());
  for (const std::pair<const AccountId, std::uint32_t> &Known :
       Open.m_Accounts) {
    AccountSettings Settings;
    auto Found = R.m_Accounts.m_Accounts.find(Known.first);
    if (Found != R.m_Accounts.m_Accounts.end())
      Settings = Found->second.m_Settings;
    Rows[Known.second] = {{"id", "account-" + std::to_string(Known.second)},
                          {"max_concurrent", Settings.m_MaxConcurrent},
                          {"requests_per_second", Settings.m_RequestsPerSecond},
                          {"weight", Settings.m_Weight}};
  }
  return Rows;
}

json enginesOf(const Router &R) {
  json Rows = json::array();
  for (const std::pair<const PoolId, PoolSettings> &Row :
       R.m_Document.m_Services) {
    if (Row.second.m_Kind != ServiceKind::Engine)
      continue;
    for (const TargetSettings &Target : Row.second.m_Targets)
      Rows.push_back({{"id", Target.m_Id.m_Value},
                      {"vm", Target.m_Vm.m_Value},
                      {"zone", Target.m_Zone.m_Value},
                      {"max_concurrent", Target.m_MaxConcurrent},
                      {"cold_limit", Target.m_ColdLimit},
                      {"cache_tokens", Target.m_CacheTokens.m_Value}});
  }
  return Rows;
}

} // namespace

Status openRecord(Router &R) {
  if (R.m_Settings.m_Record.empty())
    return boost::outcome_v2::success();
  R.m_Record = std::make_shared<Recording>();
  R.m_Record->m_Start = monotonicNow();
  R.m_Record->m_File.open(R.m_Settings.m_Record, std::ios::trunc);
  if (!R.m_Record->m_File)
    return makeError(ErrorCode::Io,
                     "cannot write the trace " + R.m_Settings.m_Record);
  return boost::outcome_v2::success();
}

void recordRequest(Router &R, const Session &S) {
  if (!R.m_Record || S.m_Kind != ServiceKind::Engine)
    return;
  Recording &Open = *R.m_Record;
  std::uint32_t Chat = static_cast<std::uint32_t>(hashChat(S.m_Order.m_Chat));
  std::uint32_t Account =
      Open.m_Accounts
          .emplace(S.m_Order.m_Account,
                   static_cast<std::uint32_t>(Open.m_Accounts.size()))
          .first->second;
  std::int64_t Prompt = S.m_Order.m_PromptTokens.m_Value;
  std::int64_t Answer = static_cast<std::int64_t>(S.m_Progress.m_Next);
  if (Open.m_ChatTokens.size() >= MaxChats)
    Open.m_ChatTokens.clear();
  std::int64_t &Known = Open.m_ChatTokens[Chat];
  json Line = {{"kind", "request"},
               {"at", (S.m_ArrivedAt - Open.m_Start).m_Value},
               {"chat", Chat},
               {"account", Account},
               {"prefix", std::min(Known, Prompt)},
               {"prompt", Prompt},
               {"answer", Answer},
               {"deadline_ms", (S.m_Deadline - S.m_ArrivedAt).m_Value},
               {"entry", 0}};
  if (S.m_Order.m_Priority == Priority::Batch)
    Line["batch"] = true;
  Known = Prompt + Answer;
  Open.m_File << Line.dump() << "\n";
}

void closeRecord(Router &R) {
  if (!R.m_Record)
    return;
  json Zones = json::array();
  for (const ZoneSettings &Zone : R.m_Document.m_Settings.m_Zones)
    Zones.push_back(Zone.m_Id.m_Value);
  json Line = {
      {"kind", "fleet"},
      {"format", 1},
      {"deployment", "recorded"},
      {"seed", 1},
      {"warmup_ms", 0},
      {"duration_ms", (monotonicNow() - R.m_Record->m_Start).m_Value},
      {"zones", Zones},
      {"routers", std::max<std::size_t>(1, R.m_Members.m_Members.size())},
      {"list_lag_ms", 3000},
      {"accounts", accountsOf(R, *R.m_Record)},
      {"engines", enginesOf(R)}};
  R.m_Record->m_File << Line.dump() << "\n";
  R.m_Record->m_File.close();
  R.m_Record.reset();
}

} // namespace vanillaferry
