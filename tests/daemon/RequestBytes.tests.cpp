#include "RouterFixture.hpp"

#include "connection/request_reader.hpp"
#include "vanillaferry/connection/caller_budget.hpp"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace vanillaferry;
using namespace vanillaferry::fakes;

namespace {

/// Reads in parts of this size; the step is the last one.
ReadStep readAll(RequestReader &Reader, const std::string &Text,
                 std::size_t Part) {
  std::string Input;
  ReadStep Step = ReadStep::NeedMore;
  for (std::size_t At = 0; At < Text.size(); At += Part) {
    Input.append(Text, At, Part);
    std::size_t Offset = 0;
    do
      Step = Reader.read(Input, Offset);
    while (Step == ReadStep::Head && Offset < Input.size());
    Input.erase(0, Offset);
    if (Step == ReadStep::Whole || Step == ReadStep::Refused)
      break;
  }
  return Step;
}

const std::string Post = "POST /x HTTP/1.1\r\nHost: h\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(RequestBytes)

// Guards against a path or query that reaches a target decoded or normalized.
BOOST_AUTO_TEST_CASE(PathAndQueryStayAsTheyCame) {
  for (std::size_t Part : {1U, 7U, 4096U}) {
    RequestReader Reader{HttpLimits()};
    BOOST_TEST((readAll(Reader,
                        "GET /a%2Fb/%41/../c?x=%2f&y=a+b HTTP/1.1\r\n"
                        "Host: h\r\nA: 1\r\na: 2\r\n\r\n",
                        Part) == ReadStep::Whole));
    BOOST_TEST(Reader.head().m_Path == "/a%2Fb/%41/../c");
    BOOST_TEST(Reader.head().m_Query == "x=%2f&y=a+b");
    BOOST_TEST(Reader.head().m_Fields["a"] == "1, 2");
  }
}

// Guards against a chunked body that depends on how its bytes arrive.
BOOST_AUTO_TEST_CASE(AChunkedBodyIsReadFromAnyParts) {
  for (std::size_t Part : {1U, 2U, 3U, 64U}) {
    RequestReader Reader{HttpLimits()};
    BOOST_TEST((readAll(Reader,
                        Post + "Transfer-Encoding: chunked\r\n\r\n"
                               "3\r\nabc\r\n2;e=1\r\nde\r\n0\r\nT: v\r\n\r\n",
                        Part) == ReadStep::Whole));
    BOOST_TEST(Reader.body() == "abcde");
  }
}

// Guards against requests that two servers may read differently (smuggling),
// and against targets that cannot be forwarded.
BOOST_AUTO_TEST_CASE(AmbiguousRequestsAreRefused) {
  const std::string Nul(1, '\0');
  for (const std::string &Text :
       {Post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        Post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        Post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        Post + "Content-Length: +3\r\n\r\nabc",
        Post + "Content-Length: 3, 3\r\n\r\nabc",
        Post + "Transfer-Encoding: gzip, chunked\r\n\r\n",
        Post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n",
        Post + "Transfer-Encoding: chunked\r\n\r\n11111111111111111\r\n",
        Post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
        Post + "A: b\r\n folded\r\n\r\n", Post + "A: b" + Nul + "\r\n\r\n",
        Post + "A : b\r\n\r\n", Post + "Host: other\r\n\r\n",
        std::string("GET /x HTTP/1.1\r\n\r\n"),
        std::string("GET /x y HTTP/1.1\r\nHost: h\r\n\r\n"),
        std::string("GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n"),
        std::string("GET /x HTTP/1.1\nHost: h\n\n")})
    for (std::size_t Part : {1U, 4096U}) {
      RequestReader Reader{HttpLimits()};
      BOOST_TEST((readAll(Reader, Text, Part) == ReadStep::Refused), Text);
      BOOST_TEST((Reader.fault() == RefusalReason::MalformedRequest), Text);
    }
}

// Guards against parts of a request that have no limit of their own.
BOOST_AUTO_TEST_CASE(EveryPartOfARequestHasALimit) {
  const std::string Chunked = Post + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Long(100000, 'x');
  for (const std::string &Text :
       {std::string(100, '\n'), Post + "A: " + Long, Chunked + "1;" + Long,
        Chunked + "0\r\nT: " + Long}) {
    RequestReader Reader{HttpLimits()};
    BOOST_TEST((readAll(Reader, Text, 1024) == ReadStep::Refused));
  }
}

// Guards against a second request that came with the first being lost, and
// against a connection that is closed after an ordinary answer.
BOOST_AUTO_TEST_CASE(RequestsInOneWriteAreAnsweredInOrder) {
  RouterFixture Fixture;
  std::string Two =
      "GET /healthz HTTP/1.1\r\nHost: t\r\n\r\n"
      "GET /none HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
  int Fd = connectTo(Fixture.port());
  Connection Out;
  Out.m_Fd = Fd;
  BOOST_TEST(Out.send(Two));
  std::string Raw;
  bool Closed = false;
  Fixture.runUntil([&] {
    char Part[4096];
    ssize_t Count = recv(Fd, Part, sizeof Part, MSG_DONTWAIT);
    if (Count > 0)
      Raw.append(Part, static_cast<std::size_t>(Count));
    Closed = Count == 0;
    return Closed;
  });
  close(Fd);
  BOOST_TEST(Closed);
  BOOST_TEST(Raw.find("HTTP/1.1 200 OK\r\n") == 0U);
  BOOST_TEST(Raw.find("Keep-Alive: timeout=15\r\n") != std::string::npos);
  BOOST_TEST(Raw.find("HTTP/1.1 ", 1) != std::string::npos);
  BOOST_TEST(Raw.find("Connection: close\r\n") != std::string::npos);
}

// Guards against a caller that waits for the word to send its body.
BOOST_AUTO_TEST_CASE(ACallerThatAsksIsToldToSendItsBody) {
  RouterFixture Fixture;
  Connection Out;
  Out.m_Fd = connectTo(Fixture.port());
  std::string Raw;
  auto Received = [&](const std::string &Text) {
    return Fixture.runUntil([&] {
      char Part[4096];
      ssize_t Count = recv(Out.m_Fd, Part, sizeof Part, MSG_DONTWAIT);
      if (Count > 0)
        Raw.append(Part, static_cast<std::size_t>(Count));
      return Raw.find(Text) != std::string::npos;
    });
  };
  BOOST_TEST(Out.send("POST /v1/chat/completions HTTP/1.1\r\n"
                      "Host: t\r\nExpect: 100-continue\r\n"
                      "Content-Length: 3\r\n\r\n"));
  BOOST_TEST(Received("HTTP/1.1 100 Continue\r\n\r\n"));
  BOOST_TEST(Out.send("abc"));
  BOOST_TEST(Received("\r\n\r\nHTTP/1.1 "));
  close(Out.m_Fd);
}

// Guards against a budget that takes new bodies until none can be completed.
BOOST_AUTO_TEST_CASE(NewBodiesLeaveRoomForThoseUnderWay) {
  CallerBudget Budget{Bytes(100), Bytes(74)};
  BOOST_TEST(hasRoom(Budget, RoomFor::LargeBody));
  Budget.m_Held = Bytes(75);
  BOOST_TEST(!hasRoom(Budget, RoomFor::LargeBody));
  BOOST_TEST(hasRoom(Budget, RoomFor::WholeRequest));
  Budget.m_Held = Bytes(101);
  BOOST_TEST(!hasRoom(Budget, RoomFor::WholeRequest));
  BOOST_TEST(callerLimit(Bytes(0), Bytes(160)) == Bytes(40));
  BOOST_TEST(callerLimit(Bytes(7), Bytes(160)) == Bytes(7));
}

BOOST_AUTO_TEST_SUITE_END()
