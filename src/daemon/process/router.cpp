#include "process/router.hpp"

#include "connection/text_fetch.hpp"
#include "process/clock.hpp"
#include "process/lease_client.hpp"
#include "process/poller.hpp"
#include "process/recorder.hpp"
#include "request/entry.hpp"
#include "request/journal_client.hpp"
#include "request/prompt_refusal.hpp"
#include "request/run.hpp"
#include "request/session.hpp"

namespace vanillaferry {

namespace {

/// Below the watch time of a link, so that a watch does not lapse.
constexpr Millis WatchInterval{500};

/// Calls the part of the router that handles a message's kind.
struct MessageHandler {
  Router &m_Router;
  const NodeId &m_From;

  void operator()(Forward &Message) {
    startRun(m_Router, m_From, std::move(Message));
  }
  void operator()(ForwardAccept &Message) {
    sessionAccept(m_Router, m_From, Message);
  }
  void operator()(ForwardDecline &Message) {
    sessionDecline(m_Router, m_From, Message);
  }
  void operator()(ForwardChunk &Message) {
    sessionChunk(m_Router, m_From, Message);
  }
  void operator()(ForwardEnd &Message) {
    sessionEnd(m_Router, m_From, Message);
  }
  void operator()(ForwardCancel &Message) {
    cancelRun(m_Router, m_From, Message);
  }
  void operator()(ForwardCredit &Message) {
    creditRun(m_Router, m_From, Message);
  }
  void operator()(PlacementUpdate &Message) {
    auto Pool = m_Router.m_OwnerPools.find(Message.m_Pool);
    if (Pool != m_Router.m_OwnerPools.end())
      notePlaced(Pool->second.m_Redirects, hashChat(Message.m_Chat),
                 Message.m_Home, Message.m_Target);
  }
  void operator()(PrefixCopied &Message) {
    handlePrefixCopied(m_Router, Message);
  }
  void operator()(Grant &Message) { handleGrant(m_Router, Message); }
  void operator()(LoadTotals &Message) { handleLoadTotals(m_Router, Message); }
  void operator()(RenewRequest &) {
    m_Router.m_Lease.m_NextRenewal = monotonicNow();
    checkLease(m_Router);
  }
  void operator()(RedirectLeader &Message) {
    handleRedirect(m_Router, Message);
  }
  void operator()(PromptWatch &Message) {
    handlePromptWatch(m_Router, Message);
  }
  void operator()(JournalAnswer &Message) {
    takeJournalAnswer(m_Router, Message);
  }
  /// Kinds that no router receives.
  template <typename Other> void operator()(Other &) {
    addCounter(m_Router.m_Metrics, "vanillaferry_unexpected_messages_total");
  }
};

void checkSessions(Router &R) {
  Millis Now = monotonicNow();
  std::vector<std::shared_ptr<Session>> Waiting;
  for (const std::pair<const RequestId, std::shared_ptr<Session>> &Row :
       R.m_Sessions)
    if (Row.second->m_Step == SessionStep::Resuming &&
        Row.second->m_NextTry <= Now)
      Waiting.push_back(Row.second);
  for (const std::shared_ptr<Session> &S : Waiting)
    tryResumeStream(S);
  checkAwaitedLinks(R);
}

/// Has the peer task watch the links on which requests that arrived here wait
/// for an owner.
void watchLinks(Router &R) {
  Millis Now = monotonicNow();
  if (!R.m_Peer || R.m_NextWatch > Now)
    return;
  R.m_NextWatch = Now + WatchInterval;
  std::set<NodeId> Asked;
  for (const std::pair<const RequestId, std::shared_ptr<Session>> &Row :
       R.m_Sessions)
    if (Row.second->m_Step == SessionStep::Asking ||
        Row.second->m_Step == SessionStep::Running)
      Asked.insert(Row.second->m_Asked.m_Owner);
  Asked.erase(R.m_Settings.m_Node);
  if (!Asked.empty())
    R.m_Peer->watch(std::vector<NodeId>(Asked.begin(), Asked.end()));
}

void noteLease(Router &R) {
  bool Holds = holdsLease(R);
  if (R.m_LeaseHeld && !Holds)
    logEvent(Event::LeaseLost);
  R.m_LeaseHeld = Holds;
}

void checkDrained(Router &R) {
  if (!R.m_Draining || !R.m_OnDrained)
    return;
  bool Idle = R.m_Sessions.empty() && R.m_Runs.empty() &&
              R.m_ParkedForwards.empty() && R.m_JournalEnds.empty() &&
              R.m_JournalBegins.empty();
  bool OwnsNothing = true;
  for (const Member &One : R.m_Members.m_Members)
    if (One.m_Node == R.m_Settings.m_Node && !One.m_Leaving)
      OwnsNothing = false;
  bool Overdue =
      R.m_DrainUntil.m_Value != 0 && R.m_DrainUntil <= monotonicNow();
  // Without a lease there is nothing to wait for: other routers can take the
  // targets over only once the lease has expired at the keepers.
  if ((Idle && (OwnsNothing || !holdsLease(R))) || Overdue) {
    std::function<void()> OnDrained = std::move(R.m_OnDrained);
    R.m_OnDrained = nullptr;
    OnDrained();
  }
}

} // namespace

Router::~Router() {
  for (const std::pair<const RequestId, std::shared_ptr<Run>> &Row : m_Runs) {
    Row.second->m_Done = true;
    if (Row.second->m_Call)
      Row.second->m_Call->cancel();
  }
  for (const std::pair<const TargetId, TargetExport> &Row : m_Exports)
    for (const std::pair<const std::uint64_t, PrefixCopy> &Copy :
         Row.second.m_Copies)
      if (Copy.second.m_Call)
        Copy.second.m_Call->cancel();
}

void initializeRouter(Router &R, RouterSettings Settings) {
  R.m_Settings = std::move(Settings);
  R.m_Incarnation = Incarnation(randomSeed());
  R.m_Metrics = makeMetrics();
  R.m_PollSession = makeTargetSession();
  R.m_Lease.m_Node = R.m_Settings.m_Node;
  R.m_Lease.m_Incarnation = R.m_Incarnation;
  R.m_Owned.m_Node = R.m_Settings.m_Node;
  R.m_Vms.m_Configured = !R.m_Settings.m_VmListUrl.empty();
  R.m_Keeper.m_LastAnswer = monotonicNow();
  if (!R.m_Settings.m_Keepers.empty())
    R.m_Keeper.m_Url = R.m_Settings.m_Keepers.front();
}

Status startRouter(Router &R) {
  CallerPool::instance().configure(R.m_Settings.m_Memory);
  Status Record = openRecord(R);
  if (!Record)
    return Record;
  Result<std::unique_ptr<HttpFront>> Front = HttpFront::start(
      R.m_Settings.m_Http, R.m_Watcher,
      [&R](std::shared_ptr<Caller> Sender, CallerRequest Request) {
        handleCallerRequest(R, Sender, std::move(Request));
      },
      [&R](RefusalReason Reason) { countRefusal(R.m_Metrics, Reason); });
  if (!Front)
    return Front.error();
  R.m_Front = std::move(Front.value());
  R.m_Mailbox = std::make_unique<Mailbox<PeerEvent>>(
      g_main_context_get_thread_default(),
      [&R](PeerEvent Event) { handlePeerEvent(R, std::move(Event)); });
  PeerOptions Options;
  Options.m_Self = R.m_Settings.m_Node;
  Options.m_Incarnation = R.m_Incarnation;
  Options.m_Role = NodeRole::Router;
  Options.m_ListenAddress = R.m_Settings.m_Peer.m_Address;
  Options.m_ListenPort = R.m_Settings.m_Peer.m_Port;
  Mailbox<PeerEvent> *Box = R.m_Mailbox.get();
  Result<std::unique_ptr<PeerTask>> Peer = PeerTask::start(
      Options, [Box](PeerEvent Event) { Box->post(std::move(Event)); });
  if (!Peer)
    return Peer.error();
  R.m_Peer = std::move(Peer.value());
  for (const std::string &Url : R.m_Settings.m_Keepers) {
    R.m_Peer->connect(Url);
    R.m_Dialled.insert(Url);
  }
  R.m_Tick.start(TickMs, [&R] {
    tickRouter(R);
    return true;
  });
  return boost::outcome_v2::success();
}

void sendToNode(Router &R, const NodeId &To, PeerMessage Message) {
  if (To != R.m_Settings.m_Node) {
    if (R.m_Peer)
      R.m_Peer->send(To, std::move(Message));
    return;
  }
  R.m_Local.push_back(std::move(Message));
  if (R.m_DeliveringLocal)
    return;
  R.m_DeliveringLocal = true;
  while (!R.m_Local.empty()) {
    PeerMessage Next = std::move(R.m_Local.front());
    R.m_Local.pop_front();
    handlePeerMessage(R, R.m_Settings.m_Node, std::move(Next));
  }
  R.m_DeliveringLocal = false;
}

void handlePeerMessage(Router &R, const NodeId &From, PeerMessage Message) {
  std::visit(MessageHandler{R, From}, Message);
}

void handlePeerEvent(Router &R, PeerEvent Event) {
  switch (Event.m_Kind) {
  case PeerEvent::Kind::Up:
    R.m_Links[Event.m_From][Event.m_Connection] = monotonicNow();
    R.m_LinkLostAt.erase(Event.m_From);
    checkAwaitedLinks(R);
    return;
  case PeerEvent::Kind::Down: {
    Millis Now = monotonicNow();
    std::map<std::uint64_t, Millis> &Links = R.m_Links[Event.m_From];
    Links.erase(Event.m_Connection);
    if (!Links.empty()) {
      // Requests that were sent before the newest link came up may have been
      // lost with this one.
      sessionLinkLost(R, Event.m_From, Links.rbegin()->second);
      return;
    }
    R.m_Links.erase(Event.m_From);
    R.m_LinkLostAt[Event.m_From] = Now;
    sessionLinkLost(R, Event.m_From, Now);
    return;
  }
  case PeerEvent::Kind::Heard:
    return;
  case PeerEvent::Kind::Unsent:
    if (const Forward *Order = std::get_if<Forward>(&Event.m_Message))
      sessionUnsent(R, Event.m_From, *Order);
    return;
  case PeerEvent::Kind::Message:
    handlePeerMessage(R, Event.m_From, std::move(Event.m_Message));
    return;
  }
}

void tickRouter(Router &R) {
  checkLease(R);
  sendPromptReportWhenDue(R);
  noteLease(R);
  updateDispatchable(R);
  checkRuns(R);
  checkSessions(R);
  watchLinks(R);
  checkQueues(R);
  checkJournal(R);
  checkPolls(R);
  checkExports(R);
  checkDrained(R);
}

bool holdsLease(const Router &R) {
  return leaseHolds(R.m_Lease, monotonicNow());
}

bool mayDispatchNow(const Router &R, const PoolId &Pool,
                    const TargetId &Target) {
  auto Found = R.m_Pools.find(Pool);
  if (Found == R.m_Pools.end() || findTarget(Found->second.m_View, Target) >=
                                      Found->second.m_View.m_Targets.size())
    return false;
  return mayDispatchNow(R.m_Lease, R.m_Owned, Target, monotonicNow());
}

void drainRouter(Router &R) {
  if (R.m_Draining)
    return;
  R.m_Draining = true;
  if (R.m_Settings.m_DrainLimit.m_Value > 0)
    R.m_DrainUntil = monotonicNow() + R.m_Settings.m_DrainLimit;
  R.m_Lease.m_NextRenewal = Millis();
  logEvent(Event::ShutdownRequested,
           {{"sessions", static_cast<std::uint64_t>(R.m_Sessions.size())},
            {"runs", static_cast<std::uint64_t>(R.m_Runs.size())}});
}

} // namespace vanillaferry
