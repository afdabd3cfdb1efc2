#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace vanillaferry {

/// Major types of CBOR (RFC 8949, section 3.1).
enum class CborMajor : std::uint8_t {
  Unsigned,
  Negative,
  Bytes,
  Text,
  Array,
  Map,
  Tag,
  Simple
};

/// Simple values (RFC 8949, section 3.3).
constexpr std::uint64_t CborFalse = 20;
constexpr std::uint64_t CborTrue = 21;
constexpr std::uint64_t CborNull = 22;

/// Appends the head of an item in its shortest form.
void appendHead(std::string &Out, CborMajor Major, std::uint64_t Argument);
void appendText(std::string &Out, std::string_view Text);
void appendBytes(std::string &Out, std::string_view Bytes);
void appendBool(std::string &Out, bool Value);
void appendNumber(std::string &Out, std::int64_t Value);
void appendNumber(std::string &Out, std::uint64_t Value);

/// Puts the head of a map in front of the Pairs that were appended from At on.
void insertMapHead(std::string &Out, std::size_t At, std::size_t Pairs);

/// One item; what it holds stays in the data that it was taken from.
struct CborItem {
  CborMajor m_Major = CborMajor::Simple;
  /// Number, length or count.
  std::uint64_t m_Argument = 0;
  /// Bytes of a string, items of an array or map.
  std::string_view m_Content;
};

/// Takes the first item off the data. Absent when it is malformed, truncated,
/// nested deeper than Depth, or has a tag, an indefinite length or a map key
/// that is not text; none of these is ever sent.
std::optional<CborItem> takeItem(std::string_view &Data, unsigned Depth);

/// The fields of a map with text keys.
class CborMap {
public:
  /// False when the map has more fields than any message.
  bool read(const CborItem &Map, unsigned Depth);
  /// A field of this name; null when there is none.
  const CborItem *find(std::string_view Key);

private:
  static constexpr std::size_t MaxFields = 96;
  struct Field {
    std::string_view m_Key;
    CborItem m_Value;
  };
  std::array<Field, MaxFields> m_Fields;
  std::size_t m_Count = 0;
  /// Fields are mostly asked for in the order in which they were written.
  std::size_t m_Next = 0;
};

} // namespace vanillaferry
