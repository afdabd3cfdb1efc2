#include "vanillaferry/request/request_content.hpp"

#include "process/sha256.hpp"

namespace vanillaferry {

namespace {

/// 128 bits of SHA-256: no caller finds another request with the same id.
constexpr std::size_t DigestDigits = 32;

} // namespace

PromptPartId wholeRequest(const RequestContent &Content) {
  // Neither method nor URL can hold a line feed, and the last line has a fixed
  // length, so that different requests never give the same text.
  std::string Digest =
      sha256Hex(Content.m_Method + "\n" + Content.m_Url + "\n" +
                Content.m_Account.m_Value + "\n" + sha256Hex(Content.m_Body));
  return PromptPartId(WholeRequestPrefix + Digest.substr(0, DigestDigits));
}

bool isWholeRequest(const PromptPartId &Part) {
  return Part.m_Value.rfind(WholeRequestPrefix, 0) == 0;
}

std::vector<PromptPartId> judgedParts(const PromptPartId &Whole,
                                      const std::vector<PromptPart> &Prompt) {
  std::vector<PromptPartId> Parts = {Whole};
  for (PromptPartId &Each : sharedParts(Prompt))
    Parts.push_back(std::move(Each));
  return Parts;
}

} // namespace vanillaferry
