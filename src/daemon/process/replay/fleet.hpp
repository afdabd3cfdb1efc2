#pragma once

#include "process/replay/leader.hpp"
#include "process/replay/world.hpp"
#include "vanillaferry/process/node_lease.hpp"
#include "vanillaferry/request/account_limit.hpp"
#include "vanillaferry/request/admission_queue.hpp"
#include "vanillaferry/request/placement.hpp"
#include "vanillaferry/request/retry.hpp"

#include <deque>

namespace vanillaferry {

/// The leader's answer to a load update on its way.
struct TotalsInFlight {
  Millis m_At;
  Millis m_SentAt;
  std::uint32_t m_OwnReported = 0;
  LoadTotals m_Answer;
};

/// A grant on its way to a router.
struct GrantInFlight {
  Millis m_At;
  Millis m_SentAt;
  std::uint32_t m_OwnReported = 0;
  Grant m_Grant;
};

/// A load report or a list of cached chats on its way to an owner.
struct ReportInFlight {
  Millis m_At;
  TargetId m_Target;
  LoadReport m_Report;
  /// Cached chats, after a change of owner.
  std::vector<CacheEvent> m_Cached;
};

/// One router of the replay: its entry role and its owner role.
struct ReplayRouter {
  NodeId m_Id;
  bool m_Joined = false;
  bool m_Leaving = false;
  Millis m_FrozenUntil;
  RouterLease m_Lease;
  Membership m_Members;
  VmView m_Vms;
  Millis m_ListLag;
  Millis m_NextList;
  Millis m_NextPoll;
  RoutedPool m_Routed;
  OwnedTargets m_Owned;
  std::map<TargetId, std::uint32_t> m_Residual;
  /// Epoch of the lease that the targets were gained under.
  Epoch m_GainedAt;
  OwnerPool m_Pool;
  AccountTable m_Accounts;
  AdmissionQueue m_Queue;
  /// No walk for waiting requests before this time, after one that failed.
  Millis m_NextWalk;
  RetryTable m_Retries;
  std::deque<std::int64_t> m_FirstTokens;
  std::deque<TotalsInFlight> m_Totals;
  std::uint64_t m_NextLoadUpdate = 1;
  Millis m_LastLoadUpdate;
  /// Set when a placement used totals that are not fresh.
  bool m_WantTotals = false;
  std::deque<GrantInFlight> m_Grants;
  std::deque<ReportInFlight> m_Reports;
  /// Requests that ended while the router was frozen.
  std::vector<std::uint32_t> m_Deferred;
};

/// A zone edit that is not yet in force everywhere.
struct PendingZoneEdit {
  DocumentVersion m_Version;
  std::string m_Zone;
  bool m_InService = true;
};

/// A request parked at an owner, with its way so far.
struct ParkedWalk {
  std::uint32_t m_Entry = 0;
  OwnerSearch m_Walk;
  OwnerSearchStep m_Step;
};

/// Chats that could be found at their engine before a loss.
struct LossWatch {
  Millis m_CheckAt;
  std::vector<std::uint32_t> m_Found;
  std::size_t m_Carried = 0;
};

struct FleetOptions {
  OwnerSearchOptions m_Walk;
  PlacementOptions m_Placement;
  LoadBoundOptions m_Load;
  Millis m_RenewInterval{1000};
  double m_InnerMargin = 0.05;
  /// Chats exported from each engine of a zone or VM that leaves.
  std::size_t m_Export = 0;
};

/// Routers and leader of one replay under the policy "vanillaferry".
struct Fleet {
  World *m_World = nullptr;
  FleetOptions m_Options;
  PoolSettings m_Settings;
  ReplayLeader m_Leader;
  std::vector<ReplayRouter> m_Routers;
  std::map<std::uint64_t, std::vector<ZoneSettings>> m_Zones;
  std::vector<PendingZoneEdit> m_Pending;
  std::vector<std::pair<Millis, std::uint32_t>> m_VmLeaves;
  std::map<std::string, std::uint32_t> m_EngineIndex;
  std::map<std::uint32_t, std::uint32_t> m_LastEngine;
  std::vector<LossWatch> m_Watches;
  std::map<std::uint32_t, ParkedWalk> m_Parked;
};

Fleet makeFleet(World &State, const FleetOptions &Options);
void fleetTick(Fleet &All);
void fleetArrive(Fleet &All, std::uint32_t Request);
void fleetFirstToken(Fleet &All, std::uint32_t Request);
void fleetFinish(Fleet &All, std::uint32_t Request);
void fleetEvent(Fleet &All, const TraceEvent &Event);

// The following are shared by the sources of the fleet.

/// True when the router may take new work.
bool routerReady(const Fleet &All, const ReplayRouter &Router);
/// Rebuilds what follows from sections, VM list and membership.
void rebuildViews(Fleet &All, ReplayRouter &Router, bool FromDocument);
/// Renewals, grants, reports and the VM list of one router.
void exchangeMessages(Fleet &All, ReplayRouter &Router);
/// Decides parked requests of one owner.
void placeParked(Fleet &All, std::uint32_t Router);
/// Places waiting requests of one router until none finds a place.
void placeWaiting(Fleet &All, std::uint32_t Router);
/// Takes the requests of a crashed engine off their owners and places them
/// again, as far as the retry budgets allow.
void fleetCrash(Fleet &All, std::uint32_t Engine);
/// Notes which chats can be found now, and checks them a while later.
void watchLoss(Fleet &All, std::uint32_t Engine, const NodeId &Router);
void checkLosses(Fleet &All);
Millis medianFirstToken(const ReplayRouter &Router);

} // namespace vanillaferry
