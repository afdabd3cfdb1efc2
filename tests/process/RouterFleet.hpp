#pragma once

#include "ProcessFleet.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillaferry::tests {

/// What a fleet is made of.
struct FleetPlan {
  std::size_t m_Keepers = 3;
  std::size_t m_Routers = 3;
  /// Engines stand in zones "north" and "south" in turn.
  std::size_t m_Engines = 4;
  std::uint32_t m_TokenIntervalMs = 10;
  std::uint32_t m_ColdLimit = 0;
  std::uint32_t m_MaxConcurrent = 32;
  bool m_Platform = false;
  /// Lag of the VM list that each router reads; 0 for routers not named.
  std::vector<int> m_ListLagMs = {};
  /// Links to keepers, routers and engines run through proxies.
  bool m_Proxied = false;
  /// This engine's KV cache cannot be exported; none by default.
  std::size_t m_WithoutExport = SIZE_MAX;
  std::vector<std::string> m_EngineArguments = {};
};

/// Result of one load run.
struct LoadReport {
  nlohmann::json m_Figures;
  int m_ExitCode = -1;

  std::uint64_t number(const char *Name) const {
    return m_Figures.value(Name, std::uint64_t(0));
  }
};

/// A whole fleet of real processes on 127.0.0.1, with its document in force.
class RouterFleet {
public:
  explicit RouterFleet(FleetPlan Plan);

  KeeperFleet &keepers() { return m_Keepers; }
  ChildProcess &router(std::size_t Index) { return m_Routers[Index].m_Process; }
  ChildProcess &engine(std::size_t Index) { return m_Engines[Index].m_Process; }
  /// Only with m_Proxied.
  LinkProxy &routerLink(std::size_t Index) { return *m_Routers[Index].m_Link; }
  LinkProxy &engineLink(std::size_t Index) { return *m_Engines[Index].m_Link; }
  std::string routerUrl(std::size_t Index) const;
  std::string engineUrl(std::size_t Index) const;
  std::string serviceUrl() const;
  std::string platformUrl() const;
  std::string routerOutput(std::size_t Index) const;

  void startRouter(std::size_t Index);
  void startEngine(std::size_t Index);
  bool waitReady(std::size_t Index, int LimitMs = 15000) const;

  /// Starts the load generator against these routers; finishLoad waits for it.
  void startLoad(const std::vector<std::size_t> &Routers, double Rate,
                 double Seconds, const std::vector<std::string> &More = {});
  LoadReport finishLoad(int LimitMs = 60000);

  /// Edits a section and waits until it is in force.
  OperatorReply editInForce(const std::string &Section, std::uint64_t Expected,
                            const nlohmann::json &Content);
  /// One edit that does not wait until it is in force; its answer goes into the
  /// history.
  OperatorReply recordedEdit(const std::string &Section, std::uint64_t Expected,
                             const std::string &EditId,
                             const nlohmann::json &Content, int LimitMs);
  /// Edits one zone's state and returns when the edit was answered.
  OperatorReply setZone(const std::string &Zone, bool InService);
  /// Replaces the platform's VM list; each engine is VM "vm-engine-N".
  void setVmState(std::size_t Engine, const std::string &State);

  OperatorReply call(std::size_t Router, const OperatorRequest &Request,
                     int LimitMs = 10000) const;
  /// A journaled call to the service; the key is stated with the time now.
  OperatorReply order(std::size_t Router, const std::string &Key,
                      const std::string &Body, int LimitMs = 10000) const;
  nlohmann::json statsOf(const std::string &BaseUrl) const;
  void fault(const std::string &BaseUrl, const nlohmann::json &Fault) const;
  /// Sum of one counter of /metrics over all running routers.
  double counter(const std::string &Name) const;

  /// Adds a line to the history of the run; any thread may.
  void note(const nlohmann::json &Line);
  /// Runs check-history over everything recorded; returns its exit code and
  /// leaves its report in the folder.
  int checkHistory();
  /// The calls that the load generators recorded, one JSON object a line.
  std::string recordedCalls() const;
  /// The runs that the engines recorded, in the same form.
  std::string recordedRuns() const;
  /// Takes the place of the recorded calls in checkHistory.
  void replaceRecordedCalls(const std::string &Lines);
  std::string historyReport() const;

private:
  struct Part {
    std::uint16_t m_Port = 0;
    std::uint16_t m_PeerPort = 0;
    /// Port of the proxy, or the port itself without one: the peer port of a
    /// router, the HTTP port of an engine.
    std::uint16_t m_LinkPort = 0;
    std::unique_ptr<LinkProxy> m_Link;
    ChildProcess m_Process;
  };

  void writeRouterSettings(std::size_t Index);
  void link(Part &Linked, std::uint16_t Target) const;
  void putDocument();
  void put(const std::string &Section, const nlohmann::json &Content);
  nlohmann::json servicesSection() const;
  std::string path(const std::string &Name) const;

  FleetPlan m_Plan;
  KeeperFleet m_Keepers;
  std::vector<Part> m_Routers;
  std::vector<Part> m_Engines;
  Part m_Service;
  Part m_Platform;
  std::vector<std::string> m_VmStates;
  ChildProcess m_Load;
  std::size_t m_LoadRuns = 0;
  std::mutex m_NotesMutex;
  std::uint64_t m_ZonesVersion = 0;
};

/// Milliseconds of CLOCK_MONOTONIC, as histories use it.
double historyNow();

} // namespace vanillaferry::tests
