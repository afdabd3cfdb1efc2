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
#include <poll.h>
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

/// The body ends with the closing braces of its only object.
bool isWholeRequest(const std::string &Text) {
  return Text.find("}]}") != std::string::npos;
}

std::string readRequest(int Fd) {
  std::string Text;
  char Buffer[4096];
  while (!isWholeRequest(Text) &&
         (Text.compare(0, 4, "GET ") != 0 ||
          Text.find("\r\n\r\n") == std::string::npos)) {
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

/// getrusage reports other threads only as a sum; this clock counts the same
/// user and system time of one thread.
double threadCpuSeconds(const std::thread &Of) {
  clockid_t Clock = 0;
  timespec Time = {};
  pthread_getcpuclockid(const_cast<std::thread &>(Of).native_handle(), &Clock);
  clock_gettime(Clock, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

/// Answers a request for a load report; false for any other request.
bool answerLoadReport(int Fd, const std::string &Request) {
  if (Request.compare(0, 4, "GET ") != 0)
    return false;
  const std::string Body =
      R"({"instance":"bench","running":0,"kv_used":0,"events":[],"next":0})";
  std::string Answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                       "Connection: close\r\nContent-Length: " +
                       std::to_string(Body.size()) + "\r\n\r\n" + Body;
  send(Fd, Answer.data(), Answer.size(), MSG_NOSIGNAL);
  close(Fd);
  return true;
}

/// A relay that fails must not hold the bench up.
void limitWaits(int Fd) {
  timeval Limit = {2, 0};
  setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
}

std::string streamHead(const std::string &Request) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "X-Request-Id: " +
         requestIdIn(Request) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
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

double processCpuSeconds() {
  rusage Usage = {};
  getrusage(RUSAGE_SELF, &Usage);
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
    limitWaits(Fd);
    std::string Request = readRequest(Fd);
    if (answerLoadReport(Fd, Request))
      continue;
    if (!isWholeRequest(Request)) {
      close(Fd);
      continue;
    }
    std::string Head = streamHead(Request);
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
    acceptStreams(Fds);
    if (!m_Pacing) {
      Start = Clock::now();
      continue;
    }
    double Elapsed =
        std::chrono::duration<double>(Clock::now() - Start).count();
    std::uint64_t Due =
        static_cast<std::uint64_t>(Elapsed * m_Options.m_EventsPerSecond);
    for (; Sent < Due && !m_Stop; ++Sent)
      send(Fds[Sent % Fds.size()], Chunk.data(), Chunk.size(), MSG_NOSIGNAL);
  }
  for (int Fd : Fds)
    close(Fd);
}

double BenchEngine::cpuSeconds() const { return threadCpuSeconds(m_Thread); }

BenchCallers::BenchCallers(const BenchOptions &Options, std::uint16_t Port,
                           std::string Request)
    : m_Options(Options), m_Port(Port), m_Request(std::move(Request)) {
  m_Thread = std::thread([this] { run(); });
}

BenchCallers::~BenchCallers() {
  m_Stop = true;
  m_Thread.join();
}

double BenchCallers::cpuSeconds() const { return threadCpuSeconds(m_Thread); }

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

double BenchCopyLoop::cpuSeconds() const { return threadCpuSeconds(m_Thread); }

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

BenchAnswerer::BenchAnswerer() {
  m_Listen = listenOnLoopback(m_Port);
  m_Thread = std::thread([this] { run(); });
}

BenchAnswerer::~BenchAnswerer() {
  m_Stop = true;
  m_Thread.join();
  close(m_Listen);
}

void BenchAnswerer::run() {
  const std::string Rest = eventChunk() + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
  while (!m_Stop) {
    pollfd Waiting = {m_Listen, POLLIN, 0};
    if (poll(&Waiting, 1, WaitMs) <= 0)
      continue;
    int Fd = accept4(m_Listen, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0)
      continue;
    limitWaits(Fd);
    std::string Request = readRequest(Fd);
    if (answerLoadReport(Fd, Request))
      continue;
    std::string Answer = streamHead(Request) + Rest;
    send(Fd, Answer.data(), Answer.size(), MSG_NOSIGNAL);
    close(Fd);
  }
}

double requestTimeUs(std::uint16_t Port, const std::string &Request) {
  using Clock = std::chrono::steady_clock;
  Clock::time_point Start = Clock::now();
  int Fd = connectToLoopback(Port);
  limitWaits(Fd);
  send(Fd, Request.data(), Request.size(), MSG_NOSIGNAL);
  std::string Answer;
  std::array<char, 4096> Buffer;
  ssize_t Got = 0;
  while (Answer.find("\r\n0\r\n") == std::string::npos &&
         (Got = recv(Fd, Buffer.data(), Buffer.size(), 0)) > 0)
    Answer.append(Buffer.data(), static_cast<std::size_t>(Got));
  double Us =
      std::chrono::duration<double, std::micro>(Clock::now() - Start).count();
  close(Fd);
  return Answer.find("[DONE]") == std::string::npos ? -1 : Us;
}

} // namespace vanillaferry
