#include "vanillaferry/request/prompt_guard.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace vanillaferry;

namespace {

constexpr Millis Now{50000};
const NodeId Self("g1");
const std::vector<NodeId> Routers = {NodeId("g1"), NodeId("g2"), NodeId("g3")};

std::vector<PromptPartId> ids(const std::string &Text) {
  return splitPartIds(Text);
}

PromptOfRequest prompt(const std::string &Request, const std::string &Parts) {
  PromptOfRequest Prompt;
  Prompt.m_Request = RequestId(Request);
  Prompt.m_Account = AccountId("a");
  Prompt.m_Chat = 7;
  Prompt.m_Parts = ids(Parts);
  return Prompt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptGuards)

// Guards against refusing a request for the part that no other request has.
BOOST_AUTO_TEST_CASE(TheLastPartIsNotShared) {
  std::vector<PromptPart> Parts = {{PromptPartId("a"), Tokens(1)},
                                   {PromptPartId("b"), Tokens(1)},
                                   {PromptPartId("a"), Tokens(1)},
                                   {PromptPartId("own"), Tokens(1)}};
  BOOST_TEST(joinPartIds(sharedParts(Parts)) == "a,b");
  BOOST_TEST(sharedParts({Parts.back()}).empty());
  Parts[0].m_Id = PromptPartId(std::string(5000, 'x'));
  BOOST_TEST(sharedParts(Parts)[0].m_Value.size() < 64U);
}

// Guards against requests with a refused part that are sent because the list
// came late, came twice or in the wrong order.
BOOST_AUTO_TEST_CASE(OnlyANewerListReplacesTheRefusedParts) {
  PromptGuard Guard;
  BOOST_TEST(applyQuarantine(Guard, 5, {{PromptPartId("bad"), 0}}));
  BOOST_TEST(!applyQuarantine(Guard, 4, {}));
  BOOST_TEST(!applyQuarantine(Guard, 5, {}));
  std::optional<PromptPartId> Part =
      refusedPart(Guard, ids("first,bad"), Self, Routers);
  BOOST_REQUIRE(Part.has_value());
  BOOST_TEST(*Part == PromptPartId("bad"));
  BOOST_TEST(!refusedPart(Guard, ids("first,good"), Self, Routers).has_value());
  BOOST_TEST(!applyQuarantine(Guard, 6, {}));
  BOOST_TEST(!refusedPart(Guard, ids("first,bad"), Self, Routers).has_value());
}

// Guards against a trial at each router: one of them tries one request.
BOOST_AUTO_TEST_CASE(ATrialIsGivenToOneRouterForOneRequestAtATime) {
  std::size_t Allowed = 0;
  for (const NodeId &Each : Routers) {
    PromptGuard Guard;
    applyQuarantine(Guard, 5, {{PromptPartId("bad"), 1}});
    if (refusedPart(Guard, ids("bad"), Each, Routers))
      continue;
    ++Allowed;
    BOOST_TEST(recordPromptSent(Guard, ids("bad")));
    BOOST_TEST(refusedPart(Guard, ids("bad"), Each, Routers).has_value());
    recordPromptEnded(Guard, ids("bad"));
    BOOST_TEST(!refusedPart(Guard, ids("bad"), Each, Routers).has_value());
  }
  BOOST_TEST(Allowed == 1U);
}

// Guards against a trial that ends an engine because the request has a second
// refused part.
BOOST_AUTO_TEST_CASE(NoTrialHasTwoRefusedParts) {
  for (const NodeId &Each : Routers) {
    PromptGuard Guard;
    applyQuarantine(Guard, 5,
                    {{PromptPartId("bad"), 1}, {PromptPartId("first"), 1}});
    BOOST_TEST(refusedPart(Guard, ids("first,bad"), Each, Routers).has_value());
  }
}

// Guards against reports that blame what engines answer all the time, or
// requests that were answered for some time before the engine ended.
BOOST_AUTO_TEST_CASE(AReportNamesRequestsCutBeforeOrAtTheirFirstEvents) {
  PromptGuard Guard;
  recordPromptServed(Guard, prompt("q0", "first"), Now);
  recordPromptCut(Guard, prompt("q1", "first,bad"), TargetId("t"), std::nullopt,
                  Now);
  recordPromptCut(Guard, prompt("q2", "first,young"), TargetId("t"),
                  Millis(100), Now);
  recordPromptCut(Guard, prompt("q3", "first,old"), TargetId("t"),
                  AnswerSurvivalTime, Now);
  recordPromptCut(Guard, prompt("q4", "first"), TargetId("t"), std::nullopt,
                  Now);
  BOOST_TEST(!takePromptReport(Guard, Self, Now).has_value());
  std::optional<PromptReport> Report =
      takePromptReport(Guard, Self, Now + Millis(60));
  BOOST_REQUIRE(Report.has_value());
  BOOST_TEST(Report->m_Node == Self);
  BOOST_REQUIRE_EQUAL(Report->m_Crashes.size(), 1U);
  BOOST_TEST(Report->m_Crashes[0].m_Age == Millis(60));
  BOOST_REQUIRE_EQUAL(Report->m_Crashes[0].m_Requests.size(), 2U);
  BOOST_TEST(Report->m_Crashes[0].m_Requests[0].m_Parts == "bad");
  BOOST_TEST(Report->m_Crashes[0].m_Requests[1].m_Parts == "young");
}

// Guards against evidence that is lost with the leader that had it.
BOOST_AUTO_TEST_CASE(LaterReportsRepeatRecentCuts) {
  PromptGuard Guard;
  recordPromptCut(Guard, prompt("q1", "bad"), TargetId("t1"), std::nullopt,
                  Now);
  BOOST_REQUIRE(takePromptReport(Guard, Self, Now + Millis(60)).has_value());
  Millis Later = Now + Millis(3000);
  recordPromptCut(Guard, prompt("q2", "bad"), TargetId("t2"), std::nullopt,
                  Later);
  std::optional<PromptReport> Report =
      takePromptReport(Guard, Self, Later + Millis(60));
  BOOST_REQUIRE(Report.has_value());
  BOOST_REQUIRE_EQUAL(Report->m_Crashes.size(), 2U);
  BOOST_TEST(Report->m_Crashes[0].m_Target == TargetId("t1"));
  Millis MuchLater = Later + Millis(60000);
  recordPromptCut(Guard, prompt("q3", "bad"), TargetId("t3"), std::nullopt,
                  MuchLater);
  Report = takePromptReport(Guard, Self, MuchLater + Millis(60));
  BOOST_REQUIRE(Report.has_value());
  BOOST_TEST(Report->m_Crashes.size() == 1U);
}

// Guards against a sound part that is refused because its answers at other
// routers are not known to the leader.
BOOST_AUTO_TEST_CASE(ARouterAnswersWhichSuspectsItServed) {
  PromptGuard Guard;
  recordPromptServed(Guard, prompt("q0", "sound"), Now);
  applySuspects(Guard, {{{PromptPartId("sound")}, {PromptPartId("bad")}}});
  std::optional<PromptReport> Report =
      takePromptReport(Guard, Self, Now + Millis(400));
  BOOST_REQUIRE(Report.has_value());
  BOOST_REQUIRE_EQUAL(Report->m_Served.size(), 1U);
  BOOST_TEST(Report->m_Served[0].m_Part == PromptPartId("sound"));
  BOOST_TEST(Report->m_Served[0].m_Age == Millis(400));
  // Later answers with a suspect are reported at once.
  recordPromptServed(Guard, prompt("q1", "bad"), Now + Millis(700));
  Report = takePromptReport(Guard, Self, Now + Millis(700));
  BOOST_REQUIRE(Report.has_value());
  BOOST_TEST(Report->m_Served.at(0).m_Part == PromptPartId("bad"));
}

// Guards against repeats of suspected requests, and against none for requests
// whose parts are answered all the time.
BOOST_AUTO_TEST_CASE(ASuspectIsNotRepeatedUnlessItIsAnsweredHere) {
  PromptGuard Guard;
  recordPromptServed(Guard, prompt("q0", "first"), Now);
  applySuspects(Guard, {{{PromptPartId("first")}, {PromptPartId("bad")}}});
  BOOST_TEST(suspectPart(Guard, ids("first,bad"), Now).has_value());
  BOOST_TEST(!suspectPart(Guard, ids("first,good"), Now).has_value());
  BOOST_TEST(
      suspectPart(Guard, ids("first,good"), Now + Millis(60000)).has_value());
}

// Guards against a caller that pushes the parts of others out of the memory.
BOOST_AUTO_TEST_CASE(OneAccountCannotFillTheServedParts) {
  ServedParts Served;
  recordServed(Served, ids("precious"), AccountId("other"), Now);
  for (int Number = 0; Number < 100000; ++Number)
    recordServed(Served, ids("x" + std::to_string(Number)), AccountId("loud"),
                 Now + Millis(1));
  BOOST_TEST(Served.m_Current.size() <= MaxServedPartsOfAccount + 1);
  BOOST_TEST(lastServed(Served, PromptPartId("precious")).has_value());
  recordServed(Served, ids("new"), AccountId("other"), Now + Millis(2));
  BOOST_TEST(lastServed(Served, PromptPartId("new")).has_value());
  BOOST_TEST(Served.m_Current.size() < MaxServedParts);
  // Two generations later the old ones are gone.
  recordServed(Served, ids("y"), AccountId("other"), Now + Millis(31000));
  recordServed(Served, ids("z"), AccountId("other"), Now + Millis(62000));
  BOOST_TEST(!lastServed(Served, PromptPartId("precious")).has_value());
}

// Guards against a request that its gateway sends to a third target after two
// have ended under it, before any keeper has counted.
BOOST_AUTO_TEST_CASE(ARequestThatEndedTwoTargetsIsNotSentToAThird) {
  std::vector<PromptPartId> Parts = ids("request:1,first");
  PromptGuard Guard;
  recordPromptCut(Guard, prompt("q1", "request:1,first"), TargetId("t1"),
                  std::nullopt, Now);
  BOOST_TEST(!suspectPart(Guard, Parts, Now).has_value());
  // A second cut at the same end is no second end.
  recordPromptCut(Guard, prompt("q2", "request:1,first"), TargetId("t1"),
                  std::nullopt, Now);
  BOOST_TEST(!suspectPart(Guard, Parts, Now).has_value());
  recordPromptCut(Guard, prompt("q3", "request:1,first"), TargetId("t2"),
                  std::nullopt, Now);
  std::optional<PromptPartId> Part = suspectPart(Guard, Parts, Now);
  BOOST_REQUIRE(Part.has_value());
  BOOST_TEST(*Part == PromptPartId("request:1"));
  BOOST_TEST(!suspectPart(Guard, ids("request:2,first"), Now).has_value());
  recordPromptServed(Guard, prompt("q4", "request:1,first"), Now);
  BOOST_TEST(!suspectPart(Guard, Parts, Now).has_value());
}

// Guards against answers to many requests that push the memory of answered
// prompt parts out.
BOOST_AUTO_TEST_CASE(AnsweredRequestsTakeNoRoomOfAnsweredParts) {
  PromptGuard Guard;
  recordPromptServed(Guard, prompt("q", "request:0,first"), Now);
  for (std::size_t Number = 1; Number <= 2 * MaxServedPartsOfAccount; ++Number)
    recordPromptServed(Guard, prompt("q", "request:" + std::to_string(Number)),
                       Now);
  PromptWatch Watch;
  Watch.m_Suspects.push_back({PromptPartId("first")});
  applySuspects(Guard, Watch);
  std::optional<PromptReport> Report =
      takePromptReport(Guard, Self, Now + Millis(100));
  BOOST_REQUIRE(Report.has_value());
  BOOST_REQUIRE_EQUAL(Report->m_Served.size(), 1U);
  BOOST_TEST(Report->m_Served[0].m_Part == PromptPartId("first"));
}

BOOST_AUTO_TEST_SUITE_END()
