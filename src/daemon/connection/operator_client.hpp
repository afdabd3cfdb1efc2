#pragma once

#include "process/settings.hpp"
#include "vanillaferry/process/units.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace vanillaferry {

/// A request of an operator to the keepers.
struct OperatorRequest {
  std::string m_Method = "GET";
  /// Path with the query.
  std::string m_Path;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  std::string m_Body;
};

/// The answer of the leader, or status 0 when none answered in time.
struct OperatorReply {
  int m_HttpStatus = 0;
  nlohmann::json m_Body;
  std::string m_Location;
  /// Why the last try failed, when none succeeded.
  std::string m_Fault;
  /// An earlier try may have taken effect: its answer was lost.
  bool m_AnswerLost = false;
};

/// Sends a request to the keepers, one after the other and to the leader that
/// they name, until one answers or the limit passes. Edits are repeated with
/// the same edit id, so that a lost answer does no harm.
OperatorReply callKeepers(const OperatorCliSettings &Settings,
                          const OperatorRequest &Request, Millis Limit);

/// Sends one request to one URL and reads the answer.
OperatorReply callUrl(const std::string &BaseUrl, const std::string &Token,
                      const OperatorRequest &Request, Millis Limit);

} // namespace vanillaferry
