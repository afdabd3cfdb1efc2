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
  /// Nothing was sent to the owner yet, because its link broke.
  AwaitingLink,
  /// An owner was asked.
  Asking,
  /// A target works on it.
  Running,
  /// A broken stream waits for an owner that can go on with it.
  Resuming,
  /// The outcome is on its way to the journal.
  Ending,
  Done,
};

/// How long a broken stream looks for a target that goes on with it; longer
/// than the lease time after which a lost owner's targets have a new owner.
constexpr Millis ResumeTimeLimit{12000};
constexpr Millis ResumeRetryDelay{100};
/// With less time left, another engine continues the stream.
constexpr Millis MinTimeForOwnEngine{6000};

/// Events kept for continuing at another engine; longer answers can only be
/// resumed at their own engine.
constexpr std::size_t MaxKeptEvents = 256 * 1024;
/// While more than this waits for the caller, the owner gets no new credit.
constexpr std::size_t CallerHighWater = 64 * 1024;

/// How long a request of which nothing was sent waits for a new link to its
/// owner before the next owner is asked; a dial takes a few round trips and
/// follows the loss of a link by at most 100 ms.
constexpr Millis LinkWait{1000};

/// One request at its entry router. Shared by the router's table and the
/// callbacks of its caller.
struct Session : std::enable_shared_from_this<Session> {
  explicit Session(Router &Entry) : m_Router(Entry) {}

  Router &m_Router;
  std::shared_ptr<Caller> m_Caller;
  /// What is sent to owners; the request id in it is unique in the fleet, the
  /// caller's own id stands only in answers.
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
  /// The caller left a call that runs on for its outcome.
  bool m_CallerGone = false;

  OwnerSearch m_Walk;
  OwnerSearchStep m_Asked;
  StreamProgress m_Progress;
  /// A try may have run, so no refusal may say "not run" any more.
  bool m_MayHaveRun = false;
  /// Tries that reached a target, for the retry budget.
  std::uint32_t m_Tries = 0;
  TargetId m_RanAt;
  std::string m_PlacementReason;
  bool m_Continued = false;
  /// When the order went to the owner asked last.
  Millis m_AskedAt;
  /// While Resuming: when it tries again and when it gives up. While
  /// AwaitingLink: when the next owner is asked.
  Millis m_NextTry;
  Millis m_ResumeDeadline;

  std::string m_KeptEvents;
  bool m_KeptAllEvents = true;
  /// Answer that is not streamed to the caller.
  std::string m_BufferedBody;
  std::int64_t m_Bytes = 0;
  std::int64_t m_OwedCredit = 0;
  Millis m_FirstEventAt;
};

/// Starts the walk over the owners; the account has a place for it.
void startWalk(const std::shared_ptr<Session> &S);
/// Sends the request to the next owner, or back to the queue.
void askNextOwner(const std::shared_ptr<Session> &S);

void sessionAccept(Router &R, const NodeId &From, const ForwardAccept &Accept);
void sessionDecline(Router &R, const NodeId &From,
                    const ForwardDecline &Decline);
void sessionChunk(Router &R, const NodeId &From, const ForwardChunk &Chunk);
void sessionEnd(Router &R, const NodeId &From, const ForwardEnd &End);
/// A link to a node broke; what was asked after Since went over another one.
void sessionLinkLost(Router &R, const NodeId &Node, Millis Since);
/// An order was not sent at all.
void sessionUnsent(Router &R, const NodeId &To, const Forward &Order);
/// Sends orders whose link is up again; others go on to the next owner in time.
void checkAwaitedLinks(Router &R);

/// Tries to go on with a broken stream.
void tryResumeStream(const std::shared_ptr<Session> &S);

/// Ends a session with a refusal, or with an error event once its stream has
/// begun.
void refuseSession(const std::shared_ptr<Session> &S, RefusalReason Reason,
                   NotRun Ran, const std::string &Message);
/// Takes the session off the router's tables and frees its place.
void closeSession(const std::shared_ptr<Session> &S);
/// The caller left.
void abandonSession(const std::shared_ptr<Session> &S);

/// X-Placement and its kin.
HttpFields placementFields(const Session &S);

} // namespace vanillaferry
