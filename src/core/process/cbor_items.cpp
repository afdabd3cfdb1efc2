#include "process/cbor_items.hpp"

namespace vanillaferry {

namespace {

constexpr unsigned MajorShift = 5;
constexpr unsigned ArgumentMask = 0x1F;
/// Arguments up to this stand in the head itself, larger ones in 1, 2, 4 or 8
/// bytes behind it.
constexpr std::uint64_t LargestShort = 23;
constexpr unsigned OneByteFollows = 24;
constexpr unsigned EightBytesFollow = 27;
constexpr unsigned BitsPerByte = 8;
constexpr std::uint64_t NoSimpleValue = ~std::uint64_t(0);

bool takeHead(std::string_view &Data, CborItem &Item, unsigned &Info) {
  if (Data.empty())
    return false;
  unsigned Head = static_cast<unsigned char>(Data.front());
  Data.remove_prefix(1);
  Item.m_Major = static_cast<CborMajor>(Head >> MajorShift);
  Info = Head & ArgumentMask;
  Item.m_Argument = Info;
  if (Info <= LargestShort)
    return true;
  if (Info > EightBytesFollow)
    return false;
  std::size_t Bytes = std::size_t(1) << (Info - OneByteFollows);
  if (Data.size() < Bytes)
    return false;
  Item.m_Argument = 0;
  for (std::size_t Index = 0; Index < Bytes; ++Index)
    Item.m_Argument = (Item.m_Argument << BitsPerByte) |
                      static_cast<unsigned char>(Data[Index]);
  Data.remove_prefix(Bytes);
  return true;
}

bool takeNested(std::string_view &Data, CborItem &Item, unsigned Depth) {
  if (Depth == 0)
    return false;
  const char *Begin = Data.data();
  for (std::uint64_t Index = 0; Index < Item.m_Argument; ++Index) {
    if (Item.m_Major == CborMajor::Map) {
      std::optional<CborItem> Key = takeItem(Data, Depth - 1);
      if (!Key || Key->m_Major != CborMajor::Text)
        return false;
    }
    if (!takeItem(Data, Depth - 1))
      return false;
  }
  Item.m_Content =
      std::string_view(Begin, static_cast<std::size_t>(Data.data() - Begin));
  return true;
}

} // namespace

void appendHead(std::string &Out, CborMajor Major, std::uint64_t Argument) {
  unsigned Type = static_cast<unsigned>(Major) << MajorShift;
  if (Argument <= LargestShort) {
    Out.push_back(static_cast<char>(Type | Argument));
    return;
  }
  unsigned Info = OneByteFollows;
  unsigned Bytes = 1;
  while (Info < EightBytesFollow && (Argument >> (Bytes * BitsPerByte)) != 0) {
    ++Info;
    Bytes *= 2;
  }
  Out.push_back(static_cast<char>(Type | Info));
  for (unsigned Byte = Bytes; Byte > 0; --Byte)
    Out.push_back(static_cast<char>(Argument >> ((Byte - 1) * BitsPerByte)));
}

void appendText(std::string &Out, std::string_view Text) {
  appendHead(Out, CborMajor::Text, Text.size());
  Out.append(Text);
}

void appendBytes(std::string &Out, std::string_view Bytes) {
  appendHead(Out, CborMajor::Bytes, Bytes.size());
  Out.append(Bytes);
}

void appendBool(std::string &Out, bool Value) {
  appendHead(Out, CborMajor::Simple, Value ? CborTrue : CborFalse);
}

void appendNumber(std::string &Out, std::int64_t Value) {
  if (Value < 0)
    appendHead(Out, CborMajor::Negative,
               static_cast<std::uint64_t>(-(Value + 1)));
  else
    appendHead(Out, CborMajor::Unsigned, static_cast<std::uint64_t>(Value));
}

void appendNumber(std::string &Out, std::uint64_t Value) {
  appendHead(Out, CborMajor::Unsigned, Value);
}

void insertMapHead(std::string &Out, std::size_t At, std::size_t Pairs) {
  std::string Head;
  appendHead(Head, CborMajor::Map, Pairs);
  Out.insert(At, Head);
}

std::optional<CborItem> takeItem(std::string_view &Data, unsigned Depth) {
  CborItem Item;
  unsigned Info = 0;
  if (!takeHead(Data, Item, Info))
    return std::nullopt;
  switch (Item.m_Major) {
  case CborMajor::Unsigned:
  case CborMajor::Negative:
    return Item;
  case CborMajor::Bytes:
  case CborMajor::Text:
    if (Item.m_Argument > Data.size())
      return std::nullopt;
    Item.m_Content = Data.substr(0, Item.m_Argument);
    Data.remove_prefix(Item.m_Argument);
    return Item;
  case CborMajor::Array:
  case CborMajor::Map:
    if (!takeNested(Data, Item, Depth))
      return std::nullopt;
    return Item;
  case CborMajor::Tag:
    return std::nullopt;
  case CborMajor::Simple:
    if (Info == OneByteFollows ||
        (Info <= LargestShort && (Info < CborFalse || Info > CborNull)))
      return std::nullopt;
    // Floating-point numbers stand in the argument, and no message has one.
    if (Info > LargestShort)
      Item.m_Argument = NoSimpleValue;
    return Item;
  }
  return std::nullopt;
}

bool CborMap::read(const CborItem &Map, unsigned Depth) {
  std::string_view Data = Map.m_Content;
  m_Count = 0;
  m_Next = 0;
  while (!Data.empty()) {
    std::optional<CborItem> Key = takeItem(Data, Depth);
    std::optional<CborItem> Value = takeItem(Data, Depth);
    if (!Key || !Value || m_Count == MaxFields)
      return false;
    m_Fields[m_Count++] = {Key->m_Content, *Value};
  }
  return true;
}

const CborItem *CborMap::find(std::string_view Key) {
  for (std::size_t Step = 0; Step < m_Count; ++Step) {
    std::size_t Index = m_Next + Step;
    if (Index >= m_Count)
      Index -= m_Count;
    std::string_view Known = m_Fields[Index].m_Key;
    // Most keys have one or two characters, so that most differ in the first.
    if (Known.size() != Key.size() || Known.empty() ||
        Known.front() != Key.front() || Known != Key)
      continue;
    m_Next = Index + 1;
    return &m_Fields[Index].m_Value;
  }
  return nullptr;
}

} // namespace vanillaferry
