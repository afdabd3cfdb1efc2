#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace vanillaferry {

/// A number of bytes in the callers' budget, given back at the end.
class HeldBytes {
public:
  HeldBytes() = default;
  explicit HeldBytes(std::int64_t Count) { set(Count); }
  ~HeldBytes() { set(0); }
  HeldBytes(const HeldBytes &) = delete;
  HeldBytes &operator=(const HeldBytes &) = delete;

  void set(std::int64_t Count);
  void add(std::int64_t Count) { set(m_Count + Count); }
  std::int64_t count() const { return m_Count; }

private:
  std::int64_t m_Count = 0;
};

/// Appends and grows by half at most, so that little more is held than has
/// arrived.
void appendByHalf(std::string &Text, const char *Data, std::size_t Size);

/// What the allocator uses for the content of containers, by the sizes of
/// libstdc++ and glibc.
std::int64_t allocatedFor(const std::string &Text);
std::int64_t allocatedFor(const std::map<std::string, std::string> &Fields);
std::int64_t
allocatedFor(const std::vector<std::pair<std::string, std::string>> &Fields);

} // namespace vanillaferry
