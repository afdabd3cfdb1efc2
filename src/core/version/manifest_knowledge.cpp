#include "vanillaferry/version/manifest_knowledge.hpp"

namespace vanillaferry {

namespace {

/// The shortest bound of the deployments for a manifest to take effect is 2 s
/// after its acknowledgement.
constexpr Millis CertainFor{1500};
/// The acknowledgement comes half a second after the leader accepted the
/// manifest at the earliest while a router lacks it.
constexpr Millis ActsOnOlderFor{2000};

} // namespace

void noteNewestManifest(ManifestKnowledge &Known, bool Holds, Millis SentAt,
                        Millis Now) {
  if (Holds) {
    Known.m_ConfirmedAt = SentAt;
    Known.m_NewerSince.reset();
  } else if (!Known.m_NewerSince) {
    Known.m_NewerSince = Now;
  }
}

bool mayDenyForGood(const ManifestKnowledge &Known, Millis Now) {
  return !Known.m_NewerSince && Known.m_ConfirmedAt &&
         Now <= *Known.m_ConfirmedAt + CertainFor;
}

bool mayActOnManifest(const ManifestKnowledge &Known, Millis Now) {
  return !Known.m_NewerSince || Now <= *Known.m_NewerSince + ActsOnOlderFor;
}

} // namespace vanillaferry
