#include "LoopbackFakes.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaferry::fakes {

namespace {

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

std::map<std::string, std::string> parseFields(const std::string &Head) {
  std::map<std::string, std::string> Fields;
  std::size_t At = Head.find("\r\n");
  while (At != std::string::npos && At + 2 < Head.size()) {
    std::size_t End = Head.find("\r\n", At + 2);
    std::string Line = Head.substr(At + 2, End - At - 2);
    std::size_t Colon = Line.find(": ");
    if (Colon != std::string::npos)
      Fields[lowerCase(Line.substr(0, Colon))] = Line.substr(Colon + 2);
    At = End;
  }
  return Fields;
}

/// Size of a whole request; 0 while it is not known.
std::size_t wholeSize(const std::string &Data) {
  std::size_t End = Data.find("\r\n\r\n");
  if (End == std::string::npos)
    return 0;
  std::map<std::string, std::string> Fields =
      parseFields(Data.substr(0, End + 2));
  std::size_t Body = 0;
  if (Fields.count("content-length"))
    Body = std::stoul(Fields["content-length"]);
  return End + 4 + Body;
}

bool isPoll(const std::string &Request) {
  return Request.compare(0, 9, "GET /load") == 0 ||
         Request.compare(0, 10, "GET /cache") == 0;
}

} // namespace

bool Connection::send(const std::string &Data) const {
  std::size_t Sent = 0;
  while (Sent < Data.size()) {
    ssize_t Count =
        ::send(m_Fd, Data.data() + Sent, Data.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

bool Connection::closedWithin(int Milliseconds) const {
  pollfd Poll = {m_Fd, POLLIN, 0};
  if (poll(&Poll, 1, Milliseconds) <= 0)
    return false;
  char Byte = 0;
  return recv(m_Fd, &Byte, 1, 0) <= 0;
}

FakeServer::FakeServer(std::function<void(Connection &)> Handler)
    : m_Handler(std::move(Handler)) {
  m_Listen = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(m_Listen, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
  listen(m_Listen, 128);
  socklen_t Size = sizeof Address;
  getsockname(m_Listen, reinterpret_cast<sockaddr *>(&Address), &Size);
  m_Port = ntohs(Address.sin_port);
  m_Accept = std::thread([this] { acceptAll(); });
}

FakeServer::~FakeServer() {
  shutdown(m_Listen, SHUT_RDWR);
  m_Accept.join();
  close(m_Listen);
  {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    for (int Fd : m_Open)
      shutdown(Fd, SHUT_RDWR);
  }
  for (std::thread &Thread : m_Threads)
    Thread.join();
}

std::vector<std::string> FakeServer::requests() {
  std::lock_guard<std::mutex> Guard(m_Mutex);
  return m_Requests;
}

void FakeServer::setLoadReport(const std::string &Body) {
  std::lock_guard<std::mutex> Guard(m_Mutex);
  m_LoadReport = Body;
}

void FakeServer::acceptAll() {
  for (;;) {
    int Fd = accept4(m_Listen, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0)
      return;
    std::lock_guard<std::mutex> Guard(m_Mutex);
    m_Open.push_back(Fd);
    m_Threads.emplace_back([this, Fd] { serve(Fd); });
  }
}

void FakeServer::serve(int Fd) {
  std::string Data;
  char Buffer[16384];
  while (wholeSize(Data) == 0 || Data.size() < wholeSize(Data)) {
    ssize_t Count = recv(Fd, Buffer, sizeof Buffer, 0);
    if (Count <= 0)
      break;
    Data.append(Buffer, static_cast<std::size_t>(Count));
  }
  if (!Data.empty()) {
    Connection Open;
    Open.m_Fd = Fd;
    Open.m_Request = Data;
    if (isPoll(Data)) {
      ++m_Polls;
      std::string Report = "{\"instance\":\"a\",\"running\":0,\"kv_used\":0}";
      std::size_t Size = Report.size() - 1;
      {
        std::lock_guard<std::mutex> Guard(m_Mutex);
        if (!m_LoadReport.empty()) {
          Report = m_LoadReport;
          Size = Report.size();
        }
      }
      Open.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                "Content-Length: " +
                std::to_string(Size) + "\r\nConnection: close\r\n\r\n" +
                Report);
    } else {
      {
        std::lock_guard<std::mutex> Guard(m_Mutex);
        m_Requests.push_back(Data);
      }
      Open.m_Number = ++m_Arrivals;
      m_Handler(Open);
    }
  }
  std::lock_guard<std::mutex> Guard(m_Mutex);
  m_Open.erase(std::find(m_Open.begin(), m_Open.end(), Fd));
  close(Fd);
}

int connectTo(std::uint16_t Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
  return Fd;
}

Answer parseAnswer(const std::string &Raw) {
  Answer Parsed;
  std::size_t End = Raw.find("\r\n\r\n");
  if (End == std::string::npos || Raw.size() < 12)
    return Parsed;
  Parsed.m_Status = std::stoi(Raw.substr(9, 3));
  Parsed.m_Fields = parseFields(Raw.substr(0, End + 2));
  std::string Body = Raw.substr(End + 4);
  if (Parsed.m_Fields.count("content-length")) {
    Parsed.m_Body = Body;
    Parsed.m_Whole =
        Body.size() >= std::stoul(Parsed.m_Fields["content-length"]);
    return Parsed;
  }
  std::size_t At = 0;
  while (At < Body.size()) {
    std::size_t Line = Body.find("\r\n", At);
    if (Line == std::string::npos)
      break;
    std::size_t Size = std::stoul(Body.substr(At, Line - At), nullptr, 16);
    if (Size == 0) {
      Parsed.m_Whole = true;
      break;
    }
    Parsed.m_Body += Body.substr(Line + 2, Size);
    At = Line + 2 + Size + 2;
  }
  return Parsed;
}

Answer readAnswer(int Fd) {
  std::string Raw;
  char Buffer[16384];
  for (;;) {
    ssize_t Count = recv(Fd, Buffer, sizeof Buffer, 0);
    if (Count <= 0)
      break;
    Raw.append(Buffer, static_cast<std::size_t>(Count));
    // Only answers without chunks keep their connection open.
    if (Raw.substr(0, 4096).find("Content-Length") != std::string::npos &&
        parseAnswer(Raw).m_Whole)
      break;
  }
  close(Fd);
  return parseAnswer(Raw);
}

std::string
requestText(const std::string &Method, const std::string &Path,
            const std::string &Body,
            const std::vector<std::pair<std::string, std::string>> &Fields) {
  std::string Text = Method + " " + Path + " HTTP/1.1\r\nHost: test\r\n";
  for (const std::pair<std::string, std::string> &Field : Fields)
    Text += Field.first + ": " + Field.second + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string streamHead(const std::string &RequestId) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "X-Request-Id: " +
         RequestId + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string &Data) {
  char Size[32];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Data.size());
  return Size + Data + "\r\n";
}

std::string tokenEvent(int Number) {
  return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t" +
         std::to_string(Number) + " \"}}]}\n\n";
}

std::string fieldIn(const std::string &Request, const std::string &Name) {
  std::map<std::string, std::string> Fields =
      parseFields(Request.substr(0, Request.find("\r\n\r\n") + 2));
  return Fields[lowerCase(Name)];
}

} // namespace vanillaferry::fakes
