#include "gateway/exchange.hpp"

#include "process/clock.hpp"
#include "process/log.hpp"
#include "vanillaferry/request/control_wait.hpp"

namespace vanillaferry {

namespace {

/// Tokens of an answer, in relation to those of the prompt.
constexpr double ExpectedAnswerTokens = 200;
/// Memory of a waiting request beside its body.
constexpr std::size_t EntryBytes = 4096;

const char *const RoomRefusals = "vanillaferry_room_refusals_total";

} // namespace

void Exchange::countOffered() {
  noteOffered(roomOf(m_Gateway, m_Service).m_Room, m_Route.m_Name,
              m_Account.value_or(AccountId()), monotonicNow());
}

bool Exchange::waitsBehindOthers() const {
  return !m_HasTurn && !m_RoomId && m_Tries == 0 &&
         hasEntries(roomOf(m_Gateway, m_Service).m_Room);
}

double Exchange::expectedWork() const {
  if (!isStream())
    return 1;
  const GatewayPool *Pool = findPool(m_Gateway, m_Service);
  bool Cached = Pool && m_Need.m_PrefixHash != 0 &&
                Pool->m_Dispatch.m_Holders.count(m_Need.m_PrefixHash) != 0;
  double Work = ExpectedAnswerTokens;
  for (const PromptPart &Part : m_Request.m_PromptParts)
    if (!Cached || &Part == &m_Request.m_PromptParts.back())
      Work += static_cast<double>(Part.m_Tokens.m_Value);
  return Work;
}

std::string Exchange::roomBound() const {
  std::string Bound = m_Need.m_Software ? "=" + m_Need.m_Software->m_Value : "";
  for (const TargetId &Each : m_Need.m_Excluded)
    Bound += "," + Each.m_Value;
  if (m_Try)
    Bound += "," + m_Try->m_Target.m_Value;
  return Bound;
}

RoomEntry Exchange::roomEntry() const {
  RoomEntry Entry;
  Entry.m_Priority = m_Priority.value_or(m_Route.m_Priority);
  Entry.m_Account = m_Account.value_or(AccountId());
  Entry.m_Route = m_Route.m_Name;
  Entry.m_Arrival = m_ArrivedAt;
  Entry.m_Deadline = m_Deadline;
  // A stream is on time with its first event; the room counts whole answers.
  Millis Rest;
  if (isStream())
    Rest = Millis(static_cast<std::int64_t>(
        roomOf(m_Gateway, m_Service).m_Room.m_AnswerMs));
  Entry.m_Objective = m_Route.m_Objective + Rest;
  Entry.m_Work = expectedWork();
  Entry.m_Bytes = m_Raw.m_Body.size() + EntryBytes;
  Entry.m_MayHaveRun = m_PossibleRuns > 0 || m_FallbackAnswer;
  Entry.m_Bound = roomBound();
  Entry.m_HoldUntil = monotonicNow() + roomHold({Millis(0), timeLeft()});
  return Entry;
}

bool Exchange::awaitRoom(DispatchRefusal Why) {
  if (Why != DispatchRefusal::AllFull && Why != DispatchRefusal::ColdLimit &&
      Why != DispatchRefusal::RateLimit)
    return false;
  if (m_Tries >= MaxTries)
    return false;
  m_RoomRefusal = Why;
  if (!m_RoomId)
    enterWaitingRoom(roomEntry());
  return true;
}

bool Exchange::awaitTurn(DispatchPool &Pool) {
  DispatchCriteria Need = m_Need;
  // A choice with a prefix would be recorded as a use of it.
  Need.m_PrefixHash = 0;
  DispatchChoice Choice = chooseTarget(Pool, Need, monotonicNow());
  if (Choice.m_Refusal != DispatchRefusal::None)
    return awaitRoom(Choice.m_Refusal);
  RoomEntry Entry = roomEntry();
  Entry.m_SawRoom = true;
  enterWaitingRoom(std::move(Entry));
  return true;
}

void Exchange::enterWaitingRoom(RoomEntry Entry) {
  std::shared_ptr<Exchange> Self = shared_from_this();
  m_NoRoomSince = monotonicNow();
  m_RoomId = ++m_Gateway.m_Rooms.m_LastId;
  Entry.m_Id = *m_RoomId;
  RoomVerdict Verdict = enterRoom(m_Gateway, m_Service, std::move(Entry), Self);
  if (Verdict == RoomVerdict::Waits)
    return addCounter(m_Gateway.m_Metrics, "vanillaferry_waits_for_room_total");
  m_RoomId.reset();
  // It still has a target, which may speak again.
  if (m_Try)
    return;
  if (Verdict == RoomVerdict::TooLate)
    refuseWait(RefusalReason::DeadlineUnreachable, "too_late",
               "no target will have room before the deadline");
  else
    refuseWait(RefusalReason::QueueFull, "full",
               "too many requests wait for room at the targets");
}

RoomOffer Exchange::useRoom(std::optional<Millis> StaleAfter) {
  m_HasTurn = true;
  m_Need.m_StaleAfter = StaleAfter;
  if (m_Try)
    leaveSilentTry("room elsewhere while the target is silent");
  else
    dispatch();
  m_HasTurn = false;
  m_Need.m_StaleAfter.reset();
  if (m_Done || !m_RoomId)
    return RoomOffer::Left;
  return roomBound().empty() ? RoomOffer::NoRoom : RoomOffer::Unsuitable;
}

void Exchange::takeRoom(const DispatchChoice &Choice) {
  WaitingRoom &Room = roomOf(m_Gateway, m_Service).m_Room;
  if (m_Tries == 0)
    noteServed(Room, m_Route.m_Name, m_Account.value_or(AccountId()));
  // A failed call may be dispatched again before this dispatch has returned.
  m_HasTurn = false;
  m_Need.m_StaleAfter.reset();
  if (!m_RoomId)
    return;
  Millis Now = monotonicNow();
  takeEntry(Room, *m_RoomId, Now);
  addCounter(m_Gateway.m_Metrics, "vanillaferry_room_taken_total");
  if (Choice.m_IsProbe)
    addCounter(m_Gateway.m_Metrics, "vanillaferry_room_probes_total");
  leaveRoom();
}

void Exchange::leaveRoom() {
  if (!m_RoomId)
    return;
  Millis Now = monotonicNow();
  ServiceRoom &Room = roomOf(m_Gateway, m_Service);
  removeEntry(Room.m_Room, *m_RoomId, Now);
  Room.m_Waiting.erase(*m_RoomId);
  m_RoomId.reset();
  m_RoomTime = m_RoomTime + (Now - *m_NoRoomSince);
  m_NoRoomSince.reset();
}

void Exchange::noteSlotReturned(const TargetTry &Try, TargetOutcome How) {
  // Answers that state an error say nothing of the time that work takes.
  constexpr int FirstError = 400;
  if (How == TargetOutcome::Served && Try.m_Status < FirstError)
    noteAnswerTime(roomOf(m_Gateway, m_Service).m_Room,
                   monotonicNow() - Try.m_StartedAt);
  wakeRoom(m_Gateway, m_Service);
}

void Exchange::refuseWait(RefusalReason Reason, const char *Counted,
                          const std::string &Why) {
  addCounter(m_Gateway.m_Metrics,
             std::string(RoomRefusals) + "{why=\"" + Counted + "\"}");
  if (returnToHeld())
    return;
  // Only what has not run may be refused as not run.
  if (m_FallbackAnswer || m_PossibleRuns > 0)
    return fail(RefusalReason::TargetFailed,
                "no other target accepted the request");
  Millis RetryAfter =
      retryAfter(roomOf(m_Gateway, m_Service).m_Room,
                 m_Priority.value_or(m_Route.m_Priority), m_Need.m_Random);
  refuse(Reason, RetryAfter, Why);
}

void Exchange::endHold() {
  if (m_Done || !m_RoomId)
    return;
  leaveRoom();
  if (m_Try)
    return;
  switch (m_RoomRefusal) {
  case DispatchRefusal::RateLimit:
    return refuseWait(RefusalReason::TargetRateLimit, "hold_ended",
                      "all targets get as many requests as they say they take");
  case DispatchRefusal::ColdLimit:
    return refuseWait(RefusalReason::ColdTargets, "hold_ended",
                      "all targets are at the request limit for cold targets");
  default:
    return refuseWait(RefusalReason::QueueFull, "hold_ended",
                      "all targets are at their request limit");
  }
}

void Exchange::turnAway(const RequestId &For) {
  if (m_Done || !m_RoomId)
    return;
  leaveRoom();
  if (m_Try)
    return;
  logEvent(Event::RequestTurnedAway, {{"request", m_Request.m_Id.m_Value},
                                      {"service", m_Service.m_Value},
                                      {"route", m_Route.m_Name},
                                      {"for", For.m_Value}});
  refuseWait(RefusalReason::QueueFull, "turned_away",
             "too many requests wait for room at the targets");
}

} // namespace vanillaferry
