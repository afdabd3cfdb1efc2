#include "load_result.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace vanillaferry::standin {

namespace {

using nlohmann::json;

double ratio(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0 ? 0.0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      static_cast<double>(Values.size() - 1) * Share)];
}

double average(const std::vector<double> &Values) {
  return Values.empty() ? 0
                        : std::accumulate(Values.begin(), Values.end(), 0.0) /
                              static_cast<double>(Values.size());
}

json reuseOf(const ReuseCount &Count) {
  return {
      {"turns", Count.m_Turns},
      {"prefix_tokens", Count.m_ReusableTokens},
      {"reused_tokens", Count.m_CachedTokens},
      {"ideal", ratio(Count.m_ReusableTokens, Count.m_PromptTokens)},
      {"reuse_of_prompt", ratio(Count.m_CachedTokens, Count.m_PromptTokens)},
      {"reuse_of_prefix", ratio(Count.m_CachedTokens, Count.m_ReusableTokens)}};
}

} // namespace

void addReuse(ReuseCount &Count, const ReuseCount &Answer) {
  Count.m_Turns += Answer.m_Turns;
  Count.m_PromptTokens += Answer.m_PromptTokens;
  Count.m_CachedTokens += Answer.m_CachedTokens;
  Count.m_ReusableTokens += Answer.m_ReusableTokens;
}

std::string placementReason(const std::string &Placement) {
  std::size_t From = Placement.find("; ");
  if (From == std::string::npos)
    return "none";
  From += 2;
  return Placement.substr(From, Placement.find(';', From) - From);
}

std::string placementTarget(const std::string &Placement) {
  return Placement.substr(0, Placement.find(';'));
}

std::string resultText(const LoadResult &Result) {
  json ByReason = json::object();
  for (const std::pair<const std::string, ReuseCount> &Row : Result.m_ByReason)
    ByReason[Row.first] = reuseOf(Row.second);
  json Moved = json::object();
  for (const std::pair<const std::string, ReuseCount> &Row : Result.m_MovedFrom)
    Moved[Row.first] = reuseOf(Row.second);
  json Out = {{"sent", Result.m_Sent},
              {"whole", Result.m_Complete},
              {"lost", Result.m_Lost},
              {"wrong", Result.m_Wrong},
              {"explicit_errors", Result.m_ExplicitErrors},
              {"refused", Result.m_Refused},
              {"cache_reuse",
               ratio(Result.m_All.m_CachedTokens, Result.m_All.m_PromptTokens)},
              {"ideal_reuse", ratio(Result.m_All.m_ReusableTokens,
                                    Result.m_All.m_PromptTokens)},
              {"returning", reuseOf(Result.m_Returning)},
              {"returning_by_placement", ByReason},
              {"moved_from", Moved},
              {"first_event_ms_p50", quantile(Result.m_FirstEventMs, 0.5)},
              {"first_event_ms_p95", quantile(Result.m_FirstEventMs, 0.95)},
              {"placements", Result.m_ByPlacement.size()}};
  if (!Result.m_Skews.empty())
    Out["skew"] = {{"samples", Result.m_Skews.size()},
                   {"mean_load", average(Result.m_MeanLoads)},
                   {"average", average(Result.m_Skews)},
                   {"p95", quantile(Result.m_Skews, 0.95)},
                   {"max", quantile(Result.m_Skews, 1)}};
  return Out.dump();
}

} // namespace vanillaferry::standin
