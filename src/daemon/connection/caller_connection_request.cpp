#include "connection/caller_connection.hpp"
#include "process/clock.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <sys/socket.h>

namespace vanillaferry {

namespace {

constexpr std::size_t ReadBytes = 64 * 1024;
/// Requests that are sent ahead of their answers wait in the kernel; less is
/// read at once while none is under way.
constexpr std::size_t HeadReadBytes = 16 * 1024;
/// Reads of one connection in one round, so that others get their turn.
constexpr int ReadsPerRound = 4;
constexpr std::size_t MaxRequestIdLength = 128;
/// A buffer with more unused bytes than this is shrunk.
constexpr std::size_t MaxUnusedBytes = 1024;

/// A caller's own id is used when it is a short token, so that it cannot break
/// a header or a log line.
bool isUsableId(const std::string &Text) {
  if (Text.empty() || Text.size() > MaxRequestIdLength)
    return false;
  for (char Each : Text) {
    unsigned char C = static_cast<unsigned char>(Each);
    if (!(std::isalnum(C) || C == '-' || C == '_' || C == '.' || C == ':'))
      return false;
  }
  return true;
}

/// A body that counts as held until its last user lets go of it.
std::shared_ptr<const std::string> countedBody(std::string Text) {
  struct Counted {
    std::string m_Text;
    HeldBytes m_Held;
  };
  if (Text.empty())
    return nullptr;
  std::shared_ptr<Counted> Body = std::make_shared<Counted>();
  Body->m_Text = std::move(Text);
  Body->m_Held.set(allocatedFor(Body->m_Text));
  return std::shared_ptr<const std::string>(Body, &Body->m_Text);
}

} // namespace

void CallerConnection::receive() {
  static std::array<char, ReadBytes> Buffer;
  for (int Round = 0; Round < ReadsPerRound && isReading(); ++Round) {
    bool InBody = m_Reader && m_Reader->headRead();
    std::size_t Size = InBody ? Buffer.size() : HeadReadBytes;
    ssize_t Count = recv(m_Fd, Buffer.data(), Size, MSG_DONTWAIT);
    if (Count < 0 && (errno == EAGAIN || errno == EINTR))
      break;
    if (Count <= 0)
      return lost();
    m_In.append(Buffer.data(), static_cast<std::size_t>(Count));
    process();
    if (static_cast<std::size_t>(Count) < Size)
      break;
  }
}

void CallerConnection::process() {
  if (m_Processing || m_Phase == Phase::Closed)
    return;
  std::shared_ptr<CallerConnection> Self = shared_from_this();
  m_Processing = true;
  std::size_t Offset = 0;
  bool More = true;
  while (More && isReading() && Offset < m_In.size()) {
    if (!m_Reader)
      m_Reader = std::make_unique<RequestReader>(m_Front->m_Limits);
    ReadStep Step = m_Reader->read(m_In, Offset);
    if (m_Reader->begun() && m_Phase == Phase::Idle) {
      m_Phase = Phase::Reading;
      m_FirstByte = monotonicNow();
      m_WentOnAt = m_FirstByte;
      m_ArrivedMark = 0;
      m_BodyRoom = BodyRoom::None;
    }
    if (Step == ReadStep::Refused)
      refuse({m_Reader->fault(), NotRun::True, m_Reader->faultText()});
    else if (Step == ReadStep::Whole)
      dispatch();
    More = Step != ReadStep::NeedMore && Offset < m_In.size();
    if (!More && isReading() && m_Reader && m_Reader->headRead())
      awaitBody();
  }
  if (m_Phase == Phase::Reading)
    noteArrived();
  m_In.erase(0, Offset);
  if (!isReading() && m_Phase != Phase::Running && m_Phase != Phase::Answering)
    m_In.clear();
  if (m_In.capacity() - m_In.size() > MaxUnusedBytes)
    m_In.shrink_to_fit();
  m_Processing = false;
  account();
  rearm();
}

void CallerConnection::awaitBody() {
  Bytes Arrived(static_cast<std::int64_t>(m_Reader->body().size()));
  Bytes Size = std::max(m_Reader->head().m_BodyLength, Arrived);
  BodyRoom Wanted = Size > SmallBodyBytes ? BodyRoom::Large : BodyRoom::Small;
  if (m_BodyRoom >= Wanted)
    return;
  bool Begins = m_BodyRoom == BodyRoom::None;
  m_BodyRoom = Wanted;
  RoomFor For =
      Wanted == BodyRoom::Large ? RoomFor::LargeBody : RoomFor::SmallBody;
  if (!CallerPool::instance().takeRoom(For, this))
    return refuseForMemory();
  if (!Begins || Arrived > Bytes(0) || !m_Reader->head().m_ExpectsContinue)
    return;
  queue("HTTP/1.1 100 Continue\r\n\r\n");
  flush();
}

void CallerConnection::noteArrived() {
  bool InBody = m_Reader && m_Reader->headRead();
  std::size_t Arrived = InBody ? m_Reader->body().size() : m_In.size();
  // A body begins anew at 0.
  m_ArrivedMark = std::min(m_ArrivedMark, Arrived);
  if (Arrived - m_ArrivedMark < static_cast<std::size_t>(ProgressBytes.m_Value))
    return;
  m_ArrivedMark = Arrived;
  m_WentOnAt = monotonicNow();
}

RequestId CallerConnection::requestId() const {
  if (m_Reader) {
    std::map<std::string, std::string> &Fields = m_Reader->head().m_Fields;
    std::map<std::string, std::string>::iterator Found =
        Fields.find("x-request-id");
    if (Found != Fields.end() && isUsableId(Found->second))
      return RequestId(Found->second);
  }
  return newRequestId();
}

void CallerConnection::dispatch() {
  bool IsOperators =
      kind() == CallerKind::Operator && m_BodyRoom != BodyRoom::Large;
  RoomFor For = IsOperators ? RoomFor::OperatorRequest : RoomFor::WholeRequest;
  if (!CallerPool::instance().takeRoom(For, this))
    return refuseForMemory();
  RequestHead &Head = m_Reader->head();
  CallerRequest Request;
  Request.m_Id = requestId();
  m_KeepAlive = Head.m_KeepAlive;
  m_Http10 = Head.m_Http10;
  m_IsHead = Head.m_Method == "HEAD";
  Request.m_Method = std::move(Head.m_Method);
  Request.m_Path = std::move(Head.m_Path);
  Request.m_Query = std::move(Head.m_Query);
  Request.m_HasQuery = Head.m_HasQuery;
  Request.m_Fields = std::move(Head.m_Fields);
  std::string Body = std::move(m_Reader->body());
  m_Reader.reset();
  m_Phase = Phase::Running;
  m_Caller = std::make_shared<Caller>(shared_from_this(), Request.m_Id);
  account();
  Request.m_HeldFields =
      std::make_shared<HeldBytes>(allocatedFor(Request.m_Fields));
  Request.m_Body = SharedBody(countedBody(std::move(Body)));
  rearm();
  std::shared_ptr<FrontState> Front = m_Front;
  if (Front->m_OnRequest)
    Front->m_OnRequest(m_Caller, std::move(Request));
}

void CallerConnection::refuseForMemory() {
  ++CallerPool::instance().m_Counts.m_BodiesRefused;
  CallerPool::instance().noteRefused();
  refuse({RefusalReason::QueueFull, NotRun::True,
          "too many bytes are held for callers"});
}

void CallerConnection::refuse(const Refusal &Why) {
  if (!isReading())
    return;
  std::shared_ptr<CallerConnection> Self = shared_from_this();
  RequestId Id = requestId();
  std::shared_ptr<FrontState> Front = m_Front;
  if (Front->m_OnRefusal)
    Front->m_OnRefusal(Why.m_Reason);
  HttpFields Fields = {{"Connection", "close"}};
  int Seconds = refusalRetryAfterSeconds(Why.m_Reason);
  if (Seconds > 0)
    Fields.emplace_back("Retry-After", std::to_string(Seconds));
  std::string Body = Front->m_RefusalText ? Front->m_RefusalText(Why, Id)
                                          : refusalJson(Why, Id);
  m_Phase = Phase::Ending;
  m_Reader.reset();
  if (!m_Processing)
    std::string().swap(m_In);
  queue(answerHead(refusalHttpStatus(Why.m_Reason), "application/json", Id,
                   Fields) +
        "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body);
  flush();
}

void CallerConnection::discard() {
  static std::array<char, ReadBytes> Buffer;
  for (int Round = 0; Round < ReadsPerRound; ++Round) {
    ssize_t Count = recv(m_Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Count < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    if (Count <= 0)
      return close();
  }
}

} // namespace vanillaferry
