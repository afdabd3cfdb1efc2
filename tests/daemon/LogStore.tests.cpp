#include "TemporaryFolder.hpp"

#include "process/log_store.hpp"
#include "process/log_store_files.hpp"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace vanillaferry;

namespace {

StoreOptions options(const TemporaryFolder &Folder) {
  StoreOptions Options;
  Options.m_Folder = Folder.m_Path + "/data";
  Options.m_Keeper = KeeperId("k1");
  Options.m_SegmentSize = Bytes(2000);
  return Options;
}

LogEntry entry(std::uint64_t Index, std::uint64_t InTerm) {
  LogEntry Made;
  Made.m_Index = LogIndex(Index);
  Made.m_Term = Term(InTerm);
  Made.m_Kind = EntryKind::Command;
  Made.m_Data = "entry " + std::to_string(Index);
  return Made;
}

DiskWrite entries(std::uint64_t First, std::uint64_t Last,
                  std::uint64_t InTerm) {
  DiskWrite Write;
  for (std::uint64_t I = First; I <= Last; ++I)
    Write.m_Append.push_back(entry(I, InTerm));
  return Write;
}

Snapshot snapshotAt(std::uint64_t Index, std::uint64_t InTerm) {
  Snapshot Taken;
  Taken.m_LastIndex = LogIndex(Index);
  Taken.m_LastTerm = Term(InTerm);
  Taken.m_Set.m_Voters = {{KeeperId("k1"), ""}};
  Taken.m_Data = "state";
  return Taken;
}

OpenedStore open(const StoreOptions &Options) {
  Result<OpenedStore> Opened = openStore(Options);
  BOOST_REQUIRE_MESSAGE(bool(Opened),
                        (Opened ? std::string() : Opened.error().m_Text));
  return std::move(Opened.value());
}

void write(LogStore &Store, DiskWrite Write) {
  std::vector<DiskWrite> Writes;
  Writes.push_back(std::move(Write));
  BOOST_REQUIRE(writeToStore(Store, Writes));
  BOOST_REQUIRE(syncStore(Store));
}

std::string failureOf(const StoreOptions &Options) {
  Result<OpenedStore> Opened = openStore(Options);
  return Opened ? std::string() : Opened.error().m_Text;
}

void flipByte(const std::string &Path, std::streamoff Offset) {
  std::fstream File(Path, std::ios::in | std::ios::out | std::ios::binary);
  File.seekg(Offset);
  char Byte = static_cast<char>(File.get());
  File.seekp(Offset);
  File.put(static_cast<char>(Byte ^ 0x55));
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogStores)

// Guards against entries, votes or truncations that a restart forgets.
BOOST_AUTO_TEST_CASE(ContentComesBackAfterARestart) {
  TemporaryFolder Folder;
  std::string DiskId;
  {
    OpenedStore Opened = open(options(Folder));
    BOOST_TEST(Opened.m_Report.m_NewFolder);
    DiskId = Opened.m_Store.m_Identity.m_DiskId;
    DiskWrite First = entries(1, 60, 1);
    First.m_Hard = HardState{Term(1), KeeperId("k2")};
    write(Opened.m_Store, std::move(First));
    for (std::uint64_t I = 61; I <= 120; ++I)
      write(Opened.m_Store, entries(I, I, 1));
    DiskWrite Conflict = entries(100, 101, 2);
    Conflict.m_TruncateFrom = LogIndex(100);
    Conflict.m_Hard = HardState{Term(2), KeeperId()};
    write(Opened.m_Store, std::move(Conflict));
  }
  OpenedStore Opened = open(options(Folder));
  BOOST_TEST(Opened.m_Report.m_Segments > 2u);
  BOOST_TEST(!Opened.m_Report.m_NewFolder);
  BOOST_TEST(Opened.m_Store.m_Identity.m_DiskId == DiskId);
  BOOST_TEST(DiskId.size() == 32u);
  BOOST_TEST(Opened.m_Recovery.m_Hard.m_Term == Term(2));
  BOOST_TEST(Opened.m_Recovery.m_Hard.m_VotedFor.empty());
  BOOST_REQUIRE_EQUAL(Opened.m_Recovery.m_Entries.size(), 101u);
  BOOST_TEST(Opened.m_Recovery.m_Entries[98].m_Term == Term(1));
  BOOST_TEST(Opened.m_Recovery.m_Entries[100].m_Term == Term(2));
  BOOST_TEST(Opened.m_Recovery.m_Entries[100].m_Data == "entry 101");
  write(Opened.m_Store, entries(102, 103, 2));
}

// Guards against a torn tail that stops a keeper, and against one that is
// appended to.
BOOST_AUTO_TEST_CASE(TornTailIsCutAndTheLogContinues) {
  TemporaryFolder Folder;
  StoreOptions Options = options(Folder);
  std::string Path;
  {
    OpenedStore Opened = open(Options);
    write(Opened.m_Store, entries(1, 3, 1));
    Path = Opened.m_Store.m_SegmentPath;
    write(Opened.m_Store, entries(4, 4, 1));
  }
  BOOST_REQUIRE(::truncate(Path.c_str(),
                           static_cast<off_t>(std::filesystem::file_size(Path) -
                                              5)) == 0);
  {
    OpenedStore Opened = open(Options);
    BOOST_TEST(Opened.m_Report.m_TornBytes > Bytes(0));
    BOOST_TEST(Opened.m_Report.m_TornFile == Path);
    BOOST_TEST(Opened.m_Recovery.m_Entries.size() == 3u);
    write(Opened.m_Store, entries(4, 5, 2));
  }
  OpenedStore Opened = open(Options);
  BOOST_TEST(Opened.m_Report.m_TornBytes == Bytes(0));
  BOOST_REQUIRE_EQUAL(Opened.m_Recovery.m_Entries.size(), 5u);
  BOOST_TEST(Opened.m_Recovery.m_Entries[3].m_Term == Term(2));
}

// Guards against acknowledged entries that are dropped silently.
BOOST_AUTO_TEST_CASE(DamageInTheMiddleIsRefusedWithFileAndOffset) {
  TemporaryFolder Folder;
  StoreOptions Options = options(Folder);
  std::string Path;
  std::uintmax_t Before = 0;
  {
    OpenedStore Opened = open(Options);
    Path = Opened.m_Store.m_SegmentPath;
    write(Opened.m_Store, entries(1, 1, 1));
    Before = std::filesystem::file_size(Path);
    write(Opened.m_Store, entries(2, 2, 1));
    write(Opened.m_Store, entries(3, 3, 1));
  }
  flipByte(Path, static_cast<std::streamoff>(Before) + 30);
  std::string Text = failureOf(Options);
  BOOST_TEST(Text.find(Path) != std::string::npos, Text);
  BOOST_TEST(Text.find("offset " + std::to_string(Before)) != std::string::npos,
             Text);
  // Looking at it changes nothing.
  BOOST_TEST(failureOf(Options) == Text);
}

// Guards against a snapshot that recovery prefers over a good log, or that is
// taken although it is damaged.
BOOST_AUTO_TEST_CASE(DamagedSnapshotIsRefused) {
  TemporaryFolder Folder;
  StoreOptions Options = options(Folder);
  {
    OpenedStore Opened = open(Options);
    DiskWrite Write = entries(1, 3, 1);
    Write.m_Save = snapshotAt(2, 1);
    write(Opened.m_Store, std::move(Write));
  }
  flipByte(snapshotPath(Options.m_Folder, LogIndex(2)), 40);
  BOOST_TEST(failureOf(Options).find("snapshot-") != std::string::npos);
}

// Guards against segments that grow without bound, and against the removal of
// entries that no snapshot covers.
BOOST_AUTO_TEST_CASE(SnapshotRemovesTheSegmentsThatItCovers) {
  TemporaryFolder Folder;
  StoreOptions Options = options(Folder);
  {
    OpenedStore Opened = open(Options);
    for (std::uint64_t I = 1; I <= 200; ++I)
      write(Opened.m_Store, entries(I, I, 1));
    std::size_t Closed = Opened.m_Store.m_Closed.size();
    DiskWrite Save;
    Save.m_Save = snapshotAt(150, 1);
    write(Opened.m_Store, std::move(Save));
    BOOST_TEST(Opened.m_Store.m_Closed.size() < Closed);
    DiskWrite Newer;
    Newer.m_Save = snapshotAt(180, 1);
    write(Opened.m_Store, std::move(Newer));
  }
  BOOST_TEST(
      !std::filesystem::exists(snapshotPath(Options.m_Folder, LogIndex(150))));
  OpenedStore Opened = open(Options);
  BOOST_REQUIRE(Opened.m_Recovery.m_Snapshot);
  BOOST_TEST(Opened.m_Recovery.m_Snapshot->m_LastIndex == LogIndex(180));
  BOOST_TEST(Opened.m_Recovery.m_Snapshot->m_Data == "state");
  BOOST_TEST(Opened.m_Recovery.m_Entries.back().m_Index == LogIndex(200));
  BOOST_TEST(Opened.m_Recovery.m_Entries.front().m_Index <= LogIndex(181));
}

// Guards against a log that continues behind an installed snapshot with
// entries from before it.
BOOST_AUTO_TEST_CASE(InstalledSnapshotReplacesTheLog) {
  TemporaryFolder Folder;
  StoreOptions Options = options(Folder);
  {
    OpenedStore Opened = open(Options);
    write(Opened.m_Store, entries(1, 5, 1));
    DiskWrite Install;
    Install.m_Install = snapshotAt(50, 3);
    write(Opened.m_Store, std::move(Install));
    write(Opened.m_Store, entries(51, 52, 3));
  }
  OpenedStore Opened = open(Options);
  BOOST_REQUIRE_EQUAL(Opened.m_Recovery.m_Entries.size(), 2u);
  BOOST_TEST(Opened.m_Recovery.m_Entries[0].m_Index == LogIndex(51));
}

// Guards against a crash between the snapshot file and the record in the log.
BOOST_AUTO_TEST_CASE(SnapshotWithoutItsResetRecordIsJoinedAtStart) {
  TemporaryFolder Folder;
  StoreOptions Options = options(Folder);
  {
    OpenedStore Opened = open(Options);
    write(Opened.m_Store, entries(1, 5, 1));
    BOOST_REQUIRE(writeSnapshotFile(Options.m_Folder, snapshotAt(50, 3),
                                    Opened.m_Store.m_Options.m_Sync));
  }
  {
    OpenedStore Opened = open(Options);
    BOOST_TEST(Opened.m_Recovery.m_Entries.empty());
    write(Opened.m_Store, entries(51, 51, 3));
  }
  OpenedStore Opened = open(Options);
  BOOST_TEST(Opened.m_Recovery.m_Entries.size() == 1u);
}

// Guards against two processes that write one log.
BOOST_AUTO_TEST_CASE(FolderInUseIsRefused) {
  TemporaryFolder Folder;
  OpenedStore Opened = open(options(Folder));
  BOOST_TEST(failureOf(options(Folder)).find("in use") != std::string::npos);
}

// Guards against a disk that is attached to another keeper.
BOOST_AUTO_TEST_CASE(FolderOfAnotherKeeperIsRefused) {
  TemporaryFolder Folder;
  StoreOptions Options = options(Folder);
  { OpenedStore Opened = open(Options); }
  Options.m_Keeper = KeeperId("k2");
  BOOST_TEST(failureOf(Options).find("belongs to keeper k1") !=
             std::string::npos);
}

// Guards against a log that vanished, or whose middle did, beside an identity
// that has voted.
BOOST_AUTO_TEST_CASE(MissingFilesAreRefused) {
  TemporaryFolder Folder;
  StoreOptions Options = options(Folder);
  {
    OpenedStore Opened = open(Options);
    for (std::uint64_t I = 1; I <= 120; ++I)
      write(Opened.m_Store, entries(I, I, 1));
  }
  std::filesystem::remove(segmentPath(Options.m_Folder, 2));
  BOOST_TEST(failureOf(Options).find("segment 2 is missing") !=
             std::string::npos);
  std::filesystem::remove(segmentPath(Options.m_Folder, 1));
  BOOST_TEST(failureOf(Options).find("are missing") != std::string::npos);
  for (std::uint64_t I = 3; I < 20; ++I)
    std::filesystem::remove(segmentPath(Options.m_Folder, I));
  BOOST_TEST(failureOf(Options).find("the log is missing") !=
             std::string::npos);
  std::filesystem::remove(Options.m_Folder + "/identity.json");
  BOOST_TEST(failureOf(Options).empty());
}

// Guards against a folder that becomes a new identity while it still holds
// votes of the old one.
BOOST_AUTO_TEST_CASE(MissingIdentityBesideALogIsRefused) {
  TemporaryFolder Folder;
  StoreOptions Options = options(Folder);
  {
    OpenedStore Opened = open(Options);
    write(Opened.m_Store, entries(1, 1, 1));
  }
  std::filesystem::remove(Options.m_Folder + "/identity.json");
  BOOST_TEST(failureOf(Options).find("identity file is missing") !=
             std::string::npos);
}

// Guards against a barred identity that votes again after a restart.
BOOST_AUTO_TEST_CASE(BarredIdentityStaysBarred) {
  TemporaryFolder Folder;
  StoreOptions Options = options(Folder);
  {
    OpenedStore Opened = open(Options);
    BOOST_TEST(Opened.m_Recovery.m_VotingAllowed);
    BOOST_REQUIRE(
        barFromVoting(Options.m_Folder, Opened.m_Store.m_Options.m_Sync));
  }
  OpenedStore Opened = open(Options);
  BOOST_TEST(!Opened.m_Recovery.m_VotingAllowed);
}

BOOST_AUTO_TEST_SUITE_END()
