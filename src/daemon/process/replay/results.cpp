#include "process/replay/replay.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

using Json = nlohmann::json;

constexpr std::pair<ReplayPolicy, const char *> Policies[] = {
    {ReplayPolicy::Vanillaferry, "vanillaferry"},
    {ReplayPolicy::Random, "random"},
    {ReplayPolicy::LeastReported, "least_reported"},
    {ReplayPolicy::Rendezvous, "rendezvous"},
    {ReplayPolicy::Oracle, "oracle"}};

double ratio(double Part, double Whole) { return Whole > 0 ? Part / Whole : 0; }

double reuse(const Measures &Counts) {
  return ratio(Counts.m_ReusedTokens, Counts.m_PrefixTokens);
}

template <typename T> double percentile(std::vector<T> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  std::size_t At =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  return static_cast<double>(Values[At]);
}

double mean(const std::vector<double> &Values) {
  double Sum = 0;
  for (double Value : Values)
    Sum += Value;
  return ratio(Sum, static_cast<double>(Values.size()));
}

Json describe(const Measures &Counts) {
  Json Refused = Json::object();
  std::uint64_t RefusedTotal = 0;
  for (const std::pair<const RefusalReason, std::uint64_t> &Pair :
       Counts.m_Refused) {
    Refused[refusalName(Pair.first)] = Pair.second;
    RefusedTotal += Pair.second;
  }
  return {{"cache_reuse", reuse(Counts)},
          {"load_max_over_mean", mean(Counts.m_MaxOverMean)},
          {"load_max_over_mean_p99", percentile(Counts.m_MaxOverMean, 0.99)},
          {"violations", Counts.m_Violations},
          {"share_of_time_above_bound",
           ratio(static_cast<double>(Counts.m_EngineSamplesAbove),
                 static_cast<double>(Counts.m_EngineSamples))},
          {"lost", Counts.m_Lost},
          {"refused", Refused},
          {"refused_total", RefusedTotal},
          {"refused_others", Counts.m_RefusedOthers},
          {"control_bytes_per_router_second",
           ratio(Counts.m_ControlBytes, Counts.m_RouterSeconds)},
          {"new_work_after_zone_out", Counts.m_AfterZoneOut},
          {"cold_violations", Counts.m_ColdViolations},
          {"cold_unannounced", Counts.m_ColdUnannounced},
          {"moved_chats_share", Counts.m_MovedShare},
          {"moved_chats_excess", Counts.m_MovedExcess},
          {"dispatched", Counts.m_Dispatched},
          {"completed", Counts.m_Completed},
          {"waited", Counts.m_Waited},
          {"retries", Counts.m_Retries},
          {"hops_per_request", ratio(static_cast<double>(Counts.m_Hops),
                                     static_cast<double>(Counts.m_Dispatched))},
          {"first_token_p50_ms", percentile(Counts.m_FirstToken, 0.5)},
          {"first_token_p95_ms", percentile(Counts.m_FirstToken, 0.95)},
          {"first_token_p99_ms", percentile(Counts.m_FirstToken, 0.99)},
          {"queued_p95_ms", percentile(Counts.m_Queued, 0.95)},
          {"others_first_token_p99_ms",
           percentile(Counts.m_OthersFirstToken, 0.99)},
          {"others_queued_p99_ms", percentile(Counts.m_OthersQueued, 0.99)}};
}

void addSurge(Json &Results, const Trace &Recorded, ReplayPolicy Policy,
              double Bound, const FleetOptions &Options) {
  bool Surge =
      std::any_of(Recorded.m_Requests.begin(), Recorded.m_Requests.end(),
                  [](const TraceRequest &R) { return R.m_Surge; });
  if (!Surge)
    return;
  Measures Calm = replayTrace(Recorded, Policy, Bound, Options, true);
  double Without = percentile(Calm.m_OthersFirstToken, 0.99);
  Results["others_first_token_p99_without_surge_ms"] = Without;
  Results["others_queued_p99_without_surge_ms"] =
      percentile(Calm.m_OthersQueued, 0.99);
  Results["others_wait_ratio"] =
      ratio(Results["others_first_token_p99_ms"].get<double>(), Without);
}

std::string compareOne(const std::string &Name, const Json &Wanted,
                       const Json &Results) {
  // A path such as refused.queue_full names a member of an object.
  const Json *Value = &Results;
  std::string Rest = Name;
  while (!Rest.empty()) {
    std::size_t Dot = Rest.find('.');
    std::string Part = Rest.substr(0, Dot);
    Rest = Dot == std::string::npos ? "" : Rest.substr(Dot + 1);
    if (!Value->is_object() || !Value->contains(Part))
      return Name + ": the replay has no such result";
    Value = &Value->at(Part);
  }
  if (!Value->is_number())
    return Name + ": the result is not a number";
  double Got = Value->get<double>();
  if (Wanted.contains("min") && Got < Wanted.at("min").get<double>())
    return Name + ": " + Value->dump() + " is below " + Wanted.at("min").dump();
  if (Wanted.contains("max") && Got > Wanted.at("max").get<double>())
    return Name + ": " + Value->dump() + " is above " + Wanted.at("max").dump();
  return "";
}

} // namespace

const char *policyName(ReplayPolicy Policy) {
  for (const std::pair<ReplayPolicy, const char *> &Pair : Policies)
    if (Pair.first == Policy)
      return Pair.second;
  return "";
}

std::optional<ReplayPolicy> policyByName(const std::string &Name) {
  for (const std::pair<ReplayPolicy, const char *> &Pair : Policies)
    if (Name == Pair.second)
      return Pair.first;
  return std::nullopt;
}

Json replayResults(const Trace &Recorded, ReplayPolicy Policy, double Bound,
                   const FleetOptions &Options) {
  Json Results;
  Json All = Json::object();
  for (const std::pair<ReplayPolicy, const char *> &Pair : Policies) {
    Json One =
        describe(replayTrace(Recorded, Pair.first, Bound, Options, false));
    if (Pair.first == Policy)
      Results = One;
    All[Pair.second] = {
        {"cache_reuse", One["cache_reuse"]},
        {"load_max_over_mean", One["load_max_over_mean"]},
        {"violations", One["violations"]},
        {"first_token_p95_ms", One["first_token_p95_ms"]},
        {"share_of_time_above_bound", One["share_of_time_above_bound"]},
        {"cold_violations", One["cold_violations"]}};
  }
  double Oracle = All["oracle"]["cache_reuse"].get<double>();
  Results["policy"] = policyName(Policy);
  Results["deployment"] = Recorded.m_Deployment;
  Results["seed"] = Recorded.m_Seed;
  Results["bound"] = Bound;
  Results["requests"] = Recorded.m_Requests.size();
  Results["cache_reuse_oracle"] = Oracle;
  Results["cache_reuse_of_oracle"] =
      ratio(Results["cache_reuse"].get<double>(), Oracle);
  Results["policies"] = All;
  addSurge(Results, Recorded, Policy, Bound, Options);
  return Results;
}

std::vector<std::string> missedOutcomes(const Json &Outcomes,
                                        const Json &Results) {
  std::vector<std::string> Missed;
  for (auto It = Outcomes.begin(); It != Outcomes.end(); ++It) {
    std::string Fault = compareOne(It.key(), It.value(), Results);
    if (!Fault.empty())
      Missed.push_back(Fault);
  }
  return Missed;
}

} // namespace vanillaferry
