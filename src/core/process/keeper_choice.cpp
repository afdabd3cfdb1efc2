#include "vanillaferry/process/keeper_choice.hpp"

#include <algorithm>
#include <xxhash.h>

namespace vanillaferry {

namespace {

/// A keeper with a twentieth of a core may need half of this time to relay a
/// renewal and its grant. With renewals every 2.3 s, as at 291 gateways, a
/// lease of 4 s survives one timeout.
constexpr Millis AnswerTimeout{1000};
/// A keeper that holds a renewal gives up earlier than this when it finds no
/// leader, and says so.
constexpr Millis HoldTimeout{2500};
/// Each renewal asks the keeper's process for a sign of life, so one that runs
/// is heard of more often than this.
constexpr Millis HeardLifetime{1500};
/// A keeper that is heard of but leaves renewals unanswered for this long is
/// given up all the same.
constexpr Millis SlowKeeperTimeout{6000};
/// Bounds the growth of the timeout while no keeper answers, as during the
/// formation of the first keeper set.
constexpr unsigned MaxDoublings = 3;
/// The moves of all gateways to the home keepers of a new set take this long,
/// so that handshakes do not delay a keeper's heartbeats.
constexpr Millis MoveSpread{2000};
/// Pause before the first return to a home keeper that failed, doubled for each
/// further return.
constexpr Millis ReturnPause{8000};
constexpr unsigned MaxReturnDoublings = 3;

std::uint64_t rankOf(const NodeId &Self, const std::string &Url) {
  std::uint64_t Seed = XXH3_64bits(Self.m_Value.data(), Self.m_Value.size());
  return XXH3_64bits_withSeed(Url.data(), Url.size(), Seed);
}

void sortByRank(KeeperChoice &Choice) {
  const NodeId &Self = Choice.m_Self;
  std::sort(Choice.m_Ranked.begin(), Choice.m_Ranked.end(),
            [&Self](const std::string &A, const std::string &B) {
              return rankOf(Self, A) > rankOf(Self, B);
            });
}

Millis spread(Millis Range, std::uint64_t Random) {
  return Millis(static_cast<std::int64_t>(
      Random % static_cast<std::uint64_t>(Range.m_Value)));
}

bool atHome(const KeeperChoice &Choice) {
  return Choice.m_Ranked.empty() || Choice.m_Current == Choice.m_Ranked.front();
}

/// Heard of lately and since the oldest unanswered renewal.
bool isHeardOf(const KeeperChoice &Choice, Millis Now) {
  return Choice.m_HeardAt && Choice.m_WaitingSince &&
         *Choice.m_HeardAt > *Choice.m_WaitingSince &&
         Now - *Choice.m_HeardAt <= HeardLifetime;
}

} // namespace

KeeperChoice makeKeeperChoice(NodeId Self,
                              const std::vector<std::string> &Urls) {
  KeeperChoice Choice;
  Choice.m_Self = std::move(Self);
  addKeeperUrls(Choice, Urls);
  if (!Choice.m_Ranked.empty())
    Choice.m_Current = Choice.m_Ranked.front();
  return Choice;
}

void addKeeperUrls(KeeperChoice &Choice, const std::vector<std::string> &Urls) {
  std::vector<std::string> &Known = Choice.m_Ranked;
  for (const std::string &Url : Urls)
    if (std::find(Known.begin(), Known.end(), Url) == Known.end())
      Known.push_back(Url);
  sortByRank(Choice);
}

void replaceKeeperUrls(KeeperChoice &Choice,
                       const std::vector<std::string> &Urls,
                       std::uint64_t SetVersion, Millis Now,
                       std::uint64_t Spread) {
  if (Urls.empty() || SetVersion <= Choice.m_SetVersion)
    return;
  Choice.m_SetVersion = SetVersion;
  Choice.m_Ranked = Urls;
  sortByRank(Choice);
  if (!atHome(Choice))
    Choice.m_ReturnAt =
        std::max(Choice.m_ReturnAt, Now + spread(MoveSpread, Spread));
}

void recordKeeperLink(KeeperChoice &Choice, const std::string &Url, bool Up) {
  if (!Up) {
    Choice.m_Up.erase(Url);
    return;
  }
  Choice.m_Up.insert(Url);
  if (Url == Choice.m_Current)
    Choice.m_WaitingSince.reset();
}

void recordRenewalSent(KeeperChoice &Choice, Millis Now) {
  Choice.m_NextRepeat = Now + AnswerTimeout;
  if (!Choice.m_WaitingSince)
    Choice.m_WaitingSince = Now;
}

void recordKeeperAnswer(KeeperChoice &Choice, Millis Now) {
  Choice.m_WaitingSince.reset();
  Choice.m_Held = false;
  Choice.m_Unanswered = 0;
  if (atHome(Choice) && Now >= Choice.m_ReturnAt + ReturnPause)
    Choice.m_Returns = 0;
}

void recordKeeperHolds(KeeperChoice &Choice) { Choice.m_Held = true; }

void recordKeeperHeard(KeeperChoice &Choice, const std::string &Url,
                       Millis Now) {
  if (Url == Choice.m_Current)
    Choice.m_HeardAt = Now;
}

bool keeperOverdue(const KeeperChoice &Choice, Millis Now) {
  if (!Choice.m_WaitingSince)
    return false;
  if (Choice.m_Held)
    return Now - *Choice.m_WaitingSince > HoldTimeout;
  Millis Allowed(AnswerTimeout.m_Value
                 << std::min(Choice.m_Unanswered, MaxDoublings));
  if (isHeardOf(Choice, Now))
    Allowed = std::max(Allowed, SlowKeeperTimeout);
  return Now - *Choice.m_WaitingSince > Allowed;
}

bool renewalRepeatDue(const KeeperChoice &Choice, Millis Now) {
  return Choice.m_WaitingSince && !Choice.m_Held && isHeardOf(Choice, Now) &&
         Now >= Choice.m_NextRepeat;
}

void selectKeeper(KeeperChoice &Choice, const std::string &Url) {
  Choice.m_Current = Url;
  Choice.m_HeardAt.reset();
  Choice.m_WaitingSince.reset();
  Choice.m_Held = false;
}

void selectNextKeeper(KeeperChoice &Choice, Millis Now, std::uint64_t Spread) {
  std::vector<std::string> &Known = Choice.m_Ranked;
  if (Known.empty())
    return;
  std::vector<std::string>::iterator At =
      std::find(Known.begin(), Known.end(), Choice.m_Current);
  std::size_t Next =
      At == Known.end()
          ? 0
          : static_cast<std::size_t>(At - Known.begin() + 1) % Known.size();
  if (atHome(Choice)) {
    Millis Pause(ReturnPause.m_Value
                 << std::min(Choice.m_Returns, MaxReturnDoublings));
    Choice.m_ReturnAt = Now + Pause + spread(Pause, Spread);
    ++Choice.m_Returns;
  }
  ++Choice.m_Unanswered;
  selectKeeper(Choice, Known[Next]);
}

bool returnHome(KeeperChoice &Choice, Millis Now) {
  if (atHome(Choice) || Now < Choice.m_ReturnAt ||
      Choice.m_Up.count(Choice.m_Ranked.front()) == 0)
    return false;
  selectKeeper(Choice, Choice.m_Ranked.front());
  return true;
}

std::vector<std::string> wantedKeepers(const KeeperChoice &Choice, Millis Now) {
  std::vector<std::string> Wanted;
  if (!Choice.m_Current.empty())
    Wanted.push_back(Choice.m_Current);
  if (!atHome(Choice) && Now >= Choice.m_ReturnAt)
    Wanted.push_back(Choice.m_Ranked.front());
  return Wanted;
}

} // namespace vanillaferry
