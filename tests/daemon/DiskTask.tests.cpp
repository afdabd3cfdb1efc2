#include "TemporaryFolder.hpp"

#include "process/disk_task.hpp"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <string>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

using namespace vanillaferry;

namespace {

/// Collects reports and waits for them.
struct Reports {
  std::mutex m_Mutex;
  std::condition_variable m_Wake;
  std::vector<DiskReport> m_All;

  void add(DiskReport Report) {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    m_All.push_back(std::move(Report));
    m_Wake.notify_all();
  }
  /// Waits for a report of this ticket or of a failure.
  DiskReport waitFor(std::uint64_t Ticket) {
    std::unique_lock<std::mutex> Guard(m_Mutex);
    bool Came = m_Wake.wait_for(Guard, std::chrono::seconds(30), [&] {
      return !m_All.empty() &&
             (m_All.back().m_Error || m_All.back().m_SyncedTicket >= Ticket);
    });
    BOOST_REQUIRE(Came);
    return m_All.back();
  }
};

StoreOptions options(const TemporaryFolder &Folder) {
  StoreOptions Options;
  Options.m_Folder = Folder.m_Path + "/data";
  Options.m_Keeper = KeeperId("k1");
  return Options;
}

DiskWrite entry(std::uint64_t Index, std::size_t Size) {
  DiskWrite Write;
  LogEntry Entry;
  Entry.m_Index = LogIndex(Index);
  Entry.m_Term = Term(1);
  Entry.m_Data = std::string(Size, 'x');
  Write.m_Append.push_back(std::move(Entry));
  return Write;
}

LogStore store(StoreOptions Options) {
  Result<OpenedStore> Opened = openStore(std::move(Options));
  BOOST_REQUIRE(Opened);
  return std::move(Opened.value().m_Store);
}

} // namespace

BOOST_AUTO_TEST_SUITE(DiskTasks)

// Guards against a report of what is not synced, and against one sync for each
// write while others wait.
BOOST_AUTO_TEST_CASE(WaitingWritesShareOneSync) {
  TemporaryFolder Folder;
  std::atomic<int> Syncs{0};
  std::atomic<bool> Slow{false};
  StoreOptions Options = options(Folder);
  Options.m_Sync = [&Syncs, &Slow](int Descriptor) {
    ++Syncs;
    if (Slow)
      ::usleep(20000);
    return ::fdatasync(Descriptor);
  };
  Reports Seen;
  LogStore Store = store(Options);
  Syncs = 0;
  Slow = true;
  {
    DiskTask Task(std::move(Store),
                  [&Seen](DiskReport Report) { Seen.add(std::move(Report)); });
    std::uint64_t Last = 0;
    for (std::uint64_t I = 1; I <= 100; ++I)
      Last = Task.submit(entry(I, 100));
    BOOST_TEST(Last == 100u);
    BOOST_TEST(Seen.waitFor(Last).m_SyncedTicket == Last);
  }
  BOOST_TEST(Syncs < 20);
  Result<OpenedStore> Again = openStore(options(Folder));
  BOOST_REQUIRE(Again);
  BOOST_TEST(Again.value().m_Recovery.m_Entries.size() == 100u);
}

// Guards against messages that leave before the sync because nothing of their
// own had to be written.
BOOST_AUTO_TEST_CASE(EmptyWriteIsReportedAfterEarlierOnes) {
  TemporaryFolder Folder;
  Reports Seen;
  DiskTask Task(store(options(Folder)),
                [&Seen](DiskReport Report) { Seen.add(std::move(Report)); });
  Task.submit(entry(1, 100));
  std::uint64_t Ticket = Task.submit(DiskWrite());
  BOOST_TEST(Seen.waitFor(Ticket).m_SyncedTicket == Ticket);
}

// Guards against a sync that is tried again after a failure: the kernel may
// have dropped the pages and would report success.
BOOST_AUTO_TEST_CASE(FailedSyncEndsTheTaskAndIsNotRepeated) {
  TemporaryFolder Folder;
  std::atomic<bool> Broken{false};
  std::atomic<int> SyncsWhenBroken{0};
  StoreOptions Options = options(Folder);
  Options.m_Sync = [&Broken, &SyncsWhenBroken](int Descriptor) {
    if (!Broken)
      return ::fdatasync(Descriptor);
    // Only the first one fails, as with a kernel that reports an error once.
    if (++SyncsWhenBroken > 1)
      return 0;
    errno = EIO;
    return -1;
  };
  Reports Seen;
  DiskTask Task(store(Options),
                [&Seen](DiskReport Report) { Seen.add(std::move(Report)); });
  Seen.waitFor(Task.submit(entry(1, 100)));
  Broken = true;
  DiskReport Failure = Seen.waitFor(Task.submit(entry(2, 100)));
  BOOST_REQUIRE(Failure.m_Error);
  BOOST_TEST((Failure.m_Error->m_Code == ErrorCode::Io));
  BOOST_TEST(Failure.m_Error->m_Text.find("cannot sync") != std::string::npos);
  BOOST_TEST(Failure.m_SyncedTicket == 0u);
  Task.submit(entry(3, 100));
  ::usleep(50000);
  BOOST_TEST(SyncsWhenBroken == 1);
  std::lock_guard<std::mutex> Guard(Seen.m_Mutex);
  BOOST_TEST(Seen.m_All.size() == 2u);
}

// Guards against a full disk that a keeper takes for success, and against a log
// that cannot be opened afterwards. A file size limit stands for the full disk.
BOOST_AUTO_TEST_CASE(FullDiskEndsTheTaskAndLeavesAReadableLog) {
  TemporaryFolder Folder;
  Reports Seen;
  rlimit Before = {};
  BOOST_REQUIRE(::getrlimit(RLIMIT_FSIZE, &Before) == 0);
  void (*OldHandler)(int) = std::signal(SIGXFSZ, SIG_IGN);
  std::uint64_t Synced = 0;
  {
    DiskTask Task(store(options(Folder)),
                  [&Seen](DiskReport Report) { Seen.add(std::move(Report)); });
    rlimit Small = Before;
    Small.rlim_cur = 64 * 1024;
    BOOST_REQUIRE(::setrlimit(RLIMIT_FSIZE, &Small) == 0);
    DiskReport Last;
    while (!Last.m_Error && Synced < 100) {
      Last = Seen.waitFor(Task.submit(entry(Synced + 1, 4096)));
      Synced += Last.m_Error ? 0 : 1;
    }
    BOOST_REQUIRE(::setrlimit(RLIMIT_FSIZE, &Before) == 0);
    BOOST_REQUIRE(Last.m_Error);
    BOOST_TEST((Last.m_Error->m_Code == ErrorCode::Io));
    BOOST_TEST(Last.m_Error->m_Text.find("cannot write") != std::string::npos);
  }
  std::signal(SIGXFSZ, OldHandler);
  Result<OpenedStore> Again = openStore(options(Folder));
  BOOST_REQUIRE(Again);
  BOOST_TEST(Synced > 5u);
  BOOST_TEST(Again.value().m_Recovery.m_Entries.size() == Synced);
  BOOST_TEST(Again.value().m_Report.m_TornBytes > Bytes(0));
}

BOOST_AUTO_TEST_SUITE_END()
