#include "process/disk_task.hpp"

#include "process/log.hpp"
#include "process/thread_meter.hpp"

#include <utility>

namespace vanillaferry {

DiskTask::DiskTask(LogStore Store, Report OnReport)
    : m_Store(std::move(Store)), m_OnReport(std::move(OnReport)),
      m_Thread([this] { run(); }) {}

DiskTask::~DiskTask() {
  {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    m_Stopping = true;
  }
  m_Wake.notify_one();
  m_Thread.join();
}

std::uint64_t DiskTask::submit(DiskWrite Write) {
  std::uint64_t Ticket = 0;
  bool Wake = false;
  {
    std::lock_guard<std::mutex> Guard(m_Mutex);
    Ticket = ++m_LastTicket;
    if (m_Failed)
      return Ticket;
    Wake = m_Queue.empty();
    m_Queue.push_back(std::move(Write));
  }
  if (Wake)
    m_Wake.notify_one();
  return Ticket;
}

Status DiskTask::writeBatch(std::vector<DiskWrite> &Batch) {
  Status Written = writeToStore(m_Store, Batch);
  if (!Written)
    return Written;
  return syncStore(m_Store);
}

void DiskTask::run() {
  ThreadMeter Meter("disk");
  while (true) {
    std::vector<DiskWrite> Batch;
    std::uint64_t Ticket = 0;
    {
      std::unique_lock<std::mutex> Guard(m_Mutex);
      m_Wake.wait(Guard, [this] { return m_Stopping || !m_Queue.empty(); });
      if (m_Queue.empty())
        return;
      Batch.swap(m_Queue);
      Ticket = m_LastTicket;
    }
    Status Done = writeBatch(Batch);
    if (!Done) {
      {
        std::lock_guard<std::mutex> Guard(m_Mutex);
        m_Failed = true;
        m_Queue.clear();
      }
      logEvent(Event::DiskFailed, {{"error", Done.error().m_Text}});
      DiskReport Failure;
      Failure.m_Error = Done.error();
      m_OnReport(std::move(Failure));
      return;
    }
    DiskReport Success;
    Success.m_SyncedTicket = Ticket;
    m_OnReport(std::move(Success));
  }
}

DiskWrite diskWriteOf(const ReplicaActions &Actions) {
  DiskWrite Write;
  Write.m_Hard = Actions.m_PersistHard;
  Write.m_Install = Actions.m_InstallSnapshot;
  Write.m_TruncateFrom = Actions.m_TruncateFrom;
  Write.m_Append = Actions.m_Append;
  return Write;
}

bool isEmpty(const DiskWrite &Write) {
  return !Write.m_Hard && !Write.m_Install && !Write.m_TruncateFrom &&
         Write.m_Append.empty() && !Write.m_Save;
}

} // namespace vanillaferry
