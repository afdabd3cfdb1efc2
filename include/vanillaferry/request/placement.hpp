#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/ownership.hpp"
#include "vanillaferry/process/prefix_cache.hpp"
#include "vanillaferry/process/target_state.hpp"
#include "vanillaferry/process/units.hpp"
#include "vanillaferry/version/pool.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaferry {

/// XXH3 of a chat id, used in rankings and prefix tables.
std::uint64_t hashChat(const ChatId &Chat);

/// A pool view together with the owner of each of its targets.
struct RoutedPool {
  PoolView m_View;
  /// Parallel to the view's targets; empty ids when there are no members.
  std::vector<NodeId> m_Owners;
};

/// Adds the owners at one membership epoch.
RoutedPool makeRoutedPool(PoolView View, const Membership &Members);

/// Indexes of the first Count targets for a chat by rendezvous hashing, best
/// first (Thaler and Ravishankar 1998).
std::vector<std::uint32_t> rankTargets(const PoolView &View, std::uint64_t Chat,
                                       std::size_t Count);

struct OwnerSearchOptions {
  /// Number of ranked targets whose owners are asked one by one, starting with
  /// the home, the target that ranks first.
  std::uint32_t m_Ranks = 4;
  /// Number of owners that are then asked for any of their targets.
  std::uint32_t m_AnyOwners = 6;
};

/// What the entry router does next for one request.
struct OwnerSearchStep {
  /// False when every candidate declined; wait and begin a new search.
  bool m_Ask = false;
  NodeId m_Owner;
  TargetId m_Target;
  bool m_IgnoreRedirect = false;
  bool m_AnyTarget = false;
};

/// State of the entry router's search for an owner that accepts one request.
struct OwnerSearch {
  OwnerSearchOptions m_Options;
  std::uint64_t m_Chat = 0;
  TargetId m_Home;
  std::vector<TargetId> m_Ranked;
  std::size_t m_NextRank = 0;
  std::uint32_t m_AnyAsked = 0;
  /// Target that holds the chat's prefix as named by an owner, to be asked
  /// next.
  TargetId m_Hint;
  bool m_HintUsed = false;
  std::vector<TargetId> m_Tried;
  /// Owners that declined a ranked target; they may still accept the request at
  /// a target above the mean load.
  std::vector<NodeId> m_DeclinedOwners;
  /// Owners that declined for all of their targets.
  std::vector<NodeId> m_ExhaustedOwners;
};

OwnerSearch beginOwnerSearch(const RoutedPool &Pool, const ChatId &Chat,
                             OwnerSearchOptions Options = OwnerSearchOptions());

/// The next owner to ask: that of the home, of a holder that it names, of the
/// home again without its redirect, of the next ranks up to m_Ranks, then other
/// owners for any of their targets.
OwnerSearchStep nextOwnerSearchStep(OwnerSearch &State, const RoutedPool &Pool);

/// Handles a decline of the owner asked last; Holder is the target that it
/// names as holding the chat's prefix, if any.
void handleDecline(OwnerSearch &State, const OwnerSearchStep &Asked,
                   const TargetId &Holder = TargetId());

/// Memory that one redirect takes: list node, hash node, bucket and allocator
/// overhead.
constexpr Bytes RedirectEntryBytes{128};

/// Targets where the chats that overflowed from their home ran last. Bounded;
/// the oldest entry is evicted first. Target ids are interned.
struct RedirectTable {
  struct Entry {
    std::uint64_t m_Chat = 0;
    std::uint32_t m_Target = 0;
  };
  std::size_t m_Capacity = 100000;
  std::vector<TargetId> m_Targets;
  std::list<Entry> m_Recent;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_ByChat;

  RedirectTable() = default;
  RedirectTable(RedirectTable &&) = default;
  RedirectTable &operator=(RedirectTable &&) = default;
  RedirectTable(const RedirectTable &) = delete;
  RedirectTable &operator=(const RedirectTable &) = delete;
};

/// Records at the owner of the home where a chat ran; a chat that ran at its
/// home needs no entry.
void notePlaced(RedirectTable &Table, std::uint64_t Chat, const TargetId &Home,
                const TargetId &RanAt);

/// Target where the chat ran last; empty when unknown.
TargetId redirectOf(const RedirectTable &Table, std::uint64_t Chat);

/// Drops all redirects to a target that restarted or left.
void dropRedirects(RedirectTable &Table, const TargetId &Target);

/// One owned target and what is known of its prefix cache.
struct OwnedTarget {
  TargetState m_State;
  PrefixTable m_Prefixes;
  /// In service by the pool view; other targets do not count for the mean.
  bool m_InService = false;
  /// Set by the caller: in service, and mayDispatch() holds. A target that
  /// moved to another owner is kept, not dispatchable, until its requests have
  /// ended.
  bool m_Dispatchable = false;
};

struct PlacementRequest {
  std::uint64_t m_Chat = 0;
  /// The target asked for.
  TargetId m_Target;
  bool m_IgnoreRedirect = false;
  bool m_AnyTarget = false;
  /// Decide now, without waiting for a full holder.
  bool m_NoWait = false;
  Priority m_Priority = Priority::Latency;
};

struct PlacementOptions {
  /// How long a latency-critical request waits for a slot at the target that
  /// holds its prefix: this long for each 1,000 tokens held, up to
  /// m_HolderWaitLatency. Batch requests wait m_HolderWaitBatch.
  Millis m_HolderWaitPerThousand{700};
  Millis m_HolderWaitLatency{900};
  Millis m_HolderWaitBatch{10000};
  /// Largest number of requests that wait so at one owner and pool.
  std::size_t m_MaxParked = 256;
};

/// A request that waits at the owner for a slot at the target that holds its
/// prefix.
struct ParkedRequest {
  RequestId m_Request;
  PlacementRequest m_Asked;
  Millis m_Until;
};

/// One owner's state of one pool.
struct OwnerPool {
  PlacementOptions m_Options;
  PoolSettings m_Settings;
  /// Number of the pool's targets in service, over all owners: the divisor of
  /// the mean load.
  TargetCount m_PoolTargets;
  PoolMean m_Mean;
  std::map<TargetId, OwnedTarget> m_Targets;
  RedirectTable m_Redirects;
  /// In order of arrival.
  std::list<ParkedRequest> m_Parked;
};

/// Running requests of this owner at targets in service, as reported in
/// renewals. Those that a former owner still runs are left out, because that
/// owner reports them.
std::uint32_t ownerLoad(const OwnerPool &Pool);

enum class PlacementReason : std::uint8_t {
  /// The target holds the chat's prefix.
  Holder,
  /// The target asked for; no target that may take the request holds the
  /// prefix.
  Ranked,
  /// The least loaded target of the owner.
  LeastLoaded,
  /// Not placed: no target of this owner admits the request.
  Declined,
  /// Not placed: another owner's target holds the prefix.
  HeldElsewhere,
  /// Not placed yet: the target that holds the prefix is full. The caller parks
  /// the request, or decides again with m_NoWait.
  HolderBusy,
  /// Not placed: the node does not own the target or may not dispatch yet.
  NotOwner,
};

struct PlacementDecision {
  bool m_Admitted = false;
  /// Where to dispatch, when admitted.
  TargetId m_Target;
  PlacementReason m_Why = PlacementReason::Declined;
  /// With HeldElsewhere: the target to ask.
  TargetId m_Holder;
};

/// Short text for X-Placement and counters.
const char *placementReasonName(PlacementReason Why);

/// Decides at the owner whether and where a request runs. Changes no state;
/// when the request is admitted, the caller calls startOnTarget.
PlacementDecision decidePlacement(const OwnerPool &Pool,
                                  const PlacementRequest &Request, Millis Now);

/// Parks a request that got HolderBusy.
void parkRequest(OwnerPool &Pool, const RequestId &Request,
                 const PlacementRequest &Asked, Millis Now);

/// Removes a parked request whose caller went away; false when unknown.
bool unparkRequest(OwnerPool &Pool, const RequestId &Request);

/// A parked request with its final decision: admitted, or declined after its
/// wait.
struct ParkedDecision {
  ParkedRequest m_Parked;
  PlacementDecision m_Decision;
};

/// Removes and returns the next parked request that can be decided now. The
/// caller calls it again after each one that it started, after requests end,
/// after grants and load reports, and at least every 100 ms while m_Parked is
/// not empty.
std::optional<ParkedDecision> nextParked(OwnerPool &Pool, Millis Now);

/// Counts an admitted request and records the chat in the target's prefix table
/// and, when it runs elsewhere than at the target asked for, in the redirects;
/// returns the stage for endOnTarget. The entry router sends PlacementUpdate to
/// the home only when another router than the home's owner admitted the
/// request.
std::uint32_t startOnTarget(OwnerPool &Pool, const PlacementRequest &Request,
                            const TargetId &Target, Tokens PromptTokens);

/// What the owner knows of a request that ended at one of its targets.
struct EndedRequest {
  TargetId m_Target;
  std::uint64_t m_Chat = 0;
  /// From startOnTarget.
  std::uint32_t m_Stage = 0;
  bool m_Complete = true;
  /// Empty when it was passed to noteTargetFirstToken before.
  std::optional<Millis> m_FirstToken;
  /// Pool's median first-token time; 0 while unknown.
  Millis m_PoolMedian;
  /// Prompt and answer, which the cache now holds.
  Tokens m_Tokens;
};

/// Records a first-token time when it is known, before the request ends, so
/// that a cold target is detected while its first requests still run.
void noteTargetFirstToken(OwnerPool &Pool, const TargetId &Target,
                          std::uint32_t Stage, Millis FirstToken,
                          Millis PoolMedian);

/// Ends a request; the prefixes of a target that is found cold are cleared.
void endOnTarget(OwnerPool &Pool, const EndedRequest &Ended, Millis Now);

/// Records that a stream through another owner broke because its target failed.
void noteBrokenElsewhere(OwnerPool &Pool, const TargetId &Target, Millis Now);

/// Applies a load report of one target; when it shows a restart, the target's
/// prefixes and redirects are cleared.
void applyTargetReport(OwnerPool &Pool, const TargetId &Target,
                       const LoadReport &Report, Millis Now);

} // namespace vanillaferry
