#include "connection/operator_http.hpp"

#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

constexpr const char *TooLargeBody =
    "{\"error\":\"body_too_large\",\"message\":\"the body is larger than this "
    "keeper accepts\"}\n";

void markGone(SoupServerMessage *, gpointer Flag) {
  *static_cast<bool *>(Flag) = true;
}

void refuseLargeBody(SoupServerMessage *Message) {
  soup_server_message_set_status(Message, 413, nullptr);
  soup_server_message_set_response(Message, "application/json",
                                   SOUP_MEMORY_STATIC, TooLargeBody,
                                   strlen(TooLargeBody));
  soup_message_headers_append(soup_server_message_get_response_headers(Message),
                              "Connection", "close");
}

} // namespace

HttpExchange::HttpExchange(SoupServerMessage *Message)
    : m_Message(SOUP_SERVER_MESSAGE(g_object_ref(Message))),
      m_Method(soup_server_message_get_method(Message)),
      m_Path(g_uri_get_path(soup_server_message_get_uri(Message))) {
  m_GoneHandler =
      g_signal_connect(m_Message, "finished", G_CALLBACK(&markGone), &m_Gone);
}

HttpExchange::~HttpExchange() {
  if (!m_Answered)
    answerText(500, "no answer\n");
  g_signal_handler_disconnect(m_Message, m_GoneHandler);
  g_object_unref(m_Message);
}

std::string HttpExchange::header(const char *Name) const {
  const char *Value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(m_Message), Name);
  return Value ? Value : "";
}

std::string HttpExchange::query(const char *Name) const {
  const char *Query = g_uri_get_query(soup_server_message_get_uri(m_Message));
  if (!Query)
    return std::string();
  GHashTable *Fields = soup_form_decode(Query);
  const char *Value =
      static_cast<const char *>(g_hash_table_lookup(Fields, Name));
  std::string Copy = Value ? Value : "";
  g_hash_table_destroy(Fields);
  return Copy;
}

std::string HttpExchange::body() const {
  GBytes *Data = soup_message_body_flatten(
      soup_server_message_get_request_body(m_Message));
  gsize Size = 0;
  const char *Text = static_cast<const char *>(g_bytes_get_data(Data, &Size));
  std::string Copy = Text ? std::string(Text, Size) : std::string();
  g_bytes_unref(Data);
  return Copy;
}

void HttpExchange::setHeader(const char *Name, const std::string &Value) {
  if (!m_Gone && !m_Answered)
    soup_message_headers_replace(
        soup_server_message_get_response_headers(m_Message), Name,
        Value.c_str());
}

void HttpExchange::answer(int HttpStatus, const nlohmann::json &Body) {
  send(HttpStatus, "application/json",
       Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
           "\n");
}

void HttpExchange::answerText(int HttpStatus, const std::string &Text) {
  send(HttpStatus, "text/plain; charset=utf-8", Text);
}

void HttpExchange::answerJsonText(int HttpStatus, const std::string &Text) {
  send(HttpStatus, "application/json", Text);
}

void HttpExchange::send(int HttpStatus, const char *ContentType,
                        const std::string &Body) {
  if (m_Answered)
    return;
  m_Answered = true;
  if (m_Gone)
    return;
  soup_server_message_set_status(m_Message, static_cast<guint>(HttpStatus),
                                 nullptr);
  soup_server_message_set_response(m_Message, ContentType, SOUP_MEMORY_COPY,
                                   Body.data(), Body.size());
  soup_server_message_unpause(m_Message);
}

OperatorHttp::OperatorHttp(Bytes MaxBody, Handler OnRequest)
    : m_Server(soup_server_new("server-header", "vanillaferry", nullptr)),
      m_MaxBody(MaxBody), m_OnRequest(std::move(OnRequest)) {
  soup_server_add_early_handler(m_Server, nullptr, &OperatorHttp::onEarly, this,
                                nullptr);
  soup_server_add_handler(m_Server, nullptr, &OperatorHttp::onRequest, this,
                          nullptr);
}

OperatorHttp::~OperatorHttp() {
  soup_server_disconnect(m_Server);
  g_object_unref(m_Server);
}

Result<std::unique_ptr<OperatorHttp>>
OperatorHttp::listen(const ListenAddress &Address, Bytes MaxBody,
                     Handler OnRequest) {
  std::unique_ptr<OperatorHttp> Http(
      new OperatorHttp(MaxBody, std::move(OnRequest)));
  GSocketAddress *Local = g_inet_socket_address_new_from_string(
      Address.m_Address.c_str(), Address.m_Port);
  std::string Where = Address.m_Address + ":" + std::to_string(Address.m_Port);
  if (!Local)
    return makeError(ErrorCode::Io, "not an IP address: " + Where);
  GError *Fault = nullptr;
  gboolean Listening = soup_server_listen(Http->m_Server, Local,
                                          SoupServerListenOptions(0), &Fault);
  g_object_unref(Local);
  if (Listening)
    return Http;
  std::string Why = Fault ? Fault->message : "unknown";
  g_clear_error(&Fault);
  return makeError(ErrorCode::Io, "cannot listen on " + Where + ": " + Why);
}

void OperatorHttp::onEarly(SoupServer *, SoupServerMessage *Message,
                           const char *, GHashTable *, gpointer Data) {
  OperatorHttp *Self = static_cast<OperatorHttp *>(Data);
  goffset Length = soup_message_headers_get_content_length(
      soup_server_message_get_request_headers(Message));
  if (Length > Self->m_MaxBody.m_Value) {
    refuseLargeBody(Message);
    return;
  }
  g_signal_connect(Message, "got-chunk", G_CALLBACK(&OperatorHttp::onChunk),
                   Data);
}

void OperatorHttp::onChunk(SoupServerMessage *Message, GBytes *,
                           gpointer Data) {
  OperatorHttp *Self = static_cast<OperatorHttp *>(Data);
  SoupMessageBody *Body = soup_server_message_get_request_body(Message);
  // A chunked body announces no length: its sender is cut off.
  if (Body->length > Self->m_MaxBody.m_Value)
    if (GSocket *Socket = soup_server_message_get_socket(Message))
      g_socket_shutdown(Socket, TRUE, TRUE, nullptr);
}

void OperatorHttp::onRequest(SoupServer *, SoupServerMessage *Message,
                             const char *, GHashTable *, gpointer Data) {
  OperatorHttp *Self = static_cast<OperatorHttp *>(Data);
  if (soup_server_message_get_status(Message) == 413)
    return;
  soup_server_message_pause(Message);
  Self->m_OnRequest(std::make_shared<HttpExchange>(Message));
}

} // namespace vanillaferry
