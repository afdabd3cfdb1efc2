#include "request/entry.hpp"

#include "connection/caller_pool.hpp"
#include "connection/engine_adapter.hpp"
#include "connection/peer_metrics.hpp"
#include "connection/peer_task.hpp"
#include "process/clock.hpp"
#include "process/digest.hpp"
#include "process/router.hpp"
#include "process/sha256.hpp"
#include "request/idempotency_key.hpp"
#include "vanillaferry/request/request_content.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

constexpr const char *ServicesPrefix = "/services/";
constexpr std::size_t ServicesPrefixLength = 10;
constexpr std::size_t MaxChatIdLength = 256;

std::string fieldOf(const CallerRequest &Request, const char *Name) {
  auto Found = Request.m_Fields.find(Name);
  return Found == Request.m_Fields.end() ? std::string() : Found->second;
}

void refuseCaller(Router &R, Caller &Sender, RefusalReason Reason,
                  const std::string &Message) {
  countRefusal(R.m_Metrics, Reason);
  Sender.refuse({Reason, NotRun::True, Message});
}

/// Account of the request's API key; empty when no key matches. All keys are
/// compared, so that the time taken does not reveal which one matches.
AccountId authenticate(const Router &R, const CallerRequest &Request) {
  const std::string Scheme = "Bearer ";
  std::string Field = fieldOf(Request, "authorization");
  AccountId Account;
  if (Field.compare(0, Scheme.size(), Scheme) != 0)
    return Account;
  std::string Hash = sha256Hex(Field.substr(Scheme.size()));
  for (const AccountKey &Key : R.m_Document.m_Keys)
    if (equalConstantTime(Hash, Key.m_KeySha256))
      Account = Key.m_Account;
  return Account;
}

/// Time left from X-Deadline-Ms or the configured default; empty when the field
/// is malformed.
std::optional<Millis> timeLeftOf(const Router &R,
                                 const CallerRequest &Request) {
  std::string Text = fieldOf(Request, "x-deadline-ms");
  if (Text.empty())
    return R.m_Document.m_Settings.m_Limits.m_DefaultDeadline;
  std::int64_t Value = 0;
  std::from_chars_result Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() ||
      Value <= 0)
    return std::nullopt;
  return Millis(Value);
}

bool isSafeName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxChatIdLength &&
         std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return C > ' ' && C < 0x7f; });
}

/// Fills in the fields that chats and service calls share. Returns false after
/// a refusal.
bool fillCommon(Router &R, Session &S, const CallerRequest &Request,
                const AccountId &Account) {
  std::optional<Millis> TimeLeft = timeLeftOf(R, Request);
  if (!TimeLeft) {
    refuseCaller(R, *S.m_Caller, RefusalReason::MalformedRequest,
                 "X-Deadline-Ms is not a positive whole number");
    return false;
  }
  std::string Priority = fieldOf(Request, "x-priority");
  if (!Priority.empty() && Priority != "latency" && Priority != "batch") {
    refuseCaller(R, *S.m_Caller, RefusalReason::MalformedRequest,
                 "X-Priority is neither latency nor batch");
    return false;
  }
  S.m_ArrivedAt = monotonicNow();
  S.m_Deadline = S.m_ArrivedAt + *TimeLeft;
  S.m_Order.m_Request = newRequestId();
  S.m_Order.m_Account = Account;
  S.m_Order.m_Priority =
      Priority == "batch" ? Priority::Batch : Priority::Latency;
  S.m_Order.m_Method = Request.m_Method;
  S.m_Order.m_ContentType = fieldOf(Request, "content-type");
  S.m_Progress.m_Request = S.m_Order.m_Request;
  return true;
}

/// The request as a whole.
PromptPartId wholeId(const Forward &Order, const CallerRequest &Request) {
  std::string Url = Order.m_Pool.m_Value + Order.m_Path;
  return wholeRequest(
      {Order.m_Account, Order.m_Method, Url, Request.m_Body.text()});
}

void openSession(Router &R, const std::shared_ptr<Session> &S) {
  R.m_Sessions[S->m_Order.m_Request] = S;
  std::weak_ptr<Session> Weak = S;
  S->m_Caller->m_OnGone = [Weak] {
    if (std::shared_ptr<Session> Open = Weak.lock())
      abandonSession(Open);
  };
  admitSession(S);
}

void beginChat(Router &R, const std::shared_ptr<Caller> &Sender,
               CallerRequest &Request, const AccountId &Account) {
  Result<ChatBody> Parsed = parseChatBody(Request.m_Body.text());
  if (!Parsed) {
    refuseCaller(R, *Sender, RefusalReason::MalformedRequest,
                 Parsed.error().m_Text);
    return;
  }
  const ChatBody &Chat = Parsed.value();
  auto Model = R.m_Document.m_Models.find(Chat.m_Model);
  if (Model == R.m_Document.m_Models.end()) {
    refuseCaller(R, *Sender, RefusalReason::UnknownModel,
                 "no service runs this model");
    return;
  }
  std::string ChatName = fieldOf(Request, "x-chat-id");
  if (!ChatName.empty() && !isSafeName(ChatName)) {
    refuseCaller(R, *Sender, RefusalReason::MalformedRequest,
                 "X-Chat-Id is longer than 256 bytes or not printable");
    return;
  }
  std::shared_ptr<Session> S = std::make_shared<Session>(R);
  S->m_Caller = Sender;
  if (!fillCommon(R, *S, Request, Account))
    return;
  S->m_Order.m_Pool = Model->second;
  // Two accounts that use the same chat id must not share cached prompts.
  S->m_Order.m_Chat =
      ChatId(Account.m_Value + "/" +
             (ChatName.empty() ? Chat.m_FirstMessages.m_Value : ChatName));
  S->m_Order.m_PromptTokens = Chat.m_PromptTokens;
  S->m_Order.m_PromptParts =
      joinPartIds(judgedParts(wholeId(S->m_Order, Request), Chat.m_Parts));
  S->m_Order.m_PromptChat = hashOwnPart(Chat.m_Parts);
  S->m_Order.m_Stream = Chat.m_Stream;
  S->m_Order.m_Body = Request.m_Body.text();
  addCounter(R.m_Metrics, "vanillaferry_requests_total{kind=\"chat\"}");
  openSession(R, S);
}

/// Reads the key of a non-idempotent call. Returns false after a refusal.
bool fillJournal(Router &R, Session &S, const CallerRequest &Request) {
  IdempotencyKey Key(fieldOf(Request, "idempotency-key"));
  if (!isSafeName(Key.m_Value) || Key.m_Value.size() > MaxKeyLength) {
    refuseCaller(R, *S.m_Caller, RefusalReason::MissingIdempotencyKey,
                 "this method needs an Idempotency-Key of at most 128 "
                 "printable bytes; POST /v1/keys issues one");
    return false;
  }
  std::optional<UnixMillis> Issued = keyIssuedAt(Key);
  if (!Issued)
    Issued = parseIssuedField(fieldOf(Request, "idempotency-key-issued"));
  if (!Issued) {
    refuseCaller(
        R, *S.m_Caller, RefusalReason::MissingIdempotencyKey,
        "a key not issued by POST /v1/keys needs Idempotency-Key-Issued, "
        "its time of issue in Unix milliseconds");
    return false;
  }
  S.m_Journaled = true;
  S.m_Begin.m_Request = S.m_Order.m_Request;
  S.m_Begin.m_Account = S.m_Order.m_Account;
  S.m_Begin.m_Key = Key;
  S.m_Begin.m_BodyHash =
      sha256Hex(Request.m_Method + "\n" + Request.m_Path + "?" +
                Request.m_Query + "\n" + Request.m_Body.text());
  S.m_Begin.m_IssuedAt = *Issued;
  S.m_Begin.m_Node = R.m_Settings.m_Node;
  S.m_Begin.m_Incarnation = R.m_Incarnation;
  S.m_Order.m_Chat = ChatId(Key.m_Value);
  return true;
}

void beginServiceCall(Router &R, const std::shared_ptr<Caller> &Sender,
                      CallerRequest &Request, const AccountId &Account) {
  std::string Rest = Request.m_Path.substr(ServicesPrefixLength);
  std::size_t Slash = Rest.find('/');
  PoolId Pool(Rest.substr(0, Slash));
  auto Service = R.m_Document.m_Services.find(Pool);
  if (Service == R.m_Document.m_Services.end() ||
      Service->second.m_Kind != ServiceKind::Plain) {
    refuseCaller(R, *Sender, RefusalReason::UnknownService,
                 "no plain service has this name");
    return;
  }
  std::shared_ptr<Session> S = std::make_shared<Session>(R);
  S->m_Caller = Sender;
  S->m_Kind = ServiceKind::Plain;
  if (!fillCommon(R, *S, Request, Account))
    return;
  const std::vector<std::string> &Safe = Service->second.m_IdempotentMethods;
  S->m_Idempotent =
      std::find(Safe.begin(), Safe.end(), Request.m_Method) != Safe.end();
  S->m_Order.m_Pool = Pool;
  S->m_Order.m_Chat = ChatId(S->m_Order.m_Request.m_Value);
  if (!S->m_Idempotent && !fillJournal(R, *S, Request))
    return;
  S->m_Order.m_Path = Slash == std::string::npos ? "/" : Rest.substr(Slash);
  if (Request.m_HasQuery)
    S->m_Order.m_Path += "?" + Request.m_Query;
  S->m_Order.m_PromptParts =
      joinPartIds(judgedParts(wholeId(S->m_Order, Request), {}));
  S->m_Order.m_Body = Request.m_Body.text();
  addCounter(R.m_Metrics, "vanillaferry_requests_total{kind=\"service\"}");
  openSession(R, S);
}

void answerKey(Caller &Sender) {
  UnixMillis Now = wallNow();
  nlohmann::ordered_json Answer;
  Answer["key"] = issueKey(Now).m_Value;
  Answer["issued_unix_ms"] = Now.m_Value;
  Sender.respond(200, "application/json", Answer.dump(), {});
}

void setGauges(Router &R) {
  setGauge(R.m_Metrics, "vanillaferry_sessions",
           static_cast<double>(R.m_Sessions.size()));
  setGauge(R.m_Metrics, "vanillaferry_runs",
           static_cast<double>(R.m_Runs.size()));
  setGauge(R.m_Metrics, "vanillaferry_lease_held", holdsLease(R) ? 1 : 0);
  for (const std::pair<const PoolId, OwnerPool> &Row : R.m_OwnerPools) {
    setGauge(R.m_Metrics,
             "vanillaferry_owned_targets{pool=\"" + Row.first.m_Value + "\"}",
             static_cast<double>(Row.second.m_Targets.size()));
    for (const std::pair<const TargetId, OwnedTarget> &Target :
         Row.second.m_Targets)
      setGauge(R.m_Metrics,
               "vanillaferry_target_running{pool=\"" + Row.first.m_Value +
                   "\",target=\"" + Target.first.m_Value + "\"}",
               Target.second.m_State.m_Running);
  }
  for (const std::pair<const PoolId, PoolQueue> &Row : R.m_Queues)
    setGauge(R.m_Metrics,
             "vanillaferry_queue_length{pool=\"" + Row.first.m_Value + "\"}",
             static_cast<double>(Row.second.m_Queue.m_Size));
  if (!R.m_Peer)
    return;
  setPeerCounters(R.m_Metrics, R.m_Peer->counters());
}

/// Answers paths that need no account. Returns false for all others.
bool answerOpenPath(Router &R, Caller &Sender, const CallerRequest &Request) {
  if (Request.m_Path == "/healthz") {
    Sender.respond(200, "text/plain", "ok\n", {});
  } else if (Request.m_Path == "/readyz") {
    bool Ready = holdsLease(R) && !R.m_Draining;
    Sender.respond(Ready ? 200 : 503, "text/plain",
                   Ready          ? "ready\n"
                   : R.m_Draining ? "draining\n"
                                  : "no lease\n",
                   {});
  } else if (Request.m_Path == "/metrics") {
    setGauges(R);
    setCallerMetrics(R.m_Metrics);
    Sender.respond(200, "text/plain; version=0.0.4", renderMetrics(R.m_Metrics),
                   {});
  } else {
    return false;
  }
  return true;
}

} // namespace

void handleCallerRequest(Router &R, const std::shared_ptr<Caller> &Sender,
                         CallerRequest Request) {
  if (answerOpenPath(R, *Sender, Request))
    return;
  if (R.m_Draining) {
    refuseCaller(R, *Sender, RefusalReason::Draining,
                 "this router is shutting down");
    return;
  }
  if (!holdsLease(R)) {
    refuseCaller(R, *Sender, RefusalReason::NoLease,
                 "this router holds no lease at present");
    return;
  }
  AccountId Account = authenticate(R, Request);
  if (Account.empty()) {
    refuseCaller(R, *Sender, RefusalReason::UnknownApiKey,
                 "the API key is missing or unknown");
    return;
  }
  bool Post = Request.m_Method == "POST";
  if (Request.m_Path == "/v1/chat/completions" && Post)
    beginChat(R, Sender, Request, Account);
  else if (Request.m_Path == "/v1/keys" && Post)
    answerKey(*Sender);
  else if (Request.m_Path.compare(0, ServicesPrefixLength, ServicesPrefix) == 0)
    beginServiceCall(R, Sender, Request, Account);
  else
    refuseCaller(R, *Sender, RefusalReason::MalformedRequest,
                 "no such path or method");
}

} // namespace vanillaferry
