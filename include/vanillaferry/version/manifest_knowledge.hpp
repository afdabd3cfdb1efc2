#pragma once

#include "vanillaferry/process/units.hpp"

#include <optional>

namespace vanillaferry {

/// What a router knows of whether its manifest is the newest one.
struct ManifestKnowledge {
  /// When the renewal left whose grant confirmed it last; absent before the
  /// first manifest.
  std::optional<Millis> m_ConfirmedAt;
  /// Set while a newer one has not arrived yet: until when requests may be
  /// handled by the held one.
  std::optional<Millis> m_UsableUntil;
};

/// Takes a grant's word that the router now holds the newest manifest. SentAt
/// is when the renewal left, which is the time that the grant speaks of.
void noteManifestCurrent(ManifestKnowledge &Known, Millis SentAt);

/// Takes a grant's word that a newer manifest has not arrived yet. It is
/// acknowledged to its operator at AckedAt, which may be over.
void noteManifestOutdated(ManifestKnowledge &Known, Millis AckedAt);

/// False when a newer manifest may allow what the held one does not: a request
/// is then refused as not run in place of being denied for good.
bool mayRejectPermanently(const ManifestKnowledge &Known, Millis Now);

/// False when a newer manifest has been in force for so long that requests must
/// not be handled by the held one.
bool mayUseManifest(const ManifestKnowledge &Known, Millis Now);

} // namespace vanillaferry
