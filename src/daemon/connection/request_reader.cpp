#include "connection/request_reader.hpp"

#include "connection/held_bytes.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <limits>
#include <set>

namespace vanillaferry {

namespace http = boost::beast::http;

namespace {

/// Method, version and line ends, which the manifest's limit does not count.
constexpr std::size_t HeadSlack = 256;
/// Some callers send an empty line after a body.
constexpr std::size_t MaxEmptyLineBytes = 16;
constexpr std::size_t MaxFields = 256;
/// One chunk head, or all trailers.
constexpr std::size_t MaxFraming = 4096;
constexpr std::size_t BodyPart = 64 * 1024;

bool equals(boost::beast::string_view Text, const char *Other) {
  return boost::beast::iequals(Text, Other);
}

/// Describes what makes the raw head ambiguous; nullptr when nothing does.
const char *rawFault(const char *Data, std::size_t Size) {
  for (std::size_t At = 0; At < Size; ++At) {
    if (Data[At] == '\0')
      return "the header contains a NUL byte";
    if (Data[At] != '\n')
      continue;
    if (At == 0 || Data[At - 1] != '\r')
      return "a line of the header does not end with CR and LF";
    if (At + 1 < Size && (Data[At + 1] == ' ' || Data[At + 1] == '\t'))
      return "a field of the header is folded";
  }
  return nullptr;
}

std::string lower(boost::beast::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Lower;
}

} // namespace

struct RequestReader::Parser {
  http::request_parser<http::buffer_body> m_Parser;
};

RequestReader::RequestReader(const HttpLimits &Limits) : m_Limits(Limits) {}

RequestReader::~RequestReader() = default;

Bytes RequestReader::heldBytes() const {
  std::int64_t Own = sizeof *this + (m_Parser ? sizeof *m_Parser : 0);
  return Bytes(Own + m_HeadBytes + allocatedFor(m_Body));
}

ReadStep RequestReader::refuse(RefusalReason Reason, const std::string &Text) {
  m_Fault = Reason;
  m_FaultText = Text;
  return ReadStep::Refused;
}

ReadStep RequestReader::read(const std::string &Input, std::size_t &Offset) {
  if (m_Fault != RefusalReason::None)
    return ReadStep::Refused;
  return m_HeadRead ? readBody(Input, Offset) : readHead(Input, Offset);
}

ReadStep RequestReader::readHead(const std::string &Input,
                                 std::size_t &Offset) {
  while (!m_Begun && Offset < Input.size()) {
    if (Input[Offset] != '\r' && Input[Offset] != '\n') {
      m_Begun = true;
      break;
    }
    ++Offset;
    if (++m_EmptyLineBytes > MaxEmptyLineBytes)
      return refuse(RefusalReason::MalformedRequest,
                    "too many empty lines before the request");
  }
  const std::string End = "\r\n\r\n";
  std::size_t Held = Input.size() - Offset;
  // The end may have begun in the bytes that were searched before.
  std::size_t From = m_Searched > End.size() ? m_Searched - End.size() : 0;
  std::size_t Found = Input.find(End, Offset + From);
  m_Searched = Held;
  std::size_t Max =
      static_cast<std::size_t>(m_Limits.m_MaxHeader.m_Value) + HeadSlack;
  std::size_t Size =
      Found == std::string::npos ? Held : Found + End.size() - Offset;
  if (Size > Max)
    return refuse(RefusalReason::HeaderTooLarge,
                  "the header has more than " +
                      std::to_string(m_Limits.m_MaxHeader.m_Value) + " bytes");
  if (Found == std::string::npos) {
    // A head with other line ends never ends.
    if (const char *Fault = rawFault(&Input[Offset], Held))
      return refuse(RefusalReason::MalformedRequest, Fault);
    return ReadStep::NeedMore;
  }
  ReadStep Step = parseHead(&Input[Offset], Size);
  Offset += Size;
  return Step;
}

ReadStep RequestReader::parseHead(const char *Data, std::size_t Size) {
  if (const char *Fault = rawFault(Data, Size))
    return refuse(RefusalReason::MalformedRequest, Fault);
  m_Parser = std::make_unique<Parser>();
  http::request_parser<http::buffer_body> &Read = m_Parser->m_Parser;
  Read.header_limit(static_cast<std::uint32_t>(Size + HeadSlack));
  // The limit is checked here, since Boost 1.74 has none for a limit of 0.
  Read.body_limit(std::numeric_limits<std::uint64_t>::max());
  boost::system::error_code Fault;
  std::size_t Used = Read.put(boost::asio::buffer(Data, Size), Fault);
  if ((Fault && Fault != http::error::need_more &&
       Fault != http::error::need_buffer) ||
      !Read.is_header_done() || Used != Size)
    return refuse(RefusalReason::MalformedRequest,
                  "not an HTTP request: " + Fault.message());
  ReadStep Step = checkFields();
  m_HeadBytes = allocatedFor(m_Head.m_Fields) + allocatedFor(m_Head.m_Path) +
                allocatedFor(m_Head.m_Query);
  // The body needs the parser's state, not the fields, which m_Head holds.
  Read.get().clear();
  Read.get().target("");
  return Step;
}

ReadStep RequestReader::checkFields() {
  http::request_parser<http::buffer_body> &Read = m_Parser->m_Parser;
  const http::request<http::buffer_body> &Request = Read.get();
  auto Bad = [this](const char *Text) {
    return refuse(RefusalReason::MalformedRequest, Text);
  };
  std::size_t Count = 0;
  for (const http::fields::value_type &Each : Request) {
    if (++Count > MaxFields)
      return refuse(RefusalReason::HeaderTooLarge,
                    "the header has more than " + std::to_string(MaxFields) +
                        " fields");
    std::string &Field = m_Head.m_Fields[lower(Each.name_string())];
    std::string Value(Each.value());
    Field = Field.empty() ? Value : Field + ", " + Value;
  }
  m_HeadRead = true;
  m_Head.m_Method = std::string(Request.method_string());
  m_Head.m_Http10 = Request.version() < 11;
  m_Head.m_KeepAlive = Read.keep_alive();
  std::string Target(Request.target());
  std::size_t Query = Target.find('?');
  m_Head.m_Path = Target.substr(0, Query);
  m_Head.m_HasQuery = Query != std::string::npos;
  if (m_Head.m_HasQuery)
    m_Head.m_Query = Target.substr(Query + 1);
  if (Target.empty() || Target[0] != '/' ||
      std::any_of(Target.begin(), Target.end(),
                  [](char C) { return (C >= 0 && C <= ' ') || C == 0x7F; }))
    return Bad("the request's target is not a path");
  if (Request.version() != 10 && Request.version() != 11)
    return Bad("not HTTP/1.0 or HTTP/1.1");
  std::size_t Lengths = Request.count(http::field::content_length);
  std::size_t Codings = Request.count(http::field::transfer_encoding);
  if (Lengths > 1 || Codings > 1 || (Lengths > 0 && Codings > 0))
    return Bad("the header states the body's length twice");
  if (Codings > 0 &&
      (m_Head.m_Http10 ||
       !equals(Request[http::field::transfer_encoding], "chunked")))
    return Bad("the body has an unknown transfer coding");
  // Beast takes several equal numbers in one field.
  boost::beast::string_view Stated = Request[http::field::content_length];
  if (!std::all_of(Stated.begin(), Stated.end(),
                   [](char C) { return C >= '0' && C <= '9'; }))
    return Bad("the body's length is not a number");
  std::size_t Hosts = Request.count(http::field::host);
  if (Hosts > 1 || (Hosts == 0 && !m_Head.m_Http10))
    return Bad("the header needs one Host field");
  std::uint64_t Length =
      Lengths > 0 ? Read.content_length().value_or(0) : std::uint64_t(0);
  if (Length > static_cast<std::uint64_t>(m_Limits.m_MaxBody.m_Value))
    return refuse(RefusalReason::BodyTooLarge,
                  "the body is larger than " +
                      std::to_string(m_Limits.m_MaxBody.m_Value) + " bytes");
  m_Head.m_HasBody = Length > 0 || Codings > 0;
  m_Head.m_BodyLength = Bytes(static_cast<std::int64_t>(Length));
  m_Head.m_ExpectsContinue =
      !m_Head.m_Http10 && equals(Request[http::field::expect], "100-continue");
  return m_Head.m_HasBody ? ReadStep::Head : ReadStep::Whole;
}

ReadStep RequestReader::readBody(const std::string &Input,
                                 std::size_t &Offset) {
  http::request_parser<http::buffer_body> &Read = m_Parser->m_Parser;
  static std::array<char, BodyPart> Part;
  while (!Read.is_done()) {
    Read.get().body().data = Part.data();
    Read.get().body().size = Part.size();
    Read.get().body().more = true;
    std::size_t Left = Input.size() - Offset;
    if (Left == 0)
      return ReadStep::NeedMore;
    // A bound on each step, so that the parser, which searches for the end of a
    // chunk head, looks at few bytes again and again.
    std::size_t Taken = std::min(Left, Part.size());
    boost::system::error_code Fault;
    std::size_t Used =
        Read.put(boost::asio::buffer(&Input[Offset], Taken), Fault);
    if (Fault && Fault != http::error::need_more &&
        Fault != http::error::need_buffer)
      return refuse(RefusalReason::MalformedRequest,
                    "the body is malformed: " + Fault.message());
    Offset += Used;
    std::size_t Produced = Part.size() - Read.get().body().size;
    m_Framing = Produced > 0 ? 0 : m_Framing + Used;
    if (Produced > 0 && storeBody(Part.data(), Produced) == ReadStep::Refused)
      return ReadStep::Refused;
    if (m_Framing > MaxFraming ||
        (Used == 0 && Produced == 0 && Left > MaxFraming))
      return refuse(RefusalReason::MalformedRequest,
                    "a chunk's head or the trailer is too long");
    if (Used == 0 && Produced == 0)
      return Read.is_done() ? ReadStep::Whole : ReadStep::NeedMore;
  }
  return ReadStep::Whole;
}

ReadStep RequestReader::storeBody(const char *Data, std::size_t Size) {
  std::size_t Max = static_cast<std::size_t>(m_Limits.m_MaxBody.m_Value);
  if (m_Body.size() + Size > Max)
    return refuse(RefusalReason::BodyTooLarge,
                  "the body is larger than " + std::to_string(Max) + " bytes");
  appendByHalf(m_Body, Data, Size);
  return ReadStep::NeedMore;
}

} // namespace vanillaferry
