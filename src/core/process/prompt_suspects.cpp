#include "vanillaferry/process/prompt_suspects.hpp"

#include "process/internal/end_count.hpp"
#include "vanillaferry/process/prompt_report_sum.hpp"
#include "vanillaferry/request/request_content.hpp"

#include <algorithm>
#include <optional>

namespace vanillaferry {

using internal::countEnds;
using internal::countEndsOfRequest;
using internal::endTimes;

namespace {

/// Ends are evidence for this long: a part may be asked for rarely.
constexpr Millis EvidenceLifetime{600000};
constexpr std::size_t MaxEnds = 512;
/// About 100 bytes each.
constexpr std::size_t MaxEvidenceParts = 100000;
/// Requests kept of one end; an engine runs about as many.
constexpr std::size_t MaxRequestsOfEnd = 256;
/// Ends after which the routers are asked about a part.
constexpr std::size_t SuspectThreshold = 2;
/// Time for the routers' answers.
constexpr Millis AnswerTime{500};
/// A tie of several parts is decided against all of them after this many ends.
constexpr std::size_t TieThreshold = 4;
/// Needed when most of the recent ends were not under the part, or when targets
/// answered with it before: engines end for other reasons then, and a few
/// requests in a hundred are cut by chance.
constexpr std::size_t ThresholdAmongOthers = 5;
/// Needed when both hold.
constexpr std::size_t ThresholdOfServed = 8;
constexpr Millis RecentEnds{60000};
/// Routers that have answered requests for less than this know too little of
/// what is sound: after a start of the fleet no part was answered yet.
constexpr Millis HistoryNeeded{10000};

/// A part that was at this many ends beyond those of a refused request may be
/// what ended these too.
constexpr std::size_t EndsBeyondRequest = 2;

/// What speaks against one part.
struct PartEvidence {
  std::vector<const TargetEnd *> m_Ends;
  /// Ends that a refused request explains; its prompt may be to blame.
  std::vector<const TargetEnd *> m_EndsOfRequests;
  std::set<std::uint64_t> m_Chats;
  /// See weigh().
  std::size_t m_Count = 0;
};

using EvidenceTable = std::map<PromptPartId, PartEvidence>;

void dropOldEnds(PromptSuspects &Suspects, Millis Now) {
  while (!Suspects.m_Ends.empty() &&
         (Suspects.m_Ends.front().m_At + EvidenceLifetime < Now ||
          Suspects.m_Ends.size() > MaxEnds ||
          Suspects.m_PartCount > MaxEvidenceParts)) {
    for (const CrashedRequest &Each : Suspects.m_Ends.front().m_Requests)
      Suspects.m_PartCount -= Each.m_Parts.size();
    Suspects.m_Ends.pop_front();
  }
}

TargetEnd &findOrAddEnd(PromptSuspects &Suspects, const TargetId &Target,
                        Millis At) {
  for (TargetEnd &Each : Suspects.m_Ends) {
    if (Each.m_Target != Target || !isSameEnd(Each.m_At, At))
      continue;
    Each.m_At = std::min(Each.m_At, At);
    return Each;
  }
  Suspects.m_Ends.push_back({Target, At, {}});
  return Suspects.m_Ends.back();
}

/// True when the request's cut at the target is recorded. Reports are repeated,
/// and one that was under way for longer dates its cuts later: it may open a
/// second entry for the same end, which must not get the request again.
bool isRecorded(const PromptSuspects &Suspects, const TargetId &Target,
                std::uint64_t Request) {
  return std::any_of(Suspects.m_Ends.begin(), Suspects.m_Ends.end(),
                     [&Target, Request](const TargetEnd &End) {
                       return End.m_Target == Target &&
                              std::any_of(
                                  End.m_Requests.begin(), End.m_Requests.end(),
                                  [Request](const CrashedRequest &Each) {
                                    return Each.m_Request == Request;
                                  });
                     });
}

void addRequest(PromptSuspects &Suspects, TargetEnd &End,
                const CutRequest &Cut) {
  if (isRecorded(Suspects, End.m_Target, Cut.m_Request) ||
      End.m_Requests.size() >= MaxRequestsOfEnd)
    return;
  CrashedRequest Request{Cut.m_Request, Cut.m_Chat, splitPartIds(Cut.m_Parts)};
  if (Request.m_Parts.size() > MaxSharedParts)
    Request.m_Parts.resize(MaxSharedParts);
  Suspects.m_PartCount += Request.m_Parts.size();
  End.m_Requests.push_back(std::move(Request));
}

bool contains(const TargetEnd &End, const PromptPartId &Part) {
  return std::any_of(End.m_Requests.begin(), End.m_Requests.end(),
                     [&Part](const CrashedRequest &Each) {
                       return std::find(Each.m_Parts.begin(),
                                        Each.m_Parts.end(),
                                        Part) != Each.m_Parts.end();
                     });
}

/// What explains an end.
enum class Explanation { None, RefusedRequest, RefusedPart };

Explanation explain(const TargetEnd &End, const PromptQuarantine &Held) {
  Explanation Found = Explanation::None;
  for (const std::pair<const PromptPartId, QuarantinedPart> &Row :
       Held.m_Parts) {
    if (!contains(End, Row.first))
      continue;
    if (!isWholeRequest(Row.first))
      return Explanation::RefusedPart;
    Found = Explanation::RefusedRequest;
  }
  return Found;
}

std::optional<Millis> servedAt(const PromptSuspects &Suspects,
                               const PromptPartId &Part) {
  std::map<PromptPartId, Millis>::const_iterator Known =
      Suspects.m_Served.find(Part);
  if (Known == Suspects.m_Served.end())
    return std::nullopt;
  return Known->second;
}

/// More ends are needed against a part when all were under one chat, which may
/// only be unlucky with its repeats.
constexpr std::size_t ExtraEndsOfOneChat = 2;

/// The weight of the evidence against a part, in ends.
std::size_t weigh(const PromptPartId &Part, PartEvidence &Evidence,
                  const std::vector<Millis> &AllTimes) {
  if (isWholeRequest(Part))
    return countEndsOfRequest(Evidence.m_Ends, AllTimes);
  // A request that was only near a refused one has nothing to do with its ends.
  if (Evidence.m_Ends.size() >= EndsBeyondRequest)
    Evidence.m_Ends.insert(Evidence.m_Ends.end(),
                           Evidence.m_EndsOfRequests.begin(),
                           Evidence.m_EndsOfRequests.end());
  std::size_t Count = countEnds(Evidence.m_Ends);
  if (Evidence.m_Chats.size() > 1)
    return Count;
  return Count - std::min(Count, ExtraEndsOfOneChat);
}

void addEvidence(PartEvidence &Evidence, const TargetEnd &End,
                 const CrashedRequest &Request, Explanation Why) {
  bool OfRequest = Why == Explanation::RefusedRequest;
  std::vector<const TargetEnd *> &Ends =
      OfRequest ? Evidence.m_EndsOfRequests : Evidence.m_Ends;
  if (Ends.empty() || Ends.back() != &End)
    Ends.push_back(&End);
  Evidence.m_Chats.insert(Request.m_Chat);
}

/// Evidence against all parts that are not refused, from the ends that no
/// refused part explains and that came after the last answer with the part.
EvidenceTable collectEvidence(const PromptSuspects &Suspects,
                              const PromptQuarantine &Held) {
  EvidenceTable Table;
  for (const TargetEnd &End : Suspects.m_Ends) {
    Explanation Why = explain(End, Held);
    if (Why == Explanation::RefusedPart)
      continue;
    for (const CrashedRequest &Request : End.m_Requests)
      for (const PromptPartId &Part : Request.m_Parts) {
        std::optional<Millis> Served = servedAt(Suspects, Part);
        bool Before = Served && End.m_At <= *Served;
        if (!Before && Held.m_Parts.count(Part) == 0)
          addEvidence(Table[Part], End, Request, Why);
      }
  }
  std::vector<Millis> AllTimes = endTimes(Suspects);
  for (std::pair<const PromptPartId, PartEvidence> &Row : Table)
    Row.second.m_Count = weigh(Row.first, Row.second, AllTimes);
  return Table;
}

/// Keeps m_Asked at the suspects that the routers know of; returns true when
/// they are to be asked about new ones.
bool updateAsked(PromptSuspects &Suspects, const EvidenceTable &Table,
                 Millis Now) {
  bool MayAsk = Now >= Suspects.m_NextAsk;
  std::map<PromptPartId, Millis> Asked;
  for (const std::pair<const PromptPartId, PartEvidence> &Row : Table) {
    if (Row.second.m_Count < SuspectThreshold)
      continue;
    std::map<PromptPartId, Millis>::const_iterator Known =
        Suspects.m_Asked.find(Row.first);
    bool IsNew = Known == Suspects.m_Asked.end();
    Suspects.m_AskDue = Suspects.m_AskDue || IsNew;
    if (!IsNew || MayAsk)
      Asked[Row.first] = IsNew ? Now : Known->second;
  }
  Suspects.m_AskDue =
      Suspects.m_AskDue || Asked.size() != Suspects.m_Asked.size();
  Suspects.m_Asked = std::move(Asked);
  if (!MayAsk || !Suspects.m_AskDue)
    return false;
  Suspects.m_AskDue = false;
  Suspects.m_NextAsk = Now + Suspects.m_AskInterval;
  return true;
}

std::string targetNames(const PartEvidence &Evidence) {
  constexpr std::size_t MaxNames = 5;
  std::string Names;
  for (std::size_t Index = 0;
       Index < std::min(Evidence.m_Ends.size(), MaxNames); ++Index)
    Names +=
        (Names.empty() ? "" : ",") + Evidence.m_Ends[Index]->m_Target.m_Value;
  return Names;
}

/// What is judged: whole requests and prompt parts, one kind after the other.
enum class Judged { Requests, Parts };

/// The requests or parts with the most ends. Among equals, those with which no
/// target has answered lately go first: a sound part is answered elsewhere.
std::vector<PromptPartId> strongest(const PromptSuspects &Suspects,
                                    const EvidenceTable &Table, Judged Kind) {
  std::size_t Most = 1;
  std::vector<PromptPartId> Unserved;
  std::vector<PromptPartId> Served;
  for (const std::pair<const PromptPartId, PartEvidence> &Row : Table) {
    bool OfKind = isWholeRequest(Row.first) == (Kind == Judged::Requests);
    if (!OfKind || Row.second.m_Count < Most)
      continue;
    if (Row.second.m_Count > Most) {
      Most = Row.second.m_Count;
      Unserved.clear();
      Served.clear();
    }
    (servedAt(Suspects, Row.first) ? Served : Unserved).push_back(Row.first);
  }
  return Unserved.empty() ? Served : Unserved;
}

/// Ends that are needed to refuse one part, the strongest.
std::size_t endsNeeded(const PromptSuspects &Suspects,
                       const PromptQuarantine &Held, const PromptPartId &Part,
                       const PartEvidence &Evidence, Millis Now) {
  bool NeverServed = !servedAt(Suspects, Part);
  // Hardly any sound request is cut three times without an answer.
  if (isWholeRequest(Part))
    return NeverServed ? QuarantineThreshold : ThresholdAmongOthers;
  Millis From = std::min(Evidence.m_Ends.front()->m_At, Now - RecentEnds);
  std::vector<const TargetEnd *> Recent;
  for (const TargetEnd &End : Suspects.m_Ends)
    if (End.m_At >= From && explain(End, Held) == Explanation::None)
      Recent.push_back(&End);
  bool UnderMost = Evidence.m_Count * 2 > countEnds(Recent);
  if (!UnderMost && !NeverServed)
    return ThresholdOfServed;
  bool Known = Suspects.m_History >= HistoryNeeded;
  return UnderMost && NeverServed && Known ? QuarantineThreshold
                                           : ThresholdAmongOthers;
}

/// True when the routers were asked about the part and had time to answer.
bool hadTimeToAnswer(const PromptSuspects &Suspects, const PromptPartId &Part,
                     Millis Now) {
  std::map<PromptPartId, Millis>::const_iterator Asked =
      Suspects.m_Asked.find(Part);
  return Asked != Suspects.m_Asked.end() && Asked->second + AnswerTime <= Now;
}

/// The strongest of one kind if the evidence suffices, else none.
std::vector<PromptPartId> refusable(const PromptSuspects &Suspects,
                                    const PromptQuarantine &Held,
                                    const EvidenceTable &Table, Judged Kind,
                                    Millis Now) {
  std::vector<PromptPartId> Parts = strongest(Suspects, Table, Kind);
  if (Parts.empty())
    return Parts;
  const PartEvidence &Evidence = Table.at(Parts.front());
  std::size_t Needed = endsNeeded(Suspects, Held, Parts.front(), Evidence, Now);
  if (Parts.size() > 1)
    Needed = std::max(Needed, TieThreshold);
  bool HadTime =
      std::all_of(Parts.begin(), Parts.end(), [&](const PromptPartId &Part) {
        return hadTimeToAnswer(Suspects, Part, Now);
      });
  if (Evidence.m_Count < Needed || !HadTime)
    Parts.clear();
  return Parts;
}

std::size_t countOf(const EvidenceTable &Table,
                    const std::vector<PromptPartId> &Parts) {
  return Parts.empty() ? 0 : Table.at(Parts.front()).m_Count;
}

/// The requests or parts to refuse now. A part goes first when it was at more
/// ends than one request explains; else the request is the narrower
/// explanation, which leaves the other requests with the part in service.
std::vector<PromptPartId> partsToRefuse(const PromptSuspects &Suspects,
                                        const PromptQuarantine &Held,
                                        const EvidenceTable &Table,
                                        Millis Now) {
  std::vector<PromptPartId> Requests =
      refusable(Suspects, Held, Table, Judged::Requests, Now);
  std::vector<PromptPartId> Parts =
      refusable(Suspects, Held, Table, Judged::Parts, Now);
  std::size_t OfRequest =
      countOf(Table, strongest(Suspects, Table, Judged::Requests));
  std::size_t Beyond = Requests.empty() ? 1 : EndsBeyondRequest;
  return countOf(Table, Parts) >= OfRequest + Beyond ? Parts : Requests;
}

/// True when each end under the part was also under another refused part that
/// has more of them.
bool isExplainedAway(const PromptSuspects &Suspects,
                     const PromptQuarantine &Held, const PromptPartId &Part) {
  for (const std::pair<const PromptPartId, QuarantinedPart> &Row :
       Held.m_Parts) {
    if (Row.first == Part)
      continue;
    std::size_t Own = 0;
    std::size_t Both = 0;
    std::size_t Other = 0;
    for (const TargetEnd &End : Suspects.m_Ends) {
      bool UnderPart = contains(End, Part);
      bool UnderOther = contains(End, Row.first);
      Own += UnderPart ? 1 : 0;
      Other += UnderOther ? 1 : 0;
      Both += UnderPart && UnderOther ? 1 : 0;
    }
    if (Own > 0 && Both == Own && Other > Own)
      return true;
  }
  return false;
}

std::optional<Millis> lastEndUnder(const PromptSuspects &Suspects,
                                   const PromptPartId &Part) {
  std::optional<Millis> Last;
  for (const TargetEnd &End : Suspects.m_Ends)
    if (contains(End, Part))
      Last = std::max(Last.value_or(End.m_At), End.m_At);
  return Last;
}

/// A leader that does not know when the trial began has only ends that routers
/// have just repeated.
Millis trialSince(const PromptSuspects &Suspects, const PromptPartId &Part) {
  std::map<PromptPartId, Millis>::const_iterator Known =
      Suspects.m_TrialSince.find(Part);
  return Known == Suspects.m_TrialSince.end() ? Millis() : Known->second;
}

void judgeRefused(const PromptSuspects &Suspects, const PromptQuarantine &Held,
                  SuspectDecision &Decision) {
  for (const std::pair<const PromptPartId, QuarantinedPart> &Row :
       Held.m_Parts) {
    std::optional<Millis> Served = servedAt(Suspects, Row.first);
    std::optional<Millis> Ended = lastEndUnder(Suspects, Row.first);
    bool ServedSince = Served && (!Ended || *Ended < *Served);
    if (ServedSince || isExplainedAway(Suspects, Held, Row.first))
      Decision.m_Release.push_back({Row.first});
    else if (Row.second.m_OnTrial && Ended &&
             *Ended > trialSince(Suspects, Row.first))
      Decision.m_Quarantine.push_back(
          {Row.first, UnixMillis(), Row.second.m_Targets, false});
  }
}

/// Answers that are older than all ends change nothing.
void dropOldAnswers(PromptSuspects &Suspects, const PromptQuarantine &Held,
                    Millis Now) {
  std::map<PromptPartId, Millis>::iterator Row = Suspects.m_Served.begin();
  while (Row != Suspects.m_Served.end()) {
    bool Needed = Held.m_Parts.count(Row->first) != 0 ||
                  Row->second + EvidenceLifetime > Now;
    Row = Needed ? std::next(Row) : Suspects.m_Served.erase(Row);
  }
}

} // namespace

void recordPromptReport(PromptSuspects &Suspects, const PromptReport &Report,
                        Millis Now) {
  for (const ServedPart &Each : Report.m_Served) {
    Millis At = Now - Each.m_Age;
    Millis &Served = Suspects.m_Served.emplace(Each.m_Part, At).first->second;
    Served = std::max(Served, At);
  }
  Suspects.m_History = std::max(Suspects.m_History, Report.m_History);
  for (const TargetCrash &Crash : Report.m_Crashes) {
    TargetEnd &End = findOrAddEnd(Suspects, Crash.m_Target, Now - Crash.m_Age);
    for (const CutRequest &Cut : Crash.m_Requests)
      addRequest(Suspects, End, Cut);
  }
  dropOldEnds(Suspects, Now);
}

SuspectDecision judgeSuspects(PromptSuspects &Suspects,
                              const PromptQuarantine &Held, Millis Now) {
  SuspectDecision Decision;
  dropOldEnds(Suspects, Now);
  judgeRefused(Suspects, Held, Decision);
  EvidenceTable Table = collectEvidence(Suspects, Held);
  Decision.m_Ask = updateAsked(Suspects, Table, Now);
  std::vector<PromptPartId> Refused = partsToRefuse(Suspects, Held, Table, Now);
  for (const PromptPartId &Part : Refused)
    Decision.m_Quarantine.push_back(
        {Part, UnixMillis(), targetNames(Table.at(Part)), Refused.size() > 1});
  dropOldAnswers(Suspects, Held, Now);
  return Decision;
}

void forgetAnswers(PromptSuspects &Suspects, const PromptPartId &Part) {
  Suspects.m_Served.erase(Part);
}

void recordTrial(PromptSuspects &Suspects, const PromptPartId &Part,
                 Millis Now) {
  Suspects.m_TrialSince[Part] = Now;
}

void forgetPart(PromptSuspects &Suspects, const PromptPartId &Part) {
  Suspects.m_TrialSince.erase(Part);
  Suspects.m_Asked.erase(Part);
  Suspects.m_Served.erase(Part);
  for (TargetEnd &End : Suspects.m_Ends)
    for (CrashedRequest &Request : End.m_Requests) {
      std::vector<PromptPartId>::iterator Found =
          std::find(Request.m_Parts.begin(), Request.m_Parts.end(), Part);
      if (Found == Request.m_Parts.end())
        continue;
      Request.m_Parts.erase(Found);
      --Suspects.m_PartCount;
    }
}

} // namespace vanillaferry
