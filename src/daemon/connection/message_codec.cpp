#include "connection/message_codec.hpp"

#include "connection/internal/message_fields.hpp"
#include "process/cbor_items.hpp"
#include "vanillaferry/process/feature_level.hpp"

#include <limits>

namespace vanillaferry {

namespace {

using internal::fields;
using internal::KindOf;
using internal::maxNumber;
using internal::RawBytes;

/// Frames nest at most: array of messages, map, array of structs, map, struct.
/// Each level of a frame is one call of the reader.
constexpr unsigned MaxDepth = 8;

/// Writes the fields of a struct; empty and zero fields are left out.
class FieldWriter {
public:
  explicit FieldWriter(std::string &Out) : m_Out(Out) {}

  std::size_t count() const { return m_Count; }

  template <typename Tag>
  void operator()(const char *Key, const StringId<Tag> &Id) {
    (*this)(Key, Id.m_Value);
  }
  template <typename Tag, typename Number>
  void operator()(const char *Key, Quantity<Tag, Number> Value) {
    (*this)(Key, Value.m_Value);
  }
  template <typename T> void operator()(const char *Key, const T &Value) {
    if constexpr (std::is_enum_v<T>)
      number(Key, static_cast<unsigned>(Value));
    else if constexpr (std::is_same_v<T, std::string>)
      text(Key, Value);
    else if constexpr (std::is_arithmetic_v<T>)
      number(Key, Value);
    else
      nested(Key, Value);
  }
  void operator()(const char *Key, RawBytes<const std::string> Raw) {
    if (Raw.m_Text.empty())
      return;
    key(Key);
    appendBytes(m_Out, Raw.m_Text);
  }
  /// Pairs of the step from the former bucket's index and the count: a report
  /// has many buckets, and a map for each takes three times as many bytes.
  void operator()(const char *Key, const std::vector<TimeBucket> &List) {
    if (List.empty())
      return;
    key(Key);
    appendHead(m_Out, CborMajor::Array, List.size() * 2);
    std::uint32_t Former = 0;
    for (const TimeBucket &Each : List) {
      appendNumber(m_Out, std::uint64_t(Each.m_Index - Former));
      appendNumber(m_Out, Each.m_Count);
      Former = Each.m_Index;
    }
  }
  template <typename T>
  void operator()(const char *Key, const std::vector<T> &List) {
    if (List.empty())
      return;
    key(Key);
    appendHead(m_Out, CborMajor::Array, List.size());
    for (const T &Item : List)
      map(Item);
  }

private:
  void key(const char *Key) {
    appendText(m_Out, Key);
    ++m_Count;
  }
  void text(const char *Key, const std::string &Value) {
    if (Value.empty())
      return;
    key(Key);
    appendText(m_Out, Value);
  }
  template <typename T> void number(const char *Key, T Value) {
    if (Value == T())
      return;
    key(Key);
    if constexpr (std::is_same_v<T, bool>)
      appendBool(m_Out, Value);
    else if constexpr (std::is_signed_v<T>)
      appendNumber(m_Out, static_cast<std::int64_t>(Value));
    else
      appendNumber(m_Out, static_cast<std::uint64_t>(Value));
  }
  template <typename T> void nested(const char *Key, const T &Value) {
    std::size_t Before = m_Out.size();
    key(Key);
    if (map(Value) > 0)
      return;
    m_Out.resize(Before);
    --m_Count;
  }
  template <typename T> std::size_t map(const T &Value) {
    std::size_t At = m_Out.size();
    FieldWriter Inner(m_Out);
    fields(Inner, Value);
    insertMapHead(m_Out, At, Inner.m_Count);
    return Inner.m_Count;
  }

  std::string &m_Out;
  std::size_t m_Count = 0;
};

/// Reads the fields of a struct; a missing field is empty or zero.
class FieldReader {
public:
  FieldReader(CborMap &Map, unsigned Depth, std::string &Fault)
      : m_Map(Map), m_Depth(Depth), m_Fault(Fault) {}

  template <typename Tag> void operator()(const char *Key, StringId<Tag> &Id) {
    (*this)(Key, Id.m_Value);
  }
  template <typename Tag, typename Number>
  void operator()(const char *Key, Quantity<Tag, Number> &Value) {
    (*this)(Key, Value.m_Value);
  }
  template <typename T> void operator()(const char *Key, T &Value) {
    Value = T();
    const CborItem *Found = m_Map.find(Key);
    if (!Found) {
      if constexpr (std::is_enum_v<T>)
        Value = static_cast<T>(0);
    } else if constexpr (std::is_enum_v<T>) {
      enumeration(Key, *Found, Value);
    } else if constexpr (std::is_same_v<T, bool>) {
      boolean(Key, *Found, Value);
    } else if constexpr (std::is_same_v<T, std::string>) {
      text(Key, *Found, CborMajor::Text, Value);
    } else if constexpr (std::is_arithmetic_v<T>) {
      number(Key, *Found, Value);
    } else {
      if (!nested(*Found, Value))
        fail(Key, "a map");
    }
  }
  void operator()(const char *Key, RawBytes<std::string> Raw) {
    Raw.m_Text.clear();
    const CborItem *Found = m_Map.find(Key);
    if (Found)
      text(Key, *Found, CborMajor::Bytes, Raw.m_Text);
  }
  void operator()(const char *Key, std::vector<TimeBucket> &List) {
    List.clear();
    const CborItem *Found = m_Map.find(Key);
    if (!Found)
      return;
    if (Found->m_Major != CborMajor::Array)
      return fail(Key, "an array");
    std::string_view Data = Found->m_Content;
    std::uint64_t Index = 0;
    while (!Data.empty()) {
      std::optional<CborItem> Step = takeItem(Data, m_Depth);
      std::optional<CborItem> Count = takeItem(Data, m_Depth);
      bool Valid = Step && Count && Step->m_Major == CborMajor::Unsigned &&
                   Count->m_Major == CborMajor::Unsigned &&
                   Step->m_Argument < RolloutBucketCount - Index;
      if (!Valid)
        return fail(Key, "steps and counts of buckets");
      Index += Step->m_Argument;
      List.push_back({static_cast<std::uint32_t>(Index), Count->m_Argument});
    }
  }
  template <typename T> void operator()(const char *Key, std::vector<T> &List) {
    List.clear();
    const CborItem *Found = m_Map.find(Key);
    if (!Found)
      return;
    if (Found->m_Major != CborMajor::Array)
      return fail(Key, "an array");
    std::string_view Data = Found->m_Content;
    while (!Data.empty()) {
      std::optional<CborItem> Item = takeItem(Data, m_Depth);
      if (!Item || !nested(*Item, List.emplace_back()))
        return fail(Key, "an array of maps");
    }
  }

private:
  template <typename T> bool nested(const CborItem &Item, T &Value) {
    CborMap Map;
    if (Item.m_Major != CborMajor::Map || m_Depth == 0 ||
        !Map.read(Item, m_Depth - 1))
      return false;
    FieldReader Inner(Map, m_Depth - 1, m_Fault);
    fields(Inner, Value);
    return true;
  }
  void text(const char *Key, const CborItem &Found, CborMajor Expected,
            std::string &Value) {
    if (Found.m_Major == Expected)
      Value.assign(Found.m_Content);
    else
      fail(Key, Expected == CborMajor::Text ? "a text" : "a byte string");
  }
  void boolean(const char *Key, const CborItem &Found, bool &Value) {
    bool Known =
        Found.m_Major == CborMajor::Simple &&
        (Found.m_Argument == CborTrue || Found.m_Argument == CborFalse);
    if (Known)
      Value = Found.m_Argument == CborTrue;
    else
      fail(Key, "a boolean");
  }
  template <typename T>
  void enumeration(const char *Key, const CborItem &Found, T &Value) {
    std::uint32_t Number = 0;
    number(Key, Found, Number);
    if (Number > maxNumber(T()))
      fail(Key, "a known value");
    else
      Value = static_cast<T>(Number);
  }
  template <typename T>
  void number(const char *Key, const CborItem &Found, T &Value) {
    std::uint64_t Argument = Found.m_Argument;
    if (Found.m_Major == CborMajor::Unsigned) {
      if (Argument > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
        return fail(Key, "a smaller number");
      Value = static_cast<T>(Argument);
    } else if (Found.m_Major == CborMajor::Negative && std::is_signed_v<T>) {
      if (Argument > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
        return fail(Key, "a larger number");
      // The item states -1 - Argument.
      Value = static_cast<T>(-static_cast<std::int64_t>(Argument) - 1);
    } else {
      fail(Key, "a whole number");
    }
  }
  void fail(const char *Key, const char *Expected) {
    if (m_Fault.empty())
      m_Fault = std::string("field ") + Key + ": expected " + Expected;
  }

  CborMap &m_Map;
  unsigned m_Depth;
  std::string &m_Fault;
};

template <std::size_t Index = 0>
bool readKind(std::uint64_t Kind, CborMap &Map, PeerMessage &Message,
              std::string &Fault) {
  if constexpr (Index < std::variant_size_v<PeerMessage>) {
    using T = std::variant_alternative_t<Index, PeerMessage>;
    if (KindOf<T>::Value != Kind)
      return readKind<Index + 1>(Kind, Map, Message, Fault);
    FieldReader Reader(Map, MaxDepth, Fault);
    fields(Reader, Message.emplace<T>());
    return true;
  }
  return false;
}

std::string readMessage(const CborItem &Item, PeerMessage &Message) {
  if (Item.m_Major != CborMajor::Map)
    return "a message is not a map";
  CborMap Map;
  if (!Map.read(Item, MaxDepth))
    return "a message has too many fields";
  const CborItem *Kind = Map.find("k");
  if (!Kind || Kind->m_Major != CborMajor::Unsigned)
    return "a message has no kind";
  std::uint64_t Number = Kind->m_Argument;
  std::string Fault;
  if (!readKind(Number, Map, Message, Fault))
    return "unknown kind " + std::to_string(Number);
  if (!Fault.empty())
    Fault = "kind " + std::to_string(Number) + ", " + Fault;
  return Fault;
}

void takeMessage(const CborItem &Item, std::vector<PeerMessage> &Messages,
                 UnreadMessages &Unread) {
  std::string Fault = readMessage(Item, Messages.emplace_back());
  if (Fault.empty())
    return;
  Messages.pop_back();
  if (Unread.m_Count++ == 0)
    Unread.m_Why = std::move(Fault);
}

/// PromptWatch; builds before 9513fac know no later kind.
constexpr int LastKindOfLevel0 = 29;
/// StreamAnswer; builds from 9513fac on know it, also those without levels.
constexpr int LastKindBeforeLevels = 32;

int kindOf(const PeerMessage &Message) {
  return std::visit(
      [](const auto &Data) {
        return KindOf<std::decay_t<decltype(Data)>>::Value;
      },
      Message);
}

} // namespace

void appendMessage(std::string &Out, const PeerMessage &Message) {
  std::size_t At = Out.size();
  std::size_t Fields = 0;
  std::visit(
      [&Out, &Fields](const auto &Data) {
        appendText(Out, "k");
        appendNumber(
            Out, std::uint64_t(KindOf<std::decay_t<decltype(Data)>>::Value));
        FieldWriter Writer(Out);
        fields(Writer, Data);
        Fields = Writer.count() + 1;
      },
      Message);
  insertMapHead(Out, At, Fields);
}

std::string encodeMessage(const PeerMessage &Message) {
  std::string Encoded;
  appendMessage(Encoded, Message);
  return Encoded;
}

void appendFrameHead(std::string &Frame, std::size_t Count) {
  appendHead(Frame, CborMajor::Array, Count);
}

Result<std::vector<PeerMessage>> decodeFrame(const std::string &Frame,
                                             UnreadMessages &Unread) {
  std::string_view Data = Frame;
  std::optional<CborItem> Root = takeItem(Data, MaxDepth);
  if (!Root || !Data.empty())
    return makeError(ErrorCode::Malformed, "the frame is not CBOR");
  std::vector<PeerMessage> Messages;
  if (Root->m_Major != CborMajor::Array) {
    takeMessage(*Root, Messages, Unread);
    return Messages;
  }
  std::uint64_t Count = Root->m_Argument;
  if (Count == 0 || Count > MaxMessagesPerFrame)
    return makeError(ErrorCode::Malformed,
                     "the frame has " + std::to_string(Count) + " messages");
  std::string_view Items = Root->m_Content;
  Messages.reserve(Count);
  while (!Items.empty()) {
    std::optional<CborItem> Item = takeItem(Items, MaxDepth);
    if (!Item)
      return makeError(ErrorCode::Malformed, "an item is malformed");
    takeMessage(*Item, Messages, Unread);
  }
  return Messages;
}

Result<std::vector<PeerMessage>> decodeFrame(const std::string &Frame) {
  UnreadMessages Unread;
  Result<std::vector<PeerMessage>> Messages = decodeFrame(Frame, Unread);
  if (Messages && Unread.m_Count > 0)
    return makeError(ErrorCode::Malformed, Unread.m_Why);
  return Messages;
}

FeatureLevel featureLevelOf(const PeerMessage &Message) {
  return kindOf(Message) <= LastKindOfLevel0 ? FeatureLevel(0)
                                             : NewestFeatureLevel;
}

bool precedesLevels(const PeerMessage &Message) {
  int Kind = kindOf(Message);
  return Kind > LastKindOfLevel0 && Kind <= LastKindBeforeLevels;
}

const char *messageName(const PeerMessage &Message) {
  return std::visit(
      [](const auto &Data) {
        return KindOf<std::decay_t<decltype(Data)>>::Name;
      },
      Message);
}

bool isControlMessage(const PeerMessage &Message) {
  return !std::holds_alternative<Forward>(Message) &&
         !std::holds_alternative<ForwardChunk>(Message) &&
         !std::holds_alternative<ForwardEnd>(Message);
}

} // namespace vanillaferry
