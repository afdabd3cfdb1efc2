#include "vanillaferry/process/feature_level.hpp"

#include "process/internal/replica.hpp"
#include "vanillaferry/process/state_machine.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

// The commands are numbered by their order; see encodeCommand().
static_assert(
    std::is_same_v<std::variant_alternative_t<LastCommandOfLevel0, Command>,
                   BeginTrial>);

void addMembers(const KeeperSet &Set, const KeeperId &Self,
                std::vector<KeeperId> &Out) {
  for (const std::vector<KeeperAddress> *Keepers :
       {&Set.m_Voters, &Set.m_Learners})
    for (const KeeperAddress &Each : *Keepers)
      if (Each.m_Keeper != Self &&
          std::find(Out.begin(), Out.end(), Each.m_Keeper) == Out.end())
        Out.push_back(Each.m_Keeper);
}

} // namespace

FeatureLevel featureLevelOf(const Command &Input) {
  return Input.index() <= LastCommandOfLevel0 ? FeatureLevel(0)
                                              : NewestFeatureLevel;
}

void recordLevel(LevelBoard &Board, const KeeperId &Keeper,
                 FeatureLevel Level) {
  StatedLevel &Stated = Board.m_Stated[Keeper];
  Stated.m_Level = Level;
  ++Stated.m_Links;
}

void recordLinkLost(LevelBoard &Board, const KeeperId &Keeper, Millis Now) {
  std::map<KeeperId, StatedLevel>::iterator Found = Board.m_Stated.find(Keeper);
  if (Found == Board.m_Stated.end() || Found->second.m_Links == 0)
    return;
  --Found->second.m_Links;
  Found->second.m_LostAt = Now;
}

std::vector<KeeperId> otherMembers(const Replica &State) {
  std::vector<KeeperId> Members;
  addMembers(State.m_Set, State.m_Self, Members);
  for (std::uint64_t Index = State.m_SetIndex.m_Value;
       Index > State.m_Commit.m_Value; --Index)
    addMembers(internal::setAt(State, LogIndex(Index - 1)), State.m_Self,
               Members);
  return Members;
}

FeatureLevel understoodByAll(const LevelBoard &Board, const Replica &State,
                             Millis Now) {
  auto IsCurrent = [&](const StatedLevel &Stated) {
    return Stated.m_Links > 0 ||
           Now <= Stated.m_LostAt + State.m_Options.m_ElectionMax;
  };
  FeatureLevel Lowest = NewestFeatureLevel;
  for (const KeeperId &Member : otherMembers(State)) {
    std::map<KeeperId, StatedLevel>::const_iterator Found =
        Board.m_Stated.find(Member);
    if (Found == Board.m_Stated.end() || !IsCurrent(Found->second))
      return FeatureLevel(0);
  }
  for (const std::pair<const KeeperId, StatedLevel> &Row : Board.m_Stated)
    if (IsCurrent(Row.second) && !internal::isRemoved(State.m_Set, Row.first))
      Lowest = std::min(Lowest, Row.second.m_Level);
  return Lowest;
}

FeatureLevel usableLevel(const LevelBoard &Board, const Replica &State,
                         FeatureLevel Committed) {
  FeatureLevel Usable = std::min(Committed, NewestFeatureLevel);
  for (const KeeperId &Member : otherMembers(State)) {
    std::map<KeeperId, StatedLevel>::const_iterator Found =
        Board.m_Stated.find(Member);
    if (Found != Board.m_Stated.end())
      Usable = std::min(Usable, Found->second.m_Level);
  }
  return Usable;
}

bool mayBecomeMember(const LevelBoard &Board, const KeeperId &Keeper,
                     FeatureLevel Committed) {
  std::map<KeeperId, StatedLevel>::const_iterator Found =
      Board.m_Stated.find(Keeper);
  return Found == Board.m_Stated.end() ||
         Found->second.m_Level >= std::max(Committed, Board.m_Proposed);
}

} // namespace vanillaferry
