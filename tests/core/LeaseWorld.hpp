#pragma once

#include "vanillaferry/process/lease_table.hpp"
#include "vanillaferry/process/node_lease.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace vanillaferry {

/// A clock that runs at its own rate, in parts per 100,000 of true time.
struct DriftingClock {
  std::int64_t m_Offset = 0;
  std::int64_t m_Rate = 100000;
};

Millis readClock(const DriftingClock &Clock, Millis TrueTime);

/// One process of a router. A replaced process stays in the simulation and may
/// still dispatch, as a suspended one that resumes would.
struct RouterProcess {
  RouterLease m_Lease;
  OwnedTargets m_Owned;
  Membership m_Members;
  DriftingClock m_Clock;
  bool m_Leaving = false;
  std::uint32_t m_Share = 0;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
};

/// A renewal or a grant in flight.
struct InFlightMessage {
  std::size_t m_Process = 0;
  std::variant<Renew, Grant> m_Content;
};

/// Simulation of routers, one leader at a time, its log and the messages
/// between them. Each check of the invariants uses every process's own view at
/// m_Now.
struct LeaseWorld {
  Millis m_Now{1000000};
  std::int64_t m_MaxDrift = 500;
  StateMachine m_State;
  std::vector<Command> m_Uncommitted;
  LeaseTable m_Table;
  DriftingClock m_LeaderClock;
  std::vector<RouterProcess> m_Processes;
  /// Index of the current process of each node.
  std::vector<std::size_t> m_CurrentProcesses;
  std::vector<InFlightMessage> m_InFlight;
  std::vector<TargetId> m_Targets;
  DocumentVersion m_ReportedInForce;
  std::string m_Fault;
  /// Counts that show that a run exercised the rules.
  std::uint64_t m_Dispatchable = 0;
  std::uint64_t m_InForceReports = 0;
  std::uint64_t m_MembershipChanges = 0;
};

constexpr std::uint32_t WorldAccountLimit = 100;

/// A step: what happens, to whom, how much. All values are valid.
using WorldStep = std::tuple<int, int, int>;

/// A world of this many nodes whose clocks differ by up to MaxDrift parts per
/// 100,000 in both directions.
LeaseWorld makeWorld(std::size_t Nodes, std::int64_t MaxDrift);

/// Runs one step and then checks the invariants; a fault stays in m_Fault.
void runStep(LeaseWorld &World, const WorldStep &Step);

// Single actions, for directed tests.
void advanceTime(LeaseWorld &World, std::int64_t Millis);
void sendRenewal(LeaseWorld &World, std::size_t Process);
void deliverMessage(LeaseWorld &World, std::size_t Index);
void exchange(LeaseWorld &World, std::size_t Process);
void commitAll(LeaseWorld &World);
void leaderTick(LeaseWorld &World);
void changeLeader(LeaseWorld &World, bool KeepUncommitted,
                  std::int64_t RateSeed);
void restartNode(LeaseWorld &World, std::size_t Node);
void editDocument(LeaseWorld &World);
void checkInvariants(LeaseWorld &World);
/// Number of processes that may dispatch to a target now.
std::size_t dispatchers(const LeaseWorld &World, const TargetId &Target);

} // namespace vanillaferry
