#pragma once

#include "process/file.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/result.hpp"

#include <optional>
#include <string>

namespace vanillaferry {

/// Who a keeper's data folder belongs to; created once for a disk.
struct KeeperIdentity {
  KeeperId m_Keeper;
  /// Random; a re-created folder has another one.
  std::string m_DiskId;
  /// False when the keeper had another disk before, or when this one lost data.
  bool m_VotingAllowed = true;
};

/// The folder's identity; empty when it has none yet.
Result<std::optional<KeeperIdentity>> loadIdentity(const std::string &Folder);

/// Writes the identity of a new folder with a random disk id.
Result<KeeperIdentity> createIdentity(const std::string &Folder,
                                      const KeeperId &Keeper,
                                      bool VotingAllowed,
                                      const SyncFunction &Sync);

/// Bars the identity from voting for good, after m_DiskRegressed.
Status barFromVoting(const std::string &Folder, const SyncFunction &Sync);

} // namespace vanillaferry
