#include "connection/caller_pool.hpp"

#include "connection/caller_connection.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/metrics.hpp"
#include "process/settings.hpp"

#include <fstream>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace vanillaferry {

namespace {

constexpr std::int64_t LogIntervalMs = 10000;
/// Each byte that is written would else search all connections when none of
/// them can give way.
constexpr Millis VainSearchPause{10};
/// With less than this part of the limit held, the resident size is not
/// measured.
constexpr std::int64_t MeasuredShareDivisor = 4;
/// Free memory is returned above this part of the VM's memory.
constexpr std::int64_t TrimmedShareDivisor = 2;
/// Returning free memory walks through all of it.
constexpr Millis TrimInterval{1000};
/// Larger buffers go back to the system when they are freed. glibc raises the
/// threshold with each freed buffer otherwise, and keeps what bodies left.
constexpr int LargeBuffer = 128 * 1024;

Bytes machineMemory() {
  std::ifstream File("/proc/meminfo");
  std::string Name;
  std::int64_t Kb = 0;
  if (File >> Name >> Kb && Name == "MemTotal:")
    return Bytes(Kb * 1024);
  return Bytes(0);
}

/// Resident size of this process; 0 when it cannot be read.
Bytes residentSize() {
  static const std::int64_t PageBytes = sysconf(_SC_PAGESIZE);
  std::ifstream File("/proc/self/statm");
  std::int64_t Total = 0;
  std::int64_t Resident = 0;
  return File >> Total >> Resident ? Bytes(Resident * PageBytes) : Bytes(0);
}

std::size_t descriptorLimit() {
  rlimit Limit = {};
  constexpr std::size_t Unlimited = 1 << 20;
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return Unlimited;
  return static_cast<std::size_t>(Limit.rlim_cur);
}

} // namespace

CallerPool::CallerPool() : m_Parts(shareDescriptors(descriptorLimit())) {}

CallerPool &CallerPool::instance() {
  // Never destroyed: connections that end with the process still refer to it.
  static CallerPool &Pool = *new CallerPool;
  return Pool;
}

void CallerPool::configure(const MemorySettings &Memory) {
  m_Budget.m_Vm = Memory.m_Vm > Bytes(0) ? Memory.m_Vm : machineMemory();
  m_Budget.m_Limit = callerLimit(Memory.m_Callers, m_Budget.m_Vm);
  m_Parts = shareDescriptors(descriptorLimit());
  mallopt(M_MMAP_THRESHOLD, LargeBuffer);
}

void CallerPool::change(std::int64_t Bytes) {
  m_Budget.m_Held.m_Value += Bytes;
  if (Bytes > 0 && !hasRoom(m_Budget, RoomFor::SmallBody) &&
      m_RelieveAgainAt <= monotonicNow())
    relieve(RoomFor::SmallBody, nullptr);
}

bool CallerPool::takeRoom(RoomFor For, const CallerConnection *Newcomer) {
  relieve(For, Newcomer);
  return hasRoom(m_Budget, For);
}

void CallerPool::relieve(RoomFor For, const CallerConnection *Newcomer) {
  if (m_Relieving || hasRoom(m_Budget, For))
    return;
  m_Relieving = true;
  Millis Now = monotonicNow();
  // Owned, since one that gives way may be destroyed at once.
  std::vector<std::shared_ptr<CallerConnection>> Incomplete;
  std::vector<CallerHolding> Holdings;
  for (CallerConnection *Each : m_Open) {
    std::shared_ptr<CallerConnection> Owned = Each->weak_from_this().lock();
    if (Each == Newcomer || !Owned || !Each->isIncomplete())
      continue;
    Incomplete.push_back(std::move(Owned));
    Holdings.push_back(Each->holding(Now));
  }
  std::vector<std::size_t> Chosen = chooseGivingWay(Holdings, m_Budget, For);
  for (std::size_t Index : Chosen) {
    ++m_Counts.m_IncompleteClosed;
    Incomplete[Index]->refuseForMemory();
  }
  if (Chosen.empty())
    m_RelieveAgainAt = Now + VainSearchPause;
  m_Relieving = false;
}

void CallerPool::sweep(Millis Now) {
  if (Now - m_SweptAt < CallerSweepInterval)
    return;
  m_SweptAt = Now;
  bool HoldsLittle =
      m_Budget.m_Held.m_Value < m_Budget.m_Limit.m_Value / MeasuredShareDivisor;
  if (HoldsLittle && m_Budget.m_Resident <= residentLimit(m_Budget))
    return;
  measure();
  // Before residentLimit() is reached, so that free memory does not count
  // against callers.
  if (m_Budget.m_Resident.m_Value > m_Budget.m_Vm.m_Value / TrimmedShareDivisor)
    returnFreeMemory(Now);
  relieve(RoomFor::SmallBody, nullptr);
  closeUnread(Now, Unread::All);
}

bool CallerPool::takeAnswerRoom() {
  if (takeRoom(RoomFor::OperatorRequest, nullptr))
    return true;
  // A stream's owner may be the one that asks, or depend on it.
  closeUnread(monotonicNow(), Unread::WithoutStreams);
  return hasRoom(m_Budget, RoomFor::OperatorRequest);
}

void CallerPool::returnFreeMemory(Millis Now) {
  if (Now - m_TrimmedAt < TrimInterval)
    return;
  m_TrimmedAt = Now;
  malloc_trim(0);
  measure();
}

void CallerPool::measure() { m_Budget.m_Resident = residentSize(); }

void CallerPool::closeUnread(Millis Now, Unread Which) {
  while (!hasRoom(m_Budget, RoomFor::SmallBody)) {
    Millis Patience = hasRoom(m_Budget, RoomFor::OperatorRequest)
                          ? UnreadGivesWayAfter
                          : UnreadGivesWayAtOnceAfter;
    CallerConnection *Largest = nullptr;
    for (CallerConnection *Each : m_Open)
      if ((Which == Unread::All || Each->isAnswering()) &&
          Patience <= Each->unreadFor(Now) &&
          (!Largest || Each->waiting() > Largest->waiting()))
        Largest = Each;
    if (!Largest)
      return;
    ++m_Counts.m_UnreadClosed;
    Largest->giveUp();
  }
}

void CallerPool::noteRefused() {
  std::int64_t Now = monotonicNow().m_Value;
  if (m_LoggedAt != 0 && Now - m_LoggedAt < LogIntervalMs)
    return;
  m_LoggedAt = Now;
  logEvent(Event::CallerMemoryFull,
           {{"held", m_Budget.m_Held.m_Value},
            {"limit", m_Budget.m_Limit.m_Value},
            {"room", callerRoom(m_Budget).m_Value},
            {"resident", m_Budget.m_Resident.m_Value},
            {"connections", static_cast<std::uint64_t>(m_Open.size())}});
}

void CallerPool::add(CallerConnection &Connection) {
  m_Open.insert(&Connection);
  ++m_Counted[static_cast<std::size_t>(Connection.kind())];
}

void CallerPool::remove(CallerConnection &Connection) {
  m_Open.erase(&Connection);
  --m_Counted[static_cast<std::size_t>(Connection.kind())];
}

bool CallerPool::makeRoom(CallerKind Kind) {
  std::size_t Part =
      Kind == CallerKind::Caller ? m_Parts.m_Callers : m_Parts.m_Operators;
  return m_Counted[static_cast<std::size_t>(Kind)] < Part ||
         closeLeastUsed(Kind);
}

bool CallerPool::closeLeastUsed(CallerKind Kind) {
  Millis Now = monotonicNow();
  CallerConnection *Idlest = nullptr;
  CallerConnection *Stillest = nullptr;
  for (CallerConnection *Each : m_Open) {
    if (Each->kind() != Kind)
      continue;
    if (Each->isIdle() && (!Idlest || Each->idleSince() < Idlest->idleSince()))
      Idlest = Each;
    if (Each->givesUpDescriptor(Now) &&
        (!Stillest || Stillest->stillFor(Now) < Each->stillFor(Now)))
      Stillest = Each;
  }
  if (Idlest && Idlest->closeIfIdle()) {
    ++m_Counts.m_IdleClosedForRoom;
    return true;
  }
  if (!Stillest)
    return false;
  ++m_Counts.m_ClosedForDescriptors;
  Stillest->giveUp();
  return true;
}

void setCallerMetrics(Metrics &M) {
  CallerPool &Pool = CallerPool::instance();
  Pool.measure();
  const CallerPoolCounts &Counts = Pool.m_Counts;
  M.m_Counters["vanillaferry_caller_idle_closed_total"] = Counts.m_IdleClosed;
  M.m_Counters["vanillaferry_caller_idle_closed_for_room_total"] =
      Counts.m_IdleClosedForRoom;
  M.m_Counters["vanillaferry_caller_bodies_refused_total"] =
      Counts.m_BodiesRefused;
  M.m_Counters["vanillaferry_caller_incomplete_closed_total"] =
      Counts.m_IncompleteClosed;
  M.m_Counters["vanillaferry_caller_closed_for_descriptors_total"] =
      Counts.m_ClosedForDescriptors;
  M.m_Counters["vanillaferry_caller_unread_closed_total"] =
      Counts.m_UnreadClosed;
  setGauge(M, "vanillaferry_caller_bytes",
           static_cast<double>(Pool.budget().m_Held.m_Value));
  setGauge(M, "vanillaferry_caller_room_bytes",
           static_cast<double>(callerRoom(Pool.budget()).m_Value));
  setGauge(M, "vanillaferry_resident_bytes",
           static_cast<double>(Pool.budget().m_Resident.m_Value));
  setGauge(M, "vanillaferry_caller_connections",
           static_cast<double>(Pool.connections()));
}

} // namespace vanillaferry
