#pragma once

#include "connection/http_front.hpp"
#include "process/settings.hpp"
#include "vanillaferry/process/result.hpp"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace vanillaferry {

/// One request of an operator, answered now or later, on the main loop.
class HttpExchange {
public:
  HttpExchange(std::shared_ptr<Caller> Sender, CallerRequest Request);
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  const std::string &method() const { return m_Request.m_Method; }
  /// Decoded path without the query.
  const std::string &path() const { return m_Path; }
  std::string header(const char *Name) const;
  std::string query(const char *Name) const;
  std::string body() const;

  void setHeader(const char *Name, const std::string &Value);
  /// Sends the answer; only the first call counts.
  void answer(int HttpStatus, const nlohmann::json &Body);
  void answerText(int HttpStatus, const std::string &Text);
  /// Sends JSON that was kept as text.
  void answerJsonText(int HttpStatus, const std::string &Text);

private:
  void send(int HttpStatus, const char *ContentType, const std::string &Body);

  std::shared_ptr<Caller> m_Caller;
  CallerRequest m_Request;
  std::string m_Path;
  HttpFields m_Fields;
  bool m_Answered = false;
};

using ExchangePtr = std::shared_ptr<HttpExchange>;

/// HTTP/1.1 server for operators on the default main context.
class OperatorHttp {
public:
  using Handler = std::function<void(ExchangePtr)>;

  /// Requests with a larger body are refused with 413.
  static Result<std::unique_ptr<OperatorHttp>>
  listen(const ListenAddress &Address, Bytes MaxBody, Handler OnRequest);
  OperatorHttp(const OperatorHttp &) = delete;
  OperatorHttp &operator=(const OperatorHttp &) = delete;

private:
  OperatorHttp() = default;

  std::shared_ptr<FdWatcher> m_Watcher = std::make_shared<FdWatcher>();
  std::unique_ptr<HttpFront> m_Front;
};

} // namespace vanillaferry
