#include "vanillaferry/version/manifest_acks.hpp"
#include "vanillaferry/version/manifest_knowledge.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

constexpr Millis Second{1000};

/// Three manifests, ten seconds apart.
ManifestAcks threeManifests() {
  ManifestAcks Acks;
  noteManifestReplaced(Acks, 4, {5, Millis(10000)});
  noteManifestReplaced(Acks, 5, {6, Millis(20000)});
  noteManifestReplaced(Acks, 6, {7, Millis(30000)});
  return Acks;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ManifestAckRules)

// Guards against a gateway several manifests behind that is told only when the
// newest was acknowledged, and uses its own for longer.
BOOST_AUTO_TEST_CASE(AManifestIsOutdatedByTheOneAfterIt) {
  ManifestAcks Acks = threeManifests();
  BOOST_TEST(*outdatedSince(Acks, 4) == Millis(10000));
  BOOST_TEST(*outdatedSince(Acks, 5) == Millis(20000));
  BOOST_TEST(*outdatedSince(Acks, 6) == Millis(30000));
  BOOST_TEST(!outdatedSince(Acks, 7).has_value());
  ManifestKnowledge Known;
  Millis Now(30100);
  noteManifestCurrent(Known, Millis(9000));
  noteManifestOutdated(Known, 7, *outdatedSince(Acks, 5));
  BOOST_TEST(!mayUseManifest(Known, Now));
}

// Guards against a leader that takes the first manifest that it knows for the
// one after the router's.
BOOST_AUTO_TEST_CASE(WhatCameBeforeTheKnownManifestsIsLongAgo) {
  ManifestAcks Acks = threeManifests();
  BOOST_TEST(!outdatedSince(Acks, 3).has_value());
  // Versions 8 and 9 came with a snapshot.
  noteManifestReplaced(Acks, 9, {10, Millis(40000)});
  BOOST_TEST(!outdatedSince(Acks, 7).has_value());
  BOOST_TEST(*outdatedSince(Acks, 9) == Millis(40000));
  BOOST_TEST(!outdatedSince(ManifestAcks(), 0).has_value());
}

// Guards against a deadline that outlives an acknowledgement before it, or that
// a repeated upload extends.
BOOST_AUTO_TEST_CASE(AnAcknowledgementOnlyBringsTheDeadlineForward) {
  ManifestAcks Acks = threeManifests();
  setManifestDeadline(Acks, {7, Millis(30000) + Second});
  BOOST_TEST(*outdatedSince(Acks, 6) == Millis(31000));
  noteManifestAcked(Acks, {7, Millis(30200)});
  BOOST_TEST(*outdatedSince(Acks, 6) == Millis(30200));
  noteManifestAcked(Acks, {7, Millis(35000)});
  BOOST_TEST(*outdatedSince(Acks, 6) == Millis(30200));
}

// Guards against acknowledgements that grow without end.
BOOST_AUTO_TEST_CASE(OnlyTheLatestAcknowledgementsAreKept) {
  ManifestAcks Acks;
  for (std::uint64_t Version = 1; Version <= MaxManifestAcks + 10; ++Version)
    noteManifestReplaced(
        Acks, Version - 1,
        {Version, Millis(static_cast<std::int64_t>(Version) * 1000)});
  BOOST_TEST(Acks.m_Known.size() == MaxManifestAcks);
  BOOST_TEST(!outdatedSince(Acks, 9).has_value());
  BOOST_TEST(*outdatedSince(Acks, 10) == Millis(11000));
}

BOOST_AUTO_TEST_SUITE_END()
