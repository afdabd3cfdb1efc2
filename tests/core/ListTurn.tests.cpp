#include "vanillaferry/process/list_turn.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

using namespace vanillaferry;

namespace {

constexpr int Keepers = 9;
constexpr Millis Step{10};
/// Half of the four seconds within which a leaving target has to be known.
constexpr Millis NewsBound{2000};
/// A reading on a twentieth of a core, and the way of its list.
constexpr Millis ReadingTime{400};
constexpr Millis DeliveryTime{100};

KeeperId keeperAt(int Index) { return KeeperId("k" + std::to_string(Index)); }

struct ReplayedKeeper {
  ListTurn m_Turn;
  Millis m_ReadingTime = ReadingTime;
  bool m_Lost = false;
  bool m_Reading = false;
  Millis m_BeganAt;
};

struct DeliveredList {
  Millis m_At;
  Millis m_BeganAt;
  KeeperId m_Reader;
};

/// Nine keepers that read the list by their turns and tell each other.
class Replay {
public:
  Replay() : m_All(Keepers) {
    for (int Index = 0; Index < Keepers; ++Index)
      m_Voters.push_back(keeperAt(Index));
  }

  ReplayedKeeper &at(int Index) { return m_All[Index]; }
  KeeperId m_Leader = keeperAt(0);
  int readings() const { return m_Readings; }

  void run(Millis Until) {
    for (; m_Now < Until; m_Now = m_Now + Step)
      advance();
  }

  /// Longest time that the list of a keeper that runs was old since the start
  /// or the last call.
  Millis takeOldest() {
    Millis Oldest = m_Oldest;
    m_Oldest = Millis(0);
    return Oldest;
  }

private:
  void advance() {
    for (const DeliveredList &List : m_Lists)
      if (List.m_At == m_Now)
        deliver(List);
    for (int Index = 0; Index < Keepers; ++Index) {
      ReplayedKeeper &Each = m_All[Index];
      if (Each.m_Lost)
        continue;
      m_Oldest = std::max(m_Oldest, m_Now - Each.m_Turn.m_NewestAt);
      if (Each.m_Reading && m_Now - Each.m_BeganAt >= Each.m_ReadingTime) {
        Each.m_Reading = false;
        m_Lists.push_back(
            {m_Now + DeliveryTime, Each.m_BeganAt, keeperAt(Index)});
      }
      std::size_t Rank = readerRank(m_Voters, keeperAt(Index), m_Leader,
                                    Each.m_Turn.m_LastReader);
      if (Each.m_Reading || !listReadingDue(Each.m_Turn, Rank, m_Now))
        continue;
      Each.m_Reading = true;
      Each.m_BeganAt = Each.m_Turn.m_OwnAt = m_Now;
      ++m_Readings;
    }
  }

  void deliver(const DeliveredList &List) {
    for (ReplayedKeeper &Each : m_All)
      if (!Each.m_Lost && List.m_BeganAt > Each.m_Turn.m_NewestAt) {
        Each.m_Turn.m_NewestAt = List.m_BeganAt;
        Each.m_Turn.m_LastReader = List.m_Reader;
      }
  }

  std::vector<ReplayedKeeper> m_All;
  std::vector<KeeperId> m_Voters;
  std::vector<DeliveredList> m_Lists;
  Millis m_Now;
  Millis m_Oldest;
  int m_Readings = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ListTurns)

// Guards against more calls to the platform than one reader made.
BOOST_AUTO_TEST_CASE(KeepersReadInTurnAsOftenAsOneWould) {
  Replay Fleet;
  Fleet.run(Millis(28000));
  BOOST_TEST(Fleet.readings() >= 28000 / 900);
  BOOST_TEST(Fleet.readings() <= 28000 / ListReadInterval.m_Value + 1);
  BOOST_TEST(Fleet.at(0).m_Turn.m_OwnAt == Millis(0));
  BOOST_TEST(Fleet.takeOldest() <=
             ListReadInterval + ReadingTime + DeliveryTime + Step + Step);
}

// Guards against news that waits for one slow or lost reader.
BOOST_AUTO_TEST_CASE(AReaderThatIsSlowOrLostIsReplacedInTime) {
  for (int Slow = 0; Slow < Keepers; ++Slow)
    for (bool Lost : {false, true}) {
      Replay Fleet;
      Fleet.run(Millis(5000));
      Fleet.takeOldest();
      Fleet.at(Slow).m_Lost = Lost;
      Fleet.at(Slow).m_ReadingTime = Millis(60000);
      Fleet.run(Millis(30000));
      BOOST_TEST_CONTEXT("keeper " << Slow << (Lost ? " lost" : " slow"))
      BOOST_TEST(Fleet.takeOldest() <= NewsBound);
    }
}

// Guards against readings that end after the news has come from elsewhere and
// would make it older.
BOOST_AUTO_TEST_CASE(SlowReadingsOfAllKeepersOverlap) {
  Replay Fleet;
  for (int Index = 0; Index < Keepers; ++Index)
    Fleet.at(Index).m_ReadingTime = Millis(1500);
  Fleet.run(Millis(5000));
  Fleet.takeOldest();
  Fleet.run(Millis(40000));
  // Two intervals until the next begins, its time and the way.
  BOOST_TEST(Fleet.takeOldest() <= Millis(2 * 700 + 1500 + 100 + 20));
}

BOOST_AUTO_TEST_CASE(TheLeaderReadsLast) {
  std::vector<KeeperId> Voters = {KeeperId("b"), KeeperId("a"), KeeperId("c")};
  KeeperId Leader("a");
  BOOST_TEST(readerRank(Voters, KeeperId("b"), Leader, KeeperId()) == 0U);
  BOOST_TEST(readerRank(Voters, KeeperId("c"), Leader, KeeperId()) == 1U);
  BOOST_TEST(readerRank(Voters, Leader, Leader, KeeperId("b")) == 2U);
  BOOST_TEST(readerRank(Voters, KeeperId("c"), Leader, KeeperId("b")) == 0U);
  BOOST_TEST(readerRank({Leader}, Leader, Leader, Leader) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
