#pragma once

#include "vanillaferry/connection/liveness.hpp"
#include "vanillaferry/connection/peer_event.hpp"
#include "vanillaferry/process/feature_level.hpp"
#include "vanillaferry/process/result.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillaferry {

struct PeerOptions {
  NodeId m_Self;
  Incarnation m_Incarnation;
  NodeRole m_Role = NodeRole::Router;
  /// Told to the other ends; empty for routers.
  std::string m_HttpUrl;
  FeatureLevel m_Level = NewestFeatureLevel;
  std::string m_ListenAddress;
  std::uint16_t m_ListenPort = 0;
  /// Links between two routers are quiet, all others are not.
  LivenessOptions m_Liveness;
  /// Above a grant with all sections at their largest (8 MiB each).
  Bytes m_MaxFrame{64 * 1024 * 1024};
  /// A link with more bytes waiting to be sent is dropped and dialled again; a
  /// single frame may always wait.
  Bytes m_MaxBuffered{32 * 1024 * 1024};
  /// Heartbeats on dialled links are reported as Heard.
  bool m_ReportsHeartbeats = false;
  /// Bounds of the exponential pause between dials, before jitter.
  Millis m_RedialMin{100};
  Millis m_RedialMax{2000};
};

/// Counters of the peer task, readable from any thread.
struct PeerCounters {
  std::uint64_t m_FramesSent = 0;
  std::uint64_t m_FramesReceived = 0;
  std::uint64_t m_BytesSent = 0;
  std::uint64_t m_BytesReceived = 0;
  /// Bytes sent and received apart from forwarded requests and answers.
  std::uint64_t m_ControlBytesSent = 0;
  std::uint64_t m_ControlBytesReceived = 0;
  std::uint64_t m_MalformedFrames = 0;
  /// Received messages of a kind or form that this build does not know.
  std::uint64_t m_MessagesUnread = 0;
  /// Messages not sent because the receiver's build does not know their kind.
  std::uint64_t m_MessagesWithheld = 0;
  std::uint64_t m_LinksLost = 0;
};

/// Websocket links to other processes, on an Asio context in a thread of their
/// own. Events are delivered through the function given at start, which runs
/// on the peer thread and must only post to a mailbox.
class PeerTask {
public:
  using Deliver = std::function<void(PeerEvent)>;

  static Result<std::unique_ptr<PeerTask>> start(PeerOptions Options,
                                                 Deliver OnEvent);
  ~PeerTask();
  PeerTask(const PeerTask &) = delete;
  PeerTask &operator=(const PeerTask &) = delete;

  /// Keeps a link to this URL up until disconnect(); dials again when lost.
  void connect(const std::string &Url);
  void disconnect(const std::string &Url);

  /// Sends to the newest link of a node. Without one a Forward comes back as
  /// Unsent and other messages are dropped (the owner of the state sees Down
  /// and decides). A Forward for a quiet link that has not been heard of for
  /// the silence limit waits until the other end answers a probe.
  void send(const NodeId &To, PeerMessage Message);
  /// Sends over the link of this URL, whoever answers there.
  void sendToUrl(const std::string &Url, PeerMessage Message);

  /// Requests wait for these nodes: their links are watched for the next
  /// m_WatchTime. A Forward watches its link by itself.
  void watch(std::vector<NodeId> Nodes);

  PeerCounters counters() const;

  /// The port listened on, also when the options leave its choice to the
  /// system; 0 without a listen address.
  std::uint16_t listenPort() const;

private:
  struct Impl;
  explicit PeerTask(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace vanillaferry
