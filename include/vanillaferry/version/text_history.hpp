#pragma once

#include "vanillaferry/process/ids.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace vanillaferry {

/// The last versions of a text, oldest first, so that a receiver that holds one
/// of them gets an edit script in place of the whole text.
struct TextHistory {
  std::size_t m_Limit = 8;
  std::deque<std::pair<std::uint64_t, std::string>> m_Versions;
};

/// An edit script from the version that the receiver holds.
struct TextUpdate {
  /// Version that the script applies to; 0 for the empty text.
  std::uint64_t m_Base = 0;
  std::string m_Delta;
};

/// Notes a version; one that is known already is left as it is.
void addTextVersion(TextHistory &History, std::uint64_t Version,
                    const std::string &Text);

bool hasTextVersion(const TextHistory &History, std::uint64_t Version);

/// The members' ids as text, and back.
std::string encodeMemberIds(const std::vector<NodeId> &Nodes);
std::vector<NodeId> decodeMemberIds(const std::string &Text);

/// The update from Held, or from the empty text when Held is not known.
TextUpdate makeTextUpdate(const TextHistory &History, std::uint64_t Held,
                          const std::string &Text);

} // namespace vanillaferry
