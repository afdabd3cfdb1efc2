#include "vanillaferry/version/manifest_knowledge.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

BOOST_AUTO_TEST_SUITE(ManifestKnowledgeRules)

// Guards against a 404 for a route that a newer manifest has: 81 gateways
// waited up to 9 s for a manifest with 960 more routes, and one denied a
// request by the older one because its grants counted as confirmations.
BOOST_AUTO_TEST_CASE(AGrantThatNamesANewerManifestConfirmsNothing) {
  ManifestKnowledge Known;
  BOOST_TEST(!mayDenyForGood(Known, Millis(0)));
  noteNewestManifest(Known, true, Millis(1000), Millis(1020));
  BOOST_TEST(mayDenyForGood(Known, Millis(1500)));
  noteNewestManifest(Known, false, Millis(1600), Millis(1620));
  BOOST_TEST(!mayDenyForGood(Known, Millis(1620)));
  noteNewestManifest(Known, true, Millis(2300), Millis(2320));
  BOOST_TEST(mayDenyForGood(Known, Millis(2400)));
}

// Guards against 404 and 401 by a gateway that is cut off from the keepers.
BOOST_AUTO_TEST_CASE(AConfirmationEnds) {
  ManifestKnowledge Known;
  noteNewestManifest(Known, true, Millis(1000), Millis(1020));
  BOOST_TEST(!mayDenyForGood(Known, Millis(3000)));
  BOOST_TEST(mayActOnManifest(Known, Millis(3000)));
}

// Guards against requests that are handled by an older manifest after the newer
// one must be in force everywhere, while leases go on.
BOOST_AUTO_TEST_CASE(AnOlderManifestIsNotActedOnForLong) {
  ManifestKnowledge Known;
  noteNewestManifest(Known, true, Millis(1000), Millis(1020));
  noteNewestManifest(Known, false, Millis(2000), Millis(2020));
  // Later grants that name a newer one do not begin the time anew.
  noteNewestManifest(Known, false, Millis(3000), Millis(3020));
  BOOST_TEST(mayActOnManifest(Known, Millis(4000)));
  BOOST_TEST(!mayActOnManifest(Known, Millis(4100)));
  noteNewestManifest(Known, true, Millis(4200), Millis(4220));
  BOOST_TEST(mayActOnManifest(Known, Millis(9000)));
}

BOOST_AUTO_TEST_SUITE_END()
