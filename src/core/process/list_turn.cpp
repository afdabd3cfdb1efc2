#include "vanillaferry/process/list_turn.hpp"

#include <algorithm>

namespace vanillaferry {

std::size_t readerRank(const std::vector<KeeperId> &Voters,
                       const KeeperId &Self, const KeeperId &Leader,
                       const KeeperId &LastReader) {
  std::vector<KeeperId> Order;
  for (const KeeperId &Voter : Voters)
    if (Voter != Leader)
      Order.push_back(Voter);
  std::sort(Order.begin(), Order.end());
  std::vector<KeeperId>::iterator First =
      std::upper_bound(Order.begin(), Order.end(), LastReader);
  std::rotate(Order.begin(), First, Order.end());
  // The leader comes last.
  return static_cast<std::size_t>(std::find(Order.begin(), Order.end(), Self) -
                                  Order.begin());
}

bool listReadingDue(const ListTurn &Turn, std::size_t Rank, Millis Now) {
  Millis Wait(ListReadInterval.m_Value * static_cast<std::int64_t>(Rank + 1));
  return Now - Turn.m_NewestAt >= Wait && Now - Turn.m_OwnAt >= Wait;
}

bool succeedsList(std::uint64_t Base, std::uint64_t Held) {
  return Base != 0 && Base == Held;
}

} // namespace vanillaferry
