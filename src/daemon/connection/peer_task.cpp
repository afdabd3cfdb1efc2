#include "connection/peer_task.hpp"

#include "connection/internal/peer_links.hpp"

#include <boost/asio/post.hpp>
#include <thread>

namespace vanillaferry {

struct PeerTask::Impl {
  internal::AtomicCounters m_Counters;
  internal::PeerLinks m_Links;
  std::uint16_t m_Port = 0;
  std::thread m_Thread;
  /// The lock covers only the queue of messages on their way to the thread.
  std::mutex m_Mutex;
  std::vector<internal::OutgoingMessage> m_Outgoing;

  Impl(PeerOptions Options, PeerTask::Deliver OnEvent)
      : m_Links(std::move(Options), std::move(OnEvent), m_Counters) {}

  /// Wakes the thread once for all messages that wait together.
  void post(internal::OutgoingMessage Message) {
    {
      std::lock_guard<std::mutex> Guard(m_Mutex);
      m_Outgoing.push_back(std::move(Message));
      if (m_Outgoing.size() > 1)
        return;
    }
    boost::asio::post(m_Links.m_Context, [this] {
      std::vector<internal::OutgoingMessage> Messages;
      {
        std::lock_guard<std::mutex> Guard(m_Mutex);
        Messages.swap(m_Outgoing);
      }
      m_Links.sendAll(std::move(Messages));
    });
  }
};

Result<std::unique_ptr<PeerTask>> PeerTask::start(PeerOptions Options,
                                                  Deliver OnEvent) {
  std::unique_ptr<Impl> State =
      std::make_unique<Impl>(std::move(Options), std::move(OnEvent));
  Status Listening = State->m_Links.listen();
  if (!Listening)
    return Listening.error();
  State->m_Port = State->m_Links.listenPort();
  Impl *Raw = State.get();
  State->m_Thread = std::thread([Raw] { Raw->m_Links.run(); });
  return std::unique_ptr<PeerTask>(new PeerTask(std::move(State)));
}

PeerTask::PeerTask(std::unique_ptr<Impl> State) : m_Impl(std::move(State)) {}

PeerTask::~PeerTask() {
  Impl *Raw = m_Impl.get();
  boost::asio::post(Raw->m_Links.m_Context, [Raw] { Raw->m_Links.stop(); });
  Raw->m_Thread.join();
}

void PeerTask::connect(const std::string &Url) {
  Impl *Raw = m_Impl.get();
  boost::asio::post(Raw->m_Links.m_Context,
                    [Raw, Url] { Raw->m_Links.connect(Url); });
}

void PeerTask::disconnect(const std::string &Url) {
  Impl *Raw = m_Impl.get();
  boost::asio::post(Raw->m_Links.m_Context,
                    [Raw, Url] { Raw->m_Links.disconnect(Url); });
}

void PeerTask::send(const NodeId &To, PeerMessage Message) {
  m_Impl->post({To, std::string(), std::move(Message)});
}

void PeerTask::sendToUrl(const std::string &Url, PeerMessage Message) {
  m_Impl->post({NodeId(), Url, std::move(Message)});
}

void PeerTask::watch(std::vector<NodeId> Nodes) {
  Impl *Raw = m_Impl.get();
  boost::asio::post(Raw->m_Links.m_Context, [Raw, Nodes = std::move(Nodes)] {
    Raw->m_Links.watchNodes(Nodes);
  });
}

PeerCounters PeerTask::counters() const {
  const internal::AtomicCounters &From = m_Impl->m_Counters;
  PeerCounters To;
  To.m_FramesSent = From.m_FramesSent;
  To.m_FramesReceived = From.m_FramesReceived;
  To.m_BytesSent = From.m_BytesSent;
  To.m_BytesReceived = From.m_BytesReceived;
  To.m_ControlBytesSent = From.m_ControlBytesSent;
  To.m_ControlBytesReceived = From.m_ControlBytesReceived;
  To.m_MalformedFrames = From.m_MalformedFrames;
  To.m_MessagesUnread = From.m_MessagesUnread;
  To.m_MessagesWithheld = From.m_MessagesWithheld;
  To.m_LinksLost = From.m_LinksLost;
  return To;
}

std::uint16_t PeerTask::listenPort() const { return m_Impl->m_Port; }

} // namespace vanillaferry
