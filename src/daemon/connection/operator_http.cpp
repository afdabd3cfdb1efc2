#include "connection/operator_http.hpp"

#include "connection/hop_by_hop.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <strings.h>

namespace vanillaferry {

namespace {

/// Operators' heads hold a token at most.
constexpr Bytes MaxOperatorHeader{16 * 1024};

/// The text with %XX decoded, or as it is when it cannot be.
std::string decoded(const std::string &Text) {
  char *Plain = g_uri_unescape_string(Text.c_str(), nullptr);
  std::string Copy = Plain ? Plain : Text;
  g_free(Plain);
  return Copy;
}

std::string refusalText(const Refusal &Why, const RequestId &) {
  nlohmann::ordered_json Text;
  Text["error"] = refusalName(Why.m_Reason);
  Text["message"] = Why.m_Message;
  return Text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

} // namespace

HttpExchange::HttpExchange(std::shared_ptr<Caller> Sender,
                           CallerRequest Request)
    : m_Caller(std::move(Sender)), m_Request(std::move(Request)),
      m_Path(decoded(m_Request.m_Path)) {
  m_Fields.emplace_back("Server", "vanillaferry");
}

HttpExchange::~HttpExchange() {
  if (!m_Answered)
    answerText(500, "no answer\n");
}

std::string HttpExchange::header(const char *Name) const {
  std::map<std::string, std::string>::const_iterator Found =
      m_Request.m_Fields.find(lowerCase(Name));
  return Found == m_Request.m_Fields.end() ? std::string() : Found->second;
}

std::string HttpExchange::query(const char *Name) const {
  std::string Rest = m_Request.m_Query;
  while (!Rest.empty()) {
    std::string Part = Rest.substr(0, Rest.find('&'));
    Rest.erase(0, Part.size() + 1);
    std::replace(Part.begin(), Part.end(), '+', ' ');
    std::size_t Equal = Part.find('=');
    if (Equal != std::string::npos && decoded(Part.substr(0, Equal)) == Name)
      return decoded(Part.substr(Equal + 1));
  }
  return std::string();
}

std::string HttpExchange::body() const { return m_Request.m_Body.text(); }

void HttpExchange::setHeader(const char *Name, const std::string &Value) {
  m_Fields.erase(
      std::remove_if(m_Fields.begin(), m_Fields.end(),
                     [Name](const std::pair<std::string, std::string> &Field) {
                       return strcasecmp(Field.first.c_str(), Name) == 0;
                     }),
      m_Fields.end());
  m_Fields.emplace_back(Name, Value);
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
  m_Caller->respond(HttpStatus, ContentType, Body, m_Fields);
}

Result<std::unique_ptr<OperatorHttp>>
OperatorHttp::listen(const ListenAddress &Address, Bytes MaxBody,
                     Handler OnRequest) {
  std::unique_ptr<OperatorHttp> Http(new OperatorHttp);
  Result<std::unique_ptr<HttpFront>> Front = HttpFront::start(
      Address, *Http->m_Watcher,
      [OnRequest = std::move(OnRequest)](std::shared_ptr<Caller> Sender,
                                         CallerRequest Request) {
        // Operators get no request id.
        Sender->m_Id = RequestId();
        OnRequest(std::make_shared<HttpExchange>(std::move(Sender),
                                                 std::move(Request)));
      },
      nullptr, CallerKind::Operator);
  if (!Front)
    return Front.error();
  Http->m_Front = std::move(Front.value());
  HttpLimits Limits;
  Limits.m_MaxHeader = MaxOperatorHeader;
  Limits.m_MaxBody = MaxBody;
  Http->m_Front->setLimits(Limits);
  Http->m_Front->setRefusalText(&refusalText);
  return Http;
}

} // namespace vanillaferry
