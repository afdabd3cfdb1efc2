#pragma once

#include "connection/caller.hpp"
#include "connection/caller_pool.hpp"
#include "connection/request_reader.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace vanillaferry {

/// A sender slower than this per m_SlowSender is refused.
constexpr Bytes SlowSenderBytes{64 * 1024};

/// What the connections of one listening address share with it. The functions
/// are empty after the address was given up.
struct FrontState {
  CallerKind m_Kind = CallerKind::Caller;
  HttpLimits m_Limits;
  std::function<void(std::shared_ptr<Caller>, CallerRequest)> m_OnRequest;
  std::function<void(RefusalReason)> m_OnRefusal;
  /// Body of an early refusal.
  std::function<std::string(const Refusal &, const RequestId &)> m_RefusalText;
  std::set<std::shared_ptr<CallerConnection>> m_Open;
};

/// One connection of a caller: reads its requests one after the other, and
/// writes their answers. FrontState::m_Open owns it until its socket is closed;
/// callbacks hold it for as long as they run.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  /// Takes the descriptor over.
  static void start(FdWatcher &Watcher, int Fd,
                    const std::shared_ptr<FrontState> &Front);
  ~CallerConnection();
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  // For the request's Caller: caller_connection_answer.cpp
  void respond(int Status, const std::string &Head, std::string Body,
               bool Close);
  /// Begins a streamed answer; false when the connection is gone.
  bool startStream(const std::string &Head);
  void append(const std::string &Data);
  /// Ends a streamed answer, whole or not, and the connection.
  void endStream(bool Whole);
  std::size_t waiting() const { return m_Queued; }
  bool keepsAlive() const { return m_KeepAlive; }
  bool http10() const { return m_Http10; }
  Millis idleLimit() const { return m_Front->m_Limits.m_Idle; }

  // For the pool and the front.
  CallerKind kind() const { return m_Front->m_Kind; }
  bool isIdle() const { return m_Phase == Phase::Idle; }
  Millis idleSince() const { return m_IdleSince; }
  /// True while a request has begun and is not whole.
  bool isIncomplete() const { return m_Phase == Phase::Reading; }
  /// What an incomplete request holds.
  CallerHolding holding(Millis Now) const;
  void refuseForMemory();
  /// True while the rest of an answer is written that its owner has done with.
  bool isAnswering() const {
    return m_Phase == Phase::Answering || m_Phase == Phase::Ending;
  }
  /// Time for which the caller has not gone on to read what waits for it.
  Millis unreadFor(Millis Now) const;
  /// Time for which nothing went on; only for what givesUpDescriptor().
  Millis stillFor(Millis Now) const;
  /// True when the connection may be closed for another one.
  bool givesUpDescriptor(Millis Now) const;
  /// Refuses what is incomplete, and closes at once.
  void giveUp();
  /// False when bytes of a request have arrived.
  bool closeIfIdle();
  /// Ends what took too long.
  void sweep(Millis Now);
  /// True while the other end has not received all that was written.
  bool hasUnread() const;
  /// Closes at once, without telling the request's owner.
  void drop();

private:
  enum class Phase {
    Idle,
    Reading,
    /// The request is read and not answered.
    Running,
    Answering,
    Streaming,
    /// The rest is written, then the connection ends.
    Ending,
    Lingering,
    Closed,
  };
  enum class BodyRoom { None, Small, Large };
  CallerConnection(FdWatcher &Watcher, int Fd,
                   std::shared_ptr<FrontState> Front);
  void onReady(std::uint32_t Events);
  void receive();
  void process();
  /// Asks for room for the rest of a body.
  void awaitBody();
  void noteArrived();
  void dispatch();
  void refuse(const Refusal &Why);
  RequestId requestId() const;
  void queue(std::string Data);
  void flush();
  void answered();
  void linger();
  void discard();
  void lost();
  void close();
  void account();
  void rearm();
  Millis slowAt() const;
  bool isReading() const {
    return m_Phase == Phase::Idle || m_Phase == Phase::Reading;
  }

  std::shared_ptr<FdWatcher> m_Watcher;
  std::shared_ptr<FrontState> m_Front;
  std::shared_ptr<Caller> m_Caller;
  std::unique_ptr<RequestReader> m_Reader;
  std::string m_In;
  std::deque<std::string> m_Queue;
  /// Bytes in m_Queue, and those of its first part that were sent.
  std::size_t m_Queued = 0;
  std::size_t m_SentOfFirst = 0;
  HeldBytes m_Held;
  /// The room that the present body was given.
  BodyRoom m_BodyRoom = BodyRoom::None;
  /// Bytes of the present request that had arrived when it last went on.
  std::size_t m_ArrivedMark = 0;
  Millis m_WentOnAt;
  /// Bytes sent since the caller last went on to read.
  std::size_t m_SentMark = 0;
  Millis m_ReadOnAt;
  int m_Fd = -1;
  std::uint64_t m_Watch = 0;
  std::uint32_t m_Events = 0;
  Phase m_Phase = Phase::Idle;
  Millis m_IdleSince;
  Millis m_FirstByte;
  /// When the socket last took bytes, or began to take none.
  Millis m_LastProgress;
  Millis m_LingerUntil;
  int m_LingerUnsent = 0;
  bool m_Blocked = false;
  bool m_KeepAlive = false;
  bool m_Http10 = false;
  bool m_IsHead = false;
  bool m_Processing = false;
};

/// Text of a status line and fields, without the empty line at the end.
std::string answerHead(int Status, const std::string &ContentType,
                       const RequestId &Id, const HttpFields &Fields);

} // namespace vanillaferry
