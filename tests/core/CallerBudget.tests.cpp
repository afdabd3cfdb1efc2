#include "vanillaferry/connection/caller_budget.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace vanillaferry;

namespace {

constexpr std::int64_t Kb = 1024;
constexpr std::int64_t Mb = 1024 * Kb;
constexpr Bytes BodySize{4 * Mb};
constexpr Millis Step{10};

/// One caller of the replayed load.
struct Sender {
  /// It stops after these bytes.
  Bytes m_Sends;
  Bytes m_PerStep;
  Bytes m_Held{0};
  Millis m_BegunAt;
  Millis m_WentOnAt;
  Bytes m_Mark{0};
  /// Absent while it sends or holds; comes back then.
  std::optional<Millis> m_BackAt;
  int m_Refused = 0;
  bool m_TookLargeRoom = false;
};

/// Replays bodies that arrive against the budget, without a network.
struct Replay {
  CallerBudget m_Budget;
  std::vector<Sender> m_Senders;
  Millis m_Now;
  Bytes m_Peak{0};

  void refuse(Sender &Each) {
    constexpr Millis ComesBackAfter{200};
    m_Budget.m_Held = m_Budget.m_Held - Each.m_Held;
    Each.m_Held = Bytes(0);
    Each.m_Mark = Bytes(0);
    Each.m_TookLargeRoom = false;
    Each.m_BackAt = m_Now + ComesBackAfter;
    ++Each.m_Refused;
  }

  bool takeRoom(RoomFor For, const Sender *Newcomer) {
    std::vector<CallerHolding> Holdings;
    std::vector<Sender *> Owners;
    for (Sender &Each : m_Senders)
      if (!Each.m_BackAt && &Each != Newcomer && Each.m_Held > Bytes(0)) {
        Holdings.push_back(
            {Each.m_Held, m_Now - Each.m_WentOnAt, Each.m_BegunAt});
        Owners.push_back(&Each);
      }
    for (std::size_t Index : chooseGivingWay(Holdings, m_Budget, For))
      refuse(*Owners[Index]);
    return hasRoom(m_Budget, For);
  }

  void begin(Sender &Each) {
    Each.m_BackAt.reset();
    Each.m_BegunAt = m_Now;
    Each.m_WentOnAt = m_Now;
  }

  void receive(Sender &Each) {
    Bytes Part = std::min(Each.m_PerStep, Each.m_Sends - Each.m_Held);
    if (Part <= Bytes(0))
      return;
    Each.m_Held = Each.m_Held + Part;
    m_Budget.m_Held = m_Budget.m_Held + Part;
    if (Each.m_Held - Each.m_Mark >= ProgressBytes) {
      Each.m_Mark = Each.m_Held;
      Each.m_WentOnAt = m_Now;
    }
    bool Large = Each.m_Held > SmallBodyBytes;
    if (Large && !Each.m_TookLargeRoom) {
      Each.m_TookLargeRoom = true;
      if (!takeRoom(RoomFor::LargeBody, &Each))
        return refuse(Each);
    }
    takeRoom(RoomFor::SmallBody, nullptr);
  }

  void step() {
    m_Now = m_Now + Step;
    for (Sender &Each : m_Senders) {
      if (Each.m_BackAt && m_Now >= *Each.m_BackAt)
        begin(Each);
      if (!Each.m_BackAt)
        receive(Each);
      m_Peak = std::max(m_Peak, m_Budget.m_Held);
    }
  }
};

/// Callers that come at once, send and stop just short of the end.
Replay crowd(std::size_t Count, Bytes Sends, Bytes PerStep) {
  Replay Load;
  Load.m_Budget.m_Limit = Bytes(16 * Mb);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Sender Each;
    Each.m_Sends = Sends - Bytes(1);
    Each.m_PerStep = PerStep;
    Load.m_Senders.push_back(Each);
  }
  return Load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerBudgets)

// Guards against a body that is refused though its caller sends all of it in
// time, while others hold room and do not go on.
BOOST_AUTO_TEST_CASE(AWholeBodyIsTakenBesideOnesThatStopShort) {
  Replay Load = crowd(40, BodySize, Bytes(100 * Kb));
  while (Load.m_Now < Millis(2000))
    Load.step();
  Sender Whole;
  Whole.m_Sends = BodySize;
  Whole.m_PerStep = Bytes(20 * Kb);
  Load.m_Senders.push_back(Whole);
  Load.begin(Load.m_Senders.back());
  // It repeats what is refused, as the others do.
  while (Load.m_Senders.back().m_Held < BodySize && Load.m_Now < Millis(30000))
    Load.step();
  BOOST_TEST(Load.m_Senders.back().m_Held == BodySize);
  BOOST_TEST(Load.m_Peak <= Load.m_Budget.m_Limit + Bytes(100 * Kb));
}

// Guards against an order of a few hundred bytes that finds no room beside
// bodies that stop short.
BOOST_AUTO_TEST_CASE(AnOrderAlwaysFindsRoomBesideUnfinishedBodies) {
  Replay Load = crowd(40, BodySize, Bytes(100 * Kb));
  int Refused = 0;
  while (Load.m_Now < Millis(10000)) {
    Load.step();
    Refused += Load.takeRoom(RoomFor::WholeRequest, nullptr) ? 0 : 1;
    Refused += Load.takeRoom(RoomFor::SmallBody, nullptr) ? 0 : 1;
  }
  BOOST_TEST(Refused == 0);
}

// Guards against a trickle of bytes that keeps the room of a large body.
BOOST_AUTO_TEST_CASE(ATrickleGivesWay) {
  CallerBudget Budget;
  Budget.m_Limit = Bytes(16 * Mb);
  Budget.m_Held = Bytes(17 * Mb);
  std::vector<CallerHolding> Holdings = {
      {Bytes(4 * Mb), Millis(20), Millis(100)},
      {Bytes(4 * Mb), Millis(600), Millis(100)},
      {Bytes(100 * Kb), Millis(20), Millis(5000)}};
  std::vector<std::size_t> Chosen =
      chooseGivingWay(Holdings, Budget, RoomFor::LargeBody);
  BOOST_TEST(Chosen == std::vector<std::size_t>{1},
             boost::test_tools::per_element());
  // An order displaces what goes on as well, the latest large body first.
  Holdings[1].m_Still = Millis(20);
  Chosen = chooseGivingWay(Holdings, Budget, RoomFor::WholeRequest);
  BOOST_TEST_REQUIRE(!Chosen.empty());
  BOOST_TEST(Chosen.front() == 2U);
}

// Guards against callers whose bytes are counted too low.
BOOST_AUTO_TEST_CASE(AProcessNearItsMemoryHasLessRoom) {
  CallerBudget Budget;
  Budget.m_Vm = Bytes(160 * Mb);
  Budget.m_Limit = callerLimit(Bytes(0), Budget.m_Vm);
  BOOST_TEST(callerRoom(Budget) == Bytes(40 * Mb));
  Budget.m_Resident = Bytes(120 * Mb);
  BOOST_TEST(callerRoom(Budget) == Bytes(40 * Mb));
  Budget.m_Resident = Bytes(130 * Mb);
  BOOST_TEST(callerRoom(Budget) == Bytes(30 * Mb));
  Budget.m_Resident = Bytes(159 * Mb);
  BOOST_TEST(callerRoom(Budget) == Bytes(10 * Mb));
}

BOOST_AUTO_TEST_SUITE_END()
