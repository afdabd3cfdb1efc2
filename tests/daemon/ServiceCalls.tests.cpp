#include "RouterFixture.hpp"

#include "request/idempotency_key.hpp"
#include "request/journal_client.hpp"
#include "request/session.hpp"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace vanillaferry;
using namespace vanillaferry::fakes;

namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// Stands in for the keepers' journal: answers the begin and end messages that
/// the router waits for.
struct FakeJournal {
  Router &m_Router;
  JournalStatus m_BeginStatus = JournalStatus::Granted;
  CallAnswer m_Recorded;
  std::vector<JournalEnd> m_Ends;
  std::vector<JournalBegin> m_Begins;
  Timer m_Timer;

  explicit FakeJournal(Router &R) : m_Router(R) {
    m_Timer.start(5, [this] {
      answerAll();
      return true;
    });
  }

  void answerAll() {
    std::vector<JournalAnswer> Answers;
    for (const std::pair<const RequestId, JournalCall> &Row :
         m_Router.m_JournalBegins) {
      m_Begins.push_back(std::get<JournalBegin>(Row.second.m_Message));
      Answers.push_back({Row.first, m_BeginStatus, m_Recorded});
    }
    for (const std::pair<const RequestId, JournalCall> &Row :
         m_Router.m_JournalEnds) {
      m_Ends.push_back(std::get<JournalEnd>(Row.second.m_Message));
      Answers.push_back({Row.first, JournalStatus::Ended, CallAnswer()});
    }
    for (const JournalAnswer &Answer : Answers)
      takeJournalAnswer(m_Router, Answer);
  }
};

std::string
orderText(const std::string &Method,
          std::vector<std::pair<std::string, std::string>> Fields = {}) {
  Fields.emplace_back("Authorization", "Bearer key-a");
  Fields.emplace_back("Content-Type", "application/json");
  return requestText(Method, "/services/shop/orders?lot=7", R"({"n":4})",
                     Fields);
}

std::pair<std::string, std::string> freshKey() {
  return {"Idempotency-Key", issueKey(wallNow()).m_Value};
}

const std::string Created = "HTTP/1.1 201 Created\r\nContent-Type: "
                            "text/plain\r\nContent-Length: 5\r\n\r\nrun 1";

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceCalls)

// Guards against a call's path, key, body, status or answer getting lost.
BOOST_AUTO_TEST_CASE(AJournaledCallRunsOnceAndItsOutcomeIsRecorded) {
  FakeServer Shop([](Connection &Open) { Open.send(Created); });
  RouterFixture Fixture;
  Fixture.grantTargets({}, {Shop.url()});
  FakeJournal Journal(Fixture.m_Router);
  std::pair<std::string, std::string> Key = freshKey();
  Answer Got = Fixture.exchange(orderText("POST", {Key}));
  BOOST_TEST(Got.m_Status == 201);
  BOOST_TEST(Got.m_Body == "run 1");
  BOOST_TEST(Got.m_Fields["content-type"] == "text/plain");
  BOOST_TEST(Shop.arrivals() == 1);
  BOOST_TEST(contains(Shop.requests()[0], "POST /orders?lot=7 HTTP/1.1"));
  BOOST_TEST(contains(Shop.requests()[0], R"({"n":4})"));
  BOOST_TEST(fieldIn(Shop.requests()[0], "Idempotency-Key") == Key.second);
  BOOST_REQUIRE(Journal.m_Ends.size() == 1U);
  BOOST_TEST((Journal.m_Ends[0].m_Outcome == CallOutcome::Answered));
  BOOST_TEST(Journal.m_Ends[0].m_Answer.m_Body == "run 1");
}

// Guards against a call arriving twice: neither libsoup nor the router may
// retry a call whose server read it and closed the connection. PUT and DELETE
// are the methods that HTTP libraries retry by themselves.
BOOST_AUTO_TEST_CASE(AServerThatReadsAndClosesSeesExactlyOneArrival) {
  for (const char *Method : {"POST", "PUT", "DELETE", "PATCH"}) {
    FakeServer Shop([](Connection &) {});
    RouterFixture Fixture;
    Fixture.grantTargets({}, {Shop.url()});
    FakeJournal Journal(Fixture.m_Router);
    Answer Got = Fixture.exchange(orderText(Method, {freshKey()}));
    Fixture.runUntil([] { return false; }, 300);
    BOOST_TEST(Shop.arrivals() == 1, Method);
    BOOST_TEST(Got.m_Status == 409);
    BOOST_TEST(contains(Got.m_Body, "\"name\":\"outcome_unknown\""));
    BOOST_TEST(contains(Got.m_Body, "\"not_run\":\"unknown\""));
    BOOST_REQUIRE(Journal.m_Ends.size() == 1U);
    BOOST_TEST((Journal.m_Ends[0].m_Outcome == CallOutcome::Unknown));
  }
}

// Guards against libsoup retrying after 408 and 401 answers.
BOOST_AUTO_TEST_CASE(StatusesThatLibrariesRetryArePassedOnOnce) {
  for (const char *Status : {"408 Request Timeout", "401 Unauthorized",
                             "503 Unavailable", "302 Found"}) {
    FakeServer Shop([Status](Connection &Open) {
      Open.send("HTTP/1.1 " + std::string(Status) +
                "\r\nLocation: /other\r\nWWW-Authenticate: Basic realm=x\r\n"
                "Content-Length: 2\r\n\r\nno");
    });
    RouterFixture Fixture;
    Fixture.grantTargets({}, {Shop.url()});
    FakeJournal Journal(Fixture.m_Router);
    Answer Got = Fixture.exchange(orderText("PUT", {freshKey()}));
    BOOST_TEST(Got.m_Status == std::stoi(Status),
               Got.m_Status << " " << Got.m_Body);
    BOOST_TEST(Shop.arrivals() == 1, Status);
  }
}

// Guards against an unreachable service being reported as "may have run".
BOOST_AUTO_TEST_CASE(ACallWhoseTargetAcceptsNoConnectionDidNotRun) {
  RouterFixture Fixture;
  Fixture.grantTargets({}, {"http://127.0.0.1:1"});
  FakeJournal Journal(Fixture.m_Router);
  Answer Got = Fixture.exchange(orderText("POST", {freshKey()}));
  BOOST_TEST(Got.m_Status == 502);
  BOOST_TEST(contains(Got.m_Body, "\"name\":\"target_failed\""));
  BOOST_TEST(contains(Got.m_Body, "\"not_run\":true"));
  BOOST_TEST(Fixture.runUntil([&] { return Journal.m_Ends.size() == 1U; }));
  BOOST_TEST((Journal.m_Ends[0].m_Outcome == CallOutcome::NotRun));
}

// Guards against an idempotent request failing because a connection broke.
BOOST_AUTO_TEST_CASE(AnIdempotentRequestIsRetried) {
  FakeServer Shop([](Connection &Open) {
    if (Open.m_Number > 1)
      Open.send(Created);
  });
  RouterFixture Fixture;
  Fixture.grantTargets({}, {Shop.url()});
  Answer Got = Fixture.exchange(orderText("GET"));
  BOOST_TEST(Got.m_Status == 201);
  BOOST_TEST(Shop.arrivals() == 2);
  BOOST_TEST(Fixture.retries(RetryReason::StreamBroken) == 1U);
}

// Guards against a call being sent although the journal did not grant it.
BOOST_AUTO_TEST_CASE(WithoutAGrantOfTheJournalNothingIsSent) {
  struct Row {
    JournalStatus m_Status;
    const char *m_Name;
    int m_HttpStatus;
  };
  for (const Row &Case :
       {Row{JournalStatus::Running, "already_running", 409},
        Row{JournalStatus::OutcomeUnknown, "outcome_unknown", 409},
        Row{JournalStatus::BodyMismatch, "key_body_mismatch", 422},
        Row{JournalStatus::KeyExpired, "key_expired", 410},
        Row{JournalStatus::KeyFromFuture, "key_from_future", 400}}) {
    FakeServer Shop([](Connection &Open) { Open.send(Created); });
    RouterFixture Fixture;
    Fixture.grantTargets({}, {Shop.url()});
    FakeJournal Journal(Fixture.m_Router);
    Journal.m_BeginStatus = Case.m_Status;
    Answer Got = Fixture.exchange(orderText("POST", {freshKey()}));
    BOOST_TEST(Got.m_Status == Case.m_HttpStatus);
    BOOST_TEST(contains(Got.m_Body, Case.m_Name));
    BOOST_TEST(Shop.arrivals() == 0);
    BOOST_TEST(Journal.m_Ends.empty());
  }
}

// Guards against a resend running a second time.
BOOST_AUTO_TEST_CASE(ARecordedAnswerIsReplayedWithoutACall) {
  FakeServer Shop([](Connection &Open) { Open.send(Created); });
  RouterFixture Fixture;
  Fixture.grantTargets({}, {Shop.url()});
  FakeJournal Journal(Fixture.m_Router);
  Journal.m_BeginStatus = JournalStatus::Recorded;
  Journal.m_Recorded = {201, "text/plain", "run 1"};
  Answer Got = Fixture.exchange(orderText("POST", {freshKey()}));
  BOOST_TEST(Got.m_Status == 201);
  BOOST_TEST(Got.m_Body == "run 1");
  BOOST_TEST(Got.m_Fields["idempotent-replay"] == "true");
  BOOST_TEST(Shop.arrivals() == 0);
}

// Guards against a call without any key, or without its time of issue.
BOOST_AUTO_TEST_CASE(AKeyNeedsItsTimeOfIssue) {
  FakeServer Shop([](Connection &Open) { Open.send(Created); });
  RouterFixture Fixture;
  Fixture.grantTargets({}, {Shop.url()});
  FakeJournal Journal(Fixture.m_Router);
  BOOST_TEST(contains(Fixture.exchange(orderText("POST")).m_Body,
                      "missing_idempotency_key"));
  BOOST_TEST(contains(
      Fixture.exchange(orderText("POST", {{"Idempotency-Key", "mine"}})).m_Body,
      "missing_idempotency_key"));
  BOOST_TEST(Shop.arrivals() == 0);
  std::int64_t Now = wallNow().m_Value;
  Answer Got = Fixture.exchange(
      orderText("POST", {{"Idempotency-Key", "mine"},
                         {"Idempotency-Key-Issued", std::to_string(Now)}}));
  BOOST_TEST(Got.m_Status == 201);
  BOOST_TEST(Journal.m_Begins[0].m_IssuedAt.m_Value == Now);
}

// Guards against a key whose time of issue cannot be read back.
BOOST_AUTO_TEST_CASE(AnIssuedKeyCarriesItsTimeOfIssue) {
  RouterFixture Fixture;
  Fixture.grantTargets({}, {});
  Answer Got = Fixture.exchange(
      requestText("POST", "/v1/keys", "", {{"Authorization", "Bearer key-a"}}));
  BOOST_TEST(Got.m_Status == 200);
  BOOST_TEST(contains(Got.m_Body, "\"key\":\"vf-"));
  UnixMillis Now(1796360718204);
  BOOST_TEST(keyIssuedAt(issueKey(Now)).value().m_Value == Now.m_Value);
  BOOST_TEST(!keyIssuedAt(IdempotencyKey("vf-1-2")).has_value());
}

// Guards against a call that runs although its caller was told "not run".
BOOST_AUTO_TEST_CASE(AGrantThatComesAfterTheRefusalIsRecordedAsNotRun) {
  FakeServer Shop([](Connection &Open) { Open.send(Created); });
  RouterFixture Fixture;
  Fixture.grantTargets({}, {Shop.url()});
  Answer Got = Fixture.exchange(
      orderText("POST", {freshKey(), {"X-Deadline-Ms", "200"}}));
  BOOST_TEST(contains(Got.m_Body, "\"name\":\"journal_unavailable\""));
  BOOST_TEST(contains(Got.m_Body, "\"not_run\":true"));
  FakeJournal Journal(Fixture.m_Router);
  BOOST_TEST(Fixture.runUntil([&] { return Journal.m_Ends.size() == 1U; }));
  BOOST_TEST((Journal.m_Ends[0].m_Outcome == CallOutcome::NotRun));
  BOOST_TEST(Shop.arrivals() == 0);
}

// Guards against losing a call's outcome when its caller disconnects.
BOOST_AUTO_TEST_CASE(ACallWhoseCallerDisconnectedIsFinishedAndRecorded) {
  FakeServer Shop([](Connection &Open) {
    usleep(200000);
    Open.send(Created);
  });
  RouterFixture Fixture;
  Fixture.grantTargets({}, {Shop.url()});
  FakeJournal Journal(Fixture.m_Router);
  Connection Caller;
  Caller.m_Fd = connectTo(Fixture.port());
  Caller.send(orderText("POST", {freshKey()}));
  BOOST_TEST(Fixture.runUntil([&] { return Shop.arrivals() == 1; }));
  close(Caller.m_Fd);
  BOOST_TEST(Fixture.runUntil([&] { return Journal.m_Ends.size() == 1U; }));
  BOOST_TEST((Journal.m_Ends[0].m_Outcome == CallOutcome::Answered));
  BOOST_TEST(
      Fixture.runUntil([&] { return Fixture.m_Router.m_Sessions.empty(); }));
}

BOOST_AUTO_TEST_SUITE_END()
