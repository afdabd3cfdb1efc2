#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstddef>
#include <map>
#include <vector>

// Builds of different age run side by side during an upgrade. Commands,
// messages and fields that older builds do not know belong to a feature level;
// they are used once every member of the keeper set has stated that level, as
// etcd does it with its cluster version. See docs/design/upgrades.md.

namespace vanillaferry {

struct Replica;

/// The level that this build understands.
constexpr FeatureLevel NewestFeatureLevel{1};

/// Index in the variant Command of the last command that belongs to level 0.
constexpr std::size_t LastCommandOfLevel0 = 13;

/// What the build of another keeper understands.
struct StatedLevel {
  FeatureLevel m_Level;
  std::uint32_t m_Links = 0;
  /// When its last link ended.
  Millis m_LostAt;
};

/// The levels that other keepers have stated to this process.
struct LevelBoard {
  std::map<KeeperId, StatedLevel> m_Stated;
  /// The highest level that this leader has proposed.
  FeatureLevel m_Proposed;
  Millis m_NextProposal;
};

/// A link to this keeper is up, or ended.
void recordLevel(LevelBoard &Board, const KeeperId &Keeper, FeatureLevel Level);
void recordLinkLost(LevelBoard &Board, const KeeperId &Keeper, Millis Now);

/// The other members of the newest keeper set and, while that is not committed,
/// of the sets that may still be in force.
std::vector<KeeperId> otherMembers(const Replica &State);

/// The level that all members and all connected keepers understand: these may
/// be added next. A member that has stated none counts as level 0, and so does
/// one that was lost more than the longest election time ago: it may come back
/// as an older build.
FeatureLevel understoodByAll(const LevelBoard &Board, const Replica &State,
                             Millis Now);

/// The level of commands that the leader may propose: the committed one, unless
/// a member has stated a lower one. A member that is silent understood the
/// committed level.
FeatureLevel usableLevel(const LevelBoard &Board, const Replica &State,
                         FeatureLevel Committed);

/// False for a keeper that has stated a lower level than the log may need.
bool mayBecomeMember(const LevelBoard &Board, const KeeperId &Keeper,
                     FeatureLevel Committed);

} // namespace vanillaferry
