#include "process/FaultSchedule.hpp"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace vanillaferry::tests {

namespace {

using nlohmann::json;

/// A keeper that returned catches up before the next one fails.
constexpr double KeeperGapMs = 2500;
constexpr std::size_t MaxRoutersAtOnce = 2;
constexpr std::size_t MaxEnginesAtOnce = 2;
constexpr int RepairLimitMs = 60000;

void pause(double Ms) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(static_cast<std::int64_t>(Ms)));
}

std::string numbered(const char *Name, std::size_t Index) {
  return std::string(Name) + "-" + std::to_string(Index);
}

const char *zoneOfEngine(std::size_t Engine) {
  return Engine % 2 == 0 ? "north" : "south";
}

} // namespace

FaultSchedule::FaultSchedule(RouterFleet &Fleet, FleetPlan Plan,
                             RouterOutages &Outages, FoundFaults &Found,
                             std::uint64_t Seed)
    : m_Fleet(Fleet), m_Plan(std::move(Plan)), m_Outages(Outages),
      m_Found(Found), m_Random(Seed) {
  for (std::size_t I = 0; I < m_Plan.m_Keepers; ++I)
    m_KeeperIds.push_back("k" + std::to_string(I + 1));
}

FaultSchedule::~FaultSchedule() {
  for (std::thread &One : m_Threads)
    One.join();
}

double FaultSchedule::between(double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(m_Random);
}

bool FaultSchedule::held(const std::string &Name) const {
  for (const Fault &One : m_Faults)
    if (One.m_Held == Name)
      return true;
  return false;
}

std::size_t FaultSchedule::heldWith(const std::string &Prefix) const {
  std::size_t Count = 0;
  for (const Fault &One : m_Faults)
    if (One.m_Held.rfind(Prefix, 0) == 0)
      ++Count;
  return Count;
}

void FaultSchedule::begin(const std::string &Name, const std::string &Held,
                          double LastMs, std::function<void()> Undo) {
  double Now = historyNow();
  BOOST_TEST_MESSAGE(static_cast<std::int64_t>(Now)
                     << " " << Name << " " << Held << " for "
                     << static_cast<std::int64_t>(LastMs) << " ms");
  ++m_Counts[Name];
  m_Faults.push_back({Name, Now + LastMs, std::move(Undo), Held});
}

void FaultSchedule::endDue(double Now) {
  for (std::list<Fault>::iterator At = m_Faults.begin();
       At != m_Faults.end();) {
    if (At->m_End > Now) {
      ++At;
      continue;
    }
    BOOST_TEST_MESSAGE(static_cast<std::int64_t>(historyNow())
                       << " end of " << At->m_Name << " " << At->m_Held);
    At->m_Undo();
    At = m_Faults.erase(At);
  }
}

void FaultSchedule::run(double Seconds) {
  double End = historyNow() + Seconds * 1000;
  while (historyNow() < End) {
    endDue(historyNow());
    startOne();
    pause(between(50, 600));
  }
  endDue(End + 1e9);
  for (std::thread &One : m_Threads)
    One.join();
  m_Threads.clear();
}

void FaultSchedule::startOne() {
  switch (m_Random() % 10) {
  case 0:
  case 1:
    return faultKeeper();
  case 2:
  case 3:
    return faultRouter();
  case 4:
  case 5:
    return faultEngine();
  case 6:
    return faultStreams();
  case 7:
    return faultService();
  case 8:
    return takeZoneOut();
  default:
    return leaveVm();
  }
}

void FaultSchedule::expectAlive(ChildProcess &Process,
                                const std::string &Name) {
  int Code = Process.waitForExit(0);
  if (Code != -1)
    m_Found.add(Name + " ended by itself with code " + std::to_string(Code));
}

void FaultSchedule::checkAlive() {
  for (std::size_t I = 0; I < m_Plan.m_Keepers; ++I)
    expectAlive(m_Fleet.keepers().process(I), m_KeeperIds[I]);
  for (std::size_t I = 0; I < m_Plan.m_Routers; ++I)
    expectAlive(m_Fleet.router(I), numbered("router", I));
}

void FaultSchedule::faultKeeper() {
  if (held("keeper") || m_KeeperThread || historyNow() < m_KeeperFreeAt)
    return;
  std::size_t Index = m_Random() % m_Plan.m_Keepers;
  ChildProcess &Process = m_Fleet.keepers().process(Index);
  expectAlive(Process, m_KeeperIds[Index]);
  auto Free = [this] { m_KeeperFreeAt = historyNow() + KeeperGapMs; };
  std::string Suffix = " of " + m_KeeperIds[Index];
  switch (m_Random() % 4) {
  case 0:
    Process.kill();
    return begin("kill" + Suffix, "keeper", between(0, 6000),
                 [this, Index, Free] {
                   m_Fleet.keepers().start(Index);
                   Free();
                 });
  case 1:
    Process.freeze();
    return begin("freeze" + Suffix, "keeper", between(500, 8000),
                 [&Process, Free] {
                   Process.thaw();
                   Free();
                 });
  case 2:
    m_Fleet.keepers().link(Index).cut(between(0.3, 1.0), m_Random());
    return begin("cut" + Suffix, "keeper", between(500, 8000),
                 [this, Index, Free] {
                   m_Fleet.keepers().link(Index).heal();
                   Free();
                 });
  default:
    ++m_Counts["replace a keeper"];
    BOOST_TEST_MESSAGE(static_cast<std::int64_t>(historyNow())
                       << " wipe and replacement" << Suffix);
    m_KeeperThread = true;
    m_Threads.emplace_back([this, Index] {
      replaceKeeper(Index);
      m_KeeperThread = false;
    });
  }
}

/// The documented way (docs/keeper.md): the old identity goes first, then the
/// new one joins as a learner and gets its vote.
void FaultSchedule::replaceKeeper(std::size_t Index) {
  KeeperFleet &Keepers = m_Fleet.keepers();
  OperatorCliSettings Settings = Keepers.operatorSettings();
  Keepers.process(Index).kill();
  Keepers.wipe(Index);
  std::string Last;
  auto Repeat = [&](const OperatorRequest &Request, int Done) {
    return waitUntil(
        [&] {
          OperatorReply Reply = callKeepers(Settings, Request, Millis(10000));
          Last = Request.m_Path + ": " + std::to_string(Reply.m_HttpStatus) +
                 " " + Reply.m_Body.dump() + Reply.m_Fault;
          return Reply.m_HttpStatus == 200 || Reply.m_HttpStatus == Done;
        },
        RepairLimitMs);
  };
  // A removal whose answer was lost is answered with 404 the next time.
  bool Done = Repeat({"DELETE", "/keepers/" + m_KeeperIds[Index], {}, ""}, 404);
  Keepers.start(Index);
  json Status;
  Done = Done && waitUntil(
                     [&] {
                       Status = Keepers.localStatus(Index);
                       return !Status.is_null();
                     },
                     RepairLimitMs);
  if (Done) {
    m_KeeperIds[Index] = Status["keeper"].get<std::string>();
    json Body = {{"keeper", m_KeeperIds[Index]},
                 {"peer_url", Keepers.peerUrl(Index)}};
    Done =
        Repeat({"POST", "/keepers", {}, Body.dump()}, 200) &&
        Repeat({"POST", "/keepers/" + m_KeeperIds[Index] + "/promote", {}, ""},
               200);
  }
  if (!Done)
    m_Found.add("keeper " + m_KeeperIds[Index] + " is not replaced: " + Last);
}

void FaultSchedule::faultRouter() {
  std::size_t Index = m_Random() % m_Plan.m_Routers;
  std::string Name = numbered("router", Index);
  if (held(Name) || heldWith("router") >= MaxRoutersAtOnce)
    return;
  ChildProcess &Process = m_Fleet.router(Index);
  expectAlive(Process, Name);
  switch (m_Random() % 3) {
  case 0:
    m_Outages.begin(Index);
    Process.kill();
    return begin("kill", Name, between(0, 6000), [this, Index] {
      m_Fleet.startRouter(Index);
      // Callers find it closed until it listens.
      m_Fleet.waitReady(Index, 1000);
      m_Outages.end(Index);
    });
  case 1:
    Process.freeze();
    return begin("freeze", Name, between(300, 8000),
                 [&Process] { Process.thaw(); });
  default:
    m_Fleet.routerLink(Index).cut(between(0.3, 1.0), m_Random());
    return begin("cut", Name, between(500, 8000),
                 [this, Index] { m_Fleet.routerLink(Index).heal(); });
  }
}

void FaultSchedule::faultEngine() {
  std::size_t Index = m_Random() % m_Plan.m_Engines;
  std::string Name = numbered("engine", Index);
  if (held(Name) || heldWith("engine") >= MaxEnginesAtOnce)
    return;
  ChildProcess &Process = m_Fleet.engine(Index);
  // A request that waits in a frozen engine or a cut link begins late, whoever
  // sent it in time; so these faults and those that take an engine out of
  // service exclude each other.
  bool Out =
      (m_ZoneThread && m_ZoneOut == zoneOfEngine(Index)) || held("vm-" + Name);
  switch (Out ? 0 : m_Random() % 3) {
  case 0:
    Process.kill();
    return begin("kill", Name, between(0, 4000),
                 [this, Index] { m_Fleet.startEngine(Index); });
  case 1:
    Process.freeze();
    return begin("freeze", Name, between(300, 7000),
                 [&Process] { Process.thaw(); });
  default:
    m_Fleet.engineLink(Index).cut(between(0.3, 1.0), m_Random());
    return begin("cut", Name, between(300, 7000),
                 [this, Index] { m_Fleet.engineLink(Index).heal(); });
  }
}

void FaultSchedule::faultStreams() {
  std::size_t Index = m_Random() % m_Plan.m_Engines;
  if (held(numbered("engine", Index)))
    return;
  json Fault = {{"times", 1 + m_Random() % 5},
                {"no_resume", m_Random() % 3 == 0}};
  const char *Kind = m_Random() % 2 == 0 ? "close_after" : "silent_after";
  Fault[Kind] = 1 + m_Random() % 20;
  OperatorRequest Request{"POST", "/fault", {}, Fault.dump()};
  httpCall(m_Fleet.engineUrl(Index), Request, 1000);
  ++m_Counts[Kind];
}

void FaultSchedule::faultService() {
  static const char *const Kinds[] = {"run_and_close", "read_and_close",
                                      "delay_ms"};
  const char *Kind = Kinds[m_Random() % 3];
  json Fault = {{Kind, Kind == Kinds[2] ? m_Random() % 1500 : m_Random() % 3}};
  OperatorRequest Request{"POST", "/fault", {}, Fault.dump()};
  httpCall(m_Fleet.serviceUrl(), Request, 1000);
  ++m_Counts[Kind];
}

void FaultSchedule::takeZoneOut() {
  if (m_ZoneThread)
    return;
  std::size_t Side = m_Random() % 2;
  for (std::size_t I = Side; I < m_Plan.m_Engines; I += 2)
    if (held(numbered("engine", I)))
      return;
  m_ZoneOut = zoneOfEngine(Side);
  m_ZoneThread = true;
  ++m_Counts["zone out"];
  BOOST_TEST_MESSAGE(static_cast<std::int64_t>(historyNow())
                     << " zone " << m_ZoneOut << " out");
  m_Threads.emplace_back([this, Zone = m_ZoneOut, Last = between(3500, 7000)] {
    editZone(Zone, false);
    pause(Last);
    editZone(Zone, true);
    m_ZoneThread = false;
  });
}

void FaultSchedule::editZone(const std::string &Zone, bool InService) {
  json Content = {
      {"zones",
       {{{"id", "north"}, {"in_service", Zone != "north" || InService}},
        {{"id", "south"}, {"in_service", Zone != "south" || InService}}}}};
  double Before = historyNow();
  std::string EditId = "zones-" + std::to_string(m_ZonesVersion);
  OperatorReply Reply;
  bool Answered = waitUntil(
      [&] {
        Reply = m_Fleet.recordedEdit("zones", m_ZonesVersion, EditId, Content,
                                     10000);
        return Reply.m_HttpStatus != 0;
      },
      RepairLimitMs);
  if (!Answered || Reply.m_HttpStatus == 409)
    m_Found.add("zone edit " + EditId + ": " + Reply.m_Body.dump());
  ++m_ZonesVersion;
  m_Fleet.note({{"op", InService ? "in" : "out"},
                {"zone", Zone},
                {"time", InService ? Before : historyNow()}});
}

void FaultSchedule::leaveVm() {
  std::size_t Index = m_Random() % m_Plan.m_Engines;
  std::string Engine = numbered("engine", Index);
  std::string Vm = "vm-" + Engine;
  if (heldWith("vm-") != 0 || held(Engine))
    return;
  m_Fleet.setVmState(Index, "leaving");
  m_Fleet.note({{"op", "out"}, {"vm", Vm}, {"time", historyNow()}});
  begin("leave", Vm, between(3500, 7000), [this, Index, Vm] {
    m_Fleet.note({{"op", "in"}, {"vm", Vm}, {"time", historyNow()}});
    m_Fleet.setVmState(Index, "live");
  });
}

std::string FaultSchedule::summary() const {
  std::map<std::string, int> Kinds;
  for (const std::pair<const std::string, int> &Row : m_Counts)
    Kinds[Row.first.substr(0, Row.first.find(" of "))] += Row.second;
  json Out = Kinds;
  return Out.dump();
}

} // namespace vanillaferry::tests
