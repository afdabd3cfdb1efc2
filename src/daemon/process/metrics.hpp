#pragma once

#include "vanillaferry/process/reason.hpp"
#include "vanillaferry/process/units.hpp"

// Boost 1.74 uses std::ostringstream without its header.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace vanillaferry {

/// A distribution of seconds with estimated quantiles (P-square algorithm,
/// Jain and Chlamtac 1985, from Boost.Accumulators).
using Summary = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<
        boost::accumulators::tag::count, boost::accumulators::tag::sum,
        boost::accumulators::tag::extended_p_square_quantile_quadratic>>;

/// Counters, gauges and summaries of one process; owned by its main task.
struct Metrics {
  std::map<RefusalReason, std::uint64_t> m_Refusals;
  std::map<RetryReason, std::uint64_t> m_Retries;
  /// Full metric name with labels, for example
  /// `vanillaferry_requests_total{kind="chat"}`.
  std::map<std::string, std::uint64_t> m_Counters;
  std::map<std::string, double> m_Gauges;
  std::map<std::string, Summary> m_Summaries;
};

/// Starts all refusal and retry counters at zero.
Metrics makeMetrics();

void countRefusal(Metrics &M, RefusalReason Reason);
void countRetry(Metrics &M, RetryReason Reason);
void addCounter(Metrics &M, const std::string &Name, std::uint64_t Step = 1);
void setGauge(Metrics &M, const std::string &Name, double Value);
/// Adds a duration in seconds to a summary.
void observe(Metrics &M, const std::string &Name, double Seconds);

/// Writes the metrics in Prometheus's text exposition format.
std::string renderMetrics(const Metrics &M);

} // namespace vanillaferry
