#pragma once

#include "vanillaferry/process/units.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace vanillaferry {

/// When one manifest was, or will at the latest be, acknowledged to its
/// operator.
struct ManifestAck {
  std::uint64_t m_Version = 0;
  Millis m_At;
};

/// The acknowledgements of the latest manifests, oldest first. Every keeper
/// keeps them, because any may become the leader.
struct ManifestAcks {
  std::deque<ManifestAck> m_Known;
  /// The version before the first of m_Known.
  std::uint64_t m_Before = 0;
};

/// A router that lags behind by more manifests counts as outdated for long.
constexpr std::size_t MaxManifestAcks = 64;

/// Records that a manifest replaces the version Before and is acknowledged no
/// earlier than At.
void noteManifestReplaced(ManifestAcks &Acks, std::uint64_t Before,
                          const ManifestAck &Ack);

/// Sets until when the leader that has put a manifest in force acknowledges it.
void setManifestDeadline(ManifestAcks &Acks, const ManifestAck &Ack);

/// Records an acknowledgement, which may come before the deadline.
void noteManifestAcked(ManifestAcks &Acks, const ManifestAck &Ack);

/// When the first manifest after the held one was acknowledged, which ends the
/// use of the held one whatever came later; absent when that is so long ago
/// that it is not known.
std::optional<Millis> outdatedSince(const ManifestAcks &Acks,
                                    std::uint64_t Held);

} // namespace vanillaferry
