#include "vanillaferry/request/load_board.hpp"

#include <xxhash.h>

namespace vanillaferry {

namespace {

/// A router that did not renew for longer has ended, or is cut off.
constexpr Millis ReportLifetime{3000};
/// Part of the members whose reports make a sum, in hundredths.
constexpr std::size_t LeastReported = 80;
constexpr std::size_t Hundredths = 100;
constexpr int KeyBytes = 4;
constexpr int BitsPerByte = 8;
constexpr int BitsPerGroup = 7;
constexpr int LastGroupShift = 28;
constexpr std::uint32_t GroupMask = 0x7F;
constexpr std::uint32_t MoreFollows = 0x80;

void appendCount(std::string &Packed, std::uint32_t Count) {
  while (Count > GroupMask) {
    Packed.push_back(static_cast<char>((Count & GroupMask) | MoreFollows));
    Count >>= BitsPerGroup;
  }
  Packed.push_back(static_cast<char>(Count));
}

/// Reads a count and moves Next behind it; false when it is cut off or too
/// large.
bool readCount(const std::string &Packed, std::size_t &Next,
               std::uint32_t &Count) {
  std::uint64_t Value = 0;
  for (int Shift = 0; Shift <= LastGroupShift; Shift += BitsPerGroup) {
    if (Next >= Packed.size())
      return false;
    std::uint32_t Group = static_cast<unsigned char>(Packed[Next++]);
    Value |= static_cast<std::uint64_t>(Group & GroupMask) << Shift;
    if ((Group & MoreFollows) == 0) {
      Count = static_cast<std::uint32_t>(Value);
      return Value == Count;
    }
  }
  return false;
}

void subtractLoads(LoadTable &Board, const std::vector<KeyedLoad> &Loads) {
  for (const KeyedLoad &Each : Loads) {
    std::unordered_map<std::uint32_t, std::uint32_t>::iterator Total =
        Board.m_Totals.find(Each.m_Key);
    Total->second -= Each.m_Running;
    if (Total->second == 0)
      Board.m_Totals.erase(Total);
  }
}

void dropOldReports(LoadTable &Board, Millis Now) {
  std::map<NodeId, RouterLoads>::iterator Row = Board.m_Routers.begin();
  while (Row != Board.m_Routers.end()) {
    if (Now <= Row->second.m_ReportedAt + ReportLifetime) {
      ++Row;
      continue;
    }
    subtractLoads(Board, Row->second.m_Loads);
    Row = Board.m_Routers.erase(Row);
  }
}

} // namespace

std::uint32_t loadKey(const TargetId &Target) {
  return static_cast<std::uint32_t>(
      XXH3_64bits(Target.m_Value.data(), Target.m_Value.size()));
}

std::string encodeLoads(const std::vector<KeyedLoad> &Loads) {
  std::string Packed;
  for (const KeyedLoad &Each : Loads) {
    if (Each.m_Running == 0)
      continue;
    for (int Byte = 0; Byte < KeyBytes; ++Byte)
      Packed.push_back(static_cast<char>(Each.m_Key >> (Byte * BitsPerByte)));
    appendCount(Packed, Each.m_Running);
  }
  return Packed;
}

Result<std::vector<KeyedLoad>> decodeLoads(const std::string &Packed) {
  std::vector<KeyedLoad> Loads;
  std::size_t Next = 0;
  while (Next < Packed.size()) {
    if (Packed.size() - Next <= KeyBytes)
      return makeError(ErrorCode::Malformed, "a load report is cut off");
    KeyedLoad Load;
    for (int Byte = 0; Byte < KeyBytes; ++Byte)
      Load.m_Key |=
          static_cast<std::uint32_t>(static_cast<unsigned char>(Packed[Next++]))
          << (Byte * BitsPerByte);
    if (!readCount(Packed, Next, Load.m_Running))
      return makeError(ErrorCode::Malformed,
                       "a load report has a count that cannot be read");
    Loads.push_back(Load);
  }
  return Loads;
}

void noteLoads(LoadTable &Board, const NodeId &Router,
               std::vector<KeyedLoad> Loads, Millis Now) {
  RouterLoads &Report = Board.m_Routers[Router];
  subtractLoads(Board, Report.m_Loads);
  for (const KeyedLoad &Each : Loads)
    Board.m_Totals[Each.m_Key] += Each.m_Running;
  Report.m_Loads = std::move(Loads);
  Report.m_ReportedAt = Now;
}

std::optional<std::vector<KeyedLoad>> loadsOfOthers(LoadTable &Board,
                                                    const NodeId &Router,
                                                    std::size_t Members,
                                                    Millis Now) {
  dropOldReports(Board, Now);
  if (Board.m_Routers.size() * Hundredths < Members * LeastReported)
    return std::nullopt;
  std::unordered_map<std::uint32_t, std::uint32_t> Others = Board.m_Totals;
  std::map<NodeId, RouterLoads>::const_iterator Own =
      Board.m_Routers.find(Router);
  if (Own != Board.m_Routers.end())
    for (const KeyedLoad &Each : Own->second.m_Loads)
      Others[Each.m_Key] -= Each.m_Running;
  std::vector<KeyedLoad> Loads;
  for (const std::pair<const std::uint32_t, std::uint32_t> &Row : Others)
    if (Row.second > 0)
      Loads.push_back({Row.first, Row.second});
  return Loads;
}

} // namespace vanillaferry
