#include "vanillaferry/process/history.hpp"
#include "Property.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <sstream>

using namespace vanillaferry;

namespace {

History parsed(const std::string &Text) {
  Result<History> Lines = parseHistory(Text);
  if (!Lines)
    BOOST_FAIL(Lines.error().m_Text);
  return Lines.value();
}

std::vector<HistoryViolation> check(const std::string &Text) {
  return checkHistory(parsed(Text), HistoryOptions());
}

/// The violations as "rule:line,line;".
std::string faultsOf(const std::string &Text) {
  History Lines = parsed(Text);
  std::string Found;
  for (const HistoryViolation &Violation :
       checkHistory(Lines, HistoryOptions())) {
    Found += std::string(historyRuleName(Violation.m_Rule)) + ":";
    for (std::size_t Index : Violation.m_Lines)
      Found += std::to_string(Lines[Index].m_Number) + ",";
    Found += ";";
  }
  return Found;
}

std::string edit(double Start, double End, const std::string &Id, int Expected,
                 const std::string &Result, int Version = 0,
                 const std::string &Section = "zones") {
  std::ostringstream Line;
  Line << "{\"op\":\"edit\",\"section\":\"" << Section
       << "\",\"start\":" << Start << ",\"end\":" << End << ",\"edit_id\":\""
       << Id << "\",\"expected\":" << Expected << ",\"content\":\"c-" << Id
       << "\",\"result\":\"" << Result << "\",\"version\":" << Version << "}\n";
  return Line.str();
}

std::string read(double Start, double End, int Version,
                 const std::string &Content) {
  std::ostringstream Line;
  Line << "{\"op\":\"read\",\"section\":\"zones\",\"start\":" << Start
       << ",\"end\":" << End << ",\"version\":" << Version << ",\"content\":\""
       << Content << "\"}\n";
  return Line.str();
}

const std::string Target =
    "{\"op\":\"target\",\"target\":\"t\",\"zone\":\"Topsia\",\"vm\":\"v\"}\n";

std::string run(const std::string &Request, double Time,
                const std::string &Key = "") {
  std::ostringstream Line;
  Line << "{\"op\":\"run\",\"target\":\"t\",\"request\":\"" << Request
       << "\",\"key\":\"" << Key << "\",\"time\":" << Time << "}\n";
  return Line.str();
}

std::string call(const std::string &Request, const std::string &Rest) {
  return "{\"op\":\"call\",\"request\":\"" + Request +
         "\",\"start\":1,\"end\":2," + Rest + "}\n";
}

std::string version(const std::string &Incarnation, double Time, int Version,
                    bool Ready = true) {
  std::ostringstream Line;
  Line << "{\"op\":\"router_version\",\"router\":\"r\",\"incarnation\":\""
       << Incarnation << "\",\"time\":" << Time << ",\"version\":" << Version
       << ",\"ready\":" << (Ready ? "true" : "false") << "}\n";
  return Line.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(HistoryChecker)

// Guards against a checker that reports correct behaviour as a violation:
// concurrent edits, reads during edits, resends, edits without an answer.
BOOST_AUTO_TEST_CASE(CorrectHistoriesHaveNoFaults) {
  BOOST_TEST(faultsOf(edit(0, 10, "a", 0, "accepted", 1) +
                      edit(0, 10, "b", 0, "conflict", 1) + read(2, 4, 0, "") +
                      read(3, 8, 1, "c-a") +
                      edit(11, 12, "a", 0, "accepted", 1) +
                      edit(11, 12, "c", 1, "accepted", 2) +
                      edit(20, 21, "b", 0, "conflict", 1)) == "");
  // An edit without an answer takes effect late, or never.
  BOOST_TEST(faultsOf(edit(0, 0, "a", 0, "unknown") + read(5, 6, 0, "") +
                      read(50, 51, 1, "c-a")) == "");
  BOOST_TEST(faultsOf(edit(0, 0, "a", 0, "unknown") +
                      edit(5, 6, "b", 0, "accepted", 1)) == "");
  // Its resend gets the answer that the first attempt would have received.
  BOOST_TEST(faultsOf(edit(0, 0, "a", 0, "unknown") +
                      edit(5, 6, "b", 0, "conflict", 1) +
                      edit(7, 8, "a", 0, "accepted", 1)) == "");
  BOOST_TEST(faultsOf(edit(0, 1, "a", 0, "accepted", 1) +
                      edit(2, 3, "a", 0, "edit_id_reused", 0, "limits")) == "");
}

// Guards against missing a lost update: two edits of one version are accepted.
BOOST_AUTO_TEST_CASE(TwoAcceptedEditsOfOneVersionAreAFault) {
  BOOST_TEST(faultsOf(edit(0, 10, "a", 0, "accepted", 1) +
                      edit(0, 10, "b", 0, "accepted", 1)) ==
             "section_register:1,2,;");
}

// Guards against missing a stale read, and against a long report: correct
// operations before, beside and after the violation are left out.
BOOST_AUTO_TEST_CASE(StaleReadIsReportedWithTheShortestPart) {
  std::string Text;
  for (int I = 0; I < 100; ++I) {
    double At = I * 10;
    Text += edit(At, At + 5, "e" + std::to_string(I), I, "accepted", I + 1);
    Text += read(At + 6, At + 7, I + 1, "c-e" + std::to_string(I));
  }
  BOOST_TEST(faultsOf(Text) == "");
  std::string Faulty = Text + read(1000, 1001, 99, "c-e98");
  for (int I = 100; I < 200; ++I) {
    double At = 1010 + I * 10;
    Faulty += edit(At, At + 5, "e" + std::to_string(I), I, "accepted", I + 1);
  }
  // The read before the stale one, and the stale one.
  BOOST_TEST(faultsOf(Faulty) == "section_register:200,201,;");
}

// Guards against missing a read whose content belongs to another version.
BOOST_AUTO_TEST_CASE(WrongContentIsAFault) {
  BOOST_TEST(faultsOf(edit(0, 1, "a", 0, "accepted", 1) +
                      read(2, 3, 1, "c-b")) == "section_register:1,2,;");
}

// Guards against missing a resend that is answered differently, or an edit id
// that is used for two edits.
BOOST_AUTO_TEST_CASE(ChangedAnswerToAnEditIdIsAFault) {
  BOOST_TEST(faultsOf(edit(0, 1, "a", 0, "accepted", 1) +
                      edit(2, 3, "a", 0, "conflict", 1)) ==
             "section_register:1,2,;");
  BOOST_TEST(faultsOf(edit(0, 1, "a", 0, "accepted", 1) +
                      edit(2, 3, "a", 1, "accepted", 2)) ==
             "section_register:1,2,;");
}

// Guards against missing a conflict that was answered although the version
// matched.
BOOST_AUTO_TEST_CASE(FalseConflictIsAFault) {
  BOOST_TEST(faultsOf(edit(0, 1, "a", 0, "accepted", 1) +
                      edit(2, 3, "b", 1, "conflict", 1)) ==
             "section_register:2,;");
  BOOST_TEST(faultsOf(edit(0, 1, "a", 0, "accepted", 1) +
                      edit(2, 3, "b", 1, "conflict", 2)) ==
             "section_register:1,2,;");
}

// Guards against missing an accepted edit that a later read does not show.
BOOST_AUTO_TEST_CASE(RevertedEditIsAFault) {
  BOOST_TEST(faultsOf(edit(0, 1, "a", 0, "accepted", 1) + read(2, 3, 0, "")) ==
             "section_register:1,2,;");
}

// Guards against missing a router process whose version goes back. A new
// process of the router may start from 0.
BOOST_AUTO_TEST_CASE(RouterVersionThatGoesBackIsAFault) {
  BOOST_TEST(faultsOf(version("1", 10, 5) + version("1", 30, 4) +
                      version("1", 20, 5) + version("2", 40, 0)) ==
             "router_version:1,2,;");
}

// Guards against missing a version that was reported in force too early.
BOOST_AUTO_TEST_CASE(WorkUnderAnOldVersionAfterInForceIsAFault) {
  std::string InForce = "{\"op\":\"in_force\",\"time\":10,\"version\":5}\n";
  BOOST_TEST(faultsOf(version("1", 9, 4) + InForce +
                      version("1", 11, 4, false)) == "");
  BOOST_TEST(faultsOf(InForce + version("1", 11, 4)) == "in_force:1,2,;");
}

// Guards against missing a call that runs twice.
BOOST_AUTO_TEST_CASE(SecondRunOfAKeyIsAFault) {
  BOOST_TEST(faultsOf(run("a", 5, "k") + run("b", 7, "l") + run("c", 9, "k")) ==
             "one_run_per_key:1,3,;");
  // Runs without a key may repeat.
  BOOST_TEST(faultsOf(run("a", 5) + run("a", 7)) == "");
}

// Guards against missing a refusal that claims that the request did not run
// although it did.
BOOST_AUTO_TEST_CASE(FalseNotRunIsAFault) {
  BOOST_TEST(faultsOf(run("a", 5) +
                      call("a", "\"outcome\":\"refused\",\"not_run\":true") +
                      call("b", "\"outcome\":\"refused\",\"not_run\":true") +
                      call("c", "\"outcome\":\"refused\"")) ==
             "not_run_is_true:1,2,;");
}

// Guards against missing new work after a zone or VM was taken out of service.
BOOST_AUTO_TEST_CASE(NewWorkAfterThreeSecondsOutOfServiceIsAFault) {
  std::string Out = "{\"op\":\"out\",\"zone\":\"Topsia\",\"time\":1000}\n";
  std::string In = "{\"op\":\"in\",\"zone\":\"Topsia\",\"time\":9000}\n";
  std::string VmOut = "{\"op\":\"out\",\"vm\":\"v\",\"time\":1000}\n";
  std::string Other = "{\"op\":\"out\",\"zone\":\"Howrah\",\"time\":1000}\n";
  BOOST_TEST(faultsOf(Target + Out + In + Other + run("a", 4000) +
                      run("b", 9001)) == "");
  BOOST_TEST(faultsOf(Target + Out + run("a", 4001)) ==
             "out_of_service:1,2,3,;");
  BOOST_TEST(faultsOf(Target + VmOut + run("a", 4001)) ==
             "out_of_service:1,2,3,;");
  // A repeated request to take the zone out does not restart the time.
  BOOST_TEST(faultsOf(Target + Out +
                      "{\"op\":\"out\",\"zone\":\"Topsia\",\"time\":3500}\n" +
                      run("a", 4001)) == "out_of_service:1,2,4,;");
}

// Guards against missing answers that are lost, truncated or swapped.
BOOST_AUTO_TEST_CASE(MissingAndMixedUpAnswersAreFaults) {
  std::string Good = "\"outcome\":\"answer\",\"complete\":true,"
                     "\"sent\":\"x\",\"received\":\"x\"";
  BOOST_TEST(faultsOf(run("a", 1) + call("a", Good)) == "");
  BOOST_TEST(faultsOf(call("a", "\"outcome\":\"nothing\"")) ==
             "answer_missing:1,;");
  BOOST_TEST(faultsOf(run("a", 1) +
                      call("a", "\"outcome\":\"answer\",\"sent\":\"x\","
                                "\"received\":\"x\"")) == "answer_missing:2,;");
  BOOST_TEST(faultsOf(run("a", 1) +
                      call("a", "\"outcome\":\"answer\",\"complete\":true,"
                                "\"sent\":\"x\",\"received\":\"y\"")) ==
             "answer_mixed_up:2,;");
  BOOST_TEST(faultsOf(run("b", 1) + call("a", Good)) == "answer_mixed_up:2,;");
  // A resend of a key gets the recorded answer of an earlier request.
  BOOST_TEST(faultsOf(run("b", 1, "k") + call("a", Good + ",\"key\":\"k\"")) ==
             "");
}

// Guards against an error for malformed input that does not name the line.
BOOST_AUTO_TEST_CASE(MalformedLinesAreReportedWithTheirNumber) {
  Result<History> Bad = parseHistory(Target + "{\"op\":\"run\"}\n");
  BOOST_REQUIRE(!Bad.has_value());
  BOOST_TEST(Bad.error().m_Text ==
             "line 2: field \"target\": expected a text that is not empty");
  BOOST_TEST(!parseHistory("[]").has_value());
  BOOST_TEST(!parseHistory("{").has_value());
  requireProperty("history bytes", 5000, [] {
    (void)parseHistory(*rc::gen::arbitrary<std::string>());
  });
}

// Guards against a search that reports a correct history or misses a violation:
// histories of a real register with random overlap and lost answers, then the
// same with a read of a version that never existed.
BOOST_AUTO_TEST_CASE(RandomHistoriesOfARegisterAreCorrectAndChangesAreFound) {
  std::uint64_t Found = 0;
  requireProperty("register histories", 300, [&] {
    std::string Text;
    int Version = 0;
    std::string Content;
    std::map<std::string, std::string> Answers;
    int Count = *rc::gen::inRange(1, 60);
    for (int I = 0; I < Count; ++I) {
      // Each operation takes effect at time 10 * I.
      double Start = 10.0 * I - *rc::gen::inRange(0, 25);
      double End = 10.0 * I + *rc::gen::inRange(0, 25);
      int Kind = *rc::gen::inRange(0, 10);
      std::string Id = "e" + std::to_string(I);
      if (Kind < 4) {
        Text += read(Start, End, Version, Content);
        continue;
      }
      int Expected = std::max(0, Version - (Kind == 4 ? 1 : 0));
      bool Wins = Expected == Version;
      if (Wins) {
        ++Version;
        Content = "c-" + Id;
      }
      Text += edit(Start, End, Id, Expected,
                   Kind == 5 ? "unknown" : (Wins ? "accepted" : "conflict"),
                   Version);
    }
    RC_ASSERT(check(Text).empty());
    // A read, at the end, of a version that never existed.
    Text += read(10000, 10001, Version + 1, "c-none");
    RC_ASSERT(check(Text).size() == 1U);
    ++Found;
  });
  BOOST_TEST(Found > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
