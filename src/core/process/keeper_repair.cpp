#include "vanillaferry/process/keeper_repair.hpp"

#include "process/internal/replica.hpp"

#include <algorithm>

namespace vanillaferry {

using namespace internal;

namespace {

using Addresses = std::vector<KeeperAddress>;

const KeeperAddress *findByUrl(const Addresses &All,
                               const KeeperAddress &Like) {
  Addresses::const_iterator Found =
      std::find_if(All.begin(), All.end(), [&Like](const KeeperAddress &Each) {
        return Each.m_PeerUrl == Like.m_PeerUrl &&
               Each.m_Keeper != Like.m_Keeper;
      });
  return Found == All.end() ? nullptr : &*Found;
}

RepairStep step(RepairStep::Kind What, const KeeperAddress &Keeper,
                RepairStep::Reason Why, Millis Silence = Millis(0)) {
  return {What, Keeper, Why, Silence};
}

/// Promotes a caught-up learner, or removes the voter whose address it has.
RepairStep promotionStep(const Replica &State) {
  for (const KeeperId &Ready : caughtUpLearners(State))
    for (const KeeperAddress &Learner : State.m_Set.m_Learners) {
      if (Learner.m_Keeper != Ready)
        continue;
      const KeeperAddress *Former = findByUrl(State.m_Set.m_Voters, Learner);
      return Former ? step(RepairStep::Kind::Remove, *Former,
                           RepairStep::Reason::Replaced)
                    : step(RepairStep::Kind::Promote, Learner,
                           RepairStep::Reason::CaughtUp);
    }
  return {};
}

RepairStep additionStep(const Replica &State,
                        const std::map<KeeperId, JoiningKeeper> &Joining,
                        Millis Now) {
  const KeeperSet &Set = State.m_Set;
  for (const std::pair<const KeeperId, JoiningKeeper> &Row : Joining) {
    const KeeperAddress &Address = Row.second.m_Address;
    if (Row.second.m_LastRequestAt + JoinRequestLifetime < Now ||
        isVoter(Set, Row.first) || isLearner(Set, Row.first) ||
        isRemoved(Set, Row.first))
      continue;
    const KeeperAddress *Former = findByUrl(Set.m_Learners, Address);
    return Former ? step(RepairStep::Kind::Remove, *Former,
                         RepairStep::Reason::Replaced)
                  : step(RepairStep::Kind::AddLearner, Address,
                         RepairStep::Reason::AskedToJoin);
  }
  return {};
}

Millis silenceOf(const Replica &State, const KeeperId &Keeper, Millis Now) {
  std::map<KeeperId, PeerProgress>::const_iterator Peer =
      State.m_Peers.find(Keeper);
  return Peer == State.m_Peers.end() ? Millis(0)
                                     : Now - Peer->second.m_LastAnswer;
}

/// The member that has been silent for longest, if that is over the limit.
RepairStep longestSilent(const Replica &State, const Addresses &All,
                         Millis Limit, Millis Now) {
  RepairStep Longest;
  for (const KeeperAddress &Each : All) {
    Millis Silence = silenceOf(State, Each.m_Keeper, Now);
    if (Each.m_Keeper != State.m_Self && Silence > Limit &&
        Silence > Longest.m_Silence)
      Longest = step(RepairStep::Kind::Remove, Each, RepairStep::Reason::Silent,
                     Silence);
  }
  return Longest;
}

/// Voters other than the leader that were silent for longer than this.
std::size_t silentVoters(const Replica &State, Millis Limit, Millis Now) {
  const Addresses &Voters = State.m_Set.m_Voters;
  return static_cast<std::size_t>(
      std::count_if(Voters.begin(), Voters.end(), [&](const KeeperAddress &V) {
        return V.m_Keeper != State.m_Self &&
               silenceOf(State, V.m_Keeper, Now) > Limit;
      }));
}

/// How many of the live voters may be lost before no quorum is left.
std::size_t bearableLosses(std::size_t Voters, std::size_t Live) {
  std::size_t Quorum = quorumSize(Voters);
  return Live > Quorum ? Live - Quorum : 0;
}

/// True when the set would bear more losses without the voters that were
/// silent for longer than this.
bool bearsMoreWithoutSilentVoters(const Replica &State, std::size_t Live,
                                  Millis Limit, Millis Now) {
  std::size_t Voters = State.m_Set.m_Voters.size();
  std::size_t Without = Voters - silentVoters(State, Limit, Now);
  return bearableLosses(Voters, Live) < bearableLosses(Without, Live);
}

/// How long a voter may be silent before it is removed.
Millis voterTimeout(const Replica &State, const RepairLimits &Limits,
                    Millis Now) {
  std::size_t Voters = State.m_Set.m_Voters.size();
  std::size_t Live =
      Voters - silentVoters(State, State.m_Options.m_ElectionMax, Now);
  std::size_t Bears = bearableLosses(Voters, Live);
  if (Bears < Limits.m_ToleratedLosses &&
      bearsMoreWithoutSilentVoters(State, Live, UrgentRemoval, Now))
    return UrgentRemoval;
  if (Bears == Limits.m_ToleratedLosses &&
      bearsMoreWithoutSilentVoters(State, Live, EarlyRemoval, Now))
    return EarlyRemoval;
  return LostVoterTimeout;
}

RepairStep removalStep(const Replica &State, const RepairLimits &Limits,
                       Millis Now) {
  RepairStep Learner =
      longestSilent(State, State.m_Set.m_Learners, LostVoterTimeout, Now);
  if (Learner.m_Kind != RepairStep::Kind::None)
    return Learner;
  // A majority of the voters that remain survives the tolerated losses.
  std::size_t MinVoters =
      std::max(Limits.m_FirstVoters, 2 * Limits.m_ToleratedLosses + 1);
  if (State.m_Set.m_Voters.size() <= MinVoters)
    return {};
  return longestSilent(State, State.m_Set.m_Voters,
                       voterTimeout(State, Limits, Now), Now);
}

} // namespace

RepairStep nextRepair(const Replica &State,
                      const std::map<KeeperId, JoiningKeeper> &Joining,
                      const RepairLimits &Limits, Millis Now) {
  if (State.m_Role != ReplicaRole::Leader)
    return {};
  RepairStep Next = promotionStep(State);
  if (Next.m_Kind == RepairStep::Kind::None)
    Next = additionStep(State, Joining, Now);
  if (Next.m_Kind == RepairStep::Kind::None)
    Next = removalStep(State, Limits, Now);
  return Next;
}

bool mustAskToJoin(const Replica &State, Millis Now) {
  if (State.m_Role == ReplicaRole::Leader)
    return false;
  return !isVoter(State.m_Set, State.m_Self) ||
         Now - State.m_LastLeaderContact > UnheardTimeout;
}

bool removalIsCommitted(const Replica &State, const KeeperId &Keeper) {
  return State.m_Role == ReplicaRole::Leader &&
         State.m_SetIndex <= State.m_Commit && isRemoved(State.m_Set, Keeper);
}

} // namespace vanillaferry
