#define XXH_INLINE_ALL
#include "vanillaferry/request/placement.hpp"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace vanillaferry {

namespace {

struct Scored {
  std::uint64_t m_Score = 0;
  std::uint32_t m_Index = 0;
};

std::uint64_t rankScore(std::uint64_t Chat, std::uint64_t Target) {
  std::array<std::uint64_t, 2> Key{Chat, Target};
  return XXH3_64bits(Key.data(), sizeof(Key));
}

template <typename T> bool contains(const std::vector<T> &All, const T &One) {
  return std::find(All.begin(), All.end(), One) != All.end();
}

/// The next owner that has not declined for all of its targets yet, by rank.
OwnerSearchStep nextAnyOwner(const OwnerSearch &State, const RoutedPool &Pool) {
  OwnerSearchStep Step;
  if (State.m_AnyAsked >= State.m_Options.m_AnyOwners)
    return Step;
  std::uint64_t Best = 0;
  for (std::size_t I = 0; I < Pool.m_Owners.size(); ++I) {
    if (Pool.m_Owners[I].empty() ||
        contains(State.m_ExhaustedOwners, Pool.m_Owners[I]))
      continue;
    const PoolTarget &Target = Pool.m_View.m_Targets[I];
    std::uint64_t Score = rankScore(State.m_Chat, Target.m_Hash);
    if (Step.m_Ask && Score <= Best)
      continue;
    Best = Score;
    Step.m_Ask = true;
    Step.m_AnyTarget = true;
    Step.m_IgnoreRedirect = true;
    Step.m_Owner = Pool.m_Owners[I];
    Step.m_Target = Target.m_Settings.m_Id;
  }
  return Step;
}

OwnerSearchStep askTarget(const RoutedPool &Pool, const TargetId &Target) {
  OwnerSearchStep Step;
  std::size_t Index = findTarget(Pool.m_View, Target);
  if (Index >= Pool.m_Owners.size() || Pool.m_Owners[Index].empty())
    return Step;
  Step.m_Ask = true;
  Step.m_Owner = Pool.m_Owners[Index];
  Step.m_Target = Target;
  return Step;
}

} // namespace

std::uint64_t hashChat(const ChatId &Chat) {
  return XXH3_64bits(Chat.m_Value.data(), Chat.m_Value.size());
}

std::vector<std::uint32_t> rankTargets(const PoolView &View, std::uint64_t Chat,
                                       std::size_t Count) {
  std::vector<Scored> Top;
  Count = std::min(Count, View.m_Targets.size());
  if (Count == 0)
    return {};
  Top.reserve(Count + 1);
  for (std::uint32_t I = 0; I < View.m_Targets.size(); ++I) {
    Scored One{rankScore(Chat, View.m_Targets[I].m_Hash), I};
    if (Top.size() == Count && One.m_Score <= Top.back().m_Score)
      continue;
    auto At = std::find_if(Top.begin(), Top.end(), [&One](const Scored &Other) {
      return Other.m_Score < One.m_Score;
    });
    Top.insert(At, One);
    if (Top.size() > Count)
      Top.pop_back();
  }
  std::vector<std::uint32_t> Indexes;
  for (const Scored &One : Top)
    Indexes.push_back(One.m_Index);
  return Indexes;
}

OwnerSearch beginOwnerSearch(const RoutedPool &Pool, const ChatId &Chat,
                             OwnerSearchOptions Options) {
  OwnerSearch State;
  State.m_Options = Options;
  State.m_Chat = hashChat(Chat);
  for (std::uint32_t Index :
       rankTargets(Pool.m_View, State.m_Chat, Options.m_Ranks))
    State.m_Ranked.push_back(Pool.m_View.m_Targets[Index].m_Settings.m_Id);
  if (!State.m_Ranked.empty())
    State.m_Home = State.m_Ranked.front();
  return State;
}

OwnerSearchStep nextOwnerSearchStep(OwnerSearch &State,
                                    const RoutedPool &Pool) {
  if (!State.m_Hint.empty()) {
    OwnerSearchStep Step = askTarget(Pool, State.m_Hint);
    Step.m_IgnoreRedirect = true;
    State.m_Hint = TargetId();
    if (Step.m_Ask)
      return Step;
  }
  while (State.m_NextRank < State.m_Ranked.size()) {
    const TargetId &Target = State.m_Ranked[State.m_NextRank];
    ++State.m_NextRank;
    OwnerSearchStep Step = askTarget(Pool, Target);
    if (!Step.m_Ask || contains(State.m_DeclinedOwners, Step.m_Owner))
      continue;
    Step.m_IgnoreRedirect = State.m_HintUsed;
    return Step;
  }
  OwnerSearchStep Step = nextAnyOwner(State, Pool);
  if (Step.m_Ask)
    ++State.m_AnyAsked;
  return Step;
}

void handleDecline(OwnerSearch &State, const OwnerSearchStep &Asked,
                   const TargetId &Holder) {
  if (!Holder.empty() && !State.m_HintUsed) {
    State.m_HintUsed = true;
    State.m_Hint = Holder;
    // The home only named a holder; it is asked again after the holder.
    if (State.m_NextRank > 0)
      --State.m_NextRank;
    return;
  }
  std::vector<NodeId> &Owners =
      Asked.m_AnyTarget ? State.m_ExhaustedOwners : State.m_DeclinedOwners;
  if (!contains(Owners, Asked.m_Owner))
    Owners.push_back(Asked.m_Owner);
}

const char *placementReasonName(PlacementReason Why) {
  switch (Why) {
  case PlacementReason::Holder:
    return "holder";
  case PlacementReason::Ranked:
    return "ranked";
  case PlacementReason::LeastLoaded:
    return "least_loaded";
  case PlacementReason::Declined:
    return "declined";
  case PlacementReason::HeldElsewhere:
    return "held_elsewhere";
  case PlacementReason::HolderBusy:
    return "holder_busy";
  case PlacementReason::NotOwner:
    return "not_owner";
  }
  return "declined";
}

} // namespace vanillaferry
