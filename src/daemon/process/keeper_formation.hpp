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

/// How far an identity may take part in the keeper set.
enum class FormationState : std::uint8_t {
  /// Member of the initial set that the other members have not all confirmed:
  /// it neither votes nor stores a log.
  Forming,
  /// Confirmed member of the initial set.
  Formed,
  /// Drawn at random at the first start; joins as a learner.
  Fresh,
};

/// Who this keeper is, as its disk says.
struct Formation {
  KeeperId m_Keeper;
  /// Drawn at random when the data folder was first used.
  std::uint64_t m_Disk = 0;
  FormationState m_State = FormationState::Fresh;
  /// The initial set of the settings at the first start; later changes of the
  /// settings do not matter.
  std::vector<InitialKeeper> m_Members;
  /// Disk of each member of the initial set, the first that claimed it.
  std::map<KeeperId, std::uint64_t> m_Claims;
};

/// Hash of the initial keeper set, independent of its order.
std::uint64_t hashInitialSet(const std::vector<InitialKeeper> &Keepers);

/// Reads the identity of a data folder; empty when it has none.
Result<std::optional<Formation>> loadFormation(const std::string &Folder);

/// Replaces the identity file and syncs it and its folder.
Status saveFormation(const std::string &Folder, const Formation &Record);

/// The identity of an empty data folder: with Initialize the one named in the
/// settings, else a fresh one with a random suffix.
Result<Formation> createFormation(const KeeperSettings &Settings,
                                  bool Initialize, std::uint64_t Random);

/// Decides on another keeper's claim and notes the first disk of an identity.
/// When Changed is set, the identity must be saved before the answer leaves.
IdentityVerdict evaluateClaim(Formation &Own, const IdentityClaim &Claim,
                              bool &Changed);

/// Notes an accepting verdict of a member in Accepted. Returns true when all
/// other members of the initial set have accepted; the caller then saves the
/// identity as Formed. A verdict of a disk that is not the member's is ignored.
bool noteAcceptance(Formation &Own, std::set<KeeperId> &Accepted,
                    const KeeperId &From, const IdentityVerdict &Verdict);

} // namespace vanillaferry
