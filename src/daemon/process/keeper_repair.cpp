#include "process/clock.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"

#include <algorithm>

namespace vanillaferry::internal {

namespace {

constexpr Millis JoinInterval{300};
constexpr Millis RepairInterval{100};

bool hasVote(const Keeper &Self) {
  const std::vector<KeeperAddress> &Voters = Self.m_Replica.m_Set.m_Voters;
  return std::any_of(Voters.begin(), Voters.end(),
                     [&Self](const KeeperAddress &Each) {
                       return Each.m_Keeper == Self.m_Formation.m_Keeper;
                     });
}

const char *nameOf(RepairStep::Kind What) {
  switch (What) {
  case RepairStep::Kind::AddLearner:
    return "add_learner";
  case RepairStep::Kind::Promote:
    return "promote";
  case RepairStep::Kind::Remove:
    return "remove";
  case RepairStep::Kind::None:
    break;
  }
  return "none";
}

const char *nameOf(RepairStep::Reason Why) {
  switch (Why) {
  case RepairStep::Reason::AskedToJoin:
    return "asked_to_join";
  case RepairStep::Reason::CaughtUp:
    return "caught_up";
  case RepairStep::Reason::Replaced:
    return "replaced";
  case RepairStep::Reason::Silent:
    return "silent";
  case RepairStep::Reason::None:
    break;
  }
  return "none";
}

void dialKeeper(Keeper &Self, const std::string &Url) {
  if (Url.empty() || Url == peerUrlOf(Self.m_Settings.m_Peer) ||
      !Self.m_Dialled.insert(Url).second)
    return;
  Self.m_Peers->connect(Url);
}

/// Ends this task; the process starts another one with a new identity.
void joinAnew(Keeper &Self, const NodeId &From, const RedirectLeader &Leader) {
  if (!Self.m_Running || leads(Self) || !isKeeper(Self, From) ||
      From.m_Value != Leader.m_Leader.m_Value)
    return;
  logEvent(Event::KeeperJoinsAnew,
           {{"keeper", Self.m_Formation.m_Keeper.m_Value},
            {"leader", From.m_Value}});
  Self.m_JoinsAnew = true;
  g_main_loop_quit(Self.m_Loop);
}

ProposeError proposeStep(Keeper &Self, const RepairStep &Step,
                         ReplicaActions &Actions, Millis Now) {
  switch (Step.m_Kind) {
  case RepairStep::Kind::AddLearner:
    return addLearner(Self.m_Replica, Step.m_Keeper, Actions, Now);
  case RepairStep::Kind::Promote:
    return promoteLearner(Self.m_Replica, Step.m_Keeper.m_Keeper, Actions, Now);
  case RepairStep::Kind::Remove:
    return removeKeeper(Self.m_Replica, Step.m_Keeper.m_Keeper, Actions, Now);
  case RepairStep::Kind::None:
    break;
  }
  return ProposeError::None;
}

} // namespace

void askToJoin(Keeper &Self, Millis Now) {
  if (!Self.m_Settings.m_SelfRepair || !Self.m_Running ||
      Now < Self.m_NextJoin || !mustAskToJoin(Self.m_Replica, Now))
    return;
  Self.m_NextJoin = Now + JoinInterval;
  // The keepers of an outdated set may all have been replaced.
  if (hasVote(Self))
    for (const InitialKeeper &Each : Self.m_Settings.m_InitialKeepers)
      dialKeeper(Self, Each.m_PeerUrl);
  JoinKeepers Request{Self.m_Formation.m_Keeper,
                      peerUrlOf(Self.m_Settings.m_Peer)};
  for (const std::string &Url : Self.m_Dialled)
    Self.m_Peers->sendToUrl(Url, Request);
}

void onRedirect(Keeper &Self, const NodeId &From,
                const RedirectLeader &Leader) {
  if (Leader.m_IdentityRemoved)
    return joinAnew(Self, From, Leader);
  if (!hasVote(Self))
    dialKeeper(Self, Leader.m_PeerUrl);
}

void onJoin(Keeper &Self, const NodeId &From, const JoinKeepers &Request) {
  if (Request.m_Keeper.m_Value != From.m_Value || !Self.m_Settings.m_SelfRepair)
    return;
  if (!leads(Self))
    return redirectToLeader(Self, From);
  if (removalIsCommitted(Self.m_Replica, Request.m_Keeper))
    return Self.m_Peers->send(
        From, RedirectLeader{Self.m_Formation.m_Keeper,
                             peerUrlOf(Self.m_Settings.m_Peer), true});
  if (!admitsJoining(Self, Request.m_Keeper, monotonicNow()))
    return;
  Self.m_Joining[Request.m_Keeper] = {{Request.m_Keeper, Request.m_PeerUrl},
                                      monotonicNow()};
}

void repairKeeperSet(Keeper &Self, Millis Now) {
  if (!Self.m_Settings.m_SelfRepair || Now < Self.m_NextRepair)
    return;
  Self.m_NextRepair = Now + RepairInterval;
  RepairLimits Limits{Self.m_Settings.m_InitialKeepers.size(),
                      Self.m_Settings.m_ToleratedLosses};
  RepairStep Step = nextRepair(Self.m_Replica, Self.m_Joining, Limits, Now);
  if (Step.m_Kind == RepairStep::Kind::None)
    return;
  ReplicaActions Actions;
  ProposeError Refused = proposeStep(Self, Step, Actions, Now);
  const KeeperSet &Set = Self.m_Replica.m_Set;
  if (Refused == ProposeError::None)
    logEvent(Event::KeeperSetRepaired,
             {{"step", nameOf(Step.m_Kind)},
              {"why", nameOf(Step.m_Reason)},
              {"keeper", Step.m_Keeper.m_Keeper.m_Value},
              {"url", Step.m_Keeper.m_PeerUrl},
              {"silent_ms", Step.m_Silence.m_Value},
              {"voters", static_cast<std::uint64_t>(Set.m_Voters.size())},
              {"learners", static_cast<std::uint64_t>(Set.m_Learners.size())}});
  perform(Self, std::move(Actions));
}

} // namespace vanillaferry::internal
