#include "process/replay/replay.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace vanillaferry;

namespace {

Trace makeTrace(std::uint64_t Seed, void (*Set)(TraceOptions &)) {
  TraceOptions Options;
  Options.m_Seed = Seed;
  Options.m_Minutes = 8;
  Set(Options);
  BOOST_TEST_MESSAGE("trace seed " << Seed);
  return generateTrace(Options);
}

FleetOptions makeOptions() {
  FleetOptions Options;
  Options.m_RenewInterval = Millis(333);
  return Options;
}

Measures run(const Trace &Recorded) {
  return replayTrace(Recorded, ReplayPolicy::Vanillaferry, 1.25, makeOptions(),
                     false);
}

void checkRules(const Measures &Counts) {
  BOOST_TEST(Counts.m_Violations == 0U);
  BOOST_TEST(Counts.m_Lost == 0U);
  BOOST_TEST(Counts.m_Refused.empty());
  BOOST_TEST(Counts.m_AfterZoneOut == 0U);
  BOOST_TEST(Counts.m_ColdViolations == 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Replay)

// Guards against a trace that reads back differently from what was written.
BOOST_AUTO_TEST_CASE(ATraceReadsBackAsWritten) {
  Trace Made = makeTrace(3, [](TraceOptions &Options) {
    Options.m_ZoneMove = Options.m_Surge = true;
    Options.m_Minutes = 1;
  });
  std::stringstream First;
  writeTrace(First, Made);
  Result<Trace> Read = readTrace(First);
  BOOST_REQUIRE(Read.has_value());
  std::stringstream Second;
  writeTrace(Second, Read.value());
  BOOST_TEST(First.str() == Second.str());
}

// Guards against a crash on a damaged trace, and names the line.
BOOST_AUTO_TEST_CASE(ADamagedTraceIsAnErrorWithItsLine) {
  for (const char *Text :
       {"{\"kind\":\"request\"}\n", "{\"kind\":\"nothing\"}\n", "}{\n"}) {
    std::stringstream In(Text);
    Result<Trace> Read = readTrace(In);
    BOOST_REQUIRE(!Read.has_value());
    BOOST_TEST(Read.error().m_Text.find("line 1") != std::string::npos);
  }
  std::stringstream Empty;
  BOOST_TEST(!readTrace(Empty).has_value());
}

// Guards against replays that cannot be repeated.
BOOST_AUTO_TEST_CASE(EqualTracesGiveEqualResults) {
  Trace Made = makeTrace(5, [](TraceOptions &Options) {
    Options.m_Restarts = true;
    Options.m_Minutes = 3;
  });
  Measures First = run(Made);
  Measures Second = run(Made);
  BOOST_TEST(First.m_ReusedTokens == Second.m_ReusedTokens);
  BOOST_TEST(First.m_ControlBytes == Second.m_ControlBytes);
  BOOST_TEST(First.m_Completed == Second.m_Completed);
}

// Guards against new work at a zone 3 s after it was taken out, and against a
// mean that is wrong while views differ.
BOOST_AUTO_TEST_CASE(AZoneLeavesAndReturnsWithinTheRules) {
  checkRules(run(makeTrace(7, [](TraceOptions &O) { O.m_ZoneMove = true; })));
}

// Guards against filling cold or flapping targets and against work at a
// leaving VM.
BOOST_AUTO_TEST_CASE(FlappingAndLeavingTargetsKeepTheRules) {
  checkRules(run(makeTrace(7, [](TraceOptions &O) { O.m_Flaps = true; })));
}

// Guards against two owners of a target and against forgotten requests.
BOOST_AUTO_TEST_CASE(RoutersThatFreezeLeaveAndJoinKeepTheRules) {
  Measures Counts =
      run(makeTrace(7, [](TraceOptions &O) { O.m_RouterChurn = true; }));
  checkRules(Counts);
  BOOST_TEST(Counts.m_MovedExcess <= 0.02);
}

// Guards against a surge of one account that refuses requests of the others.
BOOST_AUTO_TEST_CASE(ASurgeRefusesOnlyTheSurgingAccount) {
  Measures Counts =
      run(makeTrace(7, [](TraceOptions &O) { O.m_Surge = true; }));
  BOOST_TEST(Counts.m_RefusedOthers == 0U);
  BOOST_TEST(Counts.m_Lost == 0U);
  BOOST_TEST(Counts.m_Violations == 0U);
}

// Guards against outcomes that are missed in silence.
BOOST_AUTO_TEST_CASE(EveryMissedOutcomeIsNamed) {
  nlohmann::json Results = {{"lost", 2}, {"refused", {{"queue_full", 1}}}};
  nlohmann::json Outcomes = {{"lost", {{"max", 0}}},
                             {"refused.queue_full", {{"max", 0}}},
                             {"absent", {{"min", 1}}}};
  BOOST_TEST(missedOutcomes(Outcomes, Results).size() == 3U);
  BOOST_TEST(missedOutcomes({{"lost", {{"max", 2}}}}, Results).empty());
}

BOOST_AUTO_TEST_SUITE_END()
