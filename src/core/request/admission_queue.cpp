#include "vanillaferry/request/admission_queue.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

constexpr Millis RateWindow{500};

QueueClass &classOf(AdmissionQueue &Queue, Priority Kind) {
  return Kind == Priority::Latency ? Queue.m_Latency : Queue.m_Batch;
}

std::size_t classSize(const QueueClass &Class) {
  std::size_t Size = 0;
  for (const std::pair<const AccountId, AccountLine> &Pair : Class.m_Lines)
    Size += Pair.second.m_Waiting.size();
  return Size;
}

void removeLine(QueueClass &Class, const AccountId &Account) {
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

void rotate(QueueClass &Class) {
  Class.m_Turn.push_back(Class.m_Turn.front());
  Class.m_Turn.pop_front();
}

std::optional<WaitingRequest>
takeFrom(QueueClass &Class, const QueueOptions &Options,
         const std::function<bool(const AccountId &)> &MayStart) {
  // A line may need several turns until its deficit covers a large request;
  // each full round without a startable line ends the search.
  std::size_t Skipped = 0;
  while (!Class.m_Turn.empty() && Skipped < Class.m_Turn.size()) {
    AccountId Account = Class.m_Turn.front();
    AccountLine &Line = Class.m_Lines[Account];
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

void noteServed(AdmissionQueue &Queue, Millis Now) {
  ++Queue.m_RateServed;
  std::int64_t Elapsed = (Now - Queue.m_RateAt).m_Value;
  if (Elapsed < RateWindow.m_Value)
    return;
  double Rate = Queue.m_RateServed * 1000.0 / static_cast<double>(Elapsed);
  Queue.m_ServiceRate =
      Queue.m_ServiceRate == 0 ? Rate : 0.7 * Queue.m_ServiceRate + 0.3 * Rate;
  Queue.m_RateServed = 0;
  Queue.m_RateAt = Now;
}

template <typename Predicate>
std::vector<WaitingRequest> removeWhere(AdmissionQueue &Queue,
                                        QueueClass &Class, Predicate Matches) {
  std::vector<WaitingRequest> Removed;
  std::vector<AccountId> Empty;
  for (std::pair<const AccountId, AccountLine> &Pair : Class.m_Lines) {
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
  Millis Wait = expectedWait(Queue, Request.m_Account, Request.m_Priority);
  if (Request.m_Deadline <= Now + Wait)
    return RefusalReason::DeadlineUnreachable;
  QueueClass &Class = classOf(Queue, Request.m_Priority);
  if (Queue.m_Size == 0) {
    // An idle queue says nothing about the rate of service.
    Queue.m_RateAt = Now;
    Queue.m_RateServed = 0;
  }
  auto Line = Class.m_Lines.find(Request.m_Account);
  if (Line == Class.m_Lines.end()) {
    Class.m_Turn.push_back(Request.m_Account);
    Line = Class.m_Lines.emplace(Request.m_Account, AccountLine()).first;
  }
  Line->second.m_Weight = Weight;
  ++Queue.m_Size;
  ++Queue.m_PerAccount[Request.m_Account];
  Line->second.m_Waiting.push_back(std::move(Request));
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
  noteServed(Queue, Now);
  return Next;
}

void requeue(AdmissionQueue &Queue, WaitingRequest Request,
             std::uint32_t Weight) {
  QueueClass &Class = classOf(Queue, Request.m_Priority);
  auto Line = Class.m_Lines.find(Request.m_Account);
  if (Line == Class.m_Lines.end()) {
    Class.m_Turn.push_front(Request.m_Account);
    Line = Class.m_Lines.emplace(Request.m_Account, AccountLine()).first;
  }
  Line->second.m_Weight = Weight;
  Line->second.m_Deficit += Request.m_Cost;
  ++Queue.m_Size;
  ++Queue.m_PerAccount[Request.m_Account];
  if (Queue.m_RateServed > 0)
    --Queue.m_RateServed;
  Line->second.m_Waiting.push_front(std::move(Request));
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

Millis expectedWait(const AdmissionQueue &Queue, const AccountId &Account,
                    Priority Kind) {
  if (Queue.m_ServiceRate <= 0)
    return Millis();
  const QueueClass &Class =
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
  return Millis(static_cast<std::int64_t>(static_cast<double>(Ahead) * 1000.0 /
                                          Queue.m_ServiceRate));
}

} // namespace vanillaferry
