#pragma once

#include "vanillaferry/connection/caller_budget.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace vanillaferry {

class CallerConnection;
struct MemorySettings;
struct Metrics;

/// Which part of the process's descriptors a connection counts against.
enum class CallerKind { Caller, Operator };
constexpr std::size_t CallerKinds = 2;

/// Time limits of callers are noticed this late at most.
constexpr Millis CallerSweepInterval{50};

/// What the limits of a pool did, for counters.
struct CallerPoolCounts {
  std::uint64_t m_IdleClosed = 0;
  std::uint64_t m_IdleClosedForRoom = 0;
  std::uint64_t m_BodiesRefused = 0;
  /// Incomplete requests that gave way to others for their bytes.
  std::uint64_t m_IncompleteClosed = 0;
  /// Connections that gave way to others for their descriptors.
  std::uint64_t m_ClosedForDescriptors = 0;
  /// Answers that were given up since their callers did not read them.
  std::uint64_t m_UnreadClosed = 0;
};

/// All connections of callers of this process, with the limits that they share.
/// Accessed on the main loop only.
class CallerPool {
public:
  static CallerPool &instance();

  /// Takes the limits from settings, /proc/meminfo and the descriptor limit.
  void configure(const MemorySettings &Memory);
  const CallerBudget &budget() const { return m_Budget; }
  /// Changes the number of held bytes. More than there is room for makes
  /// incomplete requests give way.
  void change(std::int64_t Bytes);
  /// True when there is room, after incomplete requests other than that of
  /// Newcomer have given way.
  bool takeRoom(RoomFor For, const CallerConnection *Newcomer);
  /// True when there is room for more of a target's answer, after answers that
  /// their callers do not read have given way.
  bool takeAnswerRoom();
  /// Measures the resident size.
  void measure();
  /// Measures when much is held, and lets go of what takes up room in vain; to
  /// be called regularly.
  void sweep(Millis Now);

  void add(CallerConnection &Connection);
  void remove(CallerConnection &Connection);
  /// True when another connection may be accepted; may close one that is idle
  /// or does not go on.
  bool makeRoom(CallerKind Kind);
  /// Closes the connection that has been idle longest, or else has not gone on
  /// for longest; false when there is none.
  bool closeLeastUsed(CallerKind Kind);
  std::size_t connections() const { return m_Open.size(); }
  /// Notes that the budget refused a body.
  void noteRefused();

  CallerPoolCounts m_Counts;

private:
  CallerPool();
  void relieve(RoomFor For, const CallerConnection *Newcomer);
  /// Which unread answers may be given up.
  enum class Unread { All, WithoutStreams };
  void closeUnread(Millis Now, Unread Which);
  void returnFreeMemory(Millis Now);

  CallerBudget m_Budget;
  DescriptorParts m_Parts;
  std::set<CallerConnection *> m_Open;
  /// Members of m_Open by CallerKind.
  std::array<std::size_t, CallerKinds> m_Counted{};
  /// No search for what gives way before, when only held bytes have grown.
  Millis m_RelieveAgainAt;
  Millis m_SweptAt;
  Millis m_TrimmedAt;
  std::int64_t m_LoggedAt = 0;
  bool m_Relieving = false;
};

/// Sets the pool's counters and gauges.
void setCallerMetrics(Metrics &M);

} // namespace vanillaferry
