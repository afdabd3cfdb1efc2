#include "vanillaferry/version/text_history.hpp"

#include "vanillaferry/version/text_compression.hpp"
#include "vanillaferry/version/text_delta.hpp"

namespace vanillaferry {

namespace {

/// Smaller scripts fit into a packet or two.
constexpr std::size_t MinPackedBytes = 1024;

/// Ends an id. It is the separator at which makeTextDelta() splits texts, so
/// that one changed id is a small change.
const std::string IdEnd = "},";

const std::string *findText(const TextHistory &History, std::uint64_t Version) {
  for (const std::pair<std::uint64_t, std::string> &Each : History.m_Versions)
    if (Each.first == Version)
      return &Each.second;
  return nullptr;
}

/// Empty where compression gains nothing.
std::string packDelta(const std::string &Delta) {
  if (Delta.size() < MinPackedBytes)
    return std::string();
  std::string Packed = compressText(Delta);
  return Packed.size() < Delta.size() ? Packed : std::string();
}

} // namespace

void addTextVersion(TextHistory &History, std::uint64_t Version,
                    const std::string &Text) {
  if (findText(History, Version))
    return;
  History.m_Versions.emplace_back(Version, Text);
  if (History.m_Versions.size() > History.m_Limit)
    History.m_Versions.pop_front();
}

bool hasTextVersion(const TextHistory &History, std::uint64_t Version) {
  return findText(History, Version) != nullptr;
}

std::string encodeMemberIds(const std::vector<NodeId> &Nodes) {
  std::string Text;
  for (const NodeId &Each : Nodes)
    Text += Each.m_Value + IdEnd;
  return Text;
}

std::vector<NodeId> decodeMemberIds(const std::string &Text) {
  std::vector<NodeId> Nodes;
  std::size_t Start = 0;
  for (std::size_t End = Text.find(IdEnd); End != std::string::npos;
       End = Text.find(IdEnd, Start)) {
    Nodes.push_back(NodeId(Text.substr(Start, End - Start)));
    Start = End + IdEnd.size();
  }
  return Nodes;
}

void copyScript(const TextUpdate &Update, bool TakesPacked, std::string &Delta,
                std::string &Packed) {
  if (TakesPacked && !Update.m_Packed.empty())
    Packed = Update.m_Packed;
  else
    Delta = Update.m_Delta;
}

Result<std::string> applyTextUpdate(const std::string &Base,
                                    const std::string &Delta,
                                    const std::string &Packed) {
  if (Packed.empty())
    return applyTextDelta(Base, Delta);
  Result<std::string> Script = decompressText(Packed);
  return Script ? applyTextDelta(Base, Script.value()) : Script;
}

TextUpdate makeTextUpdate(const TextHistory &History, std::uint64_t Held,
                          const std::string &Text) {
  const std::string *Base = Held == 0 ? nullptr : findText(History, Held);
  if (!Base)
    return {0, makeTextDelta(std::string(), Text)};
  return {Held, makeTextDelta(*Base, Text)};
}

const TextUpdate &sharedTextUpdate(TextUpdates &Made,
                                   const TextHistory &History,
                                   std::uint64_t Held,
                                   const std::string &Text) {
  std::uint64_t Base = hasTextVersion(History, Held) ? Held : 0;
  TextUpdates::iterator Known = Made.find(Base);
  if (Known == Made.end()) {
    Known = Made.emplace(Base, makeTextUpdate(History, Base, Text)).first;
    Known->second.m_Packed = packDelta(Known->second.m_Delta);
  }
  return Known->second;
}

} // namespace vanillaferry
