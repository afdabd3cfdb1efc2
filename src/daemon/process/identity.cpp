#include "process/identity.hpp"

#include "process/clock.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace vanillaferry {

namespace {

constexpr const char *IdentityName = "identity.json";

Status writeIdentity(const std::string &Folder, const KeeperIdentity &Identity,
                     const SyncFunction &Sync) {
  nlohmann::ordered_json Json;
  Json["keeper"] = Identity.m_Keeper.m_Value;
  Json["disk"] = Identity.m_DiskId;
  Json["voting_allowed"] = Identity.m_VotingAllowed;
  return replaceFile(
      Folder, IdentityName,
      Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n",
      Sync);
}

} // namespace

Result<std::optional<KeeperIdentity>> loadIdentity(const std::string &Folder) {
  std::string Path = Folder + "/" + IdentityName;
  if (::access(Path.c_str(), F_OK) != 0)
    return std::optional<KeeperIdentity>();
  Result<std::string> Text = readFile(Path);
  if (!Text)
    return Text.error();
  nlohmann::json Json = nlohmann::json::parse(Text.value(), nullptr, false);
  if (!Json.is_object() || !Json.contains("keeper") ||
      !Json["keeper"].is_string() || !Json.contains("disk") ||
      !Json["disk"].is_string() || !Json.contains("voting_allowed") ||
      !Json["voting_allowed"].is_boolean())
    return makeError(ErrorCode::Corrupt, "identity file is damaged: " + Path);
  KeeperIdentity Identity;
  Identity.m_Keeper = KeeperId(Json["keeper"].get<std::string>());
  Identity.m_DiskId = Json["disk"].get<std::string>();
  Identity.m_VotingAllowed = Json["voting_allowed"].get<bool>();
  return std::optional<KeeperIdentity>(std::move(Identity));
}

Result<KeeperIdentity> createIdentity(const std::string &Folder,
                                      const KeeperId &Keeper,
                                      bool VotingAllowed,
                                      const SyncFunction &Sync) {
  char DiskId[33] = {};
  std::snprintf(DiskId, sizeof(DiskId), "%016llx%016llx",
                static_cast<unsigned long long>(randomSeed()),
                static_cast<unsigned long long>(randomSeed()));
  KeeperIdentity Identity;
  Identity.m_Keeper = Keeper;
  Identity.m_DiskId = DiskId;
  Identity.m_VotingAllowed = VotingAllowed;
  Status Written = writeIdentity(Folder, Identity, Sync);
  if (!Written)
    return Written.error();
  return Identity;
}

Status barFromVoting(const std::string &Folder, const SyncFunction &Sync) {
  Result<std::optional<KeeperIdentity>> Identity = loadIdentity(Folder);
  if (!Identity)
    return Identity.error();
  if (!Identity.value())
    return makeError(ErrorCode::NotFound, "no identity in " + Folder);
  Identity.value()->m_VotingAllowed = false;
  return writeIdentity(Folder, *Identity.value(), Sync);
}

} // namespace vanillaferry
