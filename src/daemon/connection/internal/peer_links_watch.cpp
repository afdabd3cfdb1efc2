#include "connection/internal/peer_links.hpp"
#include "process/clock.hpp"

namespace vanillaferry::internal {

void PeerLinks::watchNodes(const std::vector<NodeId> &Nodes) {
  Millis Now = monotonicNow();
  for (const NodeId &Node : Nodes) {
    auto Links = m_LinksOfNode.find(Node);
    if (Links == m_LinksOfNode.end())
      continue;
    for (std::uint64_t Id : Links->second)
      watchLink(m_Links.at(Id).m_Liveness, Now);
  }
}

void PeerLinks::checkLiveness(PeerLink &Link, Millis Now) {
  if (probeDue(Link.m_Liveness, Now))
    probe(Link, Now);
  else if (heartbeatDue(Link.m_Liveness, Now))
    append(Link, Heartbeat{Now, false});
}

void PeerLinks::probe(PeerLink &Link, Millis Now) {
  noteProbe(Link.m_Liveness, Now);
  Heartbeat Question;
  Question.m_Probe = true;
  append(Link, Question);
}

bool PeerLinks::hold(PeerLink &Link, PeerMessage &Message) {
  bool Starts = std::holds_alternative<Forward>(Message);
  if (!Starts && Link.m_Held.empty())
    return false;
  Millis Now = monotonicNow();
  if (Starts)
    watchLink(Link.m_Liveness, Now);
  bool First = Link.m_Held.empty();
  if (First && linkRecentlyActive(Link.m_Liveness, Now))
    return false;
  Link.m_Held.push_back(std::move(Message));
  if (!First)
    return true;
  Link.m_HeldSince = Now;
  // What is batched already goes out before the probe, with its own kind. A
  // link that fails here returns what it holds.
  if (flush(Link)) {
    probe(Link, Now);
    flush(Link);
  }
  return true;
}

void PeerLinks::releaseHeld(std::uint64_t Id) {
  auto Found = m_Links.find(Id);
  if (Found == m_Links.end() || Found->second.m_Held.empty())
    return;
  std::vector<OutgoingMessage> Ready;
  for (PeerMessage &Message : Found->second.m_Held)
    Ready.push_back({Found->second.m_Node, std::string(), std::move(Message)});
  Found->second.m_Held.clear();
  sendAll(std::move(Ready));
}

void PeerLinks::returnUnsent(const NodeId &To, std::uint64_t Id,
                             PeerMessage &Message) {
  if (std::holds_alternative<Forward>(Message))
    m_OnEvent({PeerEvent::Kind::Unsent, To, Id, std::move(Message)});
}

} // namespace vanillaferry::internal
