#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <vector>

namespace vanillaferry {

/// A new reading of the platform's list begins this long after the last one
/// began, whether or not that one has ended.
constexpr Millis ListReadInterval{700};

/// What a keeper knows of the readings of the platform's list.
struct ListTurn {
  /// When the newest reading began whose list this keeper has; at the start,
  /// when the keeper started.
  Millis m_NewestAt;
  /// The keeper that made it; empty before the first.
  KeeperId m_LastReader;
  /// When the last reading of this keeper began.
  Millis m_OwnAt;
};

/// How many keepers read before this one, if all are well: voters read in turn,
/// beginning with the one behind the last reader. The leader, which has the
/// most other work, reads only when no other does.
std::size_t readerRank(const std::vector<KeeperId> &Voters,
                       const KeeperId &Self, const KeeperId &Leader,
                       const KeeperId &LastReader);

/// True when a keeper of this rank begins a reading: each rank waits one
/// interval longer, so that it takes over from readers that are lost or slow.
bool listReadingDue(const ListTurn &Turn, std::size_t Rank, Millis Now);

/// True when a list was made from the one with digest Held, so that it is newer
/// however long the two were on their way. Base is 0 for a whole list.
bool succeedsList(std::uint64_t Base, std::uint64_t Held);

} // namespace vanillaferry
