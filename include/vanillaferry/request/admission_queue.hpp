#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/reason.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace vanillaferry {

/// A request that waits for a free place.
struct WaitingRequest {
  RequestId m_Request;
  AccountId m_Account;
  Priority m_Priority = Priority::Latency;
  /// Share of the turn that it uses; longer prompts use more.
  std::uint32_t m_Cost = 1;
  Millis m_EnteredAt;
  Millis m_Deadline;
  /// It left the queue before and counts as served, until it is put back.
  bool m_CountedServed = false;
};

struct QueueOptions {
  std::size_t m_Limit = 1000;
  /// No account may fill more than this share of the queue.
  double m_AccountShare = 0.5;
  /// Cost that each account may use in one turn, times its weight.
  std::uint32_t m_Quantum = 4;
};

/// Waiting requests of one account in one priority class.
struct AccountQueue {
  std::deque<WaitingRequest> m_Waiting;
  std::uint32_t m_Deficit = 0;
  std::uint32_t m_Weight = 1;
  /// True once the line has got its quantum in the present turn.
  bool m_Served = false;
};

/// Lines of one priority class in round-robin order.
struct PriorityClass {
  std::map<AccountId, AccountQueue> m_Lines;
  std::deque<AccountId> m_Turn;
};

/// Requests that left the queue for work, and the time during which any waited.
/// Both decay, so that the last seconds decide.
struct ServiceRate {
  double m_Served = 0;
  /// In milliseconds.
  double m_BusyTime = 0;
  Millis m_CountedUntil;
};

/// Upper bound of the requests served per second, two standard deviations above
/// the mean of a Poisson count; empty while nothing was served.
std::optional<double> servedPerSecond(const ServiceRate &Rate);

/// Bounded queue, fair between accounts by deficit round robin (Shreedhar and
/// Varghese 1995); latency-critical requests go before batch ones.
struct AdmissionQueue {
  QueueOptions m_Options;
  PriorityClass m_Latency;
  PriorityClass m_Batch;
  std::size_t m_Size = 0;
  std::map<AccountId, std::size_t> m_PerAccount;
  ServiceRate m_Rate;
};

/// Adds a request. Returns None, QueueFull, or DeadlineUnreachable when even
/// the shortest likely wait is longer than the time left; a refused request did
/// not run.
RefusalReason enqueue(AdmissionQueue &Queue, WaitingRequest Request,
                      std::uint32_t Weight, Millis Now);

/// Takes the next request whose account may start one, by the predicate. Lines
/// that may not are passed over.
std::optional<WaitingRequest>
dequeue(AdmissionQueue &Queue,
        const std::function<bool(const AccountId &)> &MayStart, Millis Now);

/// Puts a request that found no place back into its line, before all that
/// entered later.
void requeue(AdmissionQueue &Queue, WaitingRequest Request,
             std::uint32_t Weight, Millis Now);

/// Removes requests whose deadline has passed; they are refused with
/// DeadlineUnreachable, not run.
std::vector<WaitingRequest> expireWaiting(AdmissionQueue &Queue, Millis Now);

/// Removes one request, when its caller went away.
bool removeWaiting(AdmissionQueue &Queue, const RequestId &Request);

/// Shortest likely wait of a new request of this account, by the upper bound of
/// the service rate; 0 while the rate is unknown.
Millis shortestWait(const AdmissionQueue &Queue, const AccountId &Account,
                    Priority Kind);

} // namespace vanillaferry
