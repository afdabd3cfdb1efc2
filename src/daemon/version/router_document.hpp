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

/// A router's copy of the document: the sections' content with look-up indexes.
struct RouterDocument {
  DocumentSettings m_Settings;
  std::vector<AccountSettings> m_Accounts;
  std::vector<AccountKey> m_Keys;
  std::map<PoolId, PoolSettings> m_Services;
  /// Service of each model name.
  std::map<std::string, PoolId> m_Models;
};

/// Applies one section of a grant. An invalid section gives an error and leaves
/// the document unchanged.
Status applySection(RouterDocument &Document, const SectionContent &Section);

} // namespace vanillaferry
