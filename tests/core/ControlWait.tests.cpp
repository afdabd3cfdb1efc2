#include "vanillaferry/process/node_lease.hpp"
#include "vanillaferry/request/control_wait.hpp"
#include "vanillaferry/request/stream_progress.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

/// All gateways are without a lease from 0 to m_Outage. Callers arrive every
/// 10 ms and come back once after a refusal, at another gateway.
struct OutageLoad {
  Millis m_Outage;
  Millis m_Deadline;
};

constexpr Millis RetryAfter{700};

Millis waitFrom(Millis Arrival, Millis Left, bool Waits) {
  return Waits ? controlWait({Arrival, Left}) : Millis(0);
}

bool isServed(const OutageLoad &Load, Millis Arrival, bool Waits) {
  Millis Left = Load.m_Deadline;
  Millis Refused = Arrival + waitFrom(Arrival, Left, Waits);
  if (Refused >= Load.m_Outage)
    return true;
  Millis Again = Refused + RetryAfter;
  Left = Left - (Again - Arrival);
  return Left > Millis(0) &&
         Again + waitFrom(Again, Left, Waits) >= Load.m_Outage;
}

int servedOf(const OutageLoad &Load, bool Waits) {
  int Served = 0;
  for (Millis Arrival; Arrival < Load.m_Outage; Arrival = Arrival + Millis(10))
    Served += isServed(Load, Arrival, Waits) ? 1 : 0;
  return Served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlWaits)

// Guards against callers lost in the seconds after a restart of the fleet: a
// refused caller came back once and met the next gateway without a lease.
BOOST_AUTO_TEST_CASE(CallersOfAFleetThatRestartsAreServedAfterIt) {
  for (std::int64_t Outage = 200; Outage <= 3000; Outage += 200)
    for (std::int64_t Deadline : {600, 2500, 4000, 12000}) {
      OutageLoad Load{Millis(Outage), Millis(Deadline)};
      BOOST_TEST(servedOf(Load, true) >= servedOf(Load, false),
                 Outage << " ms without a lease, " << Deadline
                        << " ms until the deadline");
    }
  for (std::int64_t Deadline : {2500, 4000, 12000}) {
    OutageLoad Load{Millis(1600), Millis(Deadline)};
    BOOST_TEST(servedOf(Load, true) == 160);
    BOOST_TEST(servedOf(Load, false) <= 70);
  }
}

// Guards against refusals in the second after a restart of the whole fleet: all
// gateways lacked a lease, so a refused caller met the same refusal elsewhere.
BOOST_AUTO_TEST_CASE(ARequestWaitsWhileAGrantIsNear) {
  BOOST_TEST((controlWait({Millis(200), Millis(12000)}) == Millis(1500)));
  BOOST_TEST((controlWait({Millis(2500), Millis(12000)}) == Millis(500)));
}

// Guards against a wait that uses up the time that the answer needs.
BOOST_AUTO_TEST_CASE(AShortDeadlineAllowsAShortWait) {
  BOOST_TEST((controlWait({Millis(0), Millis(600)}) == Millis(200)));
  BOOST_TEST((controlWait({Millis(0), Millis(0)}) == Millis(0)));
}

// Guards against requests held by a router that is cut off, which another
// router could serve.
BOOST_AUTO_TEST_CASE(ALongOutageRefusesAtOnce) {
  BOOST_TEST((controlWait({Millis(3000), Millis(12000)}) == Millis(0)));
  BOOST_TEST((controlWait({Millis(60000), Millis(12000)}) == Millis(0)));
}

// Guards against refusals in a burst at a plain service: 40 requests of 20 ms
// meet three targets with 6 places, as in the second after an outage. A refused
// caller stays away for 0.4 s of its 0.6 s.
BOOST_AUTO_TEST_CASE(ABurstAtAPlainServiceIsServedWithoutRefusals) {
  constexpr int Places = 18;
  constexpr Millis Service{20};
  constexpr Millis Deadline{600};
  int Served = 0;
  for (int Request = 0; Request < 40; ++Request) {
    Millis FreeAt((Request / Places) * Service.m_Value);
    Millis Waited;
    Millis Pause;
    while (Waited < FreeAt &&
           (Pause = roomWait({Waited, Deadline - Waited})) > Millis(0))
      Waited = Waited + Pause;
    Served += Waited >= FreeAt ? 1 : 0;
  }
  BOOST_TEST(Served == 40);
}

// Guards against requests that age in a gateway under a lasting overload, when
// another one could serve their callers.
BOOST_AUTO_TEST_CASE(ALastingShortageRefusesInTime) {
  BOOST_TEST((roomWait({Millis(500), Millis(11500)}) == Millis(0)));
  BOOST_TEST((roomWait({Millis(149), Millis(451)}) > Millis(0)));
  BOOST_TEST((roomWait({Millis(150), Millis(450)}) == Millis(0)));
}

// Guards against a withdrawn key or a zone out of service that is in use again
// after a restart: a keeper that is behind sends its older state to a gateway
// that has no grant yet, or one that stated a newer version.
BOOST_AUTO_TEST_CASE(AnUpdateOfAKeeperThatIsBehindIsNotApplied) {
  BOOST_TEST(!acceptsUpdate(DocumentVersion(), DocumentVersion(40)));
  BOOST_TEST(!acceptsUpdate(DocumentVersion(41), DocumentVersion(40)));
  BOOST_TEST(acceptsUpdate(DocumentVersion(41), DocumentVersion(41)));
  BOOST_TEST(acceptsUpdate(DocumentVersion(41), DocumentVersion(42)));
}

// Guards against renewals of a whole large fleet after each change, and against
// a small fleet whose changes are acknowledged late.
BOOST_AUTO_TEST_CASE(OnlySmallFleetsRenewAfterEachChange) {
  BOOST_TEST(renewsAfterChange(7));
  BOOST_TEST(renewsAfterChange(62));
  BOOST_TEST(!renewsAfterChange(81));
  BOOST_TEST(!renewsAfterChange(291));
}

// Guards against a stalled stream that its caller abandons, and against a slow
// but sound one that is moved to another target.
BOOST_AUTO_TEST_CASE(AStreamMovesAfterHalfOfTheCallersPatience) {
  BOOST_TEST((streamPauseLimit(Millis(300), Millis(200)) == Millis(1000)));
  BOOST_TEST((streamPauseLimit(Millis(1000), Millis(400)) == Millis(2000)));
  BOOST_TEST((streamPauseLimit(Millis(100), Millis(900)) == Millis(3600)));
}

BOOST_AUTO_TEST_SUITE_END()
