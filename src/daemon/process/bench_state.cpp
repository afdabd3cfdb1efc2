#include "connection/operator_client.hpp"
#include "connection/peer_task.hpp"
#include "process/clock.hpp"
#include "process/command_line.hpp"
#include "process/log.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <fcntl.h>
#include <glib.h>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace vanillaferry {

namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::chrono::seconds AnswerLimit{20};
constexpr std::size_t BareAppends = 300;
constexpr std::size_t AppendBytes = 256;
constexpr Millis EditLimit{20000};

struct StateBenchOptions {
  std::string m_Settings;
  std::vector<std::string> m_Peers;
  /// NAME=PID of keepers; with them the leader is killed once.
  std::vector<std::string> m_Pids;
  std::string m_Folder = ".";
  std::size_t m_Edits = 100;
  std::size_t m_Begins = 300;
  std::size_t m_Callers = 64;
  bool m_Json = false;
};

double millisSince(Clock::time_point Start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - Start)
      .count();
}

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      static_cast<double>(Values.size() - 1) * Share)];
}

/// A member of the fleet that only begins journaled calls.
class JournalNode {
public:
  explicit JournalNode(const std::vector<std::string> &Urls)
      : m_Incarnation(randomSeed()) {
    PeerOptions Options;
    Options.m_Self = m_Node;
    Options.m_Incarnation = m_Incarnation;
    Result<std::unique_ptr<PeerTask>> Started =
        PeerTask::start(Options, [this](PeerEvent Event) {
          std::lock_guard<std::mutex> Guard(m_Mutex);
          m_Events.push_back(std::move(Event));
          m_Changed.notify_all();
        });
    if (!Started)
      return;
    m_Peers = std::move(Started.value());
    for (const std::string &Url : Urls)
      m_Peers->connect(Url);
  }

  /// Joins the membership; false without a leader.
  bool join() {
    Clock::time_point Start = Clock::now();
    while (m_Peers && m_Leader.empty() && Clock::now() - Start < AnswerLimit)
      step(std::chrono::milliseconds(100));
    return !m_Leader.empty();
  }

  /// Begins Total calls, Callers at a time; milliseconds of each, in order of
  /// their ends.
  std::vector<double> begin(std::size_t Total, std::size_t Callers) {
    m_Sent.clear();
    m_Latencies.clear();
    std::size_t Begun = 0;
    Clock::time_point Start = Clock::now();
    while (m_Latencies.size() < Total && Clock::now() - Start < AnswerLimit) {
      while (m_Sent.size() < Callers && Begun < Total) {
        sendBegin();
        ++Begun;
      }
      step(std::chrono::milliseconds(100));
    }
    return m_Latencies;
  }

private:
  void sendBegin() {
    JournalBegin Begin;
    Begin.m_Request = RequestId("bench-" + std::to_string(m_NextRequest++));
    Begin.m_Account = AccountId("bench");
    Begin.m_Key = IdempotencyKey(std::to_string(m_Incarnation.m_Value) + "-" +
                                 Begin.m_Request.m_Value);
    Begin.m_BodyHash = std::string(64, '0');
    Begin.m_IssuedAt = wallNow();
    Begin.m_Node = m_Node;
    Begin.m_Incarnation = m_Incarnation;
    m_Sent[Begin.m_Request] = Clock::now();
    m_Peers->send(m_Leader, std::move(Begin));
  }

  void renew() {
    Renew Renewal;
    Renewal.m_Node = m_Node;
    Renewal.m_Incarnation = m_Incarnation;
    Renewal.m_Sequence = ++m_Sequence;
    Renewal.m_PeerUrl = "ws://127.0.0.1:1";
    Renewal.m_Zone = ZoneId("bench");
    Renewal.m_AckedEpoch = m_Epoch;
    Renewal.m_AckedVersion = m_Version;
    for (const NodeId &Keeper : m_Keepers)
      m_Peers->send(Keeper, Renewal);
  }

  void take(const PeerEvent &Event) {
    if (Event.m_Kind == PeerEvent::Kind::Up)
      m_Keepers.push_back(Event.m_From);
    if (Event.m_Kind != PeerEvent::Kind::Message)
      return;
    if (const Grant *Given = std::get_if<Grant>(&Event.m_Message)) {
      m_Leader = Event.m_From;
      m_Epoch = Given->m_Epoch;
      m_Version = Given->m_Version;
    }
    const JournalAnswer *Answer = std::get_if<JournalAnswer>(&Event.m_Message);
    if (!Answer || Answer->m_Status != JournalStatus::Granted)
      return;
    auto Found = m_Sent.find(Answer->m_Request);
    if (Found == m_Sent.end())
      return;
    m_Latencies.push_back(millisSince(Found->second));
    m_Sent.erase(Found);
  }

  /// Waits for events and takes them; renews twice a second.
  void step(std::chrono::milliseconds Limit) {
    if (Clock::now() - m_Renewed > std::chrono::milliseconds(500)) {
      m_Renewed = Clock::now();
      renew();
    }
    std::deque<PeerEvent> Taken;
    {
      std::unique_lock<std::mutex> Guard(m_Mutex);
      m_Changed.wait_for(Guard, Limit, [this] { return !m_Events.empty(); });
      Taken.swap(m_Events);
    }
    for (const PeerEvent &Event : Taken)
      take(Event);
  }

  NodeId m_Node{"bench-state"};
  Incarnation m_Incarnation;
  std::unique_ptr<PeerTask> m_Peers;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::deque<PeerEvent> m_Events;
  std::vector<NodeId> m_Keepers;
  NodeId m_Leader;
  Epoch m_Epoch;
  DocumentVersion m_Version;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_NextRequest = 1;
  Clock::time_point m_Renewed;
  std::map<RequestId, Clock::time_point> m_Sent;
  std::vector<double> m_Latencies;
};

/// Milliseconds of single appends with a sync on a bare file.
std::vector<double> measureBareSyncs(const std::string &Folder) {
  std::string Path = Folder + "/bench-state-sync";
  std::vector<double> Times;
  int File = open(Path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
  if (File < 0)
    return Times;
  std::string Record(AppendBytes, 'x');
  for (std::size_t I = 0; I < BareAppends; ++I) {
    Clock::time_point Start = Clock::now();
    if (write(File, Record.data(), Record.size()) < 0 || fdatasync(File) != 0)
      break;
    Times.push_back(millisSince(Start));
  }
  close(File);
  unlink(Path.c_str());
  return Times;
}

/// Edits one section again and again and waits until each is in force.
class EditLoop {
public:
  explicit EditLoop(OperatorCliSettings Settings)
      : m_Settings(std::move(Settings)) {
    OperatorReply Reply =
        callKeepers(m_Settings, {"GET", "/document/zones", {}, ""}, EditLimit);
    if (Reply.m_HttpStatus == 200) {
      m_Version = Reply.m_Body.value("version", std::uint64_t(0));
      m_Content = Reply.m_Body.value("content", json());
    }
  }

  bool usable() const { return !m_Content.is_null(); }

  /// Milliseconds until the edit was in force, or a negative number.
  double edit() {
    OperatorRequest Request{
        "PUT", "/document/zones?wait_ms=20000", {}, m_Content.dump()};
    Request.m_Headers = {
        {"If-Match", std::to_string(m_Version)},
        {"X-Edit-Id", "bench-" + std::to_string(randomSeed())}};
    Clock::time_point Start = Clock::now();
    OperatorReply Reply = callKeepers(m_Settings, Request, EditLimit);
    if (Reply.m_HttpStatus != 200)
      return -1;
    m_Version = Reply.m_Body.value("version", m_Version + 1);
    return millisSince(Start);
  }

  std::string leader() const {
    OperatorReply Reply =
        callKeepers(m_Settings, {"GET", "/status", {}, ""}, EditLimit);
    return Reply.m_Body.is_object()
               ? Reply.m_Body.value("leader", std::string())
               : std::string();
  }

private:
  OperatorCliSettings m_Settings;
  std::uint64_t m_Version = 0;
  json m_Content;
};

pid_t pidOf(const std::vector<std::string> &Pids, const std::string &Name) {
  for (const std::string &Pair : Pids)
    if (Pair.compare(0, Name.size() + 1, Name + "=") == 0)
      return static_cast<pid_t>(std::stol(Pair.substr(Name.size() + 1)));
  return 0;
}

std::vector<double> editMany(EditLoop &Edits, std::size_t Count,
                             std::size_t &Failed) {
  std::vector<double> Times;
  for (std::size_t I = 0; I < Count; ++I) {
    double Time = Edits.edit();
    if (Time < 0)
      ++Failed;
    else
      Times.push_back(Time);
  }
  return Times;
}

void measureEdits(const StateBenchOptions &Options, EditLoop &Edits,
                  json &Figures) {
  std::size_t Failed = 0;
  std::vector<double> Idle = editMany(Edits, Options.m_Edits, Failed);
  Figures["edits"] = Idle.size();
  Figures["edit_in_force_p50_ms"] = quantile(Idle, 0.5);
  Figures["edit_in_force_p99_ms"] = quantile(Idle, 0.99);
  pid_t Leader = pidOf(Options.m_Pids, Edits.leader());
  if (Leader > 0) {
    kill(Leader, SIGKILL);
    std::vector<double> Through = editMany(Edits, 5, Failed);
    Figures["edit_in_force_leader_kill_max_ms"] = quantile(Through, 1);
  }
  Figures["edits_failed"] = Failed;
}

void measureJournal(const StateBenchOptions &Options, JournalNode &Node,
                    json &Figures) {
  std::vector<double> Bare = measureBareSyncs(Options.m_Folder);
  Clock::time_point Start = Clock::now();
  std::vector<double> Single = Node.begin(Options.m_Begins, 1);
  double SingleSeconds = millisSince(Start) / 1000;
  Start = Clock::now();
  std::vector<double> Many =
      Node.begin(Options.m_Begins * 20, Options.m_Callers);
  double ManySeconds = millisSince(Start) / 1000;
  double SingleRate = static_cast<double>(Single.size()) / SingleSeconds;
  double ManyRate = static_cast<double>(Many.size()) / ManySeconds;
  Figures["sync_p50_ms"] = quantile(Bare, 0.5);
  Figures["sync_p99_ms"] = quantile(Bare, 0.99);
  Figures["journal_p50_ms"] = quantile(Single, 0.5);
  Figures["journal_p99_ms"] = quantile(Single, 0.99);
  Figures["journal_p99_64_callers_ms"] = quantile(Many, 0.99);
  Figures["journal_p99_over_sync"] =
      quantile(Single, 0.99) / std::max(1e-6, quantile(Bare, 0.99));
  Figures["journal_p50_over_sync"] =
      quantile(Single, 0.5) / std::max(1e-6, quantile(Bare, 0.5));
  Figures["journal_begins_per_second_1"] = SingleRate;
  Figures["journal_begins_per_second_64"] = ManyRate;
  Figures["journal_group_commit_ratio"] = ManyRate / std::max(1e-6, SingleRate);
}

int runStateBench(const StateBenchOptions &Options) {
  Result<OperatorCliSettings> Settings =
      loadOperatorCliSettings(Options.m_Settings);
  if (!Settings) {
    std::cerr << Settings.error().m_Text << "\n";
    return ExitInvalidInput;
  }
  json Figures = json::object();
  {
    JournalNode Node(Options.m_Peers);
    if (!Node.join()) {
      std::cerr << "no leading keeper granted a lease\n";
      return ExitUnavailable;
    }
    measureJournal(Options, Node, Figures);
  }
  EditLoop Edits(Settings.value());
  if (!Edits.usable()) {
    std::cerr << "section zones cannot be read\n";
    return ExitUnavailable;
  }
  // The lease of the journal's node ends first.
  g_usleep(4 * G_USEC_PER_SEC);
  measureEdits(Options, Edits, Figures);
  std::cout << Figures.dump(Options.m_Json ? -1 : 2) << "\n";
  return ExitOk;
}

} // namespace

void addBenchStateCommand(CLI::App &Bench, int &Code) {
  CLI::App *Command = Bench.add_subcommand(
      "state", "Measure journal begins and edits on running keepers; "
               "examples/bench-state.sh starts them");
  std::shared_ptr<StateBenchOptions> Options =
      std::make_shared<StateBenchOptions>();
  Command
      ->add_option("--settings", Options->m_Settings,
                   "Settings file of kind \"operator\"")
      ->required();
  Command->add_option("--peers", Options->m_Peers, "Peer URLs of the keepers")
      ->required();
  Command->add_option("--keeper-pid", Options->m_Pids,
                      "NAME=PID of each keeper; the leader is killed once");
  Command->add_option("--folder", Options->m_Folder,
                      "Folder on the keepers' disk, for bare syncs");
  Command->add_option("--edits", Options->m_Edits, "Edits while idle");
  Command->add_option("--begins", Options->m_Begins,
                      "Journal begins of a single caller");
  Command->add_flag("--json", Options->m_Json, "Print one JSON object");
  Command->callback([Options, &Code] {
    LogOptions Log;
    Log.m_Level = "error";
    if (!startLog(Log))
      return;
    Code = runStateBench(*Options);
  });
}

} // namespace vanillaferry
