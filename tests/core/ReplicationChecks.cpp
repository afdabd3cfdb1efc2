#include "ReplicationHarness.hpp"

#include "process/internal/replica.hpp"

#include <algorithm>
#include <functional>

namespace replication_test {

namespace {

std::string contentOf(const LogEntry &Entry) {
  return std::to_string(static_cast<int>(Entry.m_Kind)) + Entry.m_Data;
}

std::uint64_t nextHash(std::uint64_t Hash, const LogEntry &Entry) {
  return std::hash<std::string>()(std::to_string(Hash) + contentOf(Entry));
}

std::string nameOf(const LogEntry &Entry) {
  return "entry " + std::to_string(Entry.m_Index.m_Value) + " of term " +
         std::to_string(Entry.m_Term.m_Value);
}

bool holds(const DurableState &Disk, const LogEntry &Entry) {
  if (Disk.m_Snapshot && Disk.m_Snapshot->m_LastIndex >= Entry.m_Index)
    return true;
  std::uint64_t Start = Disk.m_Start.m_Value;
  std::uint64_t Index = Entry.m_Index.m_Value;
  return Index > Start && Index - Start <= Disk.m_Log.size() &&
         Disk.m_Log[Index - Start - 1].m_Term == Entry.m_Term;
}

} // namespace

/// Log matching: an index and a term name one entry with one entry before it.
void Cluster::checkAppended(const Keeper &At, const ReplicaActions &Actions) {
  for (const LogEntry &Entry : Actions.m_Append) {
    std::optional<Term> Before =
        internal::termAt(At.m_Replica, LogIndex(Entry.m_Index.m_Value - 1));
    if (!Before)
      continue;
    std::pair<std::string, Term> Content{contentOf(Entry), *Before};
    std::pair<std::map<std::pair<LogIndex, Term>,
                       std::pair<std::string, Term>>::iterator,
              bool>
        Known = m_Created.insert({{Entry.m_Index, Entry.m_Term}, Content});
    if (Known.first->second != Content)
      fail("log matching: " + At.m_Id.m_Value + " holds another " +
           nameOf(Entry));
  }
}

/// One leader for a term, which holds every entry committed in earlier terms. A
/// late answer may still elect the leader of a term that is over; it can commit
/// nothing.
void Cluster::checkElected(Keeper &At) {
  ++m_Coverage.m_Elections;
  Term Led = At.m_Replica.m_Hard.m_Term;
  std::pair<KeeperId, std::uint64_t> Self{At.m_Id, At.m_Boot};
  if (m_LeaderOfTerm.insert({Led, Self}).first->second != Self)
    fail("two leaders in term " + std::to_string(Led.m_Value));
  m_NewestTerm = std::max(m_NewestTerm, Led);
  for (const std::pair<const LogIndex, LogEntry> &Entry : m_Committed) {
    if (Entry.first <= At.m_Replica.m_BaseIndex ||
        m_CommittedIn[Entry.first] >= Led)
      continue;
    if (internal::termAt(At.m_Replica, Entry.first) !=
        std::optional<Term>(Entry.second.m_Term))
      fail("the new leader " + At.m_Id.m_Value + " lacks the committed " +
           nameOf(Entry.second));
  }
  checkLeases();
}

/// No keeper holds a quorum lease once a newer leader is elected.
void Cluster::checkLeases() {
  for (const std::pair<const KeeperId, Keeper> &Entry : m_Keepers) {
    const Keeper &Other = Entry.second;
    if (!Other.m_Running || !holdsQuorumLease(Other.m_Replica, localNow(Other)))
      continue;
    ++m_Coverage.m_LeaseChecks;
    if (Other.m_Replica.m_Hard.m_Term < m_NewestTerm)
      fail(Other.m_Id.m_Value + " holds a lease in term " +
           std::to_string(Other.m_Replica.m_Hard.m_Term.m_Value) +
           " though term " + std::to_string(m_NewestTerm.m_Value) +
           " has a leader");
  }
}

/// State machine safety: every keeper applies the same entries in order.
void Cluster::checkCommitted(Keeper &At, const ReplicaActions &Actions) {
  for (const LogEntry &Entry : Actions.m_Committed) {
    if (Entry.m_Index.m_Value != At.m_Applied.m_Value + 1)
      fail(At.m_Id.m_Value + " applies out of order: " + nameOf(Entry));
    At.m_Applied = Entry.m_Index;
    At.m_StateHash = nextHash(At.m_StateHash, Entry);
    bool First = m_Committed.count(Entry.m_Index) == 0;
    const LogEntry &Known =
        m_Committed.insert({Entry.m_Index, Entry}).first->second;
    if (Known.m_Term != Entry.m_Term || contentOf(Known) != contentOf(Entry))
      fail("committed " + nameOf(Known) + " was replaced by " + nameOf(Entry) +
           " at " + At.m_Id.m_Value);
    if (m_HashAt.insert({Entry.m_Index, At.m_StateHash}).first->second !=
        At.m_StateHash)
      fail(At.m_Id.m_Value + " differs in its state after " + nameOf(Entry));
    if (!First)
      continue;
    ++m_Coverage.m_Commits;
    m_CommittedIn[Entry.m_Index] = At.m_Replica.m_Hard.m_Term;
    m_LastCommitted = std::max(m_LastCommitted, Entry.m_Index);
    if (Entry.m_Kind == EntryKind::KeeperSet)
      m_CommittedSet = decodeKeeperSet(Entry.m_Data).value_or(KeeperSet());
  }
  if (!Actions.m_Committed.empty() &&
      (At.m_Replica.m_Role == ReplicaRole::Leader || Actions.m_LostLeadership))
    checkDurableQuorum(At, Actions.m_Committed.back());
}

/// No commit by a minority: a quorum of disks holds the entry.
void Cluster::checkDurableQuorum(const Keeper &At, const LogEntry &Entry) {
  std::size_t Count = 0;
  for (const KeeperAddress &Voter : At.m_Replica.m_Set.m_Voters) {
    std::map<KeeperId, Keeper>::const_iterator Found =
        m_Keepers.find(Voter.m_Keeper);
    if (Found != m_Keepers.end() && (holds(Found->second.m_Disk, Entry) ||
                                     holds(Found->second.m_LostDisk, Entry)))
      ++Count;
  }
  if (Count < internal::quorumSize(At.m_Replica.m_Set))
    fail("the leader " + At.m_Id.m_Value + " committed " + nameOf(Entry) +
         " with only " + std::to_string(Count) + " of " +
         std::to_string(At.m_Replica.m_Set.m_Voters.size()) + " disks");
}

/// A confirmed read sees all that was committed before it was asked for.
void Cluster::checkReads(Keeper &At, const ReplicaActions &Actions) {
  for (std::uint64_t Token : Actions.m_ConfirmedReads) {
    ++m_Coverage.m_Reads;
    m_ConfirmedReads.insert(Token);
    if (At.m_OpenReads[Token] > At.m_Applied)
      fail("read " + std::to_string(Token) + " at " + At.m_Id.m_Value +
           " saw entry " + std::to_string(At.m_Applied.m_Value) +
           " though entry " + std::to_string(At.m_OpenReads[Token].m_Value) +
           " was committed");
    At.m_OpenReads.erase(Token);
  }
  for (std::uint64_t Token : Actions.m_FailedReads) {
    ++m_Coverage.m_FailedReads;
    At.m_OpenReads.erase(Token);
  }
}

/// False when lost disks have left some keeper without a quorum of its set.
bool Cluster::quorumIsLeft() const {
  for (const std::pair<const KeeperId, Keeper> &Entry : m_Keepers) {
    const KeeperSet &Set = Entry.second.m_Replica.m_Set;
    if (!Entry.second.m_Running || Set.m_Voters.empty() ||
        internal::isRemoved(m_CommittedSet, Entry.first))
      continue;
    std::size_t Live = 0;
    for (const KeeperAddress &Voter : Set.m_Voters) {
      const Keeper &Other = m_Keepers.at(Voter.m_Keeper);
      Live += Other.m_Running && Other.m_VotingAllowed ? 1 : 0;
    }
    if (Live < internal::quorumSize(Set))
      return false;
  }
  return true;
}

void Cluster::recoverAndCheck() {
  if (!m_Violation.empty())
    return;
  m_Cuts.clear();
  for (std::pair<const KeeperId, Keeper> &Entry : m_Keepers) {
    Entry.second.m_FrozenUntil = 0;
    if (!Entry.second.m_Running && !Entry.second.m_DiskLost)
      restart(Entry.second);
  }
  Faults NoFaults;
  NoFaults.m_Sync = 900;
  NoFaults.m_Propose = NoFaults.m_Read = NoFaults.m_Compact =
      NoFaults.m_Operator = 0;
  run(NoFaults, 2500);
  if (!m_Violation.empty())
    return;
  if (!quorumIsLeft()) {
    ++m_Coverage.m_NoQuorumLeft;
    return;
  }
  Keeper *Leader = leader();
  if (!Leader)
    return fail("no leader after all faults ended");
  std::vector<LogIndex> Indexes = proposeAt(*Leader, "last");
  if (Indexes.empty())
    return fail("the leader refuses a proposal after all faults ended");
  // A window of one entry takes a while for a long backlog.
  std::int64_t Deadline = m_Now + 30000;
  while (m_Now < Deadline && m_Violation.empty() &&
         !votersApplied(Indexes.front()))
    run(NoFaults, 300);
  if (!votersApplied(Indexes.front()))
    return fail("the voters have not applied the last entry");
  ++m_Coverage.m_Recovered;
}

bool Cluster::votersApplied(LogIndex Index) const {
  if (m_LastCommitted < Index)
    return false;
  for (const KeeperAddress &Voter : m_CommittedSet.m_Voters) {
    const Keeper &At = m_Keepers.at(Voter.m_Keeper);
    if (At.m_Running && At.m_VotingAllowed && At.m_Applied < Index)
      return false;
  }
  return true;
}

} // namespace replication_test
