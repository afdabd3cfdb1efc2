#include "vanillaferry/process/replication_codec.hpp"

#include "process/cbor_items.hpp"

#include <limits>
#include <utility>

namespace vanillaferry {

namespace {

constexpr unsigned LastEntryKind = static_cast<unsigned>(EntryKind::KeeperSet);
constexpr unsigned LastMessageKind =
    static_cast<unsigned>(ReplicaMessage::Kind::SnapshotAnswer);
/// A message nests an array of lists of addresses in its snapshot.
constexpr unsigned MaxDepth = 8;
constexpr std::size_t MessageItems = 16;
constexpr std::size_t EntryItems = 4;
constexpr std::size_t SnapshotItems = 4;
constexpr std::size_t KeeperSetItems = 3;

/// Takes the items of an array one after the other. The first one that is
/// missing or of another type makes all that follow fail.
class ItemReader {
public:
  explicit ItemReader(const CborItem &Array)
      : m_Data(Array.m_Content), m_Good(Array.m_Major == CborMajor::Array) {}

  bool good() const { return m_Good; }
  bool atEnd() const { return m_Data.empty(); }
  std::optional<CborItem> next() {
    std::optional<CborItem> Item;
    if (m_Good)
      Item = takeItem(m_Data, MaxDepth);
    m_Good = Item.has_value();
    return Item;
  }
  std::uint64_t number() { return take(CborMajor::Unsigned).m_Argument; }
  std::string text() { return std::string(take(CborMajor::Text).m_Content); }
  std::string bytes() { return std::string(take(CborMajor::Bytes).m_Content); }
  bool boolean() {
    std::uint64_t Value = take(CborMajor::Simple).m_Argument;
    m_Good = m_Good && (Value == CborTrue || Value == CborFalse);
    return Value == CborTrue;
  }
  /// Takes an array; its items are read by another reader.
  CborItem array() { return take(CborMajor::Array); }

private:
  CborItem take(CborMajor Expected) {
    std::optional<CborItem> Item = next();
    m_Good = Item && Item->m_Major == Expected;
    return m_Good ? *Item : CborItem();
  }

  std::string_view m_Data;
  bool m_Good;
};

void appendAddresses(std::string &Out,
                     const std::vector<KeeperAddress> &Keepers) {
  appendHead(Out, CborMajor::Array, Keepers.size());
  for (const KeeperAddress &Address : Keepers) {
    appendHead(Out, CborMajor::Array, 2);
    appendText(Out, Address.m_Keeper.m_Value);
    appendText(Out, Address.m_PeerUrl);
  }
}

bool readAddresses(const CborItem &List, std::vector<KeeperAddress> &Keepers) {
  ItemReader Items(List);
  while (Items.good() && !Items.atEnd()) {
    ItemReader Pair(Items.array());
    KeeperAddress Address;
    Address.m_Keeper.m_Value = Pair.text();
    Address.m_PeerUrl = Pair.text();
    if (!Pair.good() || !Pair.atEnd())
      return false;
    Keepers.push_back(std::move(Address));
  }
  return Items.good();
}

void appendKeeperSet(std::string &Out, const KeeperSet &Set) {
  appendHead(Out, CborMajor::Array, KeeperSetItems);
  appendAddresses(Out, Set.m_Voters);
  appendAddresses(Out, Set.m_Learners);
  appendHead(Out, CborMajor::Array, Set.m_Removed.size());
  for (const KeeperId &Keeper : Set.m_Removed)
    appendText(Out, Keeper.m_Value);
}

bool readKeeperSet(const CborItem &Item, KeeperSet &Set) {
  ItemReader Parts(Item);
  if (!readAddresses(Parts.array(), Set.m_Voters) ||
      !readAddresses(Parts.array(), Set.m_Learners))
    return false;
  ItemReader Removed(Parts.array());
  while (Removed.good() && !Removed.atEnd())
    Set.m_Removed.push_back(KeeperId(Removed.text()));
  return Parts.good() && Parts.atEnd() && Removed.good();
}

void appendEntry(std::string &Out, const LogEntry &Entry) {
  appendHead(Out, CborMajor::Array, EntryItems);
  appendNumber(Out, Entry.m_Index.m_Value);
  appendNumber(Out, Entry.m_Term.m_Value);
  appendNumber(Out, static_cast<std::uint64_t>(Entry.m_Kind));
  appendBytes(Out, Entry.m_Data);
}

bool readEntry(const CborItem &Item, LogEntry &Entry) {
  ItemReader Items(Item);
  Entry.m_Index.m_Value = Items.number();
  Entry.m_Term.m_Value = Items.number();
  std::uint64_t Kind = Items.number();
  Entry.m_Data = Items.bytes();
  if (!Items.good() || !Items.atEnd() || Kind > LastEntryKind)
    return false;
  Entry.m_Kind = static_cast<EntryKind>(Kind);
  return true;
}

void appendSnapshot(std::string &Out, const Snapshot &Taken) {
  appendHead(Out, CborMajor::Array, SnapshotItems);
  appendNumber(Out, Taken.m_LastIndex.m_Value);
  appendNumber(Out, Taken.m_LastTerm.m_Value);
  appendKeeperSet(Out, Taken.m_Set);
  appendBytes(Out, Taken.m_Data);
}

bool readSnapshot(const CborItem &Item, Snapshot &Taken) {
  ItemReader Items(Item);
  Taken.m_LastIndex.m_Value = Items.number();
  Taken.m_LastTerm.m_Value = Items.number();
  if (!readKeeperSet(Items.array(), Taken.m_Set))
    return false;
  Taken.m_Data = Items.bytes();
  return Items.good() && Items.atEnd();
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

bool readEntries(const CborItem &List, std::vector<LogEntry> &Entries) {
  ItemReader Items(List);
  while (Items.good() && !Items.atEnd())
    if (!readEntry(Items.array(), Entries.emplace_back()))
      return false;
  return Items.good();
}

bool readOptionalSnapshot(ItemReader &Items, std::optional<Snapshot> &Taken) {
  std::optional<CborItem> Item = Items.next();
  if (!Item)
    return false;
  if (Item->m_Major == CborMajor::Simple)
    return Item->m_Argument == CborNull;
  return readSnapshot(*Item, Taken.emplace());
}

bool readMessage(const CborItem &Item, ReplicaMessage &Message) {
  ItemReader Items(Item);
  std::uint64_t Kind = Items.number();
  if (Kind > LastMessageKind)
    return false;
  Message.m_Kind = static_cast<ReplicaMessage::Kind>(Kind);
  Message.m_From.m_Value = Items.text();
  Message.m_To.m_Value = Items.text();
  Message.m_Term.m_Value = Items.number();
  Message.m_PreviousIndex.m_Value = Items.number();
  Message.m_PreviousTerm.m_Value = Items.number();
  Message.m_Commit.m_Value = Items.number();
  Message.m_Granted = Items.boolean();
  Message.m_Match.m_Value = Items.number();
  Message.m_Sequence = Items.number();
  Message.m_Acked.m_Value = Items.number();
  Message.m_Regressed = Items.boolean();
  if (!readEntries(Items.array(), Message.m_Entries) ||
      !readOptionalSnapshot(Items, Message.m_Snapshot))
    return false;
  Message.m_SnapshotSize = Items.number();
  Message.m_Offset = Items.number();
  // The last item is present only when it is true, so that keepers of an older
  // build understand all other messages.
  if (Items.good() && !Items.atEnd())
    Message.m_NoLeader = Items.boolean();
  return Items.good() && Items.atEnd() && isPlausible(Message);
}

/// The only item of the data; absent when it is not one well-formed item.
std::optional<CborItem> wholeItem(const std::string &Data) {
  std::string_view Rest = Data;
  std::optional<CborItem> Item = takeItem(Rest, MaxDepth);
  return Rest.empty() ? Item : std::nullopt;
}

} // namespace

std::string encodeKeeperSet(const KeeperSet &Set) {
  std::string Out;
  appendKeeperSet(Out, Set);
  return Out;
}

std::optional<KeeperSet> decodeKeeperSet(const std::string &Data) {
  std::optional<CborItem> Item = wholeItem(Data);
  KeeperSet Set;
  if (!Item || !readKeeperSet(*Item, Set))
    return std::nullopt;
  return Set;
}

std::string encodeReplicaMessage(const ReplicaMessage &Message) {
  std::string Out;
  appendHead(Out, CborMajor::Array,
             MessageItems + (Message.m_NoLeader ? 1 : 0));
  appendNumber(Out, static_cast<std::uint64_t>(Message.m_Kind));
  appendText(Out, Message.m_From.m_Value);
  appendText(Out, Message.m_To.m_Value);
  appendNumber(Out, Message.m_Term.m_Value);
  appendNumber(Out, Message.m_PreviousIndex.m_Value);
  appendNumber(Out, Message.m_PreviousTerm.m_Value);
  appendNumber(Out, Message.m_Commit.m_Value);
  appendBool(Out, Message.m_Granted);
  appendNumber(Out, Message.m_Match.m_Value);
  appendNumber(Out, Message.m_Sequence);
  appendNumber(Out, Message.m_Acked.m_Value);
  appendBool(Out, Message.m_Regressed);
  appendHead(Out, CborMajor::Array, Message.m_Entries.size());
  for (const LogEntry &Entry : Message.m_Entries)
    appendEntry(Out, Entry);
  if (Message.m_Snapshot)
    appendSnapshot(Out, *Message.m_Snapshot);
  else
    appendHead(Out, CborMajor::Simple, CborNull);
  appendNumber(Out, Message.m_SnapshotSize);
  appendNumber(Out, Message.m_Offset);
  if (Message.m_NoLeader)
    appendBool(Out, true);
  return Out;
}

Result<ReplicaMessage> decodeReplicaMessage(const std::string &Data) {
  ReplicaMessage Message;
  std::optional<CborItem> Item = wholeItem(Data);
  if (!Item || !readMessage(*Item, Message))
    return makeError(ErrorCode::Malformed, "not a replication message in CBOR");
  return Message;
}

std::string encodeSnapshot(const Snapshot &Taken) {
  std::string Out;
  appendSnapshot(Out, Taken);
  return Out;
}

Result<Snapshot> decodeSnapshot(const std::string &Data) {
  Snapshot Taken;
  std::optional<CborItem> Item = wholeItem(Data);
  if (!Item || !readSnapshot(*Item, Taken))
    return makeError(ErrorCode::Malformed, "not a snapshot in CBOR");
  return Taken;
}

} // namespace vanillaferry
