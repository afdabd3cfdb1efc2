#pragma once

#include "connection/fd_watcher.hpp"
#include "connection/http_front.hpp"
#include "connection/peer_task.hpp"
#include "connection/target_client.hpp"
#include "process/exporter.hpp"
#include "process/mailbox.hpp"
#include "process/metrics.hpp"
#include "process/settings.hpp"
#include "vanillaferry/process/node_lease.hpp"
#include "vanillaferry/process/ownership.hpp"
#include "vanillaferry/request/account_limit.hpp"
#include "vanillaferry/request/admission_queue.hpp"
#include "vanillaferry/request/placement.hpp"
#include "vanillaferry/request/prompt_guard.hpp"
#include "vanillaferry/request/retry.hpp"
#include "vanillaferry/version/pool.hpp"
#include "version/router_document.hpp"

#include <deque>
#include <functional>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace vanillaferry {

struct Session;
struct Run;
struct Recording;

/// The last first-token times of a pool, for their median.
struct FirstTokenWindow {
  std::deque<Millis> m_Times;
};

/// Requests of one pool that wait at this router.
struct PoolQueue {
  AdmissionQueue m_Queue;
  /// After every owner declined a request, no request leaves the queue before
  /// this time.
  Millis m_BlockedUntil;
  /// Present pause between two requests that ask the owners; zero after one was
  /// accepted.
  Millis m_Pause;
  /// Set from the first request that every owner declined until the queue is
  /// empty. Requests then ask the owners one at a time, since each of them asks
  /// up to nine owners.
  bool m_Congested = false;
  /// The one request that asks owners while the pool is congested.
  RequestId m_Probe;
};

/// A forwarded request that waits at the owner for a place at the target that
/// holds its prefix.
struct ParkedForward {
  NodeId m_From;
  Forward m_Order;
};

/// Own running requests as a renewal or a load update stated them.
struct SentLoads {
  Millis m_SentAt;
  std::map<PoolId, std::uint32_t> m_Running;
};

/// Connection to the keepers' leader.
struct KeeperLink {
  /// URL that is asked at present.
  std::string m_Url;
  std::size_t m_Index = 0;
  Millis m_LastAnswer;
  /// Own counts in renewals without an answer, by sequence.
  std::map<std::uint64_t, SentLoads> m_RenewalsSent;
  Epoch m_AckedEpoch;
  /// Epoch of the lease under which the targets were gained.
  Epoch m_GainedUnder;
  DocumentVersion m_AckedVersion;
  Millis m_LastRenew;
  /// Load updates without an answer, by sequence.
  std::map<std::uint64_t, SentLoads> m_LoadsSent;
  std::uint64_t m_NextLoadUpdate = 1;
  Millis m_LastLoadUpdate;
  /// Set when a placement used stale pool totals.
  bool m_WantTotals = false;
};

/// A message to the journal that is repeated until it is answered.
struct JournalCall {
  std::variant<JournalBegin, JournalEnd> m_Message;
  Millis m_NextSend;
  /// Called with the answer; empty when nobody waits any more.
  std::function<void(const JournalAnswer &)> m_OnAnswer;
};

/// The polls of one owned target.
struct TargetPoll {
  Millis m_Next;
  bool m_Running = false;
  /// The same for cache events.
  Millis m_CacheNext;
  bool m_CacheRunning = false;
  /// The target gets no new requests before this time, after a failed
  /// connection.
  Millis m_FailedUntil;
  std::uint32_t m_Failures = 0;
};

/// The state of one router process; owned by the GLib task.
struct Router {
  Router() = default;
  /// Ends the calls of all runs, whose handlers refer to this router.
  ~Router();
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  RouterSettings m_Settings;
  Incarnation m_Incarnation;
  Metrics m_Metrics;
  /// Shared with exchanges that outlive the router in tests.
  std::shared_ptr<FdWatcher> m_WatcherOwner = std::make_shared<FdWatcher>();
  FdWatcher &m_Watcher = *m_WatcherOwner;
  /// Lets the handlers of poll answers detect that the router was destroyed.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  GHandle<SoupSession> m_PollSession;

  RouterLease m_Lease;
  KeeperLink m_Keeper;
  Membership m_Members;
  OwnedTargets m_Owned;
  /// When each link of a node came up.
  std::map<NodeId, std::map<std::uint64_t, Millis>> m_Links;
  /// When the last link to each unreachable node broke.
  std::map<NodeId, Millis> m_LinkLostAt;
  std::set<std::string> m_Dialled;
  /// Members that this node connects to because they should connect to it but
  /// have not.
  std::set<NodeId> m_DialledBack;
  Millis m_NextWatch;

  RouterDocument m_Document;
  VmView m_Vms;
  Millis m_VmListNext;
  std::map<PoolId, RoutedPool> m_Pools;
  std::map<PoolId, OwnerPool> m_OwnerPools;
  std::map<PoolId, FirstTokenWindow> m_FirstTokens;
  std::map<TargetId, TargetPoll> m_Polls;
  /// Copies from targets that went out of service.
  std::map<TargetId, TargetExport> m_Exports;
  /// Owned engines that were in service at the last tick.
  std::set<TargetId> m_SeenInService;
  /// Requests of former owners at each target, from the last grant.
  std::map<TargetId, std::uint32_t> m_Residual;

  PromptGuard m_Prompts;
  AccountTable m_Accounts;
  std::map<PoolId, PoolQueue> m_Queues;
  RetryTable m_Retries;
  std::unordered_map<RequestId, std::shared_ptr<Session>> m_Sessions;
  std::unordered_map<RequestId, std::shared_ptr<Run>> m_Runs;
  std::map<RequestId, ParkedForward> m_ParkedForwards;
  bool m_DecidingParked = false;
  std::map<RequestId, JournalCall> m_JournalBegins;
  std::map<RequestId, JournalCall> m_JournalEnds;

  std::deque<PeerMessage> m_Local;
  bool m_DeliveringLocal = false;
  bool m_Draining = false;
  Millis m_DrainUntil;
  std::shared_ptr<Recording> m_Record;
  std::function<void()> m_OnDrained;

  /// The lease held at the last tick, for the log.
  bool m_LeaseHeld = false;

  Timer m_Tick;
  // Declared last, so that they are destroyed before the state that they
  // deliver to.
  std::unique_ptr<HttpFront> m_Front;
  std::unique_ptr<Mailbox<PeerEvent>> m_Mailbox;
  std::unique_ptr<PeerTask> m_Peer;
};

/// Starts everything but the listeners; tests use it without peers.
void initializeRouter(Router &R, RouterSettings Settings);

/// Opens the HTTP and peer addresses and begins to ask for a lease.
Status startRouter(Router &R);

/// Sends to a router; a message to this node itself is delivered from a queue,
/// after the present handler.
void sendToNode(Router &R, const NodeId &To, PeerMessage Message);

/// Handles a message of another process, or of this node to itself.
void handlePeerMessage(Router &R, const NodeId &From, PeerMessage Message);
void handlePeerEvent(Router &R, PeerEvent Event);

/// Periodic work: renewals, deadlines, silent streams, polls.
void tickRouter(Router &R);

/// True while the node lease holds, so that new requests may be accepted.
bool holdsLease(const Router &R);

/// The check directly before a dispatch: the lease holds, the target is owned
/// and in service, and its former owner has stopped.
bool mayDispatchNow(const Router &R, const PoolId &Pool,
                    const TargetId &Target);

/// Begins the graceful shutdown.
void drainRouter(Router &R);

/// Time between two rounds of periodic work.
constexpr std::int64_t TickMs = 50;

} // namespace vanillaferry
