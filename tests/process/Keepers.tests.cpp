#include "process/ProcessFleet.hpp"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <thread>

using namespace vanillaferry;
using namespace vanillaferry::tests;
using nlohmann::json;

namespace {

bool accepted(const OperatorReply &Reply) {
  return Reply.m_HttpStatus == 200 || Reply.m_HttpStatus == 202;
}

std::string zoneName(std::uint64_t Number) {
  return "zone-" + std::to_string(Number);
}

/// Starts a fleet for the first time and waits for its leader.
std::size_t form(KeeperFleet &Fleet) {
  Fleet.startAll(true);
  std::size_t Leader = Fleet.waitForLeader();
  BOOST_REQUIRE_LT(Leader, Fleet.size());
  return Leader;
}

/// Reads a section's version and the name of its first zone.
void requireZone(const KeeperFleet &Fleet, std::uint64_t Version,
                 const std::string &Zone) {
  OperatorReply Reply = Fleet.get("/document/zones");
  BOOST_REQUIRE_EQUAL(Reply.m_HttpStatus, 200);
  BOOST_TEST(Reply.m_Body["version"].get<std::uint64_t>() == Version);
  BOOST_TEST(Reply.m_Body["content"]["zones"][0]["id"].get<std::string>() ==
             Zone);
}

std::uint64_t term(const KeeperFleet &Fleet, std::size_t Index) {
  json Status = Fleet.localStatus(Index);
  return Status.is_null() ? 0 : Status["term"].get<std::uint64_t>();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Keepers)

// Guards against an accepted edit that is lost with the leader's process.
BOOST_AUTO_TEST_CASE(AnAcceptedEditOutlivesTheKilledLeader) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  BOOST_REQUIRE(accepted(Fleet.edit("zones", 0, "e1", zonesWith("a"))));
  Fleet.process(Leader).kill();
  std::size_t Next = Fleet.waitForLeader();
  BOOST_REQUIRE_LT(Next, Fleet.size());
  BOOST_TEST(Next != Leader);
  requireZone(Fleet, 1, "a");
  BOOST_REQUIRE(accepted(Fleet.edit("zones", 1, "e2", zonesWith("b"))));
  // The killed keeper returns and takes part again.
  Fleet.start(Leader);
  BOOST_TEST(waitUntil(
      [&] {
        json Status = Fleet.localStatus(Leader);
        return !Status.is_null() &&
               Status["document_version"] ==
                   Fleet.get("/document").m_Body["version"];
      },
      15000));
  requireZone(Fleet, 2, "b");
}

// Guards against a log that is complete only in the memory of its keepers.
BOOST_AUTO_TEST_CASE(AcceptedEditsOutliveTheKillOfAllKeepersAtOnce) {
  KeeperFleet Fleet(3);
  form(Fleet);
  for (std::uint64_t Number = 0; Number < 20; ++Number)
    BOOST_REQUIRE(
        accepted(Fleet.edit("zones", Number, "e" + std::to_string(Number),
                            zonesWith(zoneName(Number)))));
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.process(Index).signal(SIGKILL);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.process(Index).kill();
  Fleet.startAll();
  BOOST_REQUIRE_LT(Fleet.waitForLeader(), Fleet.size());
  requireZone(Fleet, 20, zoneName(19));
}

// Guards against a leader that answers from its old lease after a freeze, and
// against an edit that it accepts then.
BOOST_AUTO_TEST_CASE(ALeaderThatWakesAfterItsLeaseServesNothingOld) {
  KeeperFleet Fleet(3);
  std::size_t Old = form(Fleet);
  BOOST_REQUIRE(accepted(Fleet.edit("zones", 0, "e1", zonesWith("a"))));
  Fleet.process(Old).freeze();
  std::size_t Next = Fleet.size();
  BOOST_REQUIRE(waitUntil(
      [&] {
        for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
          json Status = Index == Old ? json() : Fleet.localStatus(Index);
          if (!Status.is_null() && Status["role"] == "leader")
            Next = Index;
        }
        return Next < Fleet.size();
      },
      15000));
  OperatorRequest Put{"PUT",
                      "/document/zones?wait_ms=0",
                      {{"If-Match", "1"}, {"X-Edit-Id", "e2"}},
                      zonesWith("b").dump()};
  OperatorReply Moved;
  BOOST_REQUIRE(waitUntil(
      [&] {
        Moved = httpCall(Fleet.httpUrl(Next), Put);
        return accepted(Moved);
      },
      15000));
  // The request waits in the frozen leader's socket when it wakes.
  std::atomic<int> Status{-1};
  std::string Body;
  std::thread Reader([&] {
    OperatorReply Reply =
        httpCall(Fleet.httpUrl(Old), {"GET", "/document/zones", {}, ""}, 10000);
    Body = Reply.m_Body.dump();
    Status = Reply.m_HttpStatus;
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  Fleet.process(Old).thaw();
  Reader.join();
  BOOST_TEST((Status == 307 || Status == 503), Body);
  OperatorRequest Late = Put;
  Late.m_Headers = {{"If-Match", "1"}, {"X-Edit-Id", "e3"}};
  BOOST_TEST(!accepted(httpCall(Fleet.httpUrl(Old), Late)));
  requireZone(Fleet, 2, "b");
}

// Guards against a wiped disk voting under its old identity: with one other
// keeper it would form a quorum that knows nothing of the accepted edits.
BOOST_AUTO_TEST_CASE(AWipedKeeperIsRefusedUnderItsOldIdentity) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  BOOST_REQUIRE(accepted(Fleet.edit("zones", 0, "e1", zonesWith("a"))));
  std::size_t Wiped = (Leader + 1) % 3;
  Fleet.process(Wiped).kill();
  Fleet.wipe(Wiped);
  Fleet.start(Wiped, true);
  BOOST_TEST(Fleet.process(Wiped).waitForExit(10000) == 6);
  BOOST_TEST(Fleet.output(Wiped).find(" 2101 ") != std::string::npos);
  // Again with what the refused start left behind.
  Fleet.start(Wiped, true);
  BOOST_TEST(Fleet.process(Wiped).waitForExit(10000) == 6);
  // Without the two others it must wait, not lead.
  Fleet.wipe(Wiped);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.process(Index).kill();
  Fleet.start(Wiped, true);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  json Status = Fleet.localStatus(Wiped);
  BOOST_REQUIRE(!Status.is_null());
  BOOST_TEST(Status["role"].get<std::string>() == "forming");
  // With one other keeper back it is refused, and there is no quorum.
  Fleet.start((Wiped + 1) % 3);
  BOOST_TEST(Fleet.process(Wiped).waitForExit(10000) == 6);
}

// Guards against a lost log folder whose identity record is still there.
BOOST_AUTO_TEST_CASE(AFormedKeeperWithoutItsLogDoesNotStart) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  std::size_t Victim = (Leader + 1) % 3;
  Fleet.process(Victim).kill();
  BOOST_REQUIRE_EQUAL(
      std::system(("rm -r " + Fleet.dataFolder(Victim) + "/log").c_str()), 0);
  Fleet.start(Victim);
  BOOST_TEST(Fleet.process(Victim).waitForExit(10000) == 6);
  BOOST_TEST(Fleet.output(Victim).find(" 2104 ") != std::string::npos);
}

// Guards against a repair that leaves fewer copies than it seems: a replaced
// keeper joins as a learner, is promoted, and then a second disk is lost.
BOOST_AUTO_TEST_CASE(AReplacedKeeperVotesAndASecondDiskMayBeLost) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  BOOST_REQUIRE(accepted(Fleet.edit("zones", 0, "e1", zonesWith("a"))));
  std::size_t Lost = (Leader + 1) % 3;
  std::string OldId = "k" + std::to_string(Lost + 1);
  Fleet.process(Lost).kill();
  Fleet.wipe(Lost);
  Fleet.start(Lost);
  json Status;
  BOOST_REQUIRE(waitUntil(
      [&] { return !(Status = Fleet.localStatus(Lost)).is_null(); }, 10000));
  std::string NewId = Status["keeper"].get<std::string>();
  BOOST_TEST(NewId != OldId);
  BOOST_TEST(Status["role"].get<std::string>() == "learner");
  OperatorCliSettings Settings = Fleet.operatorSettings();
  json Body = {{"keeper", NewId}, {"peer_url", Fleet.peerUrl(Lost)}};
  // The old identity goes first, so that the quorum stays two of three.
  BOOST_REQUIRE_EQUAL(callKeepers(Settings,
                                  {"DELETE", "/keepers/" + OldId, {}, ""},
                                  Millis(15000))
                          .m_HttpStatus,
                      200);
  OperatorReply Added;
  BOOST_REQUIRE(waitUntil(
      [&] {
        Added = callKeepers(Settings, {"POST", "/keepers", {}, Body.dump()},
                            Millis(15000));
        return Added.m_HttpStatus == 200;
      },
      15000));
  BOOST_REQUIRE(waitUntil(
      [&] {
        return callKeepers(Settings,
                           {"POST", "/keepers/" + NewId + "/promote", {}, ""},
                           Millis(5000))
                   .m_HttpStatus == 200;
      },
      20000));
  // Now the first leader's disk goes.
  Fleet.process(Leader).kill();
  Fleet.wipe(Leader);
  std::size_t Next = Fleet.waitForLeader();
  BOOST_REQUIRE_LT(Next, Fleet.size());
  requireZone(Fleet, 1, "a");
  BOOST_TEST(accepted(Fleet.edit("zones", 1, "e2", zonesWith("b"))));
}

// Guards against a leader that cannot be replaced in good order, and against a
// document that nobody can read once the quorum is lost.
BOOST_AUTO_TEST_CASE(ALeaderThatIsRemovedHandsOver) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  BOOST_REQUIRE(accepted(Fleet.edit("zones", 0, "e1", zonesWith("a"))));
  std::string Id = "k" + std::to_string(Leader + 1);
  OperatorReply Removed = httpCall(Fleet.httpUrl(Leader),
                                   {"DELETE", "/keepers/" + Id, {}, ""}, 10000);
  BOOST_TEST(Removed.m_HttpStatus == 200, Removed.m_Body.dump());
  BOOST_REQUIRE(waitUntil(
      [&] {
        std::size_t Next = Fleet.leader();
        return Next < Fleet.size() && Next != Leader;
      },
      15000));
  BOOST_TEST(accepted(Fleet.edit("zones", 1, "e2", zonesWith("b"))));
  // Its identity is not taken back.
  OperatorRequest Add{
      "POST",
      "/keepers",
      {},
      json{{"keeper", Id}, {"peer_url", Fleet.peerUrl(Leader)}}.dump()};
  BOOST_TEST(
      callKeepers(Fleet.operatorSettings(), Add, Millis(15000)).m_HttpStatus ==
      409);
  // Two voters are left; without one of them only local reads are possible.
  std::size_t Last = (Leader + 1) % 3;
  Fleet.process((Leader + 2) % 3).kill();
  Fleet.process(Leader).kill();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  OperatorReply Local =
      httpCall(Fleet.httpUrl(Last), {"GET", "/document?local=1", {}, ""});
  BOOST_REQUIRE_EQUAL(Local.m_HttpStatus, 200);
  BOOST_TEST(!Local.m_Body["confirmed"].get<bool>());
  BOOST_TEST(Local.m_Body["sections"].contains("zones"));
  BOOST_TEST(httpCall(Fleet.httpUrl(Last), {"GET", "/document", {}, ""})
                 .m_HttpStatus == 503);
}

// Guards against an edit whose only copy was on the leader's disk.
BOOST_AUTO_TEST_CASE(AnAcceptedEditOutlivesTheLeadersDisk) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  OperatorReply Edited = Fleet.edit("zones", 0, "e1", zonesWith("a"));
  Fleet.process(Leader).kill();
  Fleet.wipe(Leader);
  BOOST_REQUIRE(accepted(Edited));
  BOOST_REQUIRE_LT(Fleet.waitForLeader(), Fleet.size());
  requireZone(Fleet, 1, "a");
}

// Guards against an edit that is accepted on the leader's word alone.
BOOST_AUTO_TEST_CASE(AnEditIsNotAcceptedWithoutAQuorum) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  Fleet.process((Leader + 1) % 3).freeze();
  Fleet.process((Leader + 2) % 3).freeze();
  OperatorReply Reply = httpCall(Fleet.httpUrl(Leader),
                                 {"PUT",
                                  "/document/zones?wait_ms=0",
                                  {{"If-Match", "0"}, {"X-Edit-Id", "e1"}},
                                  zonesWith("a").dump()},
                                 8000);
  BOOST_TEST(!accepted(Reply), Reply.m_Body.dump());
  Fleet.process(Leader).kill();
  Fleet.wipe(Leader);
  Fleet.process((Leader + 1) % 3).thaw();
  Fleet.process((Leader + 2) % 3).thaw();
  BOOST_REQUIRE_LT(Fleet.waitForLeader(), Fleet.size());
  // A resend is one edit, whatever became of the first try.
  BOOST_TEST(accepted(Fleet.edit("zones", 0, "e1", zonesWith("a"))));
  requireZone(Fleet, 1, "a");
}

// Guards against a keeper that goes on after a failed write, and against the
// others stopping with it.
BOOST_AUTO_TEST_CASE(AKeeperWithAFullDiskStopsAndTheOthersContinue) {
  KeeperFleet Fleet(3);
  constexpr std::int64_t DiskBytes = 32 * 1024;
  Fleet.start(0, true);
  Fleet.start(1, true);
  Fleet.start(2, true, DiskBytes);
  BOOST_REQUIRE_LT(Fleet.waitForLeader(), Fleet.size());
  for (std::uint64_t Number = 0; Number < 30; ++Number) {
    json Content = zonesWith(zoneName(Number));
    for (int Filler = 0; Filler < 30; ++Filler)
      Content["zones"].push_back(
          {{"id", "filler-" + std::to_string(Filler)}, {"in_service", true}});
    BOOST_REQUIRE(accepted(
        Fleet.edit("zones", Number, "e" + std::to_string(Number), Content)));
  }
  BOOST_TEST(Fleet.process(2).waitForExit(10000) == 6);
  BOOST_TEST(Fleet.output(2).find(" 2002 ") != std::string::npos);
  BOOST_TEST(Fleet.waitForLeader() < 2U);
  requireZone(Fleet, 30, zoneName(29));
}

// Guards against snapshots and truncation losing edits: several snapshots are
// taken on the way, and every process restarts from them.
BOOST_AUTO_TEST_CASE(HundredsOfEditsOutliveARestartOfEveryProcess) {
  KeeperFleet Fleet(3, {{"snapshot_entries", 64}});
  form(Fleet);
  constexpr std::uint64_t Edits = 300;
  for (std::uint64_t Number = 0; Number < Edits; ++Number)
    BOOST_REQUIRE(
        accepted(Fleet.edit("zones", Number, "e" + std::to_string(Number),
                            zonesWith(zoneName(Number)))));
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.process(Index).signal(SIGTERM);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    BOOST_TEST(Fleet.process(Index).waitForExit(10000) == 0);
  Fleet.startAll();
  BOOST_REQUIRE_LT(Fleet.waitForLeader(), Fleet.size());
  requireZone(Fleet, Edits, zoneName(Edits - 1));
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    BOOST_TEST(Fleet.localStatus(Index)["snapshot_index"].get<std::uint64_t>() >
               0U);
  // The first answers hold across the restart.
  OperatorReply Resent =
      Fleet.edit("zones", Edits - 1, "e" + std::to_string(Edits - 1),
                 zonesWith(zoneName(Edits - 1)));
  BOOST_TEST(accepted(Resent));
  BOOST_TEST(Resent.m_Body["version"].get<std::uint64_t>() == Edits);
}

// Guards against two operators both being told that their edit won.
BOOST_AUTO_TEST_CASE(OneOfRacingEditsWinsAndTheOthersSeeTheCurrentVersion) {
  KeeperFleet Fleet(3);
  form(Fleet);
  constexpr int Operators = 8;
  constexpr int Rounds = 10;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::atomic<int> Wins{0};
    std::atomic<int> Conflicts{0};
    std::vector<std::thread> Racers;
    for (int Operator = 0; Operator < Operators; ++Operator)
      Racers.emplace_back([&, Operator] {
        std::string Id = std::to_string(Round) + "-" + std::to_string(Operator);
        OperatorReply Reply = Fleet.edit(
            "zones", static_cast<std::uint64_t>(Round), Id, zonesWith(Id));
        if (accepted(Reply))
          ++Wins;
        if (Reply.m_HttpStatus == 409 && Reply.m_Body["version"] == Round + 1 &&
            !Reply.m_Body["content"].is_null())
          ++Conflicts;
      });
    for (std::thread &Racer : Racers)
      Racer.join();
    BOOST_TEST(Wins == 1);
    BOOST_TEST(Conflicts == Operators - 1);
  }
}

// Guards against a resent edit being applied twice or refused, also by the
// next leader, and against an id that stands for two edits.
BOOST_AUTO_TEST_CASE(AResentEditGetsTheFirstAnswerFromEveryLeader) {
  KeeperFleet Fleet(3);
  std::size_t Leader = form(Fleet);
  BOOST_REQUIRE(accepted(Fleet.edit("zones", 0, "e1", zonesWith("a"))));
  BOOST_REQUIRE(accepted(Fleet.edit("zones", 1, "e2", zonesWith("b"))));
  OperatorReply Lost = Fleet.edit("zones", 0, "e3", zonesWith("c"));
  BOOST_TEST(Lost.m_HttpStatus == 409);
  Fleet.process(Leader).kill();
  BOOST_REQUIRE_LT(Fleet.waitForLeader(), Fleet.size());
  OperatorReply First = Fleet.edit("zones", 0, "e1", zonesWith("a"));
  BOOST_TEST(accepted(First));
  BOOST_TEST(First.m_Body["version"].get<std::uint64_t>() == 1U);
  BOOST_TEST(Fleet.edit("zones", 0, "e3", zonesWith("c")).m_HttpStatus == 409);
  OperatorReply Reused = Fleet.edit("zones", 2, "e1", zonesWith("d"));
  BOOST_TEST(Reused.m_HttpStatus == 409);
  BOOST_TEST(Reused.m_Body["error"].get<std::string>() == "edit_id_reused");
  requireZone(Fleet, 2, "b");
}

// Guards against edits that are accepted twice, lost or reordered while
// leaders are killed under them, with resends as the command line makes them.
BOOST_AUTO_TEST_CASE(EveryEditIsAppliedOnceWhileLeadersAreKilled) {
  KeeperFleet Fleet(3);
  form(Fleet);
  std::atomic<bool> Stop{false};
  std::atomic<std::uint64_t> Done{0};
  std::atomic<bool> Failed{false};
  std::thread Writer([&] {
    while (!Stop && !Failed) {
      std::uint64_t Number = Done;
      OperatorReply Reply =
          Fleet.edit("zones", Number, "e" + std::to_string(Number),
                     zonesWith(zoneName(Number)), 30000);
      // A resend gets the first answer, so that a conflict means a lost or
      // doubled edit.
      if (!accepted(Reply) ||
          Reply.m_Body["version"].get<std::uint64_t>() != Number + 1)
        Failed = true;
      else
        ++Done;
    }
  });
  for (int Round = 0; Round < 4; ++Round) {
    std::uint64_t Before = Done;
    BOOST_TEST(waitUntil([&] { return Failed || Done >= Before + 15; }, 30000));
    std::size_t Leader = Fleet.waitForLeader();
    BOOST_TEST(Leader < Fleet.size());
    if (Failed || Leader == Fleet.size())
      break;
    Fleet.process(Leader).kill();
    Before = Done;
    BOOST_TEST(waitUntil([&] { return Failed || Done >= Before + 5; }, 30000));
    Fleet.start(Leader);
  }
  BOOST_TEST(Fleet.waitForLeader() < Fleet.size());
  Stop = true;
  Writer.join();
  BOOST_TEST(!Failed);
  BOOST_TEST_MESSAGE("edits: " << Done << ", term " << term(Fleet, 0));
  requireZone(Fleet, Done, zoneName(Done - 1));
}

// Guards against a sound keeper that was removed while it was away and then
// runs on without a vote, because a removed identity never returns.
BOOST_AUTO_TEST_CASE(ARemovedKeeperThatReturnsVotesUnderANewIdentity) {
  KeeperFleet Fleet(3, {{"self_repair", true}});
  std::size_t Leader = form(Fleet);
  BOOST_REQUIRE(accepted(Fleet.edit("zones", 0, "e1", zonesWith("a"))));
  std::size_t Away = (Leader + 1) % Fleet.size();
  std::string Former = Fleet.localStatus(Away)["keeper"];
  Fleet.process(Away).freeze();
  OperatorReply Removed =
      httpCall(Fleet.httpUrl(Leader), {"DELETE", "/keepers/" + Former, {}, ""});
  BOOST_REQUIRE_EQUAL(Removed.m_HttpStatus, 200);
  Fleet.process(Away).thaw();
  BOOST_TEST(waitUntil(
      [&] {
        json Status = Fleet.localStatus(Leader);
        std::size_t Votes = 0;
        for (const json &Row : Status.value("keepers", json::array()))
          Votes += Row["votes"].get<bool>() && Row["keeper"] != Former;
        return Votes == Fleet.size();
      },
      15000));
  std::string Fresh = Fleet.localStatus(Away)["keeper"];
  BOOST_TEST(Fresh != Former);
  BOOST_TEST(std::filesystem::exists(Fleet.dataFolder(Away) + "/log.removed"));
  Fleet.process(Away).kill();
  Fleet.start(Away);
  BOOST_TEST(waitUntil(
      [&] {
        json Status = Fleet.localStatus(Away);
        return !Status.is_null() && Status["keeper"] == Fresh &&
               Status["role"] == "follower";
      },
      15000));
  requireZone(Fleet, 1, "a");
}

BOOST_AUTO_TEST_SUITE_END()
