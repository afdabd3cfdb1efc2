#include "connection/peer_metrics.hpp"

#include "connection/peer_task.hpp"
#include "process/metrics.hpp"

namespace vanillaferry {

void setPeerCounters(Metrics &M, const PeerCounters &Peers) {
  M.m_Counters["vanillaferry_peer_bytes_sent_total"] = Peers.m_BytesSent;
  M.m_Counters["vanillaferry_peer_bytes_received_total"] =
      Peers.m_BytesReceived;
  M.m_Counters["vanillaferry_peer_control_bytes_sent_total"] =
      Peers.m_ControlBytesSent;
  M.m_Counters["vanillaferry_peer_control_bytes_received_total"] =
      Peers.m_ControlBytesReceived;
  M.m_Counters["vanillaferry_peer_frames_sent_total"] = Peers.m_FramesSent;
  M.m_Counters["vanillaferry_peer_frames_received_total"] =
      Peers.m_FramesReceived;
  M.m_Counters["vanillaferry_peer_malformed_frames_total"] =
      Peers.m_MalformedFrames;
  M.m_Counters["vanillaferry_peer_messages_unread_total"] =
      Peers.m_MessagesUnread;
  M.m_Counters["vanillaferry_peer_messages_withheld_total"] =
      Peers.m_MessagesWithheld;
  M.m_Counters["vanillaferry_peer_links_lost_total"] = Peers.m_LinksLost;
}

} // namespace vanillaferry
