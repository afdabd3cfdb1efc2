#include "vanillaferry/process/replication_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

using namespace vanillaferry;

namespace {

KeeperSet exampleSet() {
  KeeperSet Set;
  Set.m_Voters = {{KeeperId("k1"), "ws://127.0.0.1:1"},
                  {KeeperId("k2"), "ws://127.0.0.1:2"}};
  Set.m_Learners = {{KeeperId("k3"), ""}};
  Set.m_Removed = {KeeperId("k0")};
  return Set;
}

ReplicaMessage exampleMessage() {
  ReplicaMessage Message;
  Message.m_Kind = ReplicaMessage::Kind::InstallSnapshot;
  Message.m_From = KeeperId("k1");
  Message.m_To = KeeperId("k2");
  Message.m_Term = Term(7);
  Message.m_PreviousIndex = LogIndex(8);
  Message.m_PreviousTerm = Term(6);
  Message.m_Commit = LogIndex(5);
  Message.m_Granted = true;
  Message.m_NoLeader = true;
  Message.m_Match = LogIndex(4);
  Message.m_Sequence = 3;
  Message.m_Acked = LogIndex(2);
  Message.m_Regressed = true;
  Message.m_SnapshotSize = 11;
  Message.m_Offset = 10;
  LogEntry Entry;
  Entry.m_Index = LogIndex(9);
  Entry.m_Term = Term(7);
  Entry.m_Kind = EntryKind::Command;
  Entry.m_Data = std::string("\0\xff data", 7);
  Message.m_Entries = {Entry};
  Message.m_Snapshot = Snapshot{LogIndex(8), Term(6), exampleSet(),
                                std::string("\x01\x00\x80", 3)};
  return Message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicationCodec)

// Guards against a field that is lost between two keepers.
BOOST_AUTO_TEST_CASE(MessageKeepsEveryField) {
  ReplicaMessage In = exampleMessage();
  Result<ReplicaMessage> Out = decodeReplicaMessage(encodeReplicaMessage(In));
  BOOST_REQUIRE(Out);
  const ReplicaMessage &Got = Out.value();
  BOOST_TEST((Got.m_Kind == In.m_Kind));
  BOOST_TEST(Got.m_From == In.m_From);
  BOOST_TEST(Got.m_To == In.m_To);
  BOOST_TEST(Got.m_Term == In.m_Term);
  BOOST_TEST(Got.m_PreviousIndex == In.m_PreviousIndex);
  BOOST_TEST(Got.m_PreviousTerm == In.m_PreviousTerm);
  BOOST_TEST(Got.m_Commit == In.m_Commit);
  BOOST_TEST(Got.m_Granted == In.m_Granted);
  BOOST_TEST(Got.m_Match == In.m_Match);
  BOOST_TEST(Got.m_Sequence == In.m_Sequence);
  BOOST_TEST(Got.m_Acked == In.m_Acked);
  BOOST_TEST(Got.m_Regressed == In.m_Regressed);
  BOOST_TEST(Got.m_NoLeader == In.m_NoLeader);
  BOOST_TEST(Got.m_SnapshotSize == In.m_SnapshotSize);
  BOOST_TEST(Got.m_Offset == In.m_Offset);
  BOOST_REQUIRE_EQUAL(Got.m_Entries.size(), 1u);
  BOOST_TEST(Got.m_Entries[0].m_Data == In.m_Entries[0].m_Data);
  BOOST_TEST(Got.m_Entries[0].m_Index == In.m_Entries[0].m_Index);
  BOOST_REQUIRE(Got.m_Snapshot);
  BOOST_TEST(Got.m_Snapshot->m_Data == In.m_Snapshot->m_Data);
  BOOST_TEST(encodeKeeperSet(Got.m_Snapshot->m_Set) ==
             encodeKeeperSet(exampleSet()));
  // The encoding itself is compared, so that no field above is forgotten.
  BOOST_TEST(encodeReplicaMessage(Got) == encodeReplicaMessage(In));
}

// Guards against a peer that stops a keeper with a damaged message.
BOOST_AUTO_TEST_CASE(MalformedBytesGiveAnErrorValue) {
  std::string Whole = encodeReplicaMessage(exampleMessage());
  for (std::size_t Length = 0; Length < Whole.size(); ++Length)
    BOOST_TEST(!decodeReplicaMessage(Whole.substr(0, Length)));
  BOOST_TEST(!decodeReplicaMessage(Whole + "x"));
  // Far deeper than the parser's recursion could go.
  BOOST_TEST(!decodeReplicaMessage(std::string(4 * 1024 * 1024, '\x81')));
  // An array that claims 2^63 items.
  BOOST_TEST(!decodeReplicaMessage("\x9b\x80" + std::string(7, '\0')));
  std::mt19937_64 Random(1);
  for (int I = 0; I < 100000; ++I) {
    std::string Damaged = Whole;
    for (std::uint64_t Changes = 1 + Random() % 4; Changes > 0; --Changes)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    // Some changes only alter a text; all that matters is that it returns.
    Result<ReplicaMessage> Out = decodeReplicaMessage(Damaged);
    if (Out)
      BOOST_REQUIRE(Out.value().m_Entries.size() < 100u);
  }
  BOOST_TEST(!decodeKeeperSet("\x83"));
  BOOST_TEST(!decodeSnapshot(""));
}

BOOST_AUTO_TEST_SUITE_END()
