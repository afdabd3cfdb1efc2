#pragma once

#include "connection/operator_client.hpp"
#include "process/LinkProxy.hpp"
#include "process/settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace vanillaferry::tests {

/// A folder below the system's temporary folder, removed at the end.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  const std::string &path() const { return m_Path; }

private:
  std::string m_Path;
};

/// A free port of 127.0.0.1. No port is returned twice by one test program.
std::uint16_t freePort();

/// One child process, started and signalled by its id; killed at the end. Its
/// output goes to the file given, in append mode.
class ChildProcess {
public:
  ChildProcess() = default;
  ~ChildProcess();
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&Other) noexcept;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// With FileSizeLimit, writes beyond that many bytes of a file fail, as on a
  /// full disk; with DescriptorLimit, the process has that many descriptors.
  void start(const std::string &Binary,
             const std::vector<std::string> &Arguments,
             const std::string &OutputPath, std::int64_t FileSizeLimit = 0,
             std::int64_t DescriptorLimit = 0);
  bool started() const { return m_Pid > 0; }
  pid_t pid() const { return m_Pid; }
  void signal(int Number) const;
  /// SIGKILL, and waits for the end.
  void kill();
  /// SIGSTOP, and waits until the process is stopped.
  void freeze() const;
  void thaw() const;
  /// Exit code, or -1 when it still runs after the limit, or 128 plus the
  /// signal's number.
  int waitForExit(int LimitMs);

private:
  pid_t m_Pid = 0;
};

/// Calls the function every 20 ms until it is true or the limit passes.
bool waitUntil(const std::function<bool()> &Condition, int LimitMs);

std::string readWholeFile(const std::string &Path);
void writeWholeFile(const std::string &Path, const std::string &Text);

/// One HTTP request without redirects; status 0 when there is no answer.
OperatorReply httpCall(const std::string &BaseUrl,
                       const OperatorRequest &Request, int LimitMs = 5000,
                       const std::string &Token = "operator-token");

/// Keepers of one fleet on 127.0.0.1 with their folders and settings files.
class KeeperFleet {
public:
  /// Writes the settings of Count keepers; starts none. Extra is merged into
  /// each keeper's settings. With Proxied, every link to a keeper runs through
  /// a proxy that can cut it.
  explicit KeeperFleet(std::size_t Count,
                       const nlohmann::json &Extra = nlohmann::json::object(),
                       bool Proxied = false);

  std::size_t size() const { return m_Keepers.size(); }
  void start(std::size_t Index, bool Initialize = false,
             std::int64_t FileSizeLimit = 0, std::int64_t DescriptorLimit = 0);
  void startAll(bool Initialize = false);
  void wipe(std::size_t Index);
  ChildProcess &process(std::size_t Index) {
    return m_Keepers[Index].m_Process;
  }
  /// Only with Proxied.
  LinkProxy &link(std::size_t Index) { return *m_Keepers[Index].m_Link; }
  std::string httpUrl(std::size_t Index) const;
  std::string peerUrl(std::size_t Index) const;
  std::string dataFolder(std::size_t Index) const;
  std::string output(std::size_t Index) const;
  const std::string &folder() const { return m_Folder.path(); }

  /// Settings file of kind "operator" and its content.
  std::string operatorSettingsPath() const;
  OperatorCliSettings operatorSettings() const;

  /// Index of the keeper that answers a confirmed status, or size().
  std::size_t leader() const;
  /// Waits for a leader; size() when there is none in time.
  std::size_t waitForLeader(int LimitMs = 15000) const;
  /// What one keeper knows itself; null without an answer.
  nlohmann::json localStatus(std::size_t Index) const;

  /// A PUT by way of any keeper, as the command line does it.
  OperatorReply edit(const std::string &Section, std::uint64_t Expected,
                     const std::string &EditId, const nlohmann::json &Content,
                     int LimitMs = 20000) const;
  OperatorReply get(const std::string &Path, int LimitMs = 15000) const;

private:
  struct KeeperProcess {
    std::string m_Name;
    std::uint16_t m_HttpPort = 0;
    std::uint16_t m_PeerPort = 0;
    /// Port of the proxy, or the peer port itself.
    std::uint16_t m_LinkPort = 0;
    std::unique_ptr<LinkProxy> m_Link;
    ChildProcess m_Process;
  };

  std::string settingsPath(std::size_t Index) const;
  nlohmann::json settingsOf(std::size_t Index) const;

  TemporaryFolder m_Folder;
  std::vector<KeeperProcess> m_Keepers;
};

/// Content of section "zones" that carries a number in a zone's name.
nlohmann::json zonesWith(const std::string &Zone, bool InService = true);

} // namespace vanillaferry::tests
