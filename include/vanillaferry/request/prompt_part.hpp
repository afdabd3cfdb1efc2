#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaferry {

/// One part of a prompt; requests with a common prefix have the same first
/// parts. The last part belongs to one request or chat, the others may be
/// shared.
struct PromptPart {
  PromptPartId m_Id;
  Tokens m_Tokens;
};

/// Hash of all prompt parts but the last, which differs between requests.
std::uint64_t hashSharedPrefix(const std::vector<PromptPart> &Parts);

/// Hash of the last part; 0 without parts.
std::uint64_t hashOwnPart(const std::vector<PromptPart> &Parts);

/// Begins the id of a request as a whole (request_content.hpp).
constexpr const char *WholeRequestPrefix = "request:";

/// Ids of the parts that may be shared, each once. A very long id, or one that
/// looks like that of a whole request, is replaced by its hash, and only the
/// first MaxSharedParts count, so that what is kept of a request is bounded.
std::vector<PromptPartId> sharedParts(const std::vector<PromptPart> &Parts);
constexpr std::size_t MaxSharedParts = 256;

/// Ids separated by commas, which no id contains.
std::string joinPartIds(const std::vector<PromptPartId> &Ids);
std::vector<PromptPartId> splitPartIds(const std::string &Text);

} // namespace vanillaferry
