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
/// From the loss of a disk to the next one, with the time to catch up that the
/// users' deployments give.
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
    endDue(historyNow());
    if (historyNow() >= Next) {
      startOne();
      // Faults come in series: many short pauses and a few long ones.
      Next = historyNow() +
             (m_Random() % 3 ? between(20, 300) : between(300, 1500));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  while (!m_Faults.empty()) {
    std::function<void()> Undo = std::move(m_Faults.front().m_Undo);
    m_Faults.pop_front();
    Undo();
  }
}

void GatewaySoak::startOne() {
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

void GatewaySoak::endDue(double Now) {
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

void GatewaySoak::begin(const std::string &Name, const std::string &Held,
                        double LastMs, std::function<void()> Undo) {
  ++m_Counts[Name];
  std::cout << static_cast<std::int64_t>(historyNow()) << " " << Name << " "
            << Held << " for " << static_cast<std::int64_t>(LastMs) << " ms"
            << std::endl;
  m_Faults.push_back({Held, historyNow() + LastMs, std::move(Undo)});
}

bool GatewaySoak::isHeld(const std::string &Name) const {
  return std::any_of(
      m_Faults.begin(), m_Faults.end(),
      [&Name](const Fault &Each) { return Each.m_Held == Name; });
}

std::size_t GatewaySoak::heldWith(const std::string &Prefix) const {
  return static_cast<std::size_t>(std::count_if(
      m_Faults.begin(), m_Faults.end(), [&Prefix](const Fault &Each) {
        return Each.m_Held.compare(0, Prefix.size(), Prefix) == 0;
      }));
}

double GatewaySoak::between(double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(m_Random);
}

void GatewaySoak::faultKeeper() {
  std::size_t Index = m_Random() % m_Fleet.keepers();
  std::string Name = "keeper-" + std::to_string(Index + 1);
  if (heldWith("keeper") > 0)
    return;
  ChildProcess &Process = m_Fleet.keeper(Index);
  std::uint64_t Which = m_Random() % 4;
  bool DiskFree = historyNow() >= m_DiskFreeAt;
  if (Which == 0) {
    Process.freeze();
    return begin("keeper frozen", Name, between(100, 6000),
                 [&Process] { Process.thaw(); });
  }
  if (Which == 1 && DiskFree) {
    Process.kill();
    m_Fleet.wipeKeeper(Index);
    m_DiskFreeAt = historyNow() + DiskLossPauseMs;
    return begin("keeper's disk lost", Name, between(50, 2000),
                 [this, Index] { m_Fleet.startKeeper(Index); });
  }
  if (Which == 2 && DiskFree) {
    Process.kill();
    constexpr std::int64_t FullAfterBytes = 20000;
    m_Fleet.startKeeper(Index, false, FullAfterBytes);
    return begin("keeper's disk full", Name, between(500, 4000),
                 [this, Index, &Process] {
                   Process.kill();
                   m_Fleet.startKeeper(Index);
                 });
  }
  Process.kill();
  begin("keeper killed", Name, between(50, 4000),
        [this, Index] { m_Fleet.startKeeper(Index); });
}

void GatewaySoak::killAllKeepers() {
  if (heldWith("keeper") > 0)
    return;
  for (std::size_t Index = 0; Index < m_Fleet.keepers(); ++Index)
    m_Fleet.keeper(Index).kill();
  begin("all keepers killed", "keepers", between(50, 900), [this] {
    for (std::size_t Index = 0; Index < m_Fleet.keepers(); ++Index)
      m_Fleet.startKeeper(Index);
  });
}

void GatewaySoak::faultGateway() {
  std::size_t Index = m_Random() % m_Fleet.gateways();
  std::string Name = "gateway-" + std::to_string(Index + 1);
  if (isHeld(Name) || heldWith("gateway") * 2 >= m_Fleet.gateways())
    return;
  ChildProcess &Process = m_Fleet.gateway(Index);
  switch (m_Random() % 4) {
  case 0:
    Process.freeze();
    return begin("gateway frozen", Name, between(100, 7000),
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
    begin("gateway killed", Name, between(50, 3000),
          [this, Index] { m_Fleet.startGateway(Index); });
  }
}

void GatewaySoak::faultTarget() {
  PlatformFakes &Targets = m_Fleet.targets();
  std::size_t Index = m_Random() % Targets.size();
  std::string Name = "target-" + std::to_string(Index + 1);
  if (isHeld(Name) || heldWith("target") * 3 >= Targets.size())
    return;
  std::uint64_t Which = m_Random() % 7;
  if (Which == 0) {
    Targets.stop(Index);
    return begin("target crashed", Name, between(200, 4000),
                 [&Targets, Index] { Targets.restart(Index); });
  }
  if (Which == 1) {
    Targets.setLeaving(Index, true);
    return begin("target leaving", Name, between(3000, 6000),
                 [&Targets, Index] {
                   Targets.stop(Index);
                   Targets.restart(Index);
                   Targets.setLeaving(Index, false);
                 });
  }
  TargetFaults Faults;
  double Share = between(0.05, 0.5);
  (Which == 2   ? Faults.m_Broken
   : Which == 3 ? Faults.m_AnswerLost
   : Which == 4 ? Faults.m_ExtraBytes
   : Which == 5 ? Faults.m_Silent
                : Faults.m_Error) = Share;
  Targets.setFaults(Index, Faults);
  begin("target faulty", Name, between(500, 5000),
        [&Targets, Index] { Targets.setFaults(Index, TargetFaults()); });
}

void GatewaySoak::faultLink() {
  bool ToKeeper = m_Random() % 2 == 0;
  std::size_t Index =
      m_Random() % (ToKeeper ? m_Fleet.keepers() : m_Fleet.gateways());
  std::string Name =
      (ToKeeper ? "keeper-link-" : "front-link-") + std::to_string(Index + 1);
  // A keeper behind a cut link counts as lost.
  if (isHeld(Name) || (ToKeeper && heldWith("keeper") > 0))
    return;
  LinkProxy &Link =
      ToKeeper ? m_Fleet.keeperLink(Index) : m_Fleet.frontLink(Index);
  std::uint64_t Seed = m_Random();
  double Share = m_Random() % 2 ? 1.0 : between(0.2, 0.8);
  switch (m_Random() % 4) {
  case 0:
    Link.reset(Share, Seed);
    ++m_Counts["link reset"];
    return;
  case 1:
    Link.delay(
        std::chrono::milliseconds(static_cast<std::int64_t>(between(5, 150))));
    return begin("link delayed", Name, between(300, 4000),
                 [&Link] { Link.heal(); });
  case 2:
    Link.cut(Share, Seed,
             m_Random() % 2 ? CutDirection::ToTarget : CutDirection::ToCaller);
    return begin("link cut one way", Name, between(300, 6000),
                 [&Link] { Link.heal(); });
  default:
    Link.cut(Share, Seed);
    begin("link cut", Name, between(300, 6000), [&Link] { Link.heal(); });
  }
}

void GatewaySoak::faultList() {
  if (isHeld("list"))
    return;
  m_Fleet.targets().setListFails(true);
  begin("target list fails", "list", between(300, 3000),
        [this] { m_Fleet.targets().setListFails(false); });
}

void GatewaySoak::endByItself(ChildProcess &Process, const std::string &Name) {
  if (!Process.started())
    return;
  int Code = Process.waitForExit(0);
  if (Code >= 0)
    m_Found.add(Name + " ended by itself with " + std::to_string(Code));
}

void GatewaySoak::checkAlive() {
  for (std::size_t Index = 0; Index < m_Fleet.keepers(); ++Index)
    endByItself(m_Fleet.keeper(Index), "keeper-" + std::to_string(Index + 1));
  for (std::size_t Index = 0; Index < m_Fleet.gateways(); ++Index)
    endByItself(m_Fleet.gateway(Index), "gateway-" + std::to_string(Index + 1));
}

std::string GatewaySoak::summary() const {
  std::string Text;
  for (const std::pair<const std::string, int> &Row : m_Counts)
    Text += (Text.empty() ? "" : ", ") + Row.first + " " +
            std::to_string(Row.second);
  return Text;
}

} // namespace vanillaferry::tests
