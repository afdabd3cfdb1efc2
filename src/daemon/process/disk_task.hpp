#pragma once

#include "process/log_store.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace vanillaferry {

/// What the disk task tells its owner.
struct DiskReport {
  /// Everything up to this ticket is synced.
  std::uint64_t m_SyncedTicket = 0;
  /// Set in the last report of a task that failed; the process must stop.
  std::optional<Error> m_Error;
};

/// Writes batches to the log store in its own thread, one sync per batch (group
/// commit). A failed write or sync ends the task; nothing is tried again.
class DiskTask {
public:
  /// Called in the task's thread; should only post to a mailbox.
  using Report = std::function<void(DiskReport)>;

  DiskTask(LogStore Store, Report OnReport);
  /// Writes what is queued, then ends the thread.
  ~DiskTask();
  DiskTask(const DiskTask &) = delete;
  DiskTask &operator=(const DiskTask &) = delete;

  /// Queues a write and returns its ticket; tickets count from 1. An empty
  /// write is reported once all earlier ones are synced.
  std::uint64_t submit(DiskWrite Write);

private:
  void run();
  Status writeBatch(std::vector<DiskWrite> &Batch);

  LogStore m_Store;
  Report m_OnReport;
  std::mutex m_Mutex;
  std::condition_variable m_Wake;
  std::vector<DiskWrite> m_Queue;
  std::uint64_t m_LastTicket = 0;
  bool m_Stopping = false;
  bool m_Failed = false;
  std::thread m_Thread;
};

/// The write that an action list asks for.
DiskWrite diskWriteOf(const ReplicaActions &Actions);

/// True when there is nothing to write.
bool isEmpty(const DiskWrite &Write);

} // namespace vanillaferry
