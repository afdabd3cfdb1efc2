#include "gateway/exchange.hpp"

#include "process/clock.hpp"
#include "process/log.hpp"
#include "vanillaferry/request/request_content.hpp"

namespace vanillaferry {

namespace {

/// Callers are not invited back soon: nothing changes before a trial or before
/// an operator releases the part.
constexpr Millis RetryRefusedPrompt{3600000};

} // namespace

bool Exchange::mayBePrompted() const {
  return m_IsTrial || !refusedPart(m_Gateway.m_Prompts, m_JudgedParts,
                                   m_Gateway.m_Settings.m_Node,
                                   m_Gateway.m_Control.m_Routers);
}

void Exchange::refusePrompt() {
  if (m_FallbackAnswer || m_PossibleRuns > 0)
    return fail(RefusalReason::TargetFailed,
                "the request, or a part of its prompt, ends targets");
  PromptPartId Part =
      refusedPart(m_Gateway.m_Prompts, m_JudgedParts,
                  m_Gateway.m_Settings.m_Node, m_Gateway.m_Control.m_Routers)
          .value_or(PromptPartId());
  refuse(refusalReason(Part), RetryRefusedPrompt, refusalText(Part));
}

PromptPartId Exchange::wholeId() const {
  std::string Url = m_Request.m_Host + m_Raw.m_Path + "?" + m_Raw.m_Query;
  return wholeRequest({m_Account.value_or(AccountId()), m_Raw.m_Method, Url,
                       m_Raw.m_Body.text()});
}

PromptOfRequest Exchange::promptOfRequest() const {
  PromptOfRequest Prompt;
  Prompt.m_Request = m_Request.m_Id;
  Prompt.m_Account = m_Account.value_or(AccountId());
  Prompt.m_Chat = hashOwnPart(m_Request.m_PromptParts);
  Prompt.m_Parts = m_JudgedParts;
  return Prompt;
}

void Exchange::recordCut(const std::string &Detail) {
  Millis Now = monotonicNow();
  std::optional<Millis> FirstEvent;
  if (m_Try->m_FirstEventAt)
    FirstEvent = Now - *m_Try->m_FirstEventAt;
  addCounter(m_Gateway.m_Metrics, "vanillaferry_answers_broken_total");
  logEvent(Event::AnswerBroken,
           {{"request", m_Request.m_Id.m_Value},
            {"target", m_Try->m_Target.m_Value},
            {"route", m_Route.m_Name},
            {"why", Detail},
            {"sent_ms", (Now - m_Try->m_StartedAt).m_Value},
            {"event_ms", FirstEvent.value_or(Millis(-1)).m_Value},
            {"parts", joinPartIds(sharedParts(m_Request.m_PromptParts))},
            {"content", m_JudgedParts.front().m_Value}});
  // Bytes that are no answer come from a target that has not ended. Of a try
  // through another gateway, that one knows how the target ended.
  if (m_Try->m_Call->connectionEnded() && m_Try->m_Relay.empty())
    recordPromptCut(m_Gateway.m_Prompts, promptOfRequest(), m_Try->m_Target,
                    FirstEvent, Now);
}

void Exchange::recordServed() {
  if (!m_Try->m_Relay.empty())
    return;
  // An answer that ends with its connection may have been cut between two
  // events.
  if (m_Try->m_Call->connectionEnded() && !survives())
    return;
  recordPromptServed(m_Gateway.m_Prompts, promptOfRequest(), monotonicNow());
}

bool Exchange::survives() const {
  return m_Try->m_FirstEventAt &&
         monotonicNow() - *m_Try->m_FirstEventAt >= AnswerSurvivalTime;
}

void Exchange::recordSurvival() {
  if (m_Try && survives())
    recordServed();
}

void Exchange::abandonRefusedPrompt() {
  if (m_Done || !m_Try || m_Try->m_FirstEventAt || mayBePrompted())
    return;
  m_Try->m_Call->cancel();
  closeTry(TargetOutcome::Abandoned);
  refusePrompt();
}

} // namespace vanillaferry
