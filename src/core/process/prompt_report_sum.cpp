#include "vanillaferry/process/prompt_report_sum.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace vanillaferry {

namespace {

/// The same end of the same target, reported again or by another gateway.
DatedCrash *findCrash(PromptReportSum &Sum, const TargetCrash &Crash,
                      Millis At) {
  for (DatedCrash &Each : Sum.m_Crashes) {
    if (Each.m_Crash.m_Target == Crash.m_Target && isSameEnd(Each.m_At, At))
      return &Each;
  }
  return nullptr;
}

void addRequests(TargetCrash &Known, const TargetCrash &Crash) {
  std::set<std::uint64_t> Held;
  for (const CutRequest &Each : Known.m_Requests)
    Held.insert(Each.m_Request);
  for (const CutRequest &Each : Crash.m_Requests)
    if (Held.insert(Each.m_Request).second)
      Known.m_Requests.push_back(Each);
}

} // namespace

bool isSameEnd(Millis A, Millis B) {
  constexpr Millis SameEndSpan{1000};
  return (A < B ? B - A : A - B) <= SameEndSpan;
}

void addReport(PromptReportSum &Sum, const PromptReport &Report, Millis Now) {
  if (!Sum.m_Since)
    Sum.m_Since = Now;
  Sum.m_History = std::max(Sum.m_History, Report.m_History);
  for (const ServedPart &Each : Report.m_Served) {
    Millis At = Now - Each.m_Age;
    Millis &Last = Sum.m_ServedAt.emplace(Each.m_Part, At).first->second;
    Last = std::max(Last, At);
  }
  for (const TargetCrash &Crash : Report.m_Crashes) {
    Millis At = Now - Crash.m_Age;
    DatedCrash *Known = findCrash(Sum, Crash, At);
    if (!Known) {
      Sum.m_Crashes.push_back({Crash, At});
      continue;
    }
    Known->m_At = std::min(Known->m_At, At);
    addRequests(Known->m_Crash, Crash);
  }
}

std::optional<PromptReport> takeReport(PromptReportSum &Sum,
                                       const NodeId &Keeper, Millis HoldTime,
                                       Millis Now) {
  if (!Sum.m_Since || Now < *Sum.m_Since + HoldTime)
    return std::nullopt;
  PromptReport Report;
  Report.m_Node = Keeper;
  Report.m_History = Sum.m_History;
  for (const std::pair<const PromptPartId, Millis> &Row : Sum.m_ServedAt)
    Report.m_Served.push_back({Row.first, Now - Row.second});
  for (DatedCrash &Each : Sum.m_Crashes) {
    Each.m_Crash.m_Age = Now - Each.m_At;
    Report.m_Crashes.push_back(std::move(Each.m_Crash));
  }
  Sum = PromptReportSum();
  return Report;
}

} // namespace vanillaferry
