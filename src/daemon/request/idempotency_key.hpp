#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <optional>
#include <string>

namespace vanillaferry {

/// Longest idempotency key.
constexpr std::size_t MaxKeyLength = 128;

/// A new key that carries its time of issue: "vf-UNIXMS-RANDOM", both in hex.
IdempotencyKey issueKey(UnixMillis Now);

/// Time of issue of a key from issueKey; empty for a caller's own key.
std::optional<UnixMillis> keyIssuedAt(const IdempotencyKey &Key);

/// A caller's Idempotency-Key-Issued field (Unix ms); empty when malformed.
std::optional<UnixMillis> parseIssuedField(const std::string &Text);

} // namespace vanillaferry
