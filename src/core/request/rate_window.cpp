#include "vanillaferry/request/rate_window.hpp"

namespace vanillaferry {

namespace {

/// Part of the limit that is used. The margin covers delays that this router
/// does not see, with which requests of other routers' windows arrive.
constexpr double UsedShare = 0.8;

} // namespace

void noteEvent(RateWindow &Window, Millis Now) {
  Window.m_Times.push_back(Now);
}

std::size_t eventsWithin(RateWindow &Window, Millis Now) {
  while (!Window.m_Times.empty() &&
         Window.m_Times.front() + Window.m_Length <= Now)
    Window.m_Times.pop_front();
  return Window.m_Times.size();
}

RepeatBudget makeRepeatBudget(double Ratio, double Extra, Millis Length) {
  RepeatBudget Budget;
  Budget.m_Ratio = Ratio;
  Budget.m_Extra = Extra;
  Budget.m_Requests.m_Length = Length;
  Budget.m_Repeats.m_Length = Length;
  return Budget;
}

bool takeRepeat(RepeatBudget &Budget, Millis Now) {
  double Limit = UsedShare * (Budget.m_Ratio * static_cast<double>(eventsWithin(
                                                   Budget.m_Requests, Now)) +
                              Budget.m_Extra);
  if (static_cast<double>(eventsWithin(Budget.m_Repeats, Now)) + 1 > Limit)
    return false;
  noteEvent(Budget.m_Repeats, Now);
  return true;
}

} // namespace vanillaferry
