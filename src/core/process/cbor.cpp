#include "process/internal/cbor.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace vanillaferry::internal {

namespace {

/// Reads one item's head (RFC 8949, section 3); the system writes no items of
/// indefinite length.
struct CborHead {
  unsigned m_Major = 0;
  std::uint64_t m_Argument = 0;
};

std::optional<CborHead> readHead(const std::string &Data, std::size_t &At) {
  if (At >= Data.size())
    return std::nullopt;
  unsigned First = static_cast<unsigned char>(Data[At++]);
  CborHead Head;
  Head.m_Major = First >> 5;
  unsigned Additional = First & 31;
  if (Additional < 24) {
    Head.m_Argument = Additional;
    return Head;
  }
  if (Additional > 27)
    return std::nullopt;
  std::size_t Count = std::size_t(1) << (Additional - 24);
  if (Data.size() - At < Count)
    return std::nullopt;
  for (std::size_t I = 0; I < Count; ++I)
    Head.m_Argument =
        (Head.m_Argument << 8) | static_cast<unsigned char>(Data[At++]);
  return Head;
}

/// Checks lengths and depth without recursion: one complete item.
bool isBounded(const std::string &Data) {
  // Items that are still expected at each level.
  std::vector<std::uint64_t> Open = {1};
  std::size_t At = 0;
  while (!Open.empty()) {
    if (Open.back() == 0) {
      Open.pop_back();
      continue;
    }
    std::optional<CborHead> Head = readHead(Data, At);
    if (!Head)
      return false;
    std::uint64_t Left = Data.size() - At;
    // A tag announces one more item.
    if (Head->m_Major != 6)
      --Open.back();
    if (Head->m_Major == 2 || Head->m_Major == 3) {
      if (Head->m_Argument > Left)
        return false;
      At += Head->m_Argument;
    } else if (Head->m_Major == 4 || Head->m_Major == 5) {
      // Every item takes at least one byte.
      if (Head->m_Argument > Left || Open.size() > MaxCborDepth)
        return false;
      Open.push_back(Head->m_Major == 4 ? Head->m_Argument
                                        : Head->m_Argument * 2);
    }
  }
  return At == Data.size();
}

} // namespace

nlohmann::json parseCbor(const std::string &Data) {
  nlohmann::json Discarded(nlohmann::json::value_t::discarded);
  if (!isBounded(Data))
    return Discarded;
  // The library throws for some lengths even when told not to.
  try {
    return nlohmann::json::from_cbor(Data, true, false);
  } catch (const nlohmann::json::exception &) {
    return Discarded;
  }
}

std::string dumpCbor(const nlohmann::json &Value) {
  std::string Out;
  nlohmann::json::to_cbor(Value, Out);
  return Out;
}

} // namespace vanillaferry::internal
