#pragma once

#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <optional>

namespace vanillaferry {

/// What a router knows about whether the manifest that it holds is the newest
/// one. Learned from the grants of the keepers' leader.
struct ManifestKnowledge {
  /// When the router sent the renewal whose grant last confirmed that its
  /// manifest is the newest; absent before the first manifest.
  std::optional<Millis> m_ConfirmedAt;
  /// Set while a newer manifest exists that has not arrived yet: requests may
  /// be handled by the held manifest until this time.
  std::optional<Millis> m_UsableUntil;
  /// The newest version that is known to exist.
  std::uint64_t m_NewestSeen = 0;
};

/// A grant states that the router holds the newest manifest. SentAt is when the
/// renewal was sent; the statement is only known to hold for that time.
void noteManifestCurrent(ManifestKnowledge &Known, Millis SentAt);

/// A grant states that this newer manifest exists, which has not arrived yet.
/// The first one after the held manifest is acknowledged to its operator at
/// AckedAt, which may be in the past.
void noteManifestOutdated(ManifestKnowledge &Known, std::uint64_t Version,
                          Millis AckedAt);

/// A keeper sent this manifest without a grant: it may be used, but nothing
/// confirms that it is the newest one.
void noteManifestReceived(ManifestKnowledge &Known, std::uint64_t Version);

/// False when a newer manifest may allow what the held one does not. A request
/// without a route or a valid API key then gets a retryable refusal that says
/// that it did not run, and no 404 or 401.
bool mayRejectPermanently(const ManifestKnowledge &Known, Millis Now);

/// False when a newer manifest must already be in force everywhere, so that
/// requests must not be handled by the held one any more.
bool mayUseManifest(const ManifestKnowledge &Known, Millis Now);

} // namespace vanillaferry
