#pragma once

#include "vanillaferry/process/units.hpp"

#include <optional>

namespace vanillaferry {

/// What a router knows of whether its manifest is the newest one.
struct ManifestKnowledge {
  /// When the renewal left whose grant confirmed it last; absent before the
  /// first manifest.
  std::optional<Millis> m_ConfirmedAt;
  /// When a grant first named a newer one that has not arrived yet.
  std::optional<Millis> m_NewerSince;
};

/// Takes a grant's word: whether the router now holds the newest manifest.
/// SentAt is when the renewal left, which is the time that the grant speaks of.
void noteNewestManifest(ManifestKnowledge &Known, bool Holds, Millis SentAt,
                        Millis Now);

/// False when a newer manifest may allow what the held one does not: a request
/// is then refused as not run in place of being denied for good.
bool mayDenyForGood(const ManifestKnowledge &Known, Millis Now);

/// False when a newer manifest has been in force for so long that requests must
/// not be handled by the held one.
bool mayActOnManifest(const ManifestKnowledge &Known, Millis Now);

} // namespace vanillaferry
