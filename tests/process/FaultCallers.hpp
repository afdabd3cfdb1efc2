#pragma once

#include "RouterFleet.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace vanillaferry::tests {

/// When routers were killed. A caller whose router dies under it gets no
/// answer; nothing else excuses a missing one.
class RouterOutages {
public:
  void begin(std::size_t Router);
  void end(std::size_t Router);
  bool overlaps(std::size_t Router, double Start, double End) const;

private:
  struct Outage {
    std::size_t m_Router = 0;
    double m_Start = 0;
    double m_End = 0;
  };
  mutable std::mutex m_Mutex;
  std::vector<Outage> m_Outages;
};

/// Faults that threads found, for the main thread to report.
class FoundFaults {
public:
  void add(const std::string &Fault);
  std::vector<std::string> all() const;

private:
  mutable std::mutex m_Mutex;
  std::vector<std::string> m_Faults;
};

/// Operators that edit the document at the same time and twice, and callers
/// that send each journaled call to several routers. All of it is recorded in
/// the fleet's history.
class FaultCallers {
public:
  FaultCallers(RouterFleet &Fleet, const RouterOutages &Outages,
               FoundFaults &Found, std::size_t Routers, std::uint64_t Seed);
  ~FaultCallers();

  void stop();
  /// After the faults: each key ran as its answers said, and a key that was
  /// answered gets the same answer again.
  void checkOrders();
  std::string summary() const;

private:
  struct Order {
    std::string m_Body;
    std::string m_Answer;
    /// Every try was refused as not run.
    bool m_AllNotRun = true;
  };

  void operate(std::uint64_t Seed, std::size_t Operator);
  void editOnce(std::mt19937_64 &Random, const std::string &Section,
                const std::string &EditId);
  void sendOrders(std::uint64_t Seed, std::size_t Caller);
  void tryOrder(const std::string &Key, std::size_t Router, int Try);
  void noteOrder(const std::string &Key, std::size_t Router, int Try,
                 double Start, const OperatorReply &Reply);

  RouterFleet &m_Fleet;
  const RouterOutages &m_Outages;
  FoundFaults &m_Found;
  std::size_t m_Routers;
  std::atomic<bool> m_Stop{false};
  std::atomic<std::uint64_t> m_Edits{0};
  std::atomic<std::uint64_t> m_Accepted{0};
  std::atomic<std::uint64_t> m_Reads{0};
  std::mutex m_Mutex;
  std::map<std::string, Order> m_Orders;
  /// Refusals of journaled calls by reason.
  std::map<std::string, int> m_Refused;
  std::vector<std::thread> m_Threads;
};

} // namespace vanillaferry::tests
