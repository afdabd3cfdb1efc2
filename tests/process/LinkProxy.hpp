#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace vanillaferry::tests {

/// Forwards TCP connections of one loopback port to another. A cut stops
/// forwarding without closing anything, as a silent network does: what is
/// under way arrives after the cut, late. New connections of a cut link are
/// taken but lead nowhere.
class LinkProxy {
public:
  LinkProxy(std::uint16_t Port, std::uint16_t Target);
  ~LinkProxy();
  LinkProxy(const LinkProxy &) = delete;
  LinkProxy &operator=(const LinkProxy &) = delete;

  /// Cuts each present connection with this probability, and new ones too.
  void cut(double Share, std::uint64_t Seed);
  void heal();

private:
  struct Side {
    int m_Socket = -1;
    /// Bytes read here that wait for the other side.
    std::vector<char> m_Waiting;
    bool m_Ended = false;
  };
  struct Link {
    Side m_Caller;
    Side m_Target;
    bool m_Cut = false;
    bool m_Broken = false;
  };

  void run();
  void accept();
  static bool forward(Side &From, Side &To);
  static void endLink(Link &Broken);

  std::uint16_t m_TargetPort;
  int m_Listener = -1;
  std::mutex m_Mutex;
  std::vector<std::unique_ptr<Link>> m_Links;
  std::mt19937_64 m_Random;
  double m_Share = 0;
  std::atomic<bool> m_Stop{false};
  std::thread m_Thread;
};

} // namespace vanillaferry::tests
