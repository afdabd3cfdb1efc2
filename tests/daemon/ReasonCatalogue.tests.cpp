#include "vanillaferry/process/reason.hpp"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>
#include <string>

using namespace vanillaferry;

namespace {

std::string reasonsPage() {
  std::ifstream File(VANILLAFERRY_SOURCE_DIR "/docs/reasons.md");
  std::stringstream Page;
  Page << File.rdbuf();
  return Page.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReasonCatalogue)

// Guards against a refusal whose number or status is missing in
// docs/reasons.md.
BOOST_AUTO_TEST_CASE(EveryReasonIsInTheCatalogue) {
  std::string Page = reasonsPage();
  for (RefusalReason Reason : allRefusalReasons()) {
    std::string Row = "| " + std::to_string(static_cast<int>(Reason)) + " | `" +
                      refusalName(Reason) + "` | " +
                      std::to_string(refusalHttpStatus(Reason)) + " |";
    BOOST_TEST(Page.find(Row) != std::string::npos, Row);
  }
  for (RetryReason Reason : allRetryReasons()) {
    std::string Row = "| " + std::to_string(static_cast<int>(Reason)) + " | `" +
                      retryName(Reason) + "` |";
    BOOST_TEST(Page.find(Row) != std::string::npos, Row);
  }
}

BOOST_AUTO_TEST_SUITE_END()
