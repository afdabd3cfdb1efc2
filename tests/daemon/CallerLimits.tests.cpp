#include "RouterFixture.hpp"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace vanillaferry;
using namespace vanillaferry::fakes;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// Sends the pieces with a pause before each but the first.
Answer trickle(RouterFixture &Fixture, std::vector<std::string> Pieces,
               int PauseMs) {
  std::uint16_t Port = Fixture.port();
  std::future<Answer> Pending =
      std::async(std::launch::async, [Port, Pieces, PauseMs] {
        Connection Out;
        Out.m_Fd = connectTo(Port);
        for (const std::string &Piece : Pieces) {
          if (!Out.send(Piece))
            break;
          usleep(static_cast<useconds_t>(PauseMs) * 1000);
        }
        return readAnswer(Out.m_Fd);
      });
  Fixture.runUntil([&Pending] {
    return Pending.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  });
  return Pending.get();
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerLimits)

// Guards against a large request header that exhausts memory.
BOOST_AUTO_TEST_CASE(ALargeHeaderIsRefusedWithItsOwnReason) {
  RouterFixture Fixture;
  Fixture.grantTargets({}, {}, R"({"max_header_bytes":2000})");
  Answer Got = Fixture.exchange(
      RouterFixture::chatText(true, {{"X-Filler", std::string(3000, 'a')}}));
  BOOST_TEST(Got.m_Status == 431);
  BOOST_TEST(contains(Got.m_Body, "\"name\":\"header_too_large\""));
  BOOST_TEST(contains(Got.m_Body, "\"not_run\":true"));
  BOOST_TEST(Fixture.refusals(RefusalReason::HeaderTooLarge) == 1U);
}

// Guards against reading a body whose Content-Length is above the limit.
BOOST_AUTO_TEST_CASE(ALargeDeclaredBodyIsRefusedBeforeItIsRead) {
  RouterFixture Fixture;
  Fixture.grantTargets({}, {}, R"({"max_body_bytes":1000})");
  Answer Got = Fixture.exchange(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\n"
      "Content-Length: 100000\r\nAuthorization: Bearer key-a\r\n\r\n");
  BOOST_TEST(Got.m_Status == 413);
  BOOST_TEST(contains(Got.m_Body, "\"name\":\"body_too_large\""));
}

// Guards against a chunked body of unknown size that exhausts memory.
BOOST_AUTO_TEST_CASE(ALargeChunkedBodyIsRefusedWhileItArrives) {
  RouterFixture Fixture;
  Fixture.grantTargets({}, {}, R"({"max_body_bytes":1000})");
  std::string Text = "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  for (int I = 0; I < 10; ++I)
    Text += chunk(std::string(300, 'b'));
  Answer Got = Fixture.exchange(Text);
  BOOST_TEST(Got.m_Status == 413);
  BOOST_TEST(Fixture.refusals(RefusalReason::BodyTooLarge) == 1U);
}

// Guards against a caller that keeps a connection occupied by sending its body
// a byte at a time.
BOOST_AUTO_TEST_CASE(ATricklingBodyIsRefusedAsASlowSender) {
  RouterFixture Fixture;
  Fixture.grantTargets({}, {}, R"({"slow_sender_ms":200})");
  std::vector<std::string> Pieces = {
      "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\n"
      "Content-Length: 100\r\nX-Request-Id: slow-1\r\n\r\n"};
  for (int I = 0; I < 12; ++I)
    Pieces.emplace_back("x");
  Answer Got = trickle(Fixture, Pieces, 40);
  BOOST_TEST(Got.m_Status == 408);
  BOOST_TEST(contains(Got.m_Body, "\"name\":\"slow_sender\""));
  BOOST_TEST(contains(Got.m_Body, "body arrives too slowly"));
  BOOST_TEST(Got.m_Fields["x-request-id"] == "slow-1");
}

// Guards against a header sent a byte at a time, before a request id is known.
BOOST_AUTO_TEST_CASE(ATricklingHeaderIsRefusedAsASlowSender) {
  RouterFixture Fixture;
  Fixture.grantTargets({}, {}, R"({"slow_sender_ms":200})");
  std::vector<std::string> Pieces = {"POST /v1/chat/completions HTTP/1.1\r\n"};
  for (int I = 0; I < 12; ++I)
    Pieces.emplace_back("X");
  Answer Got = trickle(Fixture, Pieces, 40);
  BOOST_TEST(Got.m_Status == 408);
  BOOST_TEST(contains(Got.m_Body, "header arrives too slowly"));
  BOOST_TEST(!Got.m_Fields["x-request-id"].empty());
}

// Guards against a large body being refused although it arrives steadily.
BOOST_AUTO_TEST_CASE(ALargeBodyThatArrivesSteadilyHasMoreTime) {
  RouterFixture Fixture;
  Fixture.grantTargets({}, {}, R"({"slow_sender_ms":200})");
  std::string Body(6 * 65536, ' ');
  std::vector<std::string> Pieces = {
      "POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\nContent-Length: " +
      std::to_string(Body.size()) + "\r\nAuthorization: Bearer key-a\r\n\r\n"};
  for (int I = 0; I < 6; ++I)
    Pieces.push_back(Body.substr(0, 65536));
  Answer Got = trickle(Fixture, Pieces, 80);
  BOOST_TEST(Got.m_Status == 400);
  BOOST_TEST(contains(Got.m_Body, "\"name\":\"malformed_request\""));
}

// Guards against requests with an unknown API key.
BOOST_AUTO_TEST_CASE(AnUnknownKeyIsRefused) {
  RouterFixture Fixture;
  Fixture.grantTargets({}, {});
  Answer Got =
      Fixture.exchange(requestText("POST", "/v1/chat/completions", "{}",
                                   {{"Authorization", "Bearer key-b"}}));
  BOOST_TEST(Got.m_Status == 401);
  BOOST_TEST(contains(Got.m_Body, "\"reason\":104"));
}

// Guards against a request that cannot be routed being refused without its
// specific reason.
BOOST_AUTO_TEST_CASE(ARequestThatCannotBeRoutedIsRefusedWithItsReason) {
  RouterFixture Fixture;
  Fixture.grantTargets({}, {});
  std::vector<std::pair<std::string, std::string>> Key = {
      {"Authorization", "Bearer key-a"}};
  Answer NoJson = Fixture.exchange(
      requestText("POST", "/v1/chat/completions", "not json", Key));
  BOOST_TEST(NoJson.m_Status == 400);
  Answer NoModel = Fixture.exchange(requestText(
      "POST", "/v1/chat/completions",
      R"({"model":"other","messages":[{"role":"user","content":"x"}]})", Key));
  BOOST_TEST(NoModel.m_Status == 404);
  BOOST_TEST(contains(NoModel.m_Body, "unknown_model"));
  Answer NoService =
      Fixture.exchange(requestText("GET", "/services/none/x", "", Key));
  BOOST_TEST(NoService.m_Status == 404);
  BOOST_TEST(contains(NoService.m_Body, "unknown_service"));
  Answer NoTarget = Fixture.exchange(RouterFixture::chatText(true));
  BOOST_TEST(NoTarget.m_Status == 503);
  BOOST_TEST(contains(NoTarget.m_Body, "no_target_in_service"));
  BOOST_TEST(NoTarget.m_Fields["retry-after"] == "5");
}

// Guards against a load balancer sending requests to a router without a lease
// or to one that is shutting down.
BOOST_AUTO_TEST_CASE(ReadinessFollowsTheLeaseAndTheShutdown) {
  RouterFixture Fixture;
  BOOST_TEST(Fixture.exchange(requestText("GET", "/readyz", "", {})).m_Status ==
             503);
  BOOST_TEST(
      Fixture.exchange(requestText("GET", "/healthz", "", {})).m_Status == 200);
  Fixture.grantTargets({}, {});
  BOOST_TEST(Fixture.exchange(requestText("GET", "/readyz", "", {})).m_Status ==
             200);
  drainRouter(Fixture.m_Router);
  BOOST_TEST(Fixture.exchange(requestText("GET", "/readyz", "", {})).m_Status ==
             503);
  Answer Refused = Fixture.exchange(RouterFixture::chatText(true));
  BOOST_TEST(contains(Refused.m_Body, "\"name\":\"draining\""));
}

// Guards against a counter that appears only after its first event.
BOOST_AUTO_TEST_CASE(EveryReasonHasACounterFromTheStart) {
  RouterFixture Fixture;
  Answer Got = Fixture.exchange(requestText("GET", "/metrics", "", {}));
  BOOST_TEST(Got.m_Status == 200);
  for (RefusalReason Reason : allRefusalReasons())
    BOOST_TEST(contains(Got.m_Body, "vanillaferry_refusals_total{reason=\"" +
                                        std::string(refusalName(Reason)) +
                                        "\"} 0"));
  for (RetryReason Reason : allRetryReasons())
    BOOST_TEST(contains(Got.m_Body, "vanillaferry_retries_total{reason=\"" +
                                        std::string(retryName(Reason)) +
                                        "\"} 0"));
}

// Guards against an account exceeding its concurrency limit, and against a
// request that waits without end.
BOOST_AUTO_TEST_CASE(ARequestAboveTheAccountsLimitWaitsUntilItsDeadline) {
  FakeServer Engine([](Connection &Open) { Open.closedWithin(5000); });
  RouterFixture Fixture;
  Fixture.grantTargets({Engine.url()}, {});
  Fixture.m_Router.m_Accounts.m_Accounts[AccountId("alice")].m_Share = 1;
  Connection First;
  First.m_Fd = connectTo(Fixture.port());
  First.send(RouterFixture::chatText(true));
  BOOST_TEST(Fixture.runUntil([&] { return Engine.arrivals() == 1; }));
  Answer Got = Fixture.exchange(
      RouterFixture::chatText(true, {{"X-Deadline-Ms", "150"}}));
  BOOST_TEST(Got.m_Status == 503);
  BOOST_TEST(contains(Got.m_Body, "\"name\":\"deadline_unreachable\""));
  BOOST_TEST(contains(Got.m_Body, "\"not_run\":true"));
  BOOST_TEST(Engine.arrivals() == 1);
  close(First.m_Fd);
}

BOOST_AUTO_TEST_SUITE_END()
