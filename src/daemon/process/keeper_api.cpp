#include "process/internal/keeper_api.hpp"
#include "process/command_line.hpp"
#include "process/log.hpp"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace vanillaferry::internal {

namespace {

using nlohmann::json;

/// Section "accounts" takes about 4 MB with 18,000 accounts, the target size.
/// All sections must fit into one grant (PeerOptions::m_MaxFrame).
constexpr Bytes MaxEditBody{8LL * 1024 * 1024};
constexpr std::size_t HexSha256Length = 64;

std::string sha256Of(const std::string &Text) {
  unsigned char Digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest);
  static const char Digits[] = "0123456789abcdef";
  std::string Hex;
  for (unsigned char Byte : Digest) {
    Hex.push_back(Digits[Byte >> 4]);
    Hex.push_back(Digits[Byte & 15]);
  }
  return Hex;
}

/// Compares with every operator in constant time, so that the response time
/// does not reveal how much of a hash matches.
const OperatorSettings *findOperator(const Keeper &Self,
                                     const HttpExchange &Exchange) {
  const std::string Prefix = "Bearer ";
  std::string Field = Exchange.header("Authorization");
  if (Field.rfind(Prefix, 0) != 0)
    return nullptr;
  std::string Hash = sha256Of(Field.substr(Prefix.size()));
  const OperatorSettings *Found = nullptr;
  for (const OperatorSettings &Known : Self.m_Settings.m_Operators)
    if (Known.m_TokenSha256.size() == HexSha256Length &&
        CRYPTO_memcmp(Known.m_TokenSha256.data(), Hash.data(),
                      HexSha256Length) == 0)
      Found = &Known;
  return Found;
}

bool owns(const OperatorSettings &Operator, const std::string &Section) {
  for (const std::string &Owned : Operator.m_Sections)
    if (Owned == "*" || Owned == Section)
      return true;
  return false;
}

bool ownsAll(const OperatorSettings &Operator) { return owns(Operator, "*"); }

std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Parts;
  std::size_t From = 1;
  while (From < Path.size()) {
    std::size_t To = Path.find('/', From);
    if (To == std::string::npos)
      To = Path.size();
    Parts.push_back(Path.substr(From, To - From));
    From = To + 1;
  }
  return Parts;
}

/// An operator's request with the parts of its path.
struct ApiRequest {
  Keeper &m_Self;
  const ExchangePtr &m_Exchange;
  const OperatorSettings &m_Operator;
  std::string m_Method;
  std::vector<std::string> m_Parts;

  bool is(const char *Method, std::size_t Parts) const {
    return m_Method == Method && m_Parts.size() == Parts;
  }
};

void refuse(const ApiRequest &Request, const char *Why) {
  logEvent(Event::KeeperOperatorRefused,
           {{"operator", Request.m_Operator.m_Operator.m_Value},
            {"path", Request.m_Exchange->path()},
            {"why", Why}});
  addCounter(Request.m_Self.m_Metrics,
             "vanillaferry_operator_requests_refused_total");
  answerError(*Request.m_Exchange, 403, "forbidden", Why);
}

bool handleDocumentRequest(const ApiRequest &Request) {
  if (Request.is("GET", 1))
    getDocument(Request.m_Self, Request.m_Exchange);
  else if (Request.is("GET", 2))
    getSection(Request.m_Self, Request.m_Exchange, Request.m_Parts[1]);
  else if (Request.is("GET", 3) && Request.m_Parts[2] == "history")
    getHistory(Request.m_Self, Request.m_Exchange, Request.m_Parts[1]);
  else if (!Request.is("PUT", 2))
    return false;
  else if (!owns(Request.m_Operator, Request.m_Parts[1]))
    refuse(Request, "the operator's roles do not own this section");
  else
    putSection(Request.m_Self, Request.m_Exchange, Request.m_Parts[1],
               Request.m_Operator.m_Operator);
  return true;
}

bool handleOrderRequest(const ApiRequest &Request) {
  if (Request.is("POST", 1))
    postOrder(Request.m_Self, Request.m_Exchange, Request.m_Operator);
  else if (Request.is("GET", 1))
    getOrders(Request.m_Self, Request.m_Exchange);
  else if (Request.is("GET", 2))
    getOrder(Request.m_Self, Request.m_Exchange, Request.m_Parts[1]);
  else
    return false;
  return true;
}

bool handleAdminRequest(const ApiRequest &Request) {
  bool Add = Request.m_Parts[0] == "keepers" && Request.is("POST", 1);
  bool Promote = Request.m_Parts[0] == "keepers" && Request.is("POST", 3) &&
                 Request.m_Parts[2] == "promote";
  bool Remove = Request.m_Parts[0] == "keepers" && Request.is("DELETE", 2);
  bool Drain = Request.m_Parts[0] == "routers" && Request.is("POST", 3) &&
               Request.m_Parts[2] == "drain";
  if (!Add && !Promote && !Remove && !Drain)
    return false;
  if (!ownsAll(Request.m_Operator))
    refuse(Request,
           "only operators of all sections may change keepers and routers");
  else if (Add)
    addKeeper(Request.m_Self, Request.m_Exchange);
  else if (Promote)
    promoteKeeper(Request.m_Self, Request.m_Exchange, Request.m_Parts[1]);
  else if (Remove)
    deleteKeeper(Request.m_Self, Request.m_Exchange, Request.m_Parts[1]);
  else
    drainRouter(Request.m_Self, Request.m_Exchange, Request.m_Parts[1]);
  return true;
}

bool handleQuarantineRequest(const ApiRequest &Request) {
  if (Request.is("GET", 1))
    getQuarantine(Request.m_Self, Request.m_Exchange);
  else if (!Request.is("DELETE", 2))
    return false;
  else if (!ownsAll(Request.m_Operator))
    refuse(Request, "only operators of all sections may release prompt parts");
  else
    deleteQuarantine(Request.m_Self, Request.m_Exchange, Request.m_Parts[1]);
  return true;
}

bool handleRolloutRequest(const ApiRequest &Request) {
  if (Request.is("GET", 2))
    getRollout(Request.m_Self, Request.m_Exchange, Request.m_Parts[1]);
  else if (!Request.is("POST", 1))
    return false;
  else if (!ownsAll(Request.m_Operator))
    refuse(Request, "only operators of all sections may order rollouts");
  else
    postRollout(Request.m_Self, Request.m_Exchange);
  return true;
}

bool handleRequest(const ApiRequest &Request) {
  if (Request.m_Parts.empty())
    return false;
  const std::string &First = Request.m_Parts[0];
  if (First == "document")
    return handleDocumentRequest(Request);
  if (First == "orders")
    return handleOrderRequest(Request);
  if (First == "quarantine")
    return handleQuarantineRequest(Request);
  if (First == "rollouts")
    return handleRolloutRequest(Request);
  if (First == "status" && Request.is("GET", 1)) {
    getStatus(Request.m_Self, Request.m_Exchange);
    return true;
  }
  if (First == "in-force" && Request.is("GET", 2)) {
    getInForce(Request.m_Self, Request.m_Exchange, Request.m_Parts[1]);
    return true;
  }
  return handleAdminRequest(Request);
}

/// Health and metrics need no token: the platform's checks read them.
bool handlePublicRequest(Keeper &Self, const ExchangePtr &Exchange) {
  if (Exchange->method() != "GET")
    return false;
  if (Exchange->path() == "/healthz")
    Exchange->answerText(200, "ok\n");
  else if (Exchange->path() == "/readyz")
    getReady(Self, Exchange);
  else if (Exchange->path() == "/metrics")
    getMetrics(Self, Exchange);
  else
    return false;
  return true;
}

/// Handles requests of the platform's operator, which carry no token: the
/// platform's control network restricts who can reach this address.
bool handlePlatformRequest(Keeper &Self, const ExchangePtr &Exchange) {
  if (!Self.m_Protocol || !Self.m_Settings.m_OpenManifest)
    return false;
  std::vector<std::string> Parts = splitPath(Exchange->path());
  const std::string &Method = Exchange->method();
  bool Zone = Parts.size() == 3 && Parts[0] == "zones" && Method == "POST";
  bool Refused = !Parts.empty() && Parts[0] == "quarantine";
  bool Moves = !Parts.empty() && Parts[0] == "rollouts";
  if (Parts == std::vector<std::string>{"manifest"} && Method == "PUT")
    putManifest(Self, Exchange);
  else if (Parts == std::vector<std::string>{"manifest"} && Method == "GET")
    getManifest(Self, Exchange);
  else if (Zone && (Parts[2] == "out" || Parts[2] == "in"))
    postZone(Self, Exchange, Parts[1], Parts[2] == "out");
  else if (Refused && Parts.size() == 1 && Method == "GET")
    getQuarantine(Self, Exchange);
  else if (Refused && Parts.size() == 2 && Method == "DELETE")
    deleteQuarantine(Self, Exchange, Parts[1]);
  else if (Moves && Parts.size() == 1 && Method == "POST")
    postRollout(Self, Exchange);
  else if (Moves && Parts.size() == 2 && Method == "GET")
    getRollout(Self, Exchange, Parts[1]);
  else
    return false;
  return true;
}

void onRequest(Keeper &Self, const ExchangePtr &Exchange) {
  if (handlePublicRequest(Self, Exchange) ||
      handlePlatformRequest(Self, Exchange))
    return;
  const OperatorSettings *Operator = findOperator(Self, *Exchange);
  if (!Operator) {
    logEvent(Event::KeeperOperatorRefused,
             {{"path", Exchange->path()}, {"why", "unknown token"}});
    addCounter(Self.m_Metrics, "vanillaferry_operator_requests_refused_total");
    Exchange->setHeader("WWW-Authenticate", "Bearer");
    answerError(*Exchange, 401, "unknown_token",
                "a valid operator's bearer token is needed");
    return;
  }
  ApiRequest Request{Self, Exchange, *Operator, Exchange->method(),
                     splitPath(Exchange->path())};
  if (!handleRequest(Request))
    answerError(*Exchange, 404, "not_found",
                "no such resource: " + Exchange->method() + " " +
                    Exchange->path());
}

} // namespace

Status startApi(Keeper &Self) {
  CallerPool::instance().configure(Self.m_Settings.m_Memory);
  Keeper *Raw = &Self;
  Result<std::unique_ptr<OperatorHttp>> Http = OperatorHttp::listen(
      Self.m_Settings.m_Http, MaxEditBody,
      [Raw](ExchangePtr Exchange) { onRequest(*Raw, Exchange); });
  if (!Http)
    return Http.error();
  Self.m_Http = std::move(Http.value());
  return boost::outcome_v2::success();
}

void stopApi(Keeper &Self) { Self.m_Http.reset(); }

void answerError(HttpExchange &Exchange, int HttpStatus, const char *Name,
                 const std::string &Message) {
  Exchange.answer(HttpStatus, {{"error", Name}, {"message", Message}});
}

void answerNotLeader(Keeper &Self, HttpExchange &Exchange) {
  KeeperId Leader = Self.m_Running ? Self.m_Replica.m_Leader : KeeperId();
  auto Known = Self.m_Connected.find(NodeId(Leader.m_Value));
  std::string Url =
      Known == Self.m_Connected.end() ? "" : Known->second.m_HttpUrl;
  json Body = {{"error", "not_leader"},
               {"message", Leader.empty() ? "no keeper is known to lead"
                                          : "another keeper leads"},
               {"leader", Leader.m_Value},
               {"leader_url", Url}};
  if (Url.empty() || Leader == Self.m_Formation.m_Keeper) {
    Exchange.setHeader("Retry-After", "1");
    Exchange.answer(503, Body);
    return;
  }
  std::string Query = Exchange.query("wait_ms");
  Exchange.setHeader("Location",
                     Url + Exchange.path() +
                         (Query.empty() ? "" : "?wait_ms=" + Query));
  Exchange.answer(307, Body);
}

void answerLeaderLost(Keeper &, HttpExchange &Exchange) {
  Exchange.setHeader("Retry-After", "1");
  answerError(Exchange, 503, "leadership_lost",
              "the keeper lost its leadership; whether the request took "
              "effect is not known, repeat it with the same edit id");
}

void afterConfirmedRead(Keeper &Self, ExchangePtr Exchange,
                        std::function<void()> Then) {
  if (!leads(Self)) {
    answerNotLeader(Self, *Exchange);
    return;
  }
  Keeper *Raw = &Self;
  confirmRead(Self, [Raw, Exchange, Then](bool Confirmed) {
    if (Confirmed)
      Then();
    else
      answerNotLeader(*Raw, *Exchange);
  });
}

} // namespace vanillaferry::internal
