#include "process/ProcessFleet.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace vanillaferry::tests {

namespace {

using nlohmann::json;

constexpr const char *Token = "operator-token";
/// SHA-256 of Token.
constexpr const char *TokenSha256 =
    "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";

std::string urlOf(const char *Scheme, std::uint16_t Port) {
  return std::string(Scheme) + "://127.0.0.1:" + std::to_string(Port);
}

} // namespace

TemporaryFolder::TemporaryFolder() {
  std::string Pattern =
      std::filesystem::temp_directory_path() / "vanillaferry-XXXXXX";
  if (!::mkdtemp(Pattern.data()))
    throw std::runtime_error("cannot create a temporary folder");
  m_Path = Pattern;
}

TemporaryFolder::~TemporaryFolder() {
  // For the search of a fault after a random run.
  if (std::getenv("VANILLAFERRY_KEEP_FOLDERS"))
    return;
  std::error_code Ignored;
  std::filesystem::remove_all(m_Path, Ignored);
}

std::uint16_t freePort() {
  // Below the range of outgoing connections, which could take a port between
  // this check and the child's listen; test programs that run side by side
  // begin at different places.
  constexpr std::uint32_t First = 10000;
  constexpr std::uint32_t Count = 22000;
  static std::uint32_t Next = static_cast<std::uint32_t>(::getpid()) * 2003U;
  for (std::uint32_t Try = 0; Try < Count; ++Try) {
    std::uint16_t Port = static_cast<std::uint16_t>(First + Next++ % Count);
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    int On = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Port);
    bool Free = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                       sizeof Address) == 0;
    ::close(Socket);
    if (Free)
      return Port;
  }
  throw std::runtime_error("cannot find a free port");
}

ChildProcess::~ChildProcess() { kill(); }

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept : m_Pid(Other.m_Pid) {
  Other.m_Pid = 0;
}

ChildProcess &ChildProcess::operator=(ChildProcess &&Other) noexcept {
  if (this != &Other) {
    kill();
    m_Pid = Other.m_Pid;
    Other.m_Pid = 0;
  }
  return *this;
}

void ChildProcess::start(const std::string &Binary,
                         const std::vector<std::string> &Arguments,
                         const std::string &OutputPath,
                         std::int64_t FileSizeLimit,
                         std::int64_t DescriptorLimit) {
  kill();
  std::vector<char *> Argv;
  Argv.push_back(const_cast<char *>(Binary.c_str()));
  for (const std::string &Argument : Arguments)
    Argv.push_back(const_cast<char *>(Argument.c_str()));
  Argv.push_back(nullptr);
  int Output = ::open(OutputPath.c_str(),
                      O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  m_Pid = ::fork();
  if (m_Pid != 0) {
    ::close(Output);
    return;
  }
  if (FileSizeLimit > 0) {
    rlimit Limit = {static_cast<rlim_t>(FileSizeLimit),
                    static_cast<rlim_t>(FileSizeLimit)};
    ::setrlimit(RLIMIT_FSIZE, &Limit);
    // The write fails with an error in place of a signal.
    ::signal(SIGXFSZ, SIG_IGN);
  }
  if (DescriptorLimit > 0) {
    rlimit Limit = {static_cast<rlim_t>(DescriptorLimit),
                    static_cast<rlim_t>(DescriptorLimit)};
    ::setrlimit(RLIMIT_NOFILE, &Limit);
  }
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::execv(Binary.c_str(), Argv.data());
  ::_exit(127);
}

void ChildProcess::signal(int Number) const {
  if (m_Pid > 0)
    ::kill(m_Pid, Number);
}

void ChildProcess::kill() {
  if (m_Pid <= 0)
    return;
  ::kill(m_Pid, SIGKILL);
  ::waitpid(m_Pid, nullptr, 0);
  m_Pid = 0;
}

void ChildProcess::freeze() const {
  signal(SIGSTOP);
  ::waitpid(m_Pid, nullptr, WUNTRACED);
}

void ChildProcess::thaw() const { signal(SIGCONT); }

int ChildProcess::waitForExit(int LimitMs) {
  int Code = -1;
  waitUntil(
      [&] {
        int State = 0;
        if (m_Pid <= 0 || ::waitpid(m_Pid, &State, WNOHANG) != m_Pid)
          return m_Pid <= 0;
        Code = WIFEXITED(State) ? WEXITSTATUS(State) : 128 + WTERMSIG(State);
        m_Pid = 0;
        return true;
      },
      LimitMs);
  return Code;
}

bool waitUntil(const std::function<bool()> &Condition, int LimitMs) {
  std::chrono::steady_clock::time_point End =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(LimitMs);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

std::string readWholeFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void writeWholeFile(const std::string &Path, const std::string &Text) {
  std::ofstream(Path) << Text;
}

OperatorReply httpCall(const std::string &BaseUrl,
                       const OperatorRequest &Request, int LimitMs,
                       const std::string &Token) {
  return callUrl(BaseUrl, Token, Request, Millis(LimitMs));
}

KeeperFleet::KeeperFleet(std::size_t Count, const json &Extra, bool Proxied) {
  m_Keepers.resize(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    m_Keepers[Index].m_Name = "k" + std::to_string(Index + 1);
    m_Keepers[Index].m_HttpPort = freePort();
    KeeperProcess &Keeper = m_Keepers[Index];
    Keeper.m_PeerPort = freePort();
    Keeper.m_LinkPort = Proxied ? freePort() : Keeper.m_PeerPort;
    if (Proxied)
      Keeper.m_Link =
          std::make_unique<LinkProxy>(Keeper.m_LinkPort, Keeper.m_PeerPort);
  }
  json Urls = json::array();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    json Settings = settingsOf(Index);
    Settings.update(Extra);
    writeWholeFile(settingsPath(Index), Settings.dump(2));
    Urls.push_back(httpUrl(Index));
  }
  writeWholeFile(
      operatorSettingsPath(),
      json{{"kind", "operator"}, {"keepers", Urls}, {"token", Token}}.dump(2));
}

json KeeperFleet::settingsOf(std::size_t Index) const {
  json Initial = json::array();
  for (std::size_t Other = 0; Other < m_Keepers.size(); ++Other)
    Initial.push_back(
        {{"keeper", m_Keepers[Other].m_Name}, {"peer_url", peerUrl(Other)}});
  const KeeperProcess &Own = m_Keepers[Index];
  return {{"kind", "keeper"},
          {"keeper", Own.m_Name},
          {"vm", "vm-" + Own.m_Name},
          {"zone", "zone-" + Own.m_Name},
          {"http", {{"address", "127.0.0.1"}, {"port", Own.m_HttpPort}}},
          {"peer",
           {{"address", "127.0.0.1"},
            {"port", Own.m_PeerPort},
            {"url", peerUrl(Index)}}},
          {"data_folder", dataFolder(Index)},
          {"initial_keepers", Initial},
          {"operators", json::array({{{"operator", "ops"},
                                      {"token_sha256", TokenSha256},
                                      {"sections", json::array({"*"})}}})}};
}

void KeeperFleet::start(std::size_t Index, bool Initialize,
                        std::int64_t FileSizeLimit,
                        std::int64_t DescriptorLimit) {
  std::vector<std::string> Arguments = {"keeper", "--settings",
                                        settingsPath(Index)};
  if (Initialize)
    Arguments.push_back("--initialize");
  m_Keepers[Index].m_Process.start(VANILLAFERRY_BINARY, Arguments,
                                   m_Folder.path() + "/" +
                                       m_Keepers[Index].m_Name + ".log",
                                   FileSizeLimit, DescriptorLimit);
}

void KeeperFleet::startAll(bool Initialize) {
  for (std::size_t Index = 0; Index < m_Keepers.size(); ++Index)
    start(Index, Initialize);
}

void KeeperFleet::wipe(std::size_t Index) {
  std::filesystem::remove_all(dataFolder(Index));
}

std::string KeeperFleet::httpUrl(std::size_t Index) const {
  return urlOf("http", m_Keepers[Index].m_HttpPort);
}

std::string KeeperFleet::peerUrl(std::size_t Index) const {
  return urlOf("ws", m_Keepers[Index].m_LinkPort);
}

std::string KeeperFleet::dataFolder(std::size_t Index) const {
  return m_Folder.path() + "/data-" + m_Keepers[Index].m_Name;
}

std::string KeeperFleet::output(std::size_t Index) const {
  return readWholeFile(m_Folder.path() + "/" + m_Keepers[Index].m_Name +
                       ".log");
}

std::string KeeperFleet::settingsPath(std::size_t Index) const {
  return m_Folder.path() + "/" + m_Keepers[Index].m_Name + ".json";
}

std::string KeeperFleet::operatorSettingsPath() const {
  return m_Folder.path() + "/operator.json";
}

OperatorCliSettings KeeperFleet::operatorSettings() const {
  OperatorCliSettings Settings;
  for (std::size_t Index = 0; Index < m_Keepers.size(); ++Index)
    Settings.m_Keepers.push_back(httpUrl(Index));
  Settings.m_Token = Token;
  return Settings;
}

std::size_t KeeperFleet::leader() const {
  for (std::size_t Index = 0; Index < m_Keepers.size(); ++Index) {
    if (!m_Keepers[Index].m_Process.started())
      continue;
    OperatorReply Reply =
        httpCall(httpUrl(Index), {"GET", "/status", {}, ""}, 1000);
    if (Reply.m_HttpStatus == 200 && Reply.m_Body.value("confirmed", false))
      return Index;
  }
  return m_Keepers.size();
}

std::size_t KeeperFleet::waitForLeader(int LimitMs) const {
  std::size_t Found = m_Keepers.size();
  waitUntil([&] { return (Found = leader()) < m_Keepers.size(); }, LimitMs);
  return Found;
}

json KeeperFleet::localStatus(std::size_t Index) const {
  OperatorReply Reply =
      httpCall(httpUrl(Index), {"GET", "/status?local=1", {}, ""}, 1000);
  return Reply.m_HttpStatus == 200 ? Reply.m_Body : json();
}

OperatorReply KeeperFleet::edit(const std::string &Section,
                                std::uint64_t Expected,
                                const std::string &EditId, const json &Content,
                                int LimitMs) const {
  OperatorRequest Request;
  Request.m_Method = "PUT";
  Request.m_Path = "/document/" + Section + "?wait_ms=0";
  Request.m_Headers = {{"If-Match", std::to_string(Expected)},
                       {"X-Edit-Id", EditId}};
  Request.m_Body = Content.dump();
  return callKeepers(operatorSettings(), Request, Millis(LimitMs));
}

OperatorReply KeeperFleet::get(const std::string &Path, int LimitMs) const {
  return callKeepers(operatorSettings(), {"GET", Path, {}, ""},
                     Millis(LimitMs));
}

json zonesWith(const std::string &Zone, bool InService) {
  return {{"zones", json::array({{{"id", Zone}, {"in_service", InService}}})}};
}

} // namespace vanillaferry::tests
