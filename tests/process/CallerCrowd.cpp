#include "process/CallerCrowd.hpp"

#include "process/ProcessFleet.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaferry::tests {

namespace {

constexpr std::chrono::milliseconds ReturnsAfter{200};
constexpr std::chrono::milliseconds RoundTime{2};
/// Sends of one connection in one round, so that all get their turn.
constexpr int SendsPerRound = 8;
constexpr std::size_t DrainBytes = 4096;
/// Receive buffer of a caller that does not read.
constexpr int UnreadBuffer = 4096;

/// The bytes that follow the first Sent ones, up to the end of their part.
std::pair<const char *, std::size_t> nextPart(const CrowdScript &Script,
                                              std::size_t Sent) {
  if (Sent < Script.m_Head.size())
    return {Script.m_Head.data() + Sent, Script.m_Head.size() - Sent};
  Sent -= Script.m_Head.size();
  if (Sent < Script.m_Units * Script.m_Unit.size()) {
    std::size_t InUnit = Sent % Script.m_Unit.size();
    return {Script.m_Unit.data() + InUnit, Script.m_Unit.size() - InUnit};
  }
  Sent -= Script.m_Units * Script.m_Unit.size();
  return {Script.m_Tail.data() + Sent, Script.m_Tail.size() - Sent};
}

} // namespace

CallerCrowd::CallerCrowd(const LoopbackAddress &To,
                         const std::vector<CrowdScript> &Scripts,
                         std::size_t Each)
    : m_To(To), m_Scripts(Scripts) {
  // Scripts take turns, so that each kind is there from the start.
  for (std::size_t Count = 0; Count < Each; ++Count)
    for (const CrowdScript &Script : m_Scripts) {
      Member Added;
      Added.m_Script = &Script;
      m_Members.push_back(Added);
    }
  m_Thread = std::thread([this] { run(); });
}

CallerCrowd::~CallerCrowd() { stop(); }

void CallerCrowd::stop() {
  m_Stop = true;
  if (m_Thread.joinable())
    m_Thread.join();
  for (Member &Each : m_Members)
    if (Each.m_Socket >= 0)
      ::close(Each.m_Socket);
  m_Members.clear();
}

bool CallerCrowd::waitUntilSent(int LimitMs) const {
  return waitUntil([this] { return m_Played == m_Members.size(); }, LimitMs);
}

void CallerCrowd::run() {
  while (!m_Stop) {
    Clock::time_point Now = Clock::now();
    for (Member &Each : m_Members) {
      if (m_Stop)
        return;
      if (Each.m_Socket < 0 && Now >= Each.m_NextAt)
        open(Each, Now);
      if (Each.m_Socket >= 0 && Each.m_Script->m_Reads)
        drain(Each, Now);
      if (Each.m_Socket >= 0 && Now >= Each.m_NextAt)
        send(Each, Now);
    }
    std::this_thread::sleep_for(RoundTime);
  }
}

void CallerCrowd::open(Member &Each, Clock::time_point Now) {
  Each.m_Sent = 0;
  Each.m_NextAt = Now;
  Each.m_Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (!Each.m_Script->m_Reads)
    ::setsockopt(Each.m_Socket, SOL_SOCKET, SO_RCVBUF, &UnreadBuffer,
                 sizeof UnreadBuffer);
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = ::inet_addr(m_To.m_Ip.c_str());
  Address.sin_port = htons(m_To.m_Port);
  if (::connect(Each.m_Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) != 0 &&
      errno != EINPROGRESS)
    close(Each, Now);
}

void CallerCrowd::send(Member &Each, Clock::time_point Now) {
  for (int Round = 0; Round < SendsPerRound; ++Round) {
    std::pair<const char *, std::size_t> Part =
        nextPart(*Each.m_Script, Each.m_Sent);
    if (Part.second == 0)
      return notePlayed(Each);
    ssize_t Count = ::send(Each.m_Socket, Part.first, Part.second,
                           MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0 && (errno == EAGAIN || errno == ENOTCONN))
      return;
    if (Count < 0)
      return close(Each, Now);
    Each.m_Sent += static_cast<std::size_t>(Count);
    bool PartSent = static_cast<std::size_t>(Count) == Part.second;
    if (PartSent && Each.m_Script->m_Pause.count() > 0) {
      Each.m_NextAt = Now + Each.m_Script->m_Pause;
      return;
    }
  }
}

void CallerCrowd::drain(Member &Each, Clock::time_point Now) {
  char Dropped[DrainBytes];
  ssize_t Count = ::recv(Each.m_Socket, Dropped, sizeof Dropped, MSG_DONTWAIT);
  if (Count == 0 || (Count < 0 && errno != EAGAIN && errno != ENOTCONN))
    close(Each, Now);
}

void CallerCrowd::close(Member &Each, Clock::time_point Now) {
  ::close(Each.m_Socket);
  Each.m_Socket = -1;
  Each.m_NextAt = Now + ReturnsAfter;
  notePlayed(Each);
}

void CallerCrowd::notePlayed(Member &Each) {
  if (!Each.m_Played)
    ++m_Played;
  Each.m_Played = true;
}

} // namespace vanillaferry::tests
