#include "request/request_content.hpp"

#include "process/digest.hpp"

namespace vanillaferry {

namespace {

/// 128 bits: no caller finds a second request with the same digest.
constexpr std::size_t DigestDigits = 32;

} // namespace

std::string digestOf(const RequestContent &Content) {
  // Neither method nor path can hold a line feed, and the last line has a fixed
  // length, so that different requests never give the same text.
  std::string Digest =
      sha256Hex(Content.m_Method + "\n" + Content.m_Path + "\n" +
                Content.m_Account.m_Value + "\n" + sha256Hex(Content.m_Body));
  Digest.resize(DigestDigits);
  return Digest;
}

} // namespace vanillaferry
