#include "gateway/relay_fields.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

BOOST_AUTO_TEST_SUITE(RelayFieldRules)

// Guards against a request that loses its place in a stream, its deadline or
// its number of targets on the way through another gateway.
BOOST_AUTO_TEST_CASE(WhatGatewaysStateArrives) {
  RelayedRequest Sent;
  Sent.m_TimeLeft = Millis(1234);
  Sent.m_MaxTargets = 2;
  Sent.m_LastEvent = 17;
  Sent.m_Software = SoftwareVersion("v2");
  CallerRequest Request;
  for (const std::pair<std::string, std::string> &Field :
       relayRequestFields(Sent))
    Request.m_Fields[Field.first] = Field.second;
  std::optional<RelayedRequest> Got = readRelayedRequest(Request);
  BOOST_REQUIRE(Got.has_value());
  BOOST_TEST(Got->m_TimeLeft.m_Value == 1234);
  BOOST_TEST(Got->m_MaxTargets == 2);
  BOOST_TEST((Got->m_LastEvent == Sent.m_LastEvent));
  BOOST_TEST((Got->m_Software == Sent.m_Software));
  RelayedAnswer Answered;
  Answered.m_Target = TargetId("i-1");
  Answered.m_Software = SoftwareVersion("v2");
  Answered.m_Runs = 2;
  Answered.m_Refusal = RefusalReason::ColdTargets;
  Answered.m_RetryAfter = Millis(400);
  RelayedAnswer Read = readRelayedAnswer(relayAnswerFields(Answered));
  BOOST_TEST((Read.m_Target == Answered.m_Target));
  BOOST_TEST((Read.m_Software == Answered.m_Software));
  BOOST_TEST(Read.m_Runs == 2);
  BOOST_TEST((Read.m_Refusal == RefusalReason::ColdTargets));
  BOOST_TEST(Read.m_RetryAfter.m_Value == 400);
}

// Guards against an answer without statements that counts as a refusal, which
// says that the request has not run.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutStatementsIsNoRefusal) {
  RelayedAnswer Read = readRelayedAnswer({{"relay-refusal", "many"}});
  BOOST_TEST((Read.m_Refusal == RefusalReason::None));
  BOOST_TEST(Read.m_Runs == 1);
  BOOST_TEST(!readRelayedRequest(CallerRequest()).has_value());
}

// Guards against callers and targets that state for a gateway what it has to
// state itself.
BOOST_AUTO_TEST_CASE(FieldsOfCallersAndTargetsAreNotTakenForAGateways) {
  CallerRequest Request;
  Request.m_Fields = {{"relay-max-targets", "9"},
                      {"x-api-key", "key"},
                      {"connection", "close, x-hop"},
                      {"x-hop", "1"},
                      {"content-length", "4"}};
  HttpFields Passed = fieldsToRelay(Request);
  BOOST_REQUIRE(Passed.size() == 1U);
  BOOST_TEST(Passed.front().first == "x-api-key");
  HttpFields Answer = {{"Relay-Refusal", "303"}, {"Signature", "s"}};
  for (const std::pair<std::string, std::string> &Field :
       relayAnswerFields(RelayedAnswer()))
    Answer.push_back(Field);
  BOOST_TEST((readRelayedAnswer(Answer).m_Refusal == RefusalReason::None));
  Answer.emplace_back("X-Request-Id", "r");
  removeRelayFields(Answer);
  BOOST_REQUIRE(Answer.size() == 1U);
  BOOST_TEST(Answer.front().first == "Signature");
}

BOOST_AUTO_TEST_SUITE_END()
