#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace vanillaferry {

/// How long the journal keeps an entry after its key's time of issue.
constexpr Millis JournalRetention{24LL * 3600 * 1000};
/// Keys issued longer ago are refused. This is an hour less than the retention,
/// so that clocks that differ by less than that cannot let a key run again
/// whose entry was removed.
constexpr Millis KeyMaxAge{23LL * 3600 * 1000};
/// Keys issued further in the future are refused.
constexpr Millis KeyMaxSkew{5LL * 60 * 1000};

/// Content type of a recorded answer whose body was larger than
/// MaxJournaledBody and was not stored; the HTTP status is the target's.
constexpr const char *BodyNotKeptType =
    "application/vnd.vanillaferry.body-not-kept";

enum class CallState : std::uint8_t {
  Running,
  Ended,
  Unknown,
  /// The call of m_Request did not run and never will; another request may use
  /// the key.
  Released,
};

/// What the journal knows of one non-idempotent call.
struct JournalEntry {
  CallState m_State = CallState::Running;
  RequestId m_Request;
  std::string m_BodyHash;
  UnixMillis m_IssuedAt;
  NodeId m_Node;
  Incarnation m_Incarnation;
  CallAnswer m_Answer;
};

using JournalKey = std::pair<AccountId, IdempotencyKey>;

/// At-most-once journal of non-idempotent calls.
struct Journal {
  std::map<JournalKey, JournalEntry> m_Entries;
};

/// Registers a call; at most one request for a key gets Granted. A begin that
/// is repeated with the same request id, node and incarnation gets the same
/// answer, because the first answer may have been lost. Now is the later of the
/// replicated clock and the time of the proposal.
JournalAnswer beginCall(Journal &Calls, const JournalBegin &Begin,
                        UnixMillis Now);

/// Records an outcome. NotRun releases the key for another request; the
/// released request itself is never granted afterwards, even when its begin
/// arrives after its end. An outcome from another request or incarnation
/// than the one that began is ignored.
JournalAnswer endCall(Journal &Calls, const JournalEnd &End, UnixMillis Now);

/// Sets the running calls of an ended incarnation to CallState::Unknown.
void markCallsUnknown(Journal &Calls, const NodeId &Node, Incarnation Ended);

/// Removes entries whose keys were issued longer ago than JournalRetention.
void removeExpiredCalls(Journal &Calls, UnixMillis Now);

} // namespace vanillaferry
