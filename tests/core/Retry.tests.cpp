#include "vanillaferry/request/retry.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

FailedAttempt brokenStream(bool IsFirst) {
  FailedAttempt Failed;
  Failed.m_Account = AccountId("a");
  Failed.m_Pool = PoolId("p");
  Failed.m_Reason = RetryReason::StreamBroken;
  Failed.m_Attempt = vanillaferry::Attempt(2);
  Failed.m_Idempotent = true;
  Failed.m_FirstContinuation = IsFirst;
  Failed.m_TimeLeft = Millis(1000);
  return Failed;
}

bool isRetried(RetryTable &Table, const FailedAttempt &Failed) {
  return decideRetry(Table, Failed, Millis(0)) == RetryVerdict::Retry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgets)

// Guards against truncated answers when an engine fails with more streams than
// the account's retry budget allows.
BOOST_AUTO_TEST_CASE(EveryBegunAnswerIsContinuedOnceWithoutBudget) {
  RetryTable Table;
  Table.m_Options.m_Floor = 0;
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(isRetried(Table, brokenStream(true)));
}

// Guards against unlimited continuations when every target fails.
BOOST_AUTO_TEST_CASE(FurtherContinuationsTakeFromTheBudget) {
  RetryTable Table;
  Table.m_Options.m_Floor = 2;
  int Retried = 0;
  for (int I = 0; I < 50; ++I)
    Retried += isRetried(Table, brokenStream(false)) ? 1 : 0;
  BOOST_TEST(Retried == 2);
}

// Guards against refusals when a frozen owner held more requests than the retry
// budget allows; a second loss takes from the budget.
BOOST_AUTO_TEST_CASE(EveryRequestOfALostOwnerIsTriedOnceWithoutBudget) {
  RetryTable Table;
  Table.m_Options.m_Floor = 0;
  FailedAttempt Failed = brokenStream(false);
  Failed.m_Reason = RetryReason::PeerLinkLost;
  Failed.m_Attempt = vanillaferry::Attempt(1);
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(isRetried(Table, Failed));
  Failed.m_Attempt = vanillaferry::Attempt(2);
  BOOST_TEST(!isRetried(Table, Failed));
}

// Guards against a second run of a journaled call by the continuation that
// takes nothing from the budget.
BOOST_AUTO_TEST_CASE(AJournaledCallIsNeverTriedAgain) {
  RetryTable Table;
  FailedAttempt Failed = brokenStream(true);
  Failed.m_Journaled = true;
  BOOST_TEST(!isRetried(Table, Failed));
}

BOOST_AUTO_TEST_SUITE_END()
