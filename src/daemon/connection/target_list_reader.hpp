#pragma once

#include "connection/glib_handle.hpp"
#include "process/mailbox.hpp"
#include "vanillaferry/process/result.hpp"
#include "vanillaferry/request/dispatch.hpp"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace vanillaferry {

struct PlatformProtocol;

/// A reading of the platform's list.
struct TargetListReading {
  Result<std::vector<ListedTarget>> m_Targets;
  /// What the list states may be as old as this.
  Millis m_BeganAt;
};

/// Reads the platform's list of targets, page by page, in a thread of its own:
/// on the main loop each step of each page would wait for other events.
class TargetListReader {
public:
  using OnRead = std::function<void(TargetListReading)>;

  /// Address is IP:PORT. OnRead is called on the present main context at the
  /// end of each reading.
  TargetListReader(const PlatformProtocol &Protocol, std::string Address,
                   OnRead Read);
  ~TargetListReader();
  TargetListReader(const TargetListReader &) = delete;
  TargetListReader &operator=(const TargetListReader &) = delete;

  /// Begins a reading; does nothing while one is under way.
  void read();

private:
  struct Pages;
  struct Begin {};

  void run(const PlatformProtocol &Protocol, const std::string &Address);

  OnRead m_OnRead;
  Mailbox<TargetListReading> m_Readings;
  bool m_Reading = false;
  GMainContext *m_Context = nullptr;
  GMainLoop *m_Loop = nullptr;
  /// Used by the thread only.
  std::shared_ptr<Pages> m_Pages;
  Mailbox<Begin> m_Begin;
  std::thread m_Thread;
};

} // namespace vanillaferry
