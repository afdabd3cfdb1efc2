#include "vanillaferry/request/control_wait.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

BOOST_AUTO_TEST_SUITE(ControlWaits)

// Guards against refusals in the second after a restart of the whole fleet: all
// gateways lacked a lease, so a refused caller met the same refusal elsewhere.
BOOST_AUTO_TEST_CASE(ARequestWaitsWhileAGrantIsNear) {
  BOOST_TEST((controlWait({Millis(200), Millis(12000)}) == Millis(1500)));
  BOOST_TEST((controlWait({Millis(2500), Millis(12000)}) == Millis(500)));
}

// Guards against a wait that uses up the time that the answer needs.
BOOST_AUTO_TEST_CASE(AShortDeadlineAllowsAShortWait) {
  BOOST_TEST((controlWait({Millis(0), Millis(600)}) == Millis(200)));
  BOOST_TEST((controlWait({Millis(0), Millis(0)}) == Millis(0)));
}

// Guards against requests held by a router that is cut off, which another
// router could serve.
BOOST_AUTO_TEST_CASE(ALongOutageRefusesAtOnce) {
  BOOST_TEST((controlWait({Millis(3000), Millis(12000)}) == Millis(0)));
  BOOST_TEST((controlWait({Millis(60000), Millis(12000)}) == Millis(0)));
}

BOOST_AUTO_TEST_SUITE_END()
