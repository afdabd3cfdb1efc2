#include "vanillaferry/version/manifest_knowledge.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// The strictest deployment requires that a manifest takes effect within 2 s of
/// its acknowledgement; both limits stay below that.
constexpr Millis ConfirmationValidity{1500};
constexpr Millis OutdatedUseLimit{1500};

} // namespace

void noteManifestCurrent(ManifestKnowledge &Known, Millis SentAt) {
  Known.m_ConfirmedAt = SentAt;
  Known.m_UsableUntil.reset();
}

void noteManifestReceived(ManifestKnowledge &Known, std::uint64_t Version) {
  if (Version >= Known.m_NewestSeen)
    Known.m_UsableUntil.reset();
}

void noteManifestOutdated(ManifestKnowledge &Known, std::uint64_t Version,
                          Millis AckedAt) {
  Known.m_NewestSeen = std::max(Known.m_NewestSeen, Version);
  // A second newer manifest does not extend the use of the held one. A later
  // statement may be stricter: the operator's answer did not take the whole
  // time, or another leader knows more.
  Millis Until = AckedAt + OutdatedUseLimit;
  Known.m_UsableUntil =
      Known.m_UsableUntil ? std::min(*Known.m_UsableUntil, Until) : Until;
}

bool mayRejectPermanently(const ManifestKnowledge &Known, Millis Now) {
  return !Known.m_UsableUntil && Known.m_ConfirmedAt &&
         Now <= *Known.m_ConfirmedAt + ConfirmationValidity;
}

bool mayUseManifest(const ManifestKnowledge &Known, Millis Now) {
  return !Known.m_UsableUntil || Now <= *Known.m_UsableUntil;
}

} // namespace vanillaferry
