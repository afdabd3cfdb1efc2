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
/// A voter that has not answered for LostVoterTimeout is removed while more
/// than MinVoters remain, which is the size of the first keeper set.
RepairStep nextRepair(const Replica &State,
                      const std::map<KeeperId, JoiningKeeper> &Joining,
                      std::size_t MinVoters, Millis Now);

} // namespace vanillaferry
