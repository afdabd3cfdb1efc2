#pragma once

#include <boost/outcome/result.hpp>
#include <ostream>
#include <string>

namespace vanillaferry {

/// Kind of an error that a module returns to its callers.
enum class ErrorCode {
  InvalidArgument,
  InvalidDocument,
  InvalidSettings,
  Malformed,
  /// Well-formed, but of a kind or form that this build does not know.
  Unsupported,
  TooLarge,
  NotFound,
  Conflict,
  NotLeader,
  Timeout,
  Unavailable,
  Corrupt,
  Io,
};

/// An error as a value: its kind and a sentence for a log.
struct Error {
  ErrorCode m_Code = ErrorCode::InvalidArgument;
  std::string m_Text;
};

inline std::ostream &operator<<(std::ostream &Out, const Error &E) {
  return Out << E.m_Text;
}

/// A value or an Error. Accessing the one that is absent terminates the
/// process.
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/// The outcome of an action without a value.
using Status = Result<void>;

/// Makes a failed Result from a kind and a text.
inline Error makeError(ErrorCode Code, std::string Text) {
  return Error{Code, std::move(Text)};
}

} // namespace vanillaferry
