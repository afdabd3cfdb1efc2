#include "vanillaferry/request/control_wait.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// An election, the first renewals and their grants take less.
constexpr Millis LongestOutage{3000};
/// A request waits for at most this part of its caller's time; the rest is for
/// the answer, or for another router after a refusal.
constexpr std::int64_t WaitDivisor = 3;
constexpr Millis LongestWait{1500};

/// A plain service answers within this time, so that a place is free again.
constexpr Millis RoomCheckInterval{25};
/// A longer shortage is an overload, in which waiting requests only age.
constexpr Millis LongestRoomWait{500};
constexpr std::int64_t RoomWaitDivisor = 4;

} // namespace

Millis roomHold(const RoomShortage &Shortage) {
  Millis Whole = Shortage.m_Waited + Shortage.m_TimeLeft;
  Millis Limit =
      std::min(LongestRoomWait, Millis(Whole.m_Value / RoomWaitDivisor));
  return std::max(Millis(0), Limit - Shortage.m_Waited);
}

Millis roomWait(const RoomShortage &Shortage) {
  return roomHold(Shortage) > Millis(0) ? RoomCheckInterval : Millis(0);
}

Millis controlWait(const ControlOutage &Outage) {
  Millis Left = LongestOutage - Outage.m_Duration;
  Millis Share(Outage.m_TimeLeft.m_Value / WaitDivisor);
  return std::max(Millis(0), std::min({Left, Share, LongestWait}));
}

} // namespace vanillaferry
