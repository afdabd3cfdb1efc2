#include "vanillaferry/process/keeper_inbox.hpp"

#include <utility>

namespace vanillaferry {

namespace {

/// Reports take at most a ninth of the turns while requests wait.
constexpr std::size_t RequestsPerReport = 8;
/// More than a second's reports of 300 routers.
constexpr std::size_t MaxReports = 512;

bool isChange(const PeerMessage &Message) {
  return std::holds_alternative<Grant>(Message) ||
         std::holds_alternative<TargetListUpdate>(Message) ||
         std::holds_alternative<TargetListRequest>(Message) ||
         std::holds_alternative<JoinKeepers>(Message) ||
         std::holds_alternative<RedirectLeader>(Message) ||
         std::holds_alternative<IdentityClaim>(Message) ||
         std::holds_alternative<IdentityVerdict>(Message) ||
         std::holds_alternative<PromptWatch>(Message);
}

void eraseRequest(KeeperInbox &Inbox, std::list<PeerEvent>::iterator At) {
  if (const Renew *Request = std::get_if<Renew>(&At->m_Message))
    Inbox.m_Renewals.erase(Request->m_Node);
  Inbox.m_Requests.erase(At);
}

/// Renewals that came over a link that has ended are sent again over another.
void dropRenewalsOf(KeeperInbox &Inbox, std::uint64_t Connection) {
  std::list<PeerEvent>::iterator At = Inbox.m_Requests.begin();
  while (At != Inbox.m_Requests.end()) {
    std::list<PeerEvent>::iterator Each = At++;
    if (Each->m_Connection == Connection &&
        std::holds_alternative<Renew>(Each->m_Message))
      eraseRequest(Inbox, Each);
  }
}

/// Links may deliver the renewals of one router out of order.
bool supersedes(const Renew &Later, const Renew &Earlier) {
  return Later.m_Incarnation != Earlier.m_Incarnation ||
         Later.m_Sequence >= Earlier.m_Sequence;
}

void addRenewal(KeeperInbox &Inbox, PeerEvent Event) {
  const Renew &Request = std::get<Renew>(Event.m_Message);
  std::map<NodeId, std::list<PeerEvent>::iterator>::iterator Known =
      Inbox.m_Renewals.find(Request.m_Node);
  if (Known == Inbox.m_Renewals.end()) {
    NodeId Router = Request.m_Node;
    Inbox.m_Requests.push_back(std::move(Event));
    Inbox.m_Renewals[Router] = std::prev(Inbox.m_Requests.end());
    return;
  }
  ++Inbox.m_RenewalsReplaced;
  PeerEvent &Held = *Known->second;
  if (supersedes(Request, std::get<Renew>(Held.m_Message)))
    Held = std::move(Event);
}

void addReport(KeeperInbox &Inbox, PeerEvent Event) {
  Inbox.m_Reports.push_back(std::move(Event));
  if (Inbox.m_Reports.size() <= MaxReports)
    return;
  Inbox.m_Reports.pop_front();
  ++Inbox.m_ReportsDropped;
}

PeerEvent takeFront(std::deque<PeerEvent> &Queue) {
  PeerEvent Event = std::move(Queue.front());
  Queue.pop_front();
  return Event;
}

} // namespace

void addEvent(KeeperInbox &Inbox, PeerEvent Event) {
  if (Event.m_Kind == PeerEvent::Kind::Down)
    dropRenewalsOf(Inbox, Event.m_Connection);
  if (Event.m_Kind != PeerEvent::Kind::Message || isChange(Event.m_Message))
    Inbox.m_Changes.push_back(std::move(Event));
  else if (std::holds_alternative<Renew>(Event.m_Message))
    addRenewal(Inbox, std::move(Event));
  else if (std::holds_alternative<PromptReport>(Event.m_Message) ||
           std::holds_alternative<RolloutReport>(Event.m_Message))
    addReport(Inbox, std::move(Event));
  else
    Inbox.m_Requests.push_back(std::move(Event));
}

std::optional<PeerEvent> nextEvent(KeeperInbox &Inbox) {
  if (!Inbox.m_Changes.empty())
    return takeFront(Inbox.m_Changes);
  bool ReportsTurn =
      Inbox.m_Requests.empty() || Inbox.m_SinceReport >= RequestsPerReport;
  if (!Inbox.m_Reports.empty() && ReportsTurn) {
    Inbox.m_SinceReport = 0;
    return takeFront(Inbox.m_Reports);
  }
  if (Inbox.m_Requests.empty())
    return std::nullopt;
  ++Inbox.m_SinceReport;
  PeerEvent Event = std::move(Inbox.m_Requests.front());
  if (const Renew *Request = std::get_if<Renew>(&Event.m_Message))
    Inbox.m_Renewals.erase(Request->m_Node);
  Inbox.m_Requests.pop_front();
  return Event;
}

bool isEmpty(const KeeperInbox &Inbox) {
  return Inbox.m_Changes.empty() && Inbox.m_Requests.empty() &&
         Inbox.m_Reports.empty();
}

} // namespace vanillaferry
