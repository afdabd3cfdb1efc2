#pragma once

#include "GatewayCallers.hpp"
#include "RouterFleet.hpp"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace vanillaferry::tests {

constexpr int StartLimitMs = 20000;
/// The users' time for what one machine learns to reach the others.
constexpr double ContactMs = 3000;

void pauseFor(double Ms);

/// Time of a crash by its number from 1, or of the last one when there are
/// fewer.
double crashTime(const std::vector<EngineCrash> &Crashes, std::size_t Number);

/// Share of the requests sent in a span of time that an engine began to run.
double shareRun(const std::vector<CallRecord> &Calls,
                const std::vector<TargetRun> &Runs, double From, double Until);

/// Runs of these calls that began after a time, each repeat counted.
std::size_t runsAfter(const std::vector<CallRecord> &Calls,
                      const std::vector<TargetRun> &Runs, double At);

/// The runs in the engines' records.
std::vector<TargetRun> recordedRuns(const std::string &Lines);

/// Starts engines again some time after they ended by themselves.
class EngineRestarts {
public:
  EngineRestarts(RouterFleet &Fleet, std::size_t Engines);
  ~EngineRestarts() { stop(); }

  void stop();
  /// Only after stop().
  const std::vector<EngineCrash> &crashes() const { return m_Crashes; }
  std::size_t count() const { return m_Count; }

private:
  void run(std::size_t Engines);

  RouterFleet &m_Fleet;
  std::vector<EngineCrash> m_Crashes;
  std::atomic<std::size_t> m_Count{0};
  std::atomic<bool> m_Stop{false};
  std::thread m_Thread;
};

/// What a group of chat callers sends.
struct ChatOptions {
  /// Second message of the chats.
  std::string m_Subject;
  double m_PauseMs = 40;
  /// Last message of all chats, which then are the same request; each has its
  /// own when this is empty.
  std::string m_Repeated;
};

/// Sends chats of one subject to all routers in turn.
class ChatCallers {
public:
  ChatCallers(RouterFleet &Fleet, std::size_t Routers, ChatOptions Options);
  ~ChatCallers() { stop(); }

  void stop();
  std::vector<CallRecord> calls() const;

private:
  void run(int Caller);

  RouterFleet &m_Fleet;
  std::size_t m_Routers;
  ChatOptions m_Options;
  std::atomic<bool> m_Stop{false};
  mutable std::mutex m_Mutex;
  std::vector<CallRecord> m_Calls;
  std::vector<std::thread> m_Threads;
};

} // namespace vanillaferry::tests
