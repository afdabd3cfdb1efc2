#include "process/keeper_formation.hpp"

#include "process/file.hpp"

#include <algorithm>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <xxhash.h>

namespace vanillaferry {

namespace {

using nlohmann::json;

constexpr const char *FileName = "formation.json";

const std::map<std::string, FormationState> &stateNames() {
  static const std::map<std::string, FormationState> Names = {
      {"forming", FormationState::Forming},
      {"formed", FormationState::Formed},
      {"fresh", FormationState::Fresh}};
  return Names;
}

std::string nameOf(FormationState State) {
  for (const std::pair<const std::string, FormationState> &Row : stateNames())
    if (Row.second == State)
      return Row.first;
  return std::string();
}

std::string hexOf(std::uint64_t Number) {
  char Text[17];
  snprintf(Text, sizeof Text, "%016llx",
           static_cast<unsigned long long>(Number));
  return Text;
}

std::uint64_t numberOf(const std::string &Hex) {
  return std::strtoull(Hex.c_str(), nullptr, 16);
}

} // namespace

std::uint64_t hashInitialSet(const std::vector<InitialKeeper> &Keepers) {
  std::vector<std::string> Rows;
  for (const InitialKeeper &Keeper : Keepers)
    Rows.push_back(Keeper.m_Keeper.m_Value + " " + Keeper.m_PeerUrl + "\n");
  std::sort(Rows.begin(), Rows.end());
  std::string Text;
  for (const std::string &Row : Rows)
    Text += Row;
  return XXH3_64bits(Text.data(), Text.size());
}

Result<std::optional<Formation>> loadFormation(const std::string &Folder) {
  std::string Path = Folder + "/" + FileName;
  if (::access(Path.c_str(), F_OK) != 0)
    return std::optional<Formation>();
  Result<std::string> Text = readFile(Path);
  if (!Text)
    return Text.error();
  try {
    json Value = json::parse(Text.value());
    Formation Record;
    Record.m_Keeper = KeeperId(Value.at("keeper").get<std::string>());
    Record.m_Disk = numberOf(Value.at("disk").get<std::string>());
    Record.m_State = stateNames().at(Value.at("state").get<std::string>());
    for (const json::iterator::value_type &Member : Value.at("members"))
      Record.m_Members.push_back(
          {KeeperId(Member.at("keeper").get<std::string>()),
           Member.at("peer_url").get<std::string>()});
    for (const json::iterator::value_type &Claim : Value.at("claims"))
      Record.m_Claims[KeeperId(Claim.at("keeper").get<std::string>())] =
          numberOf(Claim.at("disk").get<std::string>());
    return std::optional<Formation>(Record);
  } catch (const std::exception &E) {
    return makeError(ErrorCode::Corrupt, Path + ": " + E.what());
  }
}

Status saveFormation(const std::string &Folder, const Formation &Record) {
  json Claims = json::array();
  for (const std::pair<const KeeperId, std::uint64_t> &Claim : Record.m_Claims)
    Claims.push_back(
        {{"keeper", Claim.first.m_Value}, {"disk", hexOf(Claim.second)}});
  json Members = json::array();
  for (const InitialKeeper &Member : Record.m_Members)
    Members.push_back(
        {{"keeper", Member.m_Keeper.m_Value}, {"peer_url", Member.m_PeerUrl}});
  json Value = {{"keeper", Record.m_Keeper.m_Value},
                {"disk", hexOf(Record.m_Disk)},
                {"state", nameOf(Record.m_State)},
                {"members", Members},
                {"claims", Claims}};
  return replaceFile(Folder, FileName, Value.dump(2) + "\n",
                     [](int Descriptor) { return ::fdatasync(Descriptor); });
}

Status setIdentityAside(const std::string &Folder) {
  Result<std::optional<Formation>> Loaded = loadFormation(Folder);
  if (!Loaded)
    return Loaded.error();
  if (Loaded.value()) {
    // A fresh identity without a log is replaced by a new one at the start.
    Formation Record;
    Record.m_Keeper = Loaded.value()->m_Keeper;
    Record.m_Disk = Loaded.value()->m_Disk;
    Status Saved = saveFormation(Folder, Record);
    if (!Saved)
      return Saved;
  }
  std::string Log = Folder + "/log";
  std::string Removed = Folder + "/log.removed";
  std::error_code Failed;
  std::filesystem::remove_all(Removed, Failed);
  if (!Failed)
    std::filesystem::rename(Log, Removed, Failed);
  if (Failed)
    return makeError(ErrorCode::Io, "cannot move " + Log + " to " + Removed +
                                        ": " + Failed.message());
  return syncFolder(Folder,
                    [](int Descriptor) { return ::fdatasync(Descriptor); });
}

Result<Formation> createFormation(const KeeperSettings &Settings,
                                  bool Initialize, std::uint64_t Random) {
  Formation Record;
  Record.m_Disk = Random;
  if (!Initialize) {
    Record.m_Keeper =
        KeeperId(Settings.m_Keeper.m_Value + "-" + hexOf(Random).substr(0, 8));
    return Record;
  }
  bool Listed = std::any_of(Settings.m_InitialKeepers.begin(),
                            Settings.m_InitialKeepers.end(),
                            [&Settings](const InitialKeeper &Keeper) {
                              return Keeper.m_Keeper == Settings.m_Keeper;
                            });
  if (!Listed)
    return makeError(ErrorCode::InvalidSettings,
                     "--initialize: keeper " + Settings.m_Keeper.m_Value +
                         " is not in initial_keepers");
  Record.m_Keeper = Settings.m_Keeper;
  Record.m_State = FormationState::Forming;
  Record.m_Members = Settings.m_InitialKeepers;
  Record.m_Claims[Record.m_Keeper] = Record.m_Disk;
  return Record;
}

IdentityVerdict evaluateClaim(Formation &Own, const IdentityClaim &Claim,
                              bool &Changed) {
  Changed = false;
  IdentityVerdict Verdict;
  Verdict.m_Disk = Own.m_Disk;
  std::map<KeeperId, std::uint64_t>::const_iterator Known =
      Own.m_Claims.find(Claim.m_Keeper);
  if (Known != Own.m_Claims.end()) {
    Verdict.m_Accepted = Known->second == Claim.m_Disk;
    if (!Verdict.m_Accepted)
      Verdict.m_Why = "identity " + Claim.m_Keeper.m_Value +
                      " belongs to another disk; a keeper whose disk was lost "
                      "joins with a new identity (start without --initialize)";
    return Verdict;
  }
  // A formed keeper knows the disks of all members of the initial set.
  if (Own.m_State != FormationState::Forming) {
    Verdict.m_Why = "the keeper set is formed without " +
                    Claim.m_Keeper.m_Value + "; start without --initialize";
    return Verdict;
  }
  if (hashInitialSet(Own.m_Members) != Claim.m_InitialSet) {
    Verdict.m_Why = "initial_keepers differ between the settings of " +
                    Own.m_Keeper.m_Value + " and " + Claim.m_Keeper.m_Value;
    return Verdict;
  }
  Own.m_Claims[Claim.m_Keeper] = Claim.m_Disk;
  Changed = true;
  Verdict.m_Accepted = true;
  return Verdict;
}

bool noteAcceptance(Formation &Own, std::set<KeeperId> &Accepted,
                    const KeeperId &From, const IdentityVerdict &Verdict) {
  if (Own.m_Claims.emplace(From, Verdict.m_Disk).first->second ==
      Verdict.m_Disk)
    Accepted.insert(From);
  return std::all_of(Own.m_Members.begin(), Own.m_Members.end(),
                     [&](const InitialKeeper &Keeper) {
                       return Keeper.m_Keeper == Own.m_Keeper ||
                              Accepted.count(Keeper.m_Keeper) != 0;
                     });
}

} // namespace vanillaferry
