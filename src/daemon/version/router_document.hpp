#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/result.hpp"
#include "vanillaferry/request/account_limit.hpp"
#include "vanillaferry/version/pool.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillaferry {

/// One API key of an account, by its hash.
struct AccountKey {
  AccountId m_Account;
  /// Hex SHA-256.
  std::string m_KeySha256;
};

/// Section `limits`, with defaults for an absent section.
struct RouterLimits {
  std::size_t m_QueueLength = 1000;
  Millis m_DefaultDeadline{30000};
  double m_RetryShare = 0.1;
  std::uint32_t m_RetryFloor = 3;
  Bytes m_MaxHeader{32 * 1024};
  Bytes m_MaxBody{8 * 1024 * 1024};
  Bytes m_MaxStream{64 * 1024 * 1024};
  Millis m_SlowSender{10000};
  Millis m_StreamSilence{5000};
};

/// The document as a router uses it.
struct RouterDocument {
  std::vector<AccountSettings> m_Accounts;
  std::vector<AccountKey> m_Keys;
  std::map<PoolId, PoolSettings> m_Services;
  /// Service of each model name.
  std::map<std::string, PoolId> m_Models;
  std::vector<ZoneSettings> m_Zones;
  RouterLimits m_Limits;
  /// Version of each section in force.
  std::map<SectionName, SectionVersion> m_Versions;
};

/// Takes one section of a grant. A section that does not parse leaves the
/// document unchanged.
Status applySection(RouterDocument &Document, const SectionContent &Section);

} // namespace vanillaferry
