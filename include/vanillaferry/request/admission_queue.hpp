#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/reason.hpp"
#include "vanillaferry/process/units.hpp"
#include "vanillaferry/request/service_rate.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace vanillaferry {

/// A request that waits until a target has a free slot.
struct WaitingRequest {
  RequestId m_Request;
  AccountId m_Account;
  Priority m_Priority = Priority::Latency;
  /// Deficit that it uses in the round robin; longer prompts use more.
  std::uint32_t m_Cost = 1;
  Millis m_EnteredAt;
  Millis m_Deadline;
  /// It has left the queue and was counted in ServiceRate::m_Served; requeue()
  /// takes it back.
  bool m_CountedServed = false;
};

struct QueueOptions {
  std::size_t m_Limit = 1000;
  /// Share of m_Limit that one account may fill.
  double m_AccountShare = 0.5;
  /// Cost that an account may use in one turn, for each unit of its weight.
  std::uint32_t m_Quantum = 4;
};

/// Waiting requests of one account in one priority class.
struct AccountQueue {
  std::deque<WaitingRequest> m_Waiting;
  std::uint32_t m_Deficit = 0;
  std::uint32_t m_Weight = 1;
  /// True once the account has got its quantum in the present turn.
  bool m_QuantumGranted = false;
};

/// Queues of one priority class.
struct PriorityClass {
  std::map<AccountId, AccountQueue> m_Queues;
  /// Order of the turns; the front account is served next.
  std::deque<AccountId> m_RoundRobin;
};

/// Bounded queue that is fair between accounts by deficit round robin
/// (Shreedhar and Varghese 1995). Latency-critical requests go before batch
/// ones.
struct AdmissionQueue {
  QueueOptions m_Options;
  PriorityClass m_Latency;
  PriorityClass m_Batch;
  std::size_t m_Size = 0;
  std::map<AccountId, std::size_t> m_PerAccount;
  ServiceRate m_Rate;
};

/// Adds a request. Returns None, QueueFull, or DeadlineUnreachable when even
/// the shortest likely wait ends after the deadline; a refused request did not
/// run.
RefusalReason enqueue(AdmissionQueue &Queue, WaitingRequest Request,
                      std::uint32_t Weight, Millis Now);

/// Removes and returns the next request whose account may start one by the
/// predicate; other accounts are skipped.
std::optional<WaitingRequest>
dequeue(AdmissionQueue &Queue,
        const std::function<bool(const AccountId &)> &MayStart, Millis Now);

/// Puts a request that no target took back into its account's queue, before all
/// that entered later.
void requeue(AdmissionQueue &Queue, WaitingRequest Request,
             std::uint32_t Weight, Millis Now);

/// Removes and returns the requests whose deadline has passed; the caller
/// refuses them with DeadlineUnreachable.
std::vector<WaitingRequest> expireWaiting(AdmissionQueue &Queue, Millis Now);

/// Removes a request whose caller went away; false when it is not queued.
bool removeWaiting(AdmissionQueue &Queue, const RequestId &Request);

/// Shortest likely wait of a new request of this account, by the upper bound of
/// the service rate; 0 while the rate is unknown.
Millis shortestWait(const AdmissionQueue &Queue, const AccountId &Account,
                    Priority Kind);

} // namespace vanillaferry
