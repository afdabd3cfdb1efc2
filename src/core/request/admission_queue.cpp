#include "vanillaferry/request/admission_queue.hpp"

#include <algorithm>
#include <cmath>

namespace vanillaferry {

namespace {

constexpr double MsPerSecond = 1000;

PriorityClass &classOf(AdmissionQueue &Queue, Priority Kind) {
  return Kind == Priority::Latency ? Queue.m_Latency : Queue.m_Batch;
}

std::size_t classSize(const PriorityClass &Class) {
  std::size_t Size = 0;
  for (const std::pair<const AccountId, AccountQueue> &Pair : Class.m_Queues)
    Size += Pair.second.m_Waiting.size();
  return Size;
}

void removeAccountQueue(PriorityClass &Class, const AccountId &Account) {
  Class.m_Queues.erase(Account);
  Class.m_RoundRobin.erase(std::remove(Class.m_RoundRobin.begin(),
                                       Class.m_RoundRobin.end(), Account),
                           Class.m_RoundRobin.end());
}

void countRemoved(AdmissionQueue &Queue, const AccountId &Account) {
  --Queue.m_Size;
  auto It = Queue.m_PerAccount.find(Account);
  if (It != Queue.m_PerAccount.end() && --It->second == 0)
    Queue.m_PerAccount.erase(It);
}

void rotate(PriorityClass &Class) {
  Class.m_RoundRobin.push_back(Class.m_RoundRobin.front());
  Class.m_RoundRobin.pop_front();
}

std::optional<WaitingRequest>
dequeueFrom(PriorityClass &Class, const QueueOptions &Options,
            const std::function<bool(const AccountId &)> &MayStart) {
  // An account may need several turns until its deficit covers a large request;
  // a full round in which no account may start one ends the search.
  std::size_t Skipped = 0;
  while (!Class.m_RoundRobin.empty() && Skipped < Class.m_RoundRobin.size()) {
    AccountId Account = Class.m_RoundRobin.front();
    AccountQueue &PerAccount = Class.m_Queues[Account];
    if (!MayStart(Account)) {
      PerAccount.m_QuantumGranted = false;
      rotate(Class);
      ++Skipped;
      continue;
    }
    Skipped = 0;
    if (!PerAccount.m_QuantumGranted) {
      PerAccount.m_Deficit +=
          Options.m_Quantum * std::max(1U, PerAccount.m_Weight);
      PerAccount.m_QuantumGranted = true;
    }
    if (PerAccount.m_Waiting.front().m_Cost > PerAccount.m_Deficit) {
      PerAccount.m_QuantumGranted = false;
      rotate(Class);
      continue;
    }
    WaitingRequest Next = std::move(PerAccount.m_Waiting.front());
    PerAccount.m_Waiting.pop_front();
    PerAccount.m_Deficit -= Next.m_Cost;
    if (PerAccount.m_Waiting.empty())
      removeAccountQueue(Class, Account);
    return Next;
  }
  return std::nullopt;
}

enum class RoundPosition { Next, Last };

/// Counts a request that enters and returns its account's queue. An account
/// that had none is added to the round robin at this position.
AccountQueue &enterAccountQueue(AdmissionQueue &Queue,
                                const WaitingRequest &Request,
                                std::uint32_t Weight, RoundPosition Position,
                                Millis Now) {
  // Time during which nothing waited is not busy time.
  if (Queue.m_Size == 0)
    Queue.m_Rate.m_CountedUntil = Now;
  PriorityClass &Class = classOf(Queue, Request.m_Priority);
  auto PerAccount = Class.m_Queues.find(Request.m_Account);
  if (PerAccount == Class.m_Queues.end()) {
    Class.m_RoundRobin.insert(Position == RoundPosition::Next
                                  ? Class.m_RoundRobin.begin()
                                  : Class.m_RoundRobin.end(),
                              Request.m_Account);
    PerAccount =
        Class.m_Queues.emplace(Request.m_Account, AccountQueue()).first;
  }
  PerAccount->second.m_Weight = Weight;
  ++Queue.m_Size;
  ++Queue.m_PerAccount[Request.m_Account];
  return PerAccount->second;
}

template <typename Predicate>
std::vector<WaitingRequest>
removeWhere(AdmissionQueue &Queue, PriorityClass &Class, Predicate Matches) {
  std::vector<WaitingRequest> Removed;
  std::vector<AccountId> Empty;
  for (std::pair<const AccountId, AccountQueue> &Pair : Class.m_Queues) {
    std::deque<WaitingRequest> Kept;
    for (WaitingRequest &Request : Pair.second.m_Waiting)
      (Matches(Request) ? (void)Removed.push_back(std::move(Request))
                        : (void)Kept.push_back(std::move(Request)));
    Pair.second.m_Waiting = std::move(Kept);
    if (Pair.second.m_Waiting.empty())
      Empty.push_back(Pair.first);
  }
  for (const AccountId &Account : Empty)
    removeAccountQueue(Class, Account);
  for (const WaitingRequest &Request : Removed)
    countRemoved(Queue, Request.m_Account);
  return Removed;
}

} // namespace

RefusalReason enqueue(AdmissionQueue &Queue, WaitingRequest Request,
                      std::uint32_t Weight, Millis Now) {
  const QueueOptions &Options = Queue.m_Options;
  std::size_t OfAccount = 0;
  auto Found = Queue.m_PerAccount.find(Request.m_Account);
  if (Found != Queue.m_PerAccount.end())
    OfAccount = Found->second;
  double AccountLimit = std::max(1.0, static_cast<double>(Options.m_Limit) *
                                          Options.m_AccountShare);
  if (Queue.m_Size >= Options.m_Limit ||
      static_cast<double>(OfAccount) >= AccountLimit)
    return RefusalReason::QueueFull;
  if (Queue.m_Size > 0)
    countBusyTime(Queue.m_Rate, Now);
  Millis Wait = shortestWait(Queue, Request.m_Account, Request.m_Priority);
  if (Request.m_Deadline <= Now + Wait)
    return RefusalReason::DeadlineUnreachable;
  enterAccountQueue(Queue, Request, Weight, RoundPosition::Last, Now)
      .m_Waiting.push_back(std::move(Request));
  return RefusalReason::None;
}

std::optional<WaitingRequest>
dequeue(AdmissionQueue &Queue,
        const std::function<bool(const AccountId &)> &MayStart, Millis Now) {
  std::optional<WaitingRequest> Next =
      dequeueFrom(Queue.m_Latency, Queue.m_Options, MayStart);
  if (!Next)
    Next = dequeueFrom(Queue.m_Batch, Queue.m_Options, MayStart);
  if (!Next)
    return Next;
  countRemoved(Queue, Next->m_Account);
  countBusyTime(Queue.m_Rate, Now);
  Queue.m_Rate.m_Served += 1;
  Next->m_CountedServed = true;
  return Next;
}

void requeue(AdmissionQueue &Queue, WaitingRequest Request,
             std::uint32_t Weight, Millis Now) {
  AccountQueue &PerAccount =
      enterAccountQueue(Queue, Request, Weight, RoundPosition::Next, Now);
  if (Request.m_CountedServed) {
    PerAccount.m_Deficit += Request.m_Cost;
    Queue.m_Rate.m_Served = std::max(0.0, Queue.m_Rate.m_Served - 1);
  }
  Request.m_CountedServed = false;
  auto Later =
      std::find_if(PerAccount.m_Waiting.begin(), PerAccount.m_Waiting.end(),
                   [&Request](const WaitingRequest &Other) {
                     return Other.m_EnteredAt >= Request.m_EnteredAt;
                   });
  PerAccount.m_Waiting.insert(Later, std::move(Request));
}

std::vector<WaitingRequest> expireWaiting(AdmissionQueue &Queue, Millis Now) {
  auto Passed = [Now](const WaitingRequest &Request) {
    return Request.m_Deadline <= Now;
  };
  std::vector<WaitingRequest> All = removeWhere(Queue, Queue.m_Latency, Passed);
  for (WaitingRequest &Request : removeWhere(Queue, Queue.m_Batch, Passed))
    All.push_back(std::move(Request));
  return All;
}

bool removeWaiting(AdmissionQueue &Queue, const RequestId &Request) {
  auto Same = [&Request](const WaitingRequest &Waiting) {
    return Waiting.m_Request == Request;
  };
  return !removeWhere(Queue, Queue.m_Latency, Same).empty() ||
         !removeWhere(Queue, Queue.m_Batch, Same).empty();
}

Millis shortestWait(const AdmissionQueue &Queue, const AccountId &Account,
                    Priority Kind) {
  std::optional<double> Rate = servedPerSecond(Queue.m_Rate);
  if (!Rate)
    return Millis();
  const PriorityClass &Class =
      Kind == Priority::Latency ? Queue.m_Latency : Queue.m_Batch;
  // With fair turns, each of the account's waiting requests is preceded by one
  // request of every other account.
  std::size_t Own = 0;
  auto It = Class.m_Queues.find(Account);
  if (It != Class.m_Queues.end())
    Own = It->second.m_Waiting.size();
  std::size_t Accounts = Class.m_Queues.size() + (Own == 0 ? 1 : 0);
  std::size_t Ahead = std::min(classSize(Class), (Own + 1) * Accounts - 1);
  if (Kind == Priority::Batch)
    Ahead += classSize(Queue.m_Latency);
  return Millis(static_cast<std::int64_t>(static_cast<double>(Ahead) *
                                          MsPerSecond / *Rate));
}

} // namespace vanillaferry
