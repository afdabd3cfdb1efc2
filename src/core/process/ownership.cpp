#include "vanillaferry/process/ownership.hpp"

#include <xxhash.h>

namespace vanillaferry {

namespace {

std::uint64_t targetSeed(const TargetId &Target) {
  return XXH3_64bits(Target.m_Value.data(), Target.m_Value.size());
}

std::uint64_t scoreOf(const NodeId &Node, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Node.m_Value.data(), Node.m_Value.size(), Seed);
}

/// Equal scores go to the smaller id, so that the order of the members does
/// not matter.
bool isBefore(std::uint64_t ScoreA, const NodeId &A, std::uint64_t ScoreB,
              const NodeId &B) {
  return ScoreA > ScoreB || (ScoreA == ScoreB && A < B);
}

} // namespace

std::optional<NodeId> ownerOf(const Membership &Members,
                              const TargetId &Target) {
  std::uint64_t Seed = targetSeed(Target);
  const NodeId *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const Member &Candidate : Members.m_Members) {
    if (Candidate.m_Leaving)
      continue;
    std::uint64_t Score = scoreOf(Candidate.m_Node, Seed);
    if (!Best || isBefore(Score, Candidate.m_Node, BestScore, *Best)) {
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
