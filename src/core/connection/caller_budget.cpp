#include "vanillaferry/connection/caller_budget.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace vanillaferry {

namespace {

/// Part of the room that large bodies leave to others.
constexpr std::int64_t ReservedShareDivisor = 4;
/// Part of the room that operators have beyond it.
constexpr std::int64_t OperatorShareDivisor = 4;
/// Part of the limit that is never taken away.
constexpr std::int64_t LeastRoomDivisor = 4;
/// Freed beyond what is missing, so that not each newcomer has to look for
/// room.
constexpr std::int64_t MarginDivisor = 32;
/// Part of the VM's memory that the process leaves free.
constexpr std::int64_t FreeMemoryDivisor = 4;

double heldInVain(const CallerHolding &Holding) {
  return static_cast<double>(Holding.m_Held.m_Value) *
         static_cast<double>(Holding.m_Still.m_Value + 1);
}

/// The kinds of holdings, those that give way first before the others.
enum class HoldingKind { Still, Large, Small };

HoldingKind kindOf(const CallerHolding &Holding) {
  if (isStill(Holding))
    return HoldingKind::Still;
  return Holding.m_Held > SmallBodyBytes ? HoldingKind::Large
                                         : HoldingKind::Small;
}

bool givesWayBefore(const CallerHolding &A, const CallerHolding &B) {
  HoldingKind Kind = kindOf(A);
  if (Kind != kindOf(B))
    return Kind < kindOf(B);
  if (Kind == HoldingKind::Large)
    return A.m_BegunAt > B.m_BegunAt;
  return heldInVain(A) > heldInVain(B);
}

} // namespace

Bytes residentLimit(const CallerBudget &Budget) {
  return Bytes(Budget.m_Vm.m_Value - Budget.m_Vm.m_Value / FreeMemoryDivisor);
}

Bytes callerRoom(const CallerBudget &Budget) {
  if (Budget.m_Limit <= Bytes(0))
    return Bytes(std::numeric_limits<std::int64_t>::max());
  if (Budget.m_Vm <= Bytes(0) || Budget.m_Resident <= residentLimit(Budget))
    return Budget.m_Limit;
  Bytes Left = Budget.m_Limit - (Budget.m_Resident - residentLimit(Budget));
  return std::max(Left, Bytes(Budget.m_Limit.m_Value / LeastRoomDivisor));
}

Bytes missingRoom(const CallerBudget &Budget, RoomFor For) {
  Bytes Room = callerRoom(Budget);
  if (For == RoomFor::LargeBody)
    Room = Room - Bytes(Room.m_Value / ReservedShareDivisor + 1);
  if (For == RoomFor::OperatorRequest && Budget.m_Limit > Bytes(0))
    Room = Room + Bytes(Room.m_Value / OperatorShareDivisor);
  return std::max(Budget.m_Held - Room, Bytes(0));
}

std::vector<std::size_t>
chooseGivingWay(const std::vector<CallerHolding> &Holdings,
                const CallerBudget &Budget, RoomFor For) {
  std::vector<std::size_t> Chosen;
  Bytes Missing = missingRoom(Budget, For);
  if (Missing <= Bytes(0))
    return Chosen;
  Missing = Missing + Bytes(callerRoom(Budget).m_Value / MarginDivisor);
  std::vector<std::size_t> Order(Holdings.size());
  std::iota(Order.begin(), Order.end(), std::size_t(0));
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return givesWayBefore(Holdings[A], Holdings[B]);
  });
  for (std::size_t Index : Order) {
    if (Missing <= Bytes(0) ||
        (For == RoomFor::LargeBody && !isStill(Holdings[Index])))
      break;
    Missing = Missing - Holdings[Index].m_Held;
    Chosen.push_back(Index);
  }
  return Chosen;
}

} // namespace vanillaferry
