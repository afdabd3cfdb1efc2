#pragma once

#include "FaultCallers.hpp"
#include "RouterFleet.hpp"

#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace vanillaferry::tests {

/// Starts and ends faults of a running fleet by a seed; several at a time, but
/// never more keepers than leave a quorum.
class FaultSchedule {
public:
  FaultSchedule(RouterFleet &Fleet, FleetPlan Plan, RouterOutages &Outages,
                FoundFaults &Found, std::uint64_t Seed);
  ~FaultSchedule();

  /// Runs for this time, then ends every fault.
  void run(double Seconds);
  /// Reports each process that ended without being told to.
  void checkAlive();
  std::string summary() const;

private:
  /// A fault that lasts until a time, or until its thread is done.
  struct Fault {
    std::string m_Name;
    double m_End = 0;
    std::function<void()> m_Undo;
    /// Holds a keeper, "router-1" and so on; one fault at a time.
    std::string m_Held;
  };

  void startOne();
  void endDue(double Now);
  void begin(const std::string &Name, const std::string &Held, double LastMs,
             std::function<void()> Undo);
  bool held(const std::string &Name) const;
  std::size_t heldWith(const std::string &Prefix) const;
  double between(double Low, double High);

  void faultKeeper();
  void replaceKeeper(std::size_t Index);
  void faultRouter();
  void faultEngine();
  void faultStreams();
  void faultService();
  void takeZoneOut();
  void editZone(const std::string &Zone, bool InService);
  void leaveVm();
  void expectAlive(ChildProcess &Process, const std::string &Name);

  RouterFleet &m_Fleet;
  FleetPlan m_Plan;
  RouterOutages &m_Outages;
  FoundFaults &m_Found;
  std::mt19937_64 m_Random;
  std::list<Fault> m_Faults;
  std::vector<std::string> m_KeeperIds;
  double m_KeeperFreeAt = 0;
  std::atomic<bool> m_KeeperThread{false};
  std::atomic<bool> m_ZoneThread{false};
  std::string m_ZoneOut;
  std::uint64_t m_ZonesVersion = 1;
  std::vector<std::thread> m_Threads;
  std::map<std::string, int> m_Counts;
};

} // namespace vanillaferry::tests
