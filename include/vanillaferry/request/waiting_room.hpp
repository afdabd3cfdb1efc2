#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"
#include "vanillaferry/request/service_rate.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillaferry {

/// A request for which no target has room (docs/design/admission.md).
struct RoomEntry {
  std::uint64_t m_Id = 0;
  /// 0 is the most urgent.
  int m_Priority = 0;
  /// Empty for callers without a client account.
  AccountId m_Account;
  /// The route, whose requests are of one kind and value.
  std::string m_Route;
  Millis m_Arrival;
  Millis m_Deadline;
  /// Time from the arrival within which the answer is on time.
  Millis m_Objective;
  /// Expected work, in any unit that the service's requests share.
  double m_Work = 1;
  std::size_t m_Bytes = 0;
  /// A target may have run it, so it can not be refused as not run.
  bool m_MayHaveRun = false;
  /// What binds it to some of the targets; entries with the same text can use
  /// the same room, those with an empty one any room.
  std::string m_Bound;
  /// A target had room for it when it came, but others were ahead of it.
  bool m_SawRoom = false;
  /// It is refused then, unless it is expected to be served in time.
  Millis m_HoldUntil;
};

struct RoomLimits {
  std::size_t m_Entries = 256;
  std::size_t m_Bytes = std::size_t(16) * 1024 * 1024;
};

/// Requests of a route or client account, halved from time to time.
struct ServedShare {
  double m_Offered = 0;
  double m_Served = 0;
};

/// One client account's turns, by start-time fair queueing (Goyal, Vin and
/// Cheng 1996).
struct AccountTurns {
  /// Virtual time at which its next turn starts.
  double m_Start = 0;
  std::size_t m_Waiting = 0;
  std::size_t m_Taken = 0;
};

/// Entries of one priority and the rate at which they get room.
struct PriorityRate {
  std::size_t m_Waiting = 0;
  ServiceRate m_Rate;
};

/// The requests that wait for one service in one gateway.
struct WaitingRoom {
  RoomLimits m_Limits;
  std::map<std::uint64_t, RoomEntry> m_Entries;
  std::size_t m_Bytes = 0;
  std::map<AccountId, AccountTurns> m_Turns;
  /// Virtual time of the last turn.
  double m_Clock = 0;
  std::map<int, PriorityRate> m_Rates;
  ServedShare m_All;
  std::map<std::string, ServedShare> m_Routes;
  std::map<AccountId, ServedShare> m_Accounts;
  Millis m_SharesHalvedAt;
  /// Moving averages; 0 before the first.
  double m_MeanWork = 0;
  double m_AnswerMs = 0;
};

/// Whether a request may wait.
enum class RoomVerdict : std::uint8_t {
  Waits,
  /// It can not be served before its deadline.
  TooLate,
  /// The room is full of requests whose loss would cost more.
  Full,
};

struct RoomAnswer {
  RoomVerdict m_Verdict = RoomVerdict::Waits;
  /// Entries that were removed for the new one; their callers are refused.
  std::vector<std::uint64_t> m_TurnedAway;
};

/// Counts a request of the service, whether it has to wait or not.
void noteOffered(WaitingRoom &Room, const std::string &Route,
                 const AccountId &Account, Millis Now);
/// Counts a request that was sent to a target for the first time.
void noteServed(WaitingRoom &Room, const std::string &Route,
                const AccountId &Account);
/// Records how long a target took for an answer.
void noteAnswerTime(WaitingRoom &Room, Millis Took);

/// Adds a request, or refuses it; the room must not hold it yet.
RoomAnswer addEntry(WaitingRoom &Room, RoomEntry Entry, Millis Now);

/// The entry that gets the room that appeared, among those that are not
/// skipped; null for none. It stays until it is taken or removed.
const RoomEntry *nextEntry(const WaitingRoom &Room, Millis Now,
                           const std::function<bool(const RoomEntry &)> &Skip);

/// Removes an entry that got room, and counts its account's turn.
void takeEntry(WaitingRoom &Room, std::uint64_t Id, Millis Now);

/// Removes an entry that is not served; does nothing when it is absent.
void removeEntry(WaitingRoom &Room, std::uint64_t Id, Millis Now);

/// Entries whose hold has ended and that are not expected to be served in time.
/// The hold of the others is extended.
std::vector<std::uint64_t> expiredEntries(WaitingRoom &Room, Millis Now);

/// What became of an entry to which room was offered.
enum class RoomOffer : std::uint8_t {
  /// It was taken or removed.
  Left,
  /// It can not use the room, nor can others that are bound alike.
  Unsuitable,
  NoRoom,
};

/// Offers the room that appeared to one entry after the other until none is
/// left. An entry that can not use it holds up no other. Returns the number of
/// entries that left.
std::size_t offerRoom(WaitingRoom &Room, Millis Now,
                      const std::function<RoomOffer(std::uint64_t Id)> &Offer);

/// Time at which the first hold ends; absent for an empty room.
std::optional<Millis> firstHoldEnd(const WaitingRoom &Room);

/// Time after which the entry, which need not be in the room, is expected to
/// get room at this rate per second.
Millis expectedWait(const WaitingRoom &Room, const RoomEntry &Entry,
                    double PerSecond);

/// Retry-After for a refused request: the time in which the requests of its
/// priority drain, spread by a random number so that callers do not return
/// together.
Millis retryAfter(const WaitingRoom &Room, int Priority, std::uint64_t Random);

/// True when a new request has to wait behind others.
inline bool hasEntries(const WaitingRoom &Room) {
  return !Room.m_Entries.empty();
}

} // namespace vanillaferry
