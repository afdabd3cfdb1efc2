#include "process/log.hpp"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

using namespace vanillaferry;

BOOST_AUTO_TEST_SUITE(EventCatalogue)

// Guards against a log event that the operators' documentation does not list.
BOOST_AUTO_TEST_CASE(EveryEventStandsInTheCatalogueWithItsNumberAndName) {
  std::ifstream File(VANILLAFERRY_SOURCE_DIR "/docs/events.md");
  std::stringstream Page;
  Page << File.rdbuf();
  std::set<Event> Numbers;
  for (const EventRow &Row : eventCatalogue()) {
    std::string Line = "| " + std::to_string(static_cast<int>(Row.m_Event)) +
                       " | " + Row.m_Name + " |";
    BOOST_TEST(Page.str().find(Line) != std::string::npos, Line);
    BOOST_TEST(Numbers.insert(Row.m_Event).second, Row.m_Name);
  }
}

BOOST_AUTO_TEST_SUITE_END()
