#pragma once

#include "connection/caller.hpp"
#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/request/placement.hpp"
#include "vanillaferry/request/stream_progress.hpp"
#include "vanillaferry/version/pool.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace vanillaferry {

struct Router;

enum class SessionStep : std::uint8_t {
  /// Waits in the admission queue.
  Queued,
  /// Waits for the journal's answer.
  Journal,
  /// Waits for a new link to the owner; nothing was sent, as the link broke.
  AwaitingLink,
  /// Waits for the owner's answer to the order.
  Asking,
  /// A target runs the request.
  Running,
  /// Waits to resume a broken stream.
  Resuming,
  /// Waits until the journal has recorded the outcome.
  Ending,
  Done,
};

/// How long a session tries to resume a broken stream; longer than the lease
/// time, after which a lost owner's targets have a new owner.
constexpr Millis ResumeTimeLimit{12000};
constexpr Millis ResumeRetryDelay{100};
/// With less of ResumeTimeLimit left, the session stops waiting for the
/// stream's own engine and continues the stream at another one.
constexpr Millis MinTimeForOwnEngine{6000};

/// Limit in bytes for events kept to continue a stream at another engine;
/// longer answers can only be resumed at their own engine.
constexpr std::size_t MaxKeptEvents = 256 * 1024;
/// While more bytes than this wait to be sent to the caller, the owner gets no
/// new credit.
constexpr std::size_t CallerHighWater = 64 * 1024;

/// How long a request that was not sent waits for a new link to its owner
/// before the next owner is asked; connecting takes a few round trips and
/// starts at most 100 ms after the loss of a link.
constexpr Millis LinkWait{1000};

/// One request at its entry router. Shared by Router::m_Sessions and the
/// callbacks of its caller.
struct Session : std::enable_shared_from_this<Session> {
  explicit Session(Router &Entry) : m_Router(Entry) {}

  Router &m_Router;
  std::shared_ptr<Caller> m_Caller;
  /// The message to owners. Its request id is unique among all routers; the
  /// caller's own id appears only in answers.
  Forward m_Order;
  ServiceKind m_Kind = ServiceKind::Engine;
  bool m_Idempotent = true;
  bool m_Journaled = false;
  JournalBegin m_Begin;
  bool m_JournalGranted = false;
  Millis m_ArrivedAt;
  Millis m_Deadline;
  SessionStep m_Step = SessionStep::Queued;
  /// Counted as running for its account.
  bool m_CountedAsRunning = false;
  /// The queue counts it as served; see WaitingRequest.
  bool m_CountedServed = false;
  /// The caller has disconnected, and the call continues to record its outcome.
  bool m_CallerGone = false;

  OwnerSearch m_Walk;
  OwnerSearchStep m_Asked;
  StreamProgress m_Progress;
  /// A try may have run, so a refusal must not state "not run".
  bool m_MayHaveRun = false;
  /// The trial of a refused prompt part.
  bool m_IsTrial = false;
  /// Number of tries that reached a target, for the retry budget.
  std::uint32_t m_Tries = 0;
  TargetId m_RanAt;
  std::string m_PlacementReason;
  bool m_Continued = false;
  /// When the order was last sent to an owner.
  Millis m_AskedAt;
  /// While Resuming: time of the next attempt; m_ResumeDeadline is when the
  /// session gives up. While AwaitingLink: when the next owner is asked.
  Millis m_NextTry;
  Millis m_ResumeDeadline;

  std::string m_KeptEvents;
  bool m_KeptAllEvents = true;
  /// Body of an answer that is not streamed to the caller.
  std::string m_BufferedBody;
  std::int64_t m_Bytes = 0;
  std::int64_t m_OwedCredit = 0;
  Millis m_FirstEventAt;
};

/// Starts to ask the pool's owners in turn; the caller has checked the
/// account's concurrency limit.
void startWalk(const std::shared_ptr<Session> &S);
/// Sends the request to the next owner; queues or refuses it when none is left.
void askNextOwner(const std::shared_ptr<Session> &S);

void sessionAccept(Router &R, const NodeId &From, const ForwardAccept &Accept);
void sessionDecline(Router &R, const NodeId &From,
                    const ForwardDecline &Decline);
void sessionChunk(Router &R, const NodeId &From, const ForwardChunk &Chunk);
void sessionEnd(Router &R, const NodeId &From, const ForwardEnd &End);
/// Handles the loss of a link to a node. Orders sent after Since used another
/// link.
void sessionLinkLost(Router &R, const NodeId &Node, Millis Since);
/// Handles an order of which nothing was sent.
void sessionUnsent(Router &R, const NodeId &To, const Forward &Order);
/// Sends orders whose link is restored; after LinkWait, the next owner is
/// asked.
void checkAwaitedLinks(Router &R);

/// Tries to resume a broken stream.
void tryResumeStream(const std::shared_ptr<Session> &S);

/// Ends a session with a refusal, or with an error event once its stream has
/// begun.
void refuseSession(const std::shared_ptr<Session> &S, RefusalReason Reason,
                   NotRun Ran, const std::string &Message);
/// Removes the session from the router's tables and ends its count at the
/// account.
void closeSession(const std::shared_ptr<Session> &S);
/// Handles the loss of the caller's connection.
void abandonSession(const std::shared_ptr<Session> &S);

/// The X-Placement field, once the request has run at a target.
HttpFields placementFields(const Session &S);

} // namespace vanillaferry
