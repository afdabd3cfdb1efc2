#include "vanillaferry/process/reason.hpp"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

using namespace vanillaferry;

BOOST_AUTO_TEST_SUITE(Reason)

// Guards against two refusal reasons that share a counter, and against a
// refusal with a success status.
BOOST_AUTO_TEST_CASE(EveryRefusalReasonHasItsOwnNameAndAnErrorStatus) {
  std::set<std::string> Names;
  for (RefusalReason Reason : allRefusalReasons()) {
    BOOST_TEST(Names.insert(refusalName(Reason)).second);
    BOOST_TEST(refusalHttpStatus(Reason) >= 400);
  }
}

BOOST_AUTO_TEST_SUITE_END()
