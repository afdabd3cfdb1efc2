#include "process/clock.hpp"
#include "process/internal/keeper_api.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaferry::internal {

namespace {

/// Judging takes some milliseconds on a twentieth of a core.
constexpr Millis JudgementInterval{100};

/// The leader's questions and the sums of reports grow rarer with the fleet, so
/// that they take a bounded part of its time: with seven gateways at most each
/// judgement, with 291 each 900 ms, and sums each 250 ms.
constexpr Millis AskTimePerRouter{3};
constexpr Millis MaxReportHold{250};

Millis askInterval(const Keeper &Self) {
  return Millis(AskTimePerRouter.m_Value *
                static_cast<std::int64_t>(Self.m_State.m_Members.size()));
}

Millis reportHoldTime(const Keeper &Self) {
  return std::min(MaxReportHold, Millis(static_cast<std::int64_t>(
                                     Self.m_State.m_Members.size())));
}

/// Asks all routers: the gateways connected here, the other keepers for theirs,
/// and the routers that renew with the leader.
void askRouters(Keeper &Self) {
  PromptWatch Watch;
  for (const std::pair<const PromptPartId, Millis> &Row :
       Self.m_Prompts.m_Suspects.m_Asked)
    Watch.m_Suspects.push_back({Row.first});
  addCounter(Self.m_Metrics, "vanillaferry_prompt_watches_total");
  for (const std::pair<const NodeId, ConnectedPeer> &Row : Self.m_Connected) {
    bool Serves = Row.second.m_Role == NodeRole::Keeper ||
                  Self.m_Served.count(Row.first) != 0 ||
                  (Self.m_Leases && Self.m_Leases->m_Leases.count(Row.first));
    if (Serves)
      Self.m_Peers->send(Row.first, Watch);
  }
  for (const SuspectPart &Each : Watch.m_Suspects)
    logEvent(Event::PromptPartSuspected, {{"part", Each.m_Part.m_Value}});
}

template <typename Change>
void proposeOnce(Keeper &Self, const PromptPartId &Part, Change Input) {
  if (!Self.m_Prompts.m_Proposed.insert(Part).second)
    return;
  proposeCommand(Self, std::move(Input), [&Self, Part](const CommandAnswer *) {
    Self.m_Prompts.m_Proposed.erase(Part);
  });
}

void judge(Keeper &Self, Millis Now) {
  PromptJudge &Prompts = Self.m_Prompts;
  Prompts.m_Suspects.m_AskInterval = askInterval(Self);
  SuspectDecision Decision =
      judgeSuspects(Prompts.m_Suspects, Self.m_State.m_Quarantine, Now);
  if (Decision.m_Ask)
    askRouters(Self);
  Prompts.m_Changed = Prompts.m_Changed || Prompts.m_Suspects.m_AskDue;
  for (QuarantinePart &Each : Decision.m_Quarantine) {
    Each.m_At = wallNow();
    proposeOnce(Self, Each.m_Part, Each);
  }
  for (const ReleasePart &Each : Decision.m_Release)
    proposeOnce(Self, Each.m_Part, Each);
}

void answerParts(Keeper &Self, HttpExchange &Exchange) {
  nlohmann::json Parts = nlohmann::json::array();
  for (const std::pair<const PromptPartId, QuarantinedPart> &Row :
       Self.m_State.m_Quarantine.m_Parts) {
    const QuarantinedPart &Part = Row.second;
    Parts.push_back({{"part", Row.first.m_Value},
                     {"since_unix_ms", Part.m_Since.m_Value},
                     {"targets", Part.m_Targets},
                     {"trial_at_unix_ms", Part.m_TrialAt.m_Value},
                     {"failed_trials", Part.m_FailedTrials},
                     {"on_trial", Part.m_OnTrial}});
  }
  Exchange.answer(200, {{"parts", Parts}});
}

} // namespace

void onPromptReport(Keeper &Self, const NodeId &From,
                    const PromptReport &Report) {
  bool Relayed = Report.m_Node != From;
  if (Relayed && !isKeeper(Self, From))
    return;
  if (leads(Self)) {
    addCounter(Self.m_Metrics, "vanillaferry_prompt_reports_total");
    recordPromptReport(Self.m_Prompts.m_Suspects, Report, monotonicNow());
    Self.m_Prompts.m_Changed = true;
    return;
  }
  if (!isKeeper(Self, From))
    addReport(Self.m_PromptReports, Report, monotonicNow());
}

void relayPromptReports(Keeper &Self, Millis Now) {
  std::optional<PromptReport> Sum = takeReport(
      Self.m_PromptReports, NodeId(Self.m_Formation.m_Keeper.m_Value),
      reportHoldTime(Self), Now);
  // Without a leader the sum is lost; the routers repeat their reports.
  if (Sum && Self.m_Running && !Self.m_Replica.m_Leader.empty() && !leads(Self))
    Self.m_Peers->send(NodeId(Self.m_Replica.m_Leader.m_Value),
                       std::move(*Sum));
}

void onPromptWatch(Keeper &Self, const NodeId &From, const PromptWatch &Watch) {
  if (leads(Self) || !isKeeper(Self, From))
    return;
  for (const std::pair<const NodeId, ServedGateway> &Row : Self.m_Served)
    Self.m_Peers->send(Row.first, Watch);
}

void judgePrompts(Keeper &Self, Millis Now) {
  PromptJudge &Prompts = Self.m_Prompts;
  if (Now < Prompts.m_NextJudgement)
    return;
  Prompts.m_NextJudgement = Now + JudgementInterval;
  for (const BeginTrial &Each : dueTrials(Self.m_State.m_Quarantine, wallNow()))
    proposeOnce(Self, Each.m_Part, Each);
  // Suspects are judged again when the time for answers is over.
  if (!Prompts.m_Changed && Prompts.m_Suspects.m_Asked.empty())
    return;
  Prompts.m_Changed = false;
  judge(Self, Now);
}

void recordQuarantineChange(Keeper &Self, const Command &Change) {
  if (const QuarantinePart *Refused = std::get_if<QuarantinePart>(&Change)) {
    forgetAnswers(Self.m_Prompts.m_Suspects, Refused->m_Part);
    logEvent(Event::PromptPartRefused, {{"part", Refused->m_Part.m_Value},
                                        {"targets", Refused->m_Targets}});
  } else if (const ReleasePart *Released = std::get_if<ReleasePart>(&Change)) {
    forgetPart(Self.m_Prompts.m_Suspects, Released->m_Part);
    logEvent(Event::PromptPartReleased, {{"part", Released->m_Part.m_Value}});
  } else if (const BeginTrial *Trial = std::get_if<BeginTrial>(&Change)) {
    recordTrial(Self.m_Prompts.m_Suspects, Trial->m_Part, monotonicNow());
    logEvent(Event::PromptPartOnTrial, {{"part", Trial->m_Part.m_Value},
                                        {"failed_trials", Trial->m_Failed}});
  }
  setGauge(Self.m_Metrics, "vanillaferry_refused_prompt_parts",
           static_cast<double>(Self.m_State.m_Quarantine.m_Parts.size()));
}

void getQuarantine(Keeper &Self, const ExchangePtr &Exchange) {
  afterConfirmedRead(Self, Exchange,
                     [&Self, Exchange] { answerParts(Self, *Exchange); });
}

void deleteQuarantine(Keeper &Self, const ExchangePtr &Exchange,
                      const std::string &Part) {
  if (!leads(Self))
    return answerNotLeader(Self, *Exchange);
  if (Self.m_State.m_Quarantine.m_Parts.count(PromptPartId(Part)) == 0)
    return answerError(*Exchange, 404, "unknown_part",
                       "no such prompt part is refused");
  proposeCommand(Self, ReleasePart{PromptPartId(Part)},
                 [&Self, Exchange, Part](const CommandAnswer *Answer) {
                   if (!Answer)
                     return answerLeaderLost(Self, *Exchange);
                   Exchange->answer(200, {{"part", Part}, {"released", true}});
                 });
}

} // namespace vanillaferry::internal
