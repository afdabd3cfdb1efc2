#include "process/cbor.hpp"

#include <vector>

namespace vanillaferry {

namespace {

constexpr std::uint8_t MajorBytes = 2;
constexpr std::uint8_t MajorText = 3;
constexpr std::uint8_t MajorArray = 4;
constexpr std::uint8_t MajorMap = 5;
constexpr std::uint8_t MajorTag = 6;

struct CborHead {
  std::uint8_t m_Major = 0;
  std::uint64_t m_Argument = 0;
  bool m_Valid = false;
};

CborHead readHead(const std::string &Data, std::size_t &Position) {
  CborHead Head;
  std::uint8_t First = static_cast<std::uint8_t>(Data[Position++]);
  Head.m_Major = First >> 5;
  std::uint8_t Info = First & 0x1F;
  if (Info < 24) {
    Head.m_Argument = Info;
    Head.m_Valid = true;
    return Head;
  }
  // 28 to 30 are reserved and 31 marks an indefinite length.
  if (Info > 27)
    return Head;
  std::size_t Width = std::size_t(1) << (Info - 24);
  if (Data.size() - Position < Width)
    return Head;
  for (std::size_t I = 0; I < Width; ++I)
    Head.m_Argument =
        Head.m_Argument << 8 | static_cast<std::uint8_t>(Data[Position++]);
  Head.m_Valid = true;
  return Head;
}

} // namespace

bool isPlainCbor(const std::string &Data) {
  std::vector<std::uint64_t> ItemsLeft{1};
  std::size_t Position = 0;
  while (!ItemsLeft.empty()) {
    if (ItemsLeft.back() == 0) {
      ItemsLeft.pop_back();
      continue;
    }
    --ItemsLeft.back();
    if (Position >= Data.size())
      return false;
    CborHead Head = readHead(Data, Position);
    if (!Head.m_Valid || Head.m_Major == MajorTag)
      return false;
    std::uint64_t Rest = Data.size() - Position;
    if (Head.m_Major == MajorBytes || Head.m_Major == MajorText) {
      if (Head.m_Argument > Rest)
        return false;
      Position += Head.m_Argument;
    } else if (Head.m_Major == MajorArray || Head.m_Major == MajorMap) {
      // Every item takes at least one byte.
      if (Head.m_Argument > Rest || ItemsLeft.size() > MaxCborDepth)
        return false;
      ItemsLeft.push_back(Head.m_Major == MajorMap ? 2 * Head.m_Argument
                                                   : Head.m_Argument);
    }
  }
  return Position == Data.size();
}

Result<nlohmann::json> parseCbor(const std::string &Data) {
  if (!isPlainCbor(Data))
    return makeError(ErrorCode::Malformed, "malformed or unsupported CBOR (" +
                                               std::to_string(Data.size()) +
                                               " bytes)");
  try {
    nlohmann::json Value =
        nlohmann::json::from_cbor(Data.begin(), Data.end(), true, false);
    if (!Value.is_discarded())
      return Value;
  } catch (const nlohmann::json::exception &) {
    // Falls through: some errors are thrown in spite of allow_exceptions.
  }
  return makeError(ErrorCode::Malformed, "CBOR parse error");
}

std::string encodeCbor(const nlohmann::json &Value) {
  std::string Data;
  nlohmann::json::to_cbor(Value, Data);
  return Data;
}

} // namespace vanillaferry
