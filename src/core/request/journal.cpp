#include "vanillaferry/request/journal.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

bool sameCall(const JournalEntry &Entry, const JournalBegin &Begin) {
  return Entry.m_Request == Begin.m_Request && Entry.m_Node == Begin.m_Node &&
         Entry.m_Incarnation == Begin.m_Incarnation;
}

bool sameCall(const JournalEntry &Entry, const JournalEnd &End) {
  return Entry.m_Request == End.m_Request && Entry.m_Node == End.m_Node &&
         Entry.m_Incarnation == End.m_Incarnation;
}

/// Answer to a begin whose key has an entry that no new request may replace.
JournalAnswer answerKnownKey(const JournalEntry &Entry,
                             const JournalBegin &Begin) {
  JournalAnswer Answer;
  Answer.m_Request = Begin.m_Request;
  if (Entry.m_State == CallState::Released) {
    Answer.m_Status = JournalStatus::Ended;
    return Answer;
  }
  if (Entry.m_BodyHash != Begin.m_BodyHash) {
    Answer.m_Status = JournalStatus::BodyMismatch;
    return Answer;
  }
  switch (Entry.m_State) {
  case CallState::Running:
    Answer.m_Status = sameCall(Entry, Begin) ? JournalStatus::Granted
                                             : JournalStatus::Running;
    break;
  case CallState::Ended:
    Answer.m_Status = JournalStatus::Recorded;
    Answer.m_Answer = Entry.m_Answer;
    break;
  case CallState::Unknown:
    Answer.m_Status = JournalStatus::OutcomeUnknown;
    break;
  case CallState::Released:
    break;
  }
  return Answer;
}

CallAnswer keptAnswer(const CallAnswer &Answer) {
  if (static_cast<std::int64_t>(Answer.m_Body.size()) <=
      MaxJournaledBody.m_Value)
    return Answer;
  // A truncated body could be mistaken for the complete one.
  return {Answer.m_HttpStatus, BodyNotKeptType, std::string()};
}

} // namespace

JournalAnswer beginCall(Journal &Calls, const JournalBegin &Begin,
                        UnixMillis Now) {
  JournalAnswer Answer;
  Answer.m_Request = Begin.m_Request;
#ifdef VANILLAFERRY_BREAK_JOURNAL
  Answer.m_Status = JournalStatus::Granted;
  return Answer;
#endif
  JournalKey Key(Begin.m_Account, Begin.m_Key);
  std::map<JournalKey, JournalEntry>::iterator Found =
      Calls.m_Entries.find(Key);
  bool Free = Found == Calls.m_Entries.end() ||
              (Found->second.m_State == CallState::Released &&
               !sameCall(Found->second, Begin));
  if (!Free) {
    // When a caller states a later time of issue for the same key, the entry is
    // kept longer by the difference.
    if (Found->second.m_IssuedAt < Begin.m_IssuedAt &&
        Begin.m_IssuedAt.m_Value <= Now.m_Value + KeyMaxSkew.m_Value)
      Found->second.m_IssuedAt = Begin.m_IssuedAt;
    return answerKnownKey(Found->second, Begin);
  }
  if (Begin.m_IssuedAt.m_Value < Now.m_Value - KeyMaxAge.m_Value) {
    Answer.m_Status = JournalStatus::KeyExpired;
    return Answer;
  }
  if (Begin.m_IssuedAt.m_Value > Now.m_Value + KeyMaxSkew.m_Value) {
    Answer.m_Status = JournalStatus::KeyFromFuture;
    return Answer;
  }
  JournalEntry Entry;
  Entry.m_Request = Begin.m_Request;
  Entry.m_BodyHash = Begin.m_BodyHash;
  Entry.m_IssuedAt = Begin.m_IssuedAt;
  Entry.m_Node = Begin.m_Node;
  Entry.m_Incarnation = Begin.m_Incarnation;
  Calls.m_Entries[Key] = std::move(Entry);
  Answer.m_Status = JournalStatus::Granted;
  return Answer;
}

JournalAnswer endCall(Journal &Calls, const JournalEnd &End, UnixMillis Now) {
  JournalAnswer Answer;
  Answer.m_Request = End.m_Request;
  Answer.m_Status = JournalStatus::Ended;
  JournalKey Key(End.m_Account, End.m_Key);
  std::map<JournalKey, JournalEntry>::iterator Found =
      Calls.m_Entries.find(Key);
  if (Found == Calls.m_Entries.end()) {
    if (End.m_Outcome != CallOutcome::NotRun)
      return Answer;
    // The begin may still arrive, through another leader's log.
    JournalEntry Entry;
    Entry.m_State = CallState::Released;
    Entry.m_Request = End.m_Request;
    Entry.m_IssuedAt = Now;
    Entry.m_Node = End.m_Node;
    Entry.m_Incarnation = End.m_Incarnation;
    Calls.m_Entries.emplace(std::move(Key), std::move(Entry));
    return Answer;
  }
  JournalEntry &Entry = Found->second;
  if (!sameCall(Entry, End) || Entry.m_State == CallState::Ended ||
      Entry.m_State == CallState::Released)
    return Answer;
  switch (End.m_Outcome) {
  case CallOutcome::Answered:
    Entry.m_State = CallState::Ended;
    Entry.m_Answer = keptAnswer(End.m_Answer);
    break;
  case CallOutcome::NotRun:
    Entry.m_State = CallState::Released;
    break;
  case CallOutcome::Unknown:
    Entry.m_State = CallState::Unknown;
    break;
  }
  return Answer;
}

void markCallsUnknown(Journal &Calls, const NodeId &Node, Incarnation Ended) {
  for (std::pair<const JournalKey, JournalEntry> &Row : Calls.m_Entries) {
    JournalEntry &Entry = Row.second;
    if (Entry.m_State == CallState::Running && Entry.m_Node == Node &&
        Entry.m_Incarnation == Ended)
      Entry.m_State = CallState::Unknown;
  }
}

void removeExpiredCalls(Journal &Calls, UnixMillis Now) {
  std::map<JournalKey, JournalEntry>::iterator Row = Calls.m_Entries.begin();
  while (Row != Calls.m_Entries.end()) {
    bool Old =
        Row->second.m_IssuedAt.m_Value + JournalRetention.m_Value < Now.m_Value;
    Row = Old ? Calls.m_Entries.erase(Row) : std::next(Row);
  }
}

} // namespace vanillaferry
