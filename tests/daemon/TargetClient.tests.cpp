#include "RouterFixture.hpp"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <sys/socket.h>

using namespace vanillaferry;
using namespace vanillaferry::fakes;

namespace {

/// Sends one PUT and returns how it ended.
CallEnd callOnce(const std::string &Url, bool MayDispatch) {
  std::shared_ptr<FdWatcher> Watcher = std::make_shared<FdWatcher>();
  bool Ended = false;
  CallEnd Result = CallEnd::Complete;
  CallHandlers Handlers;
  Handlers.m_MayDispatch = [MayDispatch] { return MayDispatch; };
  Handlers.m_OnHead = [](const TargetHead &) {};
  Handlers.m_OnData = [](const char *, std::size_t) {};
  Handlers.m_OnEnd = [&](CallEnd How, const std::string &) {
    Ended = true;
    Result = How;
  };
  TargetRequest Request;
  Request.m_Method = "PUT";
  Request.m_Url = Url + "/x";
  Request.m_ContentType = "text/plain";
  Request.m_Body = "body";
  std::shared_ptr<TargetCall> Call =
      TargetCall::start(nullptr, *Watcher, Request, std::move(Handlers));
  RouterFixture::runUntil([&Ended] { return Ended; });
  RouterFixture::runUntil([] { return false; }, 100);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TargetClient)

// Guards against bytes that leave after the lease ended during the connect.
BOOST_AUTO_TEST_CASE(NoByteLeavesWhenTheCheckBeforeTheDispatchFails) {
  FakeServer Server([](Connection &) {});
  BOOST_TEST((callOnce(Server.url(), false) == CallEnd::Forbidden));
  BOOST_TEST(Server.arrivals() == 0);
}

// Guards against a refused connection being taken for a call that may have run,
// and the other way round.
BOOST_AUTO_TEST_CASE(ACallThatLeftIsToldApartFromOneThatDidNot) {
  BOOST_TEST((callOnce("http://127.0.0.1:1", true) == CallEnd::NotSent));
  BOOST_TEST((callOnce("no url", true) == CallEnd::NotSent));
  FakeServer Server([](Connection &) {});
  BOOST_TEST((callOnce(Server.url(), true) == CallEnd::Broken));
  BOOST_TEST(Server.arrivals() == 1);
}

// Guards against a truncated answer passing as whole.
BOOST_AUTO_TEST_CASE(AnAnswerShorterThanItsStatedLengthIsBroken) {
  FakeServer Server([](Connection &Open) {
    Open.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort");
  });
  BOOST_TEST((callOnce(Server.url(), true) == CallEnd::Broken));
}

// Guards against a stream that a crashed target cut being taken for complete.
BOOST_AUTO_TEST_CASE(AChunkedAnswerWithoutItsLastChunkIsBroken) {
  FakeServer Server([](Connection &Open) {
    Open.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5\r\nfirst\r\n");
  });
  BOOST_TEST((callOnce(Server.url(), true) == CallEnd::Broken));
}

// Guards against a reset on the way being taken for the end of an answer whose
// end is the end of its connection.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutALengthIsBrokenByAReset) {
  FakeServer Server([](Connection &Open) {
    Open.send("HTTP/1.1 200 OK\r\n\r\nfirst");
    linger Abort{1, 0};
    setsockopt(Open.m_Fd, SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
  });
  BOOST_TEST((callOnce(Server.url(), true) == CallEnd::Broken));
}

// Guards against a request that was given up while its bytes were held up on
// the way, and which the kernel delivers after an orderly close.
BOOST_AUTO_TEST_CASE(ARequestThatIsGivenUpWithoutAnAnswerIsReset) {
  std::atomic<bool> Ended{false};
  std::atomic<bool> Reset{false};
  FakeServer Server([&](Connection &Open) {
    char Byte = 0;
    ssize_t Count = recv(Open.m_Fd, &Byte, 1, 0);
    Reset = Count < 0 && errno == ECONNRESET;
    Ended = true;
  });
  std::shared_ptr<FdWatcher> Watcher = std::make_shared<FdWatcher>();
  TargetRequest Request;
  Request.m_Method = "GET";
  Request.m_Url = Server.url() + "/x";
  std::shared_ptr<TargetCall> Call =
      TargetCall::start(nullptr, *Watcher, Request, CallHandlers());
  RouterFixture::runUntil([&Server] { return Server.arrivals() == 1; });
  Call->cancel();
  RouterFixture::runUntil([&Ended] { return Ended.load(); });
  BOOST_TEST(Reset);
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutALengthEndsWithItsConnection) {
  FakeServer Server(
      [](Connection &Open) { Open.send("HTTP/1.1 200 OK\r\n\r\nwhole"); });
  BOOST_TEST((callOnce(Server.url(), true) == CallEnd::Complete));
}

BOOST_AUTO_TEST_SUITE_END()
