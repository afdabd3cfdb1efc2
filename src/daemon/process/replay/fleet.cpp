#include "process/replay/fleet.hpp"

#include "connection/message_codec.hpp"

#include <algorithm>
#include <random>

namespace vanillaferry {

namespace {

constexpr double PlacedBytes = 110;
constexpr std::size_t FirstTokenWindow = 64;
constexpr Millis TickInterval{20};
/// A full pool is asked again only after this time.
constexpr Millis WalkPause{100};

ReplayRouter *findRouter(Fleet &All, const NodeId &Id) {
  for (ReplayRouter &Router : All.m_Routers)
    if (Router.m_Id == Id)
      return &Router;
  return nullptr;
}

AccountId accountOf(const Fleet &All, std::uint32_t Index) {
  return AccountId(
      "account-" +
      std::to_string(All.m_World->m_Trace->m_Requests[Index].m_Account));
}

/// Dispatches at the owner after its decision.
void dispatchAt(Fleet &All, ReplayRouter &Entry, ReplayRouter &Owner,
                std::uint32_t Index, const PlacementRequest &Asked,
                const TargetId &Target) {
  World &State = *All.m_World;
  const TraceRequest &Request = State.m_Trace->m_Requests[Index];
  RequestState &Kept = State.m_Requests[Index];
  bool Cold = isCold(Owner.m_Pool.m_Targets[Target].m_State);
  Kept.m_Stage = startOnTarget(Owner.m_Pool, Asked, Target, Request.m_Prompt);
  Kept.m_Entry = static_cast<std::uint32_t>(&Entry - All.m_Routers.data());
  Kept.m_Owner = static_cast<std::uint32_t>(&Owner - All.m_Routers.data());
  std::uint32_t Engine = All.m_EngineIndex.at(Target.m_Value);
  startAtEngine(State, Index, Engine, Cold);
  All.m_LastEngine[Request.m_Chat] = Engine;
  startForAccount(Entry.m_Accounts,
                  AccountId("account-" + std::to_string(Request.m_Account)));
}

/// Acts on an owner's decision; true when the request runs.
bool takeDecision(Fleet &All, ReplayRouter &Entry, ReplayRouter &Owner,
                  std::uint32_t Index, OwnerSearch &Way,
                  const OwnerSearchStep &Step, const PlacementRequest &Asked,
                  const PlacementDecision &Decision) {
  World &State = *All.m_World;
  if (!Decision.m_Admitted) {
    handleDecline(Way, Step, Decision.m_Holder);
    return false;
  }
  const EngineModel &Engine =
      State.m_Engines[All.m_EngineIndex.at(Decision.m_Target.m_Value)];
  if (!Engine.m_Up) {
    noteUnreachable(Owner.m_Pool.m_Targets[Decision.m_Target].m_State,
                    State.m_Now);
    handleDecline(Way, Step);
    return false;
  }
  dispatchAt(All, Entry, Owner, Index, Asked, Decision.m_Target);
  std::size_t Home = findTarget(Entry.m_Routed.m_View, Way.m_Home);
  const NodeId &HomeOwner = Entry.m_Routed.m_Owners[Home];
  ReplayRouter *Told = findRouter(All, HomeOwner);
  if (Told && Told != &Owner && Told->m_FrozenUntil <= State.m_Now) {
    notePlaced(Told->m_Pool.m_Redirects, Way.m_Chat, Way.m_Home,
               Decision.m_Target);
    State.m_Measures.m_ControlBytes += PlacedBytes;
  }
  return true;
}

/// Asks one owner; true when the request runs or is parked there.
bool askOwner(Fleet &All, ReplayRouter &Entry, std::uint32_t Index,
              OwnerSearch &Way, const OwnerSearchStep &Step) {
  World &State = *All.m_World;
  ++State.m_Measures.m_Hops;
  ReplayRouter *Owner = findRouter(All, Step.m_Owner);
  if (!Owner || !Owner->m_Joined || Owner->m_FrozenUntil > State.m_Now ||
      !leaseHolds(Owner->m_Lease, State.m_Now)) {
    handleDecline(Way, Step);
    return false;
  }
  PlacementRequest Asked;
  Asked.m_Chat = Way.m_Chat;
  Asked.m_Target = Step.m_Target;
  Asked.m_IgnoreRedirect = Step.m_IgnoreRedirect;
  Asked.m_AnyTarget = Step.m_AnyTarget;
  Asked.m_Priority = State.m_Trace->m_Requests[Index].m_Priority;
  PlacementDecision Decision =
      decidePlacement(Owner->m_Pool, Asked, State.m_Now);
  Owner->m_WantTotals = true;
  if (Decision.m_Why == PlacementReason::HolderBusy) {
    parkRequest(Owner->m_Pool, RequestId(std::to_string(Index)), Asked,
                State.m_Now);
    All.m_Parked[Index] = ParkedWalk{
        static_cast<std::uint32_t>(&Entry - All.m_Routers.data()), Way, Step};
    startForAccount(Entry.m_Accounts, accountOf(All, Index));
    return true;
  }
  return takeDecision(All, Entry, *Owner, Index, Way, Step, Asked, Decision);
}
bool continueWalk(Fleet &All, ReplayRouter &Entry, std::uint32_t Index,
                  OwnerSearch Way) {
  for (OwnerSearchStep Step = nextOwnerSearchStep(Way, Entry.m_Routed);
       Step.m_Ask; Step = nextOwnerSearchStep(Way, Entry.m_Routed))
    if (askOwner(All, Entry, Index, Way, Step))
      return true;
  return false;
}

bool tryPlace(Fleet &All, ReplayRouter &Entry, std::uint32_t Index) {
  const TraceRequest &Request = All.m_World->m_Trace->m_Requests[Index];
  return continueWalk(All, Entry, Index,
                      beginOwnerSearch(Entry.m_Routed, chatName(Request.m_Chat),
                                       All.m_Options.m_Walk));
}

void refuse(Fleet &All, std::uint32_t Index, RefusalReason Reason) {
  Measures &Counts = All.m_World->m_Measures;
  RequestState &Request = All.m_World->m_Requests[Index];
  bool Started = Request.m_Attempt > 0;
  // A stream that has begun is not refused; its end is an explicit error.
  Request.m_Phase = Started ? RequestPhase::Lost : RequestPhase::Refused;
  if (Started) {
    ++Counts.m_Lost;
    return;
  }
  ++Counts.m_Refused[Reason];
  const Trace &Recorded = *All.m_World->m_Trace;
  bool Surging =
      All.m_World->m_SurgeEnd.m_Value > 0 &&
      Recorded.m_Requests[Index].m_Account + 1 == Recorded.m_Accounts.size();
  if (!Surging)
    ++Counts.m_RefusedOthers;
}

WaitingRequest makeWaiting(const Fleet &All, std::uint32_t Index) {
  const TraceRequest &Request = All.m_World->m_Trace->m_Requests[Index];
  WaitingRequest Waiting;
  Waiting.m_Request = RequestId(std::to_string(Index));
  Waiting.m_Account = AccountId("account-" + std::to_string(Request.m_Account));
  Waiting.m_Priority = Request.m_Priority;
  Waiting.m_Cost =
      1 + static_cast<std::uint32_t>(Request.m_Prompt.m_Value / 4000);
  Waiting.m_EnteredAt = All.m_World->m_Now;
  // The deadline is for the start of the answer; a broken stream gets it anew.
  bool Started = All.m_World->m_Requests[Index].m_Attempt > 0;
  Waiting.m_Deadline =
      (Started ? All.m_World->m_Now : Request.m_At) + Request.m_Deadline;
  return Waiting;
}

void enter(Fleet &All, std::uint32_t RouterIndex, std::uint32_t Index) {
  ReplayRouter &Router = All.m_Routers[RouterIndex];
  WaitingRequest Waiting = makeWaiting(All, Index);
  All.m_World->m_Requests[Index].m_Entry = RouterIndex;
  All.m_World->m_Requests[Index].m_Phase = RequestPhase::Waiting;
  if (Router.m_Queue.m_Size == 0 &&
      mayStart(Router.m_Accounts, Waiting.m_Account) &&
      tryPlace(All, Router, Index))
    return;
  ++All.m_World->m_Measures.m_Waited;
  AccountId Account = Waiting.m_Account;
  RefusalReason Reason =
      enqueue(Router.m_Queue, std::move(Waiting), 1, All.m_World->m_Now);
  if (Reason != RefusalReason::None)
    return refuse(All, Index, Reason);
  ++Router.m_Accounts.m_Accounts[Account].m_Waiting;
}

std::optional<std::uint32_t> readyRouter(const Fleet &All,
                                         std::uint32_t Entry) {
  std::vector<std::uint32_t> Ready;
  for (std::uint32_t I = 0; I < All.m_Routers.size(); ++I)
    if (routerReady(All, All.m_Routers[I]))
      Ready.push_back(I);
  if (Ready.empty())
    return std::nullopt;
  return Ready[Entry % Ready.size()];
}

void endAtOwner(Fleet &All, ReplayRouter &Owner, std::uint32_t Index,
                bool Complete) {
  const TraceRequest &Request = All.m_World->m_Trace->m_Requests[Index];
  const RequestState &Kept = All.m_World->m_Requests[Index];
  EndedRequest Ended;
  Ended.m_Target = All.m_World->m_Engines[Kept.m_Engine].m_Settings.m_Id;
  Ended.m_Chat = chatKey(Request.m_Chat);
  Ended.m_Stage = Kept.m_Stage;
  Ended.m_Complete = Complete;
  Ended.m_Tokens = Request.m_Prompt + Request.m_Answer;
  endOnTarget(Owner.m_Pool, Ended, All.m_World->m_Now);
}

void wake(Fleet &All, ReplayRouter &Router) {
  for (std::uint32_t Request : Router.m_Deferred)
    endAtOwner(All, Router, Request, false);
  Router.m_Deferred.clear();
  Router.m_FrozenUntil = Millis();
}

} // namespace

bool routerReady(const Fleet &All, const ReplayRouter &Router) {
  return Router.m_Joined && !Router.m_Leaving &&
         Router.m_FrozenUntil <= All.m_World->m_Now &&
         leaseHolds(Router.m_Lease, All.m_World->m_Now);
}

Millis medianFirstToken(const ReplayRouter &Router) {
  if (Router.m_FirstTokens.size() < FirstTokenWindow / 4)
    return Millis();
  std::vector<std::int64_t> Times(Router.m_FirstTokens.begin(),
                                  Router.m_FirstTokens.end());
  auto Middle = Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  return Millis(*Middle);
}

Fleet makeFleet(World &State, const FleetOptions &Options) {
  const Trace &Recorded = *State.m_Trace;
  Fleet All;
  All.m_World = &State;
  All.m_Options = Options;
  All.m_Settings.m_Id = PoolId("engines");
  All.m_Settings.m_Bound = State.m_Bound;
  All.m_Settings.m_InnerMargin = Options.m_InnerMargin;
  All.m_Settings.m_Targets = Recorded.m_Engines;
  All.m_Leader = makeLeader(Recorded);
  for (std::uint32_t I = 0; I < Recorded.m_Engines.size(); ++I)
    All.m_EngineIndex[Recorded.m_Engines[I].m_Id.m_Value] = I;
  std::vector<ZoneSettings> Zones;
  for (const std::string &Zone : Recorded.m_Zones)
    Zones.push_back(ZoneSettings{ZoneId(Zone), true});
  All.m_Zones[0] = Zones;
  editZones(All.m_Leader, Zones);
  std::vector<AccountSettings> Accounts;
  for (const TraceAccount &Account : Recorded.m_Accounts)
    Accounts.push_back(
        AccountSettings{AccountId(Account.m_Id), Account.m_MaxConcurrent,
                        Account.m_RequestsPerSecond, Account.m_Weight, true});
  std::mt19937_64 Random(Recorded.m_Seed);
  for (std::uint32_t I = 0; I < Recorded.m_Routers + 8; ++I) {
    ReplayRouter Router;
    Router.m_Id = NodeId("router-" + std::to_string(I));
    Router.m_Owned.m_Node = Router.m_Id;
    Router.m_Joined = I < Recorded.m_Routers;
    Router.m_ListLag = Millis(static_cast<std::int64_t>(
        Random() % static_cast<std::uint64_t>(Recorded.m_ListLag.m_Value + 1)));
    Router.m_NextPoll = Millis(static_cast<std::int64_t>(Random() % 1000));
    Router.m_NextList = Millis(static_cast<std::int64_t>(Random() % 200));
    Router.m_Lease.m_Node = Router.m_Id;
    Router.m_Lease.m_Incarnation = Incarnation(1);
    Router.m_Lease.m_RenewInterval = Options.m_RenewInterval;
    Router.m_Lease.m_NextRenewal =
        Millis(static_cast<std::int64_t>(Random() % 200));
    if (Router.m_Joined)
      addMember(All.m_Leader, Router.m_Id);
    Router.m_Pool.m_Settings = All.m_Settings;
    Router.m_Pool.m_Mean.m_Options = Options.m_Load;
    Router.m_Pool.m_Options = Options.m_Placement;
    setAccounts(Router.m_Accounts, Accounts, Recorded.m_Routers, Millis());
    All.m_Routers.push_back(std::move(Router));
  }
  return All;
}

void placeParked(Fleet &All, std::uint32_t RouterIndex) {
  ReplayRouter &Owner = All.m_Routers[RouterIndex];
  for (std::optional<ParkedDecision> Next =
           nextParked(Owner.m_Pool, All.m_World->m_Now);
       Next; Next = nextParked(Owner.m_Pool, All.m_World->m_Now)) {
    std::uint32_t Index = static_cast<std::uint32_t>(
        std::stoul(Next->m_Parked.m_Request.m_Value));
    ParkedWalk Parked = std::move(All.m_Parked[Index]);
    All.m_Parked.erase(Index);
    ReplayRouter &Entry = All.m_Routers[Parked.m_Entry];
    endForAccount(Entry.m_Accounts, accountOf(All, Index));
    if (takeDecision(All, Entry, Owner, Index, Parked.m_Walk, Parked.m_Step,
                     Next->m_Parked.m_Asked, Next->m_Decision))
      continue;
    if (!continueWalk(All, Entry, Index, std::move(Parked.m_Walk)))
      enter(All, Parked.m_Entry, Index);
  }
}

void placeWaiting(Fleet &All, std::uint32_t RouterIndex) {
  ReplayRouter &Router = All.m_Routers[RouterIndex];
  Millis Now = All.m_World->m_Now;
  for (const WaitingRequest &Late : expireWaiting(Router.m_Queue, Now)) {
    --Router.m_Accounts.m_Accounts[Late.m_Account].m_Waiting;
    refuse(All, static_cast<std::uint32_t>(std::stoul(Late.m_Request.m_Value)),
           RefusalReason::DeadlineUnreachable);
  }
  auto May = [&Router](const AccountId &Account) {
    return mayStart(Router.m_Accounts, Account);
  };
  while (Router.m_Queue.m_Size > 0 && Router.m_NextWalk <= Now) {
    std::optional<WaitingRequest> Next = dequeue(Router.m_Queue, May, Now);
    if (!Next)
      return;
    AccountId Account = Next->m_Account;
    std::uint32_t Index =
        static_cast<std::uint32_t>(std::stoul(Next->m_Request.m_Value));
    if (!tryPlace(All, Router, Index)) {
      Router.m_NextWalk = Now + WalkPause;
      return requeue(Router.m_Queue, std::move(*Next), 1, Now);
    }
    --Router.m_Accounts.m_Accounts[Account].m_Waiting;
  }
}

namespace {

/// The leader tells the routers of VMs that have begun to leave.
void askForRenewals(Fleet &All) {
  Millis Now = All.m_World->m_Now;
  for (const NodeId &Node :
       receiversOfVmChange(All.m_Leader.m_Table.m_VmReports, Now)) {
    All.m_World->m_Measures.m_ControlBytes += static_cast<double>(
        encodeMessage(RenewRequest{All.m_Leader.m_State.m_Epoch,
                                   All.m_Leader.m_State.m_Document.m_Version})
            .size());
    ReplayRouter *Router = findRouter(All, Node);
    if (Router)
      Router->m_Lease.m_NextRenewal = Now + TickInterval;
  }
}

} // namespace

void fleetTick(Fleet &All) {
  Millis Now = All.m_World->m_Now;
  for (std::uint32_t I = 0; I < All.m_Routers.size(); ++I) {
    ReplayRouter &Router = All.m_Routers[I];
    if (!Router.m_Joined || Router.m_FrozenUntil > Now)
      continue;
    if (Router.m_FrozenUntil.m_Value > 0)
      wake(All, Router);
    All.m_World->m_Measures.m_RouterSeconds +=
        static_cast<double>(TickInterval.m_Value) / 1000.0;
    exchangeMessages(All, Router);
    placeParked(All, I);
    if (leaseHolds(Router.m_Lease, Now))
      placeWaiting(All, I);
  }
  endLeases(All.m_Leader, Now);
  askForRenewals(All);
  for (std::size_t I = 0; I < All.m_Pending.size();) {
    const PendingZoneEdit Edit = All.m_Pending[I];
    if (!inForceEverywhere(All.m_Leader.m_Table, All.m_Leader.m_State,
                           Edit.m_Version, Now)) {
      ++I;
      continue;
    }
    for (EngineModel &Engine : All.m_World->m_Engines)
      if (Engine.m_Settings.m_Zone.m_Value == Edit.m_Zone)
        Engine.m_Counted = Edit.m_InService;
    All.m_Pending.erase(All.m_Pending.begin() + static_cast<std::ptrdiff_t>(I));
  }
  for (const std::pair<Millis, std::uint32_t> &Leave : All.m_VmLeaves)
    if (Leave.first + All.m_World->m_Trace->m_ListLag + Millis(1200) <= Now)
      All.m_World->m_Engines[Leave.second].m_Counted = false;
  checkLosses(All);
}

void fleetArrive(Fleet &All, std::uint32_t Index) {
  const TraceRequest &Request = All.m_World->m_Trace->m_Requests[Index];
  std::optional<std::uint32_t> Entry = readyRouter(All, Request.m_Entry);
  if (!Entry)
    return refuse(All, Index, RefusalReason::NotReady);
  AccountId Account("account-" + std::to_string(Request.m_Account));
  if (!takeRateToken(All.m_Routers[*Entry].m_Accounts, Account,
                     All.m_World->m_Now))
    return refuse(All, Index, RefusalReason::AccountRate);
  enter(All, *Entry, Index);
}

void fleetFirstToken(Fleet &All, std::uint32_t Index) {
  const RequestState &Kept = All.m_World->m_Requests[Index];
  ReplayRouter &Owner = All.m_Routers[Kept.m_Owner];
  if (Kept.m_Phase != RequestPhase::Running ||
      Owner.m_FrozenUntil > All.m_World->m_Now)
    return;
  noteTargetFirstToken(
      Owner.m_Pool, All.m_World->m_Engines[Kept.m_Engine].m_Settings.m_Id,
      Kept.m_Stage, Kept.m_FirstToken, medianFirstToken(Owner));
  Owner.m_FirstTokens.push_back(Kept.m_FirstToken.m_Value);
  if (Owner.m_FirstTokens.size() > FirstTokenWindow)
    Owner.m_FirstTokens.pop_front();
}

void fleetFinish(Fleet &All, std::uint32_t Index) {
  const TraceRequest &Request = All.m_World->m_Trace->m_Requests[Index];
  const RequestState &Kept = All.m_World->m_Requests[Index];
  ReplayRouter &Owner = All.m_Routers[Kept.m_Owner];
  ReplayRouter &Entry = All.m_Routers[Kept.m_Entry];
  if (Owner.m_FrozenUntil > All.m_World->m_Now)
    Owner.m_Deferred.push_back(Index);
  else
    endAtOwner(All, Owner, Index, true);
  AccountId Account("account-" + std::to_string(Request.m_Account));
  endForAccount(Entry.m_Accounts, Account);
  noteSuccess(Entry.m_Retries, Account, All.m_Settings.m_Id);
}

void fleetCrash(Fleet &All, std::uint32_t EngineIndex) {
  World &State = *All.m_World;
  const TargetId Target = State.m_Engines[EngineIndex].m_Settings.m_Id;
  std::vector<std::uint32_t> Broken = crashEngine(State, EngineIndex);
  for (std::uint32_t Index : Broken)
    noteBrokenElsewhere(All.m_Routers[State.m_Requests[Index].m_Entry].m_Pool,
                        Target, State.m_Now);
  for (std::uint32_t Index : Broken) {
    const TraceRequest &Request = State.m_Trace->m_Requests[Index];
    RequestState &Kept = State.m_Requests[Index];
    ReplayRouter &Owner = All.m_Routers[Kept.m_Owner];
    endAtOwner(All, Owner, Index, false);
    auto At = Owner.m_Pool.m_Targets.find(Target);
    if (At != Owner.m_Pool.m_Targets.end())
      noteUnreachable(At->second.m_State, State.m_Now);
    ReplayRouter &Entry = All.m_Routers[Kept.m_Entry];
    FailedAttempt Failed;
    Failed.m_Account =
        AccountId("account-" + std::to_string(Request.m_Account));
    Failed.m_Pool = All.m_Settings.m_Id;
    Failed.m_Reason = RetryReason::StreamContinued;
    Failed.m_Attempt = Attempt(Kept.m_Attempt);
    Failed.m_Idempotent = true;
    Failed.m_TimeLeft = Request.m_Deadline;
    endForAccount(Entry.m_Accounts, Failed.m_Account);
    if (decideRetry(Entry.m_Retries, Failed, State.m_Now) !=
        RetryVerdict::Retry) {
      Kept.m_Phase = RequestPhase::Lost;
      ++State.m_Measures.m_Lost;
      continue;
    }
    ++State.m_Measures.m_Retries;
    enter(All, Kept.m_Entry, Index);
  }
}

} // namespace vanillaferry
