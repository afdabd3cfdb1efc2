#include "vanillaferry/process/prompt_report_sum.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

constexpr Millis Hold{250};

PromptReport crashReport(const std::string &Target, Millis Age,
                         std::uint64_t Request) {
  PromptReport Report;
  Report.m_Crashes.push_back({TargetId(Target), Age, {{Request, 1, "p"}}});
  return Report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptReportSums)

// Guards against a leader that gets each report of each gateway.
BOOST_AUTO_TEST_CASE(ReportsOfManyGatewaysBecomeOne) {
  PromptReportSum Sum;
  for (std::uint64_t Gateway = 1; Gateway <= 32; ++Gateway) {
    PromptReport Report = crashReport("t1", Millis(100), Gateway);
    Report.m_Served.push_back({PromptPartId("p"), Millis(Gateway)});
    Report.m_History = Millis(Gateway);
    addReport(Sum, Report, Millis(1000));
  }
  BOOST_TEST(!takeReport(Sum, NodeId("k"), Hold, Millis(1249)).has_value());
  std::optional<PromptReport> Taken =
      takeReport(Sum, NodeId("k"), Hold, Millis(1250));
  BOOST_REQUIRE(Taken.has_value());
  BOOST_TEST(Taken->m_Node == NodeId("k"));
  BOOST_TEST(Taken->m_History == Millis(32));
  BOOST_REQUIRE_EQUAL(Taken->m_Served.size(), 1u);
  // The last answer, and the time that the sum was held.
  BOOST_TEST(Taken->m_Served[0].m_Age == Millis(251));
  BOOST_REQUIRE_EQUAL(Taken->m_Crashes.size(), 1u);
  BOOST_TEST(Taken->m_Crashes[0].m_Age == Millis(350));
  BOOST_TEST(Taken->m_Crashes[0].m_Requests.size() == 32u);
  BOOST_TEST(!takeReport(Sum, NodeId("k"), Hold, Millis(9999)).has_value());
}

// Guards against one end that counts as several because it is reported again,
// and against two ends of one target that count as one.
BOOST_AUTO_TEST_CASE(EndsAreToldApartByTargetAndTime) {
  PromptReportSum Sum;
  addReport(Sum, crashReport("t1", Millis(0), 1), Millis(1000));
  addReport(Sum, crashReport("t1", Millis(100), 1), Millis(1100));
  addReport(Sum, crashReport("t1", Millis(0), 2), Millis(4000));
  addReport(Sum, crashReport("t2", Millis(0), 3), Millis(4000));
  std::optional<PromptReport> Taken =
      takeReport(Sum, NodeId("k"), Hold, Millis(4000));
  BOOST_REQUIRE(Taken.has_value());
  BOOST_REQUIRE_EQUAL(Taken->m_Crashes.size(), 3u);
  BOOST_TEST(Taken->m_Crashes[0].m_Requests.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
