#include "vanillaferry/version/manifest_knowledge.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

BOOST_AUTO_TEST_SUITE(ManifestKnowledgeRules)

// Guards against a 404 for a route that a newer manifest contains. It happened
// when 81 gateways waited up to 9 s for a manifest with 960 more routes: one of
// them counted every grant as a confirmation and used the older manifest.
BOOST_AUTO_TEST_CASE(AGrantThatNamesANewerManifestConfirmsNothing) {
  ManifestKnowledge Known;
  BOOST_TEST(!mayRejectPermanently(Known, Millis(0)));
  noteManifestCurrent(Known, Millis(1000));
  BOOST_TEST(mayRejectPermanently(Known, Millis(1500)));
  noteManifestOutdated(Known, 2, Millis(2100));
  BOOST_TEST(!mayRejectPermanently(Known, Millis(1620)));
  noteManifestCurrent(Known, Millis(2300));
  BOOST_TEST(mayRejectPermanently(Known, Millis(2400)));
}

// Guards against a 404 or 401 from a gateway that cannot reach the keepers.
BOOST_AUTO_TEST_CASE(AConfirmationExpires) {
  ManifestKnowledge Known;
  noteManifestCurrent(Known, Millis(1000));
  BOOST_TEST(!mayRejectPermanently(Known, Millis(3000)));
  BOOST_TEST(mayUseManifest(Known, Millis(3000)));
}

// Guards against handling requests by an older manifest, under a valid lease,
// after the newer one must be in force everywhere.
BOOST_AUTO_TEST_CASE(AnOutdatedManifestIsUsedForALimitedTime) {
  ManifestKnowledge Known;
  noteManifestCurrent(Known, Millis(1000));
  noteManifestOutdated(Known, 2, Millis(2500));
  // A second newer manifest does not extend the time.
  noteManifestOutdated(Known, 3, Millis(3500));
  BOOST_TEST(mayUseManifest(Known, Millis(4000)));
  BOOST_TEST(!mayUseManifest(Known, Millis(4100)));
  noteManifestCurrent(Known, Millis(4200));
  BOOST_TEST(mayUseManifest(Known, Millis(9000)));
}

// Guards against using a manifest until the first deadline that was stated when
// the operator was answered before it, or a later leader knows more.
BOOST_AUTO_TEST_CASE(AStricterStatementShortensTheUse) {
  ManifestKnowledge Known;
  noteManifestCurrent(Known, Millis(1000));
  noteManifestOutdated(Known, 2, Millis(5000));
  noteManifestOutdated(Known, 2, Millis(1500));
  BOOST_TEST(mayUseManifest(Known, Millis(3000)));
  BOOST_TEST(!mayUseManifest(Known, Millis(3100)));
}

// Guards against refusals while a large manifest is being distributed. Its
// operator has no acknowledgement yet, so nobody relies on it. With 81
// gateways, up to a seventh of all requests was refused.
BOOST_AUTO_TEST_CASE(AManifestThatIsAcknowledgedLateLeavesMoreTime) {
  ManifestKnowledge Known;
  noteManifestCurrent(Known, Millis(1000));
  noteManifestOutdated(Known, 2, Millis(1020 + 2250));
  BOOST_TEST(mayUseManifest(Known, Millis(4700)));
  BOOST_TEST(!mayUseManifest(Known, Millis(4800)));
}

// Guards against a gateway that reconnects long after a manifest was
// acknowledged and handles requests by an older one.
BOOST_AUTO_TEST_CASE(AnOldAcknowledgementLeavesNoTime) {
  ManifestKnowledge Known;
  noteManifestCurrent(Known, Millis(1000));
  noteManifestOutdated(Known, 2, Millis(5000));
  BOOST_TEST(!mayUseManifest(Known, Millis(9000)));
}

// Guards against refusals of a gateway that got the newer manifest from its
// keeper, but whose next renewal is seconds away, as with 291 gateways.
BOOST_AUTO_TEST_CASE(AManifestReceivedWithoutAGrantMayBeUsedButDeniesNothing) {
  ManifestKnowledge Known;
  noteManifestCurrent(Known, Millis(1000));
  noteManifestOutdated(Known, 3, Millis(1200));
  noteManifestReceived(Known, 2);
  BOOST_TEST(!mayUseManifest(Known, Millis(2800)));
  noteManifestReceived(Known, 3);
  BOOST_TEST(mayUseManifest(Known, Millis(2800)));
  BOOST_TEST(!mayRejectPermanently(Known, Millis(2800)));
}

BOOST_AUTO_TEST_SUITE_END()
