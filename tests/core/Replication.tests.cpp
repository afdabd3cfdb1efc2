#include "ReplicationHarness.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace vanillaferry;
using namespace replication_test;

BOOST_AUTO_TEST_SUITE(Replication)

// Guards against any schedule of faults that loses or changes a committed
// entry, elects two leaders or confirms a stale read. VANILLAFERRY_SEED runs
// one seed, VANILLAFERRY_SCHEDULES another number of them.
BOOST_AUTO_TEST_CASE(RandomSchedulesKeepEverySafetyProperty) {
  std::uint64_t First = numberFromEnvironment("VANILLAFERRY_SEED", 0);
  std::uint64_t Count =
      First != 0 ? 1 : numberFromEnvironment("VANILLAFERRY_SCHEDULES", 10000);
  Coverage Total;
  std::uint64_t Failures = 0;
  for (std::uint64_t I = 0; I < Count && Failures < 5; ++I) {
    std::uint64_t Seed = First != 0 ? First : I + 1;
    std::string Violation = runSchedule(Seed, Total);
    if (Violation.empty())
      continue;
    ++Failures;
    BOOST_ERROR("VANILLAFERRY_SEED=" << Seed << ": " << Violation);
  }
  BOOST_TEST_MESSAGE(
      "schedules " << Count << ", elections " << Total.m_Elections
                   << ", commits " << Total.m_Commits << ", reads "
                   << Total.m_Reads << " (failed " << Total.m_FailedReads
                   << "), crashes " << Total.m_Crashes << ", freezes "
                   << Total.m_Freezes << ", cuts " << Total.m_Cuts
                   << ", lost disks " << Total.m_DiskLosses
                   << ", refused returns " << Total.m_RefusedReturns
                   << ", promotions " << Total.m_Promotions << ", removals "
                   << Total.m_Removals << ", snapshots installed "
                   << Total.m_SnapshotsInstalled << ", truncations "
                   << Total.m_Truncations << ", lease checks "
                   << Total.m_LeaseChecks << ", recovered " << Total.m_Recovered
                   << ", without quorum " << Total.m_NoQuorumLeft);
  BOOST_TEST(Failures == 0u);
  if (First != 0 || Count < 1000)
    return;
  // The checks above prove nothing unless the schedules reach these cases.
  BOOST_TEST(Total.m_Elections > Count);
  BOOST_TEST(Total.m_Reads > Count);
  BOOST_TEST(Total.m_DiskLosses > Count / 20);
  BOOST_TEST(Total.m_Promotions > Count / 20);
  BOOST_TEST(Total.m_RefusedReturns > 0u);
  BOOST_TEST(Total.m_SnapshotsInstalled > Count / 20);
  BOOST_TEST(Total.m_Truncations > Count / 50);
  BOOST_TEST(Total.m_Recovered > Count * 9 / 10);
}

BOOST_AUTO_TEST_SUITE_END()
