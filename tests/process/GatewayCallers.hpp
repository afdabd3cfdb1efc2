#pragma once

#include "FaultCallers.hpp"
#include "GatewayFleet.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace vanillaferry::tests {

enum class CallEnding {
  /// The whole answer of a target, of any status.
  Whole,
  /// A refusal that states that the request has not run and never will.
  Refused,
  /// A failure that says nothing of the kind.
  Failed,
  /// The connection ended before the answer did.
  Closed,
  /// The caller waited to its deadline.
  TimedOut,
};

/// One request as its caller saw it.
struct CallRecord {
  std::string m_Id;
  CallKind m_Kind = CallKind::Lookup;
  std::string m_Key;
  std::size_t m_Gateway = 0;
  double m_Start = 0;
  double m_End = 0;
  CallEnding m_Ending = CallEnding::Closed;
  int m_Status = 0;
};

/// Callers that send requests of all kinds to all gateways, over connections
/// that they keep open as long as the gateway does, and check each answer.
class GatewayCallers {
public:
  GatewayCallers(GatewayFleet &Fleet, FoundFaults &Found, std::size_t Count,
                 std::uint64_t Seed);
  ~GatewayCallers();

  void stop();
  std::vector<CallRecord> calls() const;

private:
  struct Connection {
    int m_Socket = -1;
    std::string m_Buffer;
  };

  void run(std::uint64_t Seed, std::size_t Caller);
  void call(Connection &Open, CallRecord &Record);
  void readAnswer(Connection &Open, CallRecord &Record);
  void judge(CallRecord &Record, const FakeRequest &Head,
             const std::string &Body, bool Complete);

  GatewayFleet &m_Fleet;
  FoundFaults &m_Found;
  std::atomic<bool> m_Stop{false};
  mutable std::mutex m_Mutex;
  std::vector<CallRecord> m_Calls;
  std::vector<std::thread> m_Threads;
};

/// A change that an operator's order made, from its acknowledgement on.
struct AcknowledgedChange {
  std::string m_What;
  double m_From = 0;
  /// When the order that takes it back was sent.
  double m_Until = 0;
};

/// An operator that replaces the manifest, also in races and with resends,
/// takes keys away and zones out of service, and reads the manifest back.
class GatewayOperator {
public:
  GatewayOperator(GatewayFleet &Fleet, FoundFaults &Found, std::uint64_t Seed);
  ~GatewayOperator();

  /// The first manifest; returns false when no keeper took it in time.
  bool begin(int LimitMs);
  void start();
  /// Stops and puts all zones back into service.
  void stop();
  /// Reads the manifest until it is answered and compares it with what was
  /// acknowledged.
  void checkManifest(int LimitMs);

  std::vector<AcknowledgedChange> zonesOut() const { return m_ZonesOut; }
  std::vector<AcknowledgedChange> revokedKeys() const { return m_Revoked; }
  /// Keys that are missing in the newest manifest.
  const std::set<std::string> &removedKeys() const { return m_RevokedKeys; }

private:
  void run();
  void changeManifest();
  void changeZone();
  void readManifest();
  bool put(std::uint64_t Version, const std::string &Text, int LimitMs);

  GatewayFleet &m_Fleet;
  FoundFaults &m_Found;
  std::mt19937_64 m_Random;
  std::atomic<bool> m_Stop{false};
  std::thread m_Thread;
  std::uint64_t m_Version = 0;
  /// Highest version that was acknowledged.
  std::uint64_t m_Accepted = 0;
  /// Every manifest that was sent, by version.
  std::map<std::uint64_t, nlohmann::json> m_Sent;
  std::set<std::string> m_RevokedKeys;
  std::string m_ZoneOut;
  std::vector<AcknowledgedChange> m_ZonesOut;
  std::vector<AcknowledgedChange> m_Revoked;
};

/// Compares what the targets ran with what callers and the operator saw.
void checkRuns(const std::vector<TargetRun> &Runs,
               const std::vector<CallRecord> &Calls,
               const GatewayOperator &Operator, FoundFaults &Found);

} // namespace vanillaferry::tests
