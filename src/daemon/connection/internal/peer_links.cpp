#include "connection/internal/peer_links.hpp"

#include "connection/message_codec.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/thread_meter.hpp"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace vanillaferry::internal {

namespace {

constexpr std::uint32_t ProtocolVersion = 1;
/// Batches beyond this gain nothing by sharing a frame.
constexpr std::size_t BatchBytes = 64 * 1024;
constexpr std::chrono::milliseconds TimerStep{50};
constexpr std::size_t MaskBytes = 4;
/// While two builds run side by side, each renewal may have such a message.
constexpr Millis UnreadLineInterval{60000};

/// Bytes of a frame on the wire with its head (RFC 6455, section 5.2).
std::size_t frameBytes(std::size_t Payload, bool Masked) {
  std::size_t Head = Payload < 126 ? 2 : Payload < 65536 ? 4 : 10;
  return Head + (Masked ? MaskBytes : 0) + Payload;
}

void setSocketOptions(PeerConnection &Connection, Millis SilenceLimit) {
  boost::system::error_code Ignored;
  Connection.get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                         Ignored);
  int Timeout = static_cast<int>(SilenceLimit.m_Value);
  ::setsockopt(Connection.get_raw_socket().native_handle(), IPPROTO_TCP,
               TCP_USER_TIMEOUT, &Timeout, sizeof Timeout);
}

/// A probe that requests wait for got no answer in time.
bool probeFailed(const PeerLink &Link, Millis Now) {
  return !Link.m_Held.empty() &&
         Now - Link.m_HeldSince >= Link.m_Liveness.m_Options.m_ProbeLimit;
}

/// Ends the TCP connection without a closing handshake, which a silent peer
/// would never answer.
void terminateNow(PeerConnection &Connection) {
  Connection.terminate(websocketpp::error::make_error_code(
      websocketpp::error::operation_canceled));
}

} // namespace

PeerLinks::PeerLinks(PeerOptions Options, PeerTask::Deliver OnEvent,
                     AtomicCounters &Counters)
    : m_Context(1), m_Options(std::move(Options)),
      m_OnEvent(std::move(OnEvent)), m_Counters(Counters), m_Timer(m_Context),
      m_Random(randomSeed()), m_StartedAt(monotonicNow()) {
  std::size_t MaxFrame = static_cast<std::size_t>(m_Options.m_MaxFrame.m_Value);
  m_Server.init_asio(&m_Context);
  m_Client.init_asio(&m_Context);
  m_Server.set_max_message_size(MaxFrame);
  m_Client.set_max_message_size(MaxFrame);
  m_Server.set_reuse_addr(true);
  m_Server.set_open_handler(
      [this](websocketpp::connection_hdl Handle) { onAccepted(Handle); });
}

Status PeerLinks::listen() {
  if (m_Options.m_ListenAddress.empty())
    return boost::outcome_v2::success();
  boost::system::error_code Failed;
  boost::asio::ip::address Address =
      boost::asio::ip::make_address(m_Options.m_ListenAddress, Failed);
  websocketpp::lib::error_code Refused;
  if (!Failed)
    m_Server.listen(
        boost::asio::ip::tcp::endpoint(Address, m_Options.m_ListenPort),
        Refused);
  if (!Failed && !Refused)
    m_Server.start_accept(Refused);
  if (Failed || Refused)
    return makeError(ErrorCode::Io,
                     "cannot listen on " + m_Options.m_ListenAddress + ":" +
                         std::to_string(m_Options.m_ListenPort) + ": " +
                         (Failed ? Failed.message() : Refused.message()));
  return boost::outcome_v2::success();
}

std::uint16_t PeerLinks::listenPort() {
  websocketpp::lib::asio::error_code Failed;
  boost::asio::ip::tcp::endpoint Local = m_Server.get_local_endpoint(Failed);
  return Failed ? 0 : Local.port();
}

void PeerLinks::run() {
  ThreadMeter Meter("peer");
  startTimer();
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard = boost::asio::make_work_guard(m_Context);
  while (!m_Stopping) {
    try {
      m_Context.run();
    } catch (const std::exception &E) {
      logEvent(Event::PeerTaskFault, {{"what", E.what()}});
    }
  }
}

void PeerLinks::stop() {
  m_Stopping = true;
  m_Timer.cancel();
  websocketpp::lib::error_code Ignored;
  if (m_Server.is_listening())
    m_Server.stop_listening(Ignored);
  // The close handlers look their link up and find none.
  std::map<std::uint64_t, PeerLink> Ended;
  Ended.swap(m_Links);
  for (std::pair<const std::uint64_t, PeerLink> &Row : Ended)
    if (Row.second.m_Open)
      terminateNow(*Row.second.m_Connection);
  m_Context.stop();
}

void PeerLinks::startTimer() {
  m_Timer.expires_after(TimerStep);
  m_Timer.async_wait([this](const boost::system::error_code &Failed) {
    if (!Failed && !m_Stopping)
      onTimer();
  });
}

void PeerLinks::onTimer() {
  Millis Now = monotonicNow();
  std::vector<std::uint64_t> Silent;
  for (std::pair<const std::uint64_t, PeerLink> &Row : m_Links) {
    PeerLink &Link = Row.second;
    if (!Link.m_Open)
      continue;
    if (linkSilent(Link.m_Liveness, Now) || probeFailed(Link, Now))
      Silent.push_back(Link.m_Id);
    else
      checkLiveness(Link, Now);
  }
  for (std::uint64_t Id : Silent)
    drop(Id, "silent");
  std::vector<std::uint64_t> Waiting;
  for (const std::pair<const std::uint64_t, PeerLink> &Row : m_Links)
    if (Row.second.m_BatchCount > 0)
      Waiting.push_back(Row.first);
  for (std::uint64_t Id : Waiting)
    flush(m_Links.at(Id));
  for (std::pair<const std::string, PeerDial> &Row : m_Dials)
    if (Row.second.m_Link == 0 && Now >= Row.second.m_NextAt)
      dial(Row.first, Row.second, Now);
  startTimer();
}

void PeerLinks::connect(const std::string &Url) {
  if (m_Dials.count(Url) != 0)
    return;
  dial(Url, m_Dials[Url], monotonicNow());
}

void PeerLinks::disconnect(const std::string &Url) {
  auto Found = m_Dials.find(Url);
  if (Found == m_Dials.end())
    return;
  std::uint64_t Id = Found->second.m_Link;
  m_Dials.erase(Found);
  drop(Id, "disconnected");
}

void PeerLinks::dial(const std::string &Url, PeerDial &Dial, Millis Now) {
  websocketpp::lib::error_code Failed;
  PeerConnection::ptr Connection = m_Client.get_connection(Url, Failed);
  if (Failed) {
    Dial.m_NextAt = Now + m_Options.m_RedialMax;
    logEvent(Event::PeerLinkLost, {{"url", Url}, {"why", Failed.message()}});
    return;
  }
  PeerLink &Link = m_Links[m_NextId];
  Link.m_Id = m_NextId++;
  Link.m_Url = Url;
  Link.m_Connection = Connection;
  Dial.m_Link = Link.m_Id;
  watch(Link);
  m_Client.connect(Connection);
}

void PeerLinks::dialAgain(const std::string &Url, bool WasUp) {
  auto Found = m_Dials.find(Url);
  if (Found == m_Dials.end() || m_Stopping)
    return;
  PeerDial &Dial = Found->second;
  Dial.m_Link = 0;
  Dial.m_Failures = WasUp ? 0 : std::min(Dial.m_Failures + 1, 10U);
  std::int64_t Pause =
      std::min(m_Options.m_RedialMin.m_Value << Dial.m_Failures,
               m_Options.m_RedialMax.m_Value);
  // Half of the pause is random, so that the peers of a restarted process do
  // not all dial it at the same moment.
  std::uniform_int_distribution<std::int64_t> Jitter(Pause / 2, Pause);
  Dial.m_NextAt = monotonicNow() + Millis(Jitter(m_Random));
}

void PeerLinks::onAccepted(const websocketpp::connection_hdl &Handle) {
  PeerLink &Link = m_Links[m_NextId];
  Link.m_Id = m_NextId++;
  Link.m_Connection = m_Server.get_con_from_hdl(Handle);
  watch(Link);
  onOpen(Link);
}

void PeerLinks::watch(PeerLink &Link) {
  std::uint64_t Id = Link.m_Id;
  PeerConnection &Connection = *Link.m_Connection;
  Connection.set_open_handler([this, Id](websocketpp::connection_hdl) {
    auto Found = m_Links.find(Id);
    if (Found != m_Links.end())
      onOpen(Found->second);
  });
  Connection.set_fail_handler([this, Id](websocketpp::connection_hdl) {
    onEnded(Id, "cannot connect");
  });
  Connection.set_close_handler(
      [this, Id](websocketpp::connection_hdl) { onEnded(Id, "closed"); });
  Connection.set_message_handler(
      [this, Id](websocketpp::connection_hdl, PeerServer::message_ptr Frame) {
        onFrame(Id, Frame);
      });
}

void PeerLinks::onOpen(PeerLink &Link) {
  setSocketOptions(*Link.m_Connection, m_Options.m_Liveness.m_SilenceLimit);
  Link.m_Open = true;
  Millis Now = monotonicNow();
  Link.m_Liveness = makeLiveness(m_Options.m_Liveness, Now);
  // 0 is what builds state that do not know the field.
  Millis RunningFor = std::max(Now - m_StartedAt, Millis(1));
  append(Link, Hello{m_Options.m_Self, m_Options.m_Incarnation, ProtocolVersion,
                     m_Options.m_Role, m_Options.m_HttpUrl, m_Options.m_Level,
                     RunningFor});
  flush(Link);
}

void PeerLinks::onEnded(std::uint64_t Id, const std::string &Why) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  PeerLink Link = std::move(Found->second);
  m_Links.erase(Found);
  bool WasUp = !Link.m_Node.empty();
  if (WasUp) {
    // Before Down, so that these requests do not count as in doubt.
    for (PeerMessage &Message : Link.m_Held)
      returnUnsent(Link.m_Node, Id, Message);
    m_Counters.m_LinksLost.fetch_add(1, std::memory_order_relaxed);
    std::vector<std::uint64_t> &Links = m_LinksOfNode[Link.m_Node];
    Links.erase(std::remove(Links.begin(), Links.end(), Id), Links.end());
    if (Links.empty())
      m_LinksOfNode.erase(Link.m_Node);
    logEvent(
        Event::PeerLinkLost,
        {{"node", Link.m_Node.m_Value}, {"url", Link.m_Url}, {"why", Why}});
    m_OnEvent(
        {PeerEvent::Kind::Down, Link.m_Node, Id, PeerMessage(), Link.m_Url});
  }
  if (!Link.m_Url.empty())
    dialAgain(Link.m_Url, WasUp);
}

void PeerLinks::drop(std::uint64_t Id, const std::string &Why) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  PeerConnection::ptr Connection = Found->second.m_Connection;
  bool Open = Found->second.m_Open;
  onEnded(Id, Why);
  // A connection that is not open yet ends by its handshake timeout.
  if (Open)
    terminateNow(*Connection);
}

void PeerLinks::onFrame(std::uint64_t Id,
                        const PeerServer::message_ptr &Frame) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  PeerLink &Link = Found->second;
  noteReceived(Link.m_Liveness, monotonicNow());
  const std::string &Payload = Frame->get_payload();
  std::size_t Size = frameBytes(Payload.size(), Link.m_Url.empty());
  m_Counters.m_FramesReceived.fetch_add(1, std::memory_order_relaxed);
  m_Counters.m_BytesReceived.fetch_add(Size, std::memory_order_relaxed);
  UnreadMessages Unread;
  Result<std::vector<PeerMessage>> Decoded = decodeFrame(Payload, Unread);
  if (!Decoded)
    return onMalformed(Link, Decoded.error().m_Text);
  if (Unread.m_Count > 0) {
    // Without a hello that can be read the other end is not known.
    if (Link.m_Node.empty())
      return onMalformed(Link, Unread.m_Why);
    onUnread(Link, Unread);
  }
  if (Decoded.value().empty())
    return releaseHeld(Id);
  if (isControlMessage(Decoded.value().front()))
    m_Counters.m_ControlBytesReceived.fetch_add(Size,
                                                std::memory_order_relaxed);
  bool Probed = false;
  for (PeerMessage &Message : Decoded.value()) {
    if (Link.m_Node.empty()) {
      if (!onHello(Link, Message))
        return;
    } else if (const Heartbeat *Beat = std::get_if<Heartbeat>(&Message)) {
      Probed = Probed || Beat->m_Probe;
      if (m_Options.m_ReportsHeartbeats && !Link.m_Url.empty())
        m_OnEvent({PeerEvent::Kind::Heard, Link.m_Node, Id, PeerMessage(),
                   Link.m_Url});
    } else {
      m_OnEvent({PeerEvent::Kind::Message, Link.m_Node, Id, std::move(Message),
                 Link.m_Url, monotonicNow()});
    }
  }
  if (Probed) {
    append(Link, Heartbeat());
    if (!flush(Link))
      return;
  }
  releaseHeld(Id);
}

void PeerLinks::onMalformed(PeerLink &Link, const std::string &Why) {
  m_Counters.m_MalformedFrames.fetch_add(1, std::memory_order_relaxed);
  if (!Link.m_MalformedLogged)
    logEvent(Event::PeerFrameMalformed,
             {{"node", Link.m_Node.m_Value}, {"why", Why}});
  Link.m_MalformedLogged = true;
  if (Link.m_Node.empty())
    drop(Link.m_Id, "malformed hello");
}

void PeerLinks::onUnread(const PeerLink &Link, const UnreadMessages &Unread) {
  m_Counters.m_MessagesUnread.fetch_add(Unread.m_Count,
                                        std::memory_order_relaxed);
  m_UnreadSince += Unread.m_Count;
  Millis Now = monotonicNow();
  if (Now < m_NextUnreadLine)
    return;
  logEvent(Event::PeerMessagesUnread, {{"node", Link.m_Node.m_Value},
                                       {"why", Unread.m_Why},
                                       {"messages", m_UnreadSince}});
  m_NextUnreadLine = Now + UnreadLineInterval;
  m_UnreadSince = 0;
}

bool PeerLinks::onHello(PeerLink &Link, const PeerMessage &Message) {
  const Hello *Greeting = std::get_if<Hello>(&Message);
  if (!Greeting || Greeting->m_Protocol != ProtocolVersion ||
      Greeting->m_Node.empty()) {
    logEvent(Event::PeerHelloRefused, {{"url", Link.m_Url}});
    drop(Link.m_Id, "no valid hello");
    return false;
  }
  Link.m_Node = Greeting->m_Node;
  Link.m_Level = Greeting->m_Level;
  Link.m_Liveness.m_Quiet = m_Options.m_Role == NodeRole::Router &&
                            Greeting->m_Role == NodeRole::Router;
  m_LinksOfNode[Link.m_Node].push_back(Link.m_Id);
  auto Dial = m_Dials.find(Link.m_Url);
  if (Dial != m_Dials.end())
    Dial->second.m_Failures = 0;
  logEvent(
      Event::PeerLinkUp,
      {{"node", Link.m_Node.m_Value},
       {"role", Greeting->m_Role == NodeRole::Keeper ? "keeper" : "router"},
       {"level", Greeting->m_Level.m_Value},
       {"url", Link.m_Url}});
  m_OnEvent({PeerEvent::Kind::Up, Link.m_Node, Link.m_Id, Message, Link.m_Url});
  return true;
}

PeerLink *PeerLinks::linkOf(const OutgoingMessage &Message) {
  std::uint64_t Id = 0;
  if (!Message.m_Url.empty()) {
    auto Dial = m_Dials.find(Message.m_Url);
    Id = Dial == m_Dials.end() ? 0 : Dial->second.m_Link;
  } else {
    auto Links = m_LinksOfNode.find(Message.m_To);
    Id = Links == m_LinksOfNode.end() ? 0 : Links->second.back();
  }
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end() || !Found->second.m_Open)
    return nullptr;
  return &Found->second;
}

void PeerLinks::sendAll(std::vector<OutgoingMessage> Messages) {
  std::vector<std::uint64_t> Touched;
  for (OutgoingMessage &Message : Messages) {
    PeerLink *Link = linkOf(Message);
    if (!Link) {
      returnUnsent(Message.m_To, 0, Message.m_Message);
      continue;
    }
    if (hold(*Link, Message.m_Message))
      continue;
    if (!mayAppend(*Link, Message.m_Message))
      continue;
    bool Control = isControlMessage(Message.m_Message);
    if (Link->m_BatchCount > 0 &&
        (Link->m_BatchControl != Control ||
         Link->m_BatchCount == MaxMessagesPerFrame ||
         Link->m_Batch.size() > BatchBytes) &&
        !flush(*Link))
      continue;
    if (Link->m_BatchCount == 0)
      Touched.push_back(Link->m_Id);
    Link->m_BatchControl = Control;
    append(*Link, Message.m_Message);
    if (featureLevelOf(Message.m_Message) > Link->m_Level)
      flush(*Link);
  }
  for (std::uint64_t Id : Touched) {
    auto Found = m_Links.find(Id);
    if (Found != m_Links.end())
      flush(Found->second);
  }
}

bool PeerLinks::mayAppend(PeerLink &Link, const PeerMessage &Message) {
  if (featureLevelOf(Message) <= Link.m_Level)
    return true;
  if (precedesLevels(Message))
    return flush(Link);
  m_Counters.m_MessagesWithheld.fetch_add(1, std::memory_order_relaxed);
  return false;
}

void PeerLinks::append(PeerLink &Link, const PeerMessage &Message) {
  Link.m_BatchControl = isControlMessage(Message);
  appendMessage(Link.m_Batch, Message);
  ++Link.m_BatchCount;
}

bool PeerLinks::flush(PeerLink &Link) {
  if (Link.m_BatchCount == 0)
    return true;
  std::string Frame;
  if (Link.m_BatchCount > 1) {
    Frame.reserve(Link.m_Batch.size() + 2);
    appendFrameHead(Frame, Link.m_BatchCount);
    Frame += Link.m_Batch;
  } else {
    Frame.swap(Link.m_Batch);
  }
  Link.m_Batch.clear();
  Link.m_BatchCount = 0;
  if (Frame.size() > static_cast<std::size_t>(m_Options.m_MaxFrame.m_Value)) {
    logEvent(Event::PeerFrameTooLarge,
             {{"node", Link.m_Node.m_Value},
              {"bytes", static_cast<std::uint64_t>(Frame.size())}});
    return true;
  }
  std::size_t Buffered = Link.m_Connection->get_buffered_amount();
  if (Buffered > 0 &&
      Buffered + Frame.size() >
          static_cast<std::size_t>(m_Options.m_MaxBuffered.m_Value)) {
    logEvent(Event::PeerLinkOverloaded,
             {{"node", Link.m_Node.m_Value},
              {"bytes", static_cast<std::uint64_t>(Buffered)}});
    drop(Link.m_Id, "overloaded");
    return false;
  }
  if (Link.m_Connection->send(Frame, websocketpp::frame::opcode::binary)) {
    drop(Link.m_Id, "send failed");
    return false;
  }
  noteSent(Link.m_Liveness, monotonicNow());
  std::size_t Size = frameBytes(Frame.size(), !Link.m_Url.empty());
  m_Counters.m_FramesSent.fetch_add(1, std::memory_order_relaxed);
  m_Counters.m_BytesSent.fetch_add(Size, std::memory_order_relaxed);
  if (Link.m_BatchControl)
    m_Counters.m_ControlBytesSent.fetch_add(Size, std::memory_order_relaxed);
  return true;
}

} // namespace vanillaferry::internal
