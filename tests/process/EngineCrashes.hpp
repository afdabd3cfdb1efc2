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
/// The users' time between a target's notice and the last request.
constexpr double DrainMs = 3000;

void pauseFor(double Ms);

/// Sound requests, beside others that end what runs them.
struct CrashRecord {
  std::vector<CallRecord> m_Sound;
  std::vector<CallRecord> m_Bad;
  std::vector<TargetRun> m_Runs;
  std::vector<EngineCrash> m_Crashes;
  /// When the bad requests began and stopped.
  double m_BadFrom = 0;
  double m_BadUntil = 0;
  /// Time before m_BadFrom with which the sound requests are compared.
  double m_CalmMs = ContactMs / 2;
  /// Number of the crash from which on the users' rule counts.
  std::size_t m_CountedCrash = 0;
};

/// Checks the users' rules: at most three bad requests run later than the time
/// of contact after the counted crash, and from twice that time on sound ones
/// begin at least half as often as before.
void checkCrashes(const CrashRecord &Record);

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
