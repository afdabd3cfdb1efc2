#pragma once

#include "connection/target_client.hpp"
#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/prefix_export.hpp"
#include "vanillaferry/version/pool.hpp"

#include <cstdint>
#include <map>
#include <memory>

namespace vanillaferry {

struct Router;

/// One copy in progress.
struct PrefixCopy {
  std::shared_ptr<TargetCall> m_Call;
  Millis m_Until;
  int m_Status = 0;
  std::string m_Answer;
};

/// Copies from one owned target that went out of service.
struct TargetExport {
  PoolId m_Pool;
  TargetSettings m_Source;
  PrefixExport m_Export;
  /// By chat.
  std::map<std::uint64_t, PrefixCopy> m_Copies;
};

/// Starts and ends exports: when an owned engine that exports its KV cache goes
/// out of service, its last used chats are copied to the engine that ranks next
/// for each.
void checkExports(Router &R);

/// Records, at the owner of the importing engine, that the engine holds a chat.
void handlePrefixCopied(Router &R, const PrefixCopied &Message);

} // namespace vanillaferry
