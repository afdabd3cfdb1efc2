#pragma once

#include "LinkProxy.hpp"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace vanillaferry::tests {

/// What one caller of a crowd sends: a head, then one unit some times. It then
/// leaves its connection open, reads what comes and sends nothing more.
struct CrowdScript {
  std::string m_Head;
  std::string m_Unit;
  std::size_t m_Units = 0;
  /// Sent after the last unit.
  std::string m_Tail = {};
  /// Pause between two units.
  std::chrono::milliseconds m_Pause{0};
  /// False for a caller that reads nothing of its answers.
  bool m_Reads = true;
};

/// Callers that nobody controls. One thread keeps a connection for each script;
/// a connection that the process closes comes back shortly afterwards.
class CallerCrowd {
public:
  /// Each script is used by Each connections.
  CallerCrowd(const LoopbackAddress &To,
              const std::vector<CrowdScript> &Scripts, std::size_t Each);
  ~CallerCrowd();
  CallerCrowd(const CallerCrowd &) = delete;
  CallerCrowd &operator=(const CallerCrowd &) = delete;

  /// Waits until each connection has sent all of its script or was closed.
  bool waitUntilSent(int LimitMs) const;
  /// Closes all connections.
  void stop();

private:
  using Clock = std::chrono::steady_clock;
  struct Member {
    const CrowdScript *m_Script = nullptr;
    int m_Socket = -1;
    /// Bytes of the script that were sent.
    std::size_t m_Sent = 0;
    Clock::time_point m_NextAt;
    /// Has sent all of its script or was closed once.
    bool m_Played = false;
  };

  void run();
  void open(Member &Each, Clock::time_point Now);
  void send(Member &Each, Clock::time_point Now);
  /// Reads and drops what came; closes a connection that has ended.
  void drain(Member &Each, Clock::time_point Now);
  void close(Member &Each, Clock::time_point Now);
  void notePlayed(Member &Each);

  LoopbackAddress m_To;
  std::vector<CrowdScript> m_Scripts;
  std::vector<Member> m_Members;
  std::atomic<std::size_t> m_Played{0};
  std::atomic<bool> m_Stop{false};
  std::thread m_Thread;
};

} // namespace vanillaferry::tests
