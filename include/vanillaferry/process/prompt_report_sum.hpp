#pragma once

#include "vanillaferry/connection/message.hpp"

#include <map>
#include <optional>
#include <vector>

namespace vanillaferry {

/// True when reports on one target with these times are on the same end.
bool isSameEnd(Millis A, Millis B);

/// Ends of one target's requests, with their time.
struct DatedCrash {
  TargetCrash m_Crash;
  Millis m_At;
};

/// Reports of the gateways that a keeper serves, summed up for the leader: a
/// report of each of 300 gateways, several times a second, would take more of
/// the leader's time than their leases.
struct PromptReportSum {
  /// When the first report of this sum arrived; empty without any.
  std::optional<Millis> m_Since;
  /// When a part was last answered.
  std::map<PromptPartId, Millis> m_ServedAt;
  std::vector<DatedCrash> m_Crashes;
  Millis m_History;
};

void addReport(PromptReportSum &Sum, const PromptReport &Report, Millis Now);

/// The sum as a report of this keeper once it is HoldTime old; starts anew.
std::optional<PromptReport> takeReport(PromptReportSum &Sum,
                                       const NodeId &Keeper, Millis HoldTime,
                                       Millis Now);

} // namespace vanillaferry
