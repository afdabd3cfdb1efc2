#pragma once

#include "connection/caller.hpp"
#include "connection/target_client.hpp"
#include "vanillaferry/process/result.hpp"
#include "vanillaferry/process/rollout.hpp"
#include "vanillaferry/request/dispatch.hpp"
#include "vanillaferry/request/prompt_part.hpp"
#include "vanillaferry/version/manifest.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vanillaferry {

/// A caller's request in the product's terms. What only the platform knows is
/// decoded before it arrives here.
struct RoutedRequest {
  /// The caller's id of this attempt.
  RequestId m_Id;
  std::string m_Host;
  /// Empty when the caller sent none.
  std::string m_ApiKey;
  /// How long the caller waits; absent when it does not say.
  std::optional<Millis> m_TimeLeft;
  /// Id of the last event that the caller has; absent for a new stream.
  std::optional<std::uint64_t> m_LastEvent;
  /// The request with which the stream began that this one takes up; empty when
  /// the caller names none.
  RequestId m_Resumes;
  /// Parts of the prompt in order.
  std::vector<PromptPart> m_PromptParts;
  /// Fields that go on to the target as they came.
  HttpFields m_Fields;
  std::string m_ContentType;
};

/// What the router adds when it sends a request to a target.
struct DispatchFields {
  TargetId m_Target;
  Millis m_TimeLeft;
  /// Absent for public routes without a key.
  std::optional<AccountId> m_Account;
  std::optional<std::uint64_t> m_LastEvent;
  /// 0 is the most urgent; absent for plain services.
  std::optional<int> m_Priority;
  /// IP:PORT of an engine that holds more of the prompt; empty for none.
  std::string m_PrefixSource;
};

/// The head of a target's answer in the product's terms.
struct TargetAnswer {
  /// Id of the request that the target answers.
  RequestId m_Request;
  /// The target states that it did not run the request.
  bool m_NotRun = false;
  /// The answer carries the target's signature.
  bool m_Signed = false;
  std::optional<TargetReport> m_Report;
  /// The target leaves and wants no further requests.
  bool m_TargetLeaves = false;
  /// Requests a second that the target takes from all routers together; absent
  /// while it names no limit.
  std::optional<double> m_RateLimit;
  /// Refusals a second that the target bears; more end it. Absent while it
  /// bears any number.
  std::optional<std::uint64_t> m_BearableRefusals;
  /// The target wants no further request from this router for so long.
  std::optional<Millis> m_Pause;
  /// Fields that go back to the caller unchanged.
  HttpFields m_Fields;
};

/// One page of the platform's list of targets.
struct TargetPage {
  std::vector<ListedTarget> m_Targets;
  /// Token of the following page; empty on the last one.
  std::string m_Next;
  /// Entries that could not be read.
  std::size_t m_Unreadable = 0;
};

/// An operator's order of a rollout.
struct RolloutRequest {
  PoolId m_Service;
  SoftwareVersion m_Version;
  Millis m_Duration;
};

/// How far a rollout has come, for the operator.
enum class RolloutState : std::uint8_t { Running, Completed, RolledBack };
struct RolloutStatus {
  RolloutState m_State = RolloutState::Running;
  SoftwareVersion m_Version;
};

/// How the platform writes what the product reads and sends. The adapter in
/// platform/ fills it in; nothing else knows the platform's names.
struct PlatformProtocol {
  std::function<Result<Manifest>(const std::string &Text)> m_ReadManifest;
  std::function<Result<RoutedRequest>(const CallerRequest &)> m_ReadRequest;
  std::function<HttpFields(const RoutedRequest &, const DispatchFields &)>
      m_TargetFields;
  std::function<TargetAnswer(const TargetHead &)> m_ReadAnswer;
  /// Path and query of one page of the target list.
  std::function<std::string(const std::string &PageToken)> m_TargetListPath;
  std::function<Result<TargetPage>(const std::string &Text)> m_ReadTargetPage;
  /// The error says what is wrong with the order.
  std::function<Result<RolloutRequest>(const std::string &Text)>
      m_ReadRolloutOrder;
  /// JSON text that answers an operator.
  std::function<std::string(const RolloutStatus &)> m_RolloutAnswer;
};

/// The protocol that this build serves.
const PlatformProtocol *platformProtocol();

} // namespace vanillaferry
