#include "vanillaferry/request/admission_queue.hpp"

#include <algorithm>
#include <cmath>

namespace vanillaferry {

namespace {

/// Half of what was counted is forgotten after this busy time.
constexpr double RateHalfLifeMs = 5000;
constexpr double MsPerSecond = 1000;

PriorityClass &classOf(AdmissionQueue &Queue, Priority Kind) {
  return Kind == Priority::Latency ? Queue.m_Latency : Queue.m_Batch;
}

std::size_t classSize(const PriorityClass &Class) {
  std::size_t Size = 0;
  for (const std::pair<const AccountId, AccountQueue> &Pair : Class.m_Lines)
    Size += Pair.second.m_Waiting.size();
  return Size;
}

void removeLine(PriorityClass &Class, const AccountId &Account) {
  Class.m_Lines.erase(Account);
  Class.m_Turn.erase(
      std::remove(Class.m_Turn.begin(), Class.m_Turn.end(), Account),
      Class.m_Turn.end());
}

void countRemoved(AdmissionQueue &Queue, const AccountId &Account) {
  --Queue.m_Size;
  auto It = Queue.m_PerAccount.find(Account);
  if (It != Queue.m_PerAccount.end() && --It->second == 0)
    Queue.m_PerAccount.erase(It);
}

void rotate(PriorityClass &Class) {
  Class.m_Turn.push_back(Class.m_Turn.front());
  Class.m_Turn.pop_front();
}

std::optional<WaitingRequest>
takeFrom(PriorityClass &Class, const QueueOptions &Options,
         const std::function<bool(const AccountId &)> &MayStart) {
  // A line may need several turns until its deficit covers a large request;
  // each full round without a startable line ends the search.
  std::size_t Skipped = 0;
  while (!Class.m_Turn.empty() && Skipped < Class.m_Turn.size()) {
    AccountId Account = Class.m_Turn.front();
    AccountQueue &Line = Class.m_Lines[Account];
    if (!MayStart(Account)) {
      Line.m_Served = false;
      rotate(Class);
      ++Skipped;
      continue;
    }
    Skipped = 0;
    if (!Line.m_Served) {
      Line.m_Deficit += Options.m_Quantum * std::max(1U, Line.m_Weight);
      Line.m_Served = true;
    }
    if (Line.m_Waiting.front().m_Cost > Line.m_Deficit) {
      Line.m_Served = false;
      rotate(Class);
      continue;
    }
    WaitingRequest Next = std::move(Line.m_Waiting.front());
    Line.m_Waiting.pop_front();
    Line.m_Deficit -= Next.m_Cost;
    if (Line.m_Waiting.empty())
      removeLine(Class, Account);
    return Next;
  }
  return std::nullopt;
}

/// Counts the time since the last call as busy: requests were waiting.
void countBusyTime(ServiceRate &Rate, Millis Now) {
  std::int64_t Elapsed = (Now - Rate.m_CountedUntil).m_Value;
  if (Elapsed <= 0)
    return;
  double Kept = std::exp2(-static_cast<double>(Elapsed) / RateHalfLifeMs);
  Rate.m_Served *= Kept;
  Rate.m_BusyTime = Rate.m_BusyTime * Kept + static_cast<double>(Elapsed);
  Rate.m_CountedUntil = Now;
}

enum class TurnPlace { Next, Last };

/// Counts a request that enters and returns its line; a new line gets this
/// place among the turns.
AccountQueue &openLine(AdmissionQueue &Queue, const WaitingRequest &Request,
                       std::uint32_t Weight, TurnPlace Place, Millis Now) {
  // An idle queue says nothing about the rate of service.
  if (Queue.m_Size == 0)
    Queue.m_Rate.m_CountedUntil = Now;
  PriorityClass &Class = classOf(Queue, Request.m_Priority);
  auto Line = Class.m_Lines.find(Request.m_Account);
  if (Line == Class.m_Lines.end()) {
    Class.m_Turn.insert(Place == TurnPlace::Next ? Class.m_Turn.begin()
                                                 : Class.m_Turn.end(),
                        Request.m_Account);
    Line = Class.m_Lines.emplace(Request.m_Account, AccountQueue()).first;
  }
  Line->second.m_Weight = Weight;
  ++Queue.m_Size;
  ++Queue.m_PerAccount[Request.m_Account];
  return Line->second;
}

template <typename Predicate>
std::vector<WaitingRequest>
removeWhere(AdmissionQueue &Queue, PriorityClass &Class, Predicate Matches) {
  std::vector<WaitingRequest> Removed;
  std::vector<AccountId> Empty;
  for (std::pair<const AccountId, AccountQueue> &Pair : Class.m_Lines) {
    std::deque<WaitingRequest> Kept;
    for (WaitingRequest &Request : Pair.second.m_Waiting)
      (Matches(Request) ? (void)Removed.push_back(std::move(Request))
                        : (void)Kept.push_back(std::move(Request)));
    Pair.second.m_Waiting = std::move(Kept);
    if (Pair.second.m_Waiting.empty())
      Empty.push_back(Pair.first);
  }
  for (const AccountId &Account : Empty)
    removeLine(Class, Account);
  for (const WaitingRequest &Request : Removed)
    countRemoved(Queue, Request.m_Account);
  return Removed;
}

} // namespace

std::optional<double> servedPerSecond(const ServiceRate &Rate) {
  if (Rate.m_Served <= 0 || Rate.m_BusyTime <= 0)
    return std::nullopt;
  // One served request after a stall of seconds says little: without the bound
  // it gave rates below one request a second and refused requests that had
  // 30 s left.
  double Most = Rate.m_Served + 2 * std::sqrt(Rate.m_Served) + 2;
  return Most * MsPerSecond / Rate.m_BusyTime;
}

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
  openLine(Queue, Request, Weight, TurnPlace::Last, Now)
      .m_Waiting.push_back(std::move(Request));
  return RefusalReason::None;
}

std::optional<WaitingRequest>
dequeue(AdmissionQueue &Queue,
        const std::function<bool(const AccountId &)> &MayStart, Millis Now) {
  std::optional<WaitingRequest> Next =
      takeFrom(Queue.m_Latency, Queue.m_Options, MayStart);
  if (!Next)
    Next = takeFrom(Queue.m_Batch, Queue.m_Options, MayStart);
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
  AccountQueue &Line = openLine(Queue, Request, Weight, TurnPlace::Next, Now);
  if (Request.m_CountedServed) {
    Line.m_Deficit += Request.m_Cost;
    Queue.m_Rate.m_Served = std::max(0.0, Queue.m_Rate.m_Served - 1);
  }
  Request.m_CountedServed = false;
  auto Later = std::find_if(Line.m_Waiting.begin(), Line.m_Waiting.end(),
                            [&Request](const WaitingRequest &Other) {
                              return Other.m_EnteredAt >= Request.m_EnteredAt;
                            });
  Line.m_Waiting.insert(Later, std::move(Request));
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
  // Fair turns: a line waits for its own requests times the lines in turn.
  std::size_t Own = 0;
  auto It = Class.m_Lines.find(Account);
  if (It != Class.m_Lines.end())
    Own = It->second.m_Waiting.size();
  std::size_t Lines = Class.m_Lines.size() + (Own == 0 ? 1 : 0);
  std::size_t Ahead = std::min(classSize(Class), (Own + 1) * Lines - 1);
  if (Kind == Priority::Batch)
    Ahead += classSize(Queue.m_Latency);
  return Millis(static_cast<std::int64_t>(static_cast<double>(Ahead) *
                                          MsPerSecond / *Rate));
}

} // namespace vanillaferry
