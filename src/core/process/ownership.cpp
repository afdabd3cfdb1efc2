#include "vanillaferry/process/ownership.hpp"

#include <xxhash.h>

namespace vanillaferry {

std::optional<NodeId> ownerOf(const Membership &Members,
                              const TargetId &Target) {
  std::uint64_t Seed =
      XXH3_64bits(Target.m_Value.data(), Target.m_Value.size());
  const NodeId *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const Member &Candidate : Members.m_Members) {
    if (Candidate.m_Leaving)
      continue;
    const std::string &Name = Candidate.m_Node.m_Value;
    std::uint64_t Score = XXH3_64bits_withSeed(Name.data(), Name.size(), Seed);
    // Equal scores go to the smaller id, so that the order of the members does
    // not matter.
    if (!Best || Score > BestScore ||
        (Score == BestScore && Candidate.m_Node < *Best)) {
      Best = &Candidate.m_Node;
      BestScore = Score;
    }
  }
  if (!Best)
    return std::nullopt;
  return *Best;
}

void updateOwned(OwnedTargets &Owned, const Membership &Members,
                 const std::vector<TargetId> &Targets) {
  std::map<TargetId, Epoch> Since;
  for (const TargetId &Target : Targets) {
    std::optional<NodeId> Owner = ownerOf(Members, Target);
    if (!Owner || *Owner != Owned.m_Node)
      continue;
    std::map<TargetId, Epoch>::const_iterator Held = Owned.m_Since.find(Target);
    Since[Target] =
        Held == Owned.m_Since.end() ? Members.m_Epoch : Held->second;
  }
  Owned.m_Since = std::move(Since);
  Owned.m_Epoch = Members.m_Epoch;
}

bool mayDispatch(const OwnedTargets &Owned, const TargetId &Target,
                 Epoch SafeEpoch) {
  std::map<TargetId, Epoch>::const_iterator Held = Owned.m_Since.find(Target);
  return Held != Owned.m_Since.end() && Held->second <= SafeEpoch;
}

} // namespace vanillaferry
