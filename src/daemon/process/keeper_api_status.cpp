#include "connection/peer_metrics.hpp"
#include "process/clock.hpp"
#include "process/internal/keeper_api.hpp"
#include "process/log.hpp"
#include "process/thread_meter.hpp"

#include <nlohmann/json.hpp>

namespace vanillaferry::internal {

namespace {

using nlohmann::json;

const char *roleName(ReplicaRole Role) {
  switch (Role) {
  case ReplicaRole::Follower:
    return "follower";
  case ReplicaRole::Candidate:
    return "candidate";
  case ReplicaRole::Leader:
    return "leader";
  case ReplicaRole::Learner:
    return "learner";
  }
  return "unknown";
}

const char *formationName(FormationState State) {
  switch (State) {
  case FormationState::Forming:
    return "forming";
  case FormationState::Formed:
    return "formed";
  case FormationState::Fresh:
    return "fresh";
  }
  return "unknown";
}

json keeperJson(const Keeper &Self, const KeeperAddress &Address, bool Voter,
                Millis Now) {
  const Replica &Log = Self.m_Replica;
  bool Own = Address.m_Keeper == Self.m_Formation.m_Keeper;
  json Row = {{"keeper", Address.m_Keeper.m_Value},
              {"peer_url", Address.m_PeerUrl},
              {"votes", Voter},
              {"leads", Address.m_Keeper == Log.m_Leader},
              {"connected", Own || Self.m_Connected.count(
                                       NodeId(Address.m_Keeper.m_Value)) != 0}};
  auto Stated = Self.m_Levels.m_Stated.find(Address.m_Keeper);
  if (Own)
    Row["feature_level"] = NewestFeatureLevel.m_Value;
  else if (Stated != Self.m_Levels.m_Stated.end())
    Row["feature_level"] = Stated->second.m_Level.m_Value;
  auto Progress = Log.m_Peers.find(Address.m_Keeper);
  if (Log.m_Role != ReplicaRole::Leader)
    return Row;
  LogIndex Match = Own ? lastIndex(Log) : LogIndex(0);
  if (Progress != Log.m_Peers.end()) {
    Match = Progress->second.m_Match;
    Row["disk_lost_data"] = Progress->second.m_Regressed;
    Row["last_answer_ms_ago"] = (Now - Progress->second.m_LastAnswer).m_Value;
  }
  Row["match"] = Match.m_Value;
  Row["lag"] = lastIndex(Log).m_Value - Match.m_Value;
  return Row;
}

json keepersJson(const Keeper &Self, Millis Now) {
  json Rows = json::array();
  for (const KeeperAddress &Voter : Self.m_Replica.m_Set.m_Voters)
    Rows.push_back(keeperJson(Self, Voter, true, Now));
  for (const KeeperAddress &Learner : Self.m_Replica.m_Set.m_Learners)
    Rows.push_back(keeperJson(Self, Learner, false, Now));
  return Rows;
}

/// Connected keepers that are not in the set: they wait for keeper-set add.
json nonMembersJson(const Keeper &Self) {
  json Rows = json::array();
  for (const std::pair<const NodeId, ConnectedPeer> &Row : Self.m_Connected) {
    if (Row.second.m_Role != NodeRole::Keeper)
      continue;
    bool Known = false;
    for (const std::vector<KeeperAddress> *Keepers :
         {&Self.m_Replica.m_Set.m_Voters, &Self.m_Replica.m_Set.m_Learners})
      for (const KeeperAddress &Address : *Keepers)
        Known = Known || Address.m_Keeper.m_Value == Row.first.m_Value;
    if (!Known)
      Rows.push_back(Row.first.m_Value);
  }
  return Rows;
}

json routersJson(const Keeper &Self, Millis Now) {
  json Rows = json::array();
  for (const std::pair<const NodeId, Member> &Row : Self.m_State.m_Members) {
    const Member &Router = Row.second;
    json Item = {{"node", Router.m_Node.m_Value},
                 {"peer_url", Router.m_PeerUrl},
                 {"zone", Router.m_Zone.m_Value},
                 {"leaving", Router.m_Leaving}};
    if (Self.m_Leases) {
      auto Found = Self.m_Leases->m_Leases.find(Row.first);
      if (Found != Self.m_Leases->m_Leases.end()) {
        const NodeLease &Lease = Found->second;
        Item["lease_ms_left"] = (Lease.m_ExpiresAt - Now).m_Value;
        Item["epoch"] = Lease.m_AckedEpoch.m_Value;
        Item["document_version"] = Lease.m_AckedVersion.m_Value;
        std::uint64_t Running = 0;
        for (const PoolLoad &Load : Lease.m_Pools)
          Running += Load.m_Running;
        Item["running"] = Running;
      }
    }
    Rows.push_back(std::move(Item));
  }
  return Rows;
}

json poolsJson(const Keeper &Self) {
  std::map<std::string, std::uint64_t> Pools;
  if (Self.m_Leases)
    for (const std::pair<const NodeId, NodeLease> &Row :
         Self.m_Leases->m_Leases)
      for (const PoolLoad &Load : Row.second.m_Pools)
        Pools[Load.m_Pool.m_Value] += Load.m_Running;
  json Rows = json::array();
  for (const std::pair<const std::string, std::uint64_t> &Row : Pools)
    Rows.push_back({{"pool", Row.first}, {"running", Row.second}});
  return Rows;
}

json statusJson(const Keeper &Self, bool Confirmed) {
  Millis Now = monotonicNow();
  json Body = {
      {"keeper", Self.m_Formation.m_Keeper.m_Value},
      {"identity", formationName(Self.m_Formation.m_State)},
      {"confirmed", Confirmed},
      {"role", Self.m_Running ? roleName(Self.m_Replica.m_Role) : "forming"},
      {"leader", Self.m_Replica.m_Leader.m_Value},
      {"term", Self.m_Replica.m_Hard.m_Term.m_Value},
      {"last_index", Self.m_Running ? lastIndex(Self.m_Replica).m_Value : 0},
      {"commit", Self.m_Replica.m_Commit.m_Value},
      {"snapshot_index", Self.m_Replica.m_SnapshotIndex.m_Value},
      {"document_version", Self.m_State.m_Document.m_Version.m_Value},
      {"epoch", Self.m_State.m_Epoch.m_Value},
      {"journal_entries", Self.m_State.m_Journal.m_Entries.size()},
      {"orders", openOrdersJson(Self)},
      {"keepers", keepersJson(Self, Now)},
      {"waiting_keepers", nonMembersJson(Self)},
      {"routers", routersJson(Self, Now)},
      {"pools", poolsJson(Self)}};
  Body["feature_level"] = {{"understood", NewestFeatureLevel.m_Value},
                           {"committed", Self.m_State.m_Level.m_Value},
                           {"in_use", levelInUse(Self).m_Value}};
  if (Self.m_HeldBack)
    Body["holds_back"] = {{"index", Self.m_HeldBack->m_Index.m_Value},
                          {"why", Self.m_HeldBack->m_Why}};
  if (Self.m_Leases)
    Body["safe_epoch"] = safeEpoch(*Self.m_Leases, Self.m_State, Now).m_Value;
  return Body;
}

const char *proposeErrorName(ProposeError Refused) {
  switch (Refused) {
  case ProposeError::None:
    return "none";
  case ProposeError::NotLeader:
    return "not_leader";
  case ProposeError::ChangePending:
    return "change_pending";
  case ProposeError::LearnerBehind:
    return "learner_behind";
  case ProposeError::IdentityRemoved:
    return "identity_removed";
  case ProposeError::NoSuchKeeper:
    return "no_such_keeper";
  case ProposeError::QuorumAtRisk:
    return "quorum_at_risk";
  case ProposeError::LastVoter:
    return "last_voter";
  }
  return "unknown";
}

/// Answers once the change of the keeper set is committed.
void answerSetChange(Keeper &Self, const ExchangePtr &Exchange,
                     ProposeError Refused, ReplicaActions Actions,
                     const std::string &Promoted = std::string()) {
  if (Refused == ProposeError::NotLeader)
    return answerNotLeader(Self, *Exchange);
  if (Refused != ProposeError::None) {
    int HttpStatus = Refused == ProposeError::NoSuchKeeper ? 404 : 409;
    return answerError(*Exchange, HttpStatus, proposeErrorName(Refused),
                       "the keeper set was not changed");
  }
  Keeper *Raw = &Self;
  awaitApplied(
      Self, lastIndex(Self.m_Replica),
      [Raw, Exchange, Promoted](const CommandAnswer *Applied) {
        if (!Applied)
          return answerLeaderLost(*Raw, *Exchange);
        if (!Promoted.empty())
          logEvent(Event::KeeperRepairComplete, {{"keeper", Promoted}});
        Exchange->answer(200, {{"keepers", keepersJson(*Raw, monotonicNow())}});
      });
  perform(Self, std::move(Actions));
}

} // namespace

void getStatus(Keeper &Self, const ExchangePtr &Exchange) {
  if (Exchange->query("local") == "1" || !Self.m_Running) {
    Exchange->answer(200, statusJson(Self, false));
    return;
  }
  Keeper *Raw = &Self;
  afterConfirmedRead(Self, Exchange, [Raw, Exchange] {
    Exchange->answer(200, statusJson(*Raw, true));
  });
}

void addKeeper(Keeper &Self, const ExchangePtr &Exchange) {
  json Body = json::parse(Exchange->body(), nullptr, false);
  bool Valid = Body.is_object() && Body.contains("keeper") &&
               Body["keeper"].is_string() && Body.contains("peer_url") &&
               Body["peer_url"].is_string();
  std::string Id = Valid ? Body["keeper"].get<std::string>() : "";
  std::string Url = Valid ? Body["peer_url"].get<std::string>() : "";
  if (Id.empty() || Url.rfind("ws://", 0) != 0)
    return answerError(*Exchange, 422, "invalid_keeper",
                       "expected {\"keeper\": ID, \"peer_url\": \"ws://...\"}");
  if (!Self.m_Running)
    return answerNotLeader(Self, *Exchange);
  if (leads(Self) && !admitsJoining(Self, KeeperId(Id), monotonicNow()))
    return answerError(
        *Exchange, 409, "feature_level",
        "this keeper's build does not understand feature level " +
            std::to_string(Self.m_State.m_Level.m_Value) +
            ", which the log needs");
  ReplicaActions Actions;
  ProposeError Refused =
      addLearner(Self.m_Replica, {KeeperId(Id), Url}, Actions, monotonicNow());
  answerSetChange(Self, Exchange, Refused, std::move(Actions));
}

void promoteKeeper(Keeper &Self, const ExchangePtr &Exchange,
                   const std::string &Id) {
  if (!Self.m_Running)
    return answerNotLeader(Self, *Exchange);
  for (const KeeperAddress &Voter : Self.m_Replica.m_Set.m_Voters)
    if (Voter.m_Keeper.m_Value == Id && leads(Self)) {
      // A repeated promotion succeeds.
      Exchange->answer(200, {{"keepers", keepersJson(Self, monotonicNow())}});
      return;
    }
  ReplicaActions Actions;
  ProposeError Refused =
      promoteLearner(Self.m_Replica, KeeperId(Id), Actions, monotonicNow());
  answerSetChange(Self, Exchange, Refused, std::move(Actions), Id);
}

void deleteKeeper(Keeper &Self, const ExchangePtr &Exchange,
                  const std::string &Id) {
  if (!Self.m_Running)
    return answerNotLeader(Self, *Exchange);
  ReplicaActions Actions;
  ProposeError Refused =
      removeKeeper(Self.m_Replica, KeeperId(Id), Actions, monotonicNow());
  answerSetChange(Self, Exchange, Refused, std::move(Actions));
}

void drainRouter(Keeper &Self, const ExchangePtr &Exchange,
                 const std::string &Node) {
  if (!leads(Self))
    return answerNotLeader(Self, *Exchange);
  Keeper *Raw = &Self;
  afterConfirmedRead(Self, Exchange, [Raw, Exchange, Node] {
    auto Found = Raw->m_State.m_Members.find(NodeId(Node));
    if (Found == Raw->m_State.m_Members.end())
      return answerError(*Exchange, 404, "no_such_router",
                         "no router \"" + Node + "\" holds a lease");
    Member Leaving = Found->second;
    Leaving.m_Leaving = true;
    proposeCommand(*Raw, AddMember{Leaving},
                   [Raw, Exchange, Node](const CommandAnswer *Applied) {
                     if (!Applied)
                       return answerLeaderLost(*Raw, *Exchange);
                     Exchange->answer(200, {{"node", Node}, {"leaving", true}});
                   });
  });
}

void getReady(Keeper &Self, const ExchangePtr &Exchange) {
  bool Ready = Self.m_Running && !Self.m_Replica.m_Leader.empty();
  if (leads(Self))
    Ready = holdsQuorumLease(Self.m_Replica, monotonicNow());
  Exchange->answerText(Ready ? 200 : 503,
                       Ready ? "ready\n" : "no leader with a quorum\n");
}

void getMetrics(Keeper &Self, const ExchangePtr &Exchange) {
  Metrics &M = Self.m_Metrics;
  setPeerCounters(M, Self.m_Peers->counters());
  setMessageCounters(M, Self.m_MessageLoad);
  for (const ThreadUse &Each : threadUses())
    M.m_Counters["vanillaferry_thread_processor_us_total{thread=\"" +
                 Each.m_Name + "\"}"] = Each.m_Micros;
  setGauge(M, "vanillaferry_keeper_leads", leads(Self) ? 1 : 0);
  setGauge(M, "vanillaferry_keeper_term",
           static_cast<double>(Self.m_Replica.m_Hard.m_Term.m_Value));
  setGauge(M, "vanillaferry_keeper_commit_index",
           static_cast<double>(Self.m_Replica.m_Commit.m_Value));
  setGauge(M, "vanillaferry_keeper_holds_back", Self.m_HeldBack ? 1 : 0);
  setGauge(M, "vanillaferry_feature_level_understood",
           static_cast<double>(NewestFeatureLevel.m_Value));
  setGauge(M, "vanillaferry_feature_level_in_use",
           static_cast<double>(levelInUse(Self).m_Value));
  const KeeperSet &Set = Self.m_Replica.m_Set;
  setGauge(M, "vanillaferry_keeper_voters",
           static_cast<double>(Set.m_Voters.size()));
  setGauge(M, "vanillaferry_keeper_learners",
           static_cast<double>(Set.m_Learners.size()));
  setGauge(M, "vanillaferry_keepers_without_vote",
           static_cast<double>(nonMembersJson(Self).size()));
  setGauge(M, "vanillaferry_document_version",
           static_cast<double>(Self.m_State.m_Document.m_Version.m_Value));
  setGauge(M, "vanillaferry_members",
           static_cast<double>(Self.m_State.m_Members.size()));
  setGauge(M, "vanillaferry_journal_entries",
           static_cast<double>(Self.m_State.m_Journal.m_Entries.size()));
  std::size_t Open = 0;
  for (const std::pair<const std::string, EngineOrder> &Row :
       Self.m_State.m_Orders)
    Open += Row.second.m_Outcome == OrderOutcome::Open ? 1 : 0;
  setGauge(M, "vanillaferry_engine_orders_open", static_cast<double>(Open));
  setCallerMetrics(M);
  Exchange->answerText(200, renderMetrics(M));
}

} // namespace vanillaferry::internal
