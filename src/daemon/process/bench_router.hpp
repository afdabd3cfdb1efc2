#pragma once

#include "process/router.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace vanillaferry {

/// API key of the only account of a bench fleet.
constexpr const char *BenchKey = "bench";

/// One router that is entry and owner, or an entry router and an owner with a
/// peer link on loopback between them. Both run on the calling thread's main
/// loop, each peer task on a thread of its own.
struct BenchFleet {
  std::unique_ptr<Router> m_Entry;
  /// Empty when the entry router owns the engine.
  std::unique_ptr<Router> m_Owner;

  std::uint16_t port() const { return m_Entry->m_Front->port(); }
};

/// Starts the routers with a lease, a document with 28 targets, which all
/// lead to one engine, and room for so many requests at once; empty when they
/// do not become ready.
std::unique_ptr<BenchFleet> startBenchFleet(std::uint16_t EnginePort,
                                            std::uint32_t Places, bool Hop);

/// Runs the main loop until the condition holds; false after PatienceMs.
bool runLoopUntil(const std::function<bool()> &Done, std::int64_t PatienceMs);

/// Text of a chat request as a caller of a bench fleet sends it.
std::string benchRequest();

} // namespace vanillaferry
