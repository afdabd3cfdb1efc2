#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/prompt_quarantine.hpp"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace vanillaferry {

/// One request that the end of a target cut off.
struct CrashedRequest {
  std::uint64_t m_Request = 0;
  std::uint64_t m_Chat = 0;
  std::vector<PromptPartId> m_Parts;
};

/// The end of one target, as all routers reported it.
struct TargetEnd {
  TargetId m_Target;
  Millis m_At;
  std::vector<CrashedRequest> m_Requests;
};

/// The leader's evidence on prompt parts that end engines. It is kept in memory
/// only: routers repeat their last reports to a new leader.
struct PromptSuspects {
  /// In order of arrival, the oldest first.
  std::deque<TargetEnd> m_Ends;
  /// Part ids in m_Ends, which bound its memory.
  std::size_t m_PartCount = 0;
  /// When a target last answered with a part, of suspected and refused parts.
  std::map<PromptPartId, Millis> m_Served;
  /// When the present trial of a refused part began.
  std::map<PromptPartId, Millis> m_TrialSince;
  /// The longest time for which a router has recorded answers.
  Millis m_History;
  /// Suspects, with the time at which the routers were asked about them.
  std::map<PromptPartId, Millis> m_Asked;
  /// The routers are asked at most this often.
  Millis m_AskInterval;
  Millis m_NextAsk;
  /// The suspects have changed since the routers were last asked.
  bool m_AskDue = false;
};

/// What the leader does next.
struct SuspectDecision {
  std::vector<QuarantinePart> m_Quarantine;
  std::vector<ReleasePart> m_Release;
  /// True when the routers are to be asked about m_Asked.
  bool m_Ask = false;
};

/// Ends of targets after which a part is refused.
constexpr std::size_t QuarantineThreshold = 3;

void recordPromptReport(PromptSuspects &Suspects, const PromptReport &Report,
                        Millis Now);

/// Judges the evidence. A part is refused when it was in requests of different
/// chats at three ends of targets since a target last answered with it, no
/// router that was asked has seen it answered meanwhile, and no other part
/// explains more of these ends. An end that a refused part explains is no
/// evidence against others, which is how the parts that were only near are told
/// from the one that ends engines. A refused part is released when a target has
/// answered with it since, or when another one explains all of its ends.
SuspectDecision judgeSuspects(PromptSuspects &Suspects,
                              const PromptQuarantine &Held, Millis Now);

/// To be called when a part was refused: only later answers speak for it.
void forgetAnswers(PromptSuspects &Suspects, const PromptPartId &Part);

/// To be called when the trial of a part begins: only later ends speak against
/// it.
void recordTrial(PromptSuspects &Suspects, const PromptPartId &Part,
                 Millis Now);

/// Drops what is known of a part that an operator has released.
void forgetPart(PromptSuspects &Suspects, const PromptPartId &Part);

} // namespace vanillaferry
