#include "connection/target_socket.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaferry {

namespace {

std::optional<sockaddr_in> socketAddress(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Socket = {};
  Socket.sin_family = AF_INET;
  std::uint16_t Port = 80;
  if (Colon != std::string::npos) {
    const char *End = Address.data() + Address.size();
    if (std::from_chars(&Address[Colon] + 1, End, Port).ptr != End)
      return std::nullopt;
  }
  Socket.sin_port = htons(Port);
  if (inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Socket.sin_addr) !=
      1)
    return std::nullopt;
  return Socket;
}

std::string faultText(int Number) {
  return std::string("no connection: ") + std::strerror(Number);
}

} // namespace

Result<int> beginConnection(const std::string &Address) {
  std::optional<sockaddr_in> Socket = socketAddress(Address);
  if (!Socket)
    return makeError(ErrorCode::Malformed, "not IP:PORT: " + Address);
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0)
    return makeError(ErrorCode::Io,
                     std::string("no socket: ") + std::strerror(errno));
  int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&*Socket),
                sizeof *Socket) != 0 &&
      errno != EINPROGRESS) {
    std::string Fault = faultText(errno);
    ::close(Fd);
    return makeError(ErrorCode::Io, Fault);
  }
  return Fd;
}

bool connectionPending(int Fd) {
  pollfd Poll = {Fd, POLLOUT, 0};
  return ::poll(&Poll, 1, 0) == 0;
}

std::string connectionFault(int Fd) {
  int Fault = 0;
  socklen_t Size = sizeof Fault;
  getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Fault, &Size);
  return Fault == 0 ? std::string() : faultText(Fault);
}

} // namespace vanillaferry
