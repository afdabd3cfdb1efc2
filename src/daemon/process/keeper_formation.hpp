#pragma once

#include "process/settings.hpp"
#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/result.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace vanillaferry {

/// Whether an identity may take part in the keeper set.
enum class FormationState : std::uint8_t {
  /// Member of the initial set that not all other members have confirmed yet:
  /// it neither votes nor stores a log.
  Forming,
  /// Confirmed member of the initial set.
  Formed,
  /// New identity with a random suffix; joins as a learner.
  Fresh,
};

/// This keeper's identity, as stored in its data folder.
struct Formation {
  KeeperId m_Keeper;
  /// Random number that identifies the data folder, chosen at its first use.
  std::uint64_t m_Disk = 0;
  FormationState m_State = FormationState::Fresh;
  /// The initial set in the settings at the first start; later changes of the
  /// settings are ignored.
  std::vector<InitialKeeper> m_Members;
  /// The first disk that claimed each identity of the initial set.
  std::map<KeeperId, std::uint64_t> m_Claims;
};

/// Hash of the initial keeper set, independent of its order.
std::uint64_t hashInitialSet(const std::vector<InitialKeeper> &Keepers);

/// Reads the identity of a data folder; empty when it has none.
Result<std::optional<Formation>> loadFormation(const std::string &Folder);

/// Replaces the identity file and syncs it and its folder.
Status saveFormation(const std::string &Folder, const Formation &Record);

/// Moves the log of a removed identity to log.removed, in place of an earlier
/// one, so that the next start creates a new identity. A crash in between
/// leaves the old identity, which is told of its removal again.
Status setIdentityAside(const std::string &Folder);

/// The identity of an empty data folder: with Initialize the one named in the
/// settings, else a fresh one whose suffix and disk come from Random.
Result<Formation> createFormation(const KeeperSettings &Settings,
                                  bool Initialize, std::uint64_t Random);

/// Accepts or refuses another keeper's claim and records the first disk that
/// claims an identity. When Changed is set, Own must be saved before the answer
/// is sent.
IdentityVerdict evaluateClaim(Formation &Own, const IdentityClaim &Claim,
                              bool &Changed);

/// Records in Accepted that a member accepted this keeper's claim. Returns true
/// when all other members of the initial set have accepted; the caller then
/// saves the identity as Formed. A verdict from a disk other than the member's
/// recorded one is ignored.
bool noteAcceptance(Formation &Own, std::set<KeeperId> &Accepted,
                    const KeeperId &From, const IdentityVerdict &Verdict);

} // namespace vanillaferry
