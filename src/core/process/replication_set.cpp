#include "process/internal/replica.hpp"

#include <algorithm>
#include <utility>

namespace vanillaferry {

namespace internal {

namespace {

std::vector<KeeperAddress>::const_iterator
findKeeper(const std::vector<KeeperAddress> &Keepers, const KeeperId &Keeper) {
  return std::find_if(Keepers.begin(), Keepers.end(),
                      [&Keeper](const KeeperAddress &Address) {
                        return Address.m_Keeper == Keeper;
                      });
}

bool eraseKeeper(std::vector<KeeperAddress> &Keepers, const KeeperId &Keeper) {
  std::vector<KeeperAddress>::const_iterator Found =
      findKeeper(Keepers, Keeper);
  if (Found == Keepers.end())
    return false;
  Keepers.erase(Found);
  return true;
}

void addPeers(Replica &State, const std::vector<KeeperAddress> &Keepers,
              std::map<KeeperId, PeerProgress> &Peers, Millis Now) {
  for (const KeeperAddress &Address : Keepers) {
    if (Address.m_Keeper == State.m_Self)
      continue;
    std::map<KeeperId, PeerProgress>::iterator Known =
        State.m_Peers.find(Address.m_Keeper);
    PeerProgress Progress;
    Progress.m_Next = LogIndex(lastIndex(State).m_Value + 1);
    Progress.m_LastAnswer = Now;
    Peers[Address.m_Keeper] =
        Known == State.m_Peers.end() ? Progress : Known->second;
  }
}

ProposeError mayChangeSet(const Replica &State) {
  if (State.m_Role != ReplicaRole::Leader)
    return ProposeError::NotLeader;
  // A set change before the first commit of the own term could use a set that
  // another leader's uncommitted change has already replaced.
  if (State.m_SetIndex > State.m_Commit || State.m_Commit < State.m_TermStart)
    return ProposeError::ChangePending;
  return ProposeError::None;
}

bool answeredRecently(const Replica &State, const KeeperId &Keeper,
                      Millis Now) {
  std::map<KeeperId, PeerProgress>::const_iterator Peer =
      State.m_Peers.find(Keeper);
  return Peer != State.m_Peers.end() && !Peer->second.m_Regressed &&
         Peer->second.m_ConfirmedAt &&
         Now - *Peer->second.m_ConfirmedAt < State.m_Options.m_ElectionMax;
}

/// True when the voters of this set that answered recently are a quorum of it.
bool hasLiveQuorum(const Replica &State, const KeeperSet &Set, Millis Now) {
  std::size_t Live = 0;
  for (const KeeperAddress &Voter : Set.m_Voters)
    if (Voter.m_Keeper == State.m_Self ||
        answeredRecently(State, Voter.m_Keeper, Now))
      ++Live;
  return Live >= quorumSize(Set);
}

ProposeError proposeSet(Replica &State, const KeeperSet &Set,
                        ReplicaActions &Actions, Millis Now) {
  LogEntry Entry;
  Entry.m_Index = LogIndex(lastIndex(State).m_Value + 1);
  Entry.m_Term = State.m_Hard.m_Term;
  Entry.m_Kind = EntryKind::KeeperSet;
  Entry.m_Data = encodeKeeperSet(Set);
  appendEntry(State, Actions, std::move(Entry), Now);
  expectSync(State, Actions);
  sendEntries(State, Actions, Now);
  commitByQuorum(State, Actions, Now);
  return ProposeError::None;
}

bool isCaughtUp(const Replica &State, const KeeperId &Keeper) {
  std::map<KeeperId, PeerProgress>::const_iterator Found =
      State.m_Peers.find(Keeper);
  if (Found == State.m_Peers.end() || Found->second.m_Regressed ||
      !Found->second.m_ConfirmedAt)
    return false;
  return Found->second.m_Match.m_Value + State.m_Options.m_LearnerLag >=
         lastIndex(State).m_Value;
}

} // namespace

bool isVoter(const KeeperSet &Set, const KeeperId &Keeper) {
  return findKeeper(Set.m_Voters, Keeper) != Set.m_Voters.end();
}

bool isLearner(const KeeperSet &Set, const KeeperId &Keeper) {
  return findKeeper(Set.m_Learners, Keeper) != Set.m_Learners.end();
}

bool isRemoved(const KeeperSet &Set, const KeeperId &Keeper) {
  return std::find(Set.m_Removed.begin(), Set.m_Removed.end(), Keeper) !=
         Set.m_Removed.end();
}

std::size_t quorumSize(std::size_t Voters) { return Voters / 2 + 1; }

std::size_t quorumSize(const KeeperSet &Set) {
  return quorumSize(Set.m_Voters.size());
}

KeeperSet setAt(const Replica &State, LogIndex Index) {
  std::map<LogIndex, KeeperSet>::const_iterator After =
      State.m_SetHistory.upper_bound(Index);
  if (After == State.m_SetHistory.begin())
    return KeeperSet();
  return std::prev(After)->second;
}

void useNewestSet(Replica &State, Millis Now) {
  State.m_SetIndex = State.m_SetHistory.rbegin()->first;
  State.m_Set = State.m_SetHistory.rbegin()->second;
  if (State.m_Role == ReplicaRole::Leader) {
    std::map<KeeperId, PeerProgress> Peers;
    addPeers(State, State.m_Set.m_Voters, Peers, Now);
    addPeers(State, State.m_Set.m_Learners, Peers, Now);
    State.m_Peers = std::move(Peers);
  } else if (State.m_Role != ReplicaRole::Candidate) {
    State.m_Role = isVoter(State.m_Set, State.m_Self) ? ReplicaRole::Follower
                                                      : ReplicaRole::Learner;
  }
}

std::int64_t
quorumValue(const Replica &State, std::int64_t Own, std::int64_t Lowest,
            const std::function<std::int64_t(const PeerProgress &)> &ValueOf) {
  std::vector<std::int64_t> Values;
  for (const KeeperAddress &Voter : State.m_Set.m_Voters) {
    std::map<KeeperId, PeerProgress>::const_iterator Peer =
        State.m_Peers.find(Voter.m_Keeper);
    if (Voter.m_Keeper == State.m_Self)
      Values.push_back(Own);
    else if (Peer != State.m_Peers.end() && !Peer->second.m_Regressed)
      Values.push_back(ValueOf(Peer->second));
    else
      Values.push_back(Lowest);
  }
  if (Values.empty())
    return Lowest;
  std::sort(Values.rbegin(), Values.rend());
  return Values[quorumSize(State.m_Set) - 1];
}

} // namespace internal

using namespace internal;

ProposeError addLearner(Replica &State, KeeperAddress Keeper,
                        ReplicaActions &Actions, Millis Now) {
  ProposeError Refused = mayChangeSet(State);
  if (Refused != ProposeError::None)
    return Refused;
  if (isRemoved(State.m_Set, Keeper.m_Keeper))
    return ProposeError::IdentityRemoved;
  KeeperSet Set = State.m_Set;
  // A known keeper only gets its new address.
  bool Known = false;
  for (std::vector<KeeperAddress> *Keepers : {&Set.m_Voters, &Set.m_Learners})
    for (KeeperAddress &Address : *Keepers)
      if (Address.m_Keeper == Keeper.m_Keeper) {
        Address.m_PeerUrl = Keeper.m_PeerUrl;
        Known = true;
      }
  if (!Known)
    Set.m_Learners.push_back(std::move(Keeper));
  return proposeSet(State, Set, Actions, Now);
}

ProposeError promoteLearner(Replica &State, const KeeperId &Keeper,
                            ReplicaActions &Actions, Millis Now) {
  ProposeError Refused = mayChangeSet(State);
  if (Refused != ProposeError::None)
    return Refused;
  KeeperSet Set = State.m_Set;
  std::vector<KeeperAddress>::const_iterator Found =
      findKeeper(Set.m_Learners, Keeper);
  if (Found == Set.m_Learners.end())
    return ProposeError::NoSuchKeeper;
  // A learner that no longer answers may be lost, whatever it had stored.
  if (!isCaughtUp(State, Keeper) || !answeredRecently(State, Keeper, Now))
    return ProposeError::LearnerBehind;
  Set.m_Voters.push_back(*Found);
  Set.m_Learners.erase(Found);
  if (!hasLiveQuorum(State, Set, Now))
    return ProposeError::QuorumAtRisk;
  return proposeSet(State, Set, Actions, Now);
}

ProposeError removeKeeper(Replica &State, const KeeperId &Keeper,
                          ReplicaActions &Actions, Millis Now) {
  ProposeError Refused = mayChangeSet(State);
  if (Refused != ProposeError::None)
    return Refused;
  KeeperSet Set = State.m_Set;
  bool Voter = eraseKeeper(Set.m_Voters, Keeper);
  bool Learner = eraseKeeper(Set.m_Learners, Keeper);
  if (!Voter && !Learner)
    return ProposeError::NoSuchKeeper;
  if (Set.m_Voters.empty())
    return ProposeError::LastVoter;
  // The removal itself needs a quorum of the remaining set; without one
  // no later change could be committed either.
  if (!hasLiveQuorum(State, Set, Now))
    return ProposeError::QuorumAtRisk;
  Set.m_Removed.push_back(Keeper);
  return proposeSet(State, Set, Actions, Now);
}

std::vector<KeeperId> caughtUpLearners(const Replica &State) {
  std::vector<KeeperId> CaughtUp;
  if (State.m_Role == ReplicaRole::Leader)
    for (const KeeperAddress &Learner : State.m_Set.m_Learners)
      if (isCaughtUp(State, Learner.m_Keeper))
        CaughtUp.push_back(Learner.m_Keeper);
  return CaughtUp;
}

} // namespace vanillaferry
