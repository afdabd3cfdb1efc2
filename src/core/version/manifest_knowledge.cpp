#include "vanillaferry/version/manifest_knowledge.hpp"

namespace vanillaferry {

namespace {

/// The shortest bound of the deployments for a manifest to take effect is 2 s
/// after its acknowledgement.
constexpr Millis CertainFor{1500};
constexpr Millis ActsOnOlderFor{1500};

} // namespace

void noteNewestHeld(ManifestKnowledge &Known, Millis SentAt) {
  Known.m_ConfirmedAt = SentAt;
  Known.m_ActsUntil.reset();
}

void noteNewerManifest(ManifestKnowledge &Known, Millis AckedAt) {
  // A manifest that is newer still does not give the held one more time.
  if (!Known.m_ActsUntil)
    Known.m_ActsUntil = AckedAt + ActsOnOlderFor;
}

bool mayDenyForGood(const ManifestKnowledge &Known, Millis Now) {
  return !Known.m_ActsUntil && Known.m_ConfirmedAt &&
         Now <= *Known.m_ConfirmedAt + CertainFor;
}

bool mayActOnManifest(const ManifestKnowledge &Known, Millis Now) {
  return !Known.m_ActsUntil || Now <= *Known.m_ActsUntil;
}

} // namespace vanillaferry
