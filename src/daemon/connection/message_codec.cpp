#include "connection/message_codec.hpp"

#include "connection/internal/message_fields.hpp"

#include <limits>
#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

using internal::fields;
using internal::KindOf;
using internal::maxNumber;
using internal::RawBytes;
using nlohmann::json;

/// Frames nest at most: array of messages, map, array of structs, map, struct.
/// A deeper frame could exhaust the stack of the recursive CBOR reader.
constexpr std::size_t MaxDepth = 8;

/// Writes the fields of a struct; empty and zero fields are left out.
class FieldWriter {
public:
  explicit FieldWriter(json &Map) : m_Map(Map) {}

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
    if (!Raw.m_Text.empty())
      m_Map[Key] = json::binary(
          std::vector<std::uint8_t>(Raw.m_Text.begin(), Raw.m_Text.end()));
  }
  template <typename T>
  void operator()(const char *Key, const std::vector<T> &List) {
    if (List.empty())
      return;
    json &Array = m_Map[Key] = json::array();
    for (const T &Item : List) {
      json Map = json::object();
      FieldWriter Inner(Map);
      fields(Inner, Item);
      Array.push_back(std::move(Map));
    }
  }

private:
  void text(const char *Key, const std::string &Value) {
    if (!Value.empty())
      m_Map[Key] = Value;
  }
  template <typename T> void number(const char *Key, T Value) {
    if (Value != T())
      m_Map[Key] = Value;
  }
  template <typename T> void nested(const char *Key, const T &Value) {
    json Map = json::object();
    FieldWriter Inner(Map);
    fields(Inner, Value);
    if (!Map.empty())
      m_Map[Key] = std::move(Map);
  }

  json &m_Map;
};

/// Reads the fields of a struct; a missing field is empty or zero.
class FieldReader {
public:
  FieldReader(json &Map, std::string &Fault) : m_Map(Map), m_Fault(Fault) {}

  template <typename Tag> void operator()(const char *Key, StringId<Tag> &Id) {
    (*this)(Key, Id.m_Value);
  }
  template <typename Tag, typename Number>
  void operator()(const char *Key, Quantity<Tag, Number> &Value) {
    (*this)(Key, Value.m_Value);
  }
  template <typename T> void operator()(const char *Key, T &Value) {
    Value = T();
    auto Found = m_Map.find(Key);
    if (Found == m_Map.end()) {
      if constexpr (std::is_enum_v<T>)
        Value = static_cast<T>(0);
    } else if constexpr (std::is_enum_v<T>) {
      enumeration(Key, *Found, Value);
    } else if constexpr (std::is_same_v<T, bool>) {
      if (Found->is_boolean())
        Value = Found->template get<bool>();
      else
        fail(Key, "a boolean");
    } else if constexpr (std::is_same_v<T, std::string>) {
      if (Found->is_string())
        Value = std::move(Found->template get_ref<std::string &>());
      else
        fail(Key, "a text");
    } else if constexpr (std::is_arithmetic_v<T>) {
      number(Key, *Found, Value);
    } else {
      if (Found->is_object()) {
        FieldReader Inner(*Found, m_Fault);
        fields(Inner, Value);
      } else {
        fail(Key, "a map");
      }
    }
  }
  void operator()(const char *Key, RawBytes<std::string> Raw) {
    Raw.m_Text.clear();
    auto Found = m_Map.find(Key);
    if (Found == m_Map.end())
      return;
    if (!Found->is_binary())
      return fail(Key, "a byte string");
    const json::binary_t &Data = Found->get_binary();
    Raw.m_Text.assign(Data.begin(), Data.end());
  }
  template <typename T> void operator()(const char *Key, std::vector<T> &List) {
    List.clear();
    auto Found = m_Map.find(Key);
    if (Found == m_Map.end())
      return;
    if (!Found->is_array())
      return fail(Key, "an array");
    for (json &Item : *Found) {
      if (!Item.is_object())
        return fail(Key, "an array of maps");
      FieldReader Inner(Item, m_Fault);
      fields(Inner, List.emplace_back());
    }
  }

private:
  template <typename T>
  void enumeration(const char *Key, const json &Found, T &Value) {
    std::uint32_t Number = 0;
    number(Key, Found, Number);
    if (Number > maxNumber(T()))
      fail(Key, "a known value");
    else
      Value = static_cast<T>(Number);
  }
  template <typename T>
  void number(const char *Key, const json &Found, T &Value) {
    if (Found.is_number_unsigned()) {
      std::uint64_t Number = Found.get<std::uint64_t>();
      if (Number > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
        return fail(Key, "a smaller number");
      Value = static_cast<T>(Number);
    } else if (Found.is_number_integer() && std::is_signed_v<T>) {
      std::int64_t Number = Found.get<std::int64_t>();
      if (Number < static_cast<std::int64_t>(std::numeric_limits<T>::min()))
        return fail(Key, "a larger number");
      Value = static_cast<T>(Number);
    } else {
      fail(Key, "a whole number");
    }
  }
  void fail(const char *Key, const char *Expected) {
    if (m_Fault.empty())
      m_Fault = std::string("field ") + Key + ": expected " + Expected;
  }

  json &m_Map;
  std::string &m_Fault;
};

using DomParser = nlohmann::detail::json_sax_dom_parser<json>;

/// Builds the JSON value and stops at a depth that no valid frame has.
class BoundedParser : public DomParser {
public:
  explicit BoundedParser(json &Root) : DomParser(Root, false) {}

  bool start_object(std::size_t Length) { // NOLINT: name given by nlohmann
    return ++m_Depth <= MaxDepth && DomParser::start_object(Length);
  }
  bool end_object() { // NOLINT: name given by nlohmann
    --m_Depth;
    return DomParser::end_object();
  }
  bool start_array(std::size_t Length) { // NOLINT: name given by nlohmann
    return ++m_Depth <= MaxDepth && DomParser::start_array(Length);
  }
  bool end_array() { // NOLINT: name given by nlohmann
    --m_Depth;
    return DomParser::end_array();
  }

private:
  std::size_t m_Depth = 0;
};

bool parseCbor(const std::string &Frame, json &Root) {
  try {
    BoundedParser Parser(Root);
    return json::sax_parse(Frame, &Parser, json::input_format_t::cbor);
  } catch (const std::exception &) {
    // nlohmann throws for array lengths beyond the address space.
    return false;
  }
}

template <std::size_t Index = 0>
bool readKind(int Kind, json &Map, PeerMessage &Message, std::string &Fault) {
  if constexpr (Index < std::variant_size_v<PeerMessage>) {
    using T = std::variant_alternative_t<Index, PeerMessage>;
    if (KindOf<T>::Value != Kind)
      return readKind<Index + 1>(Kind, Map, Message, Fault);
    FieldReader Reader(Map, Fault);
    fields(Reader, Message.emplace<T>());
    return true;
  }
  return false;
}

std::string readMessage(json &Map, PeerMessage &Message) {
  if (!Map.is_object())
    return "a message is not a map";
  auto Kind = Map.find("k");
  if (Kind == Map.end() || !Kind->is_number_unsigned())
    return "a message has no kind";
  std::uint64_t Number = Kind->get<std::uint64_t>();
  std::string Fault;
  if (Number > 255 || !readKind(static_cast<int>(Number), Map, Message, Fault))
    return "unknown kind " + std::to_string(Number);
  if (!Fault.empty())
    Fault = "kind " + std::to_string(Number) + ", " + Fault;
  return Fault;
}

} // namespace

std::string encodeMessage(const PeerMessage &Message) {
  json Map = json::object();
  std::visit(
      [&Map](const auto &Data) {
        Map["k"] = KindOf<std::decay_t<decltype(Data)>>::Value;
        FieldWriter Writer(Map);
        fields(Writer, Data);
      },
      Message);
  std::string Encoded;
  json::to_cbor(Map, nlohmann::detail::output_adapter<char>(Encoded));
  return Encoded;
}

void appendFrameHead(std::string &Frame, std::size_t Count) {
  // RFC 8949, section 3: major type 4, the count in the head or one byte on.
  if (Count < 24) {
    Frame.push_back(static_cast<char>(0x80U | Count));
  } else {
    Frame.push_back(static_cast<char>(0x98U));
    Frame.push_back(static_cast<char>(Count));
  }
}

Result<std::vector<PeerMessage>> decodeFrame(const std::string &Frame) {
  json Root;
  if (!parseCbor(Frame, Root))
    return makeError(ErrorCode::Malformed, "the frame is not CBOR");
  std::vector<PeerMessage> Messages;
  if (!Root.is_array()) {
    std::string Fault = readMessage(Root, Messages.emplace_back());
    if (!Fault.empty())
      return makeError(ErrorCode::Malformed, Fault);
    return Messages;
  }
  if (Root.empty() || Root.size() > MaxMessagesPerFrame)
    return makeError(ErrorCode::Malformed, "the frame has " +
                                               std::to_string(Root.size()) +
                                               " messages");
  for (json &Map : Root) {
    std::string Fault = readMessage(Map, Messages.emplace_back());
    if (!Fault.empty())
      return makeError(ErrorCode::Malformed, Fault);
  }
  return Messages;
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
