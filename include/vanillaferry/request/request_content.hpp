#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/request/prompt_part.hpp"

#include <string>
#include <vector>

namespace vanillaferry {

// What a request holds may end every target that begins to run it: one part of
// its prompt (prompt_part.hpp), or the request as a whole. A whole request has
// an id of the same type as a prompt part, so that both are judged, refused and
// released in one way.

/// What the repeats of one request have in common, whatever their ids.
struct RequestContent {
  const AccountId &m_Account;
  const std::string &m_Method;
  /// Host or service, path and query.
  const std::string &m_Url;
  const std::string &m_Body;
};

/// Id of the request as a whole.
PromptPartId wholeRequest(const RequestContent &Content);
bool isWholeRequest(const PromptPartId &Part);

/// All that the request may be refused for: itself as a whole, then the parts
/// of its prompt that others may share.
std::vector<PromptPartId> judgedParts(const PromptPartId &Whole,
                                      const std::vector<PromptPart> &Prompt);

} // namespace vanillaferry
