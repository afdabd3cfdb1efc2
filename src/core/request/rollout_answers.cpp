#include "vanillaferry/request/rollout_answers.hpp"

namespace vanillaferry {

namespace {

RouteEvidence &evidenceOf(RolloutAnswers &Answers, const std::string &Route) {
  RouteEvidence &Evidence = Answers.m_Routes[Route];
  Evidence.m_Route = Route;
  return Evidence;
}

VersionEvidence &sideOf(RolloutAnswers &Answers, const std::string &Route,
                        bool New) {
  RouteEvidence &Evidence = evidenceOf(Answers, Route);
  return New ? Evidence.m_New : Evidence.m_Others;
}

void countFailure(RolloutAnswers &Answers, const std::string &Route, bool New) {
  VersionEvidence &Side = sideOf(Answers, Route, New);
  ++Side.m_Answers;
  ++Side.m_Failures;
}

void countAnswer(RolloutAnswers &Answers, const SeenAnswer &Seen, Millis Now) {
  bool Suspect = Seen.m_Failed && Seen.m_MayBeLink;
  if (Suspect)
    Answers.m_Suspects.push_back({Now, Seen.m_New, Seen.m_Route,
                                  Answers.m_OthersWhole, Answers.m_OthersCut});
  else if (Seen.m_Failed)
    countFailure(Answers, Seen.m_Route, Seen.m_New);
  // An answer that the deadline cut off says nothing about the link.
  if (!Seen.m_New && !Seen.m_Overdue)
    ++(Suspect ? Answers.m_OthersCut : Answers.m_OthersWhole);
  if (Seen.m_Failed)
    return;
  VersionEvidence &Side = sideOf(Answers, Seen.m_Route, Seen.m_New);
  ++Side.m_Answers;
  if (Seen.m_Total)
    addToBuckets(Side.m_Times, *Seen.m_Total);
}

} // namespace

AnswerJudgement addAnswer(RolloutAnswers &Answers, const SeenAnswer &Seen,
                          Millis Now) {
  std::optional<Millis> Limit =
      localSlowLimit(evidenceOf(Answers, Seen.m_Route).m_Others.m_Times);
  bool Slow = Seen.m_Total && Limit && *Seen.m_Total > *Limit;
  if (Seen.m_Overdue && !Slow)
    return AnswerJudgement::Unjudged;
  countAnswer(Answers, Seen, Now);
  if (!Seen.m_New)
    return AnswerJudgement::Unjudged;
  return Seen.m_Failed || Slow ? AnswerJudgement::Bad : AnswerJudgement::Good;
}

void settleSuspects(RolloutAnswers &Answers, Millis Now) {
  std::deque<SuspectFailure> &Suspects = Answers.m_Suspects;
  while (!Suspects.empty() && Now - Suspects.front().m_At >= LinkFailureTime) {
    const SuspectFailure &First = Suspects.front();
    std::uint64_t Cut = Answers.m_OthersCut - First.m_OthersCut;
    std::uint64_t Whole = Answers.m_OthersWhole - First.m_OthersWhole;
    // While most of the other versions' answers come whole, the link is sound.
    if (Cut == 0 || Cut < Whole)
      countFailure(Answers, First.m_Route, First.m_New);
    Suspects.pop_front();
  }
}

} // namespace vanillaferry
