#include "vanillaferry/request/dispatch.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>
#include <string>

using namespace vanillaferry;

namespace {

constexpr Millis HopTime{1};
constexpr Millis DownTime{3000};
constexpr Millis Second{1000};
constexpr int MaxTries = 4;

/// A service whose targets end when they refuse too many requests in a second.
struct BrittleService {
  std::size_t m_Routers = 1;
  std::size_t m_Targets = 1;
  std::uint32_t m_Slots = 1;
  std::uint64_t m_Bears = 1;
  /// Time that a request runs.
  Millis m_Duration{300};
  /// Answers state the target's load.
  bool m_ReportsLoad = false;
};

struct BrittleTarget {
  std::uint32_t m_Running = 0;
  std::deque<Millis> m_Refusals;
  Millis m_DownUntil;
  std::size_t m_Lives = 0;
};

/// A request at a target, or on its way there or back.
struct BrittleCall {
  enum class Step { Arrives, Refused, Unreachable, Ended };
  Step m_Step = Step::Arrives;
  std::size_t m_Router = 0;
  TargetId m_Target;
  DispatchCriteria m_Need;
  int m_Tries = 0;
  std::size_t m_Life = 0;
};

/// Routers that learn of each other's requests from sums that are as old as
/// those of the leading keeper.
class BrittleFleet {
public:
  explicit BrittleFleet(const BrittleService &Service) : m_Service(Service) {
    std::vector<ListedTarget> Listed;
    for (std::size_t Number = 0; Number < Service.m_Targets; ++Number) {
      ListedTarget Each;
      Each.m_Id = TargetId("t" + std::to_string(Number));
      Each.m_Slots = Service.m_Slots;
      Listed.push_back(Each);
      m_Targets[Each.m_Id];
    }
    m_Pools.resize(Service.m_Routers);
    std::vector<NodeId> Routers;
    for (std::size_t Number = 0; Number < Service.m_Routers; ++Number)
      Routers.push_back(NodeId("r" + std::to_string(Number)));
    for (std::size_t Router = 0; Router < Routers.size(); ++Router) {
      DispatchPool &Pool = m_Pools[Router];
      Pool.m_Limits.m_Routers = Service.m_Routers;
      applyTargetList(Pool, Listed, true, Millis(0));
      applySlotShares(Pool, Routers[Router], Routers);
      stateBears(Pool, Millis(0));
    }
  }

  /// Requests arrive at this multiple of what the targets can run.
  void run(double Load, Millis From, Millis Until) {
    double PerMilli = Load * static_cast<double>(m_Service.m_Targets) *
                      m_Service.m_Slots /
                      static_cast<double>(m_Service.m_Duration.m_Value);
    for (Millis Now = From; Now < Until; Now = Now + Millis(1)) {
      shareLoads(Now);
      step(Now);
      std::size_t Arrivals =
          std::poisson_distribution<std::size_t>(PerMilli)(m_Random);
      for (; Arrivals > 0; --Arrivals) {
        BrittleCall Call;
        Call.m_Router = m_Random() % m_Pools.size();
        Call.m_Need.m_Random = m_Random();
        send(Call, Now);
      }
    }
  }

  std::size_t m_Falls = 0;
  std::size_t m_Served = 0;
  std::size_t m_Sent = 0;

private:
  /// All answers state it.
  void stateBears(DispatchPool &Pool, Millis Now) {
    for (std::pair<const TargetId, DispatchTarget> &Row : Pool.m_Targets)
      noteBearableRefusals(Row.second, m_Service.m_Bears, Now);
  }

  void shareLoads(Millis Now) {
    Millis Interval(std::max<std::int64_t>(
        500, 8 * static_cast<std::int64_t>(m_Pools.size())));
    if (Now.m_Value % Interval.m_Value != 0)
      return;
    // What the routers reported half an interval ago.
    std::vector<std::vector<KeyedLoad>> Reported(m_Pools.size());
    std::map<std::uint32_t, std::uint32_t> Total;
    for (std::size_t Router = 0; Router < m_Pools.size(); ++Router) {
      addRunning(m_Pools[Router], Reported[Router]);
      for (const KeyedLoad &Each : Reported[Router])
        Total[Each.m_Key] += Each.m_Running;
    }
    std::vector<std::vector<KeyedLoad>> Others;
    for (const std::vector<KeyedLoad> &Own : Reported) {
      std::map<std::uint32_t, std::uint32_t> Rest = Total;
      for (const KeyedLoad &Each : Own)
        Rest[Each.m_Key] -= Each.m_Running;
      Others.emplace_back();
      for (const std::pair<const std::uint32_t, std::uint32_t> &Row : Rest)
        Others.back().push_back({Row.first, Row.second});
    }
    for (DispatchPool &Pool : m_Pools)
      stateBears(Pool, Now);
    for (std::size_t Router = 0; Router < m_LastSums.size(); ++Router)
      noteOtherLoads(m_Pools[Router], m_LastSums[Router],
                     Now - Millis(Interval.m_Value / 2));
    m_LastSums = std::move(Others);
  }

  void send(BrittleCall Call, Millis Now) {
    DispatchPool &Pool = m_Pools[Call.m_Router];
    DispatchChoice Choice = chooseTarget(Pool, Call.m_Need, Now);
    if (Choice.m_Target.empty() || ++Call.m_Tries > MaxTries)
      return;
    ++m_Sent;
    Call.m_Target = Choice.m_Target;
    noteStarted(Pool.m_Targets[Call.m_Target], Now);
    Call.m_Step = BrittleCall::Step::Arrives;
    m_Calls.emplace(Now + HopTime, Call);
  }

  void step(Millis Now) {
    while (!m_Calls.empty() && m_Calls.begin()->first <= Now) {
      BrittleCall Call = m_Calls.begin()->second;
      m_Calls.erase(m_Calls.begin());
      if (Call.m_Step == BrittleCall::Step::Arrives)
        arrive(Call, Now);
      else
        answer(Call, Now);
    }
  }

  void arrive(BrittleCall Call, Millis Now) {
    BrittleTarget &Target = m_Targets[Call.m_Target];
    Call.m_Life = Target.m_Lives;
    Millis After = HopTime;
    if (Now < Target.m_DownUntil) {
      Call.m_Step = BrittleCall::Step::Unreachable;
    } else if (Target.m_Running >= m_Service.m_Slots) {
      Call.m_Step = BrittleCall::Step::Refused;
      refuse(Target, Now);
    } else {
      Call.m_Step = BrittleCall::Step::Ended;
      ++Target.m_Running;
      After = m_Service.m_Duration;
    }
    m_Calls.emplace(Now + After, Call);
  }

  void refuse(BrittleTarget &Target, Millis Now) {
    Target.m_Refusals.push_back(Now);
    while (Target.m_Refusals.front() + Second < Now)
      Target.m_Refusals.pop_front();
    if (Target.m_Refusals.size() <= m_Service.m_Bears)
      return;
    ++m_Falls;
    ++Target.m_Lives;
    Target.m_Running = 0;
    Target.m_Refusals.clear();
    Target.m_DownUntil = Now + DownTime;
  }

  void answer(BrittleCall Call, Millis Now) {
    BrittleTarget &Target = m_Targets[Call.m_Target];
    DispatchTarget &Known = m_Pools[Call.m_Router].m_Targets[Call.m_Target];
    bool Lost = Call.m_Life != Target.m_Lives;
    if (Call.m_Step == BrittleCall::Step::Ended && !Lost) {
      --Target.m_Running;
      ++m_Served;
      noteEnded(Known, TargetOutcome::Served, Now);
    } else if (Call.m_Step == BrittleCall::Step::Ended) {
      noteEnded(Known, TargetOutcome::Failed, Now);
    } else {
      bool Refused = Call.m_Step == BrittleCall::Step::Refused;
      if (Refused)
        noteTurnedAway(Known, Now);
      noteEnded(Known,
                Refused ? TargetOutcome::Refused : TargetOutcome::Unreachable,
                Now);
      Call.m_Need.m_Excluded.insert(Call.m_Target);
      send(Call, Now);
    }
    if (m_Service.m_ReportsLoad && !Lost)
      noteReport(Known, {Target.m_Running, 0, m_Service.m_Slots}, Now);
  }

  BrittleService m_Service;
  std::mt19937_64 m_Random{5};
  std::vector<DispatchPool> m_Pools;
  std::map<TargetId, BrittleTarget> m_Targets;
  std::multimap<Millis, BrittleCall> m_Calls;
  std::vector<std::vector<KeyedLoad>> m_LastSums;
};

/// A quarter of what the targets can run, then twice of it, then a quarter.
void checkBurst(const BrittleService &Service) {
  BrittleFleet Fleet(Service);
  Fleet.run(0.25, Millis(0), Millis(4000));
  Fleet.run(2, Millis(4000), Millis(14000));
  Fleet.run(0.25, Millis(14000), Millis(18000));
  // Of 10 s of the burst, half of what the targets can run at least.
  double Capacity = static_cast<double>(Service.m_Targets) * Service.m_Slots *
                    10000 / static_cast<double>(Service.m_Duration.m_Value);
  BOOST_TEST_MESSAGE(Service.m_Routers
                     << " routers, " << Service.m_Targets << " targets with "
                     << Service.m_Slots << " slots that bear "
                     << Service.m_Bears << ": " << Fleet.m_Falls << " falls, "
                     << Fleet.m_Served << " served, capacity of the burst "
                     << Capacity);
  BOOST_TEST(Fleet.m_Falls <= 2 + Service.m_Targets / 10);
  BOOST_TEST(static_cast<double>(Fleet.m_Served) >= Capacity / 2);
}

} // namespace

// The users' bound is 2 falls and a tenth of the targets' number, for as long
// as they say that they are brittle.
BOOST_AUTO_TEST_SUITE(BrittleTargets)

// Guards against targets of a plain service, which state no load, that end one
// after the other because each refuses too often under a burst.
BOOST_AUTO_TEST_CASE(ABurstEndsNoBrittleTargetsOfAPlainService) {
  checkBurst({9, 4, 6, 3, Millis(60), false});
  checkBurst({7, 4, 6, 2, Millis(15), false});
}

// The same for engines, which state their load in their answers.
BOOST_AUTO_TEST_CASE(ABurstEndsNoBrittleEngines) {
  checkBurst({9, 9, 64, 5, Millis(1700), true});
  checkBurst({7, 18, 64, 2, Millis(1000), true});
}

// The same with so many routers that one refusal of each ends a target.
BOOST_AUTO_TEST_CASE(ABurstAtManyRoutersEndsNoBrittleTargets) {
  checkBurst({291, 168, 64, 10, Millis(1700), true});
  checkBurst({90, 16, 6, 3, Millis(60), false});
}

BOOST_AUTO_TEST_SUITE_END()
