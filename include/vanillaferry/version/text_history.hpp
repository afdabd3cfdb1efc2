#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/result.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace vanillaferry {

/// The latest versions of a text, oldest first. A receiver that holds one of
/// them is sent an edit script instead of the whole text.
struct TextHistory {
  std::size_t m_Limit = 8;
  std::deque<std::pair<std::uint64_t, std::string>> m_Versions;
};

/// An edit script from the version that the receiver holds.
struct TextUpdate {
  /// Version that the script applies to; 0 for the empty text.
  std::uint64_t m_Base = 0;
  std::string m_Delta;
  /// m_Delta compressed; empty where that gains nothing.
  std::string m_Packed = {};
};

/// Copies the script for one receiver: compressed where that gains and the
/// receiver takes it so, else as it is. The other text stays empty.
void copyScript(const TextUpdate &Update, bool TakesPacked, std::string &Delta,
                std::string &Packed);

/// Applies a script, or the one that Packed holds. An error for damaged data.
Result<std::string> applyTextUpdate(const std::string &Base,
                                    const std::string &Delta,
                                    const std::string &Packed);

/// Adds a version and drops the oldest beyond the limit; a version that is
/// already present stays unchanged.
void addTextVersion(TextHistory &History, std::uint64_t Version,
                    const std::string &Text);

bool hasTextVersion(const TextHistory &History, std::uint64_t Version);

/// Conversion of the members' ids to a text for makeTextUpdate(), and back.
std::string encodeMemberIds(const std::vector<NodeId> &Nodes);
std::vector<NodeId> decodeMemberIds(const std::string &Text);

/// The update from version Held, or from the empty text when the history does
/// not contain Held.
TextUpdate makeTextUpdate(const TextHistory &History, std::uint64_t Held,
                          const std::string &Text);

/// The updates to one text, by the version that their receivers hold.
using TextUpdates = std::map<std::uint64_t, TextUpdate>;

/// The update from version Held, made once for all receivers that hold it;
/// those whose version the history lacks share the whole text.
const TextUpdate &sharedTextUpdate(TextUpdates &Made,
                                   const TextHistory &History,
                                   std::uint64_t Held, const std::string &Text);

} // namespace vanillaferry
