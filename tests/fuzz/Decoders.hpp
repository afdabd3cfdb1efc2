#pragma once

#include <string>
#include <vector>

namespace vanillaferry::tests {

/// A decoder that faces callers, targets, operators, peers or the disk.
struct Decoder {
  const char *m_Name = "";
  /// Must return for any input: no crash, no exception, no sanitizer report.
  void (*m_Decode)(const std::string &Input) = nullptr;
  /// Valid inputs to change.
  std::vector<std::string> (*m_Seeds)() = nullptr;
};

const std::vector<Decoder> &allDecoders();

} // namespace vanillaferry::tests
