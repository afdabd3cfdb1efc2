#pragma once

#include "ProcessFleet.hpp"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace vanillaferry::tests {

/// When a socket gives up; 0 for never.
struct SocketLimits {
  int m_SendMs = 300;
  int m_ReadMs = 3000;
};

/// -1 without a connection.
int connectTo(const LoopbackAddress &To, const SocketLimits &Limits = {});

/// Status of the answer to one request on this connection; 0 without one. The
/// answer's body is read to its stated length.
int exchange(int Socket, const std::string &Text);

/// The same on a connection of its own.
int askOnce(const LoopbackAddress &To, const std::string &Text);

/// The largest resident size that the process has had.
std::int64_t peakKb(const ChildProcess &Process);

/// Open descriptors of the process.
std::size_t descriptors(const ChildProcess &Process);

/// Starts a router that has no keepers and answers status checks. Extra is
/// merged into its settings.
void startLoneRouter(ChildProcess &Process, const TemporaryFolder &Folder,
                     const LoopbackAddress &Http, const nlohmann::json &Extra,
                     std::int64_t DescriptorLimit);

} // namespace vanillaferry::tests
