#include "vanillaferry/request/waiting_room.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace vanillaferry {

namespace {

constexpr double MsPerSecond = 1000;
/// A route or account with a smaller part of the mean served share goes first.
/// Requests that are lost after they got room leave a margin to the quarter
/// that is promised.
constexpr double FloorPart = 0.4;
/// A share of fewer requests says little.
constexpr double MinOffered = 4;
constexpr Millis HalvingTime{10000};
/// Turns of an account of which one goes to its earliest deadline, whether the
/// objective can be met or not.
constexpr std::size_t TurnsPerLate = 4;
/// Bounds what one turn is charged, as a multiple of the mean work.
constexpr double MinCharge = 0.25;
constexpr double MaxCharge = 8;
constexpr double AverageWeight = 0.1;
constexpr Millis HoldExtension{100};
constexpr double UnknownRetryMs = 400;
constexpr double MinRetryMs = 250;
constexpr double MaxRetryMs = 5000;
constexpr std::size_t MaxTurns = 4096;
/// Bounds the work of one wake-up.
constexpr std::size_t MaxOffers = 64;
constexpr std::size_t MaxUnsuitable = 16;
/// Entries that one new entry may push out.
constexpr std::size_t MaxTurnedAway = 8;

bool underFloor(const ServedShare &Share, const ServedShare &All) {
  return Share.m_Offered >= MinOffered && All.m_Offered > 0 &&
         Share.m_Served * All.m_Offered <
             FloorPart * All.m_Served * Share.m_Offered;
}

template <typename Key>
bool underFloor(const WaitingRoom &Room,
                const std::map<Key, ServedShare> &Shares, const Key &Of) {
  typename std::map<Key, ServedShare>::const_iterator Found = Shares.find(Of);
  return Found != Shares.end() && underFloor(Found->second, Room.m_All);
}

/// Routes and waiting accounts of which so few requests got room that they go
/// first. There are few or none, so entries need no look-up of their shares.
struct StarvedKinds {
  std::set<std::string> m_Routes;
  std::set<AccountId> m_Accounts;
};

StarvedKinds starvedKinds(const WaitingRoom &Room) {
  StarvedKinds Starved;
  for (const std::pair<const std::string, ServedShare> &Row : Room.m_Routes)
    if (underFloor(Row.second, Room.m_All))
      Starved.m_Routes.insert(Row.first);
  for (const std::pair<const AccountId, AccountTurns> &Row : Room.m_Turns)
    if (Row.second.m_Waiting > 0 &&
        underFloor(Room, Room.m_Accounts, Row.first))
      Starved.m_Accounts.insert(Row.first);
  return Starved;
}

bool isStarved(const StarvedKinds &Starved, const RoomEntry &Entry) {
  return Starved.m_Routes.count(Entry.m_Route) != 0 ||
         Starved.m_Accounts.count(Entry.m_Account) != 0;
}

bool missesObjective(const WaitingRoom &Room, const RoomEntry &Entry,
                     Millis Now) {
  Millis Answer(static_cast<std::int64_t>(Room.m_AnswerMs));
  return Now + Answer > Entry.m_Arrival + Entry.m_Objective;
}

/// Last time at which the entry can be sent and answered in time.
Millis latestStart(const WaitingRoom &Room, const RoomEntry &Entry) {
  return Entry.m_Deadline -
         Millis(static_cast<std::int64_t>(Room.m_AnswerMs) + 1);
}

/// Order of the entries; the smallest is next.
using EntryRank =
    std::tuple<bool, int, bool, double, std::int64_t, double, std::uint64_t>;

EntryRank rankOf(const WaitingRoom &Room, const StarvedKinds &Starved,
                 const RoomEntry &Entry, Millis Now) {
  const AccountTurns &Turns = Room.m_Turns.at(Entry.m_Account);
  bool LateTurn = Turns.m_Taken % TurnsPerLate == TurnsPerLate - 1;
  bool Late = !LateTurn && missesObjective(Room, Entry, Now);
  return {
      !isStarved(Starved, Entry), Entry.m_Priority, Late,      Turns.m_Start,
      Entry.m_Deadline.m_Value,   Entry.m_Work,     Entry.m_Id};
}

void halveShares(WaitingRoom &Room, Millis Now) {
  if (Now < Room.m_SharesHalvedAt + HalvingTime)
    return;
  Room.m_SharesHalvedAt = Now;
  auto Halve = [](ServedShare &Share) {
    Share.m_Offered /= 2;
    Share.m_Served /= 2;
  };
  auto HalveAll = [&Halve](auto &Shares) {
    for (auto Row = Shares.begin(); Row != Shares.end();) {
      Halve(Row->second);
      Row = Row->second.m_Offered < 1 ? Shares.erase(Row) : std::next(Row);
    }
  };
  Halve(Room.m_All);
  HalveAll(Room.m_Routes);
  HalveAll(Room.m_Accounts);
}

double average(double Former, double Value) {
  return Former <= 0 ? Value : Former + AverageWeight * (Value - Former);
}

void countBusy(WaitingRoom &Room, Millis Now) {
  for (std::pair<const int, PriorityRate> &Row : Room.m_Rates)
    if (Row.second.m_Waiting > 0)
      countBusyTime(Row.second.m_Rate, Now);
}

/// Accounts that do not wait and have used no more than their turn.
void dropIdleTurns(WaitingRoom &Room) {
  if (Room.m_Entries.empty()) {
    Room.m_Turns.clear();
    Room.m_Clock = 0;
    return;
  }
  if (Room.m_Turns.size() <= MaxTurns)
    return;
  for (auto Row = Room.m_Turns.begin(); Row != Room.m_Turns.end();) {
    bool Idle =
        Row->second.m_Waiting == 0 && Row->second.m_Start <= Room.m_Clock;
    Row = Idle ? Room.m_Turns.erase(Row) : std::next(Row);
  }
}

/// Accounts with more than their part of the entries.
std::set<AccountId> accountsOverPart(const WaitingRoom &Room) {
  std::size_t Accounts = 0;
  for (const std::pair<const AccountId, AccountTurns> &Row : Room.m_Turns)
    Accounts += Row.second.m_Waiting > 0 ? 1 : 0;
  std::set<AccountId> Over;
  for (const std::pair<const AccountId, AccountTurns> &Row : Room.m_Turns)
    if (Row.second.m_Waiting * Accounts > Room.m_Entries.size())
      Over.insert(Row.first);
  return Over;
}

/// Order in which entries are turned away; the largest goes first.
using LossRank = std::tuple<bool, bool, int, bool, double, std::int64_t>;

/// The entry whose loss costs callers least; null when none may be refused.
const RoomEntry *cheapestLoss(const WaitingRoom &Room,
                              const std::set<std::uint64_t> &Except,
                              Millis Now) {
  std::set<AccountId> Over = accountsOverPart(Room);
  StarvedKinds Starved = starvedKinds(Room);
  const RoomEntry *Cheapest = nullptr;
  LossRank CheapestCost;
  for (const std::pair<const std::uint64_t, RoomEntry> &Row : Room.m_Entries) {
    const RoomEntry &Each = Row.second;
    if (Each.m_MayHaveRun || Except.count(Each.m_Id) != 0)
      continue;
    LossRank Cost{!isStarved(Starved, Each),
                  Over.count(Each.m_Account) != 0,
                  Each.m_Priority,
                  missesObjective(Room, Each, Now),
                  Each.m_Work,
                  Each.m_Arrival.m_Value};
    if (Cheapest && Cost <= CheapestCost)
      continue;
    Cheapest = &Each;
    CheapestCost = Cost;
  }
  return Cheapest;
}

/// Entries to remove so that the limits hold with the new one; absent when that
/// one has to go.
std::optional<std::set<std::uint64_t>>
whoMakesWay(const WaitingRoom &Room, std::uint64_t New, Millis Now) {
  std::set<std::uint64_t> Losers;
  std::size_t Bytes = Room.m_Bytes;
  while (Room.m_Entries.size() - Losers.size() > Room.m_Limits.m_Entries ||
         Bytes > Room.m_Limits.m_Bytes) {
    const RoomEntry *Loser = cheapestLoss(Room, Losers, Now);
    if (!Loser || Loser->m_Id == New || Losers.size() >= MaxTurnedAway)
      return std::nullopt;
    Losers.insert(Loser->m_Id);
    Bytes -= Loser->m_Bytes;
  }
  return Losers;
}

void insertEntry(WaitingRoom &Room, RoomEntry Entry, Millis Now) {
  PriorityRate &Rate = Room.m_Rates[Entry.m_Priority];
  // Time during which nothing waited is not busy time.
  if (Rate.m_Waiting++ == 0)
    Rate.m_Rate.m_CountedUntil = Now;
  AccountTurns &Turns = Room.m_Turns[Entry.m_Account];
  if (Turns.m_Waiting++ == 0)
    Turns.m_Start = std::max(Turns.m_Start, Room.m_Clock);
  Room.m_Bytes += Entry.m_Bytes;
  std::uint64_t Id = Entry.m_Id;
  Room.m_Entries.emplace(Id, std::move(Entry));
}

} // namespace

void noteOffered(WaitingRoom &Room, const std::string &Route,
                 const AccountId &Account, Millis Now) {
  halveShares(Room, Now);
  for (ServedShare *Share :
       {&Room.m_All, &Room.m_Routes[Route], &Room.m_Accounts[Account]})
    Share->m_Offered += 1;
}

void noteServed(WaitingRoom &Room, const std::string &Route,
                const AccountId &Account) {
  for (ServedShare *Share :
       {&Room.m_All, &Room.m_Routes[Route], &Room.m_Accounts[Account]})
    Share->m_Served += 1;
}

void noteAnswerTime(WaitingRoom &Room, Millis Took) {
  Room.m_AnswerMs = average(
      Room.m_AnswerMs, static_cast<double>(std::max(Took, Millis(1)).m_Value));
}

RoomAnswer addEntry(WaitingRoom &Room, RoomEntry Entry, Millis Now) {
  RoomAnswer Answer;
  countBusy(Room, Now);
  std::map<int, PriorityRate>::const_iterator Known =
      Room.m_Rates.find(Entry.m_Priority);
  if (Known != Room.m_Rates.end() && !Entry.m_MayHaveRun) {
    std::optional<double> Rate = servedPerSecond(Known->second.m_Rate);
    // Without others ahead the request is let in, which renews the rate.
    if (Rate && Known->second.m_Waiting > 0 && !Entry.m_SawRoom &&
        Now + expectedWait(Room, Entry, *Rate) > latestStart(Room, Entry)) {
      Answer.m_Verdict = RoomVerdict::TooLate;
      return Answer;
    }
  }
  std::uint64_t Id = Entry.m_Id;
  insertEntry(Room, std::move(Entry), Now);
  std::optional<std::set<std::uint64_t>> Losers = whoMakesWay(Room, Id, Now);
  if (!Losers) {
    removeEntry(Room, Id, Now);
    Answer.m_Verdict = RoomVerdict::Full;
    return Answer;
  }
  for (std::uint64_t Loser : *Losers) {
    removeEntry(Room, Loser, Now);
    Answer.m_TurnedAway.push_back(Loser);
  }
  return Answer;
}

const RoomEntry *nextEntry(const WaitingRoom &Room, Millis Now,
                           const std::function<bool(const RoomEntry &)> &Skip) {
  StarvedKinds Starved = starvedKinds(Room);
  const RoomEntry *Next = nullptr;
  EntryRank NextRank;
  for (const std::pair<const std::uint64_t, RoomEntry> &Row : Room.m_Entries) {
    if (Skip && Skip(Row.second))
      continue;
    EntryRank Rank = rankOf(Room, Starved, Row.second, Now);
    if (Next && !(Rank < NextRank))
      continue;
    Next = &Row.second;
    NextRank = Rank;
  }
  return Next;
}

void takeEntry(WaitingRoom &Room, std::uint64_t Id, Millis Now) {
  std::map<std::uint64_t, RoomEntry>::const_iterator Found =
      Room.m_Entries.find(Id);
  if (Found == Room.m_Entries.end())
    return;
  const RoomEntry &Entry = Found->second;
  countBusy(Room, Now);
  Room.m_Rates[Entry.m_Priority].m_Rate.m_Served += 1;
  Room.m_MeanWork = average(Room.m_MeanWork, Entry.m_Work);
  double Charge = Room.m_MeanWork > 0 ? Entry.m_Work / Room.m_MeanWork : 1;
  AccountTurns &Turns = Room.m_Turns[Entry.m_Account];
  Room.m_Clock = std::max(Room.m_Clock, Turns.m_Start);
  Turns.m_Start += std::clamp(Charge, MinCharge, MaxCharge);
  ++Turns.m_Taken;
  removeEntry(Room, Id, Now);
}

void removeEntry(WaitingRoom &Room, std::uint64_t Id, Millis Now) {
  std::map<std::uint64_t, RoomEntry>::const_iterator Found =
      Room.m_Entries.find(Id);
  if (Found == Room.m_Entries.end())
    return;
  countBusy(Room, Now);
  --Room.m_Rates[Found->second.m_Priority].m_Waiting;
  --Room.m_Turns[Found->second.m_Account].m_Waiting;
  Room.m_Bytes -= Found->second.m_Bytes;
  Room.m_Entries.erase(Found);
  dropIdleTurns(Room);
}

std::vector<std::uint64_t> expiredEntries(WaitingRoom &Room, Millis Now) {
  std::vector<std::uint64_t> Expired;
  countBusy(Room, Now);
  for (std::pair<const std::uint64_t, RoomEntry> &Row : Room.m_Entries) {
    RoomEntry &Entry = Row.second;
    if (Entry.m_HoldUntil > Now)
      continue;
    std::optional<double> Rate =
        meanServedPerSecond(Room.m_Rates[Entry.m_Priority].m_Rate);
    if (Rate &&
        Now + expectedWait(Room, Entry, *Rate) <= latestStart(Room, Entry))
      Entry.m_HoldUntil = Now + HoldExtension;
    else
      Expired.push_back(Row.first);
  }
  return Expired;
}

std::size_t offerRoom(WaitingRoom &Room, Millis Now,
                      const std::function<RoomOffer(std::uint64_t Id)> &Offer) {
  std::set<std::string> Unsuitable;
  auto Skip = [&Unsuitable](const RoomEntry &Each) {
    return Unsuitable.count(Each.m_Bound) != 0;
  };
  std::size_t Left = 0;
  while (Left < MaxOffers && Unsuitable.size() < MaxUnsuitable) {
    const RoomEntry *Next = nextEntry(Room, Now, Skip);
    if (!Next)
      break;
    std::string Bound = Next->m_Bound;
    RoomOffer Outcome = Offer(Next->m_Id);
    if (Outcome == RoomOffer::NoRoom)
      break;
    if (Outcome == RoomOffer::Left)
      ++Left;
    else
      Unsuitable.insert(Bound);
  }
  return Left;
}

std::optional<Millis> firstHoldEnd(const WaitingRoom &Room) {
  std::optional<Millis> First;
  for (const std::pair<const std::uint64_t, RoomEntry> &Row : Room.m_Entries)
    First = std::min(First.value_or(Row.second.m_HoldUntil),
                     Row.second.m_HoldUntil);
  return First;
}

Millis expectedWait(const WaitingRoom &Room, const RoomEntry &Entry,
                    double PerSecond) {
  // The rate is that of the priority, so only its entries count. Accounts take
  // turns: each other one has at most one turn for each of the own.
  std::map<AccountId, std::size_t> OfOthers;
  std::size_t Own = 0;
  for (const std::pair<const std::uint64_t, RoomEntry> &Row : Room.m_Entries) {
    const RoomEntry &Other = Row.second;
    if (Other.m_Id == Entry.m_Id || Other.m_Priority != Entry.m_Priority)
      continue;
    if (Other.m_Account != Entry.m_Account)
      ++OfOthers[Other.m_Account];
    else if (std::make_pair(Other.m_Deadline, Other.m_Id) <
             std::make_pair(Entry.m_Deadline, Entry.m_Id))
      ++Own;
  }
  std::size_t Ahead = Own;
  for (const std::pair<const AccountId, std::size_t> &Row : OfOthers)
    Ahead += std::min(Row.second, Own + 1);
  return Millis(static_cast<std::int64_t>(static_cast<double>(Ahead + 1) *
                                          MsPerSecond / PerSecond));
}

Millis retryAfter(const WaitingRoom &Room, int Priority, std::uint64_t Random) {
  constexpr double LeastSpread = 0.75;
  constexpr double SpreadRange = 0.5;
  constexpr std::uint64_t Steps = 1024;
  double DrainMs = UnknownRetryMs;
  std::map<int, PriorityRate>::const_iterator Known =
      Room.m_Rates.find(Priority);
  std::optional<double> Rate;
  if (Known != Room.m_Rates.end())
    Rate = meanServedPerSecond(Known->second.m_Rate);
  if (Rate)
    DrainMs =
        static_cast<double>(Known->second.m_Waiting + 1) * MsPerSecond / *Rate;
  double Draw =
      static_cast<double>(Random % Steps) / static_cast<double>(Steps);
  return Millis(
      static_cast<std::int64_t>(std::clamp(DrainMs, MinRetryMs, MaxRetryMs) *
                                (LeastSpread + SpreadRange * Draw)));
}

} // namespace vanillaferry
