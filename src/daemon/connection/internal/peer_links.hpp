#pragma once

#include "connection/internal/peer_endpoint.hpp"
#include "connection/message_codec.hpp"
#include "connection/peer_task.hpp"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <mutex>
#include <random>
#include <vector>

namespace vanillaferry::internal {

/// A message on its way to the peer thread: to a node or to a URL's link.
struct OutgoingMessage {
  NodeId m_To;
  std::string m_Url;
  PeerMessage m_Message;
};

/// One websocket connection.
struct PeerLink {
  std::uint64_t m_Id = 0;
  PeerConnection::ptr m_Connection;
  /// Empty when the other end dialled.
  std::string m_Url;
  /// Empty until the other end's hello.
  NodeId m_Node;
  /// What the other end's build understands.
  FeatureLevel m_Level;
  bool m_Open = false;
  bool m_MalformedLogged = false;
  Liveness m_Liveness;
  /// Messages that wait for the answer to a probe, in their order.
  std::vector<PeerMessage> m_Held;
  Millis m_HeldSince;
  /// Encoded messages that wait for the end of the batch, all control or all
  /// not, so that control bytes are counted exactly.
  std::string m_Batch;
  std::size_t m_BatchCount = 0;
  bool m_BatchControl = true;
};

/// A URL that is to have a link.
struct PeerDial {
  /// 0 while there is neither a link nor an attempt.
  std::uint64_t m_Link = 0;
  std::uint32_t m_Failures = 0;
  Millis m_NextAt;
};

/// Counters written on the peer thread and read on any.
struct AtomicCounters {
  std::atomic<std::uint64_t> m_FramesSent{0};
  std::atomic<std::uint64_t> m_FramesReceived{0};
  std::atomic<std::uint64_t> m_BytesSent{0};
  std::atomic<std::uint64_t> m_BytesReceived{0};
  std::atomic<std::uint64_t> m_ControlBytesSent{0};
  std::atomic<std::uint64_t> m_ControlBytesReceived{0};
  std::atomic<std::uint64_t> m_MalformedFrames{0};
  std::atomic<std::uint64_t> m_MessagesUnread{0};
  std::atomic<std::uint64_t> m_MessagesWithheld{0};
  std::atomic<std::uint64_t> m_LinksLost{0};
};

/// All links of a process. Runs on the peer thread, but for the constructor
/// and listen(), which run before it starts.
class PeerLinks {
public:
  PeerLinks(PeerOptions Options, PeerTask::Deliver OnEvent,
            AtomicCounters &Counters);

  Status listen();
  std::uint16_t listenPort();
  /// Runs until stop().
  void run();
  void stop();

  void connect(const std::string &Url);
  void disconnect(const std::string &Url);
  /// Sends messages in their order; those for one link share frames.
  void sendAll(std::vector<OutgoingMessage> Messages);
  void watchNodes(const std::vector<NodeId> &Nodes);

  boost::asio::io_context m_Context;

private:
  void startTimer();
  void onTimer();
  void dial(const std::string &Url, PeerDial &Dial, Millis Now);
  void dialAgain(const std::string &Url, bool WasUp);
  void onAccepted(const websocketpp::connection_hdl &Handle);
  void watch(PeerLink &Link);
  void onOpen(PeerLink &Link);
  void onEnded(std::uint64_t Id, const std::string &Why);
  void onFrame(std::uint64_t Id, const PeerServer::message_ptr &Frame);
  void onMalformed(PeerLink &Link, const std::string &Why);
  /// Counts messages that were left out, and logs them once a minute.
  void onUnread(const PeerLink &Link, const UnreadMessages &Unread);
  /// False when the message must not be sent to this build. Where the build may
  /// not know it, the batch before it is sent first.
  bool mayAppend(PeerLink &Link, const PeerMessage &Message);
  bool onHello(PeerLink &Link, const PeerMessage &Message);
  void drop(std::uint64_t Id, const std::string &Why);

  void checkLiveness(PeerLink &Link, Millis Now);
  void probe(PeerLink &Link, Millis Now);
  /// True when the message waits for the answer to a probe.
  bool hold(PeerLink &Link, PeerMessage &Message);
  void releaseHeld(std::uint64_t Id);
  /// Hands a Forward of which nothing was sent back to its sender.
  void returnUnsent(const NodeId &To, std::uint64_t Id, PeerMessage &Message);

  PeerLink *linkOf(const OutgoingMessage &Message);
  void append(PeerLink &Link, const PeerMessage &Message);
  /// False when the link was dropped.
  bool flush(PeerLink &Link);

  PeerOptions m_Options;
  PeerTask::Deliver m_OnEvent;
  AtomicCounters &m_Counters;
  PeerServer m_Server;
  PeerClient m_Client;
  boost::asio::steady_timer m_Timer;
  bool m_Stopping = false;
  std::uint64_t m_NextId = 1;
  std::map<std::uint64_t, PeerLink> m_Links;
  std::map<std::string, PeerDial> m_Dials;
  /// Links of each node that exchanged their hello, the newest last.
  std::map<NodeId, std::vector<std::uint64_t>> m_LinksOfNode;
  std::mt19937_64 m_Random;
  Millis m_StartedAt;
  /// Unread messages since the last line about them.
  std::uint64_t m_UnreadSince = 0;
  Millis m_NextUnreadLine;
};

} // namespace vanillaferry::internal
