#include "vanillaferry/process/replication_codec.hpp"

#include "process/cbor.hpp"
#include "process/internal/replication_json.hpp"

#include <limits>
#include <utility>

namespace vanillaferry {

namespace internal {

namespace {

using Json = nlohmann::json;

constexpr unsigned LastEntryKind = static_cast<unsigned>(EntryKind::KeeperSet);
constexpr unsigned LastMessageKind =
    static_cast<unsigned>(ReplicaMessage::Kind::SnapshotAnswer);

Json binary(const std::string &Data) {
  return Json::binary(Json::binary_t::container_type(Data.begin(), Data.end()));
}

bool readNumber(const Json &Value, std::uint64_t &Out) {
  if (!Value.is_number_integer() ||
      (!Value.is_number_unsigned() && Value.get<std::int64_t>() < 0))
    return false;
  Out = Value.get<std::uint64_t>();
  return true;
}

bool readText(const Json &Value, std::string &Out) {
  if (!Value.is_string())
    return false;
  Out = Value.get_ref<const std::string &>();
  return true;
}

bool readBinary(const Json &Value, std::string &Out) {
  if (!Value.is_binary())
    return false;
  const Json::binary_t &Data = Value.get_binary();
  Out.assign(Data.begin(), Data.end());
  return true;
}

bool readBool(const Json &Value, bool &Out) {
  if (!Value.is_boolean())
    return false;
  Out = Value.get<bool>();
  return true;
}

Json addressesToJson(const std::vector<KeeperAddress> &Keepers) {
  Json List = Json::array();
  for (const KeeperAddress &Address : Keepers)
    List.push_back(Json::array({Address.m_Keeper.m_Value, Address.m_PeerUrl}));
  return List;
}

bool readAddresses(const Json &List, std::vector<KeeperAddress> &Out) {
  if (!List.is_array())
    return false;
  for (const Json &Item : List) {
    KeeperAddress Address;
    if (!Item.is_array() || Item.size() != 2 ||
        !readText(Item[0], Address.m_Keeper.m_Value) ||
        !readText(Item[1], Address.m_PeerUrl))
      return false;
    Out.push_back(std::move(Address));
  }
  return true;
}

Json entryToJson(const LogEntry &Entry) {
  return Json::array({Entry.m_Index.m_Value, Entry.m_Term.m_Value,
                      static_cast<unsigned>(Entry.m_Kind),
                      binary(Entry.m_Data)});
}

bool readEntry(const Json &Item, LogEntry &Out) {
  std::uint64_t Kind = 0;
  if (!Item.is_array() || Item.size() != 4 ||
      !readNumber(Item[0], Out.m_Index.m_Value) ||
      !readNumber(Item[1], Out.m_Term.m_Value) || !readNumber(Item[2], Kind) ||
      Kind > LastEntryKind || !readBinary(Item[3], Out.m_Data))
    return false;
  Out.m_Kind = static_cast<EntryKind>(Kind);
  return true;
}

Json snapshotToJson(const Snapshot &Taken) {
  return Json::array({Taken.m_LastIndex.m_Value, Taken.m_LastTerm.m_Value,
                      keeperSetToJson(Taken.m_Set), binary(Taken.m_Data)});
}

bool readSnapshot(const Json &Item, Snapshot &Out) {
  if (!Item.is_array() || Item.size() != 4 ||
      !readNumber(Item[0], Out.m_LastIndex.m_Value) ||
      !readNumber(Item[1], Out.m_LastTerm.m_Value) ||
      !readBinary(Item[3], Out.m_Data))
    return false;
  std::optional<KeeperSet> Set = keeperSetFromJson(Item[2]);
  if (!Set)
    return false;
  Out.m_Set = std::move(*Set);
  return true;
}

bool readHead(const Json &Item, ReplicaMessage &Out) {
  std::uint64_t Kind = 0;
  if (!readNumber(Item[0], Kind) || Kind > LastMessageKind)
    return false;
  Out.m_Kind = static_cast<ReplicaMessage::Kind>(Kind);
  return readText(Item[1], Out.m_From.m_Value) &&
         readText(Item[2], Out.m_To.m_Value) &&
         readNumber(Item[3], Out.m_Term.m_Value) &&
         readNumber(Item[4], Out.m_PreviousIndex.m_Value) &&
         readNumber(Item[5], Out.m_PreviousTerm.m_Value) &&
         readNumber(Item[6], Out.m_Commit.m_Value) &&
         readBool(Item[7], Out.m_Granted) &&
         readNumber(Item[8], Out.m_Match.m_Value) &&
         readNumber(Item[9], Out.m_Sequence) &&
         readNumber(Item[10], Out.m_Acked.m_Value) &&
         readBool(Item[11], Out.m_Regressed);
}

/// Values that no keeper sends and that would overflow index arithmetic.
bool isPlausible(const ReplicaMessage &Message) {
  constexpr std::uint64_t Limit = std::numeric_limits<std::int64_t>::max() / 2;
  return Message.m_Term.m_Value < Limit &&
         Message.m_PreviousIndex.m_Value < Limit &&
         Message.m_Commit.m_Value < Limit && Message.m_Match.m_Value < Limit &&
         Message.m_Sequence < Limit && Message.m_Acked.m_Value < Limit &&
         Message.m_SnapshotSize < Limit && Message.m_Offset < Limit &&
         (!Message.m_Snapshot ||
          Message.m_Snapshot->m_LastIndex.m_Value < Limit);
}

bool readMessage(const Json &Item, ReplicaMessage &Out) {
  // The last item is present only when it is true, so that keepers of an older
  // build understand all other messages.
  bool HasNoLeader = Item.is_array() && Item.size() == 17;
  if (!Item.is_array() || (Item.size() != 16 && !HasNoLeader) ||
      !readHead(Item, Out) || !Item[12].is_array())
    return false;
  if (HasNoLeader && !readBool(Item[16], Out.m_NoLeader))
    return false;
  Out.m_Entries.resize(Item[12].size());
  for (std::size_t I = 0; I < Out.m_Entries.size(); ++I)
    if (!readEntry(Item[12][I], Out.m_Entries[I]))
      return false;
  if (!Item[13].is_null()) {
    Out.m_Snapshot.emplace();
    if (!readSnapshot(Item[13], *Out.m_Snapshot))
      return false;
  }
  return readNumber(Item[14], Out.m_SnapshotSize) &&
         readNumber(Item[15], Out.m_Offset) && isPlausible(Out);
}

} // namespace

Json keeperSetToJson(const KeeperSet &Set) {
  Json Removed = Json::array();
  for (const KeeperId &Keeper : Set.m_Removed)
    Removed.push_back(Keeper.m_Value);
  return Json::array({addressesToJson(Set.m_Voters),
                      addressesToJson(Set.m_Learners), std::move(Removed)});
}

std::optional<KeeperSet> keeperSetFromJson(const Json &Item) {
  KeeperSet Set;
  if (!Item.is_array() || Item.size() != 3 ||
      !readAddresses(Item[0], Set.m_Voters) ||
      !readAddresses(Item[1], Set.m_Learners) || !Item[2].is_array())
    return std::nullopt;
  for (const Json &Removed : Item[2]) {
    KeeperId Keeper;
    if (!readText(Removed, Keeper.m_Value))
      return std::nullopt;
    Set.m_Removed.push_back(std::move(Keeper));
  }
  return Set;
}

} // namespace internal

using namespace internal;

std::string encodeKeeperSet(const KeeperSet &Set) {
  return encodeCbor(keeperSetToJson(Set));
}

std::optional<KeeperSet> decodeKeeperSet(const std::string &Data) {
  Result<nlohmann::json> Value = parseCbor(Data);
  if (!Value)
    return std::nullopt;
  return keeperSetFromJson(Value.value());
}

std::string encodeReplicaMessage(const ReplicaMessage &Message) {
  nlohmann::json Entries = nlohmann::json::array();
  for (const LogEntry &Entry : Message.m_Entries)
    Entries.push_back(entryToJson(Entry));
  nlohmann::json Items = nlohmann::json::array(
      {static_cast<unsigned>(Message.m_Kind), Message.m_From.m_Value,
       Message.m_To.m_Value, Message.m_Term.m_Value,
       Message.m_PreviousIndex.m_Value, Message.m_PreviousTerm.m_Value,
       Message.m_Commit.m_Value, Message.m_Granted, Message.m_Match.m_Value,
       Message.m_Sequence, Message.m_Acked.m_Value, Message.m_Regressed,
       std::move(Entries),
       Message.m_Snapshot ? snapshotToJson(*Message.m_Snapshot)
                          : nlohmann::json(),
       Message.m_SnapshotSize, Message.m_Offset});
  if (Message.m_NoLeader)
    Items.push_back(true);
  return encodeCbor(Items);
}

Result<ReplicaMessage> decodeReplicaMessage(const std::string &Data) {
  ReplicaMessage Message;
  Result<nlohmann::json> Value = parseCbor(Data);
  if (!Value || !readMessage(Value.value(), Message))
    return makeError(ErrorCode::Malformed, "not a replication message in CBOR");
  return Message;
}

std::string encodeSnapshot(const Snapshot &Taken) {
  return encodeCbor(snapshotToJson(Taken));
}

Result<Snapshot> decodeSnapshot(const std::string &Data) {
  Snapshot Taken;
  Result<nlohmann::json> Value = parseCbor(Data);
  if (!Value || !readSnapshot(Value.value(), Taken))
    return makeError(ErrorCode::Malformed, "not a snapshot in CBOR");
  return Taken;
}

} // namespace vanillaferry
