#include "vanillaferry/request/load_board.hpp"

#include <algorithm>
#include <xxhash.h>

namespace vanillaferry {

namespace {

/// Older reports are dropped: the router has ended or cannot reach the keeper.
constexpr Millis ReportLifetime{3000};
/// Smallest part of the members that must have reported for a sum.
constexpr std::size_t MinReportedPercent = 80;
constexpr std::size_t PercentScale = 100;
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

/// Reads a count and moves Next behind it; false when it is truncated or does
/// not fit into 32 bits.
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

void subtractLoads(LoadTable &Table, const std::vector<KeyedLoad> &Loads) {
  for (const KeyedLoad &Each : Loads) {
    std::unordered_map<std::uint32_t, std::uint32_t>::iterator Total =
        Table.m_Totals.find(Each.m_Key);
    Total->second -= Each.m_Running;
    if (Total->second == 0)
      Table.m_Totals.erase(Total);
  }
}

void dropOldReports(LoadTable &Table, Millis Now) {
  std::map<NodeId, RouterLoads>::iterator Row = Table.m_Routers.begin();
  while (Row != Table.m_Routers.end()) {
    if (Now <= Row->second.m_ReportedAt + ReportLifetime) {
      ++Row;
      continue;
    }
    subtractLoads(Table, Row->second.m_Loads);
    Row = Table.m_Routers.erase(Row);
  }
}

bool hasLowerKey(const KeyedLoad &A, const KeyedLoad &B) {
  return A.m_Key < B.m_Key;
}

/// Requests at the targets of a key; Loads are sorted by it.
std::uint32_t runningOf(const std::vector<KeyedLoad> &Loads,
                        std::uint32_t Key) {
  std::uint32_t Running = 0;
  std::vector<KeyedLoad>::const_iterator At = std::lower_bound(
      Loads.begin(), Loads.end(), KeyedLoad{Key}, &hasLowerKey);
  for (; At != Loads.end() && At->m_Key == Key; ++At)
    Running += At->m_Running;
  return Running;
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
      return makeError(ErrorCode::Malformed, "a load report is truncated");
    KeyedLoad Load;
    for (int Byte = 0; Byte < KeyBytes; ++Byte)
      Load.m_Key |=
          static_cast<std::uint32_t>(static_cast<unsigned char>(Packed[Next++]))
          << (Byte * BitsPerByte);
    if (!readCount(Packed, Next, Load.m_Running))
      return makeError(ErrorCode::Malformed,
                       "a load report has an invalid count");
    Loads.push_back(Load);
  }
  return Loads;
}

void noteLoads(LoadTable &Table, const NodeId &Router,
               std::vector<KeyedLoad> Loads, Millis Now) {
  RouterLoads &Report = Table.m_Routers[Router];
  subtractLoads(Table, Report.m_Loads);
  for (const KeyedLoad &Each : Loads)
    Table.m_Totals[Each.m_Key] += Each.m_Running;
  Report.m_Loads = std::move(Loads);
  Report.m_ReportedAt = Now;
}

std::optional<std::vector<KeyedLoad>> loadsOfOthers(LoadTable &Table,
                                                    const NodeId &Router,
                                                    std::size_t Members,
                                                    Millis Now) {
  dropOldReports(Table, Now);
  if (Table.m_Routers.size() * PercentScale < Members * MinReportedPercent)
    return std::nullopt;
  std::vector<KeyedLoad> Own;
  std::map<NodeId, RouterLoads>::const_iterator Report =
      Table.m_Routers.find(Router);
  if (Report != Table.m_Routers.end())
    Own = Report->second.m_Loads;
  std::sort(Own.begin(), Own.end(), &hasLowerKey);
  std::vector<KeyedLoad> Loads;
  Loads.reserve(Table.m_Totals.size());
  for (const std::pair<const std::uint32_t, std::uint32_t> &Row :
       Table.m_Totals) {
    std::uint32_t Others = Row.second - runningOf(Own, Row.first);
    if (Others > 0)
      Loads.push_back({Row.first, Others});
  }
  return Loads;
}

} // namespace vanillaferry
