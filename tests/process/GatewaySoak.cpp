#include "process/GatewaySoak.hpp"

#include "process/RouterFleet.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

namespace vanillaferry::tests {

namespace {

/// Grace period of the deployment.
constexpr double GraceMs = 8000;
/// Time from the loss of a disk to the next disk fault, including the time to
/// catch up that the users' deployments allow.
constexpr double DiskLossPauseMs = 9000;
constexpr double MillisPerSecond = 1000;

} // namespace

GatewaySoak::GatewaySoak(GatewayFleet &Fleet, FoundFaults &Found,
                         std::uint64_t Seed)
    : m_Fleet(Fleet), m_Found(Found), m_Random(Seed) {}

void GatewaySoak::run(double Seconds) {
  double End = historyNow() + Seconds * MillisPerSecond;
  double Next = historyNow();
  while (historyNow() < End) {
    endExpiredFaults(historyNow());
    if (historyNow() >= Next) {
      startRandomFault();
      // Faults come in bursts: short pauses in two of three cases, else long.
      Next = historyNow() + (m_Random() % 3 ? randomBetween(20, 300)
                                            : randomBetween(300, 1500));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  while (!m_Faults.empty()) {
    std::function<void()> Undo = std::move(m_Faults.front().m_Undo);
    m_Faults.pop_front();
    Undo();
  }
}

void GatewaySoak::startRandomFault() {
  switch (m_Random() % 10) {
  case 0:
  case 1:
    return faultKeeper();
  case 2:
    return m_Random() % 4 == 0 ? killAllKeepers() : faultKeeper();
  case 3:
  case 4:
    return faultGateway();
  case 5:
  case 6:
    return faultTarget();
  case 7:
  case 8:
    return faultLink();
  default:
    return faultList();
  }
}

void GatewaySoak::endExpiredFaults(double Now) {
  for (std::list<Fault>::iterator Each = m_Faults.begin();
       Each != m_Faults.end();) {
    if (Each->m_End > Now) {
      ++Each;
      continue;
    }
    std::function<void()> Undo = std::move(Each->m_Undo);
    Each = m_Faults.erase(Each);
    Undo();
  }
}

void GatewaySoak::begin(const std::string &Name, const std::string &Component,
                        double DurationMs, std::function<void()> Undo) {
  ++m_Counts[Name];
  std::cout << static_cast<std::int64_t>(historyNow()) << " " << Name << " "
            << Component << " for " << static_cast<std::int64_t>(DurationMs)
            << " ms" << std::endl;
  m_Faults.push_back({Component, historyNow() + DurationMs, std::move(Undo)});
}

bool GatewaySoak::isFaulty(const std::string &Name) const {
  return std::any_of(
      m_Faults.begin(), m_Faults.end(),
      [&Name](const Fault &Each) { return Each.m_Component == Name; });
}

std::size_t GatewaySoak::countFaulty(const std::string &Prefix) const {
  return static_cast<std::size_t>(std::count_if(
      m_Faults.begin(), m_Faults.end(), [&Prefix](const Fault &Each) {
        return Each.m_Component.compare(0, Prefix.size(), Prefix) == 0;
      }));
}

double GatewaySoak::randomBetween(double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(m_Random);
}

void GatewaySoak::faultKeeper() {
  std::size_t Index = m_Random() % m_Fleet.keepers();
  std::string Name = "keeper-" + std::to_string(Index + 1);
  if (countFaulty("keeper") > 0)
    return;
  ChildProcess &Process = m_Fleet.keeper(Index);
  std::uint64_t Which = m_Random() % 4;
  bool MayFaultDisk = historyNow() >= m_NextDiskFaultAt;
  if (Which == 0) {
    Process.freeze();
    return begin("keeper frozen", Name, randomBetween(100, 6000),
                 [&Process] { Process.thaw(); });
  }
  if (Which == 1 && MayFaultDisk) {
    Process.kill();
    m_Fleet.wipeKeeper(Index);
    m_NextDiskFaultAt = historyNow() + DiskLossPauseMs;
    return begin("keeper's disk lost", Name, randomBetween(50, 2000),
                 [this, Index] { m_Fleet.startKeeper(Index); });
  }
  if (Which == 2 && MayFaultDisk) {
    Process.kill();
    constexpr std::int64_t FullAfterBytes = 20000;
    m_Fleet.startKeeper(Index, false, FullAfterBytes);
    return begin("keeper's disk full", Name, randomBetween(500, 4000),
                 [this, Index, &Process] {
                   Process.kill();
                   m_Fleet.startKeeper(Index);
                 });
  }
  Process.kill();
  begin("keeper killed", Name, randomBetween(50, 4000),
        [this, Index] { m_Fleet.startKeeper(Index); });
}

void GatewaySoak::killAllKeepers() {
  if (countFaulty("keeper") > 0)
    return;
  for (std::size_t Index = 0; Index < m_Fleet.keepers(); ++Index)
    m_Fleet.keeper(Index).kill();
  begin("all keepers killed", "keepers", randomBetween(50, 900), [this] {
    for (std::size_t Index = 0; Index < m_Fleet.keepers(); ++Index)
      m_Fleet.startKeeper(Index);
  });
}

void GatewaySoak::faultGateway() {
  std::size_t Index = m_Random() % m_Fleet.gateways();
  std::string Name = "gateway-" + std::to_string(Index + 1);
  if (isFaulty(Name) || countFaulty("gateway") * 2 >= m_Fleet.gateways())
    return;
  ChildProcess &Process = m_Fleet.gateway(Index);
  switch (m_Random() % 4) {
  case 0:
    Process.freeze();
    return begin("gateway frozen", Name, randomBetween(100, 7000),
                 [&Process] { Process.thaw(); });
  case 1:
    Process.signal(SIGHUP);
    ++m_Counts["gateway SIGHUP"];
    return;
  case 2:
    Process.signal(SIGTERM);
    return begin("gateway stopped", Name, GraceMs, [this, Index, &Process] {
      Process.kill();
      m_Fleet.startGateway(Index);
    });
  default:
    Process.kill();
    begin("gateway killed", Name, randomBetween(50, 3000),
          [this, Index] { m_Fleet.startGateway(Index); });
  }
}

void GatewaySoak::faultTarget() {
  PlatformFakes &Targets = m_Fleet.targets();
  std::size_t Index = m_Random() % Targets.size();
  std::string Name = "target-" + std::to_string(Index + 1);
  if (isFaulty(Name) || countFaulty("target") * 3 >= Targets.size())
    return;
  std::uint64_t Which = m_Random() % 7;
  if (Which == 0) {
    Targets.stop(Index);
    return begin("target crashed", Name, randomBetween(200, 4000),
                 [&Targets, Index] { Targets.restart(Index); });
  }
  if (Which == 1) {
    Targets.setLeaving(Index, true);
    return begin("target leaving", Name, randomBetween(3000, 6000),
                 [&Targets, Index] {
                   Targets.stop(Index);
                   Targets.restart(Index);
                   Targets.setLeaving(Index, false);
                 });
  }
  TargetFaults Faults;
  double Share = randomBetween(0.05, 0.5);
  (Which == 2   ? Faults.m_Broken
   : Which == 3 ? Faults.m_AnswerLost
   : Which == 4 ? Faults.m_ExtraBytes
   : Which == 5 ? Faults.m_Silent
                : Faults.m_Error) = Share;
  Targets.setFaults(Index, Faults);
  begin("target faulty", Name, randomBetween(500, 5000),
        [&Targets, Index] { Targets.setFaults(Index, TargetFaults()); });
}

void GatewaySoak::faultLink() {
  bool ToKeeper = m_Random() % 2 == 0;
  std::size_t Index =
      m_Random() % (ToKeeper ? m_Fleet.keepers() : m_Fleet.gateways());
  std::string Name =
      (ToKeeper ? "keeper-link-" : "front-link-") + std::to_string(Index + 1);
  // A keeper behind a cut link counts as lost.
  if (isFaulty(Name) || (ToKeeper && countFaulty("keeper") > 0))
    return;
  LinkProxy &Link =
      ToKeeper ? m_Fleet.keeperLink(Index) : m_Fleet.frontLink(Index);
  std::uint64_t Seed = m_Random();
  double Share = m_Random() % 2 ? 1.0 : randomBetween(0.2, 0.8);
  switch (m_Random() % 4) {
  case 0:
    Link.reset(Share, Seed);
    ++m_Counts["link reset"];
    return;
  case 1:
    Link.delay(std::chrono::milliseconds(
        static_cast<std::int64_t>(randomBetween(5, 150))));
    return begin("link delayed", Name, randomBetween(300, 4000),
                 [&Link] { Link.heal(); });
  case 2:
    Link.cut(Share, Seed,
             m_Random() % 2 ? CutDirection::ToTarget : CutDirection::ToCaller);
    return begin("link cut one way", Name, randomBetween(300, 6000),
                 [&Link] { Link.heal(); });
  default:
    Link.cut(Share, Seed);
    begin("link cut", Name, randomBetween(300, 6000), [&Link] { Link.heal(); });
  }
}

void GatewaySoak::faultList() {
  if (isFaulty("list"))
    return;
  m_Fleet.targets().setListFails(true);
  begin("target list fails", "list", randomBetween(300, 3000),
        [this] { m_Fleet.targets().setListFails(false); });
}

void GatewaySoak::checkUnexpectedExit(ChildProcess &Process,
                                      const std::string &Name) {
  if (!Process.started())
    return;
  int Code = Process.waitForExit(0);
  if (Code >= 0)
    m_Found.add(Name + " exited unexpectedly with code " +
                std::to_string(Code));
}

void GatewaySoak::checkAlive() {
  for (std::size_t Index = 0; Index < m_Fleet.keepers(); ++Index)
    checkUnexpectedExit(m_Fleet.keeper(Index),
                        "keeper-" + std::to_string(Index + 1));
  for (std::size_t Index = 0; Index < m_Fleet.gateways(); ++Index)
    checkUnexpectedExit(m_Fleet.gateway(Index),
                        "gateway-" + std::to_string(Index + 1));
}

std::string GatewaySoak::summary() const {
  std::string Text;
  for (const std::pair<const std::string, int> &Row : m_Counts)
    Text += (Text.empty() ? "" : ", ") + Row.first + " " +
            std::to_string(Row.second);
  return Text;
}

} // namespace vanillaferry::tests
