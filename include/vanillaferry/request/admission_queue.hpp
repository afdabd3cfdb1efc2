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
};

struct QueueOptions {
  std::size_t m_Limit = 1000;
  /// No account may fill more than this share of the queue.
  double m_AccountShare = 0.5;
  /// Cost that each account may use in one turn, times its weight.
  std::uint32_t m_Quantum = 4;
};

/// Waiting requests of one account in one priority class.
struct AccountLine {
  std::deque<WaitingRequest> m_Waiting;
  std::uint32_t m_Deficit = 0;
  std::uint32_t m_Weight = 1;
  /// True once the line has got its quantum in the present turn.
  bool m_Served = false;
};

/// Lines of one priority class in round-robin order.
struct QueueClass {
  std::map<AccountId, AccountLine> m_Lines;
  std::deque<AccountId> m_Turn;
};

/// Bounded queue, fair between accounts by deficit round robin (Shreedhar and
/// Varghese 1995); latency-critical requests go before batch ones.
struct AdmissionQueue {
  QueueOptions m_Options;
  QueueClass m_Latency;
  QueueClass m_Batch;
  std::size_t m_Size = 0;
  std::map<AccountId, std::size_t> m_PerAccount;
  /// Requests that leave the queue for work per second, smoothed.
  double m_ServiceRate = 0;
  Millis m_RateAt;
  std::uint32_t m_RateServed = 0;
};

/// Adds a request. Returns None, QueueFull, or DeadlineUnreachable when the
/// expected wait is longer than the time left; a refused request did not run.
RefusalReason enqueue(AdmissionQueue &Queue, WaitingRequest Request,
                      std::uint32_t Weight, Millis Now);

/// Takes the next request whose account may start one, by the predicate. Lines
/// that may not are passed over.
std::optional<WaitingRequest>
dequeue(AdmissionQueue &Queue,
        const std::function<bool(const AccountId &)> &MayStart, Millis Now);

/// Puts a request that found no place back at the head of its line.
void requeue(AdmissionQueue &Queue, WaitingRequest Request,
             std::uint32_t Weight);

/// Removes requests whose deadline has passed; they are refused with
/// DeadlineUnreachable, not run.
std::vector<WaitingRequest> expireWaiting(AdmissionQueue &Queue, Millis Now);

/// Removes one request, when its caller went away.
bool removeWaiting(AdmissionQueue &Queue, const RequestId &Request);

/// Expected wait of a new request of this account; 0 while the rate is unknown.
Millis expectedWait(const AdmissionQueue &Queue, const AccountId &Account,
                    Priority Kind);

} // namespace vanillaferry
