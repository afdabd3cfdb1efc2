#include "vanillaferry/process/prefix_cache.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

PrefixTable makeTable() {
  PrefixTable Table;
  Table.m_Capacity = Tokens(10000);
  return Table;
}

CacheEvent evicted(std::uint64_t Number, std::uint64_t Chat) {
  return {Number, CacheEventKind::Evicted, Chat, Tokens(100)};
}

CacheEvent stored(std::uint64_t Number, std::uint64_t Chat) {
  return {Number, CacheEventKind::Stored, Chat, Tokens(100)};
}

/// Runs chats 1 to Count, then polls until they no longer count as recent.
void runAndWait(PrefixTable &Table, std::uint64_t Count) {
  for (std::uint64_t Chat = 1; Chat <= Count; ++Chat)
    recordChat(Table, Chat, Tokens(100));
  for (int Poll = 0; Poll < 3; ++Poll) {
    beginCachePoll(Table);
    takeCacheAnswer(Table, {"one", {}, 10, 0});
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixCache)

// Guards against placing chats at a target that evicted them.
BOOST_AUTO_TEST_CASE(AnEvictedChatIsRemoved) {
  PrefixTable Table = makeTable();
  runAndWait(Table, 3);
  BOOST_TEST(beginCachePoll(Table) == 10U);
  CacheCorrection Done =
      takeCacheAnswer(Table, {"one", {evicted(11, 2), evicted(12, 9)}, 12, 0});
  BOOST_TEST(Done.m_Evicted == 1U);
  BOOST_TEST(heldTokens(Table, 2).m_Value == 0);
  BOOST_TEST(heldTokens(Table, 1).m_Value == 100);
  BOOST_TEST(beginCachePoll(Table) == 12U);
}

// Guards against a late eviction that undoes a newer run, and against events
// that are reported twice.
BOOST_AUTO_TEST_CASE(ALateEvictionDoesNotUndoANewerRun) {
  PrefixTable Table = makeTable();
  runAndWait(Table, 3);
  beginCachePoll(Table);
  takeCacheAnswer(Table, {"one", {}, 10, 0});
  recordChat(Table, 2, Tokens(200));
  beginCachePoll(Table);
  takeCacheAnswer(Table, {"one", {evicted(11, 2)}, 11, 0});
  BOOST_TEST(heldTokens(Table, 2).m_Value == 200);
  beginCachePoll(Table);
  beginCachePoll(Table);
  takeCacheAnswer(Table, {"one", {evicted(11, 2)}, 11, 0});
  BOOST_TEST(heldTokens(Table, 2).m_Value == 200);
  takeCacheAnswer(Table, {"one", {evicted(12, 2)}, 12, 0});
  BOOST_TEST(heldTokens(Table, 2).m_Value == 0);
}

// Guards against keeping chats whose evictions may be among the lost events.
BOOST_AUTO_TEST_CASE(AGapDropsAsManyOldChatsAsEventsAreMissing) {
  PrefixTable Table = makeTable();
  runAndWait(Table, 5);
  recordChat(Table, 1, Tokens(150));
  beginCachePoll(Table);
  CacheCorrection Done = takeCacheAnswer(Table, {"one", {}, 20, 2});
  BOOST_TEST(Done.m_Doubtful == 2U);
  // Chat 1 ran recently; 2 and 3 are the oldest of the others.
  BOOST_TEST(heldTokens(Table, 1).m_Value == 150);
  BOOST_TEST(heldTokens(Table, 2).m_Value == 0);
  BOOST_TEST(heldTokens(Table, 3).m_Value == 0);
  BOOST_TEST(heldTokens(Table, 4).m_Value == 100);
  recordChat(Table, 1, Tokens(150));
  beginCachePoll(Table);
  BOOST_TEST(takeCacheAnswer(Table, {"one", {}, 200, 180}).m_Doubtful == 2U);
  BOOST_TEST(Table.m_Recent.size() == 1U);
  BOOST_TEST(Table.m_Used.m_Value == 150);
}

// Guards against missing events of a new instance because its numbers start
// again, and against keeping chats that the former instance held.
BOOST_AUTO_TEST_CASE(EventsOfANewInstanceAreReadFromTheStart) {
  PrefixTable Table = makeTable();
  runAndWait(Table, 3);
  recordChat(Table, 7, Tokens(100));
  beginCachePoll(Table);
  CacheCorrection Done = takeCacheAnswer(Table, {"two", {evicted(3, 7)}, 3, 0});
  BOOST_TEST(Done.m_NewInstance);
  BOOST_TEST(Done.m_Doubtful == 3U);
  BOOST_TEST(heldTokens(Table, 7).m_Value == 100);
  BOOST_TEST(beginCachePoll(Table) == 0U);
  Done = takeCacheAnswer(Table, {"two", {stored(1, 8)}, 4, 0});
  BOOST_TEST(!Done.m_NewInstance);
  BOOST_TEST(heldTokens(Table, 8).m_Value == 100);
}

// Guards against a new owner that knows none of its target's chats, and against
// keeping a stored chat whose eviction follows in the same answer.
BOOST_AUTO_TEST_CASE(ANewOwnerLearnsFromTheLastEvents) {
  PrefixTable Table = makeTable();
  beginCachePoll(Table);
  CacheCorrection Done = takeCacheAnswer(
      Table,
      {"one", {stored(501, 1), stored(502, 2), evicted(503, 1)}, 503, 9});
  BOOST_TEST(Done.m_Evicted == 1U);
  BOOST_TEST(Done.m_Doubtful == 0U);
  BOOST_TEST(heldTokens(Table, 1).m_Value == 0);
  BOOST_TEST(heldTokens(Table, 2).m_Value == 100);
}

BOOST_AUTO_TEST_SUITE_END()
