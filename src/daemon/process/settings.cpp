#include "process/settings.hpp"

#include "process/json_schema.hpp"
#include "process/settings_schema.hpp"

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

using nlohmann::json;

struct LoadedJson {
  json m_Value;
  std::vector<std::string> m_Faults;
};

const char *schemaOfKind(const std::string &Kind) {
  if (Kind == "router")
    return RouterSettingsSchema;
  if (Kind == "keeper")
    return KeeperSettingsSchema;
  if (Kind == "operator")
    return OperatorSettingsSchema;
  if (Kind == "gateway")
    return GatewaySettingsSchema;
  return nullptr;
}

LoadedJson loadJson(const std::string &Path) {
  LoadedJson Loaded;
  std::ifstream File(Path);
  if (!File) {
    Loaded.m_Faults.push_back("cannot open " + Path);
    return Loaded;
  }
  try {
    Loaded.m_Value = json::parse(File, nullptr, true, true);
  } catch (const json::exception &E) {
    // A parse error, or a number beyond the range of a double.
    Loaded.m_Faults.push_back(std::string("not JSON: ") + E.what());
    return Loaded;
  }
  // A kind that is no string would make value() throw.
  bool Named = Loaded.m_Value.is_object() && Loaded.m_Value.contains("kind") &&
               Loaded.m_Value["kind"].is_string();
  std::string Kind = Named ? Loaded.m_Value["kind"].get<std::string>() : "";
  const char *Schema = schemaOfKind(Kind);
  if (!Schema) {
    Loaded.m_Faults.push_back("/kind: expected \"router\", \"gateway\", "
                              "\"keeper\" or \"operator\", got \"" +
                              Kind + "\".");
    return Loaded;
  }
  Loaded.m_Faults =
      describeSchemaViolations(json::parse(Schema), Loaded.m_Value);
  if (Kind == "keeper" && !Loaded.m_Value.contains("http") &&
      !Loaded.m_Value.contains("http_address"))
    Loaded.m_Faults.push_back(
        "/http: missing; expected \"http\" or \"http_address\".");
  return Loaded;
}

Result<json> loadKind(const std::string &Path, const std::string &Kind) {
  LoadedJson Loaded = loadJson(Path);
  if (Loaded.m_Faults.empty() && Loaded.m_Value["kind"] != Kind)
    Loaded.m_Faults.push_back("/kind: expected \"" + Kind + "\".");
  if (Loaded.m_Faults.empty())
    return Loaded.m_Value;
  std::string Text = Path + ":";
  for (const std::string &Fault : Loaded.m_Faults)
    Text += "\n  " + Fault;
  return makeError(ErrorCode::InvalidSettings, Text);
}

/// Splits "IP:PORT"; the schema has checked its form.
ListenAddress splitAddress(const std::string &Text) {
  ListenAddress Listen;
  std::size_t Colon = Text.rfind(':');
  Listen.m_Address = Text.substr(0, Colon);
  Listen.m_Port =
      static_cast<std::uint16_t>(std::strtoul(&Text[Colon + 1], nullptr, 10));
  return Listen;
}

/// The websocket URL of a keeper, from the address of its HTTP interface and
/// the peer port, which is the same for all keepers of a deployment.
std::string keeperUrl(const std::string &Address, std::uint16_t PeerPort) {
  return "ws://" + splitAddress(Address).m_Address + ":" +
         std::to_string(PeerPort);
}

ListenAddress readListen(const json &Value) {
  if (Value.is_string())
    return splitAddress(Value.get<std::string>());
  ListenAddress Listen;
  Listen.m_Address = Value["address"].get<std::string>();
  Listen.m_Port = Value["port"].get<std::uint16_t>();
  Listen.m_Url = Value.value("url", std::string());
  return Listen;
}

/// A duration given in seconds, with fractions.
Millis secondsOf(const json &Value, const char *Name, Millis Default) {
  constexpr double MillisPerSecond = 1000;
  if (!Value.contains(Name))
    return Default;
  return Millis(
      static_cast<std::int64_t>(Value[Name].get<double>() * MillisPerSecond));
}

MemorySettings readMemory(const json &Value) {
  constexpr std::int64_t BytesPerMb = 1024 * 1024;
  MemorySettings Memory;
  Memory.m_Vm = Bytes(Value.value("memory_mb", std::int64_t(0)) * BytesPerMb);
  Memory.m_Callers =
      Bytes(Value.value("caller_memory_mb", std::int64_t(0)) * BytesPerMb);
  return Memory;
}

LogOptions readLog(const json &Settings, const std::string &Process) {
  LogOptions Log;
  Log.m_Process = Process;
  if (!Settings.contains("log"))
    return Log;
  const json &Value = Settings["log"];
  Log.m_Format = Value.value("format", Log.m_Format);
  Log.m_Level = Value.value("level", Log.m_Level);
  Log.m_File = Value.value("file", Log.m_File);
  return Log;
}

/// A number that is null where the platform states none.
double numberOf(const json &Value, const char *Name, double Default) {
  json::const_iterator Found = Value.find(Name);
  return Found == Value.end() || Found->is_null() ? Default
                                                  : Found->get<double>();
}

RolloutBounds readRolloutBounds(const json &Settings) {
  RolloutBounds Bounds;
  if (!Settings.contains("bounds"))
    return Bounds;
  const json &Value = Settings["bounds"];
  Bounds.m_ExposureShare =
      numberOf(Value, "exposure_share", Bounds.m_ExposureShare);
  Bounds.m_ExposureSlack =
      numberOf(Value, "exposure_slack", Bounds.m_ExposureSlack);
  double Rollback = numberOf(
      Value, "rollback_ms", static_cast<double>(Bounds.m_RollbackTime.m_Value));
  Bounds.m_RollbackTime = Millis(static_cast<std::int64_t>(Rollback));
  return Bounds;
}

} // namespace

std::string peerUrlOf(const ListenAddress &Listen) {
  if (!Listen.m_Url.empty())
    return Listen.m_Url;
  return "ws://" + Listen.m_Address + ":" + std::to_string(Listen.m_Port);
}

Result<RouterSettings> loadRouterSettings(const std::string &Path) {
  Result<json> Loaded = loadKind(Path, "router");
  if (!Loaded)
    return Loaded.error();
  const json &Value = Loaded.value();
  RouterSettings Settings;
  Settings.m_Node = NodeId(Value["node"].get<std::string>());
  Settings.m_Vm = VmId(Value["vm"].get<std::string>());
  Settings.m_Zone = ZoneId(Value["zone"].get<std::string>());
  Settings.m_Http = readListen(Value["http"]);
  Settings.m_Peer = readListen(Value["peer"]);
  Settings.m_Keepers = Value["keepers"].get<std::vector<std::string>>();
  Settings.m_VmListUrl = Value.value("vm_list_url", std::string());
  Settings.m_VmListInterval =
      Millis(Value.value("vm_list_interval_ms", std::int64_t(1000)));
  Settings.m_DrainLimit =
      Millis(Value.value("drain_limit_ms", std::int64_t(0)));
  Settings.m_Record = Value.value("record", std::string());
  Settings.m_Memory = readMemory(Value);
  Settings.m_Log = readLog(Value, Settings.m_Node.m_Value);
  return Settings;
}

Result<KeeperSettings> loadKeeperSettings(const std::string &Path) {
  Result<json> Loaded = loadKind(Path, "keeper");
  if (!Loaded)
    return Loaded.error();
  const json &Value = Loaded.value();
  KeeperSettings Settings;
  Settings.m_Keeper = KeeperId(Value["keeper"].get<std::string>());
  Settings.m_Vm = VmId(Value["vm"].get<std::string>());
  Settings.m_Zone = ZoneId(Value["zone"].get<std::string>());
  Settings.m_Http = Value.contains("http") ? readListen(Value["http"])
                                           : readListen(Value["http_address"]);
  Settings.m_Peer = readListen(Value["peer"]);
  Settings.m_DataFolder = Value["data_folder"].get<std::string>();
  for (const json &Item : Value.value("initial_keepers", json::array()))
    Settings.m_InitialKeepers.push_back(
        {KeeperId(Item["keeper"].get<std::string>()),
         Item["peer_url"].get<std::string>()});
  for (const json &Item : Value.value("keeper_addresses", json::array())) {
    std::string Address = Item.get<std::string>();
    Settings.m_InitialKeepers.push_back(
        {KeeperId(splitAddress(Address).m_Address),
         keeperUrl(Address, Settings.m_Peer.m_Port)});
  }
  Settings.m_Initialize = Value.value("initialize", false);
  Settings.m_SelfRepair = Value.value("self_repair", false);
  Settings.m_ToleratedLosses =
      Value.value("tolerated_losses", Settings.m_ToleratedLosses);
  Settings.m_OpenManifest = Value.value("open_manifest", false);
  Settings.m_LeaseTime = Millis(Value.value("lease_ms", std::int64_t(0)));
  Settings.m_TargetList = Value.value("target_list", std::string());
  Settings.m_Heartbeat = Millis(Value.value("heartbeat_ms", std::int64_t(0)));
  for (const json &Item : Value.value("operators", json::array()))
    Settings.m_Operators.push_back(
        {OperatorId(Item["operator"].get<std::string>()),
         Item["token_sha256"].get<std::string>(),
         Item["sections"].get<std::vector<std::string>>()});
  Settings.m_SnapshotEntries =
      Value.value("snapshot_entries", Settings.m_SnapshotEntries);
  Settings.m_Rollouts = readRolloutBounds(Value);
  Settings.m_Memory = readMemory(Value);
  Settings.m_Log = readLog(Value, Settings.m_Keeper.m_Value);
  return Settings;
}

namespace {

constexpr double BytesPerMegabyte = 1024.0 * 1024;

GatewayBounds readBounds(const json &Value) {
  GatewayBounds Bounds;
  Bounds.m_RetryRatio = Value.value("retry_ratio", Bounds.m_RetryRatio);
  Bounds.m_RetryExtra = Value.value("retry_extra", Bounds.m_RetryExtra);
  Bounds.m_RetryWindow =
      secondsOf(Value, "retry_window_s", Bounds.m_RetryWindow);
  Bounds.m_ColdFactor = Value.value("cold_factor", Bounds.m_ColdFactor);
  Bounds.m_ColdExtra = Value.value("cold_extra", Bounds.m_ColdExtra);
  Bounds.m_Grace = secondsOf(Value, "grace_s", Bounds.m_Grace);
  return Bounds;
}

} // namespace

Result<GatewaySettings> loadGatewaySettings(const std::string &Path) {
  Result<json> Loaded = loadKind(Path, "gateway");
  if (!Loaded)
    return Loaded.error();
  const json &Value = Loaded.value();
  GatewaySettings Settings;
  Settings.m_Node = NodeId(Value["node"].get<std::string>());
  Settings.m_Zone = ZoneId(Value["zone"].get<std::string>());
  Settings.m_Front = readListen(Value["front"]);
  Settings.m_Ready = readListen(Value["ready"]);
  Settings.m_Peer = readListen(Value["peer"]);
  if (Value.contains("relay"))
    Settings.m_Relay = readListen(Value["relay"]);
  for (const json &Item : Value["keeper_addresses"])
    Settings.m_Keepers.push_back(
        keeperUrl(Item.get<std::string>(), Settings.m_Peer.m_Port));
  Settings.m_TargetList = Value["target_list"].get<std::string>();
  Settings.m_TargetListRate = Value["target_list_rate"].get<double>();
  if (Value.contains("bounds"))
    Settings.m_Bounds = readBounds(Value["bounds"]);
  Settings.m_Rollouts = readRolloutBounds(Value);
  Settings.m_RoomLimits.m_Entries =
      Value.value("waiting_requests", Settings.m_RoomLimits.m_Entries);
  if (Value.contains("waiting_mb"))
    Settings.m_RoomLimits.m_Bytes = static_cast<std::size_t>(
        Value["waiting_mb"].get<double>() * BytesPerMegabyte);
  Settings.m_Memory = readMemory(Value);
  Settings.m_Log = readLog(Value, Settings.m_Node.m_Value);
  return Settings;
}

Result<OperatorCliSettings> loadOperatorCliSettings(const std::string &Path) {
  Result<json> Loaded = loadKind(Path, "operator");
  if (!Loaded)
    return Loaded.error();
  OperatorCliSettings Settings;
  Settings.m_Keepers =
      Loaded.value()["keepers"].get<std::vector<std::string>>();
  Settings.m_Token = Loaded.value()["token"].get<std::string>();
  return Settings;
}

std::vector<std::string> checkSettingsFile(const std::string &Path) {
  return loadJson(Path).m_Faults;
}

} // namespace vanillaferry
