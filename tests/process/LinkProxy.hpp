#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace vanillaferry::tests {

/// An address of 127.0.0.0/8 and a port.
struct LoopbackAddress {
  std::string m_Ip = "127.0.0.1";
  std::uint16_t m_Port = 0;

  std::string text() const { return m_Ip + ":" + std::to_string(m_Port); }
};

/// Which bytes a cut connection holds back.
enum class CutDirection { Both, ToTarget, ToCaller };

/// What becomes of new connections of a closed link.
enum class NewConnections { Hang, Refused };

/// Forwards TCP connections of one loopback port to another. A cut stops
/// forwarding without closing anything, as a silent network does: what is
/// under way arrives after the cut, late. New connections of a cut link are
/// taken but lead nowhere.
class LinkProxy {
public:
  LinkProxy(std::uint16_t Port, std::uint16_t Target);
  LinkProxy(const LoopbackAddress &Listen, LoopbackAddress Target);
  ~LinkProxy();
  LinkProxy(const LinkProxy &) = delete;
  LinkProxy &operator=(const LinkProxy &) = delete;

  /// Cuts each present connection with this probability, and new ones too.
  void cut(double Share, std::uint64_t Seed,
           CutDirection Direction = CutDirection::Both);
  /// Holds back the bytes of all present connections and establishes no new
  /// one.
  void close(NewConnections How);
  /// Ends cuts, delays and the closure.
  void heal();
  /// Resets each present connection with this probability.
  void reset(double Share, std::uint64_t Seed);
  /// Holds bytes back for this long in each direction.
  void delay(std::chrono::milliseconds Time);

private:
  struct Side {
    int m_Socket = -1;
    /// Bytes read here that wait for the other side.
    std::vector<char> m_Waiting;
    /// Bytes that were read while the link is delayed leave after this time.
    std::chrono::steady_clock::time_point m_HeldUntil;
    bool m_Ended = false;
  };
  struct Link {
    Side m_Caller;
    Side m_Target;
    bool m_Cut = false;
    bool m_Broken = false;
  };

  void run();
  void listen();
  void fillBacklog();
  void accept();
  bool forward(Side &From, Side &To) const;
  bool isHeld(const Link &One, CutDirection Held) const;
  static void endLink(Link &Broken);

  LoopbackAddress m_Listen;
  LoopbackAddress m_Target;
  /// -1 while new connections are refused.
  int m_Listener = -1;
  /// Fill the listener's backlog while new connections hang.
  std::vector<int> m_Fillers;
  std::mutex m_Mutex;
  std::vector<std::unique_ptr<Link>> m_Links;
  std::mt19937_64 m_Random;
  double m_Share = 0;
  CutDirection m_Direction = CutDirection::Both;
  bool m_Closed = false;
  std::chrono::milliseconds m_Delay{0};
  std::atomic<bool> m_Stop{false};
  std::thread m_Thread;
};

} // namespace vanillaferry::tests
