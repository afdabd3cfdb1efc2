#include "vanillaferry/request/load_board.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace vanillaferry;

namespace {

constexpr Millis Now{1000};

/// Running requests at a key in a list; 0 when it is not listed.
std::uint32_t runningAt(const std::vector<KeyedLoad> &Loads,
                        std::uint32_t Key) {
  std::uint32_t Sum = 0;
  for (const KeyedLoad &Each : Loads)
    Sum += Each.m_Key == Key ? Each.m_Running : 0;
  return Sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadBoards)

// Guards against a router that counts its own requests twice.
BOOST_AUTO_TEST_CASE(ARouterGetsTheSumOfTheOthers) {
  LoadTable Table;
  noteLoads(Table, NodeId("a"), {{7, 3}, {8, 1}}, Now);
  noteLoads(Table, NodeId("b"), {{7, 2}}, Now);
  noteLoads(Table, NodeId("c"), {{9, 4}}, Now);
  // A later report replaces the former one.
  noteLoads(Table, NodeId("b"), {{7, 5}}, Now);
  std::optional<std::vector<KeyedLoad>> Others =
      loadsOfOthers(Table, NodeId("a"), 3, Now);
  BOOST_REQUIRE(Others.has_value());
  BOOST_TEST(runningAt(*Others, 7) == 5U);
  BOOST_TEST(runningAt(*Others, 8) == 0U);
  BOOST_TEST(runningAt(*Others, 9) == 4U);
}

// Guards against a new leader that treats missing reports as idle engines.
BOOST_AUTO_TEST_CASE(ASumOfFewRoutersIsNotGiven) {
  LoadTable Table;
  noteLoads(Table, NodeId("a"), {{7, 3}}, Now);
  BOOST_TEST(!loadsOfOthers(Table, NodeId("a"), 9, Now).has_value());
}

// Guards against counting the requests of a lost router forever.
BOOST_AUTO_TEST_CASE(AReportOfALostRouterEnds) {
  LoadTable Table;
  noteLoads(Table, NodeId("lost"), {{7, 3}}, Now);
  Millis Later = Now + Millis(5000);
  noteLoads(Table, NodeId("a"), {}, Later);
  std::optional<std::vector<KeyedLoad>> Others =
      loadsOfOthers(Table, NodeId("a"), 1, Later);
  BOOST_REQUIRE(Others.has_value());
  BOOST_TEST(Others->empty());
}

// Guards against counts that change between encoding and decoding.
BOOST_AUTO_TEST_CASE(PackedLoadsAreReadBack) {
  std::vector<KeyedLoad> Sent = {
      {0, 1}, {0x80FF00FF, 127}, {5, 128}, {6, 0}, {0xFFFFFFFF, 0xFFFFFFFF}};
  Result<std::vector<KeyedLoad>> Got = decodeLoads(encodeLoads(Sent));
  BOOST_REQUIRE(Got.has_value());
  for (const KeyedLoad &Each : Sent)
    BOOST_TEST(runningAt(Got.value(), Each.m_Key) == Each.m_Running);
  BOOST_TEST(Got.value().size() == 4U);
}

// Guards against a malformed report that crashes a keeper.
BOOST_AUTO_TEST_CASE(MalformedLoadsAreRefusedOrRead) {
  BOOST_TEST(!decodeLoads("abc").has_value());
  BOOST_TEST(!decodeLoads("abcd").has_value());
  BOOST_TEST(!decodeLoads("abcd\xff").has_value());
  BOOST_TEST(!decodeLoads("abcd\xff\xff\xff\xff\x7f").has_value());
  std::mt19937_64 Random(4);
  for (int Round = 0; Round < 10000; ++Round) {
    std::string Bytes(Random() % 24, '\0');
    for (char &Each : Bytes)
      Each = static_cast<char>(Random());
    Result<std::vector<KeyedLoad>> Read = decodeLoads(Bytes);
    BOOST_TEST((!Read || Read.value().size() * 5 <= Bytes.size()));
  }
}

BOOST_AUTO_TEST_SUITE_END()
