#include "request/prompt_refusal.hpp"

#include "process/clock.hpp"
#include "process/lease_client.hpp"
#include "process/log.hpp"
#include "process/router.hpp"
#include "request/internal/run_steps.hpp"
#include "request/run.hpp"
#include "request/session.hpp"

namespace vanillaferry {

namespace {

std::vector<PromptPartId> partsOf(const Forward &Order) {
  return splitPartIds(Order.m_PromptParts);
}

PromptOfRequest promptOf(const Forward &Order) {
  PromptOfRequest Prompt;
  Prompt.m_Request = Order.m_Request;
  Prompt.m_Account = Order.m_Account;
  Prompt.m_Chat = Order.m_PromptChat;
  Prompt.m_Parts = partsOf(Order);
  return Prompt;
}

std::vector<NodeId> routerIds(const Router &R) {
  std::vector<NodeId> Ids;
  for (const Member &Each : R.m_Members.m_Members)
    Ids.push_back(Each.m_Node);
  return Ids;
}

/// Age of the first event; absent before it.
std::optional<Millis> firstEventAge(const Run &Work) {
  if (!Work.m_FirstToken)
    return std::nullopt;
  return monotonicNow() - (Work.m_StartedAt + *Work.m_FirstToken);
}

} // namespace

bool admitPrompt(const std::shared_ptr<Session> &S) {
  Router &R = S->m_Router;
  if (S->m_IsTrial || R.m_Prompts.m_Refused.empty())
    return true;
  std::vector<PromptPartId> Parts = partsOf(S->m_Order);
  std::optional<PromptPartId> Refused =
      refusedPart(R.m_Prompts, Parts, R.m_Settings.m_Node, routerIds(R));
  if (!Refused) {
    S->m_IsTrial = recordPromptSent(R.m_Prompts, Parts);
    return true;
  }
  refuseSession(S, refusalReason(*Refused),
                S->m_MayHaveRun ? NotRun::Unknown : NotRun::True,
                refusalText(*Refused));
  return false;
}

std::optional<PromptPartId> suspectOf(const Session &S) {
  return suspectPart(S.m_Router.m_Prompts, partsOf(S.m_Order), monotonicNow());
}

void endPromptTrial(Session &S) {
  if (S.m_IsTrial)
    recordPromptEnded(S.m_Router.m_Prompts, partsOf(S.m_Order));
  S.m_IsTrial = false;
}

bool mayPromptTarget(const Run &Work) {
  const std::map<PromptPartId, PromptTrial> &Refused =
      Work.m_Router.m_Prompts.m_Refused;
  if (Refused.empty())
    return true;
  for (const PromptPartId &Part : partsOf(Work.m_Order)) {
    std::map<PromptPartId, PromptTrial>::const_iterator Known =
        Refused.find(Part);
    // The entry router decides which request is a trial.
    if (Known != Refused.end() && Known->second.m_Number == 0)
      return false;
  }
  return true;
}

void recordRunCut(const Run &Work) {
  std::optional<Millis> FirstEvent = firstEventAge(Work);
  addCounter(Work.m_Router.m_Metrics, "vanillaferry_answers_broken_total");
  logEvent(Event::AnswerBroken,
           {{"request", Work.m_Order.m_Request.m_Value},
            {"target", Work.m_Target.m_Id.m_Value},
            {"sent_ms", (monotonicNow() - Work.m_StartedAt).m_Value},
            {"event_ms", FirstEvent.value_or(Millis(-1)).m_Value},
            {"parts", Work.m_Order.m_PromptParts}});
  recordPromptCut(Work.m_Router.m_Prompts, promptOf(Work.m_Order),
                  Work.m_Target.m_Id, FirstEvent, monotonicNow());
}

void recordRunServed(const Run &Work) {
  if (!Work.m_Order.m_PromptParts.empty())
    recordPromptServed(Work.m_Router.m_Prompts, promptOf(Work.m_Order),
                       monotonicNow());
}

void applyRefusedParts(Router &R, const Grant &Granted) {
  if (Granted.m_QuarantineVersion <= R.m_Prompts.m_Version)
    return;
  bool Added = applyQuarantine(R.m_Prompts, Granted.m_QuarantineVersion,
                               Granted.m_Quarantine);
  logEvent(
      Event::QuarantineApplied,
      {{"version", Granted.m_QuarantineVersion},
       {"parts", static_cast<std::uint64_t>(Granted.m_Quarantine.size())}});
  if (!Added)
    return;
  // Requests that wait at a target would still end it.
  std::vector<std::shared_ptr<Run>> Waiting;
  for (const std::pair<const RequestId, std::shared_ptr<Run>> &Row : R.m_Runs)
    if (!Row.second->m_FirstToken && !mayPromptTarget(*Row.second))
      Waiting.push_back(Row.second);
  for (const std::shared_ptr<Run> &Work : Waiting)
    finishRun(*Work, StreamEnd::Broken, "a part of the prompt is refused");
}

void handlePromptWatch(Router &R, const PromptWatch &Watch) {
  for (const std::pair<const RequestId, std::shared_ptr<Run>> &Row : R.m_Runs) {
    std::optional<Millis> FirstEvent = firstEventAge(*Row.second);
    if (FirstEvent && *FirstEvent >= AnswerSurvivalTime)
      recordRunServed(*Row.second);
  }
  applySuspects(R.m_Prompts, Watch);
}

void sendPromptReportWhenDue(Router &R) {
  std::optional<PromptReport> Report =
      takePromptReport(R.m_Prompts, R.m_Settings.m_Node, monotonicNow());
  if (!Report)
    return;
  addCounter(R.m_Metrics, "vanillaferry_prompt_reports_total");
  sendToLeader(R, std::move(*Report));
}

} // namespace vanillaferry
