#pragma once

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

/// Writes fields into a JSON object. A struct is read and written by one
/// function describe(Archive &, Struct &) that names each field once.
struct StateWriter {
  nlohmann::json m_Object = nlohmann::json::object();

  template <typename T> void operator()(const char *Name, const T &Field) {
    m_Object[Name] = valueOf(Field);
  }

  static nlohmann::json valueOf(const std::string &Value) { return Value; }
  template <typename Tag>
  static nlohmann::json valueOf(const StringId<Tag> &Value) {
    return Value.m_Value;
  }
  template <typename Tag, typename Number>
  static nlohmann::json valueOf(const Quantity<Tag, Number> &Value) {
    return Value.m_Value;
  }
  template <typename T> static nlohmann::json listOf(const T &List) {
    nlohmann::json Out = nlohmann::json::array();
    for (const typename T::value_type &Item : List)
      Out.push_back(valueOf(Item));
    return Out;
  }
  template <typename T>
  static nlohmann::json valueOf(const std::vector<T> &List) {
    return listOf(List);
  }
  template <typename T>
  static nlohmann::json valueOf(const std::deque<T> &List) {
    return listOf(List);
  }
  template <typename A, typename B>
  static nlohmann::json valueOf(const std::pair<A, B> &Value) {
    nlohmann::json Out = nlohmann::json::array();
    Out.push_back(valueOf(Value.first));
    Out.push_back(valueOf(Value.second));
    return Out;
  }
  template <typename K, typename V>
  static nlohmann::json valueOf(const std::map<K, V> &Rows) {
    return listOf(Rows);
  }
  template <typename T> static nlohmann::json valueOf(const T &Value) {
    if constexpr (std::is_enum_v<T>) {
      return static_cast<std::uint64_t>(Value);
    } else if constexpr (std::is_arithmetic_v<T>) {
      return Value;
    } else {
      StateWriter Inner;
      // describe() takes a mutable struct for the reader; a writer only reads.
      describe(Inner, const_cast<T &>(Value));
      return std::move(Inner.m_Object);
    }
  }
};

/// Largest value of an enum, for checks while reading; one overload each.
template <typename T> struct EnumLimit;

/// Reads fields from a JSON object. The first missing or ill-typed field is
/// named in m_Fault; what was read before stays.
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
