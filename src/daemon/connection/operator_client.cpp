#include "connection/operator_client.hpp"

#include "process/clock.hpp"

#include <algorithm>
#include <libsoup/soup.h>

namespace vanillaferry {

namespace {

constexpr Millis RoundPause{200};
/// A try at one keeper; an edit's answer may wait 6 s for slow routers.
constexpr Millis TryLimit{10000};
constexpr int MaxRedirects = 3;

std::string hostOf(const std::string &Location, const std::string &Path) {
  std::size_t At = Location.rfind(Path);
  return At == std::string::npos ? std::string() : Location.substr(0, At);
}

SoupMessage *makeMessage(const std::string &BaseUrl, const std::string &Token,
                         const OperatorRequest &Request) {
  SoupMessage *Message = soup_message_new(Request.m_Method.c_str(),
                                          (BaseUrl + Request.m_Path).c_str());
  if (!Message)
    return nullptr;
  soup_message_set_flags(Message, SOUP_MESSAGE_NO_REDIRECT);
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message);
  if (!Token.empty())
    soup_message_headers_append(Headers, "Authorization",
                                ("Bearer " + Token).c_str());
  for (const std::pair<std::string, std::string> &Field : Request.m_Headers)
    soup_message_headers_append(Headers, Field.first.c_str(),
                                Field.second.c_str());
  if (!Request.m_Body.empty()) {
    GBytes *Body = g_bytes_new(Request.m_Body.data(), Request.m_Body.size());
    soup_message_set_request_body_from_bytes(Message, "application/json", Body);
    g_bytes_unref(Body);
  }
  return Message;
}

/// True when the request cannot have reached the keeper.
bool neverSent(const GError *Fault) {
  return g_error_matches(Fault, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
         g_error_matches(Fault, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
         g_error_matches(Fault, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE);
}

/// Tries one keeper and the leader that it names.
OperatorReply callFollowing(const std::string &BaseUrl,
                            const OperatorCliSettings &Settings,
                            const OperatorRequest &Request, Millis Limit) {
  std::string Path = Request.m_Path.substr(0, Request.m_Path.find('?'));
  std::string Url = BaseUrl;
  OperatorReply Reply;
  bool Lost = false;
  for (int Try = 0; Try <= MaxRedirects; ++Try) {
    Reply = callUrl(Url, Settings.m_Token, Request, Limit);
    Lost = Lost || Reply.m_AnswerLost;
    Reply.m_AnswerLost = Lost;
    if (Reply.m_HttpStatus != 307)
      break;
    Url = hostOf(Reply.m_Location, Path);
  }
  return Reply;
}

} // namespace

OperatorReply callUrl(const std::string &BaseUrl, const std::string &Token,
                      const OperatorRequest &Request, Millis Limit) {
  OperatorReply Reply;
  SoupMessage *Message = makeMessage(BaseUrl, Token, Request);
  if (!Message) {
    Reply.m_Fault = "not a URL: " + BaseUrl + Request.m_Path;
    return Reply;
  }
  SoupSession *Session = soup_session_new();
  guint Seconds =
      static_cast<guint>(std::max<std::int64_t>(1, Limit.m_Value / 1000));
  soup_session_set_timeout(Session, Seconds);
  GError *Fault = nullptr;
  GBytes *Body = soup_session_send_and_read(Session, Message, nullptr, &Fault);
  if (Body) {
    gsize Size = 0;
    const char *Text = static_cast<const char *>(g_bytes_get_data(Body, &Size));
    std::string Copy = Text ? std::string(Text, Size) : std::string();
    Reply.m_HttpStatus = static_cast<int>(soup_message_get_status(Message));
    Reply.m_Body = nlohmann::json::parse(Copy, nullptr, false);
    if (Reply.m_Body.is_discarded())
      Reply.m_Body = Copy;
    const char *Location = soup_message_headers_get_one(
        soup_message_get_response_headers(Message), "Location");
    Reply.m_Location = Location ? Location : "";
    g_bytes_unref(Body);
  } else {
    Reply.m_Fault = BaseUrl + ": " + (Fault ? Fault->message : "no answer");
    Reply.m_AnswerLost = !neverSent(Fault);
    g_clear_error(&Fault);
  }
  g_object_unref(Message);
  g_object_unref(Session);
  return Reply;
}

OperatorReply callKeepers(const OperatorCliSettings &Settings,
                          const OperatorRequest &Request, Millis Limit) {
  Millis End = monotonicNow() + Limit;
  OperatorReply Last;
  bool Lost = false;
  while (true) {
    for (const std::string &Keeper : Settings.m_Keepers) {
      Millis Left = End - monotonicNow();
      if (Left <= Millis(0))
        break;
      Last = callFollowing(Keeper, Settings, Request, std::min(Left, TryLimit));
      // 503 tells that no leader is known or that the outcome is open.
      Lost = Lost || Last.m_AnswerLost || Last.m_HttpStatus == 503;
      Last.m_AnswerLost = Lost;
      bool Answered = Last.m_HttpStatus != 0 && Last.m_HttpStatus != 503 &&
                      Last.m_HttpStatus != 307;
      if (Answered)
        return Last;
    }
    if (monotonicNow() + RoundPause >= End)
      break;
    g_usleep(static_cast<gulong>(RoundPause.m_Value) * 1000);
  }
  if (Last.m_HttpStatus != 0)
    Last.m_Fault = Last.m_Body.dump();
  Last.m_HttpStatus = 0;
  return Last;
}

} // namespace vanillaferry
