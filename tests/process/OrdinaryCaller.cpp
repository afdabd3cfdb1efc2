#include "process/OrdinaryCaller.hpp"

#include "process/PlatformFakes.hpp"

#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaferry::tests {

namespace {

timeval limitOf(int Ms) { return {Ms / 1000, Ms % 1000 * 1000}; }

} // namespace

int connectTo(const LoopbackAddress &To, const SocketLimits &Limits) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval SendLimit = limitOf(Limits.m_SendMs);
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &SendLimit, sizeof SendLimit);
  timeval ReadLimit = limitOf(Limits.m_ReadMs);
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &ReadLimit, sizeof ReadLimit);
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = ::inet_addr(To.m_Ip.c_str());
  Address.sin_port = htons(To.m_Port);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

/// Status of the answer to one request on this connection; 0 without one. The
/// answer's body is read to its stated length.
int exchange(int Socket, const std::string &Text) {
  if (Socket < 0 || !sendAll(Socket, Text))
    return 0;
  std::string Answer;
  char Part[4096];
  ssize_t Count = 0;
  while ((Count = ::recv(Socket, Part, sizeof Part, 0)) > 0) {
    Answer.append(Part, static_cast<std::size_t>(Count));
    std::size_t End = Answer.find("\r\n\r\n");
    if (End == std::string::npos)
      continue;
    FakeRequest Head;
    Head.m_Head = Answer.substr(0, End + 2);
    std::string Length = Head.field("Content-Length");
    if (!Length.empty() && Answer.size() >= End + 4 + std::stoul(Length))
      return std::atoi(Answer.c_str() + sizeof("HTTP/1.1"));
  }
  return 0;
}

int askOnce(const LoopbackAddress &To, const std::string &Text) {
  int Socket = connectTo(To);
  int Status = exchange(Socket, Text);
  ::close(Socket);
  return Status;
}

std::int64_t peakKb(const ChildProcess &Process) {
  std::ifstream File("/proc/" + std::to_string(Process.pid()) + "/status");
  std::string Line;
  while (std::getline(File, Line))
    if (Line.compare(0, 6, "VmHWM:") == 0)
      return std::atoll(Line.c_str() + 6);
  return 0;
}

std::size_t descriptors(const ChildProcess &Process) {
  std::error_code Fault;
  std::filesystem::directory_iterator Files(
      "/proc/" + std::to_string(Process.pid()) + "/fd", Fault);
  std::size_t Count = 0;
  for (; !Fault && Files != std::filesystem::directory_iterator();
       Files.increment(Fault))
    ++Count;
  return Count;
}

void startLoneRouter(ChildProcess &Process, const TemporaryFolder &Folder,
                     const LoopbackAddress &Http, const nlohmann::json &Extra,
                     std::int64_t DescriptorLimit) {
  nlohmann::json Settings = {
      {"kind", "router"},
      {"node", "router-1"},
      {"vm", "vm-1"},
      {"zone", "north"},
      {"http", {{"address", Http.m_Ip}, {"port", Http.m_Port}}},
      {"peer", {{"address", "127.0.0.1"}, {"port", freePort()}}},
      {"keepers", {"ws://127.0.0.1:" + std::to_string(freePort())}}};
  Settings.update(Extra);
  writeWholeFile(Folder.path() + "/router.json", Settings.dump());
  Process.start(VANILLAFERRY_BINARY,
                {"router", "--settings", Folder.path() + "/router.json"},
                Folder.path() + "/router.log", 0, DescriptorLimit);
}

} // namespace vanillaferry::tests
