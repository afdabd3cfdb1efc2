#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>

namespace vanillaferry {

/// An integer with a unit; values of different units cannot be mixed.
template <typename Tag, typename Number = std::int64_t> struct Quantity {
  Number m_Value = 0;

  constexpr Quantity() = default;
  constexpr explicit Quantity(Number Value) : m_Value(Value) {}

  friend constexpr bool operator==(Quantity A, Quantity B) {
    return A.m_Value == B.m_Value;
  }
  friend constexpr bool operator!=(Quantity A, Quantity B) {
    return A.m_Value != B.m_Value;
  }
  friend constexpr bool operator<(Quantity A, Quantity B) {
    return A.m_Value < B.m_Value;
  }
  friend constexpr bool operator<=(Quantity A, Quantity B) {
    return A.m_Value <= B.m_Value;
  }
  friend constexpr bool operator>(Quantity A, Quantity B) {
    return A.m_Value > B.m_Value;
  }
  friend constexpr bool operator>=(Quantity A, Quantity B) {
    return A.m_Value >= B.m_Value;
  }
  friend constexpr Quantity operator+(Quantity A, Quantity B) {
    return Quantity(A.m_Value + B.m_Value);
  }
  friend constexpr Quantity operator-(Quantity A, Quantity B) {
    return Quantity(A.m_Value - B.m_Value);
  }
  friend std::ostream &operator<<(std::ostream &Out, Quantity Q) {
    return Out << Q.m_Value;
  }
};

/// Milliseconds of a duration, or of a monotonic clock that also advances while
/// the machine is suspended.
using Millis = Quantity<struct MillisTag>;
/// Milliseconds since the Unix epoch (wall clock).
using UnixMillis = Quantity<struct UnixMillisTag>;
using Bytes = Quantity<struct BytesTag>;
using Tokens = Quantity<struct TokensTag>;

/// Election term of the replicated log.
using Term = Quantity<struct TermTag, std::uint64_t>;
/// Position in the replicated log; the first entry has index 1.
using LogIndex = Quantity<struct LogIndexTag, std::uint64_t>;
/// Version of the router membership: the log index of its last change.
using Epoch = Quantity<struct EpochTag, std::uint64_t>;
/// Version of the whole document: the log index of its last accepted edit.
using DocumentVersion = Quantity<struct DocumentVersionTag, std::uint64_t>;
/// Version of one section: 1 for its first content, incremented by each edit.
using SectionVersion = Quantity<struct SectionVersionTag, std::uint64_t>;
/// Random number that identifies one run of a process; a restart draws another.
using Incarnation = Quantity<struct IncarnationTag, std::uint64_t>;
/// Number of an attempt to run a request, from 1.
using Attempt = Quantity<struct AttemptTag, std::uint32_t>;
/// Which commands, messages and fields a build understands, see
/// process/feature_level.hpp. Builds that state none have level 0.
using FeatureLevel = Quantity<struct FeatureLevelTag, std::uint32_t>;

} // namespace vanillaferry

template <typename Tag, typename Number>
struct std::hash<vanillaferry::Quantity<Tag, Number>> {
  std::size_t operator()(vanillaferry::Quantity<Tag, Number> Q) const noexcept {
    return std::hash<Number>()(Q.m_Value);
  }
};
