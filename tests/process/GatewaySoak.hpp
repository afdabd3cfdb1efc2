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

/// Injects random faults from a seed into a gateway fleet, several at a time
/// and from outside its processes: signals, cut and delayed links, lost and
/// full disks, and faulty targets and target lists.
class GatewaySoak {
public:
  GatewaySoak(GatewayFleet &Fleet, FoundFaults &Found, std::uint64_t Seed);

  /// Injects faults for this time, then ends all of them.
  void run(double Seconds);
  /// Reports each process that exited without a fault being injected.
  void checkAlive();
  std::string summary() const;

private:
  struct Fault {
    std::string m_Component;
    double m_End = 0;
    std::function<void()> m_Undo;
  };

  void startRandomFault();
  void endExpiredFaults(double Now);
  void begin(const std::string &Name, const std::string &Component,
             double DurationMs, std::function<void()> Undo);
  bool isFaulty(const std::string &Name) const;
  std::size_t countFaulty(const std::string &Prefix) const;
  double randomBetween(double Low, double High);

  void faultKeeper();
  void killAllKeepers();
  void faultGateway();
  void faultTarget();
  void faultLink();
  void faultList();
  void checkUnexpectedExit(ChildProcess &Process, const std::string &Name);

  GatewayFleet &m_Fleet;
  FoundFaults &m_Found;
  std::mt19937_64 m_Random;
  std::list<Fault> m_Faults;
  /// No keeper's disk is lost or full before this time, so that the keeper that
  /// lost its disk last can catch up.
  double m_NextDiskFaultAt = 0;
  std::map<std::string, int> m_Counts;
};

} // namespace vanillaferry::tests
