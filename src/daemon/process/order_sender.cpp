#include "process/clock.hpp"
#include "process/internal/keeper_task.hpp"
#include "process/log.hpp"

namespace vanillaferry::internal {

namespace {

/// Time between two checks of the open orders; short compared with
/// OrderTimeout.
constexpr Millis RoundInterval{100};
/// Pause before a further try at an engine that accepts no connection.
constexpr Millis RetryPause{500};

constexpr const char *WaitsForFormerLeader = "former_leader";
constexpr const char *WaitsForWeightStore = "weight_store";
constexpr const char *WaitsForEarlierOrder = "earlier_order";
constexpr const char *WaitsForQuorumLease = "quorum_lease";
/// No leader has decided on the order yet.
constexpr const char *WaitsForLeader = "leader";

std::string resultCounter(const char *Result) {
  return std::string("vanillaferry_engine_orders_total{result=\"") + Result +
         "\"}";
}

std::string waitCounter(const char *Reason) {
  return std::string("vanillaferry_engine_order_waits_total{reason=\"") +
         Reason + "\"}";
}

OrderTask *taskOf(Keeper &Self, Term Leads) {
  return Self.m_Orders && Self.m_Orders->m_Term == Leads ? &*Self.m_Orders
                                                         : nullptr;
}

std::shared_ptr<OrderRun> findRun(Keeper &Self, Term Leads,
                                  const std::string &Id) {
  OrderTask *Task = taskOf(Self, Leads);
  if (!Task)
    return nullptr;
  auto Found = Task->m_Runs.find(Id);
  return Found == Task->m_Runs.end() ? nullptr : Found->second;
}

/// Counts and logs why an order waits, once for each change of the reason.
void noteWait(Keeper &Self, const EngineOrder &Order, const char *Reason) {
  const char *&Known = Self.m_Orders->m_Waits[Order.m_OrderId];
  if (Known == Reason)
    return;
  Known = Reason;
  addCounter(Self.m_Metrics, waitCounter(Reason));
  logEvent(Event::EngineOrderWaits, {{"order", Order.m_OrderId},
                                     {"target", Order.m_Target.m_Value},
                                     {"reason", Reason}});
}

void logEnd(const EngineOrder &Order) {
  Event Kind = Order.m_Outcome == OrderOutcome::Done ? Event::EngineOrderDone
               : Order.m_Outcome == OrderOutcome::Unknown
                   ? Event::EngineOrderUnknown
                   : Event::EngineOrderNotDone;
  logEvent(Kind, {{"order", Order.m_OrderId},
                  {"target", Order.m_Target.m_Value},
                  {"token", Order.m_FencingToken},
                  {"outcome", outcomeName(Order.m_Outcome)},
                  {"detail", Order.m_Detail}});
}

/// Records the run's outcome through the log. When the proposal fails, the
/// next round proposes again while this keeper leads.
void record(Keeper &Self, OrderRun &Run) {
  Run.m_Recording = true;
  Keeper *Raw = &Self;
  Term Leads = Self.m_Orders->m_Term;
  std::string Id = Run.m_Order.m_OrderId;
  proposeCommand(Self,
                 EndOrder{Id, Run.m_Reply->m_Outcome, Run.m_Reply->m_Detail},
                 [Raw, Leads, Id](const CommandAnswer *Answer) {
                   std::shared_ptr<OrderRun> Run = findRun(*Raw, Leads, Id);
                   if (!Run)
                     return;
                   Run->m_Recording = false;
                   const EngineOrder *Ended =
                       Answer ? std::get_if<EngineOrder>(Answer) : nullptr;
                   if (!Ended)
                     return;
                   addCounter(Raw->m_Metrics,
                              resultCounter(outcomeName(Ended->m_Outcome)));
                   logEnd(*Ended);
                   Raw->m_Orders->m_Runs.erase(Id);
                 });
}

void end(Keeper &Self, OrderRun &Run, OrderReply Reply) {
  Run.m_Call.reset();
  Run.m_Reply = std::move(Reply);
  record(Self, Run);
}

void onReply(Keeper &Self, OrderRun &Run, const OrderReply &Reply) {
  Run.m_Call.reset();
  Millis Next = monotonicNow() + RetryPause;
  if (Reply.m_Outcome == OrderOutcome::Unreachable &&
      Next < Run.m_BegunAt + OrderTimeout) {
    Run.m_NextTry = Next;
    return;
  }
  end(Self, Run, Reply);
}

/// Begins one try over a connection of its own.
void trySend(Keeper &Self, OrderRun &Run) {
  const EngineOrder &Order = Run.m_Order;
  const TargetSettings *Engine =
      findEngine(documentSettings(Self), Order.m_Target);
  if (!Engine)
    return end(Self, Run,
               {OrderOutcome::Unreachable,
                "the document has no such engine any more"});
  addCounter(Self.m_Metrics, "vanillaferry_engine_order_tries_total");
  logEvent(Event::EngineOrderSent, {{"order", Order.m_OrderId},
                                    {"target", Order.m_Target.m_Value},
                                    {"token", Order.m_FencingToken}});
  Keeper *Raw = &Self;
  Term Leads = Self.m_Orders->m_Term;
  Millis BegunAt = Run.m_BegunAt;
  std::string Id = Order.m_OrderId;
  auto MayWrite = [Raw, Leads, BegunAt] {
    Millis Now = monotonicNow();
    return taskOf(*Raw, Leads) &&
           mayWriteOrder(BegunAt, holdsQuorumLease(Raw->m_Replica, Now), Now);
  };
  auto OnEnd = [Raw, Leads, Id](const OrderReply &Reply) {
    if (std::shared_ptr<OrderRun> Run = findRun(*Raw, Leads, Id))
      onReply(*Raw, *Run, Reply);
  };
  Run.m_Call = OrderCall::start(Self.m_OrderWatcher, Engine->m_Url, Order,
                                BegunAt + OrderTimeout, MayWrite, OnEnd);
}

void onStarted(Keeper &Self, Term Leads, const std::string &Id,
               const CommandAnswer *Answer) {
  std::shared_ptr<OrderRun> Run = findRun(Self, Leads, Id);
  if (!Run)
    return;
  const EngineOrder *Order =
      Answer ? std::get_if<EngineOrder>(Answer) : nullptr;
  if (!Order || Order->m_Outcome != OrderOutcome::Open ||
      Order->m_StartedIn != Leads) {
    // The next round decides anew from what the log says.
    Self.m_Orders->m_Runs.erase(Id);
    return;
  }
  Run->m_Started = true;
  Run->m_BegunAt = monotonicNow();
  trySend(Self, *Run);
}

std::shared_ptr<OrderRun> addRun(Keeper &Self, const EngineOrder &Order) {
  std::shared_ptr<OrderRun> Run = std::make_shared<OrderRun>();
  Run->m_Order = Order;
  Self.m_Orders->m_Runs[Order.m_OrderId] = Run;
  Self.m_Orders->m_Waits.erase(Order.m_OrderId);
  return Run;
}

void startRun(Keeper &Self, const EngineOrder &Order) {
  addRun(Self, Order);
  Keeper *Raw = &Self;
  Term Leads = Self.m_Orders->m_Term;
  std::string Id = Order.m_OrderId;
  proposeCommand(Self, StartOrder{Id, Leads},
                 [Raw, Leads, Id](const CommandAnswer *Answer) {
                   onStarted(*Raw, Leads, Id, Answer);
                 });
}

/// Decides on the oldest open order of a target.
void decide(Keeper &Self, const EngineOrder &Order, Millis Now) {
  const TargetSettings *Engine =
      findEngine(documentSettings(Self), Order.m_Target);
  if (!Engine && Order.m_StartedIn == Term(0))
    return end(Self, *addRun(Self, Order),
               {OrderOutcome::Unreachable,
                "the document has no such engine any more"});
  OrderDecision Decision = decideOrder(Self.m_Orders->m_Sender, Order,
                                       Engine && Engine->m_ChecksFencing, Now);
  switch (Decision.m_Verdict) {
  case OrderVerdict::Send:
    return startRun(Self, Order);
  case OrderVerdict::WaitForFormerLeader:
    return noteWait(Self, Order, WaitsForFormerLeader);
  case OrderVerdict::WaitForWeightStore:
    return noteWait(Self, Order, WaitsForWeightStore);
  case OrderVerdict::EndAsUnknown:
    return end(Self, *addRun(Self, Order),
               {OrderOutcome::Unknown,
                "the leader changed after it had started the order"});
  case OrderVerdict::Done:
    return;
  }
}

void continueRun(Keeper &Self, OrderRun &Run, Millis Now) {
  if (Run.m_Reply && !Run.m_Recording)
    record(Self, Run);
  else if (Run.m_Started && !Run.m_Reply && !Run.m_Call && Now >= Run.m_NextTry)
    trySend(Self, Run);
}

} // namespace

void startOrderCounters(Metrics &M) {
  for (OrderOutcome Outcome :
       {OrderOutcome::Done, OrderOutcome::Failed, OrderOutcome::OldToken,
        OrderOutcome::Unreachable, OrderOutcome::Unknown})
    addCounter(M, resultCounter(outcomeName(Outcome)), 0);
  for (const char *Reason : {WaitsForFormerLeader, WaitsForWeightStore,
                             WaitsForEarlierOrder, WaitsForQuorumLease})
    addCounter(M, waitCounter(Reason), 0);
  addCounter(M, "vanillaferry_engine_order_tries_total", 0);
}

const DocumentSettings &documentSettings(Keeper &Self) {
  const Document &Doc = Self.m_State.m_Document;
  if (Self.m_SettingsVersion == Doc.m_Version)
    return Self.m_DocumentSettings;
  Self.m_SettingsVersion = Doc.m_Version;
  Self.m_DocumentSettings = DocumentSettings();
  for (const std::pair<const SectionName, Section> &Row : Doc.m_Sections)
    readSection(Row.first, Row.second.m_Json, Self.m_DocumentSettings);
  return Self.m_DocumentSettings;
}

void startOrderTask(Keeper &Self, Millis Now) {
  if (!Self.m_OrderWatcher)
    Self.m_OrderWatcher = std::make_shared<FdWatcher>();
  OrderTask Task;
  Task.m_Term = Self.m_Replica.m_Hard.m_Term;
  Task.m_Sender = makeOrderSender(
      documentSettings(Self).m_Limits.m_WeightStoreLoadsPerMinute, Now);
  Self.m_Orders = std::move(Task);
}

void stopOrderTask(Keeper &Self) {
  // Calls that end from here on find no task and change nothing.
  std::optional<OrderTask> Ended;
  Ended.swap(Self.m_Orders);
}

void tickOrders(Keeper &Self, Millis Now) {
  if (!Self.m_Orders || Now < Self.m_Orders->m_NextRound)
    return;
  Self.m_Orders->m_NextRound = Now + RoundInterval;
  std::vector<EngineOrder> Heads = nextOrders(Self.m_State);
  if (Heads.empty()) {
    Self.m_Orders->m_Waits.clear();
    return;
  }
  setLoadRate(Self.m_Orders->m_Sender,
              documentSettings(Self).m_Limits.m_WeightStoreLoadsPerMinute, Now);
  bool HoldsLease = holdsQuorumLease(Self.m_Replica, Now);
  std::set<std::string> HeadIds;
  for (const EngineOrder &Order : Heads) {
    HeadIds.insert(Order.m_OrderId);
    std::shared_ptr<OrderRun> Run =
        findRun(Self, Self.m_Orders->m_Term, Order.m_OrderId);
    if (Run)
      continueRun(Self, *Run, Now);
    else if (HoldsLease)
      decide(Self, Order, Now);
    else
      noteWait(Self, Order, WaitsForQuorumLease);
  }
  for (const std::pair<const std::string, EngineOrder> &Row :
       Self.m_State.m_Orders)
    if (Row.second.m_Outcome == OrderOutcome::Open &&
        HeadIds.count(Row.first) == 0)
      noteWait(Self, Row.second, WaitsForEarlierOrder);
}

const char *orderWait(const Keeper &Self, const std::string &OrderId) {
  if (!Self.m_Orders)
    return WaitsForLeader;
  if (Self.m_Orders->m_Runs.count(OrderId) != 0)
    return nullptr;
  auto Found = Self.m_Orders->m_Waits.find(OrderId);
  return Found == Self.m_Orders->m_Waits.end() ? WaitsForLeader : Found->second;
}

} // namespace vanillaferry::internal
