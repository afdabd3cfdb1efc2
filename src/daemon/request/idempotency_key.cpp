#include "request/idempotency_key.hpp"

#include "process/clock.hpp"

#include <charconv>
#include <cstdio>

namespace vanillaferry {

namespace {

constexpr const char *IssuedPrefix = "vf-";
constexpr std::size_t PrefixLength = 3;
constexpr std::size_t TimeDigits = 12;
constexpr std::size_t RandomDigits = 32;

std::optional<std::int64_t> parseNumber(const char *Begin, const char *End,
                                        int Base) {
  std::int64_t Number = 0;
  std::from_chars_result Parsed = std::from_chars(Begin, End, Number, Base);
  if (Begin == End || Parsed.ec != std::errc() || Parsed.ptr != End ||
      Number < 0)
    return std::nullopt;
  return Number;
}

} // namespace

IdempotencyKey issueKey(UnixMillis Now) {
  char Text[64];
  std::snprintf(Text, sizeof Text, "%s%012llx-%016llx%016llx", IssuedPrefix,
                static_cast<unsigned long long>(Now.m_Value),
                static_cast<unsigned long long>(randomSeed()),
                static_cast<unsigned long long>(randomSeed()));
  return IdempotencyKey(Text);
}

std::optional<UnixMillis> keyIssuedAt(const IdempotencyKey &Key) {
  const std::string &Text = Key.m_Value;
  if (Text.size() != PrefixLength + TimeDigits + 1 + RandomDigits ||
      Text.compare(0, PrefixLength, IssuedPrefix) != 0 ||
      Text[PrefixLength + TimeDigits] != '-')
    return std::nullopt;
  const char *Begin = Text.data() + PrefixLength;
  std::optional<std::int64_t> Issued =
      parseNumber(Begin, Begin + TimeDigits, 16);
  if (!Issued)
    return std::nullopt;
  return UnixMillis(*Issued);
}

std::optional<UnixMillis> parseIssuedField(const std::string &Text) {
  std::optional<std::int64_t> Issued =
      parseNumber(Text.data(), Text.data() + Text.size(), 10);
  if (!Issued)
    return std::nullopt;
  return UnixMillis(*Issued);
}

} // namespace vanillaferry
