#pragma once

#include "vanillaferry/process/reason.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace vanillaferry {

/// Limits on what a caller may send and on how slowly it may read.
struct HttpLimits {
  Bytes m_MaxHeader{32 * 1024};
  Bytes m_MaxBody{8 * 1024 * 1024};
  /// A request's head must arrive within this time after its first byte, and
  /// each started SlowSenderBytes of its body may take this time once more.
  Millis m_SlowSender{10000};
  /// Applies to requests that begin after it was set.
  Millis m_SlowReader{30000};
  /// A connection without a request is closed after this time.
  Millis m_Idle{15000};
};

/// A request head as it came.
struct RequestHead {
  std::string m_Method;
  std::string m_Path;
  /// Without the question mark; empty when there is none.
  std::string m_Query;
  /// Names in lower case; several fields of a name are joined with ", ".
  std::map<std::string, std::string> m_Fields;
  bool m_HasQuery = false;
  bool m_KeepAlive = false;
  bool m_Http10 = false;
  bool m_HasBody = false;
  bool m_ExpectsContinue = false;
  /// As stated; 0 for a chunked body.
  Bytes m_BodyLength{0};
};

enum class ReadStep {
  NeedMore,
  /// The head is whole; the body follows.
  Head,
  /// The request is whole.
  Whole,
  /// See fault().
  Refused,
};

/// Reads one request from a connection's bytes, without a socket. Boost.Beast
/// parses; what is checked here is what it lets pass and what lies between its
/// limits: empty lines, the size of chunk heads and trailers, line folding, and
/// fields that two servers may read differently.
class RequestReader {
public:
  explicit RequestReader(const HttpLimits &Limits);
  ~RequestReader();
  RequestReader(const RequestReader &) = delete;
  RequestReader &operator=(const RequestReader &) = delete;

  /// Takes bytes from Input at Offset, which it advances. To be called again
  /// until it needs more.
  ReadStep read(const std::string &Input, std::size_t &Offset);
  bool headRead() const { return m_HeadRead; }
  /// True after the first byte that is not an empty line.
  bool begun() const { return m_Begun; }
  RequestHead &head() { return m_Head; }
  std::string &body() { return m_Body; }
  /// What the head and the body take up.
  Bytes heldBytes() const;
  RefusalReason fault() const { return m_Fault; }
  const std::string &faultText() const { return m_FaultText; }

private:
  struct Parser;
  ReadStep refuse(RefusalReason Reason, const std::string &Text);
  ReadStep readHead(const std::string &Input, std::size_t &Offset);
  ReadStep parseHead(const char *Data, std::size_t Size);
  ReadStep checkFields();
  ReadStep readBody(const std::string &Input, std::size_t &Offset);
  ReadStep storeBody(const char *Data, std::size_t Size);

  HttpLimits m_Limits;
  std::unique_ptr<Parser> m_Parser;
  RequestHead m_Head;
  std::string m_Body;
  std::string m_FaultText;
  RefusalReason m_Fault = RefusalReason::None;
  std::int64_t m_HeadBytes = 0;
  /// Bytes of the head that were searched for its end.
  std::size_t m_Searched = 0;
  std::size_t m_EmptyLineBytes = 0;
  /// Bytes of chunk heads and trailers since the last byte of the body.
  std::size_t m_Framing = 0;
  bool m_Begun = false;
  bool m_HeadRead = false;
};

} // namespace vanillaferry
