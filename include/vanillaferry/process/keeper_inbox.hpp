#pragma once

#include "vanillaferry/connection/peer_event.hpp"

#include <deque>
#include <list>
#include <map>
#include <optional>

namespace vanillaferry {

/// What other processes sent to a keeper and what it has not handled yet, in
/// the order in which it will. Replication messages do not pass through here;
/// they go before everything else.
struct KeeperInbox {
  /// Links that came up or ended, grants to pass on, lists of targets and what
  /// keepers tell each other: few, and others wait for them.
  std::deque<PeerEvent> m_Changes;
  /// Renewals and other requests, one renewal for each router.
  std::list<PeerEvent> m_Requests;
  std::map<NodeId, std::list<PeerEvent>::iterator> m_Renewals;
  /// Repeated by their senders, so the oldest may be dropped.
  std::deque<PeerEvent> m_Reports;
  /// Requests handed out since the last report.
  std::size_t m_SinceReport = 0;
  std::uint64_t m_RenewalsReplaced = 0;
  std::uint64_t m_ReportsDropped = 0;
};

/// Adds an event. A renewal takes the place of an earlier one of the same
/// router: a lease counts from the sending of the renewal, so a grant for an
/// old one is worth less or nothing.
void addEvent(KeeperInbox &Inbox, PeerEvent Event);

/// Takes the event to handle next: changes first, then requests, and a report
/// after every few requests.
std::optional<PeerEvent> nextEvent(KeeperInbox &Inbox);

bool isEmpty(const KeeperInbox &Inbox);

} // namespace vanillaferry
