#include "vanillaferry/version/manifest_acks.hpp"

#include <algorithm>

namespace vanillaferry {

void noteManifestReplaced(ManifestAcks &Acks, std::uint64_t Before,
                          const ManifestAck &Ack) {
  // Manifests in between are not known, for instance after a snapshot.
  if (Acks.m_Known.empty() || Acks.m_Known.back().m_Version != Before) {
    Acks.m_Known.clear();
    Acks.m_Before = Before;
  }
  Acks.m_Known.push_back(Ack);
  if (Acks.m_Known.size() <= MaxManifestAcks)
    return;
  Acks.m_Before = Acks.m_Known.front().m_Version;
  Acks.m_Known.pop_front();
}

void setManifestDeadline(ManifestAcks &Acks, const ManifestAck &Ack) {
  for (ManifestAck &Each : Acks.m_Known)
    if (Each.m_Version == Ack.m_Version)
      Each.m_At = Ack.m_At;
}

void noteManifestAcked(ManifestAcks &Acks, const ManifestAck &Ack) {
  for (ManifestAck &Each : Acks.m_Known)
    if (Each.m_Version == Ack.m_Version)
      Each.m_At = std::min(Each.m_At, Ack.m_At);
}

std::optional<Millis> outdatedSince(const ManifestAcks &Acks,
                                    std::uint64_t Held) {
  if (Held < Acks.m_Before)
    return std::nullopt;
  std::deque<ManifestAck>::const_iterator Next = std::find_if(
      Acks.m_Known.begin(), Acks.m_Known.end(),
      [Held](const ManifestAck &Each) { return Each.m_Version > Held; });
  if (Next == Acks.m_Known.end())
    return std::nullopt;
  return Next->m_At;
}

} // namespace vanillaferry
