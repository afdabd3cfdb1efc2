#include "process/lease_client.hpp"

#include "process/clock.hpp"
#include "process/router.hpp"
#include "request/prompt_refusal.hpp"
#include "request/run.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

constexpr Millis EarlyRenewalInterval{100};
/// Least time between two load updates, and the age at which totals are stale.
/// With short requests a total is meaningless after a second; at this interval
/// updates and their answers cost at most about 2 KB a second.
constexpr Millis LoadUpdateInterval{50};
constexpr std::size_t MaxLoadsSent = 64;
/// Pause before another keeper is asked when the last one knew no leader.
constexpr Millis UnknownLeaderPause{150};

/// Counts the own running requests of each pool, for a report and its answer.
SentLoads countLoads(Router &R, std::vector<PoolLoad> &Pools, Millis Now) {
  SentLoads Sent;
  Sent.m_SentAt = Now;
  for (std::pair<const PoolId, OwnerPool> &Row : R.m_OwnerPools) {
    std::uint32_t Running = ownerLoad(Row.second);
    Sent.m_Running[Row.first] = Running;
    noteReported(Row.second.m_Mean, Running, Now);
    Pools.push_back({Row.first, Running});
  }
  return Sent;
}

/// Keeps what a report stated until its answer; answers to the oldest ones are
/// not expected any more.
void keepSent(std::map<std::uint64_t, SentLoads> &All, std::uint64_t Sequence,
              SentLoads Sent) {
  All[Sequence] = std::move(Sent);
  if (All.size() > MaxLoadsSent)
    All.erase(All.begin());
}

/// Applies pool totals that answer a report with these own counts.
void applyTotals(Router &R, const std::vector<PoolTotal> &Totals,
                 SentLoads Sent) {
  for (const PoolTotal &Total : Totals) {
    auto Pool = R.m_OwnerPools.find(Total.m_Pool);
    if (Pool != R.m_OwnerPools.end())
      takePoolTotal(Pool->second.m_Mean, Total, Sent.m_Running[Total.m_Pool],
                    Sent.m_SentAt);
  }
}

void addTargetLoads(const Router &R, Renew &Renewal) {
  for (const std::pair<const PoolId, OwnerPool> &Row : R.m_OwnerPools)
    for (const std::pair<const TargetId, OwnedTarget> &Target :
         Row.second.m_Targets)
      if (Target.second.m_State.m_Running > 0)
        Renewal.m_Targets.push_back(
            {Target.first, Target.second.m_State.m_Running});
}

void sendRenewal(Router &R) {
  Millis Now = monotonicNow();
  Renew Renewal;
  Renewal.m_Node = R.m_Settings.m_Node;
  Renewal.m_Incarnation = R.m_Incarnation;
  Renewal.m_AckedGrant = R.m_Lease.m_AcceptedSequence;
  Renewal.m_Sequence = beginRenewal(R.m_Lease, Now);
  Renewal.m_PeerUrl = peerUrlOf(R.m_Settings.m_Peer);
  Renewal.m_Zone = R.m_Settings.m_Zone;
  Renewal.m_AckedEpoch = R.m_Keeper.m_AckedEpoch;
  Renewal.m_AckedVersion = R.m_Keeper.m_AckedVersion;
  Renewal.m_Leaving = R.m_Draining;
  Renewal.m_QuarantineHeld = R.m_Prompts.m_Version;
  Renewal.m_Level = NewestFeatureLevel;
  keepSent(R.m_Keeper.m_RenewalsSent, Renewal.m_Sequence,
           countLoads(R, Renewal.m_Pools, Now));
  addTargetLoads(R, Renewal);
  Renewal.m_Accounts = accountDemand(R.m_Accounts);
  // The leader may have given the shares of an ended lease to others.
  if (!leaseHolds(R.m_Lease, Now))
    for (AccountDemand &Demand : Renewal.m_Accounts)
      Demand.m_Share = 0;
  addVmReport(Renewal, R.m_Vms, Now);
  R.m_Keeper.m_LastRenew = Now;
  addCounter(R.m_Metrics, "vanillaferry_renewals_total");
  sendToLeader(R, std::move(Renewal));
}

/// True when an account has requests here but no share.
bool earlyRenewalDue(const Router &R, Millis Now) {
  if (R.m_Keeper.m_LastRenew + EarlyRenewalInterval > Now)
    return false;
  return demandUnmet(R.m_Accounts);
}

/// True when a pool's count fell or a placement used stale totals.
bool loadUpdateDue(const Router &R, Millis Now) {
  Millis Last = std::max(R.m_Keeper.m_LastLoadUpdate, R.m_Keeper.m_LastRenew);
  if (Last + LoadUpdateInterval > Now || !leaseHolds(R.m_Lease, Now))
    return false;
  if (R.m_Keeper.m_WantTotals)
    return true;
  for (const std::pair<const PoolId, OwnerPool> &Row : R.m_OwnerPools)
    if (earlyReportDue(Row.second.m_Mean, ownerLoad(Row.second), Now))
      return true;
  return false;
}

void sendLoadUpdate(Router &R, Millis Now) {
  LoadUpdate Update;
  Update.m_Node = R.m_Settings.m_Node;
  Update.m_Incarnation = R.m_Incarnation;
  Update.m_Sequence = R.m_Keeper.m_NextLoadUpdate++;
  keepSent(R.m_Keeper.m_LoadsSent, Update.m_Sequence,
           countLoads(R, Update.m_Pools, Now));
  R.m_Keeper.m_LastLoadUpdate = Now;
  R.m_Keeper.m_WantTotals = false;
  addCounter(R.m_Metrics, "vanillaferry_load_updates_total");
  sendToLeader(R, std::move(Update));
}

void tryNextKeeper(Router &R, Millis Now) {
  const std::vector<std::string> &All = R.m_Settings.m_Keepers;
  R.m_Keeper.m_Index = (R.m_Keeper.m_Index + 1) % All.size();
  R.m_Keeper.m_Url = All[R.m_Keeper.m_Index];
  R.m_Keeper.m_LastAnswer = Now;
  R.m_Lease.m_NextRenewal = Now;
  logEvent(Event::KeeperChanged, {{"url", R.m_Keeper.m_Url}});
}

/// Applies changed sections; false when one cannot be read. The document's
/// version is then not acknowledged, so that the edit is not reported in force.
bool applySections(Router &R, const Grant &Granted) {
  bool Understood = true;
  for (const SectionContent &Section : Granted.m_Sections) {
    Status Applied = applySection(R.m_Document, Section);
    Understood = Understood && Applied.has_value();
    if (!Applied)
      logEvent(Event::SectionRefused, {{"section", Section.m_Name.m_Value},
                                       {"fault", Applied.error().m_Text}});
    else
      logEvent(Event::SectionApplied,
               {{"section", Section.m_Name.m_Value},
                {"version", Section.m_Version.m_Value},
                {"document", Granted.m_Version.m_Value}});
  }
  return Understood;
}

void applyLimits(Router &R) {
  const LimitSettings &Limits = R.m_Document.m_Settings.m_Limits;
  R.m_Retries.m_Options.m_Share = Limits.m_RetryShare;
  R.m_Retries.m_Options.m_Floor = Limits.m_RetryFloor;
  if (R.m_Front)
    R.m_Front->setLimits({Limits.m_MaxHeader, Limits.m_MaxBody,
                          Limits.m_SlowSender, Limits.m_SlowReader,
                          HttpLimits().m_Idle});
}

void dialMembers(Router &R) {
  std::set<std::string> Wanted(R.m_Settings.m_Keepers.begin(),
                               R.m_Settings.m_Keepers.end());
  std::set<NodeId> Known;
  // Only one of two routers connects, so that there is one link between them.
  for (const Member &Other : R.m_Members.m_Members) {
    if (R.m_DialledBack.count(Other.m_Node) != 0)
      Known.insert(Other.m_Node);
    if (R.m_Settings.m_Node < Other.m_Node ||
        R.m_DialledBack.count(Other.m_Node) != 0)
      Wanted.insert(Other.m_PeerUrl);
  }
  R.m_DialledBack = std::move(Known);
  if (!R.m_Peer)
    return;
  for (const std::string &Url : R.m_Dialled)
    if (Wanted.count(Url) == 0)
      R.m_Peer->disconnect(Url);
  for (const std::string &Url : Wanted)
    if (R.m_Dialled.count(Url) == 0)
      R.m_Peer->connect(Url);
  R.m_Dialled = std::move(Wanted);
}

void applyLoads(Router &R, const Grant &Granted, Millis Now) {
  auto Sent = R.m_Keeper.m_RenewalsSent.find(Granted.m_Sequence);
  applyTotals(R, Granted.m_Totals,
              Sent == R.m_Keeper.m_RenewalsSent.end() ? SentLoads{Now, {}}
                                                      : Sent->second);
  R.m_Residual.clear();
  for (const TargetLoad &Load : Granted.m_Residual)
    R.m_Residual[Load.m_Target] = Load.m_Running;
  for (std::pair<const PoolId, OwnerPool> &Row : R.m_OwnerPools)
    for (std::pair<const TargetId, OwnedTarget> &Target : Row.second.m_Targets)
      setResidual(Target.second.m_State, R.m_Residual[Target.first]);
}

/// Applies members, sections and accounts of a grant before the next dispatch;
/// false when a section cannot be read.
bool applyChanges(Router &R, const Grant &Granted, Millis Now) {
  bool NewMembers = !Granted.m_Members.empty();
  if (NewMembers) {
    R.m_Members.m_Epoch = Granted.m_Epoch;
    R.m_Members.m_Members = Granted.m_Members;
    logEvent(
        Event::MembersChanged,
        {{"epoch", Granted.m_Epoch.m_Value},
         {"members", static_cast<std::uint64_t>(Granted.m_Members.size())}});
    dialMembers(R);
  }
  bool Understood = applySections(R, Granted);
  if (NewMembers || !Granted.m_Sections.empty()) {
    setAccounts(R.m_Accounts, R.m_Document.m_Accounts,
                static_cast<std::uint32_t>(R.m_Members.m_Members.size()), Now);
    applyLimits(R);
    rebuildPools(R, true);
  }
  return Understood;
}

/// Drops the targets that are not in Kept. One with running requests stays, so
/// that these are counted.
void dropUnownedTargets(OwnerPool &Pool, const std::set<TargetId> &Kept) {
  for (auto It = Pool.m_Targets.begin(); It != Pool.m_Targets.end();)
    if (Kept.count(It->first) == 0 && It->second.m_State.m_Running == 0)
      It = Pool.m_Targets.erase(It);
    else
      ++It;
}

/// An engine gained from another owner gets no requests before its first
/// report.
void awaitReport(Router &R, OwnedTarget &Gained, ServiceKind Kind) {
  if (Kind != ServiceKind::Engine)
    return;
  regainTarget(Gained.m_State);
  R.m_Polls[Gained.m_State.m_Id].m_Next = Millis();
}

/// Awaits all reports anew after an interrupted lease, since other routers may
/// have used the targets meanwhile.
void regainAfterInterruption(Router &R) {
  if (R.m_Keeper.m_GainedUnder == R.m_Lease.m_HeldSince)
    return;
  R.m_Keeper.m_GainedUnder = R.m_Lease.m_HeldSince;
  for (std::pair<const PoolId, OwnerPool> &Row : R.m_OwnerPools)
    for (std::pair<const TargetId, OwnedTarget> &Target : Row.second.m_Targets)
      awaitReport(R, Target.second, Row.second.m_Settings.m_Kind);
}

void applyLeavingVms(Router &R, const Grant &Granted) {
  std::set<VmId> Before = R.m_Vms.m_FleetLeaving;
  if (!takeFleetVms(R.m_Vms, Granted))
    return;
  for (const VmId &Vm : R.m_Vms.m_FleetLeaving)
    if (Before.count(Vm) == 0)
      logEvent(Event::VmLeaving, {{"vm", Vm.m_Value}});
  for (const VmId &Vm : Before)
    if (R.m_Vms.m_FleetLeaving.count(Vm) == 0)
      logEvent(Event::VmReturned, {{"vm", Vm.m_Value}});
  rebuildPools(R, false);
}

void rebuildOwnerPool(Router &R, const PoolSettings &Settings,
                      const RoutedPool &Routed, bool FromDocument) {
  OwnerPool &Own = R.m_OwnerPools[Settings.m_Id];
  Own.m_Settings = Settings;
  setTargetCount(Own.m_PoolTargets, Routed.m_View.m_Targets.size(),
                 FromDocument, monotonicNow());
  std::set<TargetId> Kept;
  for (const TargetSettings &Target : Settings.m_Targets) {
    std::optional<NodeId> Owner = ownerOf(R.m_Members, Target.m_Id);
    if (!Owner || *Owner != R.m_Settings.m_Node)
      continue;
    Kept.insert(Target.m_Id);
    auto Found = Own.m_Targets.find(Target.m_Id);
    if (Found == Own.m_Targets.end()) {
      OwnedTarget &New = Own.m_Targets[Target.m_Id];
      New.m_State = makeTargetState(Target, R.m_Residual[Target.m_Id]);
      New.m_Prefixes.m_Capacity = Target.m_CacheTokens;
      awaitReport(R, New, Settings.m_Kind);
    } else {
      Found->second.m_State.m_MaxConcurrent = Target.m_MaxConcurrent;
      Found->second.m_State.m_ColdLimit = Target.m_ColdLimit;
      Found->second.m_Prefixes.m_Capacity = Target.m_CacheTokens;
    }
  }
  dropUnownedTargets(Own, Kept);
}

} // namespace

void sendToLeader(Router &R, PeerMessage Message) {
  if (R.m_Peer)
    R.m_Peer->sendToUrl(R.m_Keeper.m_Url, std::move(Message));
}

void checkLease(Router &R) {
  Millis Now = monotonicNow();
  if (R.m_Settings.m_Keepers.empty())
    return;
  bool Unanswered = R.m_Keeper.m_LastAnswer < R.m_Keeper.m_LastRenew;
  if (Unanswered && (Now - R.m_Keeper.m_LastRenew > KeeperAnswerTimeout ||
                     Now - R.m_Keeper.m_LastAnswer >
                         R.m_Lease.m_RenewInterval + KeeperAnswerTimeout))
    tryNextKeeper(R, Now);
  if (renewalDue(R.m_Lease, Now) || earlyRenewalDue(R, Now))
    sendRenewal(R);
  else if (loadUpdateDue(R, Now))
    sendLoadUpdate(R, Now);
}

void handleLoadTotals(Router &R, const LoadTotals &Answer) {
  std::map<std::uint64_t, SentLoads> &All = R.m_Keeper.m_LoadsSent;
  std::map<std::uint64_t, SentLoads>::iterator Sent =
      All.find(Answer.m_Sequence);
  if (Sent == All.end())
    return;
  applyTotals(R, Answer.m_Totals, Sent->second);
  All.erase(All.begin(), std::next(Sent));
}

void noteTotalsUsed(Router &R, const PoolMean &Mean, Millis Now) {
  if (Mean.m_GrantSentAt + LoadUpdateInterval <= Now)
    R.m_Keeper.m_WantTotals = true;
}

void handleGrant(Router &R, const Grant &Granted) {
  Millis Now = monotonicNow();
  bool Held = holdsLease(R);
  if (!acceptGrant(R.m_Lease, Granted, Now))
    return;
  R.m_Keeper.m_LastAnswer = Now;
  bool Understood = applyChanges(R, Granted, Now);
  applyRefusedParts(R, Granted);
  regainAfterInterruption(R);
  applyShares(R.m_Accounts, Granted.m_Shares);
  applyLoads(R, Granted, Now);
  applyLeavingVms(R, Granted);
  updateDispatchable(R);
  // Dispatches check ownership under the new members from here on, so lost
  // targets get no more requests and the epoch may be acknowledged.
  R.m_Keeper.m_AckedEpoch = R.m_Members.m_Epoch;
  if (Understood)
    R.m_Keeper.m_AckedVersion = Granted.m_Version;
  if ((Understood && !Granted.m_Sections.empty()) ||
      !Granted.m_Members.empty() || vmReportPending(R.m_Vms))
    R.m_Lease.m_NextRenewal = Now;
  if (!Held && holdsLease(R))
    logEvent(Event::LeaseHeld, {{"epoch", Granted.m_Epoch.m_Value}});
}

void handleRedirect(Router &R, const RedirectLeader &Redirect) {
  Millis Now = monotonicNow();
  if (Redirect.m_PeerUrl.empty()) {
    tryNextKeeper(R, Now);
    R.m_Lease.m_NextRenewal = Now + UnknownLeaderPause;
    return;
  }
  if (Redirect.m_PeerUrl == R.m_Keeper.m_Url)
    return;
  R.m_Keeper.m_Url = Redirect.m_PeerUrl;
  R.m_Keeper.m_LastAnswer = Now;
  R.m_Lease.m_NextRenewal = Now;
  if (R.m_Dialled.insert(Redirect.m_PeerUrl).second && R.m_Peer)
    R.m_Peer->connect(Redirect.m_PeerUrl);
}

void rebuildPools(Router &R, bool FromDocument) {
  Millis Now = monotonicNow();
  std::vector<TargetId> All;
  for (const std::pair<const PoolId, PoolSettings> &Row :
       R.m_Document.m_Services)
    for (const TargetSettings &Target : Row.second.m_Targets)
      All.push_back(Target.m_Id);
  updateOwned(R.m_Owned, R.m_Members, All);
  R.m_Pools.clear();
  for (const std::pair<const PoolId, PoolSettings> &Row :
       R.m_Document.m_Services) {
    RoutedPool Routed = makeRoutedPool(
        makePoolView(Row.second, R.m_Document.m_Settings.m_Zones, R.m_Vms, Now),
        R.m_Members);
    rebuildOwnerPool(R, Row.second, Routed, FromDocument);
    R.m_Pools[Row.first] = std::move(Routed);
  }
  for (std::pair<const PoolId, OwnerPool> &Row : R.m_OwnerPools)
    if (R.m_Document.m_Services.count(Row.first) == 0)
      dropUnownedTargets(Row.second, {});
  updateDispatchable(R);
}

void dialBack(Router &R, const NodeId &Node) {
  if (R.m_LinkLostAt.count(Node) == 0 || !R.m_DialledBack.insert(Node).second)
    return;
  dialMembers(R);
}

void updateDispatchable(Router &R) {
  Millis Now = monotonicNow();
  for (std::pair<const PoolId, OwnerPool> &Row : R.m_OwnerPools) {
    auto Routed = R.m_Pools.find(Row.first);
    for (std::pair<const TargetId, OwnedTarget> &Target :
         Row.second.m_Targets) {
      bool Listed = Routed != R.m_Pools.end() &&
                    findTarget(Routed->second.m_View, Target.first) <
                        Routed->second.m_View.m_Targets.size();
      Target.second.m_InService = Listed;
      auto Poll = R.m_Polls.find(Target.first);
      bool Failed = Poll != R.m_Polls.end() && Poll->second.m_FailedUntil > Now;
      Target.second.m_Dispatchable =
          Listed && !Failed &&
          mayDispatchNow(R.m_Lease, R.m_Owned, Target.first, Now);
    }
  }
}

} // namespace vanillaferry
