#pragma once

#include <cstdint>
#include <string>

namespace vanillaferry::standin {

/// Options of an emulated plain service that records every run.
struct ServiceOptions {
  std::string m_Name = "service";
  std::uint16_t m_Port = 0;
  std::uint32_t m_DelayMs = 5;
  /// File to which "run" lines of a history are appended; empty for none.
  std::string m_Record;
};

int runService(const ServiceOptions &Options);

/// Options of an emulated platform VM list; readers see what POST /vms set,
/// with a delay.
struct PlatformOptions {
  std::uint16_t m_Port = 0;
  std::uint32_t m_LagMs = 0;
  /// JSON file with the initial list.
  std::string m_File;
};

int runPlatform(const PlatformOptions &Options);

} // namespace vanillaferry::standin
