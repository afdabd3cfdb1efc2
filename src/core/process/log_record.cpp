#include "vanillaferry/process/log_record.hpp"

#include <optional>
#include <utility>
#include <xxhash.h>

namespace vanillaferry {

namespace {

/// Little-endian: length 4, kind 1, flags 1, magic 2, batch 8, checksum 8 (XXH3
/// of the 16 bytes before it and of the payload), then the payload.
constexpr std::size_t HeaderSize = 24;
constexpr std::size_t ChecksumAt = 16;
/// Magic bytes; with them the search for records after damage skips most
/// offsets.
constexpr std::uint8_t MagicFirst = 0x76;
constexpr std::uint8_t MagicSecond = 0x66;
constexpr std::uint8_t EndsBatchFlag = 1;

void putNumber(std::string &Out, std::uint64_t Value, std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back(static_cast<char>((Value >> (8 * I)) & 0xff));
}

std::uint8_t byteAt(const std::string &Data, std::size_t At) {
  return static_cast<std::uint8_t>(Data[At]);
}

std::uint64_t getNumber(const std::string &Data, std::size_t At,
                        std::size_t Count) {
  std::uint64_t Value = 0;
  for (std::size_t I = 0; I < Count; ++I)
    Value |= static_cast<std::uint64_t>(byteAt(Data, At + I)) << (8 * I);
  return Value;
}

std::uint64_t checksumOf(const char *Head, const char *Payload,
                         std::size_t Length) {
  return XXH3_64bits_withSeed(Payload, Length, XXH3_64bits(Head, ChecksumAt));
}

/// The record at this offset, if a complete and undamaged one is there.
std::optional<LogRecord> recordAt(const std::string &Data, std::size_t At) {
  if (Data.size() - At < HeaderSize || byteAt(Data, At + 6) != MagicFirst ||
      byteAt(Data, At + 7) != MagicSecond)
    return std::nullopt;
  std::uint64_t Length = getNumber(Data, At, 4);
  std::uint8_t Kind = byteAt(Data, At + 4);
  if (Length > Data.size() - At - HeaderSize || Kind < 1 ||
      Kind > static_cast<std::uint8_t>(RecordKind::Snapshot))
    return std::nullopt;
  const char *Start = Data.data() + At;
  if (checksumOf(Start, Start + HeaderSize, Length) !=
      getNumber(Data, At + ChecksumAt, 8))
    return std::nullopt;
  LogRecord Record;
  Record.m_Kind = static_cast<RecordKind>(Kind);
  Record.m_EndsBatch = (byteAt(Data, At + 5) & EndsBatchFlag) != 0;
  Record.m_Batch = getNumber(Data, At + 8, 8);
  Record.m_Payload = Data.substr(At + HeaderSize, Length);
  return Record;
}

/// True when a record after the damage belongs to a later batch than the
/// damaged one: that batch was written only after the damaged one was synced.
bool laterBatchFollows(const std::string &Data, std::size_t DamageAt,
                       std::uint64_t DamagedBatch) {
  for (std::size_t At = DamageAt + 1; At + HeaderSize <= Data.size(); ++At)
    if (std::optional<LogRecord> Record = recordAt(Data, At))
      if (Record->m_Batch > DamagedBatch)
        return true;
  return false;
}

Error damagedAt(std::size_t Offset, const std::string &What) {
  return makeError(ErrorCode::Corrupt,
                   What + " at offset " + std::to_string(Offset));
}

Error malformed(const char *What) {
  return makeError(ErrorCode::Corrupt,
                   std::string("malformed payload of a ") + What + " record");
}

} // namespace

void appendRecord(std::string &Out, const LogRecord &Record) {
  std::size_t Start = Out.size();
  putNumber(Out, Record.m_Payload.size(), 4);
  putNumber(Out, static_cast<std::uint64_t>(Record.m_Kind), 1);
  putNumber(Out, Record.m_EndsBatch ? EndsBatchFlag : 0, 1);
  putNumber(Out, MagicFirst, 1);
  putNumber(Out, MagicSecond, 1);
  putNumber(Out, Record.m_Batch, 8);
  putNumber(Out,
            checksumOf(Out.data() + Start, Record.m_Payload.data(),
                       Record.m_Payload.size()),
            8);
  Out += Record.m_Payload;
}

Result<SegmentScan> scanSegment(const std::string &Data, bool LastSegment) {
  SegmentScan Scan;
  std::size_t At = 0;
  while (At < Data.size()) {
    std::optional<LogRecord> Record = recordAt(Data, At);
    if (!Record)
      break;
    At += HeaderSize + Record->m_Payload.size();
    Scan.m_Records.push_back(std::move(*Record));
  }
  Scan.m_Valid = Bytes(static_cast<std::int64_t>(At));
  Scan.m_Torn = Bytes(static_cast<std::int64_t>(Data.size() - At));
  if (At == Data.size())
    return Scan;
  if (!LastSegment)
    return damagedAt(At, "damaged record");
  if (Scan.m_Records.empty()) {
    if (laterBatchFollows(Data, At, 0))
      return damagedAt(At, "damaged segment head");
    return Scan;
  }
  const LogRecord &Last = Scan.m_Records.back();
  std::uint64_t Damaged = Last.m_Batch + (Last.m_EndsBatch ? 1 : 0);
  if (laterBatchFollows(Data, At, Damaged))
    return damagedAt(At, "damaged record before later synced records");
  return Scan;
}

std::string encodeSegmentHead(const SegmentHead &Head) {
  std::string Out;
  putNumber(Out, Head.m_Segment, 8);
  putNumber(Out, Head.m_LastIndex.m_Value, 8);
  return Out + encodeHardState(Head.m_Hard);
}

Result<SegmentHead> decodeSegmentHead(const std::string &Payload) {
  if (Payload.size() < 24)
    return malformed("segment head");
  SegmentHead Head;
  Head.m_Segment = getNumber(Payload, 0, 8);
  Head.m_LastIndex = LogIndex(getNumber(Payload, 8, 8));
  Head.m_Hard.m_Term = Term(getNumber(Payload, 16, 8));
  Head.m_Hard.m_VotedFor = KeeperId(Payload.substr(24));
  return Head;
}

std::string encodeEntry(const LogEntry &Entry) {
  std::string Out;
  Out.reserve(17 + Entry.m_Data.size());
  putNumber(Out, Entry.m_Index.m_Value, 8);
  putNumber(Out, Entry.m_Term.m_Value, 8);
  putNumber(Out, static_cast<std::uint64_t>(Entry.m_Kind), 1);
  return Out + Entry.m_Data;
}

Result<LogEntry> decodeEntry(const std::string &Payload) {
  if (Payload.size() < 17 ||
      byteAt(Payload, 16) > static_cast<std::uint8_t>(EntryKind::KeeperSet))
    return malformed("log entry");
  LogEntry Entry;
  Entry.m_Index = LogIndex(getNumber(Payload, 0, 8));
  Entry.m_Term = Term(getNumber(Payload, 8, 8));
  Entry.m_Kind = static_cast<EntryKind>(byteAt(Payload, 16));
  Entry.m_Data = Payload.substr(17);
  return Entry;
}

std::string encodeHardState(const HardState &Hard) {
  std::string Out;
  putNumber(Out, Hard.m_Term.m_Value, 8);
  return Out + Hard.m_VotedFor.m_Value;
}

Result<HardState> decodeHardState(const std::string &Payload) {
  if (Payload.size() < 8)
    return malformed("hard state");
  HardState Hard;
  Hard.m_Term = Term(getNumber(Payload, 0, 8));
  Hard.m_VotedFor = KeeperId(Payload.substr(8));
  return Hard;
}

std::string encodePosition(const LogPosition &Position) {
  std::string Out;
  putNumber(Out, Position.m_Index.m_Value, 8);
  putNumber(Out, Position.m_Term.m_Value, 8);
  return Out;
}

Result<LogPosition> decodePosition(const std::string &Payload) {
  if (Payload.size() != 16)
    return malformed("position");
  return LogPosition{LogIndex(getNumber(Payload, 0, 8)),
                     Term(getNumber(Payload, 8, 8))};
}

} // namespace vanillaferry
