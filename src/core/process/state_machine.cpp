#include "vanillaferry/process/state_machine.hpp"

#include "vanillaferry/process/rollout_judgement.hpp"
#include "vanillaferry/version/text_compression.hpp"
#include "vanillaferry/version/text_delta.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

bool sameMember(const Member &A, const Member &B) {
  return A.m_Node == B.m_Node && A.m_Incarnation == B.m_Incarnation &&
         A.m_PeerUrl == B.m_PeerUrl && A.m_Zone == B.m_Zone &&
         A.m_Leaving == B.m_Leaving;
}

UnixMillis later(UnixMillis A, UnixMillis B) { return A < B ? B : A; }

/// Records that an incarnation joined; returns false when it was replaced.
bool recordJoined(StateMachine &State, const Member &Joining) {
  if (isReplaced(State, Joining.m_Node, Joining.m_Incarnation))
    return false;
  JoinedIncarnations &History = State.m_Joined[Joining.m_Node];
  if (History.m_Joined.empty() ||
      History.m_Joined.back() != Joining.m_Incarnation) {
    History.m_Joined.push_back(Joining.m_Incarnation);
    if (History.m_Joined.size() > JoinedIncarnationLimit)
      History.m_Joined.pop_front();
  }
  History.m_ChangedAt = State.m_Clock;
  return true;
}

CommandAnswer apply(StateMachine &State, LogIndex Index,
                    const EditSection &Edit) {
  EditSection Stamped = Edit;
  // A leader whose clock is behind must not shorten the retention of answers.
  Stamped.m_At = later(Edit.m_At, State.m_Clock);
  return applyEdit(State.m_Document, Index, Stamped);
}

CommandAnswer apply(StateMachine &State, LogIndex Index,
                    const AddMember &Input) {
  if (!recordJoined(State, Input.m_Member))
    return NoAnswer();
  Member Joining = Input.m_Member;
  std::map<NodeId, Member>::iterator Found =
      State.m_Members.find(Joining.m_Node);
  if (Found != State.m_Members.end()) {
    if (Found->second.m_Incarnation == Joining.m_Incarnation)
      // A late renewal must not bring a leaving node back.
      Joining.m_Leaving = Joining.m_Leaving || Found->second.m_Leaving;
    else
      markCallsUnknown(State.m_Journal, Joining.m_Node,
                       Found->second.m_Incarnation);
    if (sameMember(Found->second, Joining))
      return NoAnswer();
  }
  bool Departs = Joining.m_Leaving && Found != State.m_Members.end() &&
                 !Found->second.m_Leaving;
  State.m_Members[Joining.m_Node] = Joining;
  State.m_Epoch = Epoch(Index.m_Value);
  if (Departs)
    State.m_Joined[Joining.m_Node].m_DepartedAt = State.m_Epoch;
  return NoAnswer();
}

CommandAnswer apply(StateMachine &State, LogIndex Index,
                    const RemoveMember &Input) {
  markCallsUnknown(State.m_Journal, Input.m_Node, Input.m_Incarnation);
  std::map<NodeId, Member>::iterator Found = State.m_Members.find(Input.m_Node);
  if (Found == State.m_Members.end() ||
      Found->second.m_Incarnation != Input.m_Incarnation)
    return NoAnswer();
  State.m_Members.erase(Found);
  State.m_Epoch = Epoch(Index.m_Value);
  JoinedIncarnations &History = State.m_Joined[Input.m_Node];
  History.m_ChangedAt = State.m_Clock;
  History.m_DepartedAt = State.m_Epoch;
  return NoAnswer();
}

CommandAnswer apply(StateMachine &State, LogIndex, const JournalBegin &Begin) {
  std::map<NodeId, Member>::const_iterator Found =
      State.m_Members.find(Begin.m_Node);
  if (Found == State.m_Members.end() ||
      Found->second.m_Incarnation != Begin.m_Incarnation) {
    JournalAnswer Answer;
    Answer.m_Request = Begin.m_Request;
    Answer.m_Status = JournalStatus::Unavailable;
    return Answer;
  }
  return beginCall(State.m_Journal, Begin,
                   later(State.m_Clock, Begin.m_ProposedAt));
}

CommandAnswer apply(StateMachine &State, LogIndex, const JournalEnd &End) {
  return endCall(State.m_Journal, End, State.m_Clock);
}

CommandAnswer apply(StateMachine &State, LogIndex Index,
                    const BeginOrder &Input) {
  std::map<std::string, EngineOrder>::const_iterator Found =
      State.m_Orders.find(Input.m_Order.m_OrderId);
  if (Found != State.m_Orders.end())
    return Found->second;
  EngineOrder Order = Input.m_Order;
  Order.m_FencingToken = Index.m_Value;
  Order.m_StartedIn = Term(0);
  Order.m_Outcome = OrderOutcome::Open;
  Order.m_Detail.clear();
  State.m_Orders.emplace(Order.m_OrderId, Order);
  return Order;
}

/// Drops finished orders that are older than OrderRetention, but keeps the
/// newest FinishedOrderLimit.
void pruneOrders(StateMachine &State) {
  std::vector<std::uint64_t> Finished;
  for (const std::pair<const std::string, EngineOrder> &Row : State.m_Orders)
    if (Row.second.m_Outcome != OrderOutcome::Open)
      Finished.push_back(Row.second.m_FencingToken);
  if (Finished.size() <= FinishedOrderLimit)
    return;
  std::sort(Finished.begin(), Finished.end());
  std::uint64_t Oldest = Finished[Finished.size() - FinishedOrderLimit];
  std::map<std::string, EngineOrder>::iterator Row = State.m_Orders.begin();
  while (Row != State.m_Orders.end()) {
    const EngineOrder &Order = Row->second;
    bool Drop = Order.m_Outcome != OrderOutcome::Open &&
                Order.m_FencingToken < Oldest &&
                Order.m_EndedAt.m_Value + OrderRetention.m_Value <
                    State.m_Clock.m_Value;
    Row = Drop ? State.m_Orders.erase(Row) : std::next(Row);
  }
}

CommandAnswer apply(StateMachine &State, LogIndex, const StartOrder &Input) {
  std::map<std::string, EngineOrder>::iterator Found =
      State.m_Orders.find(Input.m_OrderId);
  if (Found == State.m_Orders.end())
    return NoAnswer();
  EngineOrder &Order = Found->second;
  if (Order.m_Outcome == OrderOutcome::Open && Order.m_StartedIn == Term(0))
    Order.m_StartedIn = Input.m_Term;
  return Order;
}

CommandAnswer apply(StateMachine &State, LogIndex, const EndOrder &Input) {
  std::map<std::string, EngineOrder>::iterator Found =
      State.m_Orders.find(Input.m_OrderId);
  if (Found == State.m_Orders.end())
    return NoAnswer();
  EngineOrder &Order = Found->second;
  if (Order.m_Outcome == OrderOutcome::Open) {
    Order.m_Outcome = Input.m_Outcome;
    Order.m_Detail = Input.m_Detail;
    Order.m_EndedAt = State.m_Clock;
  }
  return Order;
}

void pruneIncarnations(StateMachine &State) {
  std::map<NodeId, JoinedIncarnations>::iterator Row = State.m_Joined.begin();
  while (Row != State.m_Joined.end()) {
    bool Old =
        State.m_Members.count(Row->first) == 0 &&
        Row->second.m_ChangedAt.m_Value + JoinedIncarnationRetention.m_Value <
            State.m_Clock.m_Value;
    Row = Old ? State.m_Joined.erase(Row) : std::next(Row);
  }
}

CommandAnswer apply(StateMachine &State, LogIndex, const AdvanceClock &Input) {
  State.m_Level = std::max(State.m_Level, Input.m_Level);
  if (Input.m_Now <= State.m_Clock)
    return NoAnswer();
  State.m_Clock = Input.m_Now;
  removeExpiredCalls(State.m_Journal, State.m_Clock);
  expireEditAnswers(State.m_Document, State.m_Clock);
  pruneIncarnations(State);
  pruneOrders(State);
  return NoAnswer();
}

CommandAnswer apply(StateMachine &State, LogIndex Index,
                    const ReplaceManifest &Input) {
  StoredManifest &Held = State.m_Manifest;
  if (Input.m_Version <= Held.m_Version)
    return ManifestAnswer{ManifestOutcome::Superseded, Held.m_Version};
  const std::string Empty;
  bool FromEmpty = Input.m_BaseVersion == 0;
  if (!FromEmpty && Input.m_BaseVersion != Held.m_Version)
    return ManifestAnswer{ManifestOutcome::BaseChanged, Held.m_Version};
  Result<std::string> Delta = decompressText(Input.m_Delta);
  Result<std::string> Text =
      Delta ? applyTextDelta(FromEmpty ? Empty : Held.m_Text, Delta.value())
            : Delta;
  if (!Text)
    return ManifestAnswer{ManifestOutcome::BaseChanged, Held.m_Version};
  Held = StoredManifest{Input.m_Version, std::move(Text.value())};
  State.m_Document.m_Version = DocumentVersion(Index.m_Value);
  return ManifestAnswer{ManifestOutcome::InForce, Held.m_Version};
}

CommandAnswer apply(StateMachine &State, LogIndex Index,
                    const SetZoneOut &Input) {
  std::vector<ZoneId> &Out = State.m_ZonesOut;
  std::vector<ZoneId>::iterator Found =
      std::find(Out.begin(), Out.end(), Input.m_Zone);
  if ((Found != Out.end()) == Input.m_Out)
    return NoAnswer();
  if (Input.m_Out)
    Out.push_back(Input.m_Zone);
  else
    Out.erase(Found);
  State.m_Document.m_Version = DocumentVersion(Index.m_Value);
  return NoAnswer();
}

/// Raises the versions after a change of the refused prompt parts.
CommandAnswer noteQuarantineChange(StateMachine &State, LogIndex Index,
                                   bool Changed) {
  if (Changed) {
    State.m_Quarantine.m_Version = Index.m_Value;
    State.m_Document.m_Version = DocumentVersion(Index.m_Value);
  }
  return NoAnswer();
}

CommandAnswer apply(StateMachine &State, LogIndex Index,
                    const QuarantinePart &Input) {
  QuarantinePart Stamped = Input;
  // A leader whose clock is behind must not bring a trial forward.
  Stamped.m_At = later(Input.m_At, State.m_Clock);
  return noteQuarantineChange(State, Index,
                              applyQuarantinePart(State.m_Quarantine, Stamped));
}

CommandAnswer apply(StateMachine &State, LogIndex Index,
                    const ReleasePart &Input) {
  return noteQuarantineChange(State, Index,
                              applyReleasePart(State.m_Quarantine, Input));
}

CommandAnswer apply(StateMachine &State, LogIndex Index,
                    const BeginTrial &Input) {
  return noteQuarantineChange(State, Index,
                              applyBeginTrial(State.m_Quarantine, Input));
}

CommandAnswer apply(StateMachine &State, LogIndex,
                    const SetSoftwareVersions &Input) {
  ListedVersions &Held = State.m_Software[Input.m_Service];
  if (Held.m_Listed != Input.m_Listed)
    Held = {Input.m_Listed, later(Input.m_At, State.m_Clock)};
  return NoAnswer();
}

CommandAnswer apply(StateMachine &State, LogIndex Index,
                    const StartRollout &Input) {
  UnixMillis At = later(Input.m_At, State.m_Clock);
  std::map<PoolId, Rollout>::iterator Found =
      State.m_Rollouts.find(Input.m_Service);
  if (Found != State.m_Rollouts.end()) {
    const Rollout &Held = Found->second;
    if (repeatsRollout(Held, Input.m_Version, Input.m_Duration, At))
      return RolloutAnswer{true, false, Held.m_Number};
    if (isInProgress(Held))
      return RolloutAnswer{false, false, Held.m_Number};
  }
  Rollout Started;
  Started.m_Number = Index.m_Value;
  Started.m_Changed = Index.m_Value;
  Started.m_Version = Input.m_Version;
  std::map<PoolId, ListedVersions>::const_iterator Software =
      State.m_Software.find(Input.m_Service);
  if (Software != State.m_Software.end())
    for (const SoftwareVersion &Each : Software->second.m_Listed)
      if (Each != Input.m_Version)
        Started.m_Former.push_back(Each);
  Started.m_Duration = Input.m_Duration;
  Started.m_StartedAt = At;
  Started.m_StageAt = At;
  State.m_Rollouts[Input.m_Service] = std::move(Started);
  State.m_Document.m_Version = DocumentVersion(Index.m_Value);
  return RolloutAnswer{true, true, Index.m_Value};
}

CommandAnswer apply(StateMachine &State, LogIndex Index,
                    const AdvanceRollout &Input) {
  std::map<PoolId, Rollout>::iterator Found =
      State.m_Rollouts.find(Input.m_Service);
  if (Found == State.m_Rollouts.end() ||
      Found->second.m_Number != Input.m_Number)
    return NoAnswer();
  Rollout &Held = Found->second;
  bool Confirms = Held.m_Stage == RolloutStage::Completed &&
                  Input.m_Stage == RolloutStage::Completed && Input.m_InForce &&
                  !Held.m_InForce;
  bool Advances = !isFinal(Held.m_Stage) && Held.m_Stage < Input.m_Stage &&
                  !Input.m_InForce;
  if (!Confirms && !Advances)
    return NoAnswer();
  Held.m_Stage = Input.m_Stage;
  Held.m_InForce = Input.m_InForce;
  Held.m_Reason = Input.m_Reason;
  Held.m_StageAt = later(Input.m_At, State.m_Clock);
  Held.m_Changed = Index.m_Value;
  State.m_Document.m_Version = DocumentVersion(Index.m_Value);
  return NoAnswer();
}

} // namespace

bool isReplaced(const StateMachine &State, const NodeId &Node,
                Incarnation Which) {
  std::map<NodeId, JoinedIncarnations>::const_iterator Found =
      State.m_Joined.find(Node);
  if (Found == State.m_Joined.end() || Found->second.m_Joined.empty())
    return false;
  const std::deque<Incarnation> &Joined = Found->second.m_Joined;
  return Joined.back() != Which &&
         std::find(Joined.begin(), Joined.end(), Which) != Joined.end();
}

CommandAnswer applyCommand(StateMachine &State, LogIndex Index,
                           const Command &Input) {
  State.m_Applied = Index;
  return std::visit(
      [&](const auto &Typed) -> CommandAnswer {
        return apply(State, Index, Typed);
      },
      Input);
}

} // namespace vanillaferry
