#include "process/LinkProxy.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaferry::tests {

namespace {

constexpr std::size_t MaxWaitingBytes = 256 * 1024;
constexpr int PollMs = 20;

sockaddr_in socketAddress(const LoopbackAddress &At) {
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = ::inet_addr(At.m_Ip.c_str());
  Address.sin_port = htons(At.m_Port);
  return Address;
}

int makeSocket() {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Socket;
}

bool wouldBlock() { return errno == EAGAIN || errno == EINTR; }

} // namespace

LinkProxy::LinkProxy(std::uint16_t Port, std::uint16_t Target)
    : LinkProxy(LoopbackAddress{"127.0.0.1", Port},
                LoopbackAddress{"127.0.0.1", Target}) {}

LinkProxy::LinkProxy(const LoopbackAddress &Listen, LoopbackAddress Target)
    : m_Listen(Listen), m_Target(std::move(Target)) {
  listen();
  m_Thread = std::thread([this] { run(); });
}

void LinkProxy::listen() {
  m_Listener = makeSocket();
  int On = 1;
  ::setsockopt(m_Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in Address = socketAddress(m_Listen);
  if (::bind(m_Listener, reinterpret_cast<sockaddr *>(&Address),
             sizeof Address) != 0 ||
      ::listen(m_Listener, SOMAXCONN) != 0)
    throw std::runtime_error("the proxy cannot listen");
}

LinkProxy::~LinkProxy() {
  m_Stop = true;
  m_Thread.join();
  for (std::unique_ptr<Link> &One : m_Links)
    endLink(*One);
  for (int Filler : m_Fillers)
    ::close(Filler);
  ::close(m_Listener);
}

void LinkProxy::cut(double Share, std::uint64_t Seed, CutDirection Direction) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Random.seed(Seed);
  m_Direction = Direction;
  m_Share = Share;
  std::bernoulli_distribution IsCut(Share);
  for (std::unique_ptr<Link> &One : m_Links)
    One->m_Cut = IsCut(m_Random);
}

/// The kernel drops the opening packets of connections beyond the backlog.
void LinkProxy::fillBacklog() {
  constexpr int Connections = 2;
  ::listen(m_Listener, 0);
  sockaddr_in Address = socketAddress(m_Listen);
  for (int Number = 0; Number < Connections; ++Number) {
    m_Fillers.push_back(makeSocket());
    ::connect(m_Fillers.back(), reinterpret_cast<sockaddr *>(&Address),
              sizeof Address);
  }
}

void LinkProxy::close(NewConnections How) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Closed = true;
  m_Direction = CutDirection::Both;
  for (std::unique_ptr<Link> &One : m_Links)
    One->m_Cut = true;
  if (How == NewConnections::Hang)
    return fillBacklog();
  ::close(m_Listener);
  m_Listener = -1;
}

void LinkProxy::heal() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Listener < 0)
    listen();
  else if (m_Closed)
    ::listen(m_Listener, SOMAXCONN);
  for (int Filler : m_Fillers)
    ::close(Filler);
  m_Fillers.clear();
  m_Closed = false;
  m_Share = 0;
  m_Delay = std::chrono::milliseconds(0);
  for (std::unique_ptr<Link> &One : m_Links)
    One->m_Cut = false;
}

void LinkProxy::reset(double Share, std::uint64_t Seed) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Random.seed(Seed);
  std::bernoulli_distribution IsReset(Share);
  // Closing with this option sends a reset in place of an orderly end.
  linger AtOnce = {1, 0};
  for (std::unique_ptr<Link> &One : m_Links) {
    if (!IsReset(m_Random))
      continue;
    for (int Socket : {One->m_Caller.m_Socket, One->m_Target.m_Socket})
      ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof AtOnce);
    One->m_Broken = true;
  }
}

void LinkProxy::delay(std::chrono::milliseconds Time) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Delay = Time;
}

bool LinkProxy::isHeld(const Link &One, CutDirection Held) const {
  return One.m_Cut &&
         (m_Direction == CutDirection::Both || m_Direction == Held);
}

void LinkProxy::endLink(Link &Broken) {
  ::close(Broken.m_Caller.m_Socket);
  ::close(Broken.m_Target.m_Socket);
}

void LinkProxy::accept() {
  while (true) {
    int Caller =
        ::accept4(m_Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Caller < 0)
      return;
    int On = 1;
    ::setsockopt(Caller, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    std::unique_ptr<Link> New = std::make_unique<Link>();
    New->m_Caller.m_Socket = Caller;
    New->m_Target.m_Socket = makeSocket();
    sockaddr_in Address = socketAddress(m_Target);
    // A refused connection on loopback shows at once or at the first read.
    if (::connect(New->m_Target.m_Socket,
                  reinterpret_cast<sockaddr *>(&Address),
                  sizeof Address) != 0 &&
        errno != EINPROGRESS)
      New->m_Broken = true;
    New->m_Cut = std::bernoulli_distribution(m_Share)(m_Random);
    m_Links.push_back(std::move(New));
  }
}

bool LinkProxy::forward(Side &From, Side &To) const {
  std::array<char, 65536> Buffer;
  while (!From.m_Ended && From.m_Waiting.size() < MaxWaitingBytes) {
    ssize_t Count = ::recv(From.m_Socket, Buffer.data(), Buffer.size(), 0);
    if (Count < 0 && !wouldBlock() && errno != ENOTCONN)
      return false;
    if (Count < 0)
      break;
    From.m_Ended = Count == 0;
    if (From.m_Waiting.empty())
      From.m_HeldUntil = std::chrono::steady_clock::now() + m_Delay;
    From.m_Waiting.insert(From.m_Waiting.end(), Buffer.data(),
                          Buffer.data() + Count);
  }
  if (std::chrono::steady_clock::now() < From.m_HeldUntil)
    return true;
  while (!From.m_Waiting.empty()) {
    ssize_t Count = ::send(To.m_Socket, From.m_Waiting.data(),
                           From.m_Waiting.size(), MSG_NOSIGNAL);
    if (Count < 0)
      return wouldBlock() || errno == ENOTCONN;
    From.m_Waiting.erase(From.m_Waiting.begin(),
                         From.m_Waiting.begin() + Count);
  }
  // Both ends close as a whole; nothing here uses half-closed connections.
  return !From.m_Ended || !From.m_Waiting.empty();
}

void LinkProxy::run() {
  while (!m_Stop) {
    std::vector<pollfd> Watched;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (!m_Closed)
        Watched.push_back({m_Listener, POLLIN, 0});
      for (const std::unique_ptr<Link> &One : m_Links) {
        if (One->m_Cut && m_Direction == CutDirection::Both)
          continue;
        const Side &A = One->m_Caller;
        const Side &B = One->m_Target;
        short WantA = B.m_Waiting.empty() ? POLLIN : POLLIN | POLLOUT;
        short WantB = A.m_Waiting.empty() ? POLLIN : POLLIN | POLLOUT;
        Watched.push_back({A.m_Socket, WantA, 0});
        Watched.push_back({B.m_Socket, WantB, 0});
      }
    }
    ::poll(Watched.data(), Watched.size(), PollMs);
    // A side that ended while the other is full makes poll return at once; with
    // no pause the mutex was taken again before cut() or heal() got it.
    std::this_thread::sleep_for(std::chrono::microseconds(200));
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (!m_Closed)
      accept();
    for (std::unique_ptr<Link> &One : m_Links)
      if (!One->m_Broken)
        One->m_Broken = (!isHeld(*One, CutDirection::ToTarget) &&
                         !forward(One->m_Caller, One->m_Target)) ||
                        (!isHeld(*One, CutDirection::ToCaller) &&
                         !forward(One->m_Target, One->m_Caller));
    for (std::unique_ptr<Link> &One : m_Links)
      if (One->m_Broken)
        endLink(*One);
    m_Links.erase(std::remove_if(m_Links.begin(), m_Links.end(),
                                 [](const std::unique_ptr<Link> &One) {
                                   return One->m_Broken;
                                 }),
                  m_Links.end());
  }
}

} // namespace vanillaferry::tests
