#include "process/history_register.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <unordered_set>

namespace vanillaferry {

namespace {

constexpr HistoryTime Never = std::numeric_limits<HistoryTime>::infinity();

/// An edit or a read of one section.
struct RegisterOperation {
  std::size_t m_Line = 0;
  HistoryTime m_Start = 0;
  HistoryTime m_End = Never;
  const HistoryEdit *m_Edit = nullptr;
  const HistoryRead *m_Read = nullptr;
  /// Not ended at the time at which the history was truncated.
  bool m_Pending = false;
  /// Another operation has the same edit id.
  bool m_IdRepeated = false;

  bool mayBeLeftOut() const {
    return m_Pending || (m_Edit && m_Edit->m_Outcome == EditOutcome::Unknown);
  }
  /// True when the operation changes nothing, so that a correct history stays
  /// correct without it.
  bool isObservation() const {
    return m_Read ||
           (m_Edit->m_Outcome == EditOutcome::Conflict && !m_IdRepeated);
  }
};

/// The first answer to an edit id that several operations use.
struct KnownEdit {
  std::uint64_t m_Expected = 0;
  std::string m_Content;
  EditOutcome m_Outcome = EditOutcome::Accepted;
  std::uint64_t m_Version = 0;
};

struct RegisterState {
  /// Empty when the initial state is unknown: any first operation is accepted.
  /// Used for parts of a history that begin while no operation is in progress.
  std::optional<std::uint64_t> m_Version;
  /// Empty when the content is unknown.
  std::optional<std::string> m_Content;
  std::map<std::string, KnownEdit> m_Edits;
};

bool applyRead(RegisterState &State, const HistoryRead &Read) {
  if (State.m_Version && *State.m_Version != Read.m_Version)
    return false;
  if (State.m_Content && *State.m_Content != Read.m_Content)
    return false;
  State.m_Version = Read.m_Version;
  State.m_Content = Read.m_Content;
  return true;
}

bool applyKnownEdit(const KnownEdit &Known, const HistoryEdit &Edit) {
  bool SameEdit =
      Known.m_Expected == Edit.m_Expected && Known.m_Content == Edit.m_Content;
  switch (Edit.m_Outcome) {
  case EditOutcome::Unknown:
    return true;
  case EditOutcome::IdReused:
    return !SameEdit;
  default:
    return SameEdit && Known.m_Outcome == Edit.m_Outcome &&
           Known.m_Version == Edit.m_Version;
  }
}

void recordAnswer(RegisterState &State, const RegisterOperation &Operation,
                  EditOutcome Outcome, std::uint64_t Version) {
  if (Operation.m_IdRepeated)
    State.m_Edits[Operation.m_Edit->m_EditId] = {Operation.m_Edit->m_Expected,
                                                 Operation.m_Edit->m_Content,
                                                 Outcome, Version};
}

void accept(RegisterState &State, const RegisterOperation &Operation) {
  State.m_Version = Operation.m_Edit->m_Expected + 1;
  State.m_Content = Operation.m_Edit->m_Content;
  recordAnswer(State, Operation, EditOutcome::Accepted, *State.m_Version);
}

bool applyEdit(RegisterState &State, const RegisterOperation &Operation) {
  const HistoryEdit &Edit = *Operation.m_Edit;
  std::map<std::string, KnownEdit>::const_iterator Known =
      State.m_Edits.find(Edit.m_EditId);
  if (Known != State.m_Edits.end())
    return applyKnownEdit(Known->second, Edit);
  bool Fits = !State.m_Version || *State.m_Version == Edit.m_Expected;
  switch (Edit.m_Outcome) {
  case EditOutcome::Accepted:
    if (!Fits || Edit.m_Version != Edit.m_Expected + 1)
      return false;
    accept(State, Operation);
    return true;
  case EditOutcome::Conflict:
    if (Edit.m_Version == Edit.m_Expected ||
        (State.m_Version && *State.m_Version != Edit.m_Version))
      return false;
    State.m_Version = Edit.m_Version;
    recordAnswer(State, Operation, EditOutcome::Conflict, Edit.m_Version);
    return true;
  case EditOutcome::IdReused:
    return false;
  case EditOutcome::Unknown:
    break;
  }
  if (Fits) {
    accept(State, Operation);
    return true;
  }
  // Without a resend, an edit whose conflict was not seen is left out.
  recordAnswer(State, Operation, EditOutcome::Conflict, *State.m_Version);
  return Operation.m_IdRepeated;
}

std::string keyOf(const std::vector<bool> &Done, const RegisterState &State) {
  std::string Key;
  // Operations are sorted by start, so most of the done ones form a prefix,
  // whose length is enough; the others are listed.
  std::size_t First = static_cast<std::size_t>(
      std::find(Done.begin(), Done.end(), false) - Done.begin());
  Key += std::to_string(First) + ":";
  for (std::size_t I = First; I < Done.size(); ++I)
    if (Done[I])
      Key += std::to_string(I) + ",";
  Key += State.m_Version ? std::to_string(*State.m_Version) : "-";
  Key += "/" + (State.m_Content ? *State.m_Content : std::string("?"));
  for (const std::pair<const std::string, KnownEdit> &Row : State.m_Edits)
    if (Row.second.m_Outcome == EditOutcome::Conflict)
      Key += "|" + Row.first + std::to_string(Row.second.m_Version);
  return Key;
}

enum class SearchResult { Found, None, Undecided };

/// Search for a linearization (Wing and Gong 1993, with the cache of visited
/// states of Lowe 2017). The depth is the number of operations, so the search
/// uses an explicit stack.
struct OrderSearch {
  const std::vector<RegisterOperation> &m_Operations;
  std::uint64_t m_StepsLeft;
  std::unordered_set<std::string> m_Visited;

  struct Frame {
    std::vector<bool> m_Done;
    RegisterState m_State;
  };

  bool complete(const std::vector<bool> &Done) const {
    for (std::size_t I = 0; I < Done.size(); ++I)
      if (!Done[I] && !m_Operations[I].mayBeLeftOut())
        return false;
    return true;
  }

  /// Pushes each operation that may come next: one that began before the
  /// earliest end of those that are not done.
  void expand(const Frame &Current, std::vector<Frame> &Stack) {
    HistoryTime FirstEnd = Never;
    for (std::size_t I = 0; I < m_Operations.size(); ++I)
      if (!Current.m_Done[I])
        FirstEnd = std::min(FirstEnd, m_Operations[I].m_End);
    std::vector<Frame> Next;
    std::vector<Frame> Optional;
    for (std::size_t I = 0; I < m_Operations.size(); ++I) {
      const RegisterOperation &Candidate = m_Operations[I];
      if (Candidate.m_Start > FirstEnd)
        break;
      if (Current.m_Done[I])
        continue;
      RegisterState State = Current.m_State;
      bool Fits = Candidate.m_Read ? applyRead(State, *Candidate.m_Read)
                                   : applyEdit(State, Candidate);
      if (!Fits)
        continue;
      std::vector<bool> Done = Current.m_Done;
      Done[I] = true;
      if (m_Visited.insert(keyOf(Done, State)).second)
        (Candidate.mayBeLeftOut() ? Optional : Next)
            .push_back({std::move(Done), std::move(State)});
    }
    // Operations that must have happened are tried first, in order of their
    // start; the optional ones only when these lead to no linearization.
    for (std::size_t I = Optional.size(); I > 0; --I)
      Stack.push_back(std::move(Optional[I - 1]));
    for (std::size_t I = Next.size(); I > 0; --I)
      Stack.push_back(std::move(Next[I - 1]));
  }

  SearchResult run(RegisterState Initial) {
    std::vector<Frame> Stack;
    Stack.push_back({std::vector<bool>(m_Operations.size()), Initial});
    while (!Stack.empty()) {
      Frame Current = std::move(Stack.back());
      Stack.pop_back();
      if (complete(Current.m_Done))
        return SearchResult::Found;
      if (m_StepsLeft == 0)
        return SearchResult::Undecided;
      --m_StepsLeft;
      expand(Current, Stack);
    }
    return SearchResult::None;
  }
};

SearchResult search(const std::vector<RegisterOperation> &Operations,
                    bool AnyInitialState, std::uint64_t Limit) {
  RegisterState Initial;
  if (!AnyInitialState) {
    Initial.m_Version = 0;
    Initial.m_Content = std::string();
  }
  OrderSearch Search{Operations, Limit, {}};
  return Search.run(Initial);
}

/// The history truncated at End: later operations are removed, and those that
/// have not ended may have happened or not.
std::vector<RegisterOperation>
truncateAt(const std::vector<RegisterOperation> &Operations, HistoryTime End) {
  std::vector<RegisterOperation> Part;
  for (const RegisterOperation &Operation : Operations) {
    if (End < Operation.m_Start)
      break;
    Part.push_back(Operation);
    if (End < Operation.m_End) {
      Part.back().m_Pending = true;
      Part.back().m_End = Never;
    }
  }
  return Part;
}

/// True when an edit id that is used from Start on was also used before: a part
/// that begins at Start would take its resend for a first edit.
bool dependsOnEarlier(const std::vector<RegisterOperation> &Operations,
                      HistoryTime Start) {
  std::set<std::string> Earlier;
  for (const RegisterOperation &Operation : Operations) {
    if (!Operation.m_Edit)
      continue;
    if (Operation.m_Start < Start)
      Earlier.insert(Operation.m_Edit->m_EditId);
    else if (Earlier.count(Operation.m_Edit->m_EditId) != 0)
      return true;
  }
  return false;
}

/// Quiescent times, at which no operation is in progress, in descending order.
std::vector<HistoryTime>
quiescentTimes(const std::vector<RegisterOperation> &Operations) {
  std::vector<HistoryTime> Quiescent;
  HistoryTime LastEnd = -Never;
  for (const RegisterOperation &Operation : Operations) {
    if (LastEnd < Operation.m_Start)
      Quiescent.push_back(Operation.m_Start);
    LastEnd = std::max(LastEnd, Operation.m_End);
  }
  std::reverse(Quiescent.begin(), Quiescent.end());
  return Quiescent;
}

/// Shortens an incorrect history in ways that cannot make a correct one
/// incorrect: truncating its end, removing its start up to a quiescent time
/// (with an unknown initial state), and removing operations that change
/// nothing.
std::vector<RegisterOperation>
shorten(std::vector<RegisterOperation> Operations, std::uint64_t Limit) {
  std::vector<HistoryTime> Ends;
  for (const RegisterOperation &Operation : Operations)
    if (Operation.m_End != Never)
      Ends.push_back(Operation.m_End);
  std::sort(Ends.begin(), Ends.end());
  // Binary search for the shortest incorrect prefix: longer ones are incorrect
  // too.
  std::size_t Low = 0;
  std::size_t High = Ends.size();
  while (Low < High) {
    std::size_t Middle = (Low + High) / 2;
    if (search(truncateAt(Operations, Ends[Middle]), false, Limit) ==
        SearchResult::None)
      High = Middle;
    else
      Low = Middle + 1;
  }
  if (Low < Ends.size())
    Operations = truncateAt(Operations, Ends[Low]);
  bool AnyInitialState = false;
  for (HistoryTime Quiescent : quiescentTimes(Operations)) {
    if (dependsOnEarlier(Operations, Quiescent))
      continue;
    std::vector<RegisterOperation> Part;
    for (const RegisterOperation &Operation : Operations)
      if (Operation.m_Start >= Quiescent)
        Part.push_back(Operation);
    if (search(Part, true, Limit) == SearchResult::None) {
      Operations = std::move(Part);
      AnyInitialState = true;
      break;
    }
  }
  for (std::size_t I = Operations.size(); I > 0; --I) {
    const RegisterOperation &Operation = Operations[I - 1];
    if (!Operation.isObservation())
      continue;
    std::vector<RegisterOperation> Part = Operations;
    Part.erase(Part.begin() + static_cast<std::ptrdiff_t>(I - 1));
    if (search(Part, AnyInitialState, Limit) == SearchResult::None)
      Operations = std::move(Part);
  }
  return Operations;
}

/// Marks repeated edit ids, and removes edits that were refused because another
/// section uses their id: they depend on that section, not on this one.
void markRepeatedIds(
    const std::map<std::string, std::set<std::string>> &SectionsOfId,
    std::vector<RegisterOperation> &Operations) {
  Operations.erase(
      std::remove_if(
          Operations.begin(), Operations.end(),
          [&](const RegisterOperation &Operation) {
            return Operation.m_Edit &&
                   Operation.m_Edit->m_Outcome == EditOutcome::IdReused &&
                   SectionsOfId.at(Operation.m_Edit->m_EditId).size() > 1;
          }),
      Operations.end());
  std::map<std::string, int> Uses;
  for (const RegisterOperation &Operation : Operations)
    if (Operation.m_Edit)
      ++Uses[Operation.m_Edit->m_EditId];
  for (RegisterOperation &Operation : Operations)
    Operation.m_IdRepeated =
        Operation.m_Edit && Uses[Operation.m_Edit->m_EditId] > 1;
}

std::map<std::string, std::vector<RegisterOperation>>
operationsBySection(const History &Lines) {
  std::map<std::string, std::vector<RegisterOperation>> Sections;
  std::map<std::string, std::set<std::string>> SectionsOfId;
  for (std::size_t I = 0; I < Lines.size(); ++I) {
    RegisterOperation Operation;
    Operation.m_Line = I;
    if (const HistoryEdit *Edit = std::get_if<HistoryEdit>(&Lines[I].m_Event)) {
      Operation.m_Edit = Edit;
      Operation.m_Start = Edit->m_Start;
      if (Edit->m_Outcome != EditOutcome::Unknown)
        Operation.m_End = Edit->m_End;
      SectionsOfId[Edit->m_EditId].insert(Edit->m_Section);
      Sections[Edit->m_Section].push_back(Operation);
    } else if (const HistoryRead *Read =
                   std::get_if<HistoryRead>(&Lines[I].m_Event)) {
      Operation.m_Read = Read;
      Operation.m_Start = Read->m_Start;
      Operation.m_End = Read->m_End;
      Sections[Read->m_Section].push_back(Operation);
    }
  }
  for (std::pair<const std::string, std::vector<RegisterOperation>> &Row :
       Sections) {
    markRepeatedIds(SectionsOfId, Row.second);
    std::stable_sort(
        Row.second.begin(), Row.second.end(),
        [](const RegisterOperation &A, const RegisterOperation &B) {
          return A.m_Start < B.m_Start;
        });
  }
  return Sections;
}

} // namespace

void checkRegisters(const History &Lines, const HistoryOptions &Options,
                    std::vector<HistoryViolation> &Violations) {
  for (const std::pair<const std::string, std::vector<RegisterOperation>> &Row :
       operationsBySection(Lines)) {
    SearchResult Outcome = search(Row.second, false, Options.m_SearchLimit);
    if (Outcome == SearchResult::Found)
      continue;
    HistoryViolation Violation;
    Violation.m_Rule = HistoryRule::SectionRegister;
    std::vector<RegisterOperation> Part = Row.second;
    if (Outcome == SearchResult::None) {
      Violation.m_Text = "section " + Row.first +
                         ": no order of these operations is that of a "
                         "compare-and-set register";
      Part = shorten(Row.second, Options.m_SearchLimit);
    } else {
      Violation.m_Text = "section " + Row.first + ": not decided within " +
                         std::to_string(Options.m_SearchLimit) +
                         " search steps";
    }
    for (const RegisterOperation &Operation : Part)
      Violation.m_Lines.push_back(Operation.m_Line);
    std::sort(Violation.m_Lines.begin(), Violation.m_Lines.end());
    Violations.push_back(std::move(Violation));
  }
}

} // namespace vanillaferry
