#include "connection/caller.hpp"

#include "connection/caller_connection.hpp"
#include "process/clock.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <strings.h>

namespace vanillaferry {

namespace {

HttpFields withRetryAfter(RefusalReason Reason, HttpFields Fields) {
  int Seconds = refusalRetryAfterSeconds(Reason);
  if (Seconds > 0)
    Fields.emplace_back("Retry-After", std::to_string(Seconds));
  return Fields;
}

bool isNamed(const std::pair<std::string, std::string> &Field,
             const char *Name) {
  return strcasecmp(Field.first.c_str(), Name) == 0;
}

/// Removes the fields that the connection writes itself; true when one asks to
/// close the connection.
bool takeFraming(HttpFields &Fields, bool HasContentType) {
  bool Close = false;
  HttpFields Kept;
  for (std::pair<std::string, std::string> &Field : Fields) {
    bool Connection = isNamed(Field, "Connection");
    Close =
        Close || (Connection && strcasecmp(Field.second.c_str(), "close") == 0);
    if (!Connection && !isNamed(Field, "Content-Length") &&
        !isNamed(Field, "Transfer-Encoding") && !isNamed(Field, "Keep-Alive") &&
        !(HasContentType && isNamed(Field, "Content-Type")))
      Kept.push_back(std::move(Field));
  }
  Fields = std::move(Kept);
  return Close;
}

} // namespace

RequestId newRequestId() {
  static const std::uint64_t Prefix = randomSeed();
  static std::uint64_t Next = 0;
  char Text[48];
  std::snprintf(Text, sizeof Text, "%016llx-%llx",
                static_cast<unsigned long long>(Prefix),
                static_cast<unsigned long long>(++Next));
  return RequestId(Text);
}

std::string refusalJson(const Refusal &Why, const RequestId &Id) {
  nlohmann::ordered_json Fault;
  Fault["reason"] = static_cast<int>(Why.m_Reason);
  Fault["name"] = refusalName(Why.m_Reason);
  Fault["message"] = Why.m_Message;
  if (Why.m_NotRun == NotRun::Unknown)
    Fault["not_run"] = "unknown";
  else
    Fault["not_run"] = Why.m_NotRun == NotRun::True;
  Fault["request_id"] = Id.m_Value;
  nlohmann::ordered_json Answer;
  Answer["error"] = Fault;
  return Answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Caller::Caller(std::shared_ptr<CallerConnection> Connection, RequestId Id)
    : m_Id(std::move(Id)), m_Connection(std::move(Connection)) {}

Caller::~Caller() = default;

std::size_t Caller::waiting() const {
  return m_Connection ? m_Connection->waiting() : 0;
}

void Caller::respond(int Status, const std::string &ContentType,
                     std::string Body, const HttpFields &Fields) {
  if (m_Done || m_Streaming || m_Answered || !m_Connection)
    return;
  m_Answered = true;
  HttpFields Sent = Fields;
  bool Close = takeFraming(Sent, !ContentType.empty());
  std::shared_ptr<CallerConnection> Connection = m_Connection;
  Connection->respond(Status, answerHead(Status, ContentType, m_Id, Sent),
                      std::move(Body), Close);
}

void Caller::refuse(const Refusal &Why, const HttpFields &Fields) {
  respond(refusalHttpStatus(Why.m_Reason), "application/json",
          refusalJson(Why, m_Id), withRetryAfter(Why.m_Reason, Fields));
}

bool Caller::startStream(const std::string &ContentType,
                         const HttpFields &Fields) {
  if (m_Done || m_Answered || m_Streaming || !m_Connection)
    return false;
  constexpr int Ok = 200;
  HttpFields Sent = Fields;
  takeFraming(Sent, true);
  Sent.emplace_back("Connection", "close");
  Sent.emplace_back("Cache-Control", "no-cache");
  m_Chunked = !m_Connection->http10();
  if (m_Chunked)
    Sent.emplace_back("Transfer-Encoding", "chunked");
  m_Streaming = m_Connection->startStream(
      answerHead(Ok, ContentType, m_Id, Sent) + "\r\n");
  return m_Streaming;
}

void Caller::append(const std::string &Data) {
  if (m_Done || !m_Streaming || m_Finishing || Data.empty())
    return;
  std::shared_ptr<CallerConnection> Connection = m_Connection;
  if (!m_Chunked)
    return Connection->append(Data);
  char Size[24];
  int Length = std::snprintf(Size, sizeof Size, "%zx\r\n", Data.size());
  std::string Chunk(Size, static_cast<std::size_t>(Length));
  Chunk += Data;
  Chunk += "\r\n";
  Connection->append(Chunk);
}

void Caller::finish() { endStream(true); }

void Caller::breakOff() { endStream(false); }

void Caller::endStream(bool Whole) {
  if (m_Done || !m_Streaming || m_Finishing)
    return;
  m_Finishing = true;
  std::shared_ptr<CallerConnection> Connection = m_Connection;
  Connection->endStream(Whole);
}

void Caller::drained() {
  // A copy, because the handler may end the exchange.
  std::function<void()> OnDrained = m_OnDrained;
  if (OnDrained && !m_Finishing)
    OnDrained();
}

void Caller::gone(bool Unanswered) {
  if (m_Done)
    return;
  std::shared_ptr<Caller> Self = shared_from_this();
  m_Done = true;
  std::function<void()> OnGone = std::move(m_OnGone);
  m_OnGone = nullptr;
  if (OnGone && Unanswered && !m_Answered && !m_Finishing)
    OnGone();
  ended();
}

void Caller::ended() {
  std::shared_ptr<Caller> Self = shared_from_this();
  std::function<void()> OnEnded = std::move(m_OnEnded);
  detach();
  if (OnEnded)
    OnEnded();
}

void Caller::detach() {
  m_Done = true;
  m_OnEnded = nullptr;
  m_OnGone = nullptr;
  m_OnDrained = nullptr;
  m_Connection.reset();
}

} // namespace vanillaferry
