#include "process/command_line.hpp"
#include "vanillaferry/request/placement.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <xxhash.h>

namespace vanillaferry {

namespace {

constexpr std::size_t Routers = 9;
constexpr std::size_t RoutersOfLargePool = 30;
/// Chats of which each is decided once; enough to leave the first caches.
constexpr std::size_t Chats = 20000;
constexpr std::size_t ChatsPerEngine = 600;

double processorMicros() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<double>(Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec) *
             1e6 +
         static_cast<double>(Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec);
}

/// A pool as its entry routers and owners see it.
struct BenchFleet {
  RoutedPool m_Routed;
  std::map<NodeId, OwnerPool> m_Owners;
};

BenchFleet makeBenchFleet(std::size_t Engines) {
  PoolSettings Settings;
  Settings.m_Id = PoolId("engines");
  std::size_t Count = Engines >= 700 ? RoutersOfLargePool : Routers;
  Membership Members;
  Members.m_Epoch = Epoch(1);
  for (std::size_t I = 0; I < Count; ++I) {
    Member One;
    One.m_Node = NodeId("router-" + std::to_string(I));
    Members.m_Members.push_back(One);
  }
  for (std::size_t I = 0; I < Engines; ++I) {
    TargetSettings Target;
    Target.m_Id = TargetId("engine-" + std::to_string(I));
    Target.m_Zone = ZoneId("A");
    Target.m_CacheTokens = Tokens(1320000);
    Settings.m_Targets.push_back(Target);
  }
  BenchFleet Fleet;
  Fleet.m_Routed =
      makeRoutedPool(makePoolView(Settings, {ZoneSettings{ZoneId("A"), true}},
                                  VmView(), Millis()),
                     Members);
  for (std::size_t I = 0; I < Engines; ++I) {
    const TargetSettings &Target =
        Fleet.m_Routed.m_View.m_Targets[I].m_Settings;
    OwnerPool &Pool = Fleet.m_Owners[Fleet.m_Routed.m_Owners[I]];
    Pool.m_Settings = Settings;
    setTargetCount(Pool.m_PoolTargets, Engines, true, Millis());
    PoolTotal Total{Settings.m_Id, static_cast<std::uint32_t>(8 * Engines),
                    Millis()};
    takePoolTotal(Pool.m_Mean, Total, 0, Millis());
    OwnedTarget &Owned = Pool.m_Targets[Target.m_Id];
    Owned.m_State = makeTargetState(Target, 0);
    Owned.m_State.m_RampLimit = Owned.m_State.m_MaxConcurrent;
    Owned.m_State.m_Running = 7 + I % 3;
    Owned.m_Prefixes.m_Capacity = Target.m_CacheTokens;
    for (std::size_t J = 0; J < ChatsPerEngine; ++J)
      recordChat(Owned.m_Prefixes, J * 7919 + I, Tokens(2200));
    Owned.m_InService = Owned.m_Dispatchable = true;
  }
  return Fleet;
}

/// One decision: the entry router's ranking and walk and every owner's answer.
bool decide(BenchFleet &Fleet, const ChatId &Chat) {
  OwnerSearch Way = beginOwnerSearch(Fleet.m_Routed, Chat);
  for (OwnerSearchStep Step = nextOwnerSearchStep(Way, Fleet.m_Routed);
       Step.m_Ask; Step = nextOwnerSearchStep(Way, Fleet.m_Routed)) {
    PlacementRequest Asked;
    Asked.m_Chat = Way.m_Chat;
    Asked.m_Target = Step.m_Target;
    Asked.m_IgnoreRedirect = Step.m_IgnoreRedirect;
    Asked.m_AnyTarget = Step.m_AnyTarget;
    PlacementDecision Decision =
        decidePlacement(Fleet.m_Owners[Step.m_Owner], Asked, Millis(100));
    if (Decision.m_Admitted)
      return true;
    handleDecline(Way, Step, Decision.m_Holder);
  }
  return false;
}

double microsPerDecision(std::size_t Engines) {
  BenchFleet Fleet = makeBenchFleet(Engines);
  std::vector<ChatId> Names;
  for (std::size_t I = 0; I < Chats; ++I)
    Names.push_back(ChatId("chat-" + std::to_string(I)));
  std::size_t Admitted = 0;
  double Start = processorMicros();
  for (const ChatId &Chat : Names)
    Admitted += decide(Fleet, Chat) ? 1 : 0;
  double Used = processorMicros() - Start;
  if (Admitted == 0)
    std::cerr << "no decision admitted a request\n";
  return Used / static_cast<double>(Chats);
}

/// 700 XXH3 hashes of chat and target as text, the plain way to rank.
double microsPerHashBaseline() {
  std::vector<std::string> Targets;
  for (std::size_t I = 0; I < 700; ++I)
    Targets.push_back("engine-" + std::to_string(I));
  std::uint64_t Mixed = 0;
  double Start = processorMicros();
  for (std::size_t I = 0; I < Chats / 10; ++I)
    for (const std::string &Target : Targets)
      Mixed ^= XXH3_64bits_withSeed(Target.data(), Target.size(), I);
  double Used = processorMicros() - Start;
  if (Mixed == 0)
    std::cerr << "unexpected hash\n";
  return Used / (static_cast<double>(Chats) / 10);
}

} // namespace

void addBenchDecideCommand(CLI::App &Bench, int &Code) {
  CLI::App *Command = Bench.add_subcommand(
      "decide", "Measure processor time of one placement decision");
  std::shared_ptr<bool> AsJson = std::make_shared<bool>(false);
  Command->add_flag("--json", *AsJson, "Print one JSON object");
  Command->callback([AsJson, &Code] {
    nlohmann::json Results;
    for (std::size_t Engines : {20, 70, 200, 700})
      Results["us_per_decision_" + std::to_string(Engines)] =
          microsPerDecision(Engines);
    Results["us_hash_baseline_700"] = microsPerHashBaseline();
    if (*AsJson)
      std::cout << Results.dump() << "\n";
    else
      for (auto It = Results.begin(); It != Results.end(); ++It)
        std::cout << It.key() << ": " << It.value() << "\n";
    Code = ExitOk;
  });
}

} // namespace vanillaferry
