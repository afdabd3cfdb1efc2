#pragma once

#include "connection/caller.hpp"
#include "connection/platform_protocol.hpp"
#include "connection/target_client.hpp"
#include "gateway/gateway.hpp"
#include "vanillaferry/request/event_stream.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace vanillaferry {

/// One try of a request at a target.
struct TargetTry {
  TargetId m_Target;
  std::shared_ptr<TargetCall> m_Call;
  Millis m_StartedAt;
  /// Absent before the head of the answer.
  std::optional<TargetAnswer> m_Answer;
  int m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
};

/// An answer of a target that may still be delivered when no better one comes.
struct KeptAnswer {
  int m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  HttpFields m_Fields;
};

/// One request of a caller, from its arrival to the end of its answer. It holds
/// itself in Gateway::m_Exchanges until the end.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  static void start(Gateway &G, std::shared_ptr<Caller> Sender,
                    CallerRequest Request);
  Exchange(Gateway &G, std::shared_ptr<Caller> Sender, CallerRequest Request);
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

private:
  // exchange.cpp: admission and dispatch
  void begin();
  /// Finds route, client account and service; false after a refusal.
  bool admit();
  /// True while the manifest held was confirmed lately as the newest.
  bool knowsNewest() const;
  /// Refuses what a newer manifest may allow; false for admit().
  bool refuseUnsure();
  void startTimers();
  void dispatch();
  void send(DispatchTarget &Target, const DispatchChoice &Choice);
  TargetRequest targetRequest(const DispatchTarget &Target,
                              const DispatchChoice &Choice) const;
  void refuseChoice(const DispatchChoice &Choice);
  void refuse(RefusalReason Reason, Millis RetryAfter, const std::string &Why);
  void onDeadline();
  void onImpatient();
  void onCallerGone();
  void finish(const char *Outcome, int Status);

  // exchange_answer.cpp: what comes back
  void onHead(const TargetHead &Head);
  void onData(const char *Data, std::size_t Size);
  void onEnd(CallEnd How, const std::string &Detail);
  void relayEvents(const std::string &Events);
  void endStream();
  void endWhole();
  void retryOrFail(RetryReason Why, const std::string &Detail);
  bool mayRetry();
  void deliver(const KeptAnswer &Answer);
  void fail(RefusalReason Reason, const std::string &Why);
  /// Ends the present try in the target's counts.
  void closeTry(TargetOutcome How);

  bool repeatable() const;
  bool isStream() const { return m_Route.m_Kind == RequestKind::Stream; }
  Millis timeLeft() const;

  Gateway &m_Gateway;
  std::shared_ptr<Caller> m_Caller;
  CallerRequest m_Raw;
  RoutedRequest m_Request;
  ManifestRoute m_Route;
  PoolId m_Service;
  std::optional<AccountId> m_Account;
  std::optional<int> m_Priority;
  DispatchCriteria m_Need;
  Millis m_Begun;
  Millis m_Deadline;
  /// Targets that may have run the request.
  int m_Ran = 0;
  int m_Tries = 0;
  std::optional<TargetTry> m_Try;
  std::optional<KeptAnswer> m_Kept;
  Timer m_DeadlineTimer;
  Timer m_PatienceTimer;
  Timer m_ConnectTimer;
  EventSplitter m_Events;
  bool m_StreamStarted = false;
  std::optional<Millis> m_FirstEvent;
  bool m_Done = false;
};

} // namespace vanillaferry
