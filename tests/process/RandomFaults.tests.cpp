#include "FaultCallers.hpp"
#include "FaultSchedule.hpp"
#include "RouterFleet.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <sstream>

using namespace vanillaferry;
using namespace vanillaferry::tests;
using nlohmann::json;

namespace {

constexpr std::uint64_t DefaultSeed = 4;
constexpr std::uint64_t DefaultSeconds = 15;
constexpr int LoadEndLimitMs = 90000;
constexpr int QuietSeconds = 4;

std::uint64_t numberFrom(const char *Variable, std::uint64_t Default) {
  const char *Text = std::getenv(Variable);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

/// Refusals that a fleet with these faults may answer to a correct request.
bool mayRefuse(const std::string &Reason) {
  static const std::set<std::string> Allowed = {
      "queue_full",         "deadline_unreachable", "no_lease",
      "draining",           "no_target_in_service", "target_failed",
      "retry_budget_spent", "deadline_passed",      "stream_broken"};
  return Allowed.count(Reason) != 0;
}

/// Leaves out the calls that were cut because the caller's own router was
/// killed; returns how many.
std::size_t excuseKilledRouters(RouterFleet &Fleet, std::size_t Routers,
                                const RouterOutages &Outages) {
  std::istringstream Lines(Fleet.recordedCalls());
  std::string Kept;
  std::string Line;
  std::size_t Excused = 0;
  while (std::getline(Lines, Line)) {
    json Call = json::parse(Line);
    bool Cut = Call["outcome"] == "nothing" ||
               (Call["outcome"] == "answer" && Call["complete"] == false &&
                Call["received"] == Call["sent"]);
    bool Killed = false;
    for (std::size_t I = 0; Cut && I < Routers; ++I)
      Killed = Killed || (Call["router"] == Fleet.routerUrl(I) &&
                          Outages.overlaps(I, Call["start"].get<double>(),
                                           Call["end"].get<double>()));
    if (Killed)
      ++Excused;
    else
      Kept += Line + "\n";
  }
  Fleet.replaceRecordedCalls(Kept);
  return Excused;
}

/// Reports of sanitizers in the output of any process.
std::vector<std::string> sanitizerReports(const std::string &Folder) {
  std::vector<std::string> Found;
  for (const std::filesystem::directory_entry &Entry :
       std::filesystem::directory_iterator(Folder)) {
    std::string Extension = Entry.path().extension();
    if (Extension != ".out" && Extension != ".log")
      continue;
    std::string Text = readWholeFile(Entry.path());
    for (const char *Sign : {"Sanitizer", "runtime error:"}) {
      std::size_t At = Text.find(Sign);
      if (At != std::string::npos)
        Found.push_back(Entry.path().filename().string() + ": " +
                        Text.substr(At, 2000));
    }
  }
  return Found;
}

void checkQuietFleet(RouterFleet &Fleet, std::size_t Routers) {
  std::vector<std::size_t> All;
  for (std::size_t I = 0; I < Routers; ++I) {
    BOOST_TEST(Fleet.waitReady(I, 20000), "router " << I << " is not ready");
    All.push_back(I);
  }
  // Leases of the last faults end, targets change hands, engines warm up.
  std::this_thread::sleep_for(std::chrono::seconds(QuietSeconds));
  Fleet.startLoad(All, 30, QuietSeconds, {"--seed", "77"});
  LoadReport Load = Fleet.finishLoad();
  BOOST_TEST(Load.number("whole") == Load.number("sent"), Load.m_Figures);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RandomFaults)

// Guards against answers that are lost or mixed up, journaled calls that run
// twice, work out of service and edits that revert, while faults of all kinds
// come together. docs/testing.md has the command of the long run.
BOOST_AUTO_TEST_CASE(AFleetUnderRandomFaultsKeepsItsPromises) {
  std::uint64_t Seed = numberFrom("VANILLAFERRY_FAULT_SEED", DefaultSeed);
  std::uint64_t Seconds =
      numberFrom("VANILLAFERRY_FAULT_SECONDS", DefaultSeconds);
  std::cout << "random faults: seed " << Seed << ", " << Seconds << " s"
            << std::endl;
  FleetPlan Plan{3, 4, 6};
  Plan.m_Platform = true;
  Plan.m_Proxied = true;
  RouterFleet Fleet(Plan);
  RouterOutages Outages;
  FoundFaults Found;
  FaultSchedule Schedule(Fleet, Plan, Outages, Found, Seed);
  Fleet.startLoad({0, 1, 2, 3}, 40, static_cast<double>(Seconds),
                  {"--retries", "5", "--seed", std::to_string(Seed)});
  LoadReport Load;
  {
    FaultCallers Callers(Fleet, Outages, Found, Plan.m_Routers, Seed);
    Schedule.run(static_cast<double>(Seconds));
    Callers.stop();
    Load = Fleet.finishLoad(LoadEndLimitMs);
    checkQuietFleet(Fleet, Plan.m_Routers);
    Callers.checkOrders();
    std::cout << "callers: " << Callers.summary() << std::endl;
  }
  Schedule.checkAlive();
  std::size_t Excused = excuseKilledRouters(Fleet, Plan.m_Routers, Outages);
  std::cout << "faults: " << Schedule.summary() << "\nload: " << Load.m_Figures
            << "\ncut with their killed router: " << Excused << std::endl;
  for (const std::string &Fault : Found.all())
    BOOST_ERROR(Fault);
  for (const std::string &Report : sanitizerReports(Fleet.keepers().folder()))
    BOOST_ERROR(Report);
  BOOST_TEST(Load.number("wrong") == 0U);
  BOOST_TEST(Load.number("whole") > 0U);
  for (const auto &Row : Load.m_Figures["refused"].items())
    BOOST_TEST(mayRefuse(Row.key()), "refused with " << Row.key());
  int Code = Fleet.checkHistory();
  BOOST_TEST(Code == 0, Fleet.historyReport());
}

BOOST_AUTO_TEST_SUITE_END()
