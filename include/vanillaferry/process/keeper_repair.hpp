#pragma once

#include "vanillaferry/process/replication.hpp"

#include <map>

namespace vanillaferry {

/// A keeper that asked for a vote.
struct JoiningKeeper {
  KeeperAddress m_Address;
  Millis m_LastRequestAt;
};

/// A join request is valid for this long; keepers repeat it more often.
constexpr Millis JoinRequestLifetime{2000};
/// A voter without an answer for this long is removed once others have
/// replaced it. A restart takes far less, and a VM that returns later joins
/// anew.
constexpr Millis LostVoterTimeout{15000};

/// A keeper without a message of a leader for this long may have been removed.
/// An election takes less.
constexpr Millis UnheardTimeout{3000};
/// Where the set would bear more losses without its silent voters, these are
/// removed earlier: after the first time if it bears fewer than are tolerated,
/// after the second if it bears just as many, since a VM may leave beside them.
/// VMs that were replaced would count until LostVoterTimeout otherwise, and
/// several of them leave no quorum after one more loss.
constexpr Millis UrgentRemoval{2000};
constexpr Millis EarlyRemoval{5000};

/// What the repair keeps to.
struct RepairLimits {
  /// Size of the first keeper set.
  std::size_t m_FirstVoters = 3;
  /// Keepers that may be lost at the same time.
  std::size_t m_ToleratedLosses = 1;
};

/// One change of the keeper set.
struct RepairStep {
  enum class Kind : std::uint8_t { None, AddLearner, Promote, Remove };
  enum class Reason : std::uint8_t {
    None,
    AskedToJoin,
    CaughtUp,
    /// Its address has a keeper with a newer identity.
    Replaced,
    /// It left the leader's messages unanswered.
    Silent,
  };
  Kind m_Kind = Kind::None;
  KeeperAddress m_Keeper;
  Reason m_Reason = Reason::None;
  /// For Silent: time without an answer.
  Millis m_Silence;
};

/// The leader's next change towards a keeper set in which every keeper that
/// runs has a vote, without an operator. A keeper that joins from the address
/// of a voter has lost that voter's disk, so the old identity is removed before
/// the new one is promoted and the quorum never grows while a disk is missing.
/// Silent voters are removed while more remain than the first set had and the
/// tolerated losses need.
RepairStep nextRepair(const Replica &State,
                      const std::map<KeeperId, JoiningKeeper> &Joining,
                      const RepairLimits &Limits, Millis Now);

/// True when a keeper has to ask for a vote: it has none, or no leader has sent
/// to it for UnheardTimeout, so that it may have been removed.
bool mustAskToJoin(const Replica &State, Millis Now);

/// True at the leader when the removal of this identity is committed. A keeper
/// that still runs under it has to join under a new one.
bool removalIsCommitted(const Replica &State, const KeeperId &Keeper);

} // namespace vanillaferry
