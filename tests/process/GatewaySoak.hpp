#pragma once

#include "FaultCallers.hpp"
#include "GatewayFleet.hpp"

#include <functional>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>

namespace vanillaferry::tests {

/// Injects faults into a gateway fleet from outside its processes, several at a
/// time, by a seed: signals, cut and delayed links, lost and full disks, and
/// targets and a target list that misbehave.
class GatewaySoak {
public:
  GatewaySoak(GatewayFleet &Fleet, FoundFaults &Found, std::uint64_t Seed);

  /// Runs for this time, then ends every fault.
  void run(double Seconds);
  /// Reports each process that ended without being told to.
  void checkAlive();
  std::string summary() const;

private:
  struct Fault {
    std::string m_Held;
    double m_End = 0;
    std::function<void()> m_Undo;
  };

  void startOne();
  void endDue(double Now);
  void begin(const std::string &Name, const std::string &Held, double LastMs,
             std::function<void()> Undo);
  bool isHeld(const std::string &Name) const;
  std::size_t heldWith(const std::string &Prefix) const;
  double between(double Low, double High);

  void faultKeeper();
  void killAllKeepers();
  void faultGateway();
  void faultTarget();
  void faultLink();
  void faultList();
  void endByItself(ChildProcess &Process, const std::string &Name);

  GatewayFleet &m_Fleet;
  FoundFaults &m_Found;
  std::mt19937_64 m_Random;
  std::list<Fault> m_Faults;
  /// No keeper's disk is lost before this time: one that lost it catches up.
  double m_DiskFreeAt = 0;
  std::map<std::string, int> m_Counts;
};

} // namespace vanillaferry::tests
