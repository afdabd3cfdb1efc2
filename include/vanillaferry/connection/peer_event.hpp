#pragma once

#include "vanillaferry/connection/message.hpp"

namespace vanillaferry {

/// What the peer task reports to the task that owns the process's state. Up
/// carries the other end's Hello as its message, Unsent a Forward of which
/// nothing was sent, because there was no link or it was silent, Heard a
/// heartbeat on a link that this end dialled.
struct PeerEvent {
  enum class Kind { Up, Down, Message, Unsent, Heard };
  Kind m_Kind = Kind::Message;
  /// Node id of the other end (a keeper's id is its node id).
  NodeId m_From;
  std::uint64_t m_Connection = 0;
  PeerMessage m_Message;
  /// URL that this end connected to; empty for an accepted link.
  std::string m_Url = std::string();
  /// When the event was handed over; the time from then on was spent waiting.
  Millis m_PostedAt = Millis(0);
};

} // namespace vanillaferry
