#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace vanillaferry {

/// A string id of one kind; ids of different kinds cannot be compared or
/// converted.
template <typename Tag> struct StringId {
  std::string m_Value;

  StringId() = default;
  explicit StringId(std::string Value) : m_Value(std::move(Value)) {}

  bool empty() const { return m_Value.empty(); }
  friend bool operator==(const StringId &A, const StringId &B) {
    return A.m_Value == B.m_Value;
  }
  friend bool operator!=(const StringId &A, const StringId &B) {
    return A.m_Value != B.m_Value;
  }
  friend bool operator<(const StringId &A, const StringId &B) {
    return A.m_Value < B.m_Value;
  }
  friend std::ostream &operator<<(std::ostream &Out, const StringId &Id) {
    return Out << Id.m_Value;
  }
};

using NodeId = StringId<struct NodeIdTag>;
using KeeperId = StringId<struct KeeperIdTag>;
using VmId = StringId<struct VmIdTag>;
using ZoneId = StringId<struct ZoneIdTag>;
using AccountId = StringId<struct AccountIdTag>;
using PoolId = StringId<struct PoolIdTag>;
using PromptPartId = StringId<struct PromptPartIdTag>;
/// Version of a target's software, not of its weights.
using SoftwareVersion = StringId<struct SoftwareVersionTag>;
using TargetId = StringId<struct TargetIdTag>;
using ChatId = StringId<struct ChatIdTag>;
using RequestId = StringId<struct RequestIdTag>;
using EditId = StringId<struct EditIdTag>;
using SectionName = StringId<struct SectionNameTag>;
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;
using OperatorId = StringId<struct OperatorIdTag>;

} // namespace vanillaferry

template <typename Tag> struct std::hash<vanillaferry::StringId<Tag>> {
  std::size_t operator()(const vanillaferry::StringId<Tag> &Id) const noexcept {
    return std::hash<std::string>()(Id.m_Value);
  }
};
