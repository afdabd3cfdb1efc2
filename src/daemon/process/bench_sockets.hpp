#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace vanillaferry {

struct BenchOptions {
  std::uint32_t m_Streams = 750;
  std::uint32_t m_EventsPerSecond = 18000;
  std::uint32_t m_Seconds = 5;
};

/// Sends paced events over many streams, as an engine does; its own thread.
class BenchEngine {
public:
  explicit BenchEngine(const BenchOptions &Options);
  ~BenchEngine();
  std::uint16_t port() const { return m_Port; }
  std::uint32_t streams() const { return m_Open; }
  /// Processor time of the thread so far.
  double cpuSeconds() const;
  /// Begins to send events over all open streams.
  void startPacing() { m_Pacing = true; }

private:
  void run();
  void acceptStreams(std::vector<int> &Fds);

  BenchOptions m_Options;
  int m_Listen = -1;
  std::uint16_t m_Port = 0;
  std::atomic<std::uint32_t> m_Open{0};
  std::atomic<bool> m_Pacing{false};
  std::atomic<bool> m_Stop{false};
  std::thread m_Thread;
};

/// Opens the streams as callers do and counts events; its own thread.
class BenchCallers {
public:
  BenchCallers(const BenchOptions &Options, std::uint16_t Port,
               std::string Request);
  ~BenchCallers();
  std::uint64_t events() const { return m_Events; }
  /// Processor time of the thread so far.
  double cpuSeconds() const;

private:
  void run();

  BenchOptions m_Options;
  std::uint16_t m_Port = 0;
  std::string m_Request;
  std::atomic<std::uint64_t> m_Events{0};
  std::atomic<bool> m_Stop{false};
  std::thread m_Thread;
};

/// Copies bytes both ways between accepted connections and new ones to a port:
/// what any relay over these sockets costs at least; its own thread.
class BenchCopyLoop {
public:
  explicit BenchCopyLoop(std::uint16_t To);
  ~BenchCopyLoop();
  std::uint16_t port() const { return m_Port; }
  /// Processor time of the thread so far.
  double cpuSeconds() const;

private:
  void run(std::uint16_t To);

  int m_Listen = -1;
  std::uint16_t m_Port = 0;
  std::atomic<bool> m_Stop{false};
  std::thread m_Thread;
};

/// An engine that answers each chat request at once with a short stream; its
/// own thread.
class BenchAnswerer {
public:
  BenchAnswerer();
  ~BenchAnswerer();
  std::uint16_t port() const { return m_Port; }

private:
  void run();

  int m_Listen = -1;
  std::uint16_t m_Port = 0;
  std::atomic<bool> m_Stop{false};
  std::thread m_Thread;
};

/// Microseconds from connecting to the end of the answer's stream; negative
/// when the stream does not end with "[DONE]".
double requestTimeUs(std::uint16_t Port, const std::string &Request);

/// User and system time of the process (getrusage).
double processCpuSeconds();

} // namespace vanillaferry
