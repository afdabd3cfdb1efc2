#include "process/clock.hpp"
#include "process/internal/keeper_api.hpp"
#include "process/log.hpp"

#include <algorithm>

namespace vanillaferry::internal {

namespace {

/// A proposal may be lost with its leader's quorum.
constexpr Millis ProposalInterval{1000};
/// A keeper that asks to join does so every 300 ms.
constexpr Millis RefusalLineInterval{60000};
/// For a keeper that is replaced by a newer build within an upgrade.
constexpr const char *RetryAfterSeconds = "5";

/// The members because of which a level cannot be used.
std::string membersBelow(const Keeper &Self, FeatureLevel Level) {
  std::string Names;
  for (const KeeperId &Member : otherMembers(Self.m_Replica)) {
    std::map<KeeperId, StatedLevel>::const_iterator Found =
        Self.m_Levels.m_Stated.find(Member);
    bool Stated = Found != Self.m_Levels.m_Stated.end();
    if (Stated && Found->second.m_Level >= Level)
      continue;
    Names += (Names.empty() ? "" : ", ") + Member.m_Value +
             (Stated ? "" : " (not heard)");
  }
  return Names;
}

} // namespace

FeatureLevel levelInUse(const Keeper &Self) {
  return usableLevel(Self.m_Levels, Self.m_Replica, Self.m_State.m_Level);
}

bool mayPropose(const Keeper &Self, const Command &Input) {
  return featureLevelOf(Input) <= levelInUse(Self);
}

bool answerBelowLevel(Keeper &Self, HttpExchange &Exchange,
                      FeatureLevel Needed) {
  FeatureLevel Used = levelInUse(Self);
  if (Needed <= Used)
    return false;
  std::string Members = membersBelow(Self, Needed);
  addCounter(Self.m_Metrics, "vanillaferry_orders_below_level_total");
  Exchange.setHeader("Retry-After", RetryAfterSeconds);
  answerError(
      Exchange, 503, "feature_level",
      "this order needs feature level " + std::to_string(Needed.m_Value) +
          ", but the keepers use level " + std::to_string(Used.m_Value) +
          (Members.empty() ? "" : "; lower or unknown: " + Members));
  return true;
}

void raiseLevel(Keeper &Self, Millis Now) {
  FeatureLevel Common = understoodByAll(Self.m_Levels, Self.m_Replica, Now);
  if (Common <= Self.m_State.m_Level || Now < Self.m_Levels.m_NextProposal)
    return;
  Self.m_Levels.m_NextProposal = Now + ProposalInterval;
  Self.m_Levels.m_Proposed = std::max(Self.m_Levels.m_Proposed, Common);
  proposeCommand(Self, AdvanceClock{wallNow(), Common},
                 [&Self](const CommandAnswer *Done) {
                   if (Done)
                     logEvent(Event::FeatureLevelRaised,
                              {{"level", Self.m_State.m_Level.m_Value}});
                 });
}

bool admitsJoining(Keeper &Self, const KeeperId &Joining, Millis Now) {
  if (mayBecomeMember(Self.m_Levels, Joining, Self.m_State.m_Level))
    return true;
  addCounter(Self.m_Metrics, "vanillaferry_keepers_below_level_total");
  if (Now < Self.m_NextLevelLine)
    return false;
  Self.m_NextLevelLine = Now + RefusalLineInterval;
  logEvent(Event::KeeperBelowLevel, {{"keeper", Joining.m_Value},
                                     {"needed", Self.m_State.m_Level.m_Value}});
  return false;
}

void holdBackAt(Keeper &Self, LogIndex Index, const std::string &Why) {
  if (Self.m_HeldBack)
    return;
  Self.m_HeldBack = HeldBack{Index, Why};
  logEvent(Event::KeeperHoldsBack, {{"what", Why},
                                    {"index", Index.m_Value},
                                    {"level", NewestFeatureLevel.m_Value}});
  // What is served from the state would be outdated from here on.
  Self.m_Served.clear();
  perform(Self, holdBack(Self.m_Replica, monotonicNow()));
}

} // namespace vanillaferry::internal
