#pragma once

#include "vanillaferry/process/units.hpp"

#include <cstddef>
#include <vector>

namespace vanillaferry {

/// The bytes that a process holds for callers, against their limits.
struct CallerBudget {
  /// 0 for no limit.
  Bytes m_Limit{0};
  Bytes m_Held{0};
  /// Memory of the VM; 0 when it is not known.
  Bytes m_Vm{0};
  /// Resident size of the process when it was last measured.
  Bytes m_Resident{0};
};

/// What asks for room.
enum class RoomFor {
  /// A body that has or states more than SmallBodyBytes.
  LargeBody,
  /// Any other request that is not whole.
  SmallBody,
  /// A request that has arrived whole.
  WholeRequest,
  /// A small one of an operator or a status check.
  OperatorRequest,
};

/// Requests up to this size are taken as long as there is any room.
constexpr Bytes SmallBodyBytes{64 * 1024};

/// A process that is larger than this part of its VM's memory holds less for
/// callers: what the counted bytes leave out has to fit in the rest.
Bytes residentLimit(const CallerBudget &Budget);

/// What may be held at present: the limit, less what the process is over
/// residentLimit(), but at least a quarter of the limit.
Bytes callerRoom(const CallerBudget &Budget);

/// Bytes that must be freed before this may be taken; 0 when there is room.
/// Large bodies leave a quarter of the room to the others; operators may use a
/// quarter more, so that callers do not lock them out.
Bytes missingRoom(const CallerBudget &Budget, RoomFor For);

inline bool hasRoom(const CallerBudget &Budget, RoomFor For) {
  return missingRoom(Budget, For) <= Bytes(0);
}

/// What one connection holds, as far as it may give way to others.
struct CallerHolding {
  Bytes m_Held;
  /// Time since it last went on by ProgressBytes, or began.
  Millis m_Still;
  /// When its request began, on the monotonic clock.
  Millis m_BegunAt;
};

/// An incomplete request goes on when this much more has arrived.
constexpr Bytes ProgressBytes{16 * 1024};
/// One that has not gone on for so long gives way to any other.
constexpr Millis GivesWayAfter{500};

/// A caller that has not gone on to read its answer for so long loses it when
/// there is no room.
constexpr Millis UnreadGivesWayAfter{2000};
/// The same once there is no room for operators either.
constexpr Millis UnreadGivesWayAtOnceAfter{100};

inline bool isStill(const CallerHolding &Holding) {
  return GivesWayAfter <= Holding.m_Still;
}

/// Chooses among incomplete requests those that give way, in order, until
/// Missing bytes and a margin are free. First come those that do not go on, by
/// the room that they hold times its duration. If this is for a large body, no
/// other gives way, so that those under way can be completed. Otherwise the
/// large ones that began last follow, and then the small ones, by the same
/// product.
std::vector<std::size_t>
chooseGivingWay(const std::vector<CallerHolding> &Holdings,
                const CallerBudget &Budget, RoomFor For);

/// The limit: as stated, else a quarter of the VM's memory.
inline Bytes callerLimit(Bytes Stated, Bytes VmMemory) {
  constexpr std::int64_t VmShareDivisor = 4;
  return Stated > Bytes(0) ? Stated : Bytes(VmMemory.m_Value / VmShareDivisor);
}

/// Connections of callers and of operators that a process accepts. The rest of
/// its descriptors is reserved for targets, keepers, logs and files.
struct DescriptorParts {
  std::size_t m_Callers = 0;
  std::size_t m_Operators = 0;
};

inline DescriptorParts shareDescriptors(std::size_t Limit) {
  constexpr std::size_t Eighths = 8;
  constexpr std::size_t CallerEighths = 5;
  return {Limit * CallerEighths / Eighths, Limit / Eighths};
}

} // namespace vanillaferry
