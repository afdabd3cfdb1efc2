#include "connection/held_bytes.hpp"

#include "connection/caller_pool.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// Header and rounding of one allocation.
constexpr std::int64_t AllocationBytes = 16;
/// Links and colour of a node of std::map.
constexpr std::int64_t MapNodeBytes = 32;

} // namespace

void HeldBytes::set(std::int64_t Count) {
  std::int64_t Change = Count - m_Count;
  // First, since the owner itself may give way and count anew.
  m_Count = Count;
  CallerPool::instance().change(Change);
}

void appendByHalf(std::string &Text, const char *Data, std::size_t Size) {
  std::size_t Needed = Text.size() + Size;
  if (Needed > Text.capacity())
    Text.reserve(std::max(Needed, Text.capacity() + Text.capacity() / 2));
  Text.append(Data, Size);
}

std::int64_t allocatedFor(const std::string &Text) {
  // Short texts lie inside the object.
  static const std::size_t Inside = std::string().capacity();
  return Text.capacity() > Inside
             ? static_cast<std::int64_t>(Text.capacity()) + AllocationBytes
             : 0;
}

std::int64_t allocatedFor(const std::map<std::string, std::string> &Fields) {
  std::int64_t Sum = 0;
  for (const std::pair<const std::string, std::string> &Field : Fields)
    Sum += static_cast<std::int64_t>(sizeof Field) + MapNodeBytes +
           AllocationBytes + allocatedFor(Field.first) +
           allocatedFor(Field.second);
  return Sum;
}

std::int64_t
allocatedFor(const std::vector<std::pair<std::string, std::string>> &Fields) {
  std::int64_t Sum =
      static_cast<std::int64_t>(Fields.capacity() * sizeof(Fields.front()));
  for (const std::pair<std::string, std::string> &Field : Fields)
    Sum += allocatedFor(Field.first) + allocatedFor(Field.second);
  return Sum;
}

} // namespace vanillaferry
