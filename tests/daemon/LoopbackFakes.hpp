#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace vanillaferry::fakes {

/// One accepted connection of a FakeServer; blocking.
struct Connection {
  int m_Fd = -1;
  /// Head and body as they arrived.
  std::string m_Request;
  /// Number of this request at the server, from 1.
  int m_Number = 0;

  bool send(const std::string &Data) const;
  /// True when the other end closed within this time.
  bool closedWithin(int Milliseconds) const;
};

/// A server whose handler does what a test wants: it gets each request whole
/// and may send, wait, close or stay silent. One thread for each connection.
class FakeServer {
public:
  explicit FakeServer(std::function<void(Connection &)> Handler);
  ~FakeServer();

  std::uint16_t port() const { return m_Port; }
  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(m_Port);
  }
  /// Requests for anything but load reports and cache events.
  int arrivals() const { return m_Arrivals; }
  std::vector<std::string> requests();
  /// Requests for load reports and cache events.
  int polls() const { return m_Polls; }
  /// Body of all later load reports, in place of one that cannot be read.
  void setLoadReport(const std::string &Body);

private:
  void acceptAll();
  void serve(int Fd);

  std::function<void(Connection &)> m_Handler;
  int m_Listen = -1;
  std::uint16_t m_Port = 0;
  std::atomic<int> m_Arrivals{0};
  std::atomic<int> m_Polls{0};
  std::string m_LoadReport;
  std::mutex m_Mutex;
  std::vector<std::thread> m_Threads;
  std::vector<int> m_Open;
  std::vector<std::string> m_Requests;
  std::thread m_Accept;
};

/// An answer as a caller sees it.
struct Answer {
  int m_Status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> m_Fields;
  /// Without chunk framing.
  std::string m_Body;
  /// The body ended as its framing says, not by a closed connection.
  bool m_Whole = false;
};

int connectTo(std::uint16_t Port);
/// Reads until the other end closes or the answer is whole.
Answer readAnswer(int Fd);
Answer parseAnswer(const std::string &Raw);

/// Text of a request with a Content-Length.
std::string
requestText(const std::string &Method, const std::string &Path,
            const std::string &Body,
            const std::vector<std::pair<std::string, std::string>> &Fields);

/// Head of a chunked event stream for a request id.
std::string streamHead(const std::string &RequestId);
std::string chunk(const std::string &Data);
/// Event number N with the text "tN ".
std::string tokenEvent(int Number);
/// Value of a header field in a request; empty when missing.
std::string fieldIn(const std::string &Request, const std::string &Name);

} // namespace vanillaferry::fakes
