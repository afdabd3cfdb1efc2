#include "vanillaferry/version/manifest_knowledge.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

BOOST_AUTO_TEST_SUITE(ManifestKnowledgeRules)

// Guards against a 404 for a route that a newer manifest has: 81 gateways
// waited up to 9 s for a manifest with 960 more routes, and one denied a
// request by the older one because its grants counted as confirmations.
BOOST_AUTO_TEST_CASE(AGrantThatNamesANewerManifestConfirmsNothing) {
  ManifestKnowledge Known;
  BOOST_TEST(!mayRejectPermanently(Known, Millis(0)));
  noteManifestCurrent(Known, Millis(1000));
  BOOST_TEST(mayRejectPermanently(Known, Millis(1500)));
  noteManifestOutdated(Known, Millis(2100));
  BOOST_TEST(!mayRejectPermanently(Known, Millis(1620)));
  noteManifestCurrent(Known, Millis(2300));
  BOOST_TEST(mayRejectPermanently(Known, Millis(2400)));
}

// Guards against 404 and 401 by a gateway that is cut off from the keepers.
BOOST_AUTO_TEST_CASE(AConfirmationEnds) {
  ManifestKnowledge Known;
  noteManifestCurrent(Known, Millis(1000));
  BOOST_TEST(!mayRejectPermanently(Known, Millis(3000)));
  BOOST_TEST(mayUseManifest(Known, Millis(3000)));
}

// Guards against requests that are handled by an older manifest after the newer
// one must be in force everywhere, while leases go on.
BOOST_AUTO_TEST_CASE(AnOlderManifestIsNotActedOnForLong) {
  ManifestKnowledge Known;
  noteManifestCurrent(Known, Millis(1000));
  noteManifestOutdated(Known, Millis(2500));
  // A second change on the way does not begin the time anew.
  noteManifestOutdated(Known, Millis(3500));
  BOOST_TEST(mayUseManifest(Known, Millis(4000)));
  BOOST_TEST(!mayUseManifest(Known, Millis(4100)));
  noteManifestCurrent(Known, Millis(4200));
  BOOST_TEST(mayUseManifest(Known, Millis(9000)));
}

// Guards against refusals while a large manifest is on its way: its operator
// has no answer yet, so that nobody relies on it. 81 gateways refused up to a
// seventh of all requests.
BOOST_AUTO_TEST_CASE(AManifestThatIsAcknowledgedLateLeavesMoreTime) {
  ManifestKnowledge Known;
  noteManifestCurrent(Known, Millis(1000));
  noteManifestOutdated(Known, Millis(1020 + 2250));
  BOOST_TEST(mayUseManifest(Known, Millis(4700)));
  BOOST_TEST(!mayUseManifest(Known, Millis(4800)));
}

// Guards against a gateway that returns long after a manifest was acknowledged
// and handles requests by an older one.
BOOST_AUTO_TEST_CASE(AnOldAcknowledgementLeavesNoTime) {
  ManifestKnowledge Known;
  noteManifestCurrent(Known, Millis(1000));
  noteManifestOutdated(Known, Millis(5000));
  BOOST_TEST(!mayUseManifest(Known, Millis(9000)));
}

BOOST_AUTO_TEST_SUITE_END()
