#pragma once

#include "process/settings.hpp"
#include "vanillaferry/process/result.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace vanillaferry {

/// One request of an operator, answered now or later, on the main loop.
class HttpExchange {
public:
  explicit HttpExchange(SoupServerMessage *Message);
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  const std::string &method() const { return m_Method; }
  /// Path without the query.
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

  SoupServerMessage *m_Message;
  std::string m_Method;
  std::string m_Path;
  bool m_Answered = false;
  /// The operator closed the connection first.
  bool m_Gone = false;
  gulong m_GoneHandler = 0;
};

using ExchangePtr = std::shared_ptr<HttpExchange>;

/// HTTP/1.1 server for operators on the default main context.
class OperatorHttp {
public:
  using Handler = std::function<void(ExchangePtr)>;

  /// Requests with a larger body are refused with 413.
  static Result<std::unique_ptr<OperatorHttp>>
  listen(const ListenAddress &Address, Bytes MaxBody, Handler OnRequest);
  ~OperatorHttp();
  OperatorHttp(const OperatorHttp &) = delete;
  OperatorHttp &operator=(const OperatorHttp &) = delete;

private:
  OperatorHttp(Bytes MaxBody, Handler OnRequest);
  static void onEarly(SoupServer *Server, SoupServerMessage *Message,
                      const char *Path, GHashTable *Query, gpointer Data);
  static void onRequest(SoupServer *Server, SoupServerMessage *Message,
                        const char *Path, GHashTable *Query, gpointer Data);
  static void onChunk(SoupServerMessage *Message, GBytes *Chunk, gpointer Data);

  SoupServer *m_Server;
  Bytes m_MaxBody;
  Handler m_OnRequest;
};

} // namespace vanillaferry
