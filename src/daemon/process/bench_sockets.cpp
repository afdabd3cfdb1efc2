#include "process/bench_sockets.hpp"

#include "process/clock.hpp"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaferry {

namespace {

/// About the size of a chat-completions event with one token.
constexpr std::size_t EventBytes = 200;
constexpr int WaitMs = 50;
constexpr std::chrono::milliseconds PaceInterval{1};

int listenOnLoopback(std::uint16_t &Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
  listen(Fd, SOMAXCONN);
  socklen_t Size = sizeof Address;
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  return Fd;
}

int connectToLoopback(std::uint16_t Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
  int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Fd;
}

std::string readRequest(int Fd) {
  std::string Text;
  char Buffer[4096];
  // The body ends with the closing brace of its only object.
  while (Text.find("}]}") == std::string::npos) {
    ssize_t Count = recv(Fd, Buffer, sizeof Buffer, 0);
    if (Count <= 0)
      break;
    Text.append(Buffer, static_cast<std::size_t>(Count));
  }
  return Text;
}

std::string requestIdIn(const std::string &Text) {
  const std::string Name = "X-Request-Id: ";
  std::size_t At = Text.find(Name);
  if (At == std::string::npos)
    return "none";
  At += Name.size();
  return Text.substr(At, Text.find("\r\n", At) - At);
}

std::string eventChunk() {
  std::string Event =
      "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";
  Event += std::string(EventBytes - Event.size() - 8, 'x') + "\"}}]}\n\n";
  char Size[24];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Event.size());
  return Size + Event + "\r\n";
}

void watch(int Epoll, int Fd) {
  epoll_event Event = {};
  Event.events = EPOLLIN;
  Event.data.fd = Fd;
  epoll_ctl(Epoll, EPOLL_CTL_ADD, Fd, &Event);
}

std::uint64_t countEvents(const char *Data, std::size_t Size) {
  std::uint64_t Count = 0;
  for (std::size_t I = 1; I < Size; ++I)
    if (Data[I] == '\n' && Data[I - 1] == '\n')
      ++Count;
  return Count;
}

} // namespace

double threadCpuSeconds() {
  rusage Usage = {};
  getrusage(RUSAGE_THREAD, &Usage);
  return static_cast<double>(Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec) +
         static_cast<double>(Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec) /
             1e6;
}

BenchEngine::BenchEngine(const BenchOptions &Options) : m_Options(Options) {
  m_Listen = listenOnLoopback(m_Port);
  m_Thread = std::thread([this] { run(); });
}

BenchEngine::~BenchEngine() {
  m_Stop = true;
  m_Thread.join();
  close(m_Listen);
}

void BenchEngine::acceptStreams(std::vector<int> &Fds) {
  for (;;) {
    int Fd = accept4(m_Listen, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0)
      return;
    int On = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    // A relay that fails must not hold the bench up.
    timeval Limit = {2, 0};
    setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
    setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
    std::string Head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " +
        requestIdIn(readRequest(Fd)) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    send(Fd, Head.data(), Head.size(), MSG_NOSIGNAL);
    Fds.push_back(Fd);
    ++m_Open;
  }
}

void BenchEngine::run() {
  using Clock = std::chrono::steady_clock;
  const std::string Chunk = eventChunk();
  std::vector<int> Fds;
  std::uint64_t Sent = 0;
  Clock::time_point Start;
  while (!m_Stop) {
    std::this_thread::sleep_for(PaceInterval);
    if (!m_Pacing) {
      acceptStreams(Fds);
      Start = Clock::now();
      continue;
    }
    double Elapsed =
        std::chrono::duration<double>(Clock::now() - Start).count();
    std::uint64_t Due =
        static_cast<std::uint64_t>(Elapsed * m_Options.m_EventsPerSecond);
    for (; Sent < Due; ++Sent)
      send(Fds[Sent % Fds.size()], Chunk.data(), Chunk.size(), MSG_NOSIGNAL);
  }
  for (int Fd : Fds)
    close(Fd);
}

BenchCallers::BenchCallers(const BenchOptions &Options, std::uint16_t Port,
                           std::string Request)
    : m_Options(Options), m_Port(Port), m_Request(std::move(Request)) {
  m_Thread = std::thread([this] { run(); });
}

BenchCallers::~BenchCallers() {
  m_Stop = true;
  m_Thread.join();
}

void BenchCallers::run() {
  int Epoll = epoll_create1(EPOLL_CLOEXEC);
  std::vector<int> Fds;
  for (std::uint32_t I = 0; I < m_Options.m_Streams; ++I) {
    int Fd = connectToLoopback(m_Port);
    send(Fd, m_Request.data(), m_Request.size(), MSG_NOSIGNAL);
    watch(Epoll, Fd);
    Fds.push_back(Fd);
  }
  std::array<epoll_event, 256> Ready;
  std::array<char, 65536> Buffer;
  while (!m_Stop) {
    int Count = epoll_wait(Epoll, Ready.data(), Ready.size(), WaitMs);
    for (int I = 0; I < Count; ++I) {
      int Fd = Ready[static_cast<std::size_t>(I)].data.fd;
      ssize_t Got = recv(Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Got > 0)
        m_Events += countEvents(Buffer.data(), static_cast<std::size_t>(Got));
      else if (Got == 0)
        epoll_ctl(Epoll, EPOLL_CTL_DEL, Fd, nullptr);
    }
  }
  for (int Fd : Fds)
    close(Fd);
  close(Epoll);
}

BenchCopyLoop::BenchCopyLoop(std::uint16_t To) {
  m_Listen = listenOnLoopback(m_Port);
  m_Thread = std::thread([this, To] { run(To); });
}

BenchCopyLoop::~BenchCopyLoop() {
  m_Stop = true;
  m_Thread.join();
  close(m_Listen);
}

double BenchCopyLoop::cpuSeconds() const {
  clockid_t Clock = 0;
  timespec Time = {};
  // getrusage reports other threads only as a sum; this clock counts the same
  // user and system time of one thread.
  pthread_getcpuclockid(const_cast<std::thread &>(m_Thread).native_handle(),
                        &Clock);
  clock_gettime(Clock, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

void BenchCopyLoop::run(std::uint16_t To) {
  int Epoll = epoll_create1(EPOLL_CLOEXEC);
  watch(Epoll, m_Listen);
  std::map<int, int> Other;
  std::array<epoll_event, 256> Ready;
  std::array<char, 65536> Buffer;
  while (!m_Stop) {
    int Count = epoll_wait(Epoll, Ready.data(), Ready.size(), WaitMs);
    for (int I = 0; I < Count; ++I) {
      int Fd = Ready[static_cast<std::size_t>(I)].data.fd;
      if (Fd == m_Listen) {
        int Caller = accept4(m_Listen, nullptr, nullptr, SOCK_CLOEXEC);
        if (Caller < 0)
          continue;
        int Target = connectToLoopback(To);
        Other[Caller] = Target;
        Other[Target] = Caller;
        watch(Epoll, Caller);
        watch(Epoll, Target);
        continue;
      }
      ssize_t Got = recv(Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Got > 0)
        send(Other[Fd], Buffer.data(), static_cast<std::size_t>(Got),
             MSG_NOSIGNAL);
      else if (Got == 0)
        epoll_ctl(Epoll, EPOLL_CTL_DEL, Fd, nullptr);
    }
  }
  for (const std::pair<const int, int> &Row : Other)
    close(Row.first);
  close(Epoll);
}

} // namespace vanillaferry
