#include "vanillaferry/request/event_stream.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

BOOST_AUTO_TEST_SUITE(EventStreams)

// Guards against text that is lost, repeated or joined to that of another
// attempt when a stream breaks inside an event, at any position.
BOOST_AUTO_TEST_CASE(EveryCutLeavesWholeEventsAndTheIdOfTheLast) {
  const std::string Text = "id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\n: note\n\n"
                           "id: 9\ndata: c\n\n";
  for (std::size_t Cut = 0; Cut <= Text.size(); ++Cut) {
    EventSplitter Splitter;
    std::string Events = extractEvents(Splitter, Text.data(), Cut);
    BOOST_TEST(Events + Splitter.m_Rest == Text.substr(0, Cut));
    BOOST_TEST((Events.empty() || Events.substr(Events.size() - 1) == "\n"));
    Events += extractEvents(Splitter, Text.data() + Cut, Text.size() - Cut);
    BOOST_TEST(Events == Text);
    BOOST_TEST(Splitter.m_LastId.value() == 9U);
  }
}

// Guards against resuming after an event that was not received completely.
BOOST_AUTO_TEST_CASE(AnIncompleteEventDoesNotCount) {
  EventSplitter Splitter;
  const std::string Text = "id: 1\ndata: a\n\nid: 2\ndata: b\n";
  BOOST_TEST(extractEvents(Splitter, Text.data(), Text.size()) ==
             "id: 1\ndata: a\n\n");
  BOOST_TEST(Splitter.m_LastId.value() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
