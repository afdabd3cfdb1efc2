#include "vanillaferry/version/manifest_knowledge.hpp"

namespace vanillaferry {

namespace {

/// The shortest bound of the deployments for a manifest to take effect is 2 s
/// after its acknowledgement.
constexpr Millis CertainFor{1500};
constexpr Millis ActsOnOlderFor{1500};

} // namespace

void noteManifestCurrent(ManifestKnowledge &Known, Millis SentAt) {
  Known.m_ConfirmedAt = SentAt;
  Known.m_UsableUntil.reset();
}

void noteManifestOutdated(ManifestKnowledge &Known, Millis AckedAt) {
  // A manifest that is newer still does not give the held one more time.
  if (!Known.m_UsableUntil)
    Known.m_UsableUntil = AckedAt + ActsOnOlderFor;
}

bool mayRejectPermanently(const ManifestKnowledge &Known, Millis Now) {
  return !Known.m_UsableUntil && Known.m_ConfirmedAt &&
         Now <= *Known.m_ConfirmedAt + CertainFor;
}

bool mayUseManifest(const ManifestKnowledge &Known, Millis Now) {
  return !Known.m_UsableUntil || Now <= *Known.m_UsableUntil;
}

} // namespace vanillaferry
