#include "vanillaferry/process/prompt_quarantine.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

Millis trialDelay(std::uint32_t Failed) {
  Millis Delay = FirstTrialDelay;
  for (std::uint32_t Count = 0; Count < Failed && Delay < LongestTrialDelay;
       ++Count)
    Delay = Delay + Delay;
  return std::min(Delay, LongestTrialDelay);
}

void dropFirstRefused(PromptQuarantine &Held) {
  Held.m_Parts.erase(std::min_element(
      Held.m_Parts.begin(), Held.m_Parts.end(),
      [](const std::pair<const PromptPartId, QuarantinedPart> &A,
         const std::pair<const PromptPartId, QuarantinedPart> &B) {
        return A.second.m_Since < B.second.m_Since;
      }));
}

} // namespace

bool applyQuarantinePart(PromptQuarantine &Held, const QuarantinePart &Input) {
  std::map<PromptPartId, QuarantinedPart>::iterator Known =
      Held.m_Parts.find(Input.m_Part);
  bool IsNew = Known == Held.m_Parts.end();
  if (!IsNew && !Known->second.m_OnTrial)
    return false;
  if (IsNew && Held.m_Parts.size() >= MaxQuarantinedParts)
    dropFirstRefused(Held);
  QuarantinedPart &Part = Held.m_Parts[Input.m_Part];
  if (IsNew)
    Part.m_Since = Input.m_At;
  else
    ++Part.m_FailedTrials;
  Part.m_OnTrial = false;
  Part.m_Targets = Input.m_Targets;
  Millis Delay =
      IsNew && Input.m_Tied ? TiedTrialDelay : trialDelay(Part.m_FailedTrials);
  Part.m_TrialAt = UnixMillis(Input.m_At.m_Value + Delay.m_Value);
  return true;
}

bool applyReleasePart(PromptQuarantine &Held, const ReleasePart &Input) {
  return Held.m_Parts.erase(Input.m_Part) != 0;
}

bool applyBeginTrial(PromptQuarantine &Held, const BeginTrial &Input) {
  std::map<PromptPartId, QuarantinedPart>::iterator Known =
      Held.m_Parts.find(Input.m_Part);
  if (Known == Held.m_Parts.end() || Known->second.m_OnTrial ||
      Known->second.m_FailedTrials != Input.m_Failed)
    return false;
  Known->second.m_OnTrial = true;
  return true;
}

std::vector<BeginTrial> dueTrials(const PromptQuarantine &Held,
                                  UnixMillis Now) {
  std::vector<BeginTrial> Due;
  for (const std::pair<const PromptPartId, QuarantinedPart> &Row : Held.m_Parts)
    if (!Row.second.m_OnTrial && Row.second.m_TrialAt <= Now)
      Due.push_back({Row.first, Row.second.m_FailedTrials});
  return Due;
}

std::vector<RefusedPart> refusedParts(const PromptQuarantine &Held) {
  std::vector<RefusedPart> Parts;
  for (const std::pair<const PromptPartId, QuarantinedPart> &Row : Held.m_Parts)
    Parts.push_back(
        {Row.first, Row.second.m_OnTrial ? Row.second.m_FailedTrials + 1 : 0});
  return Parts;
}

} // namespace vanillaferry
