#include "vanillaferry/request/prompt_guard.hpp"

#include "vanillaferry/request/request_content.hpp"

#include <algorithm>
#include <xxhash.h>

namespace vanillaferry {

namespace {

/// Cuts are reported again for this long; a new leader is elected within it.
constexpr Millis CutLifetime{10000};
constexpr std::size_t MaxCuts = 256;
/// Requests on one target are cut within a few milliseconds of each other; one
/// report covers them.
constexpr Millis ReportDelay{50};
constexpr Millis ReportInterval{100};
/// Cuts that were reported before are repeated at most this often.
constexpr Millis RepeatInterval{2000};
/// Cuts of one target that are further apart belong to two ends.
constexpr Millis CrashSpan{1000};
/// A part with which a target answered this router shortly before is no
/// evidence, so that the parts that most requests share are not reported.
constexpr Millis RecentAnswer{5000};
/// The rest of a report with longer lists of parts is left out.
constexpr std::size_t MaxReportBytes = 16384;

std::uint64_t hashOf(const std::string &Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

void scheduleReport(PromptGuard &Guard, Millis At) {
  if (Guard.m_ReportDue)
    return;
  Guard.m_ReportDue = true;
  Guard.m_NextReport = std::max(Guard.m_NextReport, At);
}

std::optional<Millis> lastAnswered(const PromptGuard &Guard,
                                   const PromptPartId &Part) {
  return lastServed(
      isWholeRequest(Part) ? Guard.m_ServedRequests : Guard.m_Served, Part);
}

bool answeredLately(const PromptGuard &Guard, const PromptPartId &Part,
                    Millis Now) {
  std::optional<Millis> At = lastAnswered(Guard, Part);
  return At && Now < *At + RecentAnswer;
}

bool isWatched(const PromptGuard &Guard, const PromptPartId &Part) {
  return Guard.m_Suspects.count(Part) != 0 || Guard.m_Refused.count(Part) != 0;
}

/// The crash of the report that the cut belongs to.
TargetCrash &crashOf(PromptReport &Report, const ObservedCut &Cut, Millis Now) {
  Millis Age = Now - Cut.m_At;
  for (TargetCrash &Each : Report.m_Crashes)
    if (Each.m_Target == Cut.m_Target && Each.m_Age - Age <= CrashSpan)
      return Each;
  TargetCrash Crash;
  Crash.m_Target = Cut.m_Target;
  Crash.m_Age = Age;
  Report.m_Crashes.push_back(std::move(Crash));
  return Report.m_Crashes.back();
}

void addCuts(PromptGuard &Guard, PromptReport &Report, Millis Now) {
  bool Repeat = Now >= Guard.m_NextRepeat;
  if (Repeat)
    Guard.m_NextRepeat = Now + RepeatInterval;
  std::size_t Bytes = 0;
  for (ObservedCut &Cut : Guard.m_Cuts) {
    if (Cut.m_Reported && !Repeat)
      continue;
    Bytes += Cut.m_Cut.m_Parts.size();
    if (Bytes > MaxReportBytes)
      return;
    crashOf(Report, Cut, Now).m_Requests.push_back(Cut.m_Cut);
    Cut.m_Reported = true;
  }
}

} // namespace

bool applyQuarantine(PromptGuard &Guard, std::uint64_t Version,
                     const std::vector<RefusedPart> &Parts) {
  if (Version <= Guard.m_Version)
    return false;
  Guard.m_Version = Version;
  std::map<PromptPartId, PromptTrial> Before = std::move(Guard.m_Refused);
  Guard.m_Refused.clear();
  bool Added = false;
  for (const RefusedPart &Each : Parts) {
    std::map<PromptPartId, PromptTrial>::iterator Known =
        Before.find(Each.m_Part);
    Added = Added || Known == Before.end();
    bool SameTrial =
        Known != Before.end() && Known->second.m_Number == Each.m_Trial;
    Guard.m_Refused[Each.m_Part] =
        SameTrial ? Known->second : PromptTrial{Each.m_Trial, false};
    Guard.m_Suspects.erase(Each.m_Part);
  }
  return Added;
}

void applySuspects(PromptGuard &Guard, const PromptWatch &Watch) {
  Guard.m_Suspects.clear();
  for (const SuspectPart &Each : Watch.m_Suspects) {
    Guard.m_Suspects.insert(Each.m_Part);
    if (!lastAnswered(Guard, Each.m_Part))
      continue;
    Guard.m_ServedNews.insert(Each.m_Part);
    scheduleReport(Guard, Millis());
  }
}

const NodeId *trialRouter(const PromptPartId &Part, std::uint32_t Trial,
                          const std::vector<NodeId> &Routers) {
  const NodeId *Best = nullptr;
  std::uint64_t BestRank = 0;
  std::uint64_t Seed = hashOf(Part.m_Value) + Trial;
  for (const NodeId &Each : Routers) {
    std::uint64_t Rank =
        XXH3_64bits_withSeed(Each.m_Value.data(), Each.m_Value.size(), Seed);
    if (Best && Rank <= BestRank)
      continue;
    Best = &Each;
    BestRank = Rank;
  }
  return Best;
}

std::optional<PromptPartId> refusedPart(const PromptGuard &Guard,
                                        const std::vector<PromptPartId> &Parts,
                                        const NodeId &Self,
                                        const std::vector<NodeId> &Routers) {
  if (Guard.m_Refused.empty())
    return std::nullopt;
  bool HasTrial = false;
  for (const PromptPartId &Part : Parts) {
    std::map<PromptPartId, PromptTrial>::const_iterator Known =
        Guard.m_Refused.find(Part);
    if (Known == Guard.m_Refused.end())
      continue;
    const PromptTrial &Trial = Known->second;
    const NodeId *Router = Trial.m_Number == 0
                               ? nullptr
                               : trialRouter(Part, Trial.m_Number, Routers);
    // The trial of two parts at once would not tell which one is to blame.
    if (!Router || *Router != Self || Trial.m_Running || HasTrial)
      return Part;
    HasTrial = true;
  }
  return std::nullopt;
}

RefusalReason refusalReason(const PromptPartId &Part) {
  return isWholeRequest(Part) ? RefusalReason::CrashingRequest
                              : RefusalReason::PromptRefused;
}

std::string refusalText(const PromptPartId &Part) {
  if (isWholeRequest(Part))
    return "the same request ended the targets that ran it (" + Part.m_Value +
           ")";
  return "part " + Part.m_Value + " of the prompt ends engines";
}

namespace {

/// True when this router saw two targets end under the whole request, whatever
/// the leader knows of it.
bool endedTwoTargets(const PromptGuard &Guard, const PromptPartId &Whole) {
  const TargetId *First = nullptr;
  for (const ObservedCut &Each : Guard.m_Cuts) {
    if (Each.m_Whole != Whole)
      continue;
    if (First && *First != Each.m_Target)
      return true;
    First = &Each.m_Target;
  }
  return false;
}

} // namespace

std::optional<PromptPartId> suspectPart(const PromptGuard &Guard,
                                        const std::vector<PromptPartId> &Parts,
                                        Millis Now) {
  for (const PromptPartId &Part : Parts) {
    bool Accused = isWatched(Guard, Part) ||
                   (isWholeRequest(Part) && endedTwoTargets(Guard, Part));
    if (Accused && !answeredLately(Guard, Part, Now))
      return Part;
  }
  return std::nullopt;
}

namespace {

/// Marks the trials among the parts; true when there is one.
bool setTrialsRunning(PromptGuard &Guard,
                      const std::vector<PromptPartId> &Parts, bool Running) {
  bool IsTrial = false;
  if (Guard.m_Refused.empty())
    return IsTrial;
  for (const PromptPartId &Part : Parts) {
    std::map<PromptPartId, PromptTrial>::iterator Known =
        Guard.m_Refused.find(Part);
    if (Known == Guard.m_Refused.end())
      continue;
    Known->second.m_Running = Running;
    IsTrial = true;
  }
  return IsTrial;
}

} // namespace

bool recordPromptSent(PromptGuard &Guard,
                      const std::vector<PromptPartId> &Parts) {
  return setTrialsRunning(Guard, Parts, true);
}

void recordPromptEnded(PromptGuard &Guard,
                       const std::vector<PromptPartId> &Parts) {
  setTrialsRunning(Guard, Parts, false);
}

void recordPromptServed(PromptGuard &Guard, const PromptOfRequest &Prompt,
                        Millis Now) {
  std::vector<PromptPartId> Whole;
  std::vector<PromptPartId> Shared;
  for (const PromptPartId &Part : Prompt.m_Parts)
    (isWholeRequest(Part) ? Whole : Shared).push_back(Part);
  recordServed(Guard.m_ServedRequests, Whole, Prompt.m_Account, Now);
  if (!Shared.empty())
    recordServed(Guard.m_Served, Shared, Prompt.m_Account, Now);
  for (const PromptPartId &Part : Prompt.m_Parts) {
    if (!isWatched(Guard, Part))
      continue;
    Guard.m_ServedNews.insert(Part);
    scheduleReport(Guard, Now);
  }
}

void recordPromptCut(PromptGuard &Guard, const PromptOfRequest &Prompt,
                     const TargetId &Target, std::optional<Millis> FirstEvent,
                     Millis Now) {
  if (FirstEvent && *FirstEvent >= AnswerSurvivalTime)
    return recordPromptServed(Guard, Prompt, Now);
  std::vector<PromptPartId> Parts;
  for (const PromptPartId &Part : Prompt.m_Parts)
    if (!answeredLately(Guard, Part, Now))
      Parts.push_back(Part);
  if (Parts.empty())
    return;
  ObservedCut Cut;
  Cut.m_Target = Target;
  if (isWholeRequest(Parts.front()))
    Cut.m_Whole = Parts.front();
  Cut.m_At = Now;
  Cut.m_Cut = {hashOf(Prompt.m_Request.m_Value), Prompt.m_Chat,
               joinPartIds(Parts)};
  Guard.m_Cuts.push_back(std::move(Cut));
  if (Guard.m_Cuts.size() > MaxCuts)
    Guard.m_Cuts.pop_front();
  scheduleReport(Guard, Now + ReportDelay);
}

std::optional<PromptReport> takePromptReport(PromptGuard &Guard,
                                             const NodeId &Self, Millis Now) {
  if (!Guard.m_ReportDue || Now < Guard.m_NextReport)
    return std::nullopt;
  Guard.m_ReportDue = false;
  Guard.m_NextReport = Now + ReportInterval;
  while (!Guard.m_Cuts.empty() && Guard.m_Cuts.front().m_At + CutLifetime < Now)
    Guard.m_Cuts.pop_front();
  PromptReport Report;
  Report.m_Node = Self;
  if (Guard.m_Served.m_Since)
    Report.m_History = Now - *Guard.m_Served.m_Since;
  addCuts(Guard, Report, Now);
  for (const PromptPartId &Part : Guard.m_ServedNews)
    if (std::optional<Millis> At = lastAnswered(Guard, Part))
      Report.m_Served.push_back({Part, Now - *At});
  Guard.m_ServedNews.clear();
  return Report;
}

} // namespace vanillaferry
