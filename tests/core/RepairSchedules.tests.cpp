#include "RepairWorld.hpp"

#include <boost/test/unit_test.hpp>

using namespace replication_test;

namespace {

/// Bound of the users' sheets for service after the last fault.
constexpr std::int64_t RecoveryTime = 12000;
/// Time for repairs, and for the removal of VMs that are gone.
constexpr std::int64_t FullSetTime = 25000;
constexpr int FaultsPerSchedule = 5;
constexpr std::uint64_t MaxReported = 5;

struct Outcome {
  std::uint64_t m_Seed = 0;
  std::string m_Violation;
  /// Time from the last return until a leader committed; negative for never.
  std::int64_t m_CommitTook = -1;
  bool m_FullSet = false;
  std::string m_Description;
};

Outcome runSchedule(std::uint64_t Seed) {
  bool Large = Seed % 4 == 0;
  RepairWorld World(Seed, Large ? 9 : 5, Large ? 2 : 1);
  std::mt19937_64 Random(Seed);
  // Leaders of all ages meet the first fault.
  World.run(4000 + static_cast<std::int64_t>(Random() % 30000));
  for (int I = 0; I < FaultsPerSchedule; ++I) {
    World.injectFault();
    World.run(static_cast<std::int64_t>(Random() % 5000));
  }
  World.settle();
  World.loseDisksAndPower();
  Outcome Result;
  Result.m_Seed = Seed;
  Result.m_CommitTook = World.timeToCommit(RecoveryTime);
  Result.m_FullSet =
      Result.m_CommitTook >= 0 && World.awaitFullSet(FullSetTime);
  Result.m_Violation = World.violation();
  Result.m_Description = World.describe();
  return Result;
}

/// Both tests judge the same schedules. VANILLAFERRY_SEED runs one seed,
/// VANILLAFERRY_REPAIR_SCHEDULES another number of them.
const std::vector<Outcome> &outcomes() {
  static const std::vector<Outcome> All = [] {
    std::uint64_t First = numberFromEnvironment("VANILLAFERRY_SEED", 0);
    std::uint64_t Count =
        First != 0
            ? 1
            : numberFromEnvironment("VANILLAFERRY_REPAIR_SCHEDULES", 400);
    std::vector<Outcome> Run;
    for (std::uint64_t I = 0; I < Count; ++I)
      Run.push_back(runSchedule(First != 0 ? First : I + 1));
    return Run;
  }();
  return All;
}

template <typename Check> void expectAll(const Check &Holds) {
  std::uint64_t Failures = 0;
  for (const Outcome &Each : outcomes())
    if (!Holds(Each) && ++Failures <= MaxReported)
      BOOST_ERROR("VANILLAFERRY_SEED=" << Each.m_Seed << ": "
                                       << Each.m_Violation << " "
                                       << Each.m_Description);
  BOOST_TEST_MESSAGE("schedules " << outcomes().size() << ", broken "
                                  << Failures);
  BOOST_TEST(Failures == 0u);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RepairSchedules)

// Guards against a keeper set that loses votes, or counts VMs that are gone,
// until one tolerable loss of disks more leaves no quorum.
BOOST_AUTO_TEST_CASE(ALeaderReturnsAfterTolerableLosses) {
  expectAll([](const Outcome &Each) {
    return Each.m_Violation.empty() && Each.m_CommitTook >= 0;
  });
}

// Guards against keepers that run on without a vote after they were removed.
BOOST_AUTO_TEST_CASE(AllKeepersThatRunGetTheirVoteBack) {
  expectAll([](const Outcome &Each) {
    return Each.m_CommitTook < 0 || Each.m_FullSet;
  });
}

BOOST_AUTO_TEST_SUITE_END()
