#pragma once

#include <cstdint>
#include <string>

namespace vanillaferry::standin {

/// An emulated plain service that keeps a record of every run.
struct ServiceOptions {
  std::string m_Name = "service";
  std::uint16_t m_Port = 0;
  std::uint32_t m_DelayMs = 5;
  /// File for "run" lines of a history; empty for none.
  std::string m_Record;
};

int runService(const ServiceOptions &Options);

/// An emulated platform VM list that lags behind what POST /vms states.
struct PlatformOptions {
  std::uint16_t m_Port = 0;
  std::uint32_t m_LagMs = 0;
  /// JSON file with the first list.
  std::string m_File;
};

int runPlatform(const PlatformOptions &Options);

} // namespace vanillaferry::standin
