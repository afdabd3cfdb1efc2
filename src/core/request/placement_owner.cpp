#include "vanillaferry/request/placement.hpp"

#include <algorithm>
#include <cmath>

namespace vanillaferry {

namespace {

std::uint32_t internTarget(RedirectTable &Table, const TargetId &Target) {
  auto It = std::find(Table.m_Targets.begin(), Table.m_Targets.end(), Target);
  if (It == Table.m_Targets.end())
    It = Table.m_Targets.insert(It, Target);
  return static_cast<std::uint32_t>(It - Table.m_Targets.begin());
}

void removeRedirect(RedirectTable &Table, std::uint64_t Chat) {
  auto It = Table.m_ByChat.find(Chat);
  if (It == Table.m_ByChat.end())
    return;
  Table.m_Recent.erase(It->second);
  Table.m_ByChat.erase(It);
}

/// Best targets of one owner for one request; null when none admits it.
struct Candidates {
  const OwnedTarget *m_Holder = nullptr;
  const OwnedTarget *m_LeastLoaded = nullptr;
  /// A target that holds the prefix is full, but not cold.
  bool m_FullHolder = false;
  /// The mean load with this request, rounded up.
  std::uint32_t m_MeanLimit = 0;
};

bool lessLoaded(const OwnedTarget &A, const OwnedTarget *B) {
  return !B || targetLoad(A.m_State) < targetLoad(B->m_State);
}

/// Prefers the target with the longest copy of the prefix, since one that the
/// chat left some turns ago still holds a part of it; among equal copies, the
/// less loaded target.
bool isBetterHolder(const OwnedTarget &A, const OwnedTarget *B,
                    std::uint64_t Chat) {
  Tokens Held = heldTokens(A.m_Prefixes, Chat);
  if (Held.m_Value <= 0 || !B)
    return Held.m_Value > 0;
  Tokens Other = heldTokens(B->m_Prefixes, Chat);
  return Held == Other ? lessLoaded(A, B) : Other < Held;
}

Candidates findCandidates(const OwnerPool &Pool,
                          const PlacementRequest &Request, Millis Now) {
  std::uint32_t Limit = boundLimit(
      Pool.m_Settings, Pool.m_Mean, ownerLoad(Pool),
      targetDivisor(Pool.m_PoolTargets, Now), Request.m_Priority, Now);
  Candidates Best;
  double Mean = (poolFloor(Pool.m_Mean, ownerLoad(Pool), Now) + 1) /
                static_cast<double>(std::max<std::size_t>(
                    1, targetDivisor(Pool.m_PoolTargets, Now)));
  Best.m_MeanLimit = static_cast<std::uint32_t>(std::ceil(Mean - 1e-9));
  for (const std::pair<const TargetId, OwnedTarget> &Pair : Pool.m_Targets) {
    const OwnedTarget &Target = Pair.second;
    if (!Target.m_Dispatchable)
      continue;
    if (!admits(Target.m_State, Limit, Now)) {
      Best.m_FullHolder |=
          !isCold(Target.m_State) &&
          heldTokens(Target.m_Prefixes, Request.m_Chat).m_Value > 0;
      continue;
    }
    if (isBetterHolder(Target, Best.m_Holder, Request.m_Chat))
      Best.m_Holder = &Target;
    if (lessLoaded(Target, Best.m_LeastLoaded))
      Best.m_LeastLoaded = &Target;
  }
  return Best;
}

PlacementDecision admitAt(const OwnedTarget &Target, PlacementReason Why) {
  PlacementDecision Decision;
  Decision.m_Admitted = true;
  Decision.m_Target = Target.m_State.m_Id;
  Decision.m_Why = Why;
  return Decision;
}

} // namespace

void notePlaced(RedirectTable &Table, std::uint64_t Chat, const TargetId &Home,
                const TargetId &RanAt) {
  removeRedirect(Table, Chat);
  if (RanAt == Home)
    return;
  Table.m_Recent.push_front(
      RedirectTable::Entry{Chat, internTarget(Table, RanAt)});
  Table.m_ByChat[Chat] = Table.m_Recent.begin();
  while (Table.m_Recent.size() > Table.m_Capacity) {
    Table.m_ByChat.erase(Table.m_Recent.back().m_Chat);
    Table.m_Recent.pop_back();
  }
}

TargetId redirectOf(const RedirectTable &Table, std::uint64_t Chat) {
  auto It = Table.m_ByChat.find(Chat);
  return It == Table.m_ByChat.end() ? TargetId()
                                    : Table.m_Targets[It->second->m_Target];
}

void dropRedirects(RedirectTable &Table, const TargetId &Target) {
  for (auto It = Table.m_Recent.begin(); It != Table.m_Recent.end();) {
    if (Table.m_Targets[It->m_Target] != Target) {
      ++It;
      continue;
    }
    Table.m_ByChat.erase(It->m_Chat);
    It = Table.m_Recent.erase(It);
  }
}

std::uint32_t ownerLoad(const OwnerPool &Pool) {
  std::uint32_t Load = 0;
  for (const std::pair<const TargetId, OwnedTarget> &Pair : Pool.m_Targets)
    if (Pair.second.m_InService)
      Load += Pair.second.m_State.m_Running;
  return Load;
}

PlacementDecision decidePlacement(const OwnerPool &Pool,
                                  const PlacementRequest &Request, Millis Now) {
  PlacementDecision Decision;
  auto Asked = Pool.m_Targets.find(Request.m_Target);
  bool Owned = Asked != Pool.m_Targets.end() && Asked->second.m_Dispatchable;
  if (!Owned && !Request.m_AnyTarget) {
    Decision.m_Why = PlacementReason::NotOwner;
    return Decision;
  }
  Candidates Best = findCandidates(Pool, Request, Now);
  if (Best.m_Holder)
    return admitAt(*Best.m_Holder, PlacementReason::Holder);
  if (!Request.m_IgnoreRedirect) {
    TargetId Holder = redirectOf(Pool.m_Redirects, Request.m_Chat);
    if (!Holder.empty() && Pool.m_Targets.count(Holder) == 0) {
      Decision.m_Why = PlacementReason::HeldElsewhere;
      Decision.m_Holder = Holder;
      return Decision;
    }
  }
  if (Best.m_FullHolder && !Request.m_NoWait && !Request.m_AnyTarget &&
      Pool.m_Parked.size() < Pool.m_Options.m_MaxParked) {
    Decision.m_Why = PlacementReason::HolderBusy;
    return Decision;
  }
  if (!Best.m_LeastLoaded)
    return Decision;
  // A target at or above the mean load is kept for the chats whose prefixes it
  // holds; later search steps ask for any target.
  if (!Request.m_AnyTarget &&
      targetLoad(Best.m_LeastLoaded->m_State) >= Best.m_MeanLimit)
    return Decision;
  bool IsAsked = Best.m_LeastLoaded->m_State.m_Id == Request.m_Target;
  return admitAt(*Best.m_LeastLoaded, IsAsked ? PlacementReason::Ranked
                                              : PlacementReason::LeastLoaded);
}

void parkRequest(OwnerPool &Pool, const RequestId &Request,
                 const PlacementRequest &Asked, Millis Now) {
  const PlacementOptions &Options = Pool.m_Options;
  Tokens Held;
  for (const std::pair<const TargetId, OwnedTarget> &Pair : Pool.m_Targets)
    Held = std::max(Held, heldTokens(Pair.second.m_Prefixes, Asked.m_Chat));
  Millis Wait(Options.m_HolderWaitPerThousand.m_Value * Held.m_Value / 1000);
  Wait = std::min(Wait, Options.m_HolderWaitLatency);
  if (Asked.m_Priority == Priority::Batch)
    Wait = Options.m_HolderWaitBatch;
  Pool.m_Parked.push_back(ParkedRequest{Request, Asked, Now + Wait});
}

bool unparkRequest(OwnerPool &Pool, const RequestId &Request) {
  auto It = std::find_if(Pool.m_Parked.begin(), Pool.m_Parked.end(),
                         [&Request](const ParkedRequest &Parked) {
                           return Parked.m_Request == Request;
                         });
  if (It == Pool.m_Parked.end())
    return false;
  Pool.m_Parked.erase(It);
  return true;
}

std::optional<ParkedDecision> nextParked(OwnerPool &Pool, Millis Now) {
  for (auto It = Pool.m_Parked.begin(); It != Pool.m_Parked.end(); ++It) {
    PlacementRequest Asked = It->m_Asked;
    Asked.m_NoWait = It->m_Until <= Now;
    PlacementDecision Decision = decidePlacement(Pool, Asked, Now);
    // When the parked queue is full, a decision that this request waits comes
    // out as a decline, because the request itself is still counted.
    if (Decision.m_Why == PlacementReason::HolderBusy ||
        (!Decision.m_Admitted && !Asked.m_NoWait &&
         Pool.m_Parked.size() >= Pool.m_Options.m_MaxParked))
      continue;
    ParkedDecision Taken{*It, Decision};
    Pool.m_Parked.erase(It);
    return Taken;
  }
  return std::nullopt;
}

std::uint32_t startOnTarget(OwnerPool &Pool, const PlacementRequest &Request,
                            const TargetId &Target, Tokens PromptTokens) {
  OwnedTarget &At = Pool.m_Targets[Target];
  recordChat(At.m_Prefixes, Request.m_Chat, PromptTokens);
  if (!Request.m_AnyTarget)
    notePlaced(Pool.m_Redirects, Request.m_Chat, Request.m_Target, Target);
  return startRequest(At.m_State);
}

void noteTargetFirstToken(OwnerPool &Pool, const TargetId &Target,
                          std::uint32_t Stage, Millis FirstToken,
                          Millis PoolMedian) {
  auto It = Pool.m_Targets.find(Target);
  if (It != Pool.m_Targets.end() &&
      noteFirstToken(It->second.m_State, Stage, FirstToken, PoolMedian))
    clearPrefixes(It->second.m_Prefixes);
}

void endOnTarget(OwnerPool &Pool, const EndedRequest &Ended, Millis Now) {
  auto It = Pool.m_Targets.find(Ended.m_Target);
  if (It == Pool.m_Targets.end())
    return;
  OwnedTarget &At = It->second;
  noteCompletion(Pool.m_Mean, ownerLoad(Pool), Now);
  bool TurnedCold = endRequest(At.m_State, Ended.m_Stage, Ended.m_Complete,
                               Ended.m_FirstToken, Ended.m_PoolMedian);
  if (TurnedCold)
    clearPrefixes(At.m_Prefixes);
  else if (Ended.m_Complete && Ended.m_Stage == At.m_State.m_Stage)
    recordChat(At.m_Prefixes, Ended.m_Chat, Ended.m_Tokens);
}

void noteBrokenElsewhere(OwnerPool &Pool, const TargetId &Target, Millis Now) {
  if (Pool.m_Targets.count(Target) != 0)
    return;
  std::uint32_t Limit = boundLimit(
      Pool.m_Settings, Pool.m_Mean, ownerLoad(Pool),
      targetDivisor(Pool.m_PoolTargets, Now), Priority::Latency, Now);
  noteLostTarget(Pool.m_Mean, Target, Limit, Now);
}

void applyTargetReport(OwnerPool &Pool, const TargetId &Target,
                       const LoadReport &Report, Millis Now) {
  auto It = Pool.m_Targets.find(Target);
  if (It == Pool.m_Targets.end())
    return;
  if (!takeLoadReport(It->second.m_State, Report, Now))
    return;
  clearPrefixes(It->second.m_Prefixes);
  if (It->second.m_Prefixes.m_Instance != Report.m_Instance)
    startInstance(It->second.m_Prefixes, Report.m_Instance);
  dropRedirects(Pool.m_Redirects, Target);
}

} // namespace vanillaferry
