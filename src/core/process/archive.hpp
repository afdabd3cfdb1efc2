#pragma once

#include "process/cbor_items.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <deque>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace vanillaferry {

/// Counts the fields of a struct, for the head of its CBOR map.
struct FieldCounter {
  std::uint64_t m_Count = 0;

  template <typename T> void operator()(const char *, T &) { ++m_Count; }
  template <typename T> void optional(const char *, T &) { ++m_Count; }
  template <typename T> void whenFilled(const char *, T &Field) {
    m_Count += Field.empty() ? 0 : 1;
  }
};

/// Writes fields directly as CBOR (RFC 8949), without building a document tree,
/// because a snapshot may hold 100,000 and more journal entries. A struct is
/// read and written by one function describe(Archive &, Struct &) that lists
/// each field once.
struct StateWriter {
  std::string &m_Data;

  template <typename T> void operator()(const char *Name, const T &Field) {
    text(Name, std::char_traits<char>::length(Name));
    write(Field);
  }
  template <typename T> void optional(const char *Name, const T &Field) {
    (*this)(Name, Field);
  }

  /// Leaves an empty container out.
  template <typename T> void whenFilled(const char *Name, const T &Field) {
    if (!Field.empty())
      (*this)(Name, Field);
  }

  /// Writes the head of an item: its major type and its value or length.
  void head(std::uint8_t Major, std::uint64_t Value) {
    appendHead(m_Data, static_cast<CborMajor>(Major), Value);
  }
  void text(const char *Start, std::size_t Length) {
    head(3, Length);
    m_Data.append(Start, Length);
  }
  void write(const std::string &Value) { text(Value.data(), Value.size()); }
  template <typename Tag> void write(const StringId<Tag> &Value) {
    write(Value.m_Value);
  }
  template <typename Tag, typename Number>
  void write(const Quantity<Tag, Number> &Value) {
    write(Value.m_Value);
  }
  template <typename T> void writeList(const T &List) {
    head(4, List.size());
    for (const typename T::value_type &Item : List)
      write(Item);
  }
  template <typename T> void write(const std::vector<T> &List) {
    writeList(List);
  }
  template <typename T> void write(const std::deque<T> &List) {
    writeList(List);
  }
  template <typename K, typename V> void write(const std::map<K, V> &Rows) {
    writeList(Rows);
  }
  template <typename A, typename B> void write(const std::pair<A, B> &Value) {
    head(4, 2);
    write(Value.first);
    write(Value.second);
  }
  template <typename T> void write(const T &Value) {
    if constexpr (std::is_same_v<T, bool>) {
      m_Data.push_back(static_cast<char>(Value ? 0xF5 : 0xF4));
    } else if constexpr (std::is_enum_v<T>) {
      head(0, static_cast<std::uint64_t>(Value));
    } else if constexpr (std::is_integral_v<T>) {
      std::int64_t Signed = static_cast<std::int64_t>(Value);
      if (std::is_signed_v<T> && Signed < 0)
        head(1, static_cast<std::uint64_t>(-1 - Signed));
      else
        head(0, static_cast<std::uint64_t>(Value));
    } else {
      // describe() takes a mutable struct because StateReader writes to it; the
      // writer only reads it.
      T &Fields = const_cast<T &>(Value);
      FieldCounter Counter;
      describe(Counter, Fields);
      head(5, Counter.m_Count);
      describe(*this, Fields);
    }
  }
};

/// Last enumerator of an enum, for range checks while reading; specialized for
/// each enum.
template <typename T> struct EnumLimit;

/// Reads fields from a JSON object. m_Fault names the first field that is
/// missing or has the wrong type; fields read before it keep their values.
struct StateReader {
  const nlohmann::json &m_Object;
  std::string &m_Fault;

  template <typename T> void operator()(const char *Name, T &Field) {
    if (!m_Fault.empty())
      return;
    nlohmann::json::const_iterator Found = m_Object.find(Name);
    if (!m_Object.is_object() || Found == m_Object.end() ||
        !read(*Found, Field))
      m_Fault = m_Fault.empty() ? std::string("field ") + Name : m_Fault;
  }
  /// Keeps the field as it is when it is missing.
  template <typename T> void optional(const char *Name, T &Field) {
    if (m_Object.is_object() && m_Object.contains(Name))
      (*this)(Name, Field);
  }
  template <typename T> void whenFilled(const char *Name, T &Field) {
    optional(Name, Field);
  }

  bool read(const nlohmann::json &Value, std::string &Out) {
    if (!Value.is_string())
      return false;
    Out = Value.get_ref<const std::string &>();
    return true;
  }
  bool read(const nlohmann::json &Value, bool &Out) {
    if (!Value.is_boolean())
      return false;
    Out = Value.get<bool>();
    return true;
  }
  template <typename Tag>
  bool read(const nlohmann::json &Value, StringId<Tag> &Out) {
    return read(Value, Out.m_Value);
  }
  template <typename Tag, typename Number>
  bool read(const nlohmann::json &Value, Quantity<Tag, Number> &Out) {
    return read(Value, Out.m_Value);
  }
  template <typename T> bool readList(const nlohmann::json &Value, T &Out) {
    if (!Value.is_array())
      return false;
    for (const nlohmann::json &Item : Value) {
      Out.emplace_back();
      if (!read(Item, Out.back()))
        return false;
    }
    return true;
  }
  template <typename T>
  bool read(const nlohmann::json &Value, std::vector<T> &Out) {
    return readList(Value, Out);
  }
  template <typename T>
  bool read(const nlohmann::json &Value, std::deque<T> &Out) {
    return readList(Value, Out);
  }
  template <typename A, typename B>
  bool read(const nlohmann::json &Value, std::pair<A, B> &Out) {
    return Value.is_array() && Value.size() == 2 && read(Value[0], Out.first) &&
           read(Value[1], Out.second);
  }
  template <typename K, typename V>
  bool read(const nlohmann::json &Value, std::map<K, V> &Out) {
    if (!Value.is_array())
      return false;
    for (const nlohmann::json &Item : Value) {
      std::pair<K, V> Row;
      if (!read(Item, Row) || !Out.insert(std::move(Row)).second)
        return false;
    }
    return true;
  }
  template <typename T> bool readNumber(const nlohmann::json &Value, T &Out) {
    using Limits = std::numeric_limits<T>;
    if (Value.is_number_unsigned()) {
      std::uint64_t Number = Value.get<std::uint64_t>();
      if (Number > static_cast<std::uint64_t>(Limits::max()))
        return false;
      Out = static_cast<T>(Number);
      return true;
    }
    if (!Value.is_number_integer())
      return false;
    std::int64_t Number = Value.get<std::int64_t>();
    if constexpr (std::is_unsigned_v<T>) {
      if (Number < 0 || static_cast<std::uint64_t>(Number) > Limits::max())
        return false;
    } else if (Number < Limits::min() || Number > Limits::max()) {
      return false;
    }
    Out = static_cast<T>(Number);
    return true;
  }
  template <typename T> bool read(const nlohmann::json &Value, T &Out) {
    if constexpr (std::is_enum_v<T>) {
      std::uint8_t Number = 0;
      if (!readNumber(Value, Number) ||
          Number > static_cast<std::uint8_t>(EnumLimit<T>::Last))
        return false;
      Out = static_cast<T>(Number);
      return true;
    } else if constexpr (std::is_arithmetic_v<T>) {
      return readNumber(Value, Out);
    } else {
      StateReader Inner{Value, m_Fault};
      describe(Inner, Out);
      return m_Fault.empty();
    }
  }
};

} // namespace vanillaferry
