#pragma once

#include "vanillaferry/process/ids.hpp"

#include <string>

namespace vanillaferry {

/// What makes two requests the same, whatever their ids and other fields.
struct RequestContent {
  const AccountId &m_Account;
  const std::string &m_Method;
  /// With the query, if there is one.
  const std::string &m_Path;
  const std::string &m_Body;
};

/// A digest of the content, as lower-case hex digits.
std::string digestOf(const RequestContent &Content);

} // namespace vanillaferry
