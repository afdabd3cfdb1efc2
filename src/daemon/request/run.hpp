#pragma once

#include "connection/engine_adapter.hpp"
#include "connection/target_client.hpp"
#include "vanillaferry/connection/liveness.hpp"
#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/version/pool.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace vanillaferry {

struct Router;

/// Bytes of an answer that an owner may send before it receives credit.
constexpr Bytes InitialCredit{256 * 1024};
/// Resumes of a stream without progress in between, after which it has failed.
constexpr std::uint32_t MaxResumes = 3;

/// One request at one target, on the owner's side. Shared by Router::m_Runs and
/// the callbacks of its target call.
struct Run {
  explicit Run(Router &Owner) : m_Router(Owner) {}

  Router &m_Router;
  /// Entry router.
  NodeId m_From;
  Forward m_Order;
  TargetSettings m_Target;
  ServiceKind m_Kind = ServiceKind::Engine;
  bool m_Idempotent = true;
  std::uint64_t m_ChatHash = 0;
  /// Stage of the target's warm-up at the time of dispatch.
  std::uint32_t m_Stage = 0;
  Millis m_StartedAt;
  std::optional<Millis> m_FirstToken;
  ProgressTimer m_Progress;

  std::shared_ptr<TargetCall> m_Call;
  EventSplitter m_Splitter;
  /// Offset of the next event for the caller.
  std::uint64_t m_Next = 0;
  /// Caller offset of the engine's event 0; not 0 after a continuation at
  /// another engine.
  std::uint64_t m_Base = 0;
  std::int64_t m_Credit = InitialCredit.m_Value;
  std::uint32_t m_Resumes = 0;
  std::int64_t m_RelayedBytes = 0;
  int m_Status = 0;
  std::string m_ContentType;
  /// Body of an answer that is not a stream.
  std::string m_Body;
  bool m_IsEventStream = false;
  bool m_SawDone = false;
  bool m_EverSent = false;
  bool m_Done = false;
};

/// Decides on a forwarded request and dispatches it, or declines.
void startRun(Router &R, const NodeId &From, Forward Order);
void cancelRun(Router &R, const NodeId &From, const ForwardCancel &Cancel);
void creditRun(Router &R, const NodeId &From, const ForwardCredit &Credit);
/// Resumes or ends runs whose target is silent.
void checkRuns(Router &R);

} // namespace vanillaferry
