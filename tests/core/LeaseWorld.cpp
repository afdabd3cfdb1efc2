#include "LeaseWorld.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

constexpr std::int64_t RateUnit = 100000;
const AccountId WorldAccount("account");

std::int64_t rateOf(const LeaseWorld &World, std::int64_t Seed) {
  std::int64_t Width = 2 * World.m_MaxDrift + 1;
  // The extremes matter most.
  if (Seed % 3 == 0)
    return RateUnit + World.m_MaxDrift;
  if (Seed % 3 == 1)
    return RateUnit - World.m_MaxDrift;
  return RateUnit - World.m_MaxDrift + (Seed * 7919) % Width;
}

Millis leaderNow(const LeaseWorld &World) {
  return readClock(World.m_LeaderClock, World.m_Now);
}

void apply(LeaseWorld &World, const Command &Input) {
  applyCommand(World.m_State, World.m_State.m_Applied + LogIndex(1), Input);
}

Renew renewalOf(LeaseWorld &World, RouterProcess &Router) {
  Millis Now = readClock(Router.m_Clock, World.m_Now);
  Renew Request;
  Request.m_Node = Router.m_Lease.m_Node;
  Request.m_Incarnation = Router.m_Lease.m_Incarnation;
  Request.m_AckedGrant = Router.m_Lease.m_AcceptedSequence;
  Request.m_AckedEpoch = Router.m_Lease.m_Epoch;
  Request.m_AckedVersion = Router.m_Lease.m_Version;
  Request.m_Leaving = Router.m_Leaving;
  bool Holds = leaseHolds(Router.m_Lease, Now);
  Request.m_Accounts.push_back({WorldAccount, Router.m_Running,
                                Router.m_Waiting, Holds ? Router.m_Share : 0});
  Request.m_Sequence = beginRenewal(Router.m_Lease, Now);
  return Request;
}

void receiveRenewal(LeaseWorld &World, std::size_t Process,
                    const Renew &Request) {
  RenewDecision Decision =
      renewLease(World.m_Table, World.m_State, Request, leaderNow(World));
  for (const Command &Proposed : Decision.m_Propose)
    World.m_Uncommitted.push_back(Proposed);
  if (Decision.m_Grant)
    World.m_InFlight.push_back({Process, *Decision.m_Grant});
}

void receiveGrant(LeaseWorld &World, std::size_t Process,
                  const Grant &Granted) {
  RouterProcess &Router = World.m_Processes[Process];
  DocumentVersion Before = Router.m_Lease.m_Version;
  Millis Now = readClock(Router.m_Clock, World.m_Now);
  if (!acceptGrant(Router.m_Lease, Granted, Now))
    return;
  if (Router.m_Lease.m_Version < Before)
    World.m_Fault = "a router's document version went back";
  if (Router.m_Members.m_Epoch != Granted.m_Epoch) {
    Router.m_Members = {Granted.m_Epoch, Granted.m_Members};
    ++World.m_MembershipChanges;
  }
  updateOwned(Router.m_Owned, Router.m_Members, World.m_Targets);
  Router.m_Share = 0;
  for (const AccountShare &Share : Granted.m_Shares)
    if (Share.m_Account == WorldAccount)
      Router.m_Share = Share.m_Limit;
}

RouterProcess makeProcess(LeaseWorld &World, std::size_t Node) {
  RouterProcess Router;
  std::size_t Count = World.m_Processes.size();
  Router.m_Lease.m_Node = NodeId("node-" + std::to_string(Node));
  Router.m_Lease.m_Incarnation = Incarnation((Count * 2654435761U) % 1000003);
  Router.m_Owned.m_Node = Router.m_Lease.m_Node;
  Router.m_Clock = {static_cast<std::int64_t>(Count) * 777,
                    rateOf(World, static_cast<std::int64_t>(Count))};
  return Router;
}

void checkTargets(LeaseWorld &World) {
  for (const TargetId &Target : World.m_Targets) {
    std::size_t Count = dispatchers(World, Target);
    World.m_Dispatchable += Count;
    if (Count > 1)
      World.m_Fault = "two processes may dispatch to " + Target.m_Value;
  }
}

void checkInForce(LeaseWorld &World) {
  DocumentVersion Newest = World.m_State.m_Document.m_Version;
  if (World.m_ReportedInForce < Newest &&
      inForceEverywhere(World.m_Table, World.m_State, Newest,
                        leaderNow(World))) {
    World.m_ReportedInForce = Newest;
    ++World.m_InForceReports;
  }
  for (const RouterProcess &Router : World.m_Processes)
    if (leaseHolds(Router.m_Lease, readClock(Router.m_Clock, World.m_Now)) &&
        Router.m_Lease.m_Version < World.m_ReportedInForce)
      World.m_Fault = "a router takes work under a version below the one "
                      "reported in force";
}

void checkShares(LeaseWorld &World) {
  std::uint64_t Sum = 0;
  for (const RouterProcess &Router : World.m_Processes)
    if (leaseHolds(Router.m_Lease, readClock(Router.m_Clock, World.m_Now)))
      Sum += Router.m_Share;
  if (Sum > WorldAccountLimit)
    World.m_Fault = "account shares add up to " + std::to_string(Sum);
}

/// Sends a renewal and delivers it and its answer with delays.
void exchangeWithDelays(LeaseWorld &World, std::size_t Process, int Amount) {
  std::size_t Before = World.m_InFlight.size();
  sendRenewal(World, Process);
  advanceTime(World, Amount % 40);
  deliverMessage(World, Before);
  if (Amount % 2 == 0)
    commitAll(World);
  advanceTime(World, Amount % 23);
  bool Answered = World.m_InFlight.size() > Before;
  // One answer in ten stays in flight.
  if (Answered && Amount % 10 != 0)
    deliverMessage(World, World.m_InFlight.size() - 1);
}

void changeLoad(LeaseWorld &World, std::size_t Process, int Amount) {
  RouterProcess &Router = World.m_Processes[Process];
  Router.m_Waiting = static_cast<std::uint32_t>(Amount % 120);
  std::uint32_t Wanted = static_cast<std::uint32_t>(Amount % 90);
  // Work that runs may go on above a share that shrank; nothing new starts.
  Router.m_Running =
      Wanted < Router.m_Running
          ? Wanted
          : std::max(Router.m_Running, std::min(Wanted, Router.m_Share));
}

} // namespace

Millis readClock(const DriftingClock &Clock, Millis TrueTime) {
  return Millis(Clock.m_Offset + TrueTime.m_Value * Clock.m_Rate / RateUnit);
}

LeaseWorld makeWorld(std::size_t Nodes, std::int64_t MaxDrift) {
  LeaseWorld World;
  World.m_MaxDrift = MaxDrift;
  World.m_LeaderClock = {12345, rateOf(World, 0)};
  EditSection Accounts;
  Accounts.m_Edit = EditId("accounts");
  Accounts.m_Section = SectionName("accounts");
  Accounts.m_Json = "{\"accounts\":[{\"id\":\"account\",\"api_key_sha256\":[],"
                    "\"max_concurrent\":" +
                    std::to_string(WorldAccountLimit) +
                    ",\"requests_per_second\":1}]}";
  apply(World, Accounts);
  World.m_Table = makeLeaseTable({}, World.m_State, leaderNow(World));
  for (int I = 0; I < 8; ++I)
    World.m_Targets.push_back(TargetId("target-" + std::to_string(I)));
  for (std::size_t Node = 0; Node < Nodes; ++Node) {
    World.m_CurrentProcesses.push_back(World.m_Processes.size());
    World.m_Processes.push_back(makeProcess(World, Node));
  }
  return World;
}

void advanceTime(LeaseWorld &World, std::int64_t Amount) {
  // In small steps, since a fault may last for some milliseconds only.
  constexpr std::int64_t StepMillis = 10;
  while (Amount > 0 && World.m_Fault.empty()) {
    std::int64_t Step = std::min(Amount, StepMillis);
    World.m_Now = World.m_Now + Millis(Step);
    Amount -= Step;
    checkInvariants(World);
  }
}

void sendRenewal(LeaseWorld &World, std::size_t Process) {
  World.m_InFlight.push_back(
      {Process, renewalOf(World, World.m_Processes[Process])});
}

void deliverMessage(LeaseWorld &World, std::size_t Index) {
  if (Index >= World.m_InFlight.size())
    return;
  InFlightMessage Arrived = World.m_InFlight[Index];
  World.m_InFlight.erase(World.m_InFlight.begin() +
                         static_cast<std::ptrdiff_t>(Index));
  if (const Renew *Request = std::get_if<Renew>(&Arrived.m_Content))
    receiveRenewal(World, Arrived.m_Process, *Request);
  else
    receiveGrant(World, Arrived.m_Process, std::get<Grant>(Arrived.m_Content));
  checkInvariants(World);
}

void exchange(LeaseWorld &World, std::size_t Process) {
  exchangeWithDelays(World, Process, 2);
}

void commitAll(LeaseWorld &World) {
  std::vector<Command> Committed = std::move(World.m_Uncommitted);
  World.m_Uncommitted.clear();
  for (const Command &Input : Committed)
    apply(World, Input);
  checkInvariants(World);
}

void leaderTick(LeaseWorld &World) {
  for (const Command &Removal :
       expiredLeases(World.m_Table, World.m_State, leaderNow(World)))
    World.m_Uncommitted.push_back(Removal);
}

void changeLeader(LeaseWorld &World, bool KeepUncommitted,
                  std::int64_t RateSeed) {
  // A new leader commits the entries of the former one before it grants.
  if (KeepUncommitted)
    commitAll(World);
  World.m_Uncommitted.clear();
  // The new leader starts from a snapshot, as a restarted keeper does.
  Result<StateMachine> Restored = decodeState(encodeState(World.m_State));
  if (!Restored) {
    World.m_Fault = Restored.error().m_Text;
    return;
  }
  World.m_State = Restored.value();
  World.m_LeaderClock = {RateSeed * 1000, rateOf(World, RateSeed)};
  World.m_Table = makeLeaseTable({}, World.m_State, leaderNow(World));
  checkInvariants(World);
}

void restartNode(LeaseWorld &World, std::size_t Node) {
  World.m_CurrentProcesses[Node] = World.m_Processes.size();
  World.m_Processes.push_back(makeProcess(World, Node));
}

void editDocument(LeaseWorld &World) {
  EditSection Edit;
  SectionName Name("zones");
  Edit.m_Edit = EditId("e" + std::to_string(World.m_State.m_Applied.m_Value));
  Edit.m_Section = Name;
  Edit.m_Expected = World.m_State.m_Document.m_Sections[Name].m_Version;
  Edit.m_Json = "{\"zones\":[]}";
  apply(World, Edit);
  checkInvariants(World);
}

std::size_t dispatchers(const LeaseWorld &World, const TargetId &Target) {
  std::size_t Count = 0;
  for (const RouterProcess &Router : World.m_Processes)
    if (mayDispatchNow(Router.m_Lease, Router.m_Owned, Target,
                       readClock(Router.m_Clock, World.m_Now)))
      ++Count;
  return Count;
}

void checkInvariants(LeaseWorld &World) {
  if (!World.m_Fault.empty())
    return;
  checkTargets(World);
  checkInForce(World);
  checkShares(World);
}

void runStep(LeaseWorld &World, const WorldStep &Step) {
  int Kind = std::get<0>(Step);
  std::size_t Which = static_cast<std::size_t>(std::get<1>(Step));
  int Amount = std::get<2>(Step);
  std::size_t Node = Which % World.m_CurrentProcesses.size();
  std::size_t Process = World.m_CurrentProcesses[Node];
  std::size_t Message =
      World.m_InFlight.empty() ? 0 : Which % World.m_InFlight.size();
  if (Kind < 45)
    exchangeWithDelays(World, Process, Amount);
  else if (Kind < 58)
    advanceTime(World, Amount * 8);
  else if (Kind < 62)
    sendRenewal(World, Process);
  else if (Kind < 70)
    deliverMessage(World, Message);
  else if (Kind < 72 && !World.m_InFlight.empty())
    World.m_InFlight.erase(World.m_InFlight.begin() +
                           static_cast<std::ptrdiff_t>(Message));
  else if (Kind < 80)
    leaderTick(World);
  else if (Kind < 84)
    commitAll(World);
  else if (Kind < 87)
    restartNode(World, Node);
  else if (Kind < 89)
    changeLeader(World, Amount % 2 == 0, Amount);
  else if (Kind < 93)
    editDocument(World);
  else if (Kind < 94)
    World.m_Processes[Process].m_Leaving = true;
  else if (Kind < 96) // A replaced process that still runs renews.
    exchangeWithDelays(World, Which % World.m_Processes.size(), Amount);
  else
    changeLoad(World, Process, Amount);
  checkInvariants(World);
}

} // namespace vanillaferry
