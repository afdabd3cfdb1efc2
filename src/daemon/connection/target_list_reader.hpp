#pragma once

#include "connection/glib_handle.hpp"
#include "vanillaferry/process/result.hpp"
#include "vanillaferry/request/dispatch.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <string>
#include <vector>

namespace vanillaferry {

struct PlatformProtocol;

/// Reads the platform's list of targets, page by page.
class TargetListReader : public std::enable_shared_from_this<TargetListReader> {
public:
  using OnRead = std::function<void(Result<std::vector<ListedTarget>>)>;

  /// Address is IP:PORT. OnRead is called at the end of each reading.
  TargetListReader(const PlatformProtocol &Protocol, std::string Address,
                   OnRead Read);
  TargetListReader(const TargetListReader &) = delete;
  TargetListReader &operator=(const TargetListReader &) = delete;

  /// Begins a reading; does nothing while one is under way.
  void read();
  /// When the present or last reading began; its content is as old.
  Millis beganAt() const { return m_BeganAt; }
  /// Calls made so far.
  std::uint64_t calls() const { return m_Calls; }

private:
  void readPage();
  void logUnreadable();
  void takePage(const std::string &Text);
  void finish(Result<std::vector<ListedTarget>> Read);

  const PlatformProtocol &m_Protocol;
  std::string m_Address;
  OnRead m_OnRead;
  GHandle<SoupSession> m_Session;
  std::vector<ListedTarget> m_Collected;
  /// Entries of the present and of the last reading that name no target.
  std::size_t m_Unreadable = 0;
  std::size_t m_UnreadableBefore = 0;
  std::string m_PageToken;
  std::uint64_t m_Calls = 0;
  Millis m_BeganAt;
  std::uint64_t m_CallsBefore = 0;
  bool m_Reading = false;
};

} // namespace vanillaferry
