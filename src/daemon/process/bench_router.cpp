#include "process/bench_router.hpp"

#include "process/clock.hpp"
#include "process/lease_client.hpp"
#include "process/sha256.hpp"
#include "request/run.hpp"
#include "request/session.hpp"

#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

using nlohmann::json;

constexpr std::int64_t ReadyPatienceMs = 10000;
constexpr Millis BenchLease{3600 * 1000};
/// About what a node owns at the target size: 12,000 engines over 430 nodes.
constexpr std::size_t OwnedTargetCount = 28;
constexpr const char *PoolName = "chat";
/// The entry router dials, since its name comes first.
constexpr const char *EntryName = "bench-a";
constexpr const char *OwnerName = "bench-b";

SectionContent section(const char *Name, const json &Value) {
  return {SectionName(Name), SectionVersion(1), Value.dump()};
}

std::unique_ptr<Router> startBenchRouter(const char *Name) {
  std::unique_ptr<Router> R = std::make_unique<Router>();
  RouterSettings Settings;
  Settings.m_Node = NodeId(Name);
  initializeRouter(*R, Settings);
  return startRouter(*R) ? std::move(R) : nullptr;
}

Member memberOf(const Router &R) {
  Member Self;
  Self.m_Node = R.m_Settings.m_Node;
  Self.m_Incarnation = R.m_Incarnation;
  Self.m_PeerUrl = "ws://127.0.0.1:" + std::to_string(R.m_Peer->listenPort());
  return Self;
}

/// Ids of targets that the rendezvous choice gives to this node.
std::vector<TargetId> targetsOwnedBy(const Membership &Members,
                                     const NodeId &Node) {
  std::vector<TargetId> Ids;
  for (std::uint32_t I = 0; Ids.size() < OwnedTargetCount; ++I) {
    TargetId Id("e" + std::to_string(I));
    if (ownerOf(Members, Id) == Node)
      Ids.push_back(Id);
  }
  return Ids;
}

/// All targets lead to the same engine.
std::vector<SectionContent> benchDocument(const std::vector<TargetId> &Engines,
                                          std::uint16_t EnginePort,
                                          std::uint32_t Places) {
  json Targets = json::array();
  for (const TargetId &Engine : Engines)
    Targets.push_back(
        {{"id", Engine.m_Value},
         {"vm", "v"},
         {"zone", "z"},
         {"url", "http://127.0.0.1:" + std::to_string(EnginePort)},
         {"max_concurrent", Places},
         {"cold_limit", Places}});
  json Account = {{"id", "bench"},
                  {"api_key_sha256", {sha256Hex(BenchKey)}},
                  {"max_concurrent", Places},
                  {"requests_per_second", 100000},
                  {"weight", 1},
                  {"enabled", true}};
  return {
      section("zones", {{"zones", {{{"id", "z"}, {"in_service", true}}}}}),
      section("accounts", {{"accounts", {Account}}}),
      section("services", {{"services",
                            {{{"name", PoolName},
                              {"kind", "engine"},
                              {"bound", 1.25},
                              {"targets", Targets}}}}}),
      section("model_versions",
              {{"models",
                {{{"name", "m"}, {"version", "1"}, {"service", PoolName}}}}}),
      section("limits", {{"stream_silence_ms", 60000}})};
}

/// What a keeper would grant.
void grantBench(Router &R, const Membership &Members,
                const std::vector<SectionContent> &Sections,
                std::uint32_t Places) {
  Grant Granted;
  Granted.m_Sequence = beginRenewal(R.m_Lease, monotonicNow());
  Granted.m_Duration = BenchLease;
  Granted.m_Epoch = Members.m_Epoch;
  Granted.m_SafeEpoch = Members.m_Epoch;
  Granted.m_Version = DocumentVersion(1);
  Granted.m_Members = Members.m_Members;
  Granted.m_Sections = Sections;
  Granted.m_Shares.push_back({AccountId("bench"), Places});
  handleGrant(R, Granted);
}

/// The first load reports of all targets have come.
bool reported(const Router &R) {
  auto Pool = R.m_OwnerPools.find(PoolId(PoolName));
  if (Pool == R.m_OwnerPools.end())
    return false;
  std::size_t Reported = 0;
  for (const std::pair<const TargetId, OwnedTarget> &Row :
       Pool->second.m_Targets)
    Reported += Row.second.m_State.m_AwaitReport ? 0 : 1;
  return Reported == OwnedTargetCount;
}

} // namespace

bool runLoopUntil(const std::function<bool()> &Done, std::int64_t PatienceMs) {
  Millis Until = monotonicNow() + Millis(PatienceMs);
  Timer Wake;
  Wake.start(1, [] { return true; });
  while (!Done() && monotonicNow() < Until)
    g_main_context_iteration(nullptr, TRUE);
  return Done();
}

std::string benchRequest() {
  std::string Body =
      R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
         "Authorization: Bearer " +
         std::string(BenchKey) + "\r\nX-Request-Id: bench\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::unique_ptr<BenchFleet> startBenchFleet(std::uint16_t EnginePort,
                                            std::uint32_t Places, bool Hop) {
  std::unique_ptr<BenchFleet> Fleet = std::make_unique<BenchFleet>();
  Fleet->m_Entry = startBenchRouter(EntryName);
  if (Hop)
    Fleet->m_Owner = startBenchRouter(OwnerName);
  if (!Fleet->m_Entry || (Hop && !Fleet->m_Owner))
    return nullptr;
  Membership Members;
  Members.m_Epoch = Epoch(1);
  Members.m_Members.push_back(memberOf(*Fleet->m_Entry));
  if (Hop)
    Members.m_Members.push_back(memberOf(*Fleet->m_Owner));
  Router &Owner = Hop ? *Fleet->m_Owner : *Fleet->m_Entry;
  std::vector<SectionContent> Sections = benchDocument(
      targetsOwnedBy(Members, Owner.m_Settings.m_Node), EnginePort, Places);
  grantBench(*Fleet->m_Entry, Members, Sections, Places);
  if (Hop)
    grantBench(*Fleet->m_Owner, Members, Sections, Places);
  bool Ready = runLoopUntil(
      [&] {
        bool Linked =
            !Hop || Fleet->m_Entry->m_Links.count(NodeId(OwnerName)) != 0;
        return Linked && reported(Owner);
      },
      ReadyPatienceMs);
  return Ready ? std::move(Fleet) : nullptr;
}

} // namespace vanillaferry
