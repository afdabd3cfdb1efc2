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
  /// By index of the view's targets; empty ids without members.
  std::vector<NodeId> m_Owners;
};

/// Adds the owners at one membership epoch.
RoutedPool makeRoutedPool(PoolView View, const Membership &Members);

/// Indexes of the first Count targets for a chat by rendezvous hashing, best
/// first (Thaler and Ravishankar 1998).
std::vector<std::uint32_t> rankTargets(const PoolView &View, std::uint64_t Chat,
                                       std::size_t Count);

struct OwnerSearchOptions {
  /// Ranked targets that are asked one by one: the home and the next ranks.
  std::uint32_t m_Ranks = 4;
  /// Owners asked for any of their targets after that.
  std::uint32_t m_AnyOwners = 6;
};

/// What the entry router does next for one request.
struct OwnerSearchStep {
  /// False: every candidate declined; wait and begin a new walk.
  bool m_Ask = false;
  NodeId m_Owner;
  TargetId m_Target;
  bool m_IgnoreRedirect = false;
  bool m_AnyTarget = false;
};

/// The entry router's walk over the owners for one request.
struct OwnerSearch {
  OwnerSearchOptions m_Options;
  std::uint64_t m_Chat = 0;
  TargetId m_Home;
  std::vector<TargetId> m_Ranked;
  std::size_t m_NextRank = 0;
  std::uint32_t m_AnyAsked = 0;
  /// A holder named by the home, to be asked next.
  TargetId m_Hint;
  bool m_HintUsed = false;
  std::vector<TargetId> m_Tried;
  /// Owners that declined although they may have places above the mean.
  std::vector<NodeId> m_SoftOwners;
  /// Owners that declined for all of their targets.
  std::vector<NodeId> m_FullOwners;
};

OwnerSearch beginOwnerSearch(const RoutedPool &Pool, const ChatId &Chat,
                             OwnerSearchOptions Options = OwnerSearchOptions());

/// The next owner to ask: the home, a holder that it names, the home again
/// without its redirect, ranks 2 to 4, then other owners for any target.
OwnerSearchStep nextOwnerSearchStep(OwnerSearch &State, const RoutedPool &Pool);

/// Takes the answer of the owner asked last.
void handleDecline(OwnerSearch &State, const OwnerSearchStep &Asked,
                   const TargetId &Holder = TargetId());

/// Memory that one redirect costs: list node, hash node, bucket and allocator
/// overhead.
constexpr Bytes RedirectEntryBytes{128};

/// Where the chats that overflowed from their home ran last; bounded, the
/// least recently used entry goes first. Target ids are interned.
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

/// Notes at the home where a chat ran; a chat that ran at its home needs no
/// entry.
void notePlaced(RedirectTable &Table, std::uint64_t Chat, const TargetId &Home,
                const TargetId &RanAt);

/// Target where the chat ran last; empty when unknown.
TargetId redirectOf(const RedirectTable &Table, std::uint64_t Chat);

/// Drops all redirects to a target that restarted or left.
void dropRedirects(RedirectTable &Table, const TargetId &Target);

/// One owned target with the knowledge of its cache.
struct OwnedTarget {
  TargetState m_State;
  PrefixTable m_Prefixes;
  /// In service by the pool view; only then it counts for the mean.
  bool m_InService = false;
  /// Set by the caller: in service and mayDispatch holds. A target that went
  /// to another owner stays, not dispatchable, until its requests have ended.
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
  /// How long a request waits for a place at the target that holds its prefix:
  /// this long for each 1,000 tokens held, up to a limit.
  Millis m_HolderWaitPerThousand{700};
  Millis m_HolderWaitLatency{900};
  Millis m_HolderWaitBatch{10000};
  /// Requests that wait in this way at one owner and pool.
  std::size_t m_MaxParked = 256;
};

/// A request that waits at the owner for a place at its holder.
struct ParkedRequest {
  RequestId m_Request;
  PlacementRequest m_Asked;
  Millis m_Until;
};

/// Everything one owner knows of one pool.
struct OwnerPool {
  PlacementOptions m_Options;
  PoolSettings m_Settings;
  /// Targets of the pool in service, over all owners, as the mean's divisor.
  TargetCount m_PoolTargets;
  PoolMean m_Mean;
  std::map<TargetId, OwnedTarget> m_Targets;
  RedirectTable m_Redirects;
  /// In order of arrival.
  std::list<ParkedRequest> m_Parked;
};

/// Own running requests at targets in service, as reported in renewals.
/// Residual ones are left out, because their former owner reports them.
std::uint32_t ownerLoad(const OwnerPool &Pool);

enum class PlacementReason : std::uint8_t {
  /// The target holds the chat's prefix.
  Holder,
  /// First by rank, and no holder is known.
  Ranked,
  /// The least loaded target of the owner.
  LeastLoaded,
  /// Not placed: no target of this owner admits.
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

/// Decides at the owner whether and where a request runs. Changes nothing; the
/// caller then calls startOnTarget.
PlacementDecision decidePlacement(const OwnerPool &Pool,
                                  const PlacementRequest &Request, Millis Now);

/// Keeps a request that got HolderBusy.
void parkRequest(OwnerPool &Pool, const RequestId &Request,
                 const PlacementRequest &Asked, Millis Now);

/// Forgets a parked request whose caller went away; false when unknown.
bool unparkRequest(OwnerPool &Pool, const RequestId &Request);

/// A parked request that is decided: admitted, or declined after its wait.
struct ParkedDecision {
  ParkedRequest m_Parked;
  PlacementDecision m_Decision;
};

/// Takes the next parked request that can be decided now. The caller asks again
/// after each one that it started, after requests end, after grants and load
/// reports, and at least every 100 ms while m_Parked is not empty.
std::optional<ParkedDecision> nextParked(OwnerPool &Pool, Millis Now);

/// Counts an admitted request and notes the chat in the target's prefix table
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
  /// Empty when noteTargetFirstToken took it before.
  std::optional<Millis> m_FirstToken;
  /// Pool's median first-token time; 0 while unknown.
  Millis m_PoolMedian;
  /// Prompt and answer, which the cache now holds.
  Tokens m_Tokens;
};

/// Takes a first-token time at once; better than with the end of the request,
/// because a cold target is found while its first requests still run.
void noteTargetFirstToken(OwnerPool &Pool, const TargetId &Target,
                          std::uint32_t Stage, Millis FirstToken,
                          Millis PoolMedian);

/// Ends a request; a target found cold loses its prefixes and redirects.
void endOnTarget(OwnerPool &Pool, const EndedRequest &Ended, Millis Now);

/// Notes that a stream through another owner broke because its target did.
void noteBrokenElsewhere(OwnerPool &Pool, const TargetId &Target, Millis Now);

/// Takes a load report of one target; a restart clears what is known of it.
void applyTargetReport(OwnerPool &Pool, const TargetId &Target,
                       const LoadReport &Report, Millis Now);

} // namespace vanillaferry
