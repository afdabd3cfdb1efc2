#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/result.hpp"
#include "vanillaferry/version/section.hpp"

#include <map>
#include <string>
#include <vector>

namespace vanillaferry {

/// One API key of an account, by its hash.
struct AccountKey {
  AccountId m_Account;
  /// Lower-case hex SHA-256.
  std::string m_KeySha256;
};

/// The document as a router uses it: the sections with their indexes.
struct RouterDocument {
  DocumentSettings m_Settings;
  std::vector<AccountSettings> m_Accounts;
  std::vector<AccountKey> m_Keys;
  std::map<PoolId, PoolSettings> m_Services;
  /// Service of each model name.
  std::map<std::string, PoolId> m_Models;
};

/// Takes one section of a grant. A section that does not parse leaves the
/// document unchanged.
Status applySection(RouterDocument &Document, const SectionContent &Section);

} // namespace vanillaferry
