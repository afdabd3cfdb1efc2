#pragma once

#include "vanillaferry/connection/message.hpp"

#include <map>
#include <optional>
#include <vector>

namespace vanillaferry {

/// The replicated membership at one epoch, as a router uses it.
struct Membership {
  Epoch m_Epoch;
  std::vector<Member> m_Members;
};

/// Owner of a target: rendezvous hashing over the members that are not leaving
/// (Thaler and Ravishankar 1998, with XXH3). Empty without members.
std::optional<NodeId> ownerOf(const Membership &Members,
                              const TargetId &Target);

/// Epoch since which the node has owned a target, kept across memberships.
struct OwnedTargets {
  NodeId m_Node;
  /// Epoch of the members that m_Since was computed with.
  Epoch m_Epoch;
  std::map<TargetId, Epoch> m_Since;
};

/// Recomputes what a node owns after a change of membership or targets.
void updateOwned(OwnedTargets &Owned, const Membership &Members,
                 const std::vector<TargetId> &Targets);

/// True when the node owns the target and every former owner has stopped. Use
/// mayDispatchNow(), which also checks the lease.
bool mayDispatch(const OwnedTargets &Owned, const TargetId &Target,
                 Epoch SafeEpoch);

} // namespace vanillaferry
