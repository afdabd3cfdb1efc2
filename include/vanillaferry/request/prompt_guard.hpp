#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/reason.hpp"
#include "vanillaferry/request/prompt_part.hpp"
#include "vanillaferry/request/served_parts.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillaferry {

// Some prompt parts end every engine that begins to write an answer to them,
// and some requests every target that begins to run them. In the following a
// part may also be a request as a whole (request_content.hpp). Each router
// reports the ends that it sees to the leading keeper, which counts
// them for the whole fleet (process/prompt_suspects.hpp) and states which parts
// must not be sent any more.

/// A request as its evidence needs it.
struct PromptOfRequest {
  RequestId m_Request;
  AccountId m_Account;
  /// Hash of the last part, which belongs to one chat.
  std::uint64_t m_Chat = 0;
  /// judgedParts() of the request.
  std::vector<PromptPartId> m_Parts;
};

/// A request that lost its answer when its target ended.
struct ObservedCut {
  TargetId m_Target;
  /// The request as a whole.
  PromptPartId m_Whole;
  Millis m_At;
  CutRequest m_Cut;
  bool m_Reported = false;
};

/// A refused part for which one router may try a single request at a time.
struct PromptTrial {
  std::uint32_t m_Number = 0;
  bool m_Running = false;
};

/// What one router knows of such prompt parts.
struct PromptGuard {
  /// Version of m_Refused; 0 before the keepers stated any.
  std::uint64_t m_Version = 0;
  /// Parts that must not be sent; on trial where m_Number is not 0.
  std::map<PromptPartId, PromptTrial> m_Refused;
  /// Parts under which several engines ended, and which are not refused yet.
  std::set<PromptPartId> m_Suspects;

  ServedParts m_Served;
  /// Whole requests that were answered. They are kept apart from the parts,
  /// which they would push out.
  ServedParts m_ServedRequests;
  /// Recent cuts, all of which each report repeats: a new leader knows none.
  std::deque<ObservedCut> m_Cuts;
  /// Suspects and refused parts with which a target has answered since the last
  /// report.
  std::set<PromptPartId> m_ServedNews;
  bool m_ReportDue = false;
  Millis m_NextReport;
  Millis m_NextRepeat;
};

/// An answer that goes on for this long after its first event has not ended its
/// engine at its beginning.
constexpr Millis AnswerSurvivalTime{500};

/// Applies what the keepers state; true when a part is refused that was not
/// before.
bool applyQuarantine(PromptGuard &Guard, std::uint64_t Version,
                     const std::vector<RefusedPart> &Parts);

/// Applies the leader's suspects and prepares the answer: which of them were
/// served here.
void applySuspects(PromptGuard &Guard, const PromptWatch &Watch);

/// The router that may try a part, so that the fleet has one trial at a time.
const NodeId *trialRouter(const PromptPartId &Part, std::uint32_t Trial,
                          const std::vector<NodeId> &Routers);

/// The first part for which the request must not be sent now; absent when it
/// may be.
std::optional<PromptPartId> refusedPart(const PromptGuard &Guard,
                                        const std::vector<PromptPartId> &Parts,
                                        const NodeId &Self,
                                        const std::vector<NodeId> &Routers);

/// Why and with which message a request with the refused part is refused.
RefusalReason refusalReason(const PromptPartId &Part);
std::string refusalText(const PromptPartId &Part);

/// The first part for which the request must not be sent to another target
/// after its last one has ended; absent when it may be.
std::optional<PromptPartId> suspectPart(const PromptGuard &Guard,
                                        const std::vector<PromptPartId> &Parts,
                                        Millis Now);

/// To be called when a request is sent; true when it is the trial of a refused
/// part.
bool recordPromptSent(PromptGuard &Guard,
                      const std::vector<PromptPartId> &Parts);
/// To be called when a try has ended in any way.
void recordPromptEnded(PromptGuard &Guard,
                       const std::vector<PromptPartId> &Parts);

/// Records that a target answered the request, or has done so for
/// AnswerSurvivalTime.
void recordPromptServed(PromptGuard &Guard, const PromptOfRequest &Prompt,
                        Millis Now);

/// Records that the target's connection ended before the answer did. FirstEvent
/// is the age of the answer's first event, absent before it.
void recordPromptCut(PromptGuard &Guard, const PromptOfRequest &Prompt,
                     const TargetId &Target, std::optional<Millis> FirstEvent,
                     Millis Now);

/// The next report to the leading keeper; absent when none is due.
std::optional<PromptReport> takePromptReport(PromptGuard &Guard,
                                             const NodeId &Self, Millis Now);

} // namespace vanillaferry
