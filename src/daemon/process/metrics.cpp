#include "process/metrics.hpp"

#include <array>
#include <set>
#include <sstream>

namespace vanillaferry {

namespace {

constexpr std::array<double, 4> Quantiles = {0.5, 0.9, 0.95, 0.99};

std::string baseName(const std::string &Name) {
  return Name.substr(0, Name.find('{'));
}

/// Writes a TYPE line for the first sample of each metric family.
class FamilyWriter {
public:
  explicit FamilyWriter(std::ostringstream &Out) : m_Out(Out) {}

  void sample(const std::string &Name, const char *Type, double Value) {
    if (m_Seen.insert(baseName(Name)).second)
      m_Out << "# TYPE " << baseName(Name) << ' ' << Type << '\n';
    m_Out << Name << ' ' << Value << '\n';
  }

private:
  std::ostringstream &m_Out;
  std::set<std::string> m_Seen;
};

std::string labelled(const char *Name, const char *Label, const char *Value) {
  return std::string(Name) + "{" + Label + "=\"" + Value + "\"}";
}

} // namespace

Metrics makeMetrics() {
  Metrics M;
  for (RefusalReason Reason : allRefusalReasons())
    M.m_Refusals[Reason] = 0;
  for (RetryReason Reason : allRetryReasons())
    M.m_Retries[Reason] = 0;
  return M;
}

void countRefusal(Metrics &M, RefusalReason Reason) { ++M.m_Refusals[Reason]; }

void countRetry(Metrics &M, RetryReason Reason) { ++M.m_Retries[Reason]; }

void addCounter(Metrics &M, const std::string &Name, std::uint64_t Step) {
  M.m_Counters[Name] += Step;
}

void setGauge(Metrics &M, const std::string &Name, double Value) {
  M.m_Gauges[Name] = Value;
}

void observe(Metrics &M, const std::string &Name, double Seconds) {
  auto Found = M.m_Summaries.find(Name);
  if (Found == M.m_Summaries.end())
    Found =
        M.m_Summaries
            .emplace(
                Name,
                Summary(boost::accumulators::extended_p_square_probabilities =
                            Quantiles))
            .first;
  Found->second(Seconds);
}

std::string renderMetrics(const Metrics &M) {
  std::ostringstream Out;
  Out.precision(15);
  FamilyWriter Writer(Out);
  for (const std::pair<const RefusalReason, std::uint64_t> &Row : M.m_Refusals)
    Writer.sample(labelled("vanillaferry_refusals_total", "reason",
                           refusalName(Row.first)),
                  "counter", static_cast<double>(Row.second));
  for (const std::pair<const RetryReason, std::uint64_t> &Row : M.m_Retries)
    Writer.sample(
        labelled("vanillaferry_retries_total", "reason", retryName(Row.first)),
        "counter", static_cast<double>(Row.second));
  for (const std::pair<const std::string, std::uint64_t> &Row : M.m_Counters)
    Writer.sample(Row.first, "counter", static_cast<double>(Row.second));
  for (const std::pair<const std::string, double> &Row : M.m_Gauges)
    Writer.sample(Row.first, "gauge", Row.second);
  namespace Acc = boost::accumulators;
  for (const std::pair<const std::string, Summary> &Row : M.m_Summaries) {
    if (Acc::count(Row.second) >= 2 * Quantiles.size() + 3)
      for (double Q : Quantiles)
        Out << Row.first << "{quantile=\"" << Q << "\"} "
            << Acc::quantile(Row.second, Acc::quantile_probability = Q) << '\n';
    Out << Row.first << "_sum " << Acc::sum(Row.second) << '\n';
    Out << Row.first << "_count " << Acc::count(Row.second) << '\n';
  }
  return Out.str();
}

} // namespace vanillaferry
